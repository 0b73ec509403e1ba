//! The task that runs the query engine on the traffic threads. It passes requests and attempt
//! results to the engine and carries out its outputs.

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

/// Maximum number of messages processed before the timers are checked again.
const MAX_BATCH_MESSAGES: usize = 256;

/// How a request ends towards its caller.
#[derive(Debug)]
pub enum Completion {
    /// The request is answered, possibly without some shards.
    Response(Box<QueryResponse>),
    /// The request is refused or has failed.
    Refusal(Box<Refusal>),
}

/// A message to the task that runs the engine.
#[derive(Debug)]
pub enum TrafficMessage {
    /// A caller's request. Its completion is sent on the channel.
    Request(Box<Request>, oneshot::Sender<Completion>),
    /// A caller disconnected before its request completed.
    CallerGone(QueryId),
    /// Backend servers were added, changed or removed.
    Servers(Vec<ServerChange>),
    /// A new configuration is in force.
    Config(Arc<Config>),
    /// Time at which a quorum last confirmed the configuration.
    Confirmed(Mono),
    /// The live instances, among which the connections to a server are shared.
    Roster(Roster),
    /// Refuse new requests from now on.
    Drain,
    /// Request for the number of requests without a completion.
    InFlight(oneshot::Sender<usize>),
    /// Request for the state of services and servers.
    Report(oneshot::Sender<TrafficReport>),
}

/// State of a service as shown to operators.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: String,
    /// Index version to which new queries are pinned, if one is available.
    pub index_version: Option<u64>,
    /// Number of shards of that index version.
    pub shards: u32,
    /// Number of shards that are held in every live schema version.
    pub covered: u32,
    /// Current concurrency limit.
    pub limit: u32,
}

/// State of a backend server as shown to operators.
#[derive(Clone, Debug, Serialize)]
pub struct ServerReport {
    /// Name of the server.
    pub server: ServerId,
    /// Service to which the server belongs.
    pub service: String,
    /// Availability zone of the server.
    pub zone: Zone,
    /// Whether the server accepts work.
    pub takes_work: bool,
    /// Whether the server is ejected for its failures.
    pub ejected: bool,
    /// In-flight attempts of this instance.
    pub outstanding: u32,
    /// Connections that this instance may open to the server.
    pub share: u32,
}

/// State of the engine as shown to operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TrafficReport {
    /// The configured services.
    pub services: Vec<ServiceReport>,
    /// The listed backend servers.
    pub servers: Vec<ServerReport>,
    /// Requests without a response so far.
    pub in_flight: usize,
}

/// Channel to the task that runs the engine.
pub type TrafficHandle = mpsc::UnboundedSender<TrafficMessage>;

/// State of the task that runs the engine.
pub struct TrafficTask {
    /// The state machine that makes all decisions.
    pub engine: Engine,
    /// Source of the time that is passed to the engine.
    pub clock: Clock,
    /// Connections to backend servers.
    pub backends: Backends,
    /// Journal that receives the events of the engine.
    pub events: EventLog,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Callers that wait for a completion, each with the name of its service.
    pub callers: HashMap<QueryId, (oneshot::Sender<Completion>, String)>,
    /// Engine counters that the metrics include already.
    pub exported: Counters,
}

impl TrafficTask {
    /// Runs until every [`TrafficHandle`] is dropped.
    pub async fn run(
        mut self,
        mut rx: mpsc::UnboundedReceiver<TrafficMessage>,
        mut results: mpsc::UnboundedReceiver<AttemptResult>,
    ) {
        let mut out = Vec::new();
        loop {
            let wake_at = self.engine.next_wake().unwrap_or(self.clock.now() + IDLE_WAKE_INTERVAL);
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.handle_message(message, &mut out),
                    None => return,
                },
                Some(result) = results.recv() => self.handle_result(result, &mut out),
                () = tokio::time::sleep_until(self.clock.instant(wake_at)) => {
                    self.engine.step(self.clock.now(), Input::Tick, &mut out);
                }
            }
            for _ in 0..MAX_BATCH_MESSAGES {
                if let Ok(result) = results.try_recv() {
                    self.handle_result(result, &mut out);
                } else if let Ok(message) = rx.try_recv() {
                    self.handle_message(message, &mut out);
                } else {
                    break;
                }
            }
            self.apply_outputs(&mut out);
        }
    }

    fn handle_message(&mut self, message: TrafficMessage, out: &mut Vec<Output>) {
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
                self.close_removed(&changes);
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

    fn close_removed(&self, changes: &[ServerChange]) {
        for change in changes {
            if let ServerChange::Removed(server) = change {
                self.backends.remove_server(server);
            }
        }
    }

    fn handle_result(&mut self, result: AttemptResult, out: &mut Vec<Output>) {
        let started_at = std::time::Instant::now();
        let AttemptResult { attempt, outcome, draining } = result;
        self.engine.step(self.clock.now(), Input::Reply { attempt, outcome, draining }, out);
        self.metrics.step_seconds.observe(started_at.elapsed().as_secs_f64());
    }

    fn apply_outputs(&mut self, out: &mut Vec<Output>) {
        for output in out.drain(..) {
            match output {
                Output::Send(attempt) => self.send_attempt(*attempt),
                Output::Cancel { attempt, server } => {
                    let server = self.engine.fleet().server(server);
                    let a = &server.announced;
                    self.backends.cancel(attempt, &a.server, a.address, server.share);
                    self.metrics.cancels.inc();
                }
                Output::Respond(response) => self.send_response(response),
                Output::Refuse(refusal) => self.send_refusal(refusal),
                Output::Event(event) => self.events.record(event),
            }
        }
        self.metrics.in_flight.set(self.engine.in_flight() as i64);
        self.update_counters();
    }

    fn send_attempt(&self, attempt: hornbeam_query::Attempt) {
        let server = self.engine.fleet().server(attempt.server);
        self.metrics.attempts.with_label_values(&[attempt.kind.label()]).inc();
        self.backends.send(attempt, server.share);
    }

    fn send_response(&mut self, response: Box<QueryResponse>) {
        let Some((tx, service)) = self.callers.remove(&response.query) else { return };
        let seconds = self.metrics.query_seconds.with_label_values(&[service.as_str()]);
        seconds.observe(response.took.as_secs_f64());
        let total = f64::from(response.coverage.shards_total.max(1));
        let coverage = f64::from(response.coverage.covered.count()) / total;
        self.metrics.coverage.with_label_values(&[service.as_str()]).observe(coverage);
        // Fails only if the caller has just disconnected.
        let _ = tx.send(Completion::Response(response));
    }

    fn send_refusal(&mut self, refusal: Box<Refusal>) {
        let reason = format!("{:?}", refusal.kind);
        self.metrics.refusals.with_label_values(&[reason.as_str()]).inc();
        if let Some((tx, _)) = self.callers.remove(&refusal.query) {
            let _ = tx.send(Completion::Refusal(refusal));
        }
    }

    fn update_counters(&mut self) {
        let counters = self.engine.counters();
        let dropped = &self.metrics.dropped_replies;
        let late = counters.late_replies - self.exported.late_replies;
        let mismatched = counters.mismatched_replies - self.exported.mismatched_replies;
        dropped.with_label_values(&["late"]).inc_by(late);
        dropped.with_label_values(&["mismatched"]).inc_by(mismatched);
        self.exported = counters;
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

/// Interval at which the engine is woken if it has set no timer.
const IDLE_WAKE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

/// Creates the label of each attempt kind, so that all kinds appear in the metrics from the start.
pub fn init_attempt_labels(metrics: &Metrics) {
    for kind in [AttemptKind::Primary, AttemptKind::Hedge, AttemptKind::Retry] {
        metrics.attempts.with_label_values(&[kind.label()]);
    }
}
