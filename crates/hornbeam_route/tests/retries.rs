//! Single steps of retries, hedges and refusals with one engine.

mod common;

use common::harness::{Harness, MS, T, refusal};
use common::single;
use hornbeam_model::{QueryId, Route};
use hornbeam_route::{AttemptOutcome, Completion, Input, Output, RefusalKind};

fn lookup() -> Route {
    single("lookup", "tablet", 250)
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
    assert_eq!(harness.take_attempt(), None, "the timer is late, so responses may wait unread");
    let due = harness.engine.next_wake().expect("the hedge is postponed");
    assert!(due <= T + 123 * MS, "{due:?}");
    harness.step(due, Input::Tick);
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
