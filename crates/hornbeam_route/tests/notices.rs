//! Servers that state in a response that they are leaving, or that they want a pause.

mod common;

use std::time::Duration;

use common::harness::{Harness, MS, T, refusal, usable};
use common::{World, scatter, single};
use hornbeam_model::{AttemptId, Incarnation, Mono, Route};
use hornbeam_route::{
    AttemptOutcome, Completion, Decision, Input, LeavingServer, LoadNotice, MAX_PAUSE, Output,
    PauseRequest, RateNotice, RefusalKind, ServerChange, ServerNotice,
};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);
const LEAVING: ServerNotice = ServerNotice {
    leaving: true,
    pause: None,
    rate: RateNotice::Unstated,
    warm_up: None,
    load: LoadNotice::Unstated,
};

fn pause(time: Duration) -> ServerNotice {
    ServerNotice { pause: Some(PauseRequest::For(time)), ..ServerNotice::default() }
}

fn lookup() -> Route {
    single("lookup", "tablet", 250)
}

/// Servers that the attempts in `out` were sent to.
fn servers_sent_to(out: &[Output]) -> Vec<String> {
    let sent = out.iter().filter_map(|o| match o {
        Output::SendAttempt(attempt) => Some(attempt.server.to_string()),
        _ => None,
    });
    sent.collect()
}

/// Sends a request; returns its attempt and the server that it went to.
fn send(harness: &mut Harness, now: Mono, key: u64) -> Option<(AttemptId, String)> {
    harness.out.clear();
    harness.send_request(now, key);
    let server = servers_sent_to(&harness.out).pop()?;
    Some((harness.take_attempt()?, server))
}

/// Sends requests until one goes to `server`, and ends the others.
fn send_to(harness: &mut Harness, now: Mono, first_key: u64, server: &str) -> AttemptId {
    let mut others = Vec::new();
    for key in first_key..first_key + 10 {
        let (attempt, to) = send(harness, now, key).expect("a server has capacity");
        if to == server {
            for other in others {
                harness.finish_attempt(now, other, AttemptOutcome::Answered);
            }
            return attempt;
        }
        others.push(attempt);
    }
    panic!("no request went to {server}");
}

fn leaving(server: &str, incarnation: u64) -> LeavingServer {
    LeavingServer { server: server.parse().unwrap(), incarnation: Incarnation(incarnation) }
}

/// Checks that requests go to the other server only, and wait for it while it has no capacity.
fn assert_avoided(harness: &mut Harness, now: Mono, avoided: &str) {
    let (first, server) = send(harness, now, 10_000).expect("the other server has capacity");
    assert_ne!(server, avoided);
    assert_eq!(send(harness, now, 10_001), None, "waits for the server that has no capacity");
    harness.out.clear();
    let outcome = AttemptOutcome::Answered;
    let notice = ServerNotice::default();
    harness.step(now, Input::AttemptFinished { attempt: first, outcome, notice });
    assert_eq!(servers_sent_to(&harness.out), [server]);
    let second = harness.take_attempt().expect("sent");
    harness.finish_attempt(now, second, AttemptOutcome::Answered);
}

#[test]
fn leaving_gets_nothing() {
    let mut harness = Harness::new(lookup(), 80);
    let attempt = send_to(&mut harness, T, 1, "s0");
    harness.finish_with_notice(T + MS, attempt, AttemptOutcome::Answered, LEAVING);
    assert_avoided(&mut harness, T + 2 * MS, "s0");
    // A heartbeat and a restarted controller with an older view do not bring it back.
    for start in [1, 0] {
        harness.step(T + 3 * MS, Input::Servers(vec![usable(0, start)]));
        assert_avoided(&mut harness, T + 4 * MS, "s0");
    }
    harness.step(T + 5 * MS, Input::Servers(vec![usable(0, 2)]));
    send_to(&mut harness, T + 6 * MS, 1_000, "s0");
}

#[test]
fn leaving_closes_idle() {
    let mut harness = Harness::new(lookup(), 80);
    let attempt = send_to(&mut harness, T, 1, "s0");
    harness.out.clear();
    let finished =
        Input::AttemptFinished { attempt, outcome: AttemptOutcome::Answered, notice: LEAVING };
    harness.step(T + MS, finished);
    let closes = |o: &Output| matches!(o, Output::CloseIdle(s) if s.as_str() == "s0");
    assert!(harness.out.iter().any(closes));
    assert_eq!(harness.completion(), Some(&Completion::Forward(attempt)), "the response counts");
}

#[test]
fn leaving_gets_no_retry() {
    let mut harness = Harness::new(lookup(), 80);
    let first = send_to(&mut harness, T, 1, "s0");
    let (second, other) = send(&mut harness, T, 200).expect("the other server has capacity");
    assert_eq!(other, "s1");
    harness.finish_with_notice(T + MS, first, AttemptOutcome::Answered, LEAVING);
    // The other server fails; the only one left is leaving.
    harness.out.clear();
    let (outcome, notice) = (AttemptOutcome::NotRun, ServerNotice::default());
    harness.step(T + 2 * MS, Input::AttemptFinished { attempt: second, outcome, notice });
    assert_eq!(servers_sent_to(&harness.out), ["s1"], "the other server is asked again");
}

#[test]
fn leaving_gets_no_hedge() {
    let mut harness = Harness::new(lookup(), 80);
    let first = send_to(&mut harness, T, 1, "s0");
    send(&mut harness, T, 200).expect("the other server has capacity");
    harness.finish_with_notice(T + MS, first, AttemptOutcome::Answered, LEAVING);
    for ms in [100, 120, 200, 1_000] {
        harness.step(T + ms * MS, Input::Tick);
        assert_eq!(harness.take_attempt(), None, "after {ms} ms");
    }
}

#[test]
fn told_by_gatherer() {
    let mut harness = Harness::new(lookup(), 80);
    harness.step(T, Input::ServersLeaving(vec![leaving("s0", 1), leaving("unknown", 7)]));
    assert_avoided(&mut harness, T + MS, "s0");
    harness.step(T + 2 * MS, Input::Servers(vec![usable(0, 1)]));
    assert_avoided(&mut harness, T + 3 * MS, "s0");
}

#[test]
fn told_of_earlier_start() {
    let mut harness = Harness::new(lookup(), 80);
    harness.step(T, Input::Servers(vec![usable(0, 5)]));
    harness.step(T, Input::ServersLeaving(vec![leaving("s0", 4)]));
    send_to(&mut harness, T + MS, 1, "s0");
}

#[test]
fn group_reports_leaving() {
    let mut world = World::new(3, 4, vec![scatter("sweep", 36, 80, 0.8)], vec![4 * MS], 2);
    world.connect_peers();
    world.set_leaving("s3-0");
    for entry in [0, 1, 2, 3] {
        for _ in 0..20 {
            world.request_at(0, entry);
            world.run(100 * MS);
        }
    }
    let knows = |entry: usize| {
        let servers = world.engines[entry].usable_servers();
        servers == 71
    };
    assert!((0..4).all(knows), "the entries that merged a response of the server avoid it, too");
}

#[test]
fn paused_gets_nothing() {
    let mut harness = Harness::new(lookup(), 80);
    let attempt = send_to(&mut harness, T, 1, "s0");
    let retry = harness.finish_with_notice(T, attempt, AttemptOutcome::NotRun, pause(2 * SECOND));
    let retry = retry.expect("the other server takes it at once");
    harness.finish_attempt(T + MS, retry, AttemptOutcome::Answered);
    for ms in [1, 500, 1_000, 1_999] {
        assert_avoided(&mut harness, T + ms * MS, "s0");
    }
    send_to(&mut harness, T + 2_501 * MS, 1_000, "s0");
}

/// Pauses both servers of a harness, one for one second and one for two.
fn pause_both(harness: &mut Harness) {
    let first = send_to(harness, T, 1, "s0");
    let notice = pause(2 * SECOND);
    let second = harness.finish_with_notice(T, first, AttemptOutcome::NotRun, notice);
    let second = second.expect("the other server takes it");
    let third = harness.finish_with_notice(T, second, AttemptOutcome::NotRun, pause(SECOND));
    assert_eq!(third, None, "both servers are paused");
}

#[test]
fn all_paused_refused() {
    let mut harness = Harness::new(lookup(), 80);
    pause_both(&mut harness);
    assert_eq!(
        refusal(harness.completion()),
        Some(RefusalKind::NoServer),
        "the request is refused at once, as not run"
    );
    let spread = 1.25 * 1.2;
    let Some(Completion::Refuse(first)) = harness.completion() else { unreachable!() };
    let retry_after = first.retry_after.expect("the end of the pause is known");
    assert!(retry_after >= SECOND && retry_after <= SECOND.mul_f64(spread), "{retry_after:?}");
    // A request during the pauses is refused on arrival, until the first pause ends.
    harness.out.clear();
    harness.send_request(T + 400 * MS, 500);
    let Some(Completion::Refuse(refusal)) = harness.completion() else {
        panic!("not refused: {:?}", harness.out)
    };
    let retry_after = refusal.retry_after.expect("the end of the pause is known");
    assert!(retry_after >= 600 * MS && retry_after <= SECOND.mul_f64(spread), "{retry_after:?}");
    assert_eq!(servers_sent_to(&harness.out), Vec::<String>::new());
    let (_, server) = send(&mut harness, T + 1_251 * MS, 600).expect("the first pause is over");
    assert_eq!(server, "s1");
}

#[test]
fn queue_of_paused_service() {
    let mut harness = Harness::new(lookup(), 80);
    let (first, _) = send(&mut harness, T, 1).expect("sent");
    let (second, _) = send(&mut harness, T, 2).expect("sent to the other server");
    assert!(send(&mut harness, T, 3).is_none(), "queued for capacity");
    for attempt in [first, second] {
        harness.finish_with_notice(T + MS, attempt, AttemptOutcome::NotRun, pause(SECOND));
    }
    assert_eq!(harness.engine.in_flight(), 0, "the queued request does not wait for the pause");
}

#[test]
fn search_without_paused_shard() {
    let mut world = World::new(5, 2, vec![scatter("sweep", 20, 80, 0.9)], vec![4 * MS], 2);
    world.set_shed_pause("s7", SECOND);
    for _ in 0..10 {
        world.request(0);
        world.run(40 * MS);
    }
    world.ended.clear();
    let before = world.arrivals("s7");
    for _ in 0..10 {
        world.request(0);
        world.run(40 * MS);
    }
    assert_eq!(world.arrivals("s7"), before, "paused servers get nothing");
    for ended in &world.ended {
        assert_eq!(ended.responses, 19);
        assert!(ended.latency < 30 * MS, "the response waits for a paused shard: {ended:?}");
    }
}

#[test]
fn pause_ends_slowly() {
    let mut world = World::new(6, 8, vec![single("lookup", "tablet", 250)], vec![30 * MS], 1);
    world.set_shed_pause("tablet", SECOND);
    world.request_at(0, 0);
    world.run(5 * MS);
    world.set_fault("tablet", common::Fault::None);
    world.run(SECOND.mul_f64(1.25));
    for _ in 0..10 {
        world.request_at(0, 0);
    }
    let sent = world.arrivals("tablet");
    world.run(2 * MS);
    assert_eq!(world.arrivals("tablet") - sent, 1, "one attempt first, not the whole queue");
}

#[test]
fn withheld_while_connecting() {
    for notice in [LEAVING, pause(SECOND)] {
        let mut harness = Harness::new(lookup(), 80);
        harness.step(T, Input::EntryCount(1));
        let first = send_to(&mut harness, T, 1, "s0");
        let second = send_to(&mut harness, T, 200, "s0");
        assert!(harness.engine.may_send(T, second));
        harness.finish_with_notice(T + MS, first, AttemptOutcome::NotRun, notice);
        assert!(!harness.engine.may_send(T + 2 * MS, second), "{notice:?}");
        let retry = harness.finish_attempt(T + 3 * MS, second, AttemptOutcome::Withheld);
        assert!(retry.is_some(), "the other server gets it");
    }
}

#[parameterized(
    zero = { Some(PauseRequest::For(Duration::ZERO)), None },
    unreadable = { Some(PauseRequest::Unreadable), None },
    none = { None, None },
    absurd = { Some(PauseRequest::For(Duration::MAX)), Some(MAX_PAUSE) },
)]
fn pause_values(stated: Option<PauseRequest>, paused: Option<Duration>) {
    let mut harness = Harness::new(lookup(), 80);
    let attempt = send_to(&mut harness, T, 1, "s0");
    harness.out.clear();
    let notice = ServerNotice { pause: stated, ..ServerNotice::default() };
    let finished = Input::AttemptFinished { attempt, outcome: AttemptOutcome::NotRun, notice };
    harness.step(T + MS, finished);
    let pauses = harness.out.iter().filter_map(|o| match o {
        Output::Log(Decision::ServerPaused { for_ms, .. }) => Some(*for_ms as u128),
        _ => None,
    });
    let pauses: Vec<u128> = pauses.collect();
    let ignored = |o: &Output| matches!(o, Output::Log(Decision::PauseIgnored { .. }));
    assert_eq!(
        harness.out.iter().any(ignored),
        stated == Some(PauseRequest::Unreadable),
        "an unreadable value is logged"
    );
    match paused {
        None => assert_eq!(pauses, Vec::<u128>::new()),
        Some(time) => {
            let range = time.as_millis()..=time.as_millis() * 5 / 4;
            assert!(pauses.len() == 1 && range.contains(&pauses[0]), "{pauses:?}");
        }
    }
}

#[test]
fn departed_then_replaced() {
    let mut harness = Harness::new(lookup(), 80);
    let attempt = send_to(&mut harness, T, 1, "s0");
    harness.finish_with_notice(T + MS, attempt, AttemptOutcome::Answered, LEAVING);
    // Another server takes over the address.
    let successor = match usable(0, 1) {
        ServerChange::Usable { incarnation, service, address, zone, slots, warm_up, .. } => {
            let server = "s9".parse().unwrap();
            ServerChange::Usable { server, incarnation, service, address, zone, slots, warm_up }
        }
        other => other,
    };
    harness.step(T + 2 * MS, Input::Servers(vec![successor]));
    send_to(&mut harness, T + 3 * MS, 1_000, "s9");
}

#[test]
fn pause_outlasts_lapse() {
    let mut harness = Harness::new(lookup(), 80);
    let attempt = send_to(&mut harness, T, 1, "s0");
    let retry = harness.finish_with_notice(T, attempt, AttemptOutcome::NotRun, pause(2 * SECOND));
    harness.finish_attempt(T, retry.expect("sent elsewhere"), AttemptOutcome::Answered);
    let server = "s0".parse().unwrap();
    let lapsed = ServerChange::Unusable { server, reason: "lapsed" };
    harness.step(T + MS, Input::Servers(vec![lapsed.clone()]));
    harness.step(T + 2 * MS, Input::Servers(vec![usable(0, 1)]));
    assert_avoided(&mut harness, T + 500 * MS, "s0");
    // A later start knows nothing of the pause.
    harness.step(T + 600 * MS, Input::Servers(vec![lapsed, usable(0, 2)]));
    send_to(&mut harness, T + 700 * MS, 1_000, "s0");
}
