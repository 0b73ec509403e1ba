//! Worlds of the users' shapes and of small ones for tests.

use std::time::Duration;

use hornbeam_model::{Config, Patience, Revision, ServerState, Service};

use crate::samples;
use crate::world::server::FakeServer;
use crate::world::{Policy, World};

/// How shards are placed on servers.
#[derive(Clone, Copy, Debug)]
pub enum Placement {
    /// Each zone holds every shard; `groups` servers of a zone hold one replica of all together.
    EachZone {
        /// Replicas in each zone.
        replicas: u32,
        /// Servers that share one replica of all shards.
        groups: u32,
    },
    /// Each shard has its own servers, in zones one after the other.
    AcrossZones {
        /// Servers of each shard.
        replicas: u32,
    },
}

/// Shape of one service and the instances before it.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The zones.
    pub zones: Vec<&'static str>,
    /// Entry instances, spread over the zones in turn.
    pub instances: u32,
    /// Name of the service.
    pub service: &'static str,
    /// Number of shards.
    pub shards: u32,
    /// Where they are.
    pub placement: Placement,
    /// Searches a server runs at once.
    pub slots: u32,
    /// Connections a server accepts.
    pub connections: u32,
    /// Time to open a connection.
    pub connect_time: Duration,
    /// Usual time of a search.
    pub service_time: Duration,
    /// Configuration of the service.
    pub settings: Service,
}

/// Index version that servers hold at first.
pub const FIRST_INDEX: u64 = 7;
/// Time after which instances know all servers.
pub const INITIAL_SYNC_TIME: Duration = Duration::from_millis(1_500);

/// Two zones with two instances each; 24 shards, in each zone on six servers with two replicas.
pub fn small() -> Layout {
    Layout {
        zones: vec!["olomouc", "prerov"],
        instances: 4,
        service: "planner",
        shards: 24,
        placement: Placement::EachZone { replicas: 2, groups: 3 },
        slots: 2,
        connections: 25,
        connect_time: Duration::from_millis(6),
        service_time: Duration::from_millis(10),
        settings: samples::service(1_000),
    }
}

fn zones_of_hanak() -> Vec<&'static str> {
    vec!["prostejov", "prerov", "kromeriz", "olomouc"]
}

fn zones_of_consortium() -> Vec<&'static str> {
    vec!["nashua", "worcester", "providence", "portland"]
}

/// Hanák's mowing-planner: 20 shards of two searchers with 2 slots and 25 connections.
pub fn mowing_planner() -> Layout {
    Layout {
        zones: zones_of_hanak(),
        instances: 8,
        service: "mowing-planner",
        shards: 20,
        placement: Placement::AcrossZones { replicas: 2 },
        ..small()
    }
}

/// Hanák's fertiliser-advisor: 30 shards of the same shape.
pub fn fertiliser_advisor() -> Layout {
    Layout { service: "fertiliser-advisor", shards: 30, ..mowing_planner() }
}

/// Hanák's field-tablet: five searchers with 2 slots and 100 connections, quick to connect to.
pub fn field_tablet() -> Layout {
    Layout {
        service: "field-tablet",
        shards: 5,
        placement: Placement::AcrossZones { replicas: 1 },
        connections: 100,
        connect_time: Duration::from_millis(1),
        ..mowing_planner()
    }
}

/// The Consortium's order-drafter: like mowing-planner, with coverage first.
pub fn order_drafter() -> Layout {
    let mut settings = samples::service(1_000);
    settings.prefer = hornbeam_model::Prefer::Coverage;
    Layout { zones: zones_of_consortium(), service: "order-drafter", settings, ..mowing_planner() }
}

/// The Consortium's sign-schedule: 30 shards of the same shape.
pub fn sign_schedule() -> Layout {
    Layout { service: "sign-schedule", shards: 30, ..order_drafter() }
}

/// The Consortium's records-archive: seven searchers with 6 slots and 50 connections.
pub fn records_archive() -> Layout {
    Layout {
        service: "records-archive",
        shards: 7,
        placement: Placement::AcrossZones { replicas: 1 },
        slots: 6,
        connections: 50,
        connect_time: Duration::from_millis(1),
        ..order_drafter()
    }
}

impl Layout {
    /// The configuration at revision 1.
    pub fn config(&self) -> Config {
        samples::config(self.service, self.settings.clone())
    }

    /// The configuration at a later revision, after `edit`.
    pub fn config_at(&self, revision: u64, edit: impl FnOnce(&mut Service)) -> Config {
        let mut settings = self.settings.clone();
        edit(&mut settings);
        Config { revision: Revision(revision), ..samples::config(self.service, settings) }
    }

    /// Patience at every hour.
    pub fn with_patience(mut self, ms: u64) -> Self {
        self.settings.patience = Patience::constant(ms);
        self
    }

    /// A world of this shape, with every server known to every instance.
    pub fn build(&self, seed: u64, policy: Policy) -> World {
        let mut world = World::new(seed, self.config());
        world.policy = policy;
        self.populate(&mut world);
        world.run_for(INITIAL_SYNC_TIME);
        world
    }

    /// The layout of this name.
    pub fn named(name: &str) -> Option<Self> {
        Some(match name {
            "small" => small(),
            "mowing-planner" => mowing_planner(),
            "fertiliser-advisor" => fertiliser_advisor(),
            "field-tablet" => field_tablet(),
            "order-drafter" => order_drafter(),
            "sign-schedule" => sign_schedule(),
            "records-archive" => records_archive(),
            _ => return None,
        })
    }

    /// Adds instances and servers to an empty world.
    pub fn populate(&self, world: &mut World) {
        world.connect_time = self.connect_time;
        for i in 0..self.instances as usize {
            let zone = self.zones[i % self.zones.len()];
            let number = i / self.zones.len() + 1;
            world.add_instance(&format!("{zone}-{number}"), zone);
        }
        world.start_all();
        self.add_servers(world);
    }

    fn add_servers(&self, world: &mut World) {
        let zones = self.zones.len() as u32;
        match self.placement {
            Placement::EachZone { replicas, groups } => {
                for zone in &self.zones {
                    for n in 0..replicas * groups {
                        let shards: Vec<u32> =
                            (0..self.shards).filter(|s| s % groups == n % groups).collect();
                        self.add_server(world, &format!("{zone}-s{n}"), zone, shards);
                    }
                }
            }
            Placement::AcrossZones { replicas } => {
                for shard in 0..self.shards {
                    for replica in 0..replicas {
                        let zone = self.zones[((shard + replica) % zones) as usize];
                        let name = format!("s{shard}-{replica}");
                        self.add_server(world, &name, zone, vec![shard]);
                    }
                }
            }
        }
    }

    fn add_server(&self, world: &mut World, name: &str, zone: &str, shards: Vec<u32>) {
        let holding = samples::holding(FIRST_INDEX, self.shards, shards);
        let mut announced = samples::announcement(name, zone, self.service, vec![holding]);
        announced.slots = self.slots;
        announced.connections = self.connections;
        announced.state = ServerState::Ready;
        world.add_server(FakeServer::new(announced, self.service_time));
    }
}
