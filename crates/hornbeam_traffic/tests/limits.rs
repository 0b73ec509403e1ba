//! The adaptive concurrency limit, the retry budget and the admission queue.

use std::time::Duration;

use hornbeam_model::{Limits, Mono, QueryId, ServiceId};
use hornbeam_traffic::admission::QueueDecision;
use hornbeam_traffic::{Admission, AdmissionDecision, Limiter, RetryBudget};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn limit_follows_latency() {
    let mut limiter = Limiter::new(100);
    let mut now = Mono::default();
    let mut record = |limiter: &mut Limiter, latency, count| {
        for _ in 0..count {
            now = now + ms(1);
            limiter.mark_limit_reached();
            limiter.record(now, latency);
        }
    };
    record(&mut limiter, ms(10), 1_000);
    assert_eq!(limiter.limit(), 100, "the limit grows while the latency stays");
    record(&mut limiter, ms(60), 320);
    assert!(limiter.limit() < 10, "the limit shrinks when the latency rises: {}", limiter.limit());
    record(&mut limiter, ms(10), 2_000);
    assert!(limiter.limit() > 80, "the limit recovers: {}", limiter.limit());
}

#[test]
fn unused_limit_stays() {
    let mut limiter = Limiter::new(100);
    let before = limiter.limit();
    for n in 0..1_000 {
        limiter.record(Mono::from_millis(n), ms(10));
    }
    assert_eq!(limiter.limit(), before, "an unused limit does not grow");
}

#[test]
fn budget_bounds() {
    for percent in [0, 1, 5, 20] {
        let mut budget = RetryBudget::new(percent);
        let mut extra = 0;
        for _ in 0..10_000 {
            budget.earn();
            while budget.can_hedge() {
                budget.spend();
                extra += 1;
            }
        }
        assert!(extra <= 100 * percent, "{extra} extra requests at {percent} %");
        assert!(extra >= 80 * percent, "{extra} extra requests at {percent} %");
        let retries = budget.available_retries();
        assert_eq!(retries > 0, percent > 0, "hedges leave a reserve for retries");
    }
}

#[test]
fn refuses_early() {
    let service: ServiceId = "planner".parse().unwrap();
    let mut admission = Admission::new(100);
    admission.set_limits(&service, &Limits { max_in_flight: 2, max_queue: 50, max_hits: 10 });
    let mut now = Mono::from_millis(1);
    // Each query takes 100 ms.
    for n in 0..64 {
        assert_eq!(
            admission.admit(now, &service, QueryId(n), now + ms(1_000)),
            AdmissionDecision::Run
        );
        now = now + ms(100);
        admission.finish(now, &service, Some(ms(100)));
    }
    let mut waiting = 0;
    let mut refused = None;
    for n in 100..130 {
        match admission.admit(now, &service, QueryId(n), now + ms(450)) {
            AdmissionDecision::Run => {}
            AdmissionDecision::Wait => waiting += 1,
            AdmissionDecision::Refuse { retry_after } => refused = refused.or(Some(retry_after)),
        }
    }
    assert!(
        (4..=8).contains(&waiting),
        "only queries that can finish within 450 ms are queued: {waiting}"
    );
    let retry_after = refused.expect("the other queries are refused immediately");
    assert!(retry_after >= ms(200), "the refusal carries a retry delay: {retry_after:?}");
}

#[test]
fn short_deadline_behind() {
    // A query with a short deadline is queued behind one with a long deadline. It must still be
    // refused before its own deadline passes.
    let service: ServiceId = "planner".parse().unwrap();
    let mut admission = Admission::new(1);
    admission.set_limits(&service, &Limits { max_in_flight: 1, max_queue: 50, max_hits: 10 });
    let now = Mono::from_millis(1);
    assert_eq!(admission.admit(now, &service, QueryId(1), now + ms(9_000)), AdmissionDecision::Run);
    assert_eq!(
        admission.admit(now, &service, QueryId(2), now + ms(9_000)),
        AdmissionDecision::Wait
    );
    assert_eq!(admission.admit(now, &service, QueryId(3), now + ms(50)), AdmissionDecision::Wait);
    let wake = admission.next_wake().unwrap();
    assert!(wake <= now + ms(51), "{wake}");
    match admission.next_decision(wake) {
        Some(QueueDecision::Refuse { query, .. }) => assert_eq!(query, QueryId(3)),
        other => panic!("{other:?}"),
    }
    assert_eq!(admission.next_decision(wake), None);
    admission.finish(wake, &service, None);
    assert_eq!(admission.next_decision(wake), Some(QueueDecision::Run(QueryId(2))));
}
