//! Single steps of retries, hedges and refusals with one engine.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{service, single};
use hornbeam_model::{
    AttemptId, Incarnation, Mono, QueryId, Route, RoutedService, Routing, TableVersion,
};
use hornbeam_route::{
    AttemptOutcome, Completion, Engine, EngineParams, Input, Output, RefusalKind,
    RetryBudgetParams, ServerChange,
};

const T: Mono = Mono::from_millis(60_000);
const MS: Duration = Duration::from_millis(1);

/// An engine with one route and two servers, each of which accepts one attempt at a time.
struct Harness {
    engine: Engine,
    out: Vec<Output>,
}

impl Harness {
    fn new(route: Route, allowance: u32) -> Self {
        let budget = RetryBudgetParams { percent: 0, window: Duration::from_secs(10), allowance };
        let mut harness = Self {
            engine: Engine::new(EngineParams {
                zone: "olomouc".parse().unwrap(),
                budget,
                delegate_above: 32,
                max_in_flight: 100,
                linger: 300 * MS,
                seed: 1,
            }),
            out: Vec::new(),
        };
        let table = Routing {
            version: TableVersion(1),
            routes: vec![Arc::new(route)],
            services: [(service("tablet"), RoutedService { max_connections: 8 })].into(),
            ..Routing::default()
        };
        harness.step(T, Input::Table(Arc::new(table)));
        // With eight entries, each may have one attempt in flight at a server.
        harness.step(T, Input::EntryCount(8));
        for n in 0..2 {
            harness.step(T, Input::Servers(vec![usable(n)]));
        }
        harness.out.clear();
        harness
    }

    fn step(&mut self, now: Mono, input: Input) {
        self.engine.step(now, input, &mut self.out);
    }

    fn request(&mut self, now: Mono, key: u64) -> Option<AttemptId> {
        self.step(
            now,
            Input::Request {
                key: QueryId(key),
                id: format!("r{key}").into(),
                host: "plots.example".into(),
                path: "/lookup/1".into(),
                patience: None,
                opened_connection: false,
            },
        );
        self.take_attempt()
    }

    /// Clears the outputs except completions; returns the attempt sent last, if there is one.
    fn take_attempt(&mut self) -> Option<AttemptId> {
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

    fn completion(&self) -> Option<&Completion> {
        self.out.iter().find_map(|o| match o {
            Output::Complete { completion, .. } => Some(completion),
            _ => None,
        })
    }

    fn finish_attempt(
        &mut self,
        now: Mono,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) -> Option<AttemptId> {
        self.out.clear();
        self.step(now, Input::AttemptFinished { attempt, outcome });
        self.take_attempt()
    }
}

fn usable(n: u64) -> ServerChange {
    ServerChange::Usable {
        server: format!("s{n}").parse().unwrap(),
        incarnation: Incarnation(1),
        service: service("tablet"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "olomouc".parse().unwrap(),
        slots: 2,
        warm_up: Duration::ZERO,
    }
}

fn lookup() -> Route {
    single("lookup", "tablet", 250)
}

fn refusal(completion: Option<&Completion>) -> Option<RefusalKind> {
    match completion {
        Some(Completion::Refuse(refusal)) => Some(refusal.kind),
        _ => None,
    }
}

#[test]
fn queued_retry_checks_budget() {
    let mut harness = Harness::new(lookup(), 0);
    let first = harness.request(T, 1).expect("sent");
    let second = harness.request(T + MS, 2).expect("sent to the other server");
    assert_eq!(
        harness.finish_attempt(T + 2 * MS, first, AttemptOutcome::NotRun),
        None,
        "both servers are at their limit"
    );
    // A server has capacity now, but the budget is still exhausted.
    assert_eq!(harness.finish_attempt(T + 3 * MS, second, AttemptOutcome::Answered), None);
}

#[test]
fn queued_retry_sent() {
    let mut harness = Harness::new(lookup(), 80);
    let first = harness.request(T, 1).expect("sent");
    let second = harness.request(T + MS, 2).expect("sent to the other server");
    assert_eq!(
        harness.finish_attempt(T + 2 * MS, first, AttemptOutcome::NotRun),
        None,
        "both servers are at their limit"
    );
    assert!(harness.finish_attempt(T + 3 * MS, second, AttemptOutcome::Answered).is_some());
}

#[test]
fn lost_write_not_retried() {
    let mut harness = Harness::new(Route { idempotent: false, ..lookup() }, 80);
    let first = harness.request(T, 1).expect("sent");
    assert_eq!(harness.finish_attempt(T + MS, first, AttemptOutcome::Lost), None);
    assert_eq!(refusal(harness.completion()), Some(RefusalKind::Failed));
}

#[test]
fn unrun_write_retried() {
    for outcome in [AttemptOutcome::NotSent, AttemptOutcome::NotRun, AttemptOutcome::WrongServer] {
        let mut harness = Harness::new(Route { idempotent: false, ..lookup() }, 80);
        let first = harness.request(T, 1).expect("sent");
        let retry = harness.finish_attempt(T + MS, first, outcome).expect("retry, as nothing ran");
        harness.finish_attempt(T + 2 * MS, retry, AttemptOutcome::Answered);
        assert_eq!(harness.completion(), Some(&Completion::Forward(retry)), "{outcome:?}");
    }
}

#[test]
fn write_never_hedged() {
    let mut harness = Harness::new(Route { idempotent: false, ..lookup() }, 80);
    harness.request(T, 1).expect("sent");
    for ms in [100, 200, 240, 1_000, 2_000] {
        harness.step(T + ms * MS, Input::Tick);
        assert_eq!(harness.take_attempt(), None, "after {ms} ms");
    }
    harness.step(T + 3_750 * MS, Input::Tick);
    assert_eq!(refusal(harness.completion()), Some(RefusalKind::TimedOut));
}

#[test]
fn late_read_hedged_once() {
    let mut harness = Harness::new(lookup(), 80);
    let first = harness.request(T, 1).expect("sent");
    harness.step(T + 120 * MS, Input::Tick);
    let hedge = harness.take_attempt().expect("hedge");
    harness.step(T + 200 * MS, Input::Tick);
    assert_eq!(harness.take_attempt(), None, "no second hedge");
    harness.finish_attempt(T + 210 * MS, hedge, AttemptOutcome::Answered);
    assert_eq!(harness.completion(), Some(&Completion::Forward(hedge)));
    // The other attempt lingers before it is aborted, so that its connection can be reused.
    harness.out.clear();
    harness.step(T + 400 * MS, Input::Tick);
    assert!(!harness.out.iter().any(|o| matches!(o, Output::Abort(_))));
    harness.step(T + 520 * MS, Input::Tick);
    assert!(harness.out.iter().any(|o| matches!(o, Output::Abort(a) if *a == first)));
}

#[test]
fn error_is_forwarded() {
    let mut harness = Harness::new(lookup(), 80);
    let first = harness.request(T, 1).expect("sent");
    let second = harness
        .finish_attempt(T + MS, first, AttemptOutcome::Error)
        .expect("retry at the other server");
    assert_eq!(
        harness.finish_attempt(T + 2 * MS, second, AttemptOutcome::Error),
        None,
        "max_attempts is 2"
    );
    assert_eq!(harness.completion(), Some(&Completion::Forward(second)));
}

#[test]
fn caller_disconnects() {
    let mut harness = Harness::new(lookup(), 80);
    let first = harness.request(T, 1).expect("sent");
    harness.step(T + MS, Input::CallerGone(QueryId(1)));
    assert_eq!(harness.engine.in_flight(), 0);
    harness.step(T + 302 * MS, Input::Tick);
    assert!(harness.out.iter().any(|o| matches!(o, Output::Abort(a) if *a == first)));
}

#[test]
fn stopping_entry() {
    let mut harness = Harness::new(lookup(), 0);
    let first = harness.request(T, 1).expect("sent");
    harness.step(T + 30 * MS, Input::Stop);
    assert_eq!(refusal(harness.completion()), Some(RefusalKind::Stopping));
    harness.out.clear();
    assert_eq!(harness.finish_attempt(T + 31 * MS, first, AttemptOutcome::Answered), None);
    assert_eq!(harness.completion(), None, "a request completes once");
}
