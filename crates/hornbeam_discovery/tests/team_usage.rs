//! Use of the teams' quotas, summed up from the reports of entries.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_discovery::TeamUsages;
use hornbeam_model::{
    Incarnation, InstanceId, Mono, RequestRate, Team, TeamUsage, TrafficPolicy, UsageReport,
};

const START: Mono = Mono(1_000_000);
const SECOND: Duration = Duration::from_secs(1);

/// A controller that has counted for a minute; the team has 10 requests per second and a burst of 100.
fn usages() -> (TeamUsages, InstanceId, Mono) {
    let mut usages = TeamUsages::new(START);
    let team = Team { rate: RequestRate(10_000), burst: 100, ..Team::default() };
    let teams = [("mapping".parse().unwrap(), team)].into();
    let policy = Arc::new(TrafficPolicy { teams, ..TrafficPolicy::default() });
    usages.set_policy(START + 60 * SECOND, &policy);
    (usages, "e0".parse().unwrap(), START + 60 * SECOND)
}

fn report(incarnation: u64, is_baseline: bool, admitted: u64) -> UsageReport {
    let asked = RequestRate(20_000);
    let usage = TeamUsage { team: "mapping".parse().unwrap(), admitted, asked, waiting: 0 };
    UsageReport { incarnation: Incarnation(incarnation), is_baseline, teams: vec![usage] }
}

fn balance(usages: &mut TeamUsages, now: Mono) -> f64 {
    usages.summary(now).teams.first().expect("near its quota").balance.requests()
}

/// Guards against reports that count twice, or after those of a later start.
#[test]
fn doubled_and_old_reports() {
    let (mut usages, entry, now) = usages();
    for _ in 0..2 {
        usages.record(now, &entry, report(5, false, 40));
    }
    usages.record(now, &entry, report(4, false, 3_000));
    assert_eq!(balance(&mut usages, now), 60.0);
    usages.record(now, &entry, report(6, false, 10));
    assert_eq!(balance(&mut usages, now), 50.0, "a restarted entry counts from zero");
    usages.record(now, &entry, report(6, false, 8));
    assert_eq!(balance(&mut usages, now), 52.0, "requests are returned");
}

/// Guards against counts of a whole day that empty a quota when a controller restarts, and against those
/// of a partition that empty it when the entry is heard again.
#[test]
fn counts_from_before() {
    let (mut usages, entry, now) = usages();
    usages.record(now, &entry, report(5, true, 9_000));
    assert_eq!(balance(&mut usages, now), 100.0);
    usages.close(now, &entry);
    let later = now + 29_100 * Duration::from_millis(1);
    usages.observe(now + 29 * SECOND);
    usages.observe(later);
    usages.open(later, &entry);
    usages.record(later, &entry, report(5, true, 9_300));
    let left = balance(&mut usages, later + SECOND);
    assert!(left > -10.0, "{left} left after 300 requests in 30 s");
}

/// Guards against entries behind a partition that use the same quota again.
#[test]
fn vanished_entries() {
    let (mut usages, entry, now) = usages();
    usages.set_fleet(now, 80, 80);
    usages.record(now, &entry, report(5, false, 0));
    usages.set_fleet(now, 20, 80);
    let left = balance(&mut usages, now);
    assert!((10.0..=25.0).contains(&left), "{left} left of a quarter of the burst");
}
