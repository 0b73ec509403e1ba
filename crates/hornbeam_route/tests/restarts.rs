//! Entries that are restarted at peak load: requests arrive before the routing table.

mod common;

use std::time::Duration;

use common::harness::{Harness, MS, T, refusal};
use common::{HANAK, single};
use hornbeam_model::QueryId;
use hornbeam_route::{Completion, Input, RefusalKind};

#[test]
fn waits_for_table() {
    let mut harness = Harness::without_table(single("lookup", "tablet", 250), 80);
    harness.send_request(T, 1);
    assert_eq!(harness.completion(), None, "waits for the table");
    harness.receive_table(T + 100 * MS);
    let attempt = harness.take_attempt().expect("sent once there is a table");
    let answered = hornbeam_route::AttemptOutcome::Answered;
    harness.finish_attempt(T + 110 * MS, attempt, answered);
    assert_eq!(harness.completion(), Some(&Completion::Forward(attempt)));
}

#[test]
fn refused_without_table() {
    let mut harness = Harness::without_table(single("lookup", "tablet", 250), 80);
    harness.send_request_with_patience(T, 1, Some(400 * MS));
    harness.step(T + 99 * MS, Input::Tick);
    assert_eq!(harness.completion(), None);
    harness.step(T + 100 * MS, Input::Tick);
    assert_eq!(refusal(harness.completion()), Some(RefusalKind::NoTable));
    harness.out.clear();
    harness.receive_table(T + 200 * MS);
    assert_eq!(harness.take_attempt(), None, "a refused request does not run");
}

#[test]
fn gone_before_table() {
    let mut harness = Harness::without_table(single("lookup", "tablet", 250), 80);
    harness.send_request(T, 1);
    harness.step(T + MS, Input::CallerGone(QueryId(1)));
    harness.receive_table(T + 2 * MS);
    assert_eq!(harness.take_attempt(), None);
    assert_eq!(harness.engine.in_flight(), 0);
}

#[test]
fn stopped_before_table() {
    let mut harness = Harness::without_table(single("lookup", "tablet", 250), 80);
    harness.send_request(T, 1);
    harness.step(T + MS, Input::Stop);
    assert_eq!(refusal(harness.completion()), Some(RefusalKind::NoTable));
    assert_eq!(harness.engine.in_flight(), 0);
}

#[test]
fn all_entries_restarted() {
    let mut world = HANAK.start(31);
    world.schedule_load(0, common::SWEEPS_PER_SECOND, Duration::from_secs(1));
    // Each entry hears its controllers 150 ms after its start.
    world.restart_entries(150 * MS);
    world.run(Duration::from_secs(2));
    let served = world.ended.iter().filter(|e| matches!(e.completion, Completion::Merge { .. }));
    let served = served.count();
    assert!(served * 100 >= world.ended.len() * 95, "{served} of {}", world.ended.len());
}
