//! All requests of one entry: `step(now, input) -> outputs`.
//!
//! - [`intake`]: matching, admission, refusal at arrival
//! - [`placing`]: shards onto servers, and the queue for room
//! - [`outcome`]: what attempts bring back
//! - [`hedging`]: second attempts for late shards
//! - [`finish`]: answers and refusals
//! - [`delegating`]: groups of shards that other entries collect
//! - [`gathering`]: groups of shards that this entry collects for others
//! - [`fleet`]: servers, tables and the number of entries

mod delegating;
mod finish;
mod fleet;
mod gathering;
mod hedging;
mod intake;
mod outcome;
mod placing;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{
    AttemptId, Incarnation, InstanceId, Mono, QueryId, Route, RouteId, RouteIndex, Routing,
    ServerId, ServiceId, Zone,
};
use hornbeam_traffic::latency::LatencyWindow;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

pub use self::delegating::group_size;
pub use self::gathering::GroupRequest;
use crate::budget::BudgetParams;
use crate::decision::{Decision, SendKind};
use crate::peers::{Peer, Peers};
use crate::request::{Refusal, RefusalKind, Running};
use crate::server::Server;
use crate::service::Service;
use crate::split::Splitter;

/// What an engine needs to know of its entry.
#[derive(Clone, Debug)]
pub struct EngineParams {
    /// Availability zone of this entry.
    pub zone: Zone,
    /// Extra requests of the whole fleet.
    pub budget: BudgetParams,
    /// Requests taken in at once; bounds the memory.
    pub max_running: usize,
    /// Time for which an attempt that nobody waits for may go on, so that its connection can be used
    /// again, before it is broken off.
    pub linger: Duration,
    /// Shards of a search above which other entries collect groups of them.
    pub delegate_above: usize,
    /// Seed of the random choices.
    pub seed: u64,
}

/// A change of the servers, as an entry learns it.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerChange {
    /// The server takes requests on these terms.
    Usable {
        /// Its name.
        server: ServerId,
        /// Its start.
        incarnation: Incarnation,
        /// Its service.
        service: ServiceId,
        /// Where it takes requests.
        address: SocketAddr,
        /// Its zone.
        zone: Zone,
        /// Requests that it works on at once.
        slots: u32,
        /// Time for which it is still slow after its start.
        warm_up: Duration,
    },
    /// The server takes no new requests, for this reason.
    Unusable {
        /// Its name.
        server: ServerId,
        /// Why.
        why: &'static str,
    },
}

/// A server that is not well.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerTrouble {
    /// Its name.
    pub server: ServerId,
    /// Its latency relative to the usual one.
    pub slowness: f64,
    /// True if it gives no answers.
    pub silent: bool,
}

/// What happens to an engine.
#[derive(Debug)]
pub enum Input {
    /// A caller's request.
    Request {
        /// Names the request within this entry.
        key: QueryId,
        /// Its id, as the caller gave it.
        id: SmolStr,
        /// The host it names.
        host: SmolStr,
        /// Its path, without the query.
        path: SmolStr,
        /// How long the caller waits, if it said so.
        wait: Option<Duration>,
        /// True if it is the first on its caller's connection.
        opened_connection: bool,
    },
    /// The caller of a request is gone.
    CallerGone(QueryId),
    /// An attempt came back.
    Reply {
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        outcome: Outcome,
    },
    /// Servers came, changed or went.
    Servers(Vec<ServerChange>),
    /// A routing table is in force.
    Table(Arc<Routing>),
    /// Entries that share budgets and connections.
    Entries(u32),
    /// What other entries have found out.
    Hearsay(Vec<ServerTrouble>),
    /// The other entries of the own zone.
    Peers(Vec<Peer>),
    /// Another entry was heard.
    PeerHeard(InstanceId),
    /// Another entry takes no more groups.
    PeerLeaving(InstanceId),
    /// Something became of a group that another entry collects.
    Group {
        /// The group.
        group: AttemptId,
        /// What.
        news: GroupNews,
    },
    /// Another entry asks for a group of shards.
    Gather(GroupRequest),
    /// The entry that asked for a group leaves it to this one.
    GatherConfirmed(QueryId),
    /// Another entry needs a group no longer.
    GatherCancelled(QueryId),
    /// The process ends: every request gets its final answer now.
    Stop,
    /// Time has passed.
    Tick,
}

/// What becomes of a group that another entry collects.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupNews {
    /// The other entry has begun with it.
    Begun,
    /// Parts of it.
    Parts {
        /// Positions within the group of the shards that are in with this.
        shards: Vec<usize>,
        /// Positions of shards whose queue is not empty, and the expected wait.
        waits: Vec<(usize, Duration)>,
        /// True if nothing more comes.
        last: bool,
    },
    /// The other entry does not take it; nothing ran.
    Declined,
    /// The other entry cannot be reached; nothing ran.
    Unsent,
    /// The connection broke; it may have run.
    Lost,
}

/// A group of shards given to another entry.
#[derive(Clone, Debug)]
pub struct Delegation {
    /// Names the group.
    pub group: AttemptId,
    /// The request.
    pub request: QueryId,
    /// The other entry.
    pub peer: InstanceId,
    /// Where it takes groups.
    pub address: SocketAddr,
    /// The route, with the shards of the group only.
    pub route: Arc<Route>,
    /// Time until its parts are due.
    pub due_in: Duration,
    /// Time left for the request.
    pub left: Duration,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole successful answer to this very request.
    Answered,
    /// A whole answer of the server that is a failure; the request ran.
    Error,
    /// The server states that it did not run the request.
    NotRun,
    /// Another server has the address; the request did not run.
    WrongServer,
    /// Nothing reached the server.
    NotSent,
    /// The answer was lost or is not one; the request may have run.
    Lost,
}

impl Outcome {
    /// The outcome as words.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Error => "error",
            Self::NotRun => "not run",
            Self::WrongServer => "wrong server",
            Self::NotSent => "not sent",
            Self::Lost => "lost",
        }
    }
}

/// An attempt to send.
#[derive(Clone, Debug)]
pub struct Send {
    /// Names the attempt.
    pub attempt: AttemptId,
    /// Why it is sent.
    pub kind: SendKind,
    /// The request.
    pub request: QueryId,
    /// The server that must answer it.
    pub server: ServerId,
    /// Where it is.
    pub address: SocketAddr,
    /// Connections that this entry may have to it.
    pub share: u32,
    /// Time left for the answer.
    pub left: Duration,
}

/// How a request ends.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The answer of this attempt is handed on.
    Forward(AttemptId),
    /// The answers of these attempts are merged.
    Merge {
        /// The attempts and groups whose parts are in.
        attempts: Vec<AttemptId>,
        /// Shards that are left out.
        missing: usize,
        /// Records in the answer.
        limit: usize,
    },
    /// There is no answer.
    Refuse(Refusal),
}

/// What an engine wants done.
#[derive(Debug)]
pub enum Output {
    /// Send an attempt.
    Send(Send),
    /// Break off an attempt.
    BreakOff(AttemptId),
    /// Nobody needs what this attempt or group brought.
    Forget(AttemptId),
    /// Give a group of shards to another entry.
    Delegate(Delegation),
    /// Tell another entry that it may send the shards of a group as often as is allowed.
    ConfirmGroup(AttemptId),
    /// Tell another entry that a group is not needed any more.
    CancelGroup(AttemptId),
    /// Ask another entry whether it is back.
    ProbePeer {
        /// The entry.
        peer: InstanceId,
        /// Where it takes groups.
        address: SocketAddr,
    },
    /// Tell the entry that asked for a group what is in.
    Parts {
        /// The group.
        request: QueryId,
        /// Positions within the group and the attempts that brought their parts.
        parts: Vec<(usize, AttemptId)>,
        /// Positions of shards whose queue is not empty, and the expected wait.
        waits: Vec<(usize, Duration)>,
        /// Records in the merged answer.
        limit: usize,
        /// True if nothing more comes.
        last: bool,
    },
    /// Tell the entry that asked for a group that it is not taken.
    Decline(QueryId),
    /// Tell the caller.
    Finish {
        /// The request.
        request: QueryId,
        /// How it ends.
        verdict: Verdict,
    },
    /// Write to the log.
    Log(Decision),
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// First attempts, hedges, retries and probes sent.
    pub sends: [u64; 4],
    /// Hedges that the budget did not allow.
    pub hedges_denied: u64,
    /// Attempts broken off.
    pub broken_off: u64,
}

/// An attempt that is out.
#[derive(Debug)]
struct Flight {
    /// The request, or nothing once it does not wait any more.
    request: Option<QueryId>,
    id: SmolStr,
    route: RouteId,
    cell: usize,
    server: usize,
    sent_at: Mono,
    kind: SendKind,
    /// True once its server was taken for silent.
    silent: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Timer {
    Request(QueryId),
    Linger(AttemptId),
}

/// All requests of one entry.
#[derive(Debug)]
pub struct Engine {
    params: EngineParams,
    rng: SmallRng,
    /// Nothing until a table is known.
    table: Option<Arc<Routing>>,
    index: RouteIndex,
    splitters: HashMap<RouteId, Splitter>,
    stats: HashMap<RouteId, LatencyWindow>,
    /// Positions stay; a service that no table names keeps its place.
    services: IndexMap<ServiceId, Service>,
    servers: Vec<Server>,
    server_names: HashMap<ServerId, usize>,
    /// Positions in `servers` that can be used again.
    free: Vec<usize>,
    entries: u32,
    requests: HashMap<QueryId, Running>,
    flights: HashMap<AttemptId, Flight>,
    peers: Peers,
    groups: HashMap<AttemptId, delegating::GroupFlight>,
    next_attempt: u64,
    timers: BinaryHeap<Reverse<(Mono, Timer)>>,
    counters: Counters,
}

/// Entries assumed while their number is not known: more than any fleet of one table has so far.
const ASSUMED_ENTRIES: u32 = 64;
/// Quantile of a route's latencies after which a second attempt is sent.
const HEDGE_QUANTILE: f64 = 0.9;

impl Engine {
    /// An engine without table or servers.
    pub fn new(params: EngineParams) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(params.seed),
            table: None,
            index: RouteIndex::default(),
            splitters: HashMap::new(),
            stats: HashMap::new(),
            services: IndexMap::new(),
            servers: Vec::new(),
            server_names: HashMap::new(),
            free: Vec::new(),
            entries: ASSUMED_ENTRIES,
            requests: HashMap::new(),
            flights: HashMap::new(),
            peers: Peers::default(),
            groups: HashMap::new(),
            next_attempt: 1,
            timers: BinaryHeap::new(),
            counters: Counters::default(),
            params,
        }
    }

    /// Takes one input and appends what it leads to.
    pub fn step(&mut self, now: Mono, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Request { key, id, host, path, wait, opened_connection } => {
                let arrival = intake::Arrival { key, id, host, path, wait, opened_connection };
                self.on_request(now, arrival, out);
            }
            Input::CallerGone(key) => self.on_caller_gone(now, key, out),
            Input::Reply { attempt, outcome } => self.on_reply(now, attempt, outcome, out),
            Input::Servers(changes) => self.on_servers(now, changes, out),
            Input::Table(table) => self.on_table(table, out),
            Input::Entries(entries) => self.on_entries(entries),
            Input::Hearsay(told) => self.on_hearsay(now, &told),
            Input::Peers(peers) => self.peers.replace(peers),
            Input::PeerHeard(peer) => self.hear_peer(&peer, out),
            Input::PeerLeaving(peer) => self.on_peer_leaving(now, &peer, out),
            Input::Group { group, news } => self.on_group(now, group, news, out),
            Input::Gather(asked) => self.on_gather(now, asked, out),
            Input::GatherConfirmed(key) => self.on_gather_confirmed(now, key, out),
            Input::GatherCancelled(key) => self.on_gather_cancelled(now, key, out),
            Input::Stop => self.stop(now, out),
            Input::Tick => {}
        }
        self.run_timers(now, out);
    }

    /// When [`Input::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Option<Mono> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Requests without a verdict.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// The table in force.
    pub fn table(&self) -> Option<&Arc<Routing>> {
        self.table.as_ref()
    }

    /// Servers that may be used.
    pub fn usable_servers(&self) -> usize {
        self.server_names.len()
    }

    /// Servers that this entry has found not well.
    pub fn troubles(&self, now: Mono) -> Vec<ServerTrouble> {
        let known = self.server_names.iter();
        let bad = known.filter_map(|(name, i)| {
            let (slowness, silent) = self.servers[*i].trouble(now)?;
            Some(ServerTrouble { server: name.clone(), slowness, silent })
        });
        bad.collect()
    }

    /// Servers that are avoided for their failures.
    pub fn avoided_servers(&self) -> usize {
        self.server_names.values().filter(|i| self.servers[**i].is_ejected()).count()
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn run_timers(&mut self, now: Mono, out: &mut Vec<Output>) {
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            match timer {
                Timer::Request(key) => self.on_wake(now, key, out),
                Timer::Linger(attempt) => self.break_off(now, attempt, out),
            }
        }
    }

    fn on_wake(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        running.armed = Mono::MAX;
        if now >= running.deadline {
            return self.give_up(now, key, RefusalKind::TimedOut, out);
        }
        self.take_back(now, key, out);
        let Some(running) = self.requests.get_mut(&key) else { return };
        if now >= running.answer_by && !running.overdue {
            running.overdue = true;
            self.note_overdue(now, key, out);
            self.note_silent_peers(now, key, out);
            if self.on_answer_due(now, key, out) {
                return;
            }
        }
        self.hedge(now, key, out);
        self.arm(key);
    }

    /// Sets the timer of a request to its next wake.
    fn arm(&mut self, key: QueryId) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        let wake = running.next_wake();
        if wake < running.armed {
            running.armed = wake;
            self.timers.push(Reverse((wake, Timer::Request(key))));
        }
    }

    fn stats(&mut self, route: &RouteId) -> &mut LatencyWindow {
        if !self.stats.contains_key(route) {
            self.stats.insert(route.clone(), LatencyWindow::new(HEDGE_QUANTILE));
        }
        self.stats.get_mut(route).expect("it was just inserted")
    }
}
