//! The engine with what waits for its outputs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hornbeam_discovery::{FeedCounts, InitialSync, Isolation};
use hornbeam_model::{AttemptId, Mono, QueryId};
use hornbeam_node::clock::Clock;
use hornbeam_node::structured::StructuredLog;
use hornbeam_route::{
    AttemptOutcome, Completion, Decision, Engine, Input, Output, Refusal, merge_records,
};
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

use crate::backends::Backends;
use crate::dialect::Dialect;
use crate::group_exchange::GroupExchange;
use crate::metrics::Metrics;
use crate::response::RawResponse;

/// Longest sleep of the timer task.
const IDLE_WAKE: Duration = Duration::from_millis(500);

/// A request as it is sent on.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Its id, as the caller gave it.
    pub id: SmolStr,
    /// Its head as it is sent on, without the fields of this entry and the empty line.
    pub head: Vec<u8>,
    /// Its whole body.
    pub body: Bytes,
}

/// A request as it was read.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The request as it is sent on.
    pub parts: ForwardedRequest,
    /// The host it names.
    pub host: SmolStr,
    /// Its path, without the query.
    pub path: SmolStr,
    /// How long the caller waits, if it said so.
    pub wait: Option<Duration>,
    /// True if it is the first on its connection.
    pub opened_connection: bool,
}

/// What a caller is told.
#[derive(Debug)]
pub enum Reply {
    /// A server's answer, unchanged.
    Forward(RawResponse),
    /// The merged parts of several servers.
    Merged {
        /// Their signatures.
        signatures: Vec<Vec<u8>>,
        /// Shards that are left out.
        missing: usize,
        /// The records.
        body: Vec<u8>,
    },
    /// There is no answer.
    Refuse(Refusal),
}

/// What another entry has collected of a group.
#[derive(Debug, Default)]
pub struct GroupResponses {
    /// Signatures of the parts.
    pub signatures: Vec<Vec<u8>>,
    /// Their greatest records, as they came.
    pub records: Vec<Vec<u8>>,
}

/// What an attempt or a group brought.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    Answer(RawResponse),
    Gathered(GroupResponses),
}

/// The engine with what waits for its outputs. Lives on the traffic thread.
pub struct Core {
    engine: RefCell<Engine>,
    /// The clock of the engine.
    pub clock: Clock,
    /// Names of headers and paths.
    pub dialect: Dialect,
    /// The metrics.
    pub metrics: Metrics,
    pub(crate) log: StructuredLog,
    backends: Backends,
    /// Groups of shards between entries.
    pub group_exchange: GroupExchange,
    pub(crate) settling: Cell<InitialSync>,
    pub(crate) started: Mono,
    /// True once the entry is told to stop.
    pub(crate) leaving: Cell<bool>,
    callers: RefCell<HashMap<QueryId, oneshot::Sender<Reply>>>,
    pub(crate) requests: RefCell<HashMap<QueryId, Rc<ForwardedRequest>>>,
    pub(crate) answers: RefCell<HashMap<AttemptId, AttemptResult>>,
    attempts: RefCell<HashMap<AttemptId, AbortHandle>>,
    next_key: Cell<u64>,
    reach: Cell<Isolation>,
    /// Wakes the timer task when the next wake may have moved forward.
    timer: Notify,
}

impl Core {
    /// A core without table or servers.
    pub fn new(
        engine: Engine,
        clock: Clock,
        dialect: Dialect,
        metrics: Metrics,
        log: StructuredLog,
        group_exchange: GroupExchange,
    ) -> Rc<Self> {
        Rc::new(Self {
            engine: RefCell::new(engine),
            clock,
            dialect,
            metrics,
            log,
            backends: Backends::default(),
            group_exchange,
            settling: Cell::default(),
            started: clock.now(),
            leaving: Cell::new(false),
            callers: RefCell::default(),
            requests: RefCell::default(),
            answers: RefCell::default(),
            attempts: RefCell::default(),
            next_key: Cell::new(1),
            reach: Cell::default(),
            timer: Notify::new(),
        })
    }

    /// Looks at the engine.
    pub fn with_engine<T>(&self, look: impl FnOnce(&Engine) -> T) -> T {
        look(&self.engine.borrow())
    }

    /// Connections to servers.
    pub fn backends(&self) -> &Backends {
        &self.backends
    }

    /// Takes how the controllers are heard.
    pub fn note_feeds(&self, feeds: FeedCounts) {
        self.metrics.fresh_feeds.set(feeds.fresh as i64);
        self.settle(feeds);
        let (avoided, usable) = self.with_engine(|e| (e.ejected_servers(), e.usable_servers()));
        let mut reach = self.reach.get();
        if reach.update(feeds, avoided, usable) {
            let what = json!({
                "belief": "cut_off", "is": reach.is_isolated(), "fresh_feeds": feeds.fresh, "known_feeds": feeds.known,
                "avoided": avoided, "usable": usable,
            });
            self.log.write("cut_off", true, &what);
        }
        self.reach.set(reach);
    }

    /// True if this entry is cut off: callers are served better elsewhere.
    pub fn is_isolated(&self) -> bool {
        self.reach.get().is_isolated()
    }

    /// A new name for a request or a group.
    pub fn next_key(&self) -> QueryId {
        QueryId(self.next_key.replace(self.next_key.get() + 1))
    }

    /// Takes in a request; its name and where its reply comes.
    pub fn begin(self: &Rc<Self>, taken: ReceivedRequest) -> (QueryId, oneshot::Receiver<Reply>) {
        let ReceivedRequest { parts, host, path, wait, opened_connection } = taken;
        let key = self.next_key();
        let (tx, rx) = oneshot::channel();
        let id = parts.id.clone();
        self.callers.borrow_mut().insert(key, tx);
        self.requests.borrow_mut().insert(key, Rc::new(parts));
        self.step(Input::Request { key, id, host, path, patience: wait, opened_connection });
        (key, rx)
    }

    /// The caller of a request is gone.
    pub fn caller_gone(self: &Rc<Self>, key: QueryId) {
        if self.callers.borrow_mut().remove(&key).is_some() {
            self.requests.borrow_mut().remove(&key);
            self.step(Input::CallerGone(key));
        }
    }

    /// An attempt came back.
    fn reply(
        self: &Rc<Self>,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        answer: Option<RawResponse>,
    ) {
        self.attempts.borrow_mut().remove(&attempt);
        self.metrics.outcomes.with_label_values(&[outcome.label()]).inc();
        if let Some(answer) = answer {
            self.answers.borrow_mut().insert(attempt, AttemptResult::Answer(answer));
        }
        self.step(Input::AttemptFinished { attempt, outcome });
    }

    /// Takes one input and carries out what it leads to.
    pub fn step(self: &Rc<Self>, input: Input) {
        let mut out = Vec::new();
        let before = self.with_engine(Engine::next_wake);
        self.engine.borrow_mut().step(self.clock.now(), input, &mut out);
        let mut cancelled = Vec::new();
        for output in out {
            match output {
                Output::CancelGroup(group) => cancelled.push(group),
                output => self.carry_out(output),
            }
        }
        if !cancelled.is_empty() {
            // Behind the answer to the caller, which is written first.
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
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::SendAttempt(send) => self.send(send),
            Output::Abort(attempt) => {
                if let Some(task) = self.attempts.borrow_mut().remove(&attempt) {
                    task.abort();
                }
            }
            Output::Discard(attempt) => {
                self.answers.borrow_mut().remove(&attempt);
            }
            Output::Complete { request, completion } => self.finish(request, completion),
            Output::Log(decision) => self.note(&decision),
            Output::Delegate(delegation) => self.delegate(delegation),
            Output::ConfirmGroup(group) => self.group_exchange.confirm(group),
            // They are put together in `step`.
            Output::CancelGroup(_) => {}
            Output::ProbePeer { peer, address } => self.group_exchange.probe(self, &peer, address),
            Output::GroupResponses { request, responses, queue_waits, limit, last } => {
                let records = self.collect(&responses, limit);
                self.report(request, records, &queue_waits, last);
            }
            Output::DeclineGroup(key) => {
                self.requests.borrow_mut().remove(&key);
                self.group_exchange.decline(key);
            }
        }
    }

    fn send(self: &Rc<Self>, send: hornbeam_route::Attempt) {
        let Some(parts) = self.requests.borrow().get(&send.request).cloned() else { return };
        let attempt = send.id;
        self.metrics.attempts.with_label_values(&[send.kind.label()]).inc();
        let core = self.clone();
        let task = tokio::task::spawn_local(async move {
            let (outcome, answer) = crate::backends::exchange(&core, &send, &parts).await;
            core.reply(attempt, outcome, answer);
        });
        self.attempts.borrow_mut().insert(attempt, task.abort_handle());
    }

    fn finish(&self, request: QueryId, completion: Completion) {
        self.requests.borrow_mut().remove(&request);
        let mut answers = self.answers.borrow_mut();
        let reply = match completion {
            Completion::Forward(attempt) => match answers.remove(&attempt) {
                Some(AttemptResult::Answer(answer)) => Some(Reply::Forward(answer)),
                Some(AttemptResult::Gathered(_)) | None => None,
            },
            Completion::Merge { attempts, missing, limit } => {
                let parts = attempts.iter().filter_map(|a| answers.remove(a));
                Some(self.merge(parts, missing, limit))
            }
            Completion::Refuse(refusal) => Some(Reply::Refuse(refusal)),
        };
        let caller = self.callers.borrow_mut().remove(&request);
        // A caller that left in this moment needs no reply.
        if let (Some(tx), Some(reply)) = (caller, reply) {
            let _ = tx.send(reply);
        }
    }

    fn merge(
        &self,
        parts: impl Iterator<Item = AttemptResult>,
        missing: usize,
        limit: usize,
    ) -> Reply {
        let name = &self.dialect.signature;
        let (mut signatures, mut bodies) = (Vec::new(), Vec::new());
        for part in parts {
            match part {
                AttemptResult::Answer(answer) => {
                    signatures.extend(answer.header(name).map(<[u8]>::to_vec));
                    bodies.push(answer.body);
                }
                AttemptResult::Gathered(gathered) => {
                    signatures.extend(gathered.signatures);
                    bodies.extend(gathered.records.into_iter().map(Bytes::from));
                }
            }
        }
        let body = merge_records(bodies.iter().map(|b| &b[..]), limit);
        self.metrics.missing_shards.inc_by(missing as u64);
        Reply::Merged { signatures, missing, body }
    }

    fn note(&self, decision: &Decision) {
        let kind = match decision {
            Decision::Admitted { .. } => "admitted",
            Decision::Sent { kind, .. } => kind.label(),
            Decision::HedgeDenied { .. } => "hedge_denied",
            Decision::AttemptFailed { .. } => "attempt_failed",
            Decision::Answered { took_ms, missing, .. } => {
                let outcome = if *missing > 0 { "short" } else { "complete" };
                self.observe(outcome, *took_ms);
                outcome
            }
            Decision::Refused { reason, took_ms, .. } => {
                self.observe("refused", *took_ms);
                let reason = format!("{reason:?}");
                self.metrics.refusals.with_label_values(&[reason.as_str()]).inc();
                "refused"
            }
            Decision::CallerGone { .. } => "caller_gone",
            Decision::Ejected { .. } => "ejected",
            Decision::Restored { .. } => "restored",
            Decision::ServerChanged { .. } => "server_changed",
            Decision::TableInForce { .. } => "table_in_force",
            Decision::Delegated { .. } => "delegated",
            Decision::GroupFailed { .. } => "group_failed",
            Decision::Gathering { .. } => "gathering",
            Decision::Gathered { missing, .. } if *missing > 0 => "gathered_short",
            Decision::Gathered { .. } => "gathered",
            Decision::PeerSuspected { .. } => "peer_suspected",
            Decision::PeerRestored { .. } => "peer_restored",
        };
        self.log.write(kind, decision.is_failure(), decision);
    }

    fn observe(&self, outcome: &str, ms: u64) {
        self.metrics.request_seconds.with_label_values(&[outcome]).observe(ms as f64 / 1e3);
    }
}

/// Wakes the engine when a decision is due without any event.
pub async fn run_timer(core: Rc<Core>) {
    loop {
        let latest = core.clock.now() + IDLE_WAKE;
        let wake = core.with_engine(Engine::next_wake).map_or(latest, |w| w.min(latest));
        tokio::select! {
            () = tokio::time::sleep_until(core.clock.instant(wake)) => core.step(Input::Tick),
            () = core.timer.notified() => {}
        }
    }
}
