//! State machine of all queries of one instance: `step(now, input) -> outputs`.
//!
//! It performs no I/O and reads no clock, so that the process, the scenarios and the benchmarks run
//! the same code.
//!
//! - [`intake`]: validation, admission and start of new requests
//! - [`placement`]: assignment of shards to attempts, retries and restarts
//! - [`replies`]: outcomes of attempts
//! - [`hedging`]: hedged requests for late shards, and cancellation
//! - [`finish`]: responses and refusals

mod finish;
mod hedging;
mod intake;
mod placement;
mod replies;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::{AttemptId, Config, IndexVersion, InstanceId, Mono, QueryId, ServiceId, Zone};
use hornbeam_traffic::{
    Admission, Fleet, FleetParams, Roster, SchemaMask, ServerChange, ServerIdx,
};
use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::attempt::{Attempt, AttemptKind, AttemptOutcome};
use crate::query::Query;
use crate::request::Request;
use crate::response::{QueryResponse, Refusal};

/// Policy for sending hedged requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum HedgePolicy {
    /// After a delay derived from the latency of the service's attempts, within the retry budget.
    #[default]
    Learned,
    /// After a fixed delay, not limited by the retry budget; serves as a baseline in benchmarks.
    Fixed(Duration),
    /// Never; serves as a baseline in benchmarks.
    Off,
}

/// Parameters of an [`Engine`].
#[derive(Clone, Debug)]
pub struct EngineParams {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: Zone,
    /// Maximum number of concurrently running queries over all services.
    pub max_running: u32,
    /// Policy for hedged requests.
    pub hedge: HedgePolicy,
    /// Choose replicas at random instead of by cost; serves as a baseline in benchmarks.
    pub random_pick: bool,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Input of [`Engine::step`].
#[derive(Debug)]
pub enum Input {
    /// A caller sent a request.
    Request(Request),
    /// The caller of a request disconnected.
    CallerGone(QueryId),
    /// An attempt ended, with or without a reply of the server.
    Reply {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// True if the reply says that the server is draining.
        draining: bool,
    },
    /// Servers were added, changed or removed.
    Servers(Vec<ServerChange>),
    /// A configuration came into force.
    Config(Arc<Config>),
    /// At this time, a quorum confirmed the configuration in force.
    Confirmed(Mono),
    /// The instances among which connections are shared.
    Roster(Roster),
    /// Refuse new requests from now on.
    Drain,
    /// A timer may have expired; see [`Engine::next_wake`].
    Tick,
}

/// Output of [`Engine::step`], to be carried out by the process.
#[derive(Debug)]
pub enum Output {
    /// Send an attempt.
    Send(Box<Attempt>),
    /// Cancel an attempt at its server.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The server that the attempt was sent to.
        server: ServerIdx,
    },
    /// Respond to a caller.
    Respond(Box<QueryResponse>),
    /// Refuse a caller's request.
    Refuse(Box<Refusal>),
    /// Report an event.
    Event(Event),
}

/// Counts since the engine was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Primary attempts sent.
    pub primaries: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Retries sent.
    pub retries: u64,
    /// Attempts cancelled.
    pub cancels: u64,
    /// Replies to attempts that are unknown or were cancelled.
    pub late_replies: u64,
    /// Replies discarded because their attempt, index version, shards or schema versions do not
    /// match the request.
    pub mismatched_replies: u64,
    /// Times that the retry budget denied extra requests.
    pub budget_denied: u64,
}

/// An attempt that has no outcome yet.
#[derive(Debug)]
struct InFlightAttempt {
    /// The query, or `None` once the attempt is cancelled.
    query: Option<QueryId>,
    service: ServiceId,
    server: ServerIdx,
    kind: AttemptKind,
    sent_at: Mono,
    index_version: IndexVersion,
    /// Requested schema versions.
    mask: SchemaMask,
    /// Requested shards, as positions in `Query::requested`.
    positions: Vec<u32>,
    /// Attempts sent for some of the same shards: its hedges, or the attempt that it hedges.
    overlapping: Vec<AttemptId>,
    /// True if it is a hedge or a hedge was sent for it.
    hedged: bool,
    /// True once it has outlasted the hedge delay.
    late: bool,
}

/// State machine of all queries of one instance.
#[derive(Debug)]
pub struct Engine {
    params: EngineParams,
    rng: SmallRng,
    /// The configuration in force; `None` until one is known.
    config: Option<Arc<Config>>,
    /// Latest time at which a quorum confirmed the configuration.
    confirmed_at: Option<Mono>,
    draining: bool,
    fleet: Fleet,
    admission: Admission,
    /// Requests queued for admission.
    waiting: HashMap<QueryId, intake::PendingRequest>,
    queries: HashMap<QueryId, Query>,
    /// In-flight attempts, including cancelled ones.
    attempts: HashMap<AttemptId, InFlightAttempt>,
    next_attempt: u64,
    /// Queries with shards that wait for capacity or retry budget, by service, longest wait first.
    stalled: IndexMap<ServiceId, IndexSet<QueryId>>,
    /// Wake-up times of queries; timers of ended queries have no effect.
    timers: BinaryHeap<Reverse<(Mono, QueryId)>>,
    counters: Counters,
}

impl Engine {
    /// Creates an engine without configuration and servers.
    pub fn new(params: EngineParams, roster: Roster) -> Self {
        let fleet_params = FleetParams {
            instance: params.instance.clone(),
            zone: params.zone.clone(),
            random_pick: params.random_pick,
        };
        Self {
            rng: SmallRng::seed_from_u64(params.seed),
            config: None,
            confirmed_at: None,
            draining: false,
            fleet: Fleet::new(fleet_params, roster),
            admission: Admission::new(params.max_running),
            waiting: HashMap::new(),
            queries: HashMap::new(),
            attempts: HashMap::new(),
            next_attempt: 1,
            stalled: IndexMap::new(),
            timers: BinaryHeap::new(),
            counters: Counters::default(),
            params,
        }
    }

    /// Processes one input, then expired timers and queued requests; appends the outputs to `out`.
    pub fn step(&mut self, now: Mono, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Request(request) => self.on_request(now, request, out),
            Input::CallerGone(query) => self.on_caller_gone(now, query, out),
            Input::Reply { attempt, outcome, draining } => {
                self.on_reply(now, attempt, outcome, draining, out);
            }
            Input::Servers(changes) => self.on_servers(now, &changes, out),
            Input::Config(config) => self.on_config(now, config, out),
            Input::Confirmed(at) => self.confirmed_at = self.confirmed_at.max(Some(at)),
            Input::Roster(roster) => self.fleet.set_roster(roster),
            Input::Drain => self.draining = true,
            Input::Tick => {}
        }
        self.run_timers(now, out);
        self.run_queued(now, out);
    }

    /// Returns the time at which [`Input::Tick`] is due at the latest, if a timer is set.
    pub fn next_wake(&self) -> Option<Mono> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let waiting = self.admission.next_wake();
        let tables = self.fleet.next_wake();
        [timer, waiting, tables].into_iter().flatten().min()
    }

    /// Returns the number of requests that are running or queued.
    pub fn in_flight(&self) -> usize {
        self.queries.len() + self.waiting.len()
    }

    /// Returns the counts since the engine was created.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the servers and their placement tables.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the current concurrency limit of a service, or 0 if the service is unknown.
    pub fn concurrency_limit(&self, service: &ServiceId) -> u32 {
        self.admission.limit(service)
    }

    /// Returns the configuration in force, if one is known.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    fn on_servers(&mut self, now: Mono, changes: &[ServerChange], out: &mut Vec<Output>) {
        let (rebuilt, events) = self.fleet.apply(now, changes);
        out.extend(events.into_iter().map(Output::Event));
        for service in rebuilt {
            self.replan_service(now, &service, out);
        }
    }

    fn on_config(&mut self, now: Mono, config: Arc<Config>, out: &mut Vec<Output>) {
        if self.config.as_ref().is_some_and(|c| c.revision >= config.revision) {
            return;
        }
        let events = self.fleet.set_config(now, &config);
        out.extend(events.into_iter().map(Output::Event));
        for (name, service) in &config.services {
            self.admission.set_limits(name, &service.limits);
        }
        out.push(Output::Event(Event::ConfigInForce { revision: config.revision }));
        self.config = Some(config);
    }

    fn run_timers(&mut self, now: Mono, out: &mut Vec<Output>) {
        if self.fleet.next_wake().is_some_and(|at| at <= now) {
            let mut events = Vec::new();
            self.fleet.choose_versions(now, &mut events);
            out.extend(events.into_iter().map(Output::Event));
        }
        while let Some(Reverse((at, id))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.on_wake(now, id, out);
        }
    }

    fn on_wake(&mut self, now: Mono, id: QueryId, out: &mut Vec<Output>) {
        let Some(query) = self.queries.get(&id) else { return };
        if now >= query.due_at {
            self.finish(now, id, out);
            return;
        }
        if now >= query.next_hedge_at {
            self.hedge(now, id, out);
            self.schedule_wake(id);
        }
    }

    /// Adds a timer for the next wake-up of a query.
    fn schedule_wake(&mut self, id: QueryId) {
        if let Some(query) = self.queries.get(&id) {
            self.timers.push(Reverse((query.next_wake(), id)));
        }
    }
}
