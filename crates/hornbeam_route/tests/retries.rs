//! Single steps of retries, driven by hand.

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

/// An engine with one route to two servers that each take one attempt.
struct Bench {
    engine: Engine,
    out: Vec<Output>,
}

impl Bench {
    fn new(route: Route, allowance: u32) -> Self {
        let budget = RetryBudgetParams { percent: 0, window: Duration::from_secs(10), allowance };
        let mut bench = Self {
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
        bench.step(T, Input::Table(Arc::new(table)));
        // So many that each may have one attempt at a server.
        bench.step(T, Input::EntryCount(8));
        for n in 0..2 {
            bench.step(T, Input::Servers(vec![usable(n)]));
        }
        bench.out.clear();
        bench
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
        self.sent()
    }

    /// The attempt sent last, if one was.
    fn sent(&mut self) -> Option<AttemptId> {
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

    fn reply(
        &mut self,
        now: Mono,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) -> Option<AttemptId> {
        self.out.clear();
        self.step(now, Input::AttemptFinished { attempt, outcome });
        self.sent()
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
fn waiting_retry_asks_budget() {
    let mut bench = Bench::new(lookup(), 0);
    let first = bench.request(T, 1).expect("sent");
    let second = bench.request(T + MS, 2).expect("sent to the other server");
    assert_eq!(bench.reply(T + 2 * MS, first, AttemptOutcome::NotRun), None, "both are taken");
    // Room is there now, and the budget is still empty.
    assert_eq!(bench.reply(T + 3 * MS, second, AttemptOutcome::Answered), None);
}

#[test]
fn waiting_retry_is_sent() {
    let mut bench = Bench::new(lookup(), 80);
    let first = bench.request(T, 1).expect("sent");
    let second = bench.request(T + MS, 2).expect("sent to the other server");
    assert_eq!(bench.reply(T + 2 * MS, first, AttemptOutcome::NotRun), None, "both are taken");
    assert!(bench.reply(T + 3 * MS, second, AttemptOutcome::Answered).is_some());
}

#[test]
fn lost_write_is_not_repeated() {
    let mut bench = Bench::new(Route { idempotent: false, ..lookup() }, 80);
    let first = bench.request(T, 1).expect("sent");
    assert_eq!(bench.reply(T + MS, first, AttemptOutcome::Lost), None);
    assert_eq!(refusal(bench.completion()), Some(RefusalKind::Failed));
}

#[test]
fn unsent_write_is_sent_again() {
    for outcome in [AttemptOutcome::NotSent, AttemptOutcome::NotRun, AttemptOutcome::WrongServer] {
        let mut bench = Bench::new(Route { idempotent: false, ..lookup() }, 80);
        let first = bench.request(T, 1).expect("sent");
        let again = bench.reply(T + MS, first, outcome).expect("nothing ran");
        bench.reply(T + 2 * MS, again, AttemptOutcome::Answered);
        assert_eq!(bench.completion(), Some(&Completion::Forward(again)), "{outcome:?}");
    }
}

#[test]
fn write_is_never_hedged() {
    let mut bench = Bench::new(Route { idempotent: false, ..lookup() }, 80);
    bench.request(T, 1).expect("sent");
    for ms in [100, 200, 240, 1_000, 2_000] {
        bench.step(T + ms * MS, Input::Tick);
        assert_eq!(bench.sent(), None, "after {ms} ms");
    }
    bench.step(T + 3_750 * MS, Input::Tick);
    assert_eq!(refusal(bench.completion()), Some(RefusalKind::TimedOut));
}

#[test]
fn late_read_is_hedged_once() {
    let mut bench = Bench::new(lookup(), 80);
    let first = bench.request(T, 1).expect("sent");
    bench.step(T + 120 * MS, Input::Tick);
    let hedge = bench.sent().expect("a second attempt");
    bench.step(T + 200 * MS, Input::Tick);
    assert_eq!(bench.sent(), None, "no third one");
    bench.reply(T + 210 * MS, hedge, AttemptOutcome::Answered);
    assert_eq!(bench.completion(), Some(&Completion::Forward(hedge)));
    // The loser may go on for a while, so that its connection can be used again.
    bench.out.clear();
    bench.step(T + 400 * MS, Input::Tick);
    assert!(!bench.out.iter().any(|o| matches!(o, Output::Abort(_))));
    bench.step(T + 520 * MS, Input::Tick);
    assert!(bench.out.iter().any(|o| matches!(o, Output::Abort(a) if *a == first)));
}

#[test]
fn failure_is_handed_on() {
    let mut bench = Bench::new(lookup(), 80);
    let first = bench.request(T, 1).expect("sent");
    let second = bench.reply(T + MS, first, AttemptOutcome::Error).expect("another server");
    assert_eq!(bench.reply(T + 2 * MS, second, AttemptOutcome::Error), None, "two servers at most");
    assert_eq!(bench.completion(), Some(&Completion::Forward(second)));
}

#[test]
fn caller_that_left() {
    let mut bench = Bench::new(lookup(), 80);
    let first = bench.request(T, 1).expect("sent");
    bench.step(T + MS, Input::CallerGone(QueryId(1)));
    assert_eq!(bench.engine.in_flight(), 0);
    bench.step(T + 302 * MS, Input::Tick);
    assert!(bench.out.iter().any(|o| matches!(o, Output::Abort(a) if *a == first)));
}

#[test]
fn stopping_entry() {
    let mut bench = Bench::new(lookup(), 0);
    let first = bench.request(T, 1).expect("sent");
    bench.step(T + 30 * MS, Input::Stop);
    assert_eq!(refusal(bench.completion()), Some(RefusalKind::Stopping));
    bench.out.clear();
    assert_eq!(bench.reply(T + 31 * MS, first, AttemptOutcome::Answered), None);
    assert_eq!(bench.completion(), None, "it is told once");
}
