//! All queries of one instance: `step(now, input) -> outputs`.
//!
//! Holds no clock, socket or file. The process shell, the scenarios and the benchmarks drive this
//! same code.
//!
//! - [`intake`]: new requests, pinning, admission
//! - [`placing`]: shards onto attempts, retries, restarts
//! - [`replies`]: what attempts bring back
//! - [`hedging`]: second attempts for late shards
//! - [`finish`]: answers and refusals

mod finish;
mod hedging;
mod intake;
mod placing;
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

/// When a second attempt is sent for a late shard.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum HedgePolicy {
    /// After a delay learned from the service's attempts, within its budget.
    #[default]
    Learned,
    /// After a fixed delay, without budget; a baseline of the benchmarks.
    Fixed(Duration),
    /// Never; a baseline of the benchmarks.
    Off,
}

/// What an engine needs to know of its instance.
#[derive(Clone, Debug)]
pub struct EngineParams {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Queries that may run at once over all services.
    pub max_running: u32,
    /// When hedges are sent.
    pub hedge: HedgePolicy,
    /// Choose replicas at random; a baseline of the benchmarks.
    pub random_pick: bool,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What happens to an engine.
#[derive(Debug)]
pub enum Input {
    /// A caller's request.
    Request(Request),
    /// The caller of a request is gone.
    CallerGone(QueryId),
    /// An attempt came back.
    Reply {
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        outcome: AttemptOutcome,
        /// True if the reply carried a drain mark.
        draining: bool,
    },
    /// Servers came, changed or went.
    Servers(Vec<ServerChange>),
    /// A configuration is in force.
    Config(Arc<Config>),
    /// A quorum confirmed the configuration in force at this time.
    Confirmed(Mono),
    /// The instances among which connections are shared.
    Roster(Roster),
    /// No new requests any more.
    Drain,
    /// Time has passed.
    Tick,
}

/// What an engine wants done.
#[derive(Debug)]
pub enum Output {
    /// Send an attempt.
    Send(Box<Attempt>),
    /// Tell a server that an attempt is no longer wanted.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The server that has it.
        server: ServerIdx,
    },
    /// Answer a caller.
    Respond(Box<QueryResponse>),
    /// Refuse a caller.
    Refuse(Box<Refusal>),
    /// Note an event.
    Event(Event),
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// First attempts sent.
    pub primaries: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Retries sent.
    pub retries: u64,
    /// Attempts cancelled.
    pub cancels: u64,
    /// Replies to attempts that nobody waits for.
    pub late_replies: u64,
    /// Replies dropped for naming another attempt, version, shard or schema.
    pub mismatched_replies: u64,
    /// Extra attempts that the budget did not allow.
    pub budget_denied: u64,
}

/// An attempt that has left and not come back.
#[derive(Debug)]
struct Flight {
    /// The query, or nothing once it does not wait any more.
    query: Option<QueryId>,
    service: ServiceId,
    server: ServerIdx,
    kind: AttemptKind,
    sent_at: Mono,
    index_version: IndexVersion,
    mask: SchemaMask,
    /// Positions in the query's list of shards.
    cells: Vec<u32>,
    /// Attempts out for some of the same shards.
    partners: Vec<AttemptId>,
    hedged: bool,
    /// True once it was late enough for a hedge.
    late: bool,
}

/// All queries of one instance.
#[derive(Debug)]
pub struct Engine {
    params: EngineParams,
    rng: SmallRng,
    /// Nothing until a configuration is known.
    config: Option<Arc<Config>>,
    confirmed: Option<Mono>,
    draining: bool,
    fleet: Fleet,
    admission: Admission,
    /// Requests that wait for admission.
    waiting: HashMap<QueryId, intake::Arrival>,
    queries: HashMap<QueryId, Query>,
    flights: HashMap<AttemptId, Flight>,
    next_attempt: u64,
    /// Queries with shards that wait for room or budget, by service, oldest first.
    starved: IndexMap<ServiceId, IndexSet<QueryId>>,
    timers: BinaryHeap<Reverse<(Mono, QueryId)>>,
    counters: Counters,
}

impl Engine {
    /// An engine without configuration or servers.
    pub fn new(params: EngineParams, roster: Roster) -> Self {
        let fleet_params = FleetParams {
            instance: params.instance.clone(),
            zone: params.zone.clone(),
            random_pick: params.random_pick,
        };
        Self {
            rng: SmallRng::seed_from_u64(params.seed),
            config: None,
            confirmed: None,
            draining: false,
            fleet: Fleet::new(fleet_params, roster),
            admission: Admission::new(params.max_running),
            waiting: HashMap::new(),
            queries: HashMap::new(),
            flights: HashMap::new(),
            next_attempt: 1,
            starved: IndexMap::new(),
            timers: BinaryHeap::new(),
            counters: Counters::default(),
            params,
        }
    }

    /// Takes one input and appends what it leads to.
    pub fn step(&mut self, now: Mono, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Request(request) => self.on_request(now, request, out),
            Input::CallerGone(query) => self.on_caller_gone(now, query, out),
            Input::Reply { attempt, outcome, draining } => {
                self.on_reply(now, attempt, outcome, draining, out);
            }
            Input::Servers(changes) => self.on_servers(now, &changes, out),
            Input::Config(config) => self.on_config(now, config, out),
            Input::Confirmed(at) => self.confirmed = self.confirmed.max(Some(at)),
            Input::Roster(roster) => self.fleet.set_roster(roster),
            Input::Drain => self.draining = true,
            Input::Tick => {}
        }
        self.run_timers(now, out);
        self.run_waiting(now, out);
    }

    /// When [`Input::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Option<Mono> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let waiting = self.admission.next_wake();
        let tables = self.fleet.next_wake();
        [timer, waiting, tables].into_iter().flatten().min()
    }

    /// Requests that are not answered yet.
    pub fn in_flight(&self) -> usize {
        self.queries.len() + self.waiting.len()
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The servers and tables.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The concurrency limit of a service.
    pub fn concurrency_limit(&self, service: &ServiceId) -> u32 {
        self.admission.limit(service)
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    fn on_servers(&mut self, now: Mono, changes: &[ServerChange], out: &mut Vec<Output>) {
        let (touched, events) = self.fleet.apply(now, changes);
        out.extend(events.into_iter().map(Output::Event));
        for service in touched {
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
        if now >= query.finish_at {
            self.finish(now, id, out);
            return;
        }
        if now >= query.next_hedge {
            self.hedge(now, id, out);
            self.arm(id);
        }
    }

    /// Sets the timer of a query to its next wake.
    fn arm(&mut self, id: QueryId) {
        if let Some(query) = self.queries.get(&id) {
            self.timers.push(Reverse((query.next_wake(), id)));
        }
    }
}
