//! Keys of teams while tables change: keys that are not known yet, and keys that are revoked.

mod common;

use std::time::Duration;

use common::harness::{Harness, MS, T, refusal};
use common::single;
use hornbeam_model::{KeyDigest, Mono, TableVersion};
use hornbeam_route::{
    AttemptOutcome, Completion, ControllerContact, Input, Output, Peer, RefusalKind, ServerNotice,
    TeamField,
};

const ORCHARD: &[(&str, &[&str])] = &[("orchard", &["acorn"])];

/// An engine whose table has the team, and whose requests have this key.
fn harness(key: &str) -> Harness {
    let mut harness = Harness::new(single("lookup", "tablet", 250), 80);
    harness.receive_teams(T, 2, ORCHARD);
    harness.out.clear();
    harness.credential = Some(KeyDigest::of(key.as_bytes()));
    harness
}

fn contact(
    harness: &mut Harness,
    now: Mono,
    announced: u64,
    majority_at: Option<Mono>,
    strict_window: Option<Duration>,
) {
    let announced = TableVersion(announced);
    let contact = ControllerContact { announced, majority_at, strict_window };
    harness.step(now, Input::ControllerContact(contact));
}

/// The reason for which a request that is sent now is refused at once.
fn refused(harness: &mut Harness, now: Mono, key: u64) -> Option<RefusalKind> {
    harness.out.clear();
    harness.send_request(now, key);
    refusal(harness.completion())
}

#[test]
fn unknown_key() {
    assert_eq!(refused(&mut harness("oak"), T, 1), Some(RefusalKind::UnknownKey));
    assert_eq!(refused(&mut harness("acorn"), T, 1), None);
}

#[test]
fn restarted_entry_awaits_majority() {
    let mut harness = harness("acorn");
    contact(&mut harness, T, 0, None, None);
    harness.send_request(T, 1);
    assert_eq!(harness.take_attempt(), None, "an older table may still have the key");
    // One controller lags behind, and the others state the version that revokes the key.
    contact(&mut harness, T + MS, 3, Some(T + MS), None);
    harness.receive_teams(T + 2 * MS, 3, &[("orchard", &[])]);
    assert_eq!(refusal(harness.completion()), Some(RefusalKind::UnknownKey));
}

#[test]
fn restarted_entry_serves_with_majority() {
    let mut harness = harness("acorn");
    contact(&mut harness, T, 0, None, None);
    harness.send_request(T, 1);
    contact(&mut harness, T + MS, 2, Some(T + MS), None);
    let attempt = harness.take_attempt().expect("sent");
    harness.finish_attempt(T + 9 * MS, attempt, AttemptOutcome::Answered);
    // Later it serves with the table that it has, also without any controller.
    assert_eq!(refused(&mut harness, T + Duration::from_secs(60), 2), None);
}

#[test]
fn unknown_key_of_late_table() {
    let mut harness = harness("oak");
    contact(&mut harness, T, 2, Some(T), None);
    contact(&mut harness, T, 3, Some(T), None);
    assert_eq!(refused(&mut harness, T, 1), None, "waits for the announced table");
    harness.step(T + Duration::from_secs(1), Input::Tick);
    assert_eq!(refusal(harness.completion()), Some(RefusalKind::Unverified));
}

#[test]
fn unknown_key_without_controllers() {
    let mut harness = harness("oak");
    contact(&mut harness, T, 2, Some(T), None);
    assert_eq!(refused(&mut harness, T, 1), Some(RefusalKind::UnknownKey));
    // A table that this entry has not heard of may have the key.
    let later = T + Duration::from_secs(3);
    assert_eq!(refused(&mut harness, later, 2), Some(RefusalKind::Unverified));
}

#[test]
fn strict_entry_without_controllers() {
    let mut harness = harness("acorn");
    let window = Some(Duration::from_secs(5));
    contact(&mut harness, T, 2, Some(T), window);
    assert_eq!(refused(&mut harness, T + Duration::from_secs(5), 1), None);
    let late = T + Duration::from_millis(5_001);
    assert_eq!(refused(&mut harness, late, 2), Some(RefusalKind::Unverified));
    contact(&mut harness, late, 2, Some(late), window);
    assert_eq!(refused(&mut harness, late, 3), None);
}

#[test]
fn queued_request_of_revoked_key() {
    let mut harness = harness("acorn");
    let running = harness.request(T, 1).expect("a server is free");
    harness.request(T, 2).expect("the other server is free");
    harness.send_request(T, 3);
    assert_eq!(harness.take_attempt(), None, "queued");
    harness.receive_teams(T + MS, 3, &[("orchard", &[])]);
    assert_eq!(refusal(harness.completion()), Some(RefusalKind::UnknownKey));
    // What runs is completed, and a failure is not retried.
    let next = harness.finish_attempt(T + 9 * MS, running, AttemptOutcome::Answered);
    assert_eq!(next, None);
    assert_eq!(harness.completion(), Some(&Completion::Forward(running)));
}

#[test]
fn failed_attempt_of_revoked_key() {
    let mut harness = harness("acorn");
    let running = harness.request(T, 1).expect("a server is free");
    harness.receive_teams(T + MS, 3, &[("orchard", &[])]);
    let retry = harness.finish_attempt(T + 9 * MS, running, AttemptOutcome::NotRun);
    assert_eq!(retry, None);
    assert_eq!(refusal(harness.completion()), Some(RefusalKind::UnknownKey));
}

#[test]
fn team_before_first_attempt() {
    let mut harness = harness("acorn");
    harness.send_request(T, 1);
    let is_team = |o: &Output| matches!(o, Output::SetTeamField { field: TeamField::Team(t), .. } if t.as_str() == "orchard");
    let team = harness.out.iter().position(is_team).expect("the team is stated");
    let sent = harness.out.iter().position(|o| matches!(o, Output::SendAttempt(_)));
    assert!(sent.is_some_and(|sent| team < sent));
}

#[test]
fn group_of_revoked_key() {
    let mut harness = harness("acorn");
    let peer = Peer {
        name: "e1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "olomouc".parse().unwrap(),
    };
    harness.step(T, Input::Peers(vec![peer]));
    // Both servers refuse connections, so the request is relayed.
    let mut attempt = harness.request(T, 1);
    while let Some(id) = attempt {
        harness.step(
            T + MS,
            Input::AttemptFinished {
                attempt: id,
                outcome: AttemptOutcome::NotSent,
                notice: ServerNotice::default(),
            },
        );
        let relays = |o: &Output| matches!(o, Output::Delegate(_));
        if harness.out.iter().any(relays) {
            break;
        }
        attempt = harness.take_attempt();
    }
    let is_delegated = |o: &Output| matches!(o, Output::Delegate(_));
    assert!(harness.out.iter().any(is_delegated), "relayed");
    harness.out.clear();
    harness.receive_teams(T + 2 * MS, 3, &[("orchard", &[])]);
    let is_cancelled = |o: &Output| matches!(o, Output::CancelGroup(_));
    assert!(!harness.out.iter().any(is_cancelled), "it may end in time");
    harness.step(T + 2_002 * MS, Input::Tick);
    assert!(harness.out.iter().any(is_cancelled));
}
