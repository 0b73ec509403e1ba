//! All requests of one entry: `step(now, input) -> outputs`.
//!
//! - [`messages`]: what happens to an engine and what it wants done
//! - [`admission`]: matching, admission, refusal at arrival
//! - [`placement`]: shards onto servers, and the queue for room
//! - [`attempts`]: what attempts bring back
//! - [`hedging`]: second attempts for late shards
//! - [`completion`]: answers and refusals
//! - [`delegation`]: groups of shards that other entries collect
//! - [`gathering`]: groups of shards that this entry collects for others
//! - [`servers`]: servers, tables and the number of entries

mod admission;
mod attempts;
mod completion;
mod delegation;
mod gathering;
mod hedging;
mod messages;
mod placement;
mod servers;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

use hornbeam_model::{AttemptId, Mono, QueryId, RouteId, RouteIndex, Routing, ServerId, ServiceId};
use hornbeam_traffic::latency::LatencyWindow;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

pub use self::delegation::group_size;
pub use self::gathering::GroupRequest;
pub use self::messages::{
    Attempt, AttemptOutcome, Completion, Counters, Delegation, EngineParams, GroupEvent, Input,
    Output, ServerChange, ServerHealthReport,
};
use crate::decision::AttemptKind;
use crate::peers::Peers;
use crate::request::{RefusalKind, RunningRequest};
use crate::server::Server;
use crate::service::Service;
use crate::split::Splitter;

/// An attempt that is out.
#[derive(Debug)]
struct InFlightAttempt {
    /// The request, or nothing once it does not wait any more.
    request: Option<QueryId>,
    id: SmolStr,
    route: RouteId,
    shard: usize,
    server: usize,
    sent_at: Mono,
    kind: AttemptKind,
    /// True once its server was taken for silent.
    marked_unresponsive: bool,
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
    free_positions: Vec<usize>,
    entries: u32,
    requests: HashMap<QueryId, RunningRequest>,
    attempts: HashMap<AttemptId, InFlightAttempt>,
    peers: Peers,
    groups: HashMap<AttemptId, delegation::DelegatedGroup>,
    next_attempt: u64,
    timers: BinaryHeap<Reverse<(Mono, Timer)>>,
    counters: Counters,
}

/// Entries assumed while their number is not known: more than any fleet of one table has so far.
const ASSUMED_ENTRY_COUNT: u32 = 64;
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
            free_positions: Vec::new(),
            entries: ASSUMED_ENTRY_COUNT,
            requests: HashMap::new(),
            attempts: HashMap::new(),
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
            Input::Request { key, id, host, path, patience, opened_connection } => {
                let arrival =
                    admission::Arrival { key, id, host, path, patience, opened_connection };
                self.on_request(now, arrival, out);
            }
            Input::CallerGone(key) => self.on_caller_gone(now, key, out),
            Input::AttemptFinished { attempt, outcome } => {
                self.on_reply(now, attempt, outcome, out)
            }
            Input::Servers(changes) => self.on_servers(now, changes, out),
            Input::Table(table) => self.on_table(table, out),
            Input::EntryCount(entries) => self.on_entries(entries),
            Input::PeerHealthReports(told) => self.on_peer_health_reports(now, &told),
            Input::Peers(peers) => self.peers.replace(peers),
            Input::PeerAlive(peer) => self.restore_peer(&peer, out),
            Input::PeerLeaving(peer) => self.suspect_peer(now, &peer, out),
            Input::GroupEvent { group, event } => self.on_group_event(now, group, event, out),
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

    /// Requests without a completion.
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
    pub fn health_reports(&self, now: Mono) -> Vec<ServerHealthReport> {
        let known = self.server_names.iter();
        let bad = known.filter_map(|(name, i)| {
            let (slowness, unresponsive) = self.servers[*i].health_report(now)?;
            Some(ServerHealthReport { server: name.clone(), slowness, unresponsive })
        });
        bad.collect()
    }

    /// Servers that are avoided for their failures.
    pub fn ejected_servers(&self) -> usize {
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
                Timer::Linger(attempt) => self.abort(now, attempt, out),
            }
        }
    }

    fn on_wake(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        running.timer_at = Mono::MAX;
        if now >= running.deadline {
            return self.end_request(now, key, RefusalKind::TimedOut, out);
        }
        self.reclaim_groups(now, key, out);
        let Some(running) = self.requests.get_mut(&key) else { return };
        if now >= running.answer_by && !running.overdue {
            running.overdue = true;
            self.record_overdue(now, key, out);
            self.suspect_unresponsive_peers(now, key, out);
            if self.on_due_time(now, key, out) {
                return;
            }
        }
        self.hedge(now, key, out);
        self.arm_timer(key);
    }

    /// Sets the timer of a request to its next wake.
    fn arm_timer(&mut self, key: QueryId) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        let wake = running.next_wake();
        if wake < running.timer_at {
            running.timer_at = wake;
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
