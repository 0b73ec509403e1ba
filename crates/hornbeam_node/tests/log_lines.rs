//! Rate limits of structured log lines.

use std::time::{Duration, Instant};

use hornbeam_node::structured::LineRateLimiter;
use hornbeam_settings::LogRates;

#[test]
fn failures_before_successes() {
    let (mut limiter, now) = (LineRateLimiter::new(LogRates::default()), Instant::now());
    let successes = (0..500).filter(|_| limiter.admit("answered", false, now).is_some()).count();
    let failures = (0..500).filter(|_| limiter.admit("refused", true, now).is_some()).count();
    assert!(
        failures > 2 * successes && successes > 0,
        "{failures} failures and {successes} successes"
    );
}

#[test]
fn suppressed_lines_counted() {
    let (mut limiter, now) = (LineRateLimiter::new(LogRates::default()), Instant::now());
    let written = (0..100).filter(|_| limiter.admit("answered", false, now).is_some()).count();
    let later = now + Duration::from_secs(1);
    assert_eq!(limiter.admit("answered", false, later), Some(100 - written as u64));
    assert_eq!(limiter.admit("answered", false, later), Some(0));
}

#[test]
fn kinds_are_independent() {
    let (mut limiter, now) = (LineRateLimiter::new(LogRates::default()), Instant::now());
    while limiter.admit("answered", false, now).is_some() {}
    assert_eq!(limiter.admit("short", true, now), Some(0));
}

#[test]
fn zero_rate() {
    let rates = LogRates { failures_per_s: 0.0, others_per_s: 0.0 };
    let (mut limiter, now) = (LineRateLimiter::new(rates), Instant::now());
    assert_eq!(limiter.admit("refused", true, now), None);
    assert_eq!(limiter.admit("refused", true, now + Duration::from_secs(60)), None);
}
