//! Rates that servers state, aggregated from the reports of entries.

use std::time::Duration;

use hornbeam_discovery::RateReports;
use hornbeam_model::{Incarnation, InstanceId, Mono, RateReport, RateStatement, RequestRate};

fn statement(incarnation: u64, version: u64, rate: Option<u64>) -> RateStatement {
    RateStatement {
        server: "s0".parse().unwrap(),
        incarnation: Incarnation(incarnation),
        version,
        rate: rate.map(RequestRate),
    }
}

fn report(statement: RateStatement, demand: u64) -> Vec<RateReport> {
    vec![RateReport { statement, demand: RequestRate(demand) }]
}

fn entry(number: u32) -> InstanceId {
    format!("e{number}").parse().unwrap()
}

const START: Mono = Mono(1_000_000);

/// Whatever order the reports arrive in, and however often, the latest statement holds.
#[test]
fn any_order() {
    let statements = [
        statement(1, 9, Some(5_000)),
        statement(2, 1, Some(8_000)),
        statement(2, 2, Some(4_000)),
        statement(2, 2, Some(6_000)),
        statement(2, 1, None),
    ];
    for first in 0..statements.len() {
        let mut reports = RateReports::default();
        for i in 0..2 * statements.len() {
            let one = statements[(first + i * 3) % statements.len()].clone();
            reports.record(START, &entry(i as u32), report(one, 0));
        }
        let summary = reports.summary(START);
        assert_eq!(summary.len(), 1);
        assert_eq!(summary[0].statement, statement(2, 2, Some(4_000)), "from {first}");
    }
}

#[test]
fn summed_demand() {
    let mut reports = RateReports::default();
    reports.record(START, &entry(0), report(statement(1, 1, Some(5_000)), 300));
    reports.record(START, &entry(1), report(statement(1, 1, Some(5_000)), 400));
    // A doubled report counts once.
    reports.record(START, &entry(1), report(statement(1, 1, Some(5_000)), 400));
    assert_eq!(reports.summary(START)[0].demand, RequestRate(700));
    let later = START + Duration::from_secs(1);
    reports.record(later, &entry(1), report(statement(1, 1, Some(5_000)), 400));
    let summary = reports.summary(START + Duration::from_secs(2));
    assert_eq!(summary[0].demand, RequestRate(400), "a silent entry has no demand");
}

#[test]
fn bounded_statements() {
    let mut reports = RateReports::default();
    for server in 0..20_000 {
        let server = format!("s{server}").parse().unwrap();
        let one = RateStatement { server, ..statement(1, 1, Some(5_000)) };
        reports.record(START, &entry(0), report(one, 1));
    }
    assert!(reports.summary(START).len() <= 16_384);
    assert!(reports.summary(START + Duration::from_secs(61)).is_empty());
}
