//! Entry instances, fake backend servers and callers in virtual time.
//!
//! Drives the shipped engine and membership. Checks after every step what must always hold; see
//! [`check`].
//!
//! - [`server`]: fake backend servers
//! - [`check`]: invariants and sums over answers
//! - [`wiring`]: what instances want done, carried out

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

/// Lease of an announcement.
pub const LEASE: Duration = Duration::from_millis(1_600);
/// Time between two announcements of a server.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Position of an instance in the world.
pub type InstanceIdx = usize;
/// Position of a server in the world.
pub type ServerIdx = usize;

/// One entry instance.
pub struct FakeInstance {
    /// Its name.
    pub name: InstanceId,
    /// Its zone.
    pub zone: Zone,
    /// Its engine; nothing while it is down.
    pub engine: Option<Engine>,
    /// Its membership; nothing while it is down.
    pub membership: Option<Membership>,
    /// Number of its start.
    pub incarnation: u64,
    /// True once it is told to leave.
    pub draining: bool,
    wake_at: Option<Mono>,
    member_wake_at: Option<Mono>,
}

/// How an instance decides, for baselines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Policy {
    /// When hedges are sent.
    pub hedge: HedgePolicy,
    /// Choose replicas at random.
    pub random_pick: bool,
}

/// What happens at a time.
#[derive(Debug)]
pub(crate) enum SimEvent {
    Ask(InstanceIdx, Box<Request>),
    CallerLeaves(InstanceIdx, QueryId),
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

/// An attempt, unique over all instances and starts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptKey {
    /// The instance that sent it.
    pub instance: InstanceIdx,
    /// The instance's start.
    pub incarnation: u64,
    /// Its number there.
    pub attempt: AttemptId,
}

/// An attempt on its way to a server.
#[derive(Clone, Debug)]
pub struct AttemptAtServer {
    /// Its name.
    pub key: AttemptKey,
    /// The server.
    pub server: ServerIdx,
    /// The attempt.
    pub attempt: Attempt,
    /// The query over all instances and starts.
    pub asked: u64,
}

/// Entry instances, fake backend servers and callers.
pub struct World {
    /// Virtual time.
    pub now: Mono,
    /// The entry instances.
    pub instances: Vec<FakeInstance>,
    /// The backend servers.
    pub servers: Vec<FakeServer>,
    /// Every violation found.
    pub violations: Vec<String>,
    /// Events of all instances.
    pub events: Vec<(Mono, InstanceId, Event)>,
    /// Sums over the answers.
    pub sums: QuerySums,
    /// One-way delay within a zone and between two zones.
    pub delay: Duration,
    /// Time to open a connection to a server.
    pub connect_time: Duration,
    /// Inner messages lost, in percent.
    pub loss_percent: u32,
    /// How instances decide.
    pub policy: Policy,
    pub(crate) rng: SmallRng,
    agenda: EventQueue<SimEvent>,
    config: Arc<Config>,
    /// False if each instance gets its configuration by [`World::configure_one`].
    pub config_at_start: bool,
    /// Pairs of places (zones, instances or servers) between which nothing passes.
    cuts: BTreeSet<(String, String)>,
    pub(crate) asked: BTreeMap<u64, SentRequest>,
    pub(crate) asked_of: HashMap<(InstanceIdx, u64, QueryId), u64>,
    next_asked: u64,
    /// Connections open between an instance's start and a server.
    pub(crate) connections: HashMap<(InstanceIdx, u64, ServerIdx), Connections>,
    pub(crate) outstanding: BTreeMap<AttemptKey, (ServerIdx, Mono)>,
}

/// Connections between one instance and one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connections {
    pub(crate) open: u32,
    pub(crate) used: u32,
}

impl World {
    /// A world without instances or servers; `config` is in force everywhere.
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
            agenda: EventQueue::default(),
            config: Arc::new(config),
            config_at_start: true,
            cuts: BTreeSet::new(),
            asked: BTreeMap::new(),
            asked_of: HashMap::new(),
            next_asked: 1,
            connections: HashMap::new(),
            outstanding: BTreeMap::new(),
        }
    }

    /// Adds an instance that [`World::start`] will start.
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

    /// Starts an instance, first or anew.
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

    /// Stops an instance at once.
    pub fn crash(&mut self, i: InstanceIdx) {
        self.instances[i].engine = None;
        self.instances[i].membership = None;
        let incarnation = self.instances[i].incarnation;
        self.connections.retain(|(x, start, _), _| (*x, *start) != (i, incarnation));
        self.forget_asked(i);
    }

    /// Begins an instance's shutdown in good order.
    pub fn drain(&mut self, i: InstanceIdx) {
        self.instances[i].draining = true;
        self.engine_step(i, Input::Drain);
        self.member_step(i, MemberInput::Leave);
    }

    /// Puts a configuration into force everywhere.
    pub fn configure(&mut self, config: Config) {
        self.config = Arc::new(config);
        for i in 0..self.instances.len() {
            self.engine_step(i, Input::Config(self.config.clone()));
        }
    }

    /// Puts a configuration into force on one instance.
    pub fn configure_one(&mut self, i: InstanceIdx, config: &Arc<Config>) {
        if config.revision > self.config.revision {
            self.config = config.clone();
        }
        self.engine_step(i, Input::Config(config.clone()));
    }

    /// The configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Cuts everything between two places: zones, instances or servers by name.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.to_owned(), b.to_owned()));
    }

    /// Mends every cut.
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

    /// Sends a query for all shards to instance `i`; its number.
    pub fn ask(&mut self, i: InstanceIdx, service: &str) -> u64 {
        self.ask_with(i, service, |_| {})
    }

    /// Sends a query that `edit` has shaped to instance `i`; its number.
    pub fn ask_with(
        &mut self,
        i: InstanceIdx,
        service: &str,
        edit: impl FnOnce(&mut Request),
    ) -> u64 {
        let number = self.next_asked;
        self.next_asked += 1;
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
        self.asked_of.insert((i, incarnation, request.id), number);
        // The instance's own configuration counts, which may be older than another's.
        let config = self.instances[i].engine.as_ref().and_then(|e| e.config());
        let service = config.and_then(|c| c.services.get(&request.service));
        let patience = service.map(|s| s.patience.at(0));
        let patience = patience.unwrap_or_default();
        let wait = request.patience.map_or(patience, |w| w.min(patience));
        self.asked.insert(number, SentRequest::new(self.now, self.now + wait, &request));
        self.queue(self.now, SimEvent::Ask(i, Box::new(request)));
        number
    }

    /// Sends single-shard requests and full ones at `rate` a second over all instances that run
    /// and are not draining, for `time`.
    pub fn load(&mut self, service: &str, rate: f64, time: Duration, single_percent: u32) {
        let end = self.now + time;
        loop {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            let next = self.now + Duration::from_secs_f64(gap);
            if next > end {
                break;
            }
            self.run_for(next.since(self.now));
            let takes = |x: &FakeInstance| x.engine.is_some() && !x.draining;
            let up: Vec<InstanceIdx> =
                (0..self.instances.len()).filter(|i| takes(&self.instances[*i])).collect();
            if up.is_empty() {
                continue;
            }
            let i = up[self.rng.random_range(0..up.len())];
            let single = self.rng.random_range(0..100) < single_percent;
            let key = format!("k{}", self.next_asked);
            self.ask_with(i, service, |r| {
                if single {
                    r.shards = ShardSelector::Key(key.into());
                }
            });
        }
        self.run_for(end.since(self.now));
    }

    /// The caller of a query leaves.
    pub fn abandon(&mut self, number: u64) {
        let found = self.asked_of.iter().find(|(_, n)| **n == number).map(|(k, _)| *k);
        let Some((i, _, query)) = found else { return };
        if let Some(asked) = self.asked.get_mut(&number) {
            asked.left = true;
        }
        self.queue(self.now, SimEvent::CallerLeaves(i, query));
    }

    /// Lets virtual time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, what)) = self.agenda.take_until(end) {
            self.now = self.now.max(at);
            self.happen(what);
        }
        self.now = end;
    }

    pub(crate) fn queue(&mut self, at: Mono, what: SimEvent) {
        self.agenda.put(at, what);
    }

    /// What became of a query.
    pub fn asked(&self, number: u64) -> &SentRequest {
        &self.asked[&number]
    }

    /// The shards that a complete answer of the current index covers.
    pub fn shard_count(&self, service: &str) -> u32 {
        let of_service = self.servers.iter().filter(|s| s.announced.service.as_str() == service);
        let newest = of_service.flat_map(|s| s.announced.indexes.iter()).max_by_key(|h| h.version);
        newest.map_or(0, |h| h.shard_count)
    }

    /// All shards below `count`.
    pub fn shards(count: u32) -> impl Iterator<Item = ShardId> {
        (0..count).map(ShardId)
    }
}
