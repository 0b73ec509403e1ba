//! Deployments of the teams' sizes, and a small one for tests.

use std::time::Duration;

use hornbeam_model::{Config, Patience, Revision, ServerState, Service};

use crate::samples;
use crate::world::server::FakeServer;
use crate::world::{Policy, World};

/// How shards are placed on servers.
#[derive(Clone, Copy, Debug)]
pub enum Placement {
    /// Each zone holds every shard; `groups` servers of a zone together hold one replica of all
    /// shards.
    EachZone {
        /// Replicas in each zone.
        replicas: u32,
        /// Number of servers over which one replica of all shards is spread.
        groups: u32,
    },
    /// Each shard has servers that hold no other shard; its replicas are in consecutive zones.
    AcrossZones {
        /// Replicas of each shard, each on a separate server.
        replicas: u32,
    },
}

/// Size and placement of one service and of the entry instances in front of it.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Names of the availability zones.
    pub zones: Vec<&'static str>,
    /// Number of entry instances, assigned to the zones round robin.
    pub instances: u32,
    /// Name of the service.
    pub service: &'static str,
    /// Number of shards of the index.
    pub shards: u32,
    /// How the shards are placed on servers.
    pub placement: Placement,
    /// Searches that a server runs concurrently.
    pub slots: u32,
    /// Connections that a server accepts.
    pub connections: u32,
    /// Time to open a connection to a server.
    pub connect_time: Duration,
    /// Median time of a search.
    pub service_time: Duration,
    /// Configuration of the service.
    pub settings: Service,
}

/// Index version that servers hold at the start.
pub const FIRST_INDEX: u64 = 7;
/// Time after the start by which every instance knows all servers.
pub const INITIAL_SYNC_TIME: Duration = Duration::from_millis(1_500);

/// Two zones with two instances each; 24 shards, of which each zone holds two replicas on six
/// servers.
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

fn hanak_zones() -> Vec<&'static str> {
    vec!["prostejov", "prerov", "kromeriz", "olomouc"]
}

fn consortium_zones() -> Vec<&'static str> {
    vec!["nashua", "worcester", "providence", "portland"]
}

/// Service mowing-planner of the team Hanák: 20 shards with two servers each, 2 slots and 25
/// connections.
pub fn mowing_planner() -> Layout {
    Layout {
        zones: hanak_zones(),
        instances: 8,
        service: "mowing-planner",
        shards: 20,
        placement: Placement::AcrossZones { replicas: 2 },
        ..small()
    }
}

/// Service fertiliser-advisor of the team Hanák: like [`mowing_planner`], with 30 shards.
pub fn fertiliser_advisor() -> Layout {
    Layout { service: "fertiliser-advisor", shards: 30, ..mowing_planner() }
}

/// Service field-tablet of the team Hanák: five servers with 2 slots, 100 connections and a connect
/// time of 1 ms.
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

/// Service order-drafter of the Consortium: like [`mowing_planner`], but prefers coverage to
/// latency.
pub fn order_drafter() -> Layout {
    let mut settings = samples::service(1_000);
    settings.prefer = hornbeam_model::Prefer::Coverage;
    Layout { zones: consortium_zones(), service: "order-drafter", settings, ..mowing_planner() }
}

/// Service sign-schedule of the Consortium: like [`order_drafter`], with 30 shards.
pub fn sign_schedule() -> Layout {
    Layout { service: "sign-schedule", shards: 30, ..order_drafter() }
}

/// Service records-archive of the Consortium: seven servers with 6 slots and 50 connections.
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
    /// Returns the configuration at revision 1.
    pub fn config(&self) -> Config {
        samples::config(self.service, self.settings.clone())
    }

    /// Returns the configuration at `revision`, with the service changed by `edit`.
    pub fn config_at(&self, revision: u64, edit: impl FnOnce(&mut Service)) -> Config {
        let mut settings = self.settings.clone();
        edit(&mut settings);
        Config { revision: Revision(revision), ..samples::config(self.service, settings) }
    }

    /// Sets the patience of every hour, in milliseconds.
    pub fn with_patience(mut self, ms: u64) -> Self {
        self.settings.patience = Patience::constant(ms);
        self
    }

    /// Builds a world of this layout and runs it until every instance knows every server.
    pub fn build(&self, seed: u64, policy: Policy) -> World {
        let mut world = World::new(seed, self.config());
        world.policy = policy;
        self.populate(&mut world);
        world.run_for(INITIAL_SYNC_TIME);
        world
    }

    /// Returns the layout that scenario files call `name`.
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
