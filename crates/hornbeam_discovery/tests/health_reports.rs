//! Reports of entries about servers.

use std::time::Duration;

use hornbeam_discovery::HealthReports;
use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::discovery::HealthReport;

const T: Mono = Mono::from_millis(1_000);

fn entry(n: u8) -> InstanceId {
    format!("entry-{n}").parse().unwrap()
}

fn trouble(server: &str, slowness_tenths: u16, silent: bool) -> HealthReport {
    HealthReport { server: server.parse().unwrap(), slowness_tenths, unresponsive: silent }
}

#[test]
fn middle_report_counts() {
    let mut board = HealthReports::default();
    for (n, slowness) in [(1, 30), (2, 90), (3, 500)] {
        board.record(T, entry(n), vec![trouble("s", slowness, false)]);
    }
    assert_eq!(board.summary(T), vec![trouble("s", 90, false)]);
}

#[test]
fn one_report_is_none() {
    let mut board = HealthReports::default();
    board.record(T, entry(1), vec![trouble("s", 100, true)]);
    assert!(board.summary(T).is_empty(), "one entry may have met two lost answers in a row");
    board.record(T, entry(2), vec![trouble("s", 100, false)]);
    assert!(!board.summary(T)[0].unresponsive);
}

#[test]
fn half_say_silent() {
    let mut board = HealthReports::default();
    board.record(T, entry(1), vec![trouble("s", 30, true)]);
    board.record(T, entry(2), vec![trouble("s", 30, true)]);
    board.record(T, entry(3), vec![trouble("s", 30, false)]);
    assert!(board.summary(T)[0].unresponsive);
    for n in 4..6 {
        board.record(T, entry(n), vec![trouble("s", 30, false)]);
    }
    assert!(!board.summary(T)[0].unresponsive);
}

#[test]
fn old_reports_lapse() {
    let mut board = HealthReports::default();
    for n in 1..3 {
        board.record(T, entry(n), vec![trouble("s", 30, false)]);
    }
    assert!(board.summary(T + Duration::from_secs(2)).is_empty());
    for n in 1..3 {
        board.record(T, entry(n), vec![trouble("s", 30, false)]);
    }
    board.record(T, entry(1), Vec::new());
    assert!(board.summary(T).is_empty(), "the newest report replaces the others");
}
