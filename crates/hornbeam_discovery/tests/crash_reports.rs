//! Requests in flight at servers that ended, collected from the reports of entries.

use std::time::Duration;

use hornbeam_discovery::CrashReports;
use hornbeam_model::{CrashReport, CrashedRun, Fingerprint, Incarnation, Mono, RunSpan};

const NOW: Mono = Mono(5_000_000);

fn report(content: u64, server: u32, cleared: bool) -> CrashReport {
    let run = CrashedRun {
        fingerprint: Fingerprint { caller: 0, content, query: Some(0), service: None },
        server: format!("s{server}").parse().unwrap(),
        incarnation: Incarnation(1),
        span: RunSpan { began: 4_000_000, ended: 4_100_000 },
        cleared,
    };
    run.report(NOW)
}

/// Only what is new is passed on, however often and in which order it is reported.
#[test]
fn new_reports() {
    let mut reports = CrashReports::default();
    let first = report(1, 1, false);
    assert_eq!(reports.record(NOW, vec![first.clone(), first.clone()]), vec![first.clone()]);
    assert!(reports.record(NOW, vec![first.clone()]).is_empty());
    let cleared = report(1, 1, true);
    assert_eq!(reports.record(NOW, vec![cleared.clone()]), vec![cleared.clone()]);
    assert!(reports.record(NOW, vec![first]).is_empty(), "a late report clears nothing");
    assert_eq!(reports.all(NOW), vec![cleared]);
}

#[test]
fn bounded_runs() {
    let mut reports = CrashReports::default();
    for content in 0..20_000 {
        reports.record(NOW, vec![report(content, 1, false)]);
    }
    assert!(reports.all(NOW).len() <= 16_384);
    reports.record(NOW + Duration::from_secs(700), Vec::new());
    assert!(reports.all(NOW).is_empty());
}

/// Runs grow older while a controller is down, also if its time of day was set back meanwhile.
#[test]
fn recalled_runs() {
    let mut reports = CrashReports::default();
    reports.record(NOW, vec![report(1, 1, false)]);
    let saved = reports.to_save(NOW, 1_000_000);
    for (unix_ms, kept) in [(1_300_000, 1), (1_700_000, 0), (990_000, 1)] {
        let mut restarted = CrashReports::default();
        restarted.recall(Mono(0), unix_ms, saved.clone());
        assert_eq!(restarted.all(Mono(0)).len(), kept, "at {unix_ms}");
    }
}
