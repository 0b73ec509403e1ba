//! Runs the routing engine: executes its outputs and holds requests, callers and results between
//! steps.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hornbeam_discovery::{FeedCounts, InitialSync, Isolation, ServerReach};
use hornbeam_model::{AttemptId, CallerLimits, CrashReport, Mono, QueryId, RateReport};
use hornbeam_node::clock::Clock;
use hornbeam_node::memory::MemoryBudget;
use hornbeam_node::structured::StructuredLog;
use hornbeam_route::{Attempt, Completion, Engine, Input, Output, Refusal, merge_records};
use serde_json::json;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

use crate::backends::{Backends, Exchange};
use crate::dialect::Dialect;
use crate::group_exchange::GroupExchange;
use crate::metrics::Metrics;
pub use crate::request::{ForwardedRequest, ReceivedRequest};
use crate::response::RawResponse;
use crate::team_fields::SetAside;

/// Longest sleep of the timer task.
const MAX_TIMER_SLEEP: Duration = Duration::from_millis(500);

/// The response that a caller gets.
#[derive(Debug)]
pub enum Reply {
    /// A backend server's response, unchanged but for hop-by-hop header fields.
    Forward(RawResponse),
    /// Shard responses merged into one.
    Merged {
        /// Signatures of the shard responses.
        signatures: Vec<Vec<u8>>,
        /// Number of missing shards.
        missing: usize,
        /// Merged records.
        body: Bytes,
    },
    /// The request is refused.
    Refuse(Refusal),
}

/// Responses of a delegated shard group that another entry has gathered so far.
#[derive(Debug, Default)]
pub struct GroupResponses {
    /// Signatures of the shard responses.
    pub signatures: Vec<Vec<u8>>,
    /// Greatest records of the shard responses: one merged body for each message received.
    pub records: Vec<Bytes>,
}

/// The result of an attempt or of a delegated group.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    Response(RawResponse),
    Group(GroupResponses),
}

/// The routing engine of an entry with the state that its outputs refer to. Lives on the traffic
/// thread.
pub struct Core {
    pub(crate) engine: RefCell<Engine>,
    /// Clock of the engine.
    pub clock: Clock,
    /// Names of headers and paths.
    pub dialect: Dialect,
    /// Metrics of this entry.
    pub metrics: Metrics,
    /// Memory for what servers, callers and other entries send.
    pub memory: MemoryBudget,
    pub(crate) log: StructuredLog,
    backends: Backends,
    /// Shard groups that are exchanged with other entries.
    pub group_exchange: GroupExchange,
    pub(crate) initial_sync: Cell<InitialSync>,
    pub(crate) started_at: Mono,
    /// True once the entry drains and gathers no new groups.
    pub(crate) draining: Cell<bool>,
    callers: RefCell<HashMap<QueryId, oneshot::Sender<Reply>>>,
    pub(crate) requests: RefCell<HashMap<QueryId, Rc<ForwardedRequest>>>,
    /// Header fields of requests that arrived before the first routing table.
    pub(crate) set_aside: RefCell<HashMap<QueryId, SetAside>>,
    /// Results that the engine has neither used nor discarded.
    pub(crate) results: RefCell<HashMap<AttemptId, AttemptResult>>,
    attempts: RefCell<HashMap<AttemptId, AbortHandle>>,
    next_key: Cell<u64>,
    isolation: Cell<Isolation>,
    /// Limits of the table in force, which apply to open connections as well; `None` before the first.
    pub(crate) caller_limits: Rc<Cell<Option<CallerLimits>>>,
    /// Wakes the timer task when the engine's next wake is earlier than before.
    timer: Notify,
}

impl Core {
    /// Creates a core without a routing table or servers.
    pub fn new(
        engine: Engine,
        clock: Clock,
        dialect: Dialect,
        metrics: Metrics,
        log: StructuredLog,
        group_exchange: GroupExchange,
        memory: MemoryBudget,
    ) -> Rc<Self> {
        Rc::new(Self {
            memory,
            engine: RefCell::new(engine),
            clock,
            dialect,
            metrics,
            log,
            backends: Backends::default(),
            group_exchange,
            initial_sync: Cell::default(),
            started_at: clock.now(),
            draining: Cell::new(false),
            callers: RefCell::default(),
            requests: RefCell::default(),
            set_aside: RefCell::default(),
            results: RefCell::default(),
            attempts: RefCell::default(),
            next_key: Cell::new(1),
            isolation: Cell::default(),
            caller_limits: Rc::default(),
            timer: Notify::new(),
        })
    }

    /// Calls `f` with read access to the engine.
    pub fn with_engine<T>(&self, f: impl FnOnce(&Engine) -> T) -> T {
        f(&self.engine.borrow())
    }

    /// Returns the rates that servers state, with the demand for each at this entry.
    pub fn rate_reports(&self) -> Vec<RateReport> {
        self.engine.borrow_mut().rate_reports(self.clock.now())
    }

    /// Returns the requests that were in flight at servers that ended, as far as this entry has
    /// observed or cleared them since the last call.
    pub fn take_crash_reports(&self) -> Vec<CrashReport> {
        self.engine.borrow_mut().take_crash_reports(self.clock.now())
    }

    /// Calls `f` with write access to the engine.
    pub(crate) fn with_engine_mut(&self, f: impl FnOnce(&mut Engine)) {
        f(&mut self.engine.borrow_mut());
    }

    /// Returns the pool of connections to backend servers.
    pub fn backends(&self) -> &Backends {
        &self.backends
    }

    /// Updates the initial synchronization and the isolation of this entry with new feed counts.
    pub fn on_feed_counts(self: &Rc<Self>, feeds: FeedCounts) {
        self.metrics.fresh_feeds.set(feeds.fresh as i64);
        self.update_initial_sync(feeds);
        let now = self.clock.now();
        let servers = self.with_engine(|e| ServerReach {
            usable: e.count_servers_in_use(),
            unreachable: e.unreachable_servers(),
            other_zones_lost: e.other_zones_lost(now),
        });
        let mut isolation = self.isolation.get();
        let changed = isolation.update(feeds, servers);
        self.isolation.set(isolation);
        if !changed {
            return;
        }
        let isolated = isolation.is_isolated();
        let fields = json!({
            "belief": "cut_off", "is": isolated, "fresh_feeds": feeds.fresh,
            "prompt_feeds": feeds.prompt, "recent_feeds": feeds.recent, "known_feeds": feeds.known,
            "avoided": servers.unreachable, "usable": servers.usable,
            "other_zones_lost": servers.other_zones_lost,
        });
        self.log.write("cut_off", true, &fields);
        self.step(Input::Isolated(isolated));
    }

    /// Returns true while this entry is isolated: other entries serve its callers better.
    pub fn is_isolated(&self) -> bool {
        self.isolation.get().is_isolated()
    }

    /// Returns a new key for a request or a gathered group, unique within this process.
    pub fn next_key(&self) -> QueryId {
        QueryId(self.next_key.replace(self.next_key.get() + 1))
    }

    /// Starts a request; returns its key and the receiver of its reply.
    pub fn start_request(
        self: &Rc<Self>,
        received: ReceivedRequest,
    ) -> (QueryId, oneshot::Receiver<Reply>) {
        let ReceivedRequest {
            forwarded,
            credential,
            set_aside,
            host,
            path,
            patience,
            opened_connection,
            ..
        } = received;
        let key = self.next_key();
        let (tx, rx) = oneshot::channel();
        let (id, fingerprint) = (forwarded.id.clone(), forwarded.fingerprint);
        self.callers.borrow_mut().insert(key, tx);
        self.requests.borrow_mut().insert(key, Rc::new(forwarded));
        if !set_aside.is_empty() {
            self.set_aside.borrow_mut().insert(key, set_aside);
        }
        self.step(Input::Request {
            key,
            id,
            fingerprint,
            credential,
            host,
            path,
            patience,
            opened_connection,
        });
        (key, rx)
    }

    /// Ends a request whose caller has disconnected; without effect if the caller has its reply.
    pub fn on_caller_gone(self: &Rc<Self>, key: QueryId) {
        if self.callers.borrow_mut().remove(&key).is_some() {
            self.requests.borrow_mut().remove(&key);
            self.set_aside.borrow_mut().remove(&key);
            self.step(Input::CallerGone(key));
        }
    }

    /// Passes the outcome of an attempt to the engine and keeps its response, if any.
    fn on_attempt_finished(self: &Rc<Self>, attempt: AttemptId, exchange: Exchange) {
        let Exchange { outcome, notice, response } = exchange;
        self.attempts.borrow_mut().remove(&attempt);
        self.metrics.outcomes.with_label_values(&[outcome.label()]).inc();
        if let Some(response) = response {
            self.results.borrow_mut().insert(attempt, AttemptResult::Response(response));
        }
        self.step(Input::AttemptFinished { attempt, outcome, notice });
    }

    /// Passes one input to the engine and executes the outputs.
    pub fn step(self: &Rc<Self>, input: Input) {
        let mut out = Vec::new();
        let before = self.with_engine(Engine::next_wake);
        self.engine.borrow_mut().step(self.clock.now(), input, &mut out);
        self.caller_limits.set(self.with_engine(|e| e.table().map(|t| t.limits)));
        let mut cancelled = Vec::new();
        for output in out {
            match output {
                Output::CancelGroup(group) => cancelled.push(group),
                output => self.execute(output),
            }
        }
        if !cancelled.is_empty() {
            // In a separate task, so that the reply to the caller is written first.
            let core = self.clone();
            tokio::task::spawn_local(async move {
                for group in cancelled {
                    core.group_exchange.cancel(group);
                }
            });
        }
        let after = self.with_engine(Engine::next_wake);
        if after.is_some_and(|a| before.is_none_or(|b| a < b)) {
            self.timer.notify_one();
        }
        self.metrics.in_flight.set(self.with_engine(Engine::in_flight) as i64);
        self.metrics.held_results.set(self.results.borrow().len() as i64);
        self.metrics.reserved_bytes.set(self.memory.used() as i64);
    }

    fn execute(self: &Rc<Self>, output: Output) {
        match output {
            Output::SendAttempt(attempt) => self.send(attempt),
            Output::SetTeamField { request, field } => self.set_team_field(request, &field),
            Output::Abort(attempt) => {
                if let Some(task) = self.attempts.borrow_mut().remove(&attempt) {
                    task.abort();
                }
            }
            Output::Discard(attempt) => {
                self.results.borrow_mut().remove(&attempt);
            }
            Output::CloseIdle(server) => self.backends.close(&server),
            Output::CheckServer { server, incarnation, address, witnesses } => {
                let core = self.clone();
                tokio::task::spawn_local(async move {
                    let has_ended = core.backends.has_ended(&server, address, &witnesses).await;
                    core.step(Input::ServerChecked { server, incarnation, has_ended });
                });
            }
            Output::Complete { request, completion } => self.complete(request, completion),
            Output::Log(decision) => self.record_decision(&decision),
            Output::Delegate(delegation) => self.delegate(delegation),
            Output::ConfirmGroup(group) => self.group_exchange.confirm(group),
            // Cancellations are collected in `step`.
            Output::CancelGroup(_) => {}
            Output::ProbePeer { peer, address, path } => {
                self.group_exchange.probe(self, &peer, address, path);
            }
            Output::GroupResponses {
                request,
                responses,
                queue_waits,
                leaving,
                limit,
                last,
                unsent,
            } => {
                let gathered = self.take_responses(&responses, limit);
                self.group_exchange.report_leaving(request, leaving);
                self.send_gathered(request, gathered, &queue_waits, (last, &unsent));
            }
            Output::ForwardToOrigin { request, attempt, is_error, leaving } => {
                self.group_exchange.report_leaving(request, leaving);
                self.forward_to_origin(request, attempt, is_error);
            }
            Output::RefuseGroup { request, refusal } => {
                self.requests.borrow_mut().remove(&request);
                self.group_exchange.refuse(request, refusal);
            }
            Output::AnnounceAvailability => self.announce_availability(),
            Output::ProbeServer { server, address } => {
                let core = self.clone();
                tokio::task::spawn_local(async move {
                    let reachable = core.backends.probe(&server, address).await;
                    core.step(Input::ServerProbed { reachable });
                });
            }
            Output::DeclineGroup(key) => {
                self.requests.borrow_mut().remove(&key);
                self.group_exchange.decline(key);
            }
        }
    }

    fn send(self: &Rc<Self>, attempt: Attempt) {
        let Some(request) = self.requests.borrow().get(&attempt.request).cloned() else { return };
        let id = attempt.id;
        self.count_attempt(&attempt);
        let core = self.clone();
        let task = tokio::task::spawn_local(async move {
            let exchange = crate::backends::exchange(&core, &attempt, &request).await;
            core.count_bytes(&attempt, &request, &exchange);
            core.on_attempt_finished(id, exchange);
        });
        self.attempts.borrow_mut().insert(id, task.abort_handle());
    }

    fn complete(&self, request: QueryId, completion: Completion) {
        self.requests.borrow_mut().remove(&request);
        self.set_aside.borrow_mut().remove(&request);
        let mut results = self.results.borrow_mut();
        let reply = match completion {
            Completion::Forward(attempt) => match results.remove(&attempt) {
                Some(AttemptResult::Response(response)) => Some(Reply::Forward(response)),
                Some(AttemptResult::Group(_)) | None => None,
            },
            Completion::Merge { attempts, missing, limit } => {
                let merged = attempts.iter().filter_map(|a| results.remove(a));
                Some(self.merge(merged, missing, limit))
            }
            Completion::Refuse(refusal) => Some(Reply::Refuse(refusal)),
        };
        let caller = self.callers.borrow_mut().remove(&request);
        // Sending fails only if the caller has just disconnected; it needs no reply.
        if let (Some(tx), Some(reply)) = (caller, reply) {
            let _ = tx.send(reply);
        }
    }

    fn merge(
        &self,
        results: impl Iterator<Item = AttemptResult>,
        missing: usize,
        limit: usize,
    ) -> Reply {
        let name = &self.dialect.signature;
        let (mut signatures, mut bodies) = (Vec::new(), Vec::new());
        for result in results {
            match result {
                AttemptResult::Response(response) => {
                    signatures.extend(response.header(name).map(<[u8]>::to_vec));
                    bodies.push(response.body);
                }
                AttemptResult::Group(group) => {
                    signatures.extend(group.signatures);
                    bodies.extend(group.records);
                }
            }
        }
        let body = self.memory.hold(merge_records(bodies.iter().map(|b| &b[..]), limit));
        self.metrics.missing_shards.inc_by(missing as u64);
        Reply::Merged { signatures, missing, body }
    }
}

/// Steps the engine when one of its timers is due.
pub async fn run_timer(core: Rc<Core>) {
    loop {
        let latest = core.clock.now() + MAX_TIMER_SLEEP;
        let wake = core.with_engine(Engine::next_wake).map_or(latest, |w| w.min(latest));
        tokio::select! {
            () = tokio::time::sleep_until(core.clock.instant(wake)) => core.step(Input::Tick),
            () = core.timer.notified() => {}
        }
    }
}
