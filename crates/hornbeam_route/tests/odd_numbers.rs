//! Routes whose numbers are zero or as large as they can be: each request is sent or refused at once.

mod common;

use common::harness::{Harness, MS, T};
use common::single;
use hornbeam_model::Route;
use hornbeam_route::{AttemptOutcome, Completion};

fn assert_decided(name: &str, change: impl Fn(&mut Route)) {
    let mut route = single("lookup", "tablet", 250);
    change(&mut route);
    let mut harness = Harness::new(route, 80);
    match harness.request(T + MS, 1) {
        Some(attempt) => {
            harness.finish_attempt(T + 5 * MS, attempt, AttemptOutcome::Answered);
            let completion = harness.completion();
            assert!(matches!(completion, Some(Completion::Forward(_))), "{name}: {completion:?}");
        }
        None => {
            let completion = harness.completion();
            assert!(matches!(completion, Some(Completion::Refuse(_))), "{name}: {completion:?}");
        }
    }
}

#[test]
fn decided_at_once() {
    assert_decided("max_attempts 0", |r| r.max_attempts = 0);
    assert_decided("max_attempts at most", |r| r.max_attempts = u32::MAX);
    assert_decided("timeout 1 ms", |r| r.timeout_ms = 1);
    assert_decided("timeout at most", |r| r.timeout_ms = u32::MAX);
    assert_decided("objective 0", |r| r.objective_ms = 0);
    assert_decided("objective at most", |r| r.objective_ms = u32::MAX);
    assert_decided("priority at most", |r| r.priority = u8::MAX);
}
