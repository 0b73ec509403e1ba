//! Searches over many shards, collected in groups by several entries.

mod common;

use std::time::Duration;

use common::{EntryFault, Fault, World, scatter};
use hornbeam_model::QueryId;
use hornbeam_route::{Decision, Engine, EngineParams, GroupFailure, RetryBudgetParams};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const ENTRIES: usize = 18;
const SHARDS: usize = 90;
/// Sweeps and checks a second: the part of the users' large_world deployment that 18 of 73 entries get.
const SWEEPS: f64 = 9.5;
const CHECKS: f64 = 3.2;
/// What the users' entries of 0.12 cores take for a message, as measured on their bench.
const ENTRY_WORK: Duration = Duration::from_micros(380);
/// Worth that a kind of search must earn on a calm day; the users fail a day at 0.21 for the check.
const CALM: f64 = 0.8;

/// The large_world deployment of the users who put tail latency first.
fn large_world(seed: u64) -> World {
    let sweep = scatter("sweep", SHARDS, 80, 0.95);
    let check = scatter("check", SHARDS, 40, 0.85);
    let work = vec![7_500 * MS / 1_000, 2_500 * MS / 1_000];
    let mut world = World::new(seed, ENTRIES, vec![sweep, check], work, 3);
    world.pause_all(2_400 * MS, 100 * MS);
    world.entry_work = ENTRY_WORK;
    world
}

/// Worth of sweeps and checks after the entries have learnt the usual latencies.
fn run(world: &mut World, time: Duration) -> (f64, f64) {
    world.load(0, SWEEPS, 3 * SECOND);
    world.load(1, CHECKS, 3 * SECOND);
    world.run(4 * SECOND);
    world.ended.clear();
    world.decisions.clear();
    world.load(0, SWEEPS, time);
    world.load(1, CHECKS, time);
    world.run(time + 2 * SECOND);
    (world.worth(0), world.worth(1))
}

fn failures(world: &World, why: GroupFailure) -> usize {
    let of_kind =
        |d: &Decision| matches!(d, Decision::GroupFailed { reason, .. } if *reason == why);
    world.decisions.iter().filter(|(_, d)| of_kind(d)).count()
}

#[test]
fn many_shards() {
    let mut world = large_world(1);
    world.introduce();
    let (sweep, check) = run(&mut world, 10 * SECOND);
    assert!(sweep > CALM && check > CALM, "{sweep} {check}");
    assert!(world.extra() < 0.2, "{}", world.extra());
    let suspected = |d: &Decision| matches!(d, Decision::PeerSuspected { .. });
    let suspected = world.decisions.iter().filter(|(_, d)| suspected(d)).count();
    // Those that had not begun are suspected rightly; others were only late to report.
    let silent = suspected - failures(&world, GroupFailure::NotBegun);
    assert!(silent <= 1, "{silent} entries are suspected for a late report");
}

/// Sweeps for a time in which the first entry has a fault.
fn with_fault(seed: u64, fault: EntryFault, time: Duration) -> World {
    let mut world = large_world(seed);
    world.introduce();
    run(&mut world, SECOND);
    world.entry_faults[0] = fault;
    world.ended.clear();
    world.decisions.clear();
    world.load(0, SWEEPS, time);
    world.run(time + 2 * SECOND);
    world
}

#[test]
fn frozen_entry() {
    let world = with_fault(2, EntryFault::Frozen, 5 * SECOND);
    assert!(failures(&world, GroupFailure::NotBegun) > 0);
    // Each other entry of its zone finds out once, and sends the group itself in time.
    let served = world.worth(0);
    assert!(served > 0.9 * CALM, "{served}");
    assert!(failures(&world, GroupFailure::NotBegun) < ENTRIES, "it is asked again and again");
}

#[test]
fn unheard_entry() {
    let world = with_fault(8, EntryFault::Unheard, 10 * SECOND);
    // Each of the eight others of its zone loses a search or two before it suspects the entry.
    let lost = world.ended.iter().filter(|e| e.took > 80 * MS || e.parts < 86).count();
    assert!(lost <= ENTRIES / 2 + 4, "{lost} of {} searches were lost", world.ended.len());
}

#[test]
fn leaving_entry() {
    let mut world = large_world(3);
    world.introduce();
    run(&mut world, SECOND);
    world.entry_faults[1] = EntryFault::Leaving;
    let (sweep, check) = run(&mut world, 5 * SECOND);
    assert!(sweep > CALM && check > CALM, "{sweep} {check}");
}

#[test]
fn all_others_leaving() {
    let mut world = large_world(4);
    world.introduce();
    world.entry_faults = vec![EntryFault::Leaving; ENTRIES];
    world.entry_work = Duration::ZERO;
    let (sweep, check) = run(&mut world, 5 * SECOND);
    assert!(sweep > CALM && check > CALM, "{sweep} {check}");
}

#[test]
fn dark_shards() {
    let mut world = large_world(5);
    world.introduce();
    for shard in [3, 40, 41] {
        world.fault(&format!("s{shard}"), Fault::Dark);
    }
    let (sweep, check) = run(&mut world, 10 * SECOND);
    // 87 of 90 parts are worth 0.93.
    assert!(sweep > 0.93 * CALM && check > 0.93 * CALM, "{sweep} {check}");
}

/// One entry with a search whose groups are all with another one.
fn asked(world: &mut World) -> (QueryId, usize) {
    world.introduce();
    world.run(SECOND);
    let key = world.request_at(0, 0);
    let delegated = world.decisions.iter().find_map(|(_, d)| match d {
        Decision::Delegated { groups, .. } => Some(*groups),
        _ => None,
    });
    (key, delegated.expect("it has many shards"))
}

#[test]
fn caller_that_left() {
    let mut world = large_world(6);
    let (key, groups) = asked(&mut world);
    assert_eq!(groups, SHARDS.div_ceil(9), "groups of the square root of the shards");
    world.run(2 * MS);
    world.leave(key, 0);
    world.run(500 * MS);
    let left = world.engines.iter().map(|e| e.in_flight()).sum::<usize>();
    assert_eq!(left, 0, "other entries still collect");
    assert_eq!(world.at_work(), 0, "servers still work half a second later");
}

#[test]
fn lost_group() {
    let mut world = large_world(7);
    asked(&mut world);
    world.run(5 * MS);
    world.lose_groups(0);
    world.run(2 * SECOND);
    assert!(failures(&world, GroupFailure::Lost) > 0);
    assert_eq!(world.ended.len(), 1);
    assert!(world.most_servers_of_a_shard() <= 2, "more servers than the route allows");
}

#[test]
fn late_entries() {
    // New shards: no connections and no latencies are known, and every entry is late.
    for seed in 10..20 {
        let mut world = large_world(seed);
        world.introduce();
        world.entry_work = 4 * ENTRY_WORK;
        for shard in 0..SHARDS {
            world.fault_one(&format!("s{shard}-{}", shard % 3), Fault::Slow(10.0));
        }
        world.load(0, 4.0 * SWEEPS, 2 * SECOND);
        world.run(4 * SECOND);
        let most = world.most_servers_of_a_shard();
        assert!(most <= 2, "seed {seed}: {most} servers of one shard got a request");
    }
}

#[test]
fn search_counts_where_it_is_sent() {
    let mut world = large_world(11);
    // Nothing but a share of the requests sent from here pays for extra ones.
    world.engines[0] = Engine::new(EngineParams {
        zone: "olomouc".parse().unwrap(),
        budget: RetryBudgetParams { allowance: 0, ..common::budget() },
        delegate_above: 32,
        max_in_flight: 1_000,
        linger: 300 * MS,
        seed: 1,
    });
    world.tell_all(0);
    world.introduce();
    for _ in 0..50 {
        world.request_at(0, 0);
        world.run(200 * MS);
    }
    let before = world.engines[0].counters().attempts;
    world.request_at(0, 0);
    world.run(3 * MS);
    world.lose_groups(0);
    let after = world.engines[0].counters().attempts;
    assert_eq!(before, after, "the entries that sent the fifty searches have used their share");
}
