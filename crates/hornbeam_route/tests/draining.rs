//! Guards against requests that an entry takes while it shuts down and that end with the process, though
//! another entry could have served them.

mod common;

use common::harness::{Harness, MS, T, refusal};
use common::single;
use hornbeam_route::{AttemptOutcome, Completion, Input, RefusalKind};

fn entry() -> Harness {
    Harness::new(single("lookup", "tablet", 250), 80)
}

#[test]
fn finished_in_time() {
    let mut entry = entry();
    entry.step(T, Input::StopAt(T + 1_000 * MS));
    let attempt = entry.request(T + 700 * MS, 1).expect("its response is due before the end");
    entry.finish_attempt(T + 800 * MS, attempt, AttemptOutcome::Answered);
    assert_eq!(entry.completion(), Some(&Completion::Forward(attempt)));
}

#[test]
fn due_too_late() {
    let mut entry = entry();
    entry.step(T, Input::StopAt(T + 1_000 * MS));
    assert_eq!(entry.request(T + 900 * MS, 1), None);
    assert_eq!(refusal(entry.completion()), Some(RefusalKind::Draining));
    let Some(Completion::Refuse(refusal)) = entry.completion() else { panic!("not refused") };
    let retry_after = refusal.retry_after.expect("another entry serves it at once");
    assert!(retry_after < 100 * MS, "{retry_after:?}");
}

#[test]
fn after_stop() {
    let mut entry = entry();
    entry.step(T, Input::Stop);
    assert_eq!(entry.request(T + MS, 1), None);
    assert_eq!(refusal(entry.completion()), Some(RefusalKind::Draining));
    assert_eq!(entry.engine.in_flight(), 0);
}

#[test]
fn stopped_without_table() {
    let mut entry = Harness::without_table(single("lookup", "tablet", 250), 80);
    entry.step(T, Input::Stop);
    entry.send_request(T + MS, 1);
    assert_eq!(refusal(entry.completion()), Some(RefusalKind::Draining), "it does not wait");
}
