//! Summaries of the entries' health reports about servers.

use std::time::Duration;

use hornbeam_discovery::HealthReports;
use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::discovery::HealthReport;

const T: Mono = Mono::from_millis(1_000);

fn entry(n: u8) -> InstanceId {
    format!("entry-{n}").parse().unwrap()
}

fn report(server: &str, slowness_tenths: u16, unresponsive: bool) -> HealthReport {
    HealthReport { server: server.parse().unwrap(), slowness_tenths, unresponsive }
}

#[test]
fn median_slowness() {
    let mut reports = HealthReports::default();
    for (n, slowness) in [(1, 30), (2, 90), (3, 500)] {
        reports.record(T, entry(n), vec![report("s", slowness, false)]);
    }
    assert_eq!(reports.summary(T, |_| true), vec![report("s", 90, false)]);
}

#[test]
fn single_report_ignored() {
    let mut reports = HealthReports::default();
    reports.record(T, entry(1), vec![report("s", 100, true)]);
    assert!(
        reports.summary(T, |_| true).is_empty(),
        "one entry may lose two responses in a row by chance"
    );
    reports.record(T, entry(2), vec![report("s", 100, false)]);
    assert!(!reports.summary(T, |_| true)[0].unresponsive);
}

#[test]
fn unresponsive_by_half() {
    let mut reports = HealthReports::default();
    reports.record(T, entry(1), vec![report("s", 30, true)]);
    reports.record(T, entry(2), vec![report("s", 30, true)]);
    reports.record(T, entry(3), vec![report("s", 30, false)]);
    assert!(reports.summary(T, |_| true)[0].unresponsive);
    for n in 4..6 {
        reports.record(T, entry(n), vec![report("s", 30, false)]);
    }
    assert!(!reports.summary(T, |_| true)[0].unresponsive);
}

#[test]
fn old_reports_expire() {
    let mut reports = HealthReports::default();
    for n in 1..3 {
        reports.record(T, entry(n), vec![report("s", 30, false)]);
    }
    assert!(reports.summary(T + Duration::from_secs(2), |_| true).is_empty());
    for n in 1..3 {
        reports.record(T, entry(n), vec![report("s", 30, false)]);
    }
    reports.record(T, entry(1), Vec::new());
    assert!(
        reports.summary(T, |_| true).is_empty(),
        "the latest report of an entry replaces its previous one"
    );
}

#[test]
fn other_controllers_servers() {
    let mut reports = HealthReports::default();
    for n in [1, 2] {
        reports.record(T, entry(n), vec![report("ours", 90, false), report("theirs", 90, false)]);
    }
    // The controller that hears the heartbeats of the other server reports it.
    let summary = reports.summary(T, |s| s.as_str() == "ours");
    assert_eq!(summary, vec![report("ours", 90, false)]);
}
