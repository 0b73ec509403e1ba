//! One engine with one route and two servers, driven step by step.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{
    AttemptId, Fingerprint, Incarnation, KeyDigest, Mono, QueryId, Route, RoutedService, Routing,
    TableVersion, Team, TrafficPolicy,
};
use hornbeam_route::{
    AttemptOutcome, Completion, Engine, EngineParams, Input, Output, QuotaBounds, RefusalKind,
    RetryBudgetParams, ServerChange, ServerNotice,
};

use super::service;

/// Time of the first step.
pub const T: Mono = Mono::from_millis(60_000);
/// One millisecond.
pub const MS: Duration = Duration::from_millis(1);

/// An engine with one route and two servers, each of which accepts one attempt at a time.
pub struct Harness {
    pub engine: Engine,
    pub out: Vec<Output>,
    /// Key of the requests that are sent.
    pub credential: Option<KeyDigest>,
    route: Arc<Route>,
}

impl Harness {
    /// `allowance` is the retry budget of eight entries together.
    pub fn new(route: Route, allowance: u32) -> Self {
        let mut harness = Self::without_table(route, allowance);
        harness.receive_table(T);
        harness.out.clear();
        harness
    }

    /// An engine that has not received its table and servers yet.
    pub fn without_table(route: Route, allowance: u32) -> Self {
        let budget = RetryBudgetParams { percent: 0, window: Duration::from_secs(10), allowance };
        let engine = Engine::new(EngineParams {
            name: "e0".parse().unwrap(),
            zone: "olomouc".parse().unwrap(),
            budget,
            delegate_above: 32,
            max_in_flight: 100,
            quota: QuotaBounds::default(),
            linger: 300 * MS,
            seed: 1,
        });
        Self { engine, out: Vec::new(), credential: None, route: Arc::new(route) }
    }

    /// Passes the servers, the table and the number of entries to the engine.
    pub fn receive_table(&mut self, now: Mono) {
        for n in 0..2 {
            self.step(now, Input::Servers(vec![usable(n, 1)]));
        }
        // With eight entries, each may have one attempt in flight at a server.
        self.step(now, Input::EntryCount(8));
        self.receive_teams(now, 1, &[]);
    }

    /// Passes a table of this version to the engine, whose teams have these keys.
    pub fn receive_teams(&mut self, now: Mono, version: u64, teams: &[(&str, &[&str])]) {
        let team = |keys: &[&str]| Team {
            keys: keys.iter().map(|k| KeyDigest::of(k.as_bytes())).collect(),
            ..Team::default()
        };
        let teams = teams.iter().map(|(name, keys)| (name.parse().unwrap(), team(keys)));
        let policy = TrafficPolicy { teams: teams.collect(), ..TrafficPolicy::default() };
        let table = Routing {
            version: TableVersion(version),
            routes: vec![self.route.clone()],
            services: [(service("tablet"), RoutedService { max_connections: 8 })].into(),
            policy: Arc::new(policy),
            ..Routing::default()
        };
        self.step(now, Input::Table(Arc::new(table)));
    }

    /// Passes one input to the engine.
    pub fn step(&mut self, now: Mono, input: Input) {
        self.engine.step(now, input, &mut self.out);
    }

    /// Sends a request; returns its first attempt if there is one.
    pub fn request(&mut self, now: Mono, key: u64) -> Option<AttemptId> {
        self.send_request(now, key);
        self.take_attempt()
    }

    /// Sends a request and keeps the outputs.
    pub fn send_request(&mut self, now: Mono, key: u64) {
        self.send_request_with_patience(now, key, None);
    }

    /// Sends a request of a caller that waits for this time, and keeps the outputs.
    pub fn send_request_with_patience(&mut self, now: Mono, key: u64, patience: Option<Duration>) {
        self.step(
            now,
            Input::Request {
                key: QueryId(key),
                id: format!("r{key}").into(),
                fingerprint: Fingerprint { caller: 0, content: key, query: Some(0), service: None },
                credential: self.credential,
                host: "plots.example".into(),
                path: "/lookup/1".into(),
                patience,
                opened_connection: false,
            },
        );
    }

    /// Clears the outputs except completions; returns the attempt sent last, if there is one.
    pub fn take_attempt(&mut self) -> Option<AttemptId> {
        let out = std::mem::take(&mut self.out);
        let mut sent = None;
        for output in out {
            match output {
                Output::SendAttempt(attempt) => sent = Some(attempt.id),
                Output::Complete { .. } => self.out.push(output),
                _ => {}
            }
        }
        sent
    }

    /// How the request completed since the last step, if it did.
    pub fn completion(&self) -> Option<&Completion> {
        self.out.iter().find_map(|o| match o {
            Output::Complete { completion, .. } => Some(completion),
            _ => None,
        })
    }

    /// Ends an attempt; returns the attempt sent as a consequence, if there is one.
    pub fn finish_attempt(
        &mut self,
        now: Mono,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) -> Option<AttemptId> {
        self.finish_with_notice(now, attempt, outcome, ServerNotice::default())
    }

    /// Ends an attempt with a response in which the server states something about itself.
    pub fn finish_with_notice(
        &mut self,
        now: Mono,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        notice: ServerNotice,
    ) -> Option<AttemptId> {
        self.out.clear();
        self.step(now, Input::AttemptFinished { attempt, outcome, notice });
        self.take_attempt()
    }
}

/// The server `s{n}` of the service of the route, ready in this start.
pub fn usable(n: u64, start: u64) -> ServerChange {
    ServerChange::Usable {
        server: format!("s{n}").parse().unwrap(),
        incarnation: Incarnation(start),
        service: service("tablet"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "olomouc".parse().unwrap(),
        slots: 2,
        warm_up: Duration::ZERO,
    }
}

/// The reason of a refusal, if the completion is one.
pub fn refusal(completion: Option<&Completion>) -> Option<RefusalKind> {
    match completion {
        Some(Completion::Refuse(refusal)) => Some(refusal.kind),
        _ => None,
    }
}
