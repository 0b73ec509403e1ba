//! Requests that end the servers that run them, and requests that only ran beside them.

mod common;

use std::time::Duration;

use common::harness::{Harness, usable};
use common::{CONSORTIUM, Fault, World};
use hornbeam_model::{CrashReport, CrashedRun, Fingerprint, Incarnation, Mono, RunSpan};
use hornbeam_route::{AttemptOutcome, Completion, CrashHistory, Input, Output, RefusalKind};

const MS: Duration = Duration::from_millis(1);
const NOW: Mono = Mono::from_millis(100_000);
const CULPRIT: Fingerprint = Fingerprint { caller: 0, content: 1, query: Some(0), service: None };
const BESIDE: Fingerprint = Fingerprint { caller: 0, content: 2, query: Some(0), service: None };

/// A run at server `n` from `began_ms` to `ended_ms`, in milliseconds before [`NOW`].
fn run(fingerprint: Fingerprint, n: u32, began_ms: i64, ended_ms: i64) -> CrashedRun {
    let at = |ms: i64| NOW.0 as i64 - ms * 1_000;
    CrashedRun {
        fingerprint,
        server: format!("s{n}").parse().unwrap(),
        incarnation: Incarnation(1),
        span: RunSpan { began: at(began_ms), ended: at(ended_ms) },
        cleared: false,
    }
}

/// Three servers that ended one after the other under one request.
fn successive(fingerprint: Fingerprint) -> Vec<CrashedRun> {
    vec![
        run(fingerprint, 0, 900, 800),
        run(fingerprint, 1, 800, 700),
        run(fingerprint, 2, 500, 400),
    ]
}

fn history(runs: Vec<CrashedRun>) -> CrashHistory {
    let mut history = CrashHistory::default();
    for run in runs {
        record(&mut history, run);
    }
    history
}

/// Records a run at a server that is known to have ended.
fn record(history: &mut CrashHistory, run: CrashedRun) {
    let (server, incarnation) = (run.server.clone(), run.incarnation);
    history.record(NOW, run);
    history.confirm_end(NOW, &server, incarnation);
}

fn is_quarantined(history: &CrashHistory, fingerprint: Fingerprint) -> bool {
    history.quarantined_until(NOW, fingerprint).is_some()
}

#[test]
fn three_in_succession() {
    let mut history = history(successive(CULPRIT)[..2].to_vec());
    assert!(!is_quarantined(&history, CULPRIT));
    record(&mut history, successive(CULPRIT)[2].clone());
    assert!(is_quarantined(&history, CULPRIT));
    let until = history.quarantined_until(NOW, CULPRIT).unwrap();
    assert!(history.quarantined_until(until, CULPRIT).is_none(), "a quarantine ends");
}

/// The loss of a rack ends many servers at once under one request.
#[test]
fn rack_lost() {
    let history = history((0..8).map(|n| run(BESIDE, n, 500 + i64::from(n), 400)).collect());
    assert!(!is_quarantined(&history, BESIDE));
}

/// A search ends a server of every shard at about the same time, and again when they are back. Only
/// the rounds count, however many servers end in each.
#[test]
fn every_shard_ends() {
    let mut history = CrashHistory::default();
    for round in 0..3 {
        assert!(!is_quarantined(&history, CULPRIT), "after {round} rounds");
        for shard in 0..40 {
            let sent = 9_000 - 3_000 * i64::from(round);
            let lost = sent - 50 - i64::from(shard);
            record(&mut history, run(CULPRIT, 100 * round + shard, sent, lost));
        }
    }
    assert!(is_quarantined(&history, CULPRIT));
}

/// A request that was in flight at all servers but one that the culprit ended.
#[test]
fn beside_culprit() {
    let mut runs = successive(CULPRIT);
    runs.extend([run(BESIDE, 0, 850, 800), run(BESIDE, 1, 750, 700), run(BESIDE, 3, 300, 200)]);
    runs.push(run(CULPRIT, 3, 350, 200));
    let history = history(runs);
    assert!(is_quarantined(&history, CULPRIT));
    assert!(!is_quarantined(&history, BESIDE), "the culprit explains the three ends");
}

/// A response shows that a request does not end its servers.
#[test]
fn cleared_by_response() {
    let mut history = history(successive(BESIDE));
    history.clear(NOW, BESIDE);
    assert!(!is_quarantined(&history, BESIDE));
    record(&mut history, run(BESIDE, 7, 100, 50));
    assert!(!is_quarantined(&history, BESIDE), "earlier runs stay cleared");
}

/// A request that gets a response elsewhere soon costs no message.
#[test]
fn cleared_before_report() {
    let mut history = history(vec![run(BESIDE, 0, 400, 100)]);
    assert!(history.take_reports(NOW).is_empty(), "it may still be cleared");
    history.clear(NOW, BESIDE);
    assert!(history.take_reports(NOW + 1_000 * MS).is_empty());
}

fn with_query(query: u64) -> Fingerprint {
    Fingerprint { query: Some(query), ..CULPRIT }
}

/// Repeats with a parameter that changes are recognized by their path.
#[test]
fn changing_query() {
    let runs = (0..3).map(|n: u32| {
        let ms = 900 - 100 * i64::from(n);
        run(with_query(n.into()), n, ms, ms - 50)
    });
    let mut history = history(runs.collect());
    assert!(is_quarantined(&history, with_query(9)));
    assert!(!is_quarantined(&history, BESIDE));
    history.clear(NOW, with_query(7));
    assert!(!is_quarantined(&history, with_query(9)), "a request to the path got a response");
}

/// One query of a path ends servers, and responses to others do not hide it.
#[test]
fn used_path() {
    let mut history = history(successive(CULPRIT));
    history.clear(NOW, with_query(7));
    assert!(is_quarantined(&history, CULPRIT));
    assert!(!is_quarantined(&history, with_query(7)));
}

/// What one entry knows reaches the others in any order, in parts and more than once.
#[test]
fn reports_any_order() {
    let mut first = history(successive(CULPRIT));
    let mut second = history(successive(BESIDE));
    let mut reports = first.take_reports(NOW);
    reports.extend(second.take_reports(NOW));
    second.clear(NOW, BESIDE);
    reports.extend(second.take_reports(NOW));
    assert!(first.take_reports(NOW).is_empty(), "known runs are reported once");
    for start in 0..reports.len() {
        let mut other = CrashHistory::default();
        for i in 0..2 * reports.len() {
            let report = reports[(start + 5 * i) % reports.len()].clone();
            other.record_reports(NOW + 3 * MS, vec![report]);
        }
        assert!(is_quarantined(&other, CULPRIT), "from {start}");
        assert!(!is_quarantined(&other, BESIDE), "from {start}");
        assert!(other.take_reports(NOW).is_empty(), "what others reported is not repeated");
    }
}

/// The runs are older than the process that learns of them.
#[test]
fn restarted_entry() {
    let started = Mono::from_millis(20);
    let overlapping = (0..5).map(|n| run(BESIDE, n, 1_000, 900)).collect();
    for (runs, fingerprint, quarantined) in
        [(successive(CULPRIT), CULPRIT, true), (overlapping, BESIDE, false)]
    {
        let reports: Vec<CrashReport> = history(runs).take_reports(NOW);
        let mut restarted = CrashHistory::default();
        restarted.record_reports(started, reports);
        let until = restarted.quarantined_until(started, fingerprint);
        assert_eq!(until.is_some(), quarantined);
    }
}

/// Callers whose requests are lost with many servers do not take memory without bound, and do not
/// make an entry forget a culprit.
#[test]
fn bounded_suspects() {
    let mut history = history(successive(CULPRIT));
    for content in 0..5_000 {
        let fingerprint = Fingerprint { caller: 9, content, query: Some(0), service: None };
        record(&mut history, run(fingerprint, 50, 300, 200));
    }
    assert!(history.take_reports(NOW).len() <= 1_024 * 64);
    assert!(is_quarantined(&history, CULPRIT));
}

/// An engine with two servers, and the fingerprint of its request number `key`.
fn quarantine(harness: &mut Harness, key: u64) {
    let fingerprint = Fingerprint { caller: 0, content: key, query: Some(0), service: None };
    let mut known = history(
        (10..13)
            .map(|n| run(fingerprint, n, 1_000 - 10 * i64::from(n), 995 - 10 * i64::from(n)))
            .collect(),
    );
    harness.step(NOW, Input::CrashReports(known.take_reports(NOW)));
}

fn harness() -> Harness {
    Harness::new(common::single("lookup", "tablet", 250), 1_000)
}

/// A new request is refused at once, says when it may come back, and reaches no server.
#[test]
fn refused_on_arrival() {
    let mut harness = harness();
    quarantine(&mut harness, 7);
    assert_eq!(harness.request(NOW, 7), None);
    let Some(Completion::Refuse(refusal)) = harness.completion() else { panic!("not refused") };
    assert_eq!(refusal.kind, RefusalKind::Quarantined);
    assert!(refusal.kind.has_not_run());
    assert!(refusal.retry_after.is_some_and(|after| after > Duration::from_secs(500)));
    harness.out.clear();
    assert!(harness.request(NOW, 8).is_some(), "other requests are sent");
}

/// A request that is running while it is quarantined gets no retry, and is said to have run.
#[test]
fn no_retry() {
    let mut harness = harness();
    let attempt = harness.request(NOW, 7).expect("sent");
    quarantine(&mut harness, 7);
    let retry = harness.finish_attempt(NOW + MS, attempt, AttemptOutcome::ConnectionLost);
    assert_eq!(retry, None);
    assert_eq!(common::harness::refusal(harness.completion()), Some(RefusalKind::Failed));
}

/// An attempt whose connection is still being opened is withheld, and the request has not run.
#[test]
fn withheld_attempt() {
    let mut harness = harness();
    let attempt = harness.request(NOW, 7).expect("sent");
    quarantine(&mut harness, 7);
    assert!(!harness.engine.may_send(NOW, attempt));
    assert_eq!(harness.finish_attempt(NOW + MS, attempt, AttemptOutcome::Withheld), None);
    assert_eq!(common::harness::refusal(harness.completion()), Some(RefusalKind::Quarantined));
}

/// A late request gets a hedge, unless it is quarantined.
#[test]
fn no_hedge() {
    for quarantined in [false, true] {
        let mut harness = harness();
        harness.request(NOW, 7).expect("sent");
        if quarantined {
            quarantine(&mut harness, 7);
        }
        for ms in 1..200 {
            harness.step(NOW + ms * MS, Input::Tick);
        }
        let hedged = harness.out.iter().any(|o| matches!(o, Output::SendAttempt(_)));
        assert_ne!(hedged, quarantined);
    }
}

/// A lost connection alone makes no suspect: the server may have lost only the response.
#[test]
fn lost_response() {
    for has_ended in [false, true] {
        let mut harness = harness();
        let attempt = harness.request(NOW, 7).expect("sent");
        let input = Input::AttemptFinished {
            attempt,
            outcome: AttemptOutcome::ConnectionLost,
            notice: Default::default(),
        };
        harness.step(NOW + MS, input);
        let check = harness.out.iter().find_map(|o| match o {
            Output::CheckServer { server, incarnation, .. } => Some((server.clone(), *incarnation)),
            _ => None,
        });
        let (server, incarnation) = check.expect("the server is checked");
        harness.step(NOW + 2 * MS, Input::ServerChecked { server, incarnation, has_ended });
        let known = harness.engine.take_crash_reports(NOW + 400 * MS).len();
        assert_eq!(known, usize::from(has_ended));
    }
}

/// Searches with one content end the servers of some shards; each round is a search at every entry
/// in turn. Returns the starts of all servers in each round.
fn crash_rounds(world: &mut World, shards: usize, rounds: usize) -> Vec<u64> {
    for shard in 0..shards {
        world.set_fault(&format!("s{shard}"), Fault::Crash(77));
    }
    let starts = |w: &World| w.servers.iter().map(|s| s.incarnation).sum::<u64>();
    let mut ended = Vec::new();
    for round in 0..rounds {
        let before = starts(world);
        world.content = Some(77);
        world.request_at(0, round % world.engines.len());
        world.content = None;
        world.run(Duration::from_secs(2));
        for entry in 0..world.engines.len() {
            let reports = world.engines[entry].take_crash_reports(world.now);
            for other in 0..world.engines.len() {
                world.step(other, Input::CrashReports(reports.clone()));
            }
        }
        ended.push(starts(world) - before);
    }
    ended
}

/// A search ends the servers of all shards that run it.
#[test]
fn all_shards_crash() {
    let mut world = CONSORTIUM.start(31);
    let ended = crash_rounds(&mut world, 20, 6);
    assert!(ended[0] > 0);
    assert_eq!(ended[3..], [0, 0, 0], "{ended:?}");
}

/// A search ends the servers of one shard, and the other shards respond to it. It is still answered,
/// without that shard.
#[test]
fn one_shard_crashes() {
    let mut world = CONSORTIUM.start(32);
    let ended = crash_rounds(&mut world, 1, 6);
    assert!(ended[0] > 0);
    assert_eq!(ended[3..], [0, 0, 0], "{ended:?}");
    world.ended.clear();
    world.content = Some(77);
    world.request_at(0, 0);
    world.run(Duration::from_secs(2));
    let Completion::Merge { missing, .. } = world.ended[0].completion else { panic!("refused") };
    assert_eq!(missing, 1);
}

/// The response to a retry arrives before it is known that the first server has ended.
#[test]
fn response_before_check() {
    let mut harness = harness();
    let attempt = harness.request(NOW, 7).expect("sent");
    let outcome = AttemptOutcome::ConnectionLost;
    let notice = Default::default();
    harness.step(NOW + MS, Input::AttemptFinished { attempt, outcome, notice });
    let check = harness.out.iter().find_map(|o| match o {
        Output::CheckServer { server, incarnation, .. } => Some((server.clone(), *incarnation)),
        _ => None,
    });
    let retry = harness.take_attempt().expect("the request may run twice");
    harness.finish_attempt(NOW + 2 * MS, retry, AttemptOutcome::Answered);
    let (server, incarnation) = check.expect("the server is checked");
    let checked = Input::ServerChecked { server, incarnation, has_ended: true };
    harness.step(NOW + 50 * MS, checked);
    assert!(harness.engine.take_crash_reports(NOW + 400 * MS).is_empty());
}

/// Servers that have ended before are the last that are asked whether connections work: while a request
/// ends one server after the other, none of them would accept one.
#[test]
fn witnesses_run() {
    let mut harness = harness();
    for server in 2..6 {
        harness.step(NOW, Input::Servers(vec![usable(server, 1)]));
    }
    let mut ended = Vec::new();
    for round in 0..3 {
        let at = NOW + round * 100 * MS;
        let attempt = harness.request(at, 10 + u64::from(round)).expect("sent");
        let outcome = AttemptOutcome::ConnectionLost;
        harness.step(at, Input::AttemptFinished { attempt, outcome, notice: Default::default() });
        let check = harness.out.iter().find_map(|o| match o {
            Output::CheckServer { server, incarnation, witnesses, .. } => {
                Some((server.clone(), *incarnation, witnesses.clone()))
            }
            _ => None,
        });
        let (server, incarnation, witnesses) = check.expect("the server is checked");
        assert!(witnesses.iter().all(|(w, _)| !ended.contains(w)), "{witnesses:?}");
        ended.push(server.clone());
        harness.step(at + MS, Input::ServerChecked { server, incarnation, has_ended: true });
        harness.out.clear();
    }
}
