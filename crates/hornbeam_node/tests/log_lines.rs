//! The bound on structured log lines.

use std::time::{Duration, Instant};

use hornbeam_node::structured::LineBudget;
use hornbeam_settings::LogRates;

#[test]
fn failures_before_successes() {
    let (mut budget, now) = (LineBudget::new(LogRates::default()), Instant::now());
    let ordinary = (0..500).filter(|_| budget.take("answered", false, now).is_some()).count();
    let failures = (0..500).filter(|_| budget.take("refused", true, now).is_some()).count();
    assert!(failures > 2 * ordinary && ordinary > 0, "{failures} and {ordinary}");
}

#[test]
fn left_out_lines_counted() {
    let (mut budget, now) = (LineBudget::new(LogRates::default()), Instant::now());
    let written = (0..100).filter(|_| budget.take("answered", false, now).is_some()).count();
    let later = now + Duration::from_secs(1);
    assert_eq!(budget.take("answered", false, later), Some(100 - written as u64));
    assert_eq!(budget.take("answered", false, later), Some(0));
}

#[test]
fn kinds_apart() {
    let (mut budget, now) = (LineBudget::new(LogRates::default()), Instant::now());
    while budget.take("answered", false, now).is_some() {}
    assert_eq!(budget.take("short", true, now), Some(0));
}

#[test]
fn switched_off() {
    let rates = LogRates { failures_per_s: 0.0, others_per_s: 0.0 };
    let (mut budget, now) = (LineBudget::new(rates), Instant::now());
    assert_eq!(budget.take("refused", true, now), None);
    assert_eq!(budget.take("refused", true, now + Duration::from_secs(60)), None);
}
