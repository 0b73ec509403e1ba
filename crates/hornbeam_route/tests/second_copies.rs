//! Second copies of the shards of a search under which servers end.

mod common;

use std::time::Duration;

use common::harness::{Harness, MS, T, usable};
use common::{CONSORTIUM, Fault, World, scatter};
use hornbeam_model::{AttemptId, Incarnation, ServerId};
use hornbeam_route::{AttemptOutcome, Completion, Decision, Input, Output, ServerChange};

const SECOND: Duration = Duration::from_secs(1);
const SHARDS: usize = 20;
/// Second copies that may end their servers, per entry that gathers shards.
const ENDED_COPIES: u64 = 2;
const LETHAL: u64 = 77;
/// Seeds for which the retry budget allows the retries of the one search; it denies them to some requests
/// when many are needed at once, with or without a hold.
const SEEDS: [u64; 6] = [60, 61, 63, 64, 66, 67];

fn starts(world: &World) -> u64 {
    world.servers.iter().map(|s| s.incarnation).sum()
}

/// Sends one search with the lethal content at the first entry; returns the ends of servers.
fn search(world: &mut World) -> u64 {
    let before = starts(world);
    world.ended.clear();
    world.content = Some(LETHAL);
    world.request_at(0, 0);
    world.content = None;
    world.run(3 * SECOND);
    starts(world) - before
}

/// Guards against retries and hedges that end the second server of every shard.
#[test]
fn lethal_search() {
    for seed in 50..58 {
        let mut world = CONSORTIUM.start(seed);
        for shard in 0..SHARDS {
            world.set_fault(&format!("s{shard}"), Fault::Crash(LETHAL));
        }
        let ended = search(&mut world);
        let most = SHARDS as u64 + ENDED_COPIES;
        assert!((1..=most).contains(&ended), "seed {seed}: {ended} servers ended");
        assert!(matches!(world.ended[0].completion, Completion::Refuse(_)), "seed {seed}");
        let took = world.ended[0].latency;
        assert!(took < SECOND, "seed {seed}: the refusal took {took:?}");
    }
}

/// Guards against an innocent search that is not served because all servers of its zone end under it.
#[test]
fn lost_zone() {
    for seed in SEEDS {
        let mut world = CONSORTIUM.start(seed);
        for shard in 0..SHARDS {
            world.set_server_fault(&format!("s{shard}-0"), Fault::Crash(LETHAL));
        }
        search(&mut world);
        let ended = &world.ended[0];
        assert!(matches!(ended.completion, Completion::Merge { .. }), "seed {seed}: {ended:?}");
        assert!(ended.responses >= 18, "seed {seed}: {} responses", ended.responses);
    }
}

/// Guards against a hold for searches that meet the end of one server, or of none.
#[test]
fn one_server() {
    for seed in 70..74 {
        let mut world = CONSORTIUM.start(seed);
        world.set_fault("s3", Fault::Crash(LETHAL));
        search(&mut world);
        let held = |d: &Decision| matches!(d, Decision::CopiesHeld { .. });
        let held = world.decisions.iter().filter(|(_, d)| held(d)).count();
        assert!(held <= 1, "seed {seed}: held {held} times");
        let ended = &world.ended[0];
        assert!(ended.responses >= SHARDS - 1, "seed {seed}: {} responses", ended.responses);
    }
}

/// Takes the attempts and checked servers out of the outputs.
fn take_outputs(harness: &mut Harness) -> (Vec<AttemptId>, Vec<ServerId>) {
    let (mut attempts, mut checks) = (Vec::new(), Vec::new());
    for output in std::mem::take(&mut harness.out) {
        match output {
            Output::SendAttempt(attempt) => attempts.push(attempt.id),
            Output::CheckServer { server, .. } => checks.push(server),
            _ => {}
        }
    }
    (attempts, checks)
}

/// Guards against copies that wait although the connections were lost for another reason, and against
/// copies that are sent before that is known.
#[test]
fn connections_reset() {
    let mut harness = Harness::new(scatter("lookup", 4, 250, 0.9), 1_000);
    for (shard, copy) in (0..4).flat_map(|shard| [(shard, 0), (shard, 1)]) {
        let mut change = usable(10 * shard + copy, 1);
        if let ServerChange::Usable { service, .. } = &mut change {
            *service = format!("s{shard}").parse().unwrap();
        }
        harness.step(T, Input::Servers(vec![change]));
    }
    harness.send_request(T, 7);
    let (attempts, _) = take_outputs(&mut harness);
    assert_eq!(attempts.len(), 4);
    for attempt in attempts {
        let outcome = AttemptOutcome::ConnectionLost;
        let notice = Default::default();
        harness.step(T + MS, Input::AttemptFinished { attempt, outcome, notice });
    }
    let (copies, checks) = take_outputs(&mut harness);
    assert_eq!((copies.len(), checks.len()), (1, 4), "the first end is followed by a retry");
    for server in checks {
        let incarnation = Incarnation(1);
        let checked = Input::ServerChecked { server, incarnation, has_ended: false };
        harness.step(T + 50 * MS, checked);
    }
    assert_eq!(take_outputs(&mut harness).0.len(), 3, "the others are retried");
}
