//! Entry instances, simulated backend servers and callers in virtual time.
//!
//! Drives the production query engine and membership and checks the invariants of [`check`].
//!
//! - [`server`]: simulated backend servers
//! - [`check`]: invariants, and totals over responses
//! - [`wiring`]: handles events and applies the outputs of instances

pub mod check;
pub mod server;
pub mod wiring;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_membership::{Input as MemberInput, Membership, MembershipParams};
use hornbeam_model::{
    Announcement, AttemptId, Config, Incarnation, InstanceId, Mono, QueryId, ServiceId, ShardId,
    Zone,
};
use hornbeam_protocol::Message;
use hornbeam_query::{
    Attempt, AttemptOutcome, Engine, EngineParams, HedgePolicy, Input, Request, ShardSelector,
};
use hornbeam_traffic::Roster;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::value::RawValue;

use crate::queue::EventQueue;
use check::{QuerySums, SentRequest};
use server::FakeServer;

/// Lease that an announcement grants a server.
pub const LEASE: Duration = Duration::from_millis(1_600);
/// Time between two announcements that a server sends.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Index of an instance in [`World::instances`].
pub type InstanceIdx = usize;
/// Index of a server in [`World::servers`].
pub type ServerIdx = usize;

/// One simulated entry instance.
pub struct FakeInstance {
    /// Name of the instance.
    pub name: InstanceId,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Query engine; `None` while the instance is down.
    pub engine: Option<Engine>,
    /// Membership; `None` while the instance is down.
    pub membership: Option<Membership>,
    /// Number of starts so far.
    pub incarnation: u64,
    /// Whether the instance is shutting down gracefully.
    pub draining: bool,
    wake_at: Option<Mono>,
    member_wake_at: Option<Mono>,
}

/// Replica selection and hedging of the instances; benchmarks use others as baselines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Policy {
    /// When the engine sends hedged requests.
    pub hedge: HedgePolicy,
    /// Whether replicas are selected at random.
    pub random_pick: bool,
}

/// Event of the simulation, scheduled at a virtual time.
#[derive(Debug)]
pub(crate) enum SimEvent {
    Ask(InstanceIdx, Box<Request>),
    CallerGone(InstanceIdx, QueryId),
    Wake(InstanceIdx),
    MemberWake(InstanceIdx),
    Member { from: InstanceIdx, to: InstanceIdx, message: Message },
    AttemptArrives(Box<AttemptAtServer>),
    CancelArrives { server: ServerIdx, key: AttemptKey },
    JobEnds { server: ServerIdx, key: AttemptKey, run: u64 },
    ReplyArrives { key: AttemptKey, outcome: Box<AttemptOutcome>, draining: bool },
    Announce(ServerIdx),
    Announced { to: InstanceIdx, announcement: Box<Announcement> },
}

/// Identifies an attempt across all instances and their incarnations.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptKey {
    /// Instance that sent the attempt.
    pub instance: InstanceIdx,
    /// Incarnation of the instance at that time.
    pub incarnation: u64,
    /// Id of the attempt within that incarnation.
    pub attempt: AttemptId,
}

/// Attempt that is sent to a server, waits there or runs.
#[derive(Clone, Debug)]
pub struct AttemptAtServer {
    /// Identity of the attempt.
    pub key: AttemptKey,
    /// Server that the attempt is sent to.
    pub server: ServerIdx,
    /// Content of the attempt.
    pub attempt: Attempt,
    /// Number of the query in the world.
    pub query_number: u64,
}

/// Simulation of entry instances, backend servers and callers.
pub struct World {
    /// Current virtual time.
    pub now: Mono,
    /// Entry instances, including those that are down.
    pub instances: Vec<FakeInstance>,
    /// Backend servers, including those that are down.
    pub servers: Vec<FakeServer>,
    /// Description of every invariant violation found so far.
    pub violations: Vec<String>,
    /// Events of all instances, in the order in which they occurred.
    pub events: Vec<(Mono, InstanceId, Event)>,
    /// Totals over the queries; benchmarks reset them after a warm-up.
    pub sums: QuerySums,
    /// One-way delay of every message, within a zone and between zones.
    pub delay: Duration,
    /// Time to open a connection to a server.
    pub connect_time: Duration,
    /// Share of membership messages that are lost, in percent.
    pub loss_percent: u32,
    /// Policy of the instances that are started from now on.
    pub policy: Policy,
    pub(crate) rng: SmallRng,
    event_queue: EventQueue<SimEvent>,
    config: Arc<Config>,
    /// Whether an instance has the configuration when it starts; otherwise it receives it by
    /// [`World::configure_one`].
    pub config_at_start: bool,
    /// Pairs of zones, instances or servers (by name) between which every message is lost.
    cuts: BTreeSet<(String, String)>,
    pub(crate) asked: BTreeMap<u64, SentRequest>,
    pub(crate) query_numbers: HashMap<(InstanceIdx, u64, QueryId), u64>,
    next_query_number: u64,
    /// Connections between an incarnation of an instance and a server.
    pub(crate) connections: HashMap<(InstanceIdx, u64, ServerIdx), Connections>,
    pub(crate) outstanding: BTreeMap<AttemptKey, (ServerIdx, Mono)>,
}

/// Number of connections between one instance and one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connections {
    pub(crate) open: u32,
    pub(crate) used: u32,
}

impl World {
    /// Creates a world without instances or servers; instances start with `config` in force.
    pub fn new(seed: u64, config: Config) -> Self {
        Self {
            now: Mono::default(),
            instances: Vec::new(),
            servers: Vec::new(),
            violations: Vec::new(),
            events: Vec::new(),
            sums: QuerySums::default(),
            delay: Duration::from_micros(500),
            connect_time: Duration::from_millis(6),
            loss_percent: 0,
            policy: Policy::default(),
            rng: SmallRng::seed_from_u64(seed),
            event_queue: EventQueue::default(),
            config: Arc::new(config),
            config_at_start: true,
            cuts: BTreeSet::new(),
            asked: BTreeMap::new(),
            query_numbers: HashMap::new(),
            next_query_number: 1,
            connections: HashMap::new(),
            outstanding: BTreeMap::new(),
        }
    }

    /// Adds an instance that is down until [`World::start`] starts it.
    pub fn add_instance(&mut self, name: &str, zone: &str) -> InstanceIdx {
        self.instances.push(FakeInstance {
            name: name.parse().expect("a valid instance name"),
            zone: zone.parse().expect("a valid zone name"),
            engine: None,
            membership: None,
            incarnation: 0,
            draining: false,
            wake_at: None,
            member_wake_at: None,
        });
        self.instances.len() - 1
    }

    /// Starts an instance under a new incarnation.
    pub fn start(&mut self, i: InstanceIdx) {
        let roster: Vec<(InstanceId, Zone)> =
            self.instances.iter().map(|x| (x.name.clone(), x.zone.clone())).collect();
        let seed: u64 = self.rng.random();
        let me = &mut self.instances[i];
        me.incarnation += 1;
        me.draining = false;
        let params = EngineParams {
            instance: me.name.clone(),
            zone: me.zone.clone(),
            max_running: 1_000,
            hedge: self.policy.hedge,
            random_pick: self.policy.random_pick,
            seed,
        };
        let names = roster.iter().map(|(name, _)| name.clone());
        me.engine = Some(Engine::new(params, Roster::new(names)));
        let peers = roster.into_iter().filter(|(name, _)| *name != me.name).collect();
        me.membership = Some(Membership::new(MembershipParams {
            instance: me.name.clone(),
            zone: me.zone.clone(),
            incarnation: Incarnation(me.incarnation),
            lease: LEASE,
            peers,
            seed: seed ^ 1,
        }));
        me.wake_at = None;
        me.member_wake_at = None;
        if self.config_at_start {
            self.engine_step(i, Input::Config(self.config.clone()));
        }
        self.member_step(i, MemberInput::Tick);
    }

    /// Starts every instance that is down.
    pub fn start_all(&mut self) {
        for i in 0..self.instances.len() {
            if self.instances[i].engine.is_none() {
                self.start(i);
            }
        }
    }

    /// Stops an instance without a shutdown; its pending queries are lost.
    pub fn crash(&mut self, i: InstanceIdx) {
        self.instances[i].engine = None;
        self.instances[i].membership = None;
        let incarnation = self.instances[i].incarnation;
        self.connections.retain(|(x, start, _), _| (*x, *start) != (i, incarnation));
        self.mark_lost(i);
    }

    /// Begins the orderly shutdown of an instance.
    pub fn drain(&mut self, i: InstanceIdx) {
        self.instances[i].draining = true;
        self.engine_step(i, Input::Drain);
        self.member_step(i, MemberInput::Leave);
    }

    /// Puts a configuration in force on every instance.
    pub fn configure(&mut self, config: Config) {
        self.config = Arc::new(config);
        for i in 0..self.instances.len() {
            self.engine_step(i, Input::Config(self.config.clone()));
        }
    }

    /// Puts a configuration in force on one instance.
    pub fn configure_one(&mut self, i: InstanceIdx, config: &Arc<Config>) {
        if config.revision > self.config.revision {
            self.config = config.clone();
        }
        self.engine_step(i, Input::Config(config.clone()));
    }

    /// Returns the newest configuration that was put in force on any instance.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Drops every message between two zones, instances or servers, given by name.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.to_owned(), b.to_owned()));
    }

    /// Removes every cut.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    fn is_cut(&self, a: [&str; 2], b: [&str; 2]) -> bool {
        let listed = |x: &str, y: &str| {
            let key = |a: &str, b: &str| (a.to_owned(), b.to_owned());
            self.cuts.contains(&key(x, y)) || self.cuts.contains(&key(y, x))
        };
        !self.cuts.is_empty() && a.iter().any(|x| b.iter().any(|y| x != y && listed(x, y)))
    }

    pub(crate) fn cut_between_instances(&self, a: InstanceIdx, b: InstanceIdx) -> bool {
        let (a, b) = (&self.instances[a], &self.instances[b]);
        self.is_cut([a.name.as_str(), a.zone.as_str()], [b.name.as_str(), b.zone.as_str()])
    }

    pub(crate) fn cut_from_server(&self, i: InstanceIdx, s: ServerIdx) -> bool {
        let i = &self.instances[i];
        let s = &self.servers[s].announced;
        self.is_cut([i.name.as_str(), i.zone.as_str()], [s.server.as_str(), s.zone.as_str()])
    }

    /// Sends a query for all shards to instance `i` and returns its number.
    pub fn ask(&mut self, i: InstanceIdx, service: &str) -> u64 {
        self.ask_with(i, service, |_| {})
    }

    /// Sends a query that `edit` may change to instance `i` and returns its number.
    pub fn ask_with(
        &mut self,
        i: InstanceIdx,
        service: &str,
        edit: impl FnOnce(&mut Request),
    ) -> u64 {
        let number = self.next_query_number;
        self.next_query_number += 1;
        let service: ServiceId = service.parse().expect("a valid service name");
        let mut request = Request {
            id: QueryId(number),
            request_id: format!("r{number}").parse().expect("a valid request id"),
            service,
            shards: ShardSelector::All,
            limit: 1_000,
            patience: None,
            unix_ms: 0,
            non_idempotent: false,
            has_token: false,
            body: Arc::from(RawValue::from_string("{}".to_owned()).expect("valid JSON")),
        };
        edit(&mut request);
        request.id = QueryId(number);
        let incarnation = self.instances[i].incarnation;
        self.query_numbers.insert((i, incarnation, request.id), number);
        // The patience comes from the configuration of this instance, which may be older than
        // others.
        let config = self.instances[i].engine.as_ref().and_then(|e| e.config());
        let service = config.and_then(|c| c.services.get(&request.service));
        let patience = service.map(|s| s.patience.at(0));
        let patience = patience.unwrap_or_default();
        let wait = request.patience.map_or(patience, |w| w.min(patience));
        self.asked.insert(number, SentRequest::new(self.now, self.now + wait, &request));
        self.queue(self.now, SimEvent::Ask(i, Box::new(request)));
        number
    }

    /// Sends queries at `rate` per second on average for `time`, to random instances that are up
    /// and not draining; `single_percent` of them ask for a single shard.
    pub fn load(&mut self, service: &str, rate: f64, time: Duration, single_percent: u32) {
        let end = self.now + time;
        loop {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            let next = self.now + Duration::from_secs_f64(gap);
            if next > end {
                break;
            }
            self.run_for(next.since(self.now));
            let accepts = |x: &FakeInstance| x.engine.is_some() && !x.draining;
            let up: Vec<InstanceIdx> =
                (0..self.instances.len()).filter(|i| accepts(&self.instances[*i])).collect();
            if up.is_empty() {
                continue;
            }
            let i = up[self.rng.random_range(0..up.len())];
            let single = self.rng.random_range(0..100) < single_percent;
            let key = format!("k{}", self.next_query_number);
            self.ask_with(i, service, |r| {
                if single {
                    r.shards = ShardSelector::Key(key.into());
                }
            });
        }
        self.run_for(end.since(self.now));
    }

    /// Closes the connection of the caller that waits for a query.
    pub fn abandon(&mut self, number: u64) {
        let found = self.query_numbers.iter().find(|(_, n)| **n == number).map(|(k, _)| *k);
        let Some((i, _, query)) = found else { return };
        if let Some(asked) = self.asked.get_mut(&number) {
            asked.abandoned = true;
        }
        self.queue(self.now, SimEvent::CallerGone(i, query));
    }

    /// Advances virtual time by `time` and handles every event scheduled until then.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, event)) = self.event_queue.pop_until(end) {
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    pub(crate) fn queue(&mut self, at: Mono, event: SimEvent) {
        self.event_queue.push(at, event);
    }

    /// Returns the record of a query, with its outcome so far.
    pub fn asked(&self, number: u64) -> &SentRequest {
        &self.asked[&number]
    }

    /// Returns the number of shards of the newest index version that a server of `service`
    /// announces.
    pub fn shard_count(&self, service: &str) -> u32 {
        let of_service = self.servers.iter().filter(|s| s.announced.service.as_str() == service);
        let newest = of_service.flat_map(|s| s.announced.indexes.iter()).max_by_key(|h| h.version);
        newest.map_or(0, |h| h.shard_count)
    }

    /// Returns the ids of the shards below `count`.
    pub fn shards(count: u32) -> impl Iterator<Item = ShardId> {
        (0..count).map(ShardId)
    }
}
