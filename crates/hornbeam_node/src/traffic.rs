//! Runs the engine on the traffic threads: carries requests, attempts and answers.

use std::collections::HashMap;
use std::sync::Arc;

use hornbeam_model::{Config, Mono, QueryId, ServerId, Zone};
use hornbeam_query::{
    AttemptKind, Counters, Engine, Input, Output, QueryResponse, Refusal, Request,
};
use hornbeam_traffic::{Roster, ServerChange};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::backends::{AttemptResult, Backends};
use crate::clock::Clock;
use crate::journal::EventLog;
use crate::metrics::Metrics;

/// Messages taken between two looks at the timers.
const BATCH: usize = 256;

/// What a caller is told.
#[derive(Debug)]
pub enum Completion {
    /// An answer.
    Response(Box<QueryResponse>),
    /// A refusal.
    Refusal(Box<Refusal>),
}

/// A message to the engine's task.
#[derive(Debug)]
pub enum TrafficMessage {
    /// A caller's request; the verdict goes back on the channel.
    Request(Box<Request>, oneshot::Sender<Completion>),
    /// A caller is gone.
    CallerGone(QueryId),
    /// Servers came, changed or went.
    Servers(Vec<ServerChange>),
    /// A configuration is in force.
    Config(Arc<Config>),
    /// A quorum confirmed the configuration at this time.
    Confirmed(Mono),
    /// The instances among which connections are shared.
    Roster(Roster),
    /// No new requests any more.
    Drain,
    /// How many requests are not answered yet.
    InFlight(oneshot::Sender<usize>),
    /// What is known of services and servers.
    Report(oneshot::Sender<TrafficReport>),
}

/// A service as an operator sees it.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: String,
    /// The index version that new queries are pinned to.
    pub index_version: Option<u64>,
    /// Its number of shards.
    pub shards: u32,
    /// Its shards held in every live schema version.
    pub covered: u32,
    /// The concurrency limit.
    pub limit: u32,
}

/// A server as an operator sees it.
#[derive(Clone, Debug, Serialize)]
pub struct ServerReport {
    /// Name of the server.
    pub server: ServerId,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: Zone,
    /// Whether it takes work.
    pub takes_work: bool,
    /// Whether it is avoided for its failures.
    pub ejected: bool,
    /// Attempts out.
    pub outstanding: u32,
    /// Connections of this instance.
    pub share: u32,
}

/// What the engine knows, for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TrafficReport {
    /// The services.
    pub services: Vec<ServiceReport>,
    /// The servers.
    pub servers: Vec<ServerReport>,
    /// Requests that are not answered yet.
    pub in_flight: usize,
}

/// Handle on the engine's task.
pub type TrafficHandle = mpsc::UnboundedSender<TrafficMessage>;

/// The engine's task.
pub struct TrafficTask {
    /// The decisions.
    pub engine: Engine,
    /// The clock.
    pub clock: Clock,
    /// Connections to backend servers.
    pub backends: Backends,
    /// The journal.
    pub events: EventLog,
    /// The metrics.
    pub metrics: Metrics,
    /// Callers that wait for a verdict.
    pub callers: HashMap<QueryId, (oneshot::Sender<Completion>, String)>,
    /// Counts already added to the metrics.
    pub counted: Counters,
}

impl TrafficTask {
    /// Runs until the handle is dropped.
    pub async fn run(
        mut self,
        mut rx: mpsc::UnboundedReceiver<TrafficMessage>,
        mut results: mpsc::UnboundedReceiver<AttemptResult>,
    ) {
        let mut out = Vec::new();
        loop {
            let wake = self.engine.next_wake().unwrap_or(self.clock.now() + IDLE_WAKE);
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.take(message, &mut out),
                    None => return,
                },
                Some(result) = results.recv() => self.take_result(result, &mut out),
                () = tokio::time::sleep_until(self.clock.instant(wake)) => {
                    self.engine.step(self.clock.now(), Input::Tick, &mut out);
                }
            }
            for _ in 0..BATCH {
                if let Ok(result) = results.try_recv() {
                    self.take_result(result, &mut out);
                } else if let Ok(message) = rx.try_recv() {
                    self.take(message, &mut out);
                } else {
                    break;
                }
            }
            self.carry_out(&mut out);
        }
    }

    fn take(&mut self, message: TrafficMessage, out: &mut Vec<Output>) {
        let now = self.clock.now();
        let input = match message {
            TrafficMessage::Request(request, tx) => {
                self.callers.insert(request.id, (tx, request.service.to_string()));
                Input::Request(*request)
            }
            TrafficMessage::CallerGone(query) => {
                self.callers.remove(&query);
                Input::CallerGone(query)
            }
            TrafficMessage::Servers(changes) => {
                self.forget_gone(&changes);
                Input::Servers(changes)
            }
            TrafficMessage::Config(config) => Input::Config(config),
            TrafficMessage::Confirmed(at) => Input::Confirmed(at),
            TrafficMessage::Roster(roster) => Input::Roster(roster),
            TrafficMessage::Drain => Input::Drain,
            TrafficMessage::InFlight(tx) => {
                let _ = tx.send(self.engine.in_flight());
                return;
            }
            TrafficMessage::Report(tx) => {
                let _ = tx.send(self.report(now));
                return;
            }
        };
        self.engine.step(now, input, out);
    }

    fn forget_gone(&self, changes: &[ServerChange]) {
        for change in changes {
            if let ServerChange::Removed(server) = change {
                self.backends.remove_server(server);
            }
        }
    }

    fn take_result(&mut self, result: AttemptResult, out: &mut Vec<Output>) {
        let began = std::time::Instant::now();
        let AttemptResult { attempt, outcome, draining } = result;
        self.engine.step(self.clock.now(), Input::Reply { attempt, outcome, draining }, out);
        self.metrics.step_seconds.observe(began.elapsed().as_secs_f64());
    }

    fn carry_out(&mut self, out: &mut Vec<Output>) {
        for output in out.drain(..) {
            match output {
                Output::Send(attempt) => self.send(*attempt),
                Output::Cancel { attempt, server } => {
                    let server = self.engine.fleet().server(server);
                    let a = &server.announced;
                    self.backends.cancel(attempt, &a.server, a.address, server.share);
                    self.metrics.cancels.inc();
                }
                Output::Respond(answer) => self.answer(answer),
                Output::Refuse(refusal) => self.refuse(refusal),
                Output::Event(event) => self.events.record(event),
            }
        }
        self.metrics.in_flight.set(self.engine.in_flight() as i64);
        self.count();
    }

    fn send(&self, attempt: hornbeam_query::Attempt) {
        let server = self.engine.fleet().server(attempt.server);
        self.metrics.attempts.with_label_values(&[attempt.kind.label()]).inc();
        self.backends.send(attempt, server.share);
    }

    fn answer(&mut self, answer: Box<QueryResponse>) {
        let Some((tx, service)) = self.callers.remove(&answer.query) else { return };
        let seconds = self.metrics.query_seconds.with_label_values(&[service.as_str()]);
        seconds.observe(answer.took.as_secs_f64());
        let total = f64::from(answer.coverage.shards_total.max(1));
        let covered = f64::from(answer.coverage.covered.count()) / total;
        self.metrics.coverage.with_label_values(&[service.as_str()]).observe(covered);
        // A caller that left in this moment needs no answer.
        let _ = tx.send(Completion::Response(answer));
    }

    fn refuse(&mut self, refusal: Box<Refusal>) {
        let reason = format!("{:?}", refusal.kind);
        self.metrics.refusals.with_label_values(&[reason.as_str()]).inc();
        if let Some((tx, _)) = self.callers.remove(&refusal.query) {
            let _ = tx.send(Completion::Refusal(refusal));
        }
    }

    fn count(&mut self) {
        let counters = self.engine.counters();
        let dropped = &self.metrics.dropped_replies;
        let late = counters.late_replies - self.counted.late_replies;
        let mismatched = counters.mismatched_replies - self.counted.mismatched_replies;
        dropped.with_label_values(&["late"]).inc_by(late);
        dropped.with_label_values(&["mismatched"]).inc_by(mismatched);
        self.counted = counters;
    }

    fn report(&self, now: Mono) -> TrafficReport {
        let fleet = self.engine.fleet();
        let names = self.engine.config().into_iter().flat_map(|c| c.services.keys());
        let services = names.map(|name| {
            let table = fleet.service(name).and_then(|s| s.table.current());
            ServiceReport {
                service: name.to_string(),
                index_version: table.map(|t| t.version.0),
                shards: table.map_or(0, |t| t.shard_count()),
                covered: table.map_or(0, |t| t.covered),
                limit: self.engine.concurrency_limit(name),
            }
        });
        let listed = fleet.servers().iter().filter(|s| s.listed);
        let servers = listed.map(|s| ServerReport {
            server: s.announced.server.clone(),
            service: s.announced.service.to_string(),
            zone: s.announced.zone.clone(),
            takes_work: s.takes_work(),
            ejected: s.is_ejected(now),
            outstanding: s.outstanding,
            share: s.share,
        });
        TrafficReport {
            services: services.collect(),
            servers: servers.collect(),
            in_flight: self.engine.in_flight(),
        }
    }
}

/// Longest time without a look at the timers.
const IDLE_WAKE: std::time::Duration = std::time::Duration::from_secs(1);

/// Labels of all attempt kinds, so that each shows in the metrics from the start.
pub fn init_attempt_labels(metrics: &Metrics) {
    for kind in [AttemptKind::Primary, AttemptKind::Hedge, AttemptKind::Retry] {
        metrics.attempts.with_label_values(&[kind.label()]);
    }
}
