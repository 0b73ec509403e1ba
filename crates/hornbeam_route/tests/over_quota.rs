//! Requests of a team at one entry that its quota allows or not.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::harness::{Harness, MS, T, refusal, usable};
use common::{service, single};
use hornbeam_model::{
    Fingerprint, FleetUsage, KeyDigest, Mono, QueryId, RequestRate, RoutedService, Routing,
    TableVersion, Team, TrafficPolicy,
};
use hornbeam_route::{
    AttemptOutcome, Completion, Decision, Input, Output, Refusal, RefusalKind, ServerChange,
};

const SECOND: Duration = Duration::from_secs(1);
const KEY: &[u8] = b"a key";

/// An entry whose only team has this quota, in contact with a controller.
struct Entry {
    harness: Harness,
    next: u64,
}

impl Entry {
    fn new(rate: f64, burst: u32) -> Self {
        let route = single("lookup", "tablet", 250);
        let harness = Harness::new(route.clone(), 80);
        let rate = RequestRate::from_per_second(rate).unwrap();
        let team = Team { keys: vec![KeyDigest::of(KEY)], rate, burst, ..Team::default() };
        let policy = TrafficPolicy {
            teams: [("mapping".parse().unwrap(), team)].into(),
            ..TrafficPolicy::default()
        };
        let table = Routing {
            version: TableVersion(2),
            routes: vec![Arc::new(route)],
            services: [(service("tablet"), RoutedService { max_connections: 8 })].into(),
            policy: Arc::new(policy),
            ..Routing::default()
        };
        let mut entry = Self { harness, next: 1 };
        entry.harness.step(T, Input::Table(Arc::new(table)));
        entry.run_until(T, T + 10 * SECOND);
        entry
    }

    /// Receives the reports of a controller that hears 8 entries.
    fn run_until(&mut self, from: Mono, until: Mono) {
        let mut now = from;
        while now < until {
            now = (now + 400 * MS).min(until);
            let usage = FleetUsage { heard: 8, known: 8, counted_ms: 60_000, teams: Vec::new() };
            let controller = "c0".parse().unwrap();
            self.harness.step(now, Input::TeamUsage { controller, usage });
        }
    }

    /// Sends a request; returns the refusal if there is one. An attempt is answered at once.
    fn request(&mut self, now: Mono) -> Option<Refusal> {
        self.send(now);
        if let Some(Completion::Refuse(refusal)) = self.harness.completion() {
            return Some(*refusal);
        }
        let attempt = self.harness.take_attempt().expect("sent to a free server");
        self.harness.finish_attempt(now, attempt, AttemptOutcome::Answered);
        None
    }

    fn send(&mut self, now: Mono) {
        self.next += 1;
        let content = self.next;
        self.harness.out.clear();
        self.harness.step(
            now,
            Input::Request {
                key: QueryId(self.next),
                id: format!("r{}", self.next).into(),
                fingerprint: Fingerprint { caller: 0, content, query: Some(0), service: None },
                credential: Some(KeyDigest::of(KEY)),
                host: "plots.example".into(),
                path: "/lookup/1".into(),
                patience: None,
                opened_connection: false,
            },
        );
    }

    /// Requests that count against the quota.
    fn counted(&mut self, now: Mono) -> u64 {
        let report = self.harness.engine.take_team_usage(now);
        report.first().map_or(0, |u| u.admitted)
    }
}

/// Guards against a refusal that comes late, sends something first, or names a time at which the team
/// is refused again.
#[test]
fn refused_with_true_time() {
    let mut entry = Entry::new(2.0, 10);
    let now = T + 10 * SECOND;
    let refusals: Vec<Refusal> = (0..60).filter_map(|_| entry.request(now)).collect();
    let admitted = 60 - refusals.len();
    assert!((10..=42).contains(&admitted), "{admitted} of 10 in a burst, 42 allowed");
    assert!(refusals.iter().all(|r| r.kind == RefusalKind::OverQuota));
    let waits: Vec<Duration> = refusals.iter().map(|r| r.retry_after.unwrap()).collect();
    assert!(waits[5] > waits[0], "later ones wait for the earlier ones");
    let back = now + waits[0];
    entry.run_until(now, back);
    assert_eq!(entry.request(back), None, "admitted at the time that the refusal names");
}

#[test]
fn logged_once() {
    let mut entry = Entry::new(2.0, 0);
    let now = T + 10 * SECOND;
    let mut logged = 0;
    for _ in 0..60 {
        entry.request(now);
        let is_logged = |o: &&Output| matches!(o, Output::Log(Decision::TeamOverQuota { .. }));
        logged += entry.harness.out.iter().filter(is_logged).count();
    }
    assert_eq!(logged, 1);
}

/// Guards against a quota that is used up by requests that found no server.
#[test]
fn refused_without_server_is_returned() {
    let mut entry = Entry::new(2.0, 10);
    let now = T + 10 * SECOND;
    for n in 0..2 {
        let server = format!("s{n}").parse().unwrap();
        let change = ServerChange::Unusable { server, reason: "gone" };
        entry.harness.step(now, Input::Servers(vec![change]));
    }
    for _ in 0..100 {
        assert_eq!(entry.request(now).map(|r| r.kind), Some(RefusalKind::NoServer));
    }
    entry.harness.step(now, Input::Servers(vec![usable(0, 2)]));
    entry.harness.step(now, Input::Servers(vec![usable(1, 2)]));
    for _ in 0..10 {
        assert_eq!(entry.request(now), None, "the burst is left");
    }
}

/// Guards against a quota that is used up by requests that were queued and then refused, and against one
/// that gets back a request that may have run.
#[test]
fn refused_after_queueing_is_returned() {
    let mut entry = Entry::new(2.0, 10);
    let now = T + 10 * SECOND;
    for _ in 0..2 {
        entry.send(now);
        assert!(entry.harness.take_attempt().is_some(), "each server takes one attempt");
    }
    entry.send(now);
    assert_eq!(entry.harness.completion(), None, "queued");
    assert_eq!(entry.harness.take_attempt(), None, "queued");
    assert_eq!(entry.counted(now), 3);
    entry.harness.step(now + MS, Input::Stop);
    let is_overloaded = |o: &&Output| match o {
        Output::Complete { completion, .. } => {
            refusal(Some(completion)) == Some(RefusalKind::Overloaded)
        }
        _ => false,
    };
    assert_eq!(entry.harness.out.iter().filter(is_overloaded).count(), 1);
    assert_eq!(entry.counted(now + SECOND), 2);
}

#[test]
fn no_limit() {
    let mut entry = Entry::new(0.0, 0);
    let now = T + 10 * SECOND;
    for _ in 0..100 {
        assert_eq!(entry.request(now), None);
    }
    assert!(entry.harness.engine.take_team_usage(now).is_empty(), "nothing to report");
}

/// Guards against an entry that admits its whole quota without a controller.
#[test]
fn equal_part_without_controller() {
    let mut entry = Entry::new(16.0, 16);
    let now = T + 30 * SECOND;
    let refused = (0..60).filter(|_| entry.request(now).is_some()).count();
    assert!((55..=58).contains(&refused), "{refused} of 60 refused with an eighth of the quota");
}
