//! Patient requests that are gathered for other entries.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::harness::{Harness, MS, T};
use common::single;
use hornbeam_model::{AttemptId, Fingerprint, KeyDigest, Mono, QueryId, Route};
use hornbeam_route::{AttemptOutcome, GroupRequest, Input, Output, ServerNotice};

const SECOND: Duration = Duration::from_secs(1);

/// Takes the attempts that were sent from the outputs.
fn take_sent(h: &mut Harness) -> Vec<AttemptId> {
    let sent = h.out.drain(..).filter_map(|o| match o {
        Output::SendAttempt(attempt) => Some(attempt.id),
        _ => None,
    });
    sent.collect()
}

/// A group whose wait is over stays queued for its origin; its timer was set in the past again and
/// again, and the step never returned.
#[test]
fn queued_past_its_wait() {
    let route = Route { objective_ms: 800, timeout_ms: 6_000, ..single("lookup", "tablet", 800) };
    let mut h = Harness::new(route.clone(), 80);
    h.receive_teams(T, 2, &[("orchard", &["acorn"])]);
    h.credential = Some(KeyDigest::of(b"acorn"));
    let mut in_flight: Vec<AttemptId> = (1..3).filter_map(|key| h.request(T, key)).collect();
    assert_eq!(in_flight.len(), 2);
    h.out.clear();
    let group = GroupRequest {
        key: QueryId(3),
        id: "r3".into(),
        route: Arc::new(Route { priority: 5, ..route }),
        fingerprint: Fingerprint { content: 3, query: Some(0), ..Fingerprint::default() },
        team: Some("orchard".parse().unwrap()),
        due_in: 700 * MS,
        remaining: 2 * SECOND,
        demand_ppm: 0,
    };
    h.step(T + MS, Input::Gather(group));
    // Urgent requests keep both slots busy until the deadline of the group has passed.
    let end = T + 2 * SECOND + 200 * MS;
    let (mut now, mut next_response, mut key) = (T + MS, T + 200 * MS, 10);
    let mut steps = 0;
    while now < end {
        now = h.engine.next_wake().map_or(next_response, |at: Mono| at.max(now)).min(next_response);
        h.step(now, Input::Tick);
        steps += 1;
        assert!(steps < 10_000, "the timers do not advance");
        if now >= next_response {
            next_response = now + 200 * MS;
            for _ in 0..2 {
                key += 1;
                h.send_request(now, key);
            }
            let attempt = in_flight.remove(0);
            let (outcome, notice) = (AttemptOutcome::Answered, ServerNotice::default());
            h.step(now, Input::AttemptFinished { attempt, outcome, notice });
        }
        in_flight.extend(take_sent(&mut h));
    }
}
