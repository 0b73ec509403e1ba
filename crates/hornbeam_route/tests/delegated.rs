//! Searches over many shards, gathered in groups by several entries.

mod common;

use std::time::Duration;

use common::{EntryFault, Fault, World, scatter};
use hornbeam_model::QueryId;
use hornbeam_route::{
    Decision, Engine, EngineParams, GroupFailure, QuotaBounds, RetryBudgetParams,
};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const ENTRIES: usize = 18;
const SHARDS: usize = 90;
/// Sweeps per second: the part of the users' grown deployment that 18 of 73 entries get.
const SWEEPS_PER_SECOND: f64 = 9.5;
/// Checks per second, for the same part of the deployment.
const CHECKS_PER_SECOND: f64 = 3.2;
/// CPU time per message of the users' entries, which have 0.12 cores.
const ENTRY_WORK: Duration = Duration::from_micros(380);
/// Score that each kind of search must reach without faults. In the users' scoring, a day fails at
/// a score of 0.21 for checks.
const MIN_SCORE: f64 = 0.8;

/// The grown deployment of the users who optimize for tail latency.
fn large_world(seed: u64) -> World {
    let sweep = scatter("sweep", SHARDS, 80, 0.95);
    let check = scatter("check", SHARDS, 40, 0.85);
    let work = vec![7_500 * MS / 1_000, 2_500 * MS / 1_000];
    let mut world = World::new(seed, ENTRIES, vec![sweep, check], work, 3);
    world.set_pauses(2_400 * MS, 100 * MS);
    world.entry_work = ENTRY_WORK;
    world
}

/// Returns the scores of sweeps and checks after the entries have measured the usual latencies.
fn run(world: &mut World, time: Duration) -> (f64, f64) {
    world.schedule_load(0, SWEEPS_PER_SECOND, 3 * SECOND);
    world.schedule_load(1, CHECKS_PER_SECOND, 3 * SECOND);
    world.run(4 * SECOND);
    world.ended.clear();
    world.decisions.clear();
    world.schedule_load(0, SWEEPS_PER_SECOND, time);
    world.schedule_load(1, CHECKS_PER_SECOND, time);
    world.run(time + 2 * SECOND);
    (world.score(0), world.score(1))
}

fn failures(world: &World, expected: GroupFailure) -> usize {
    let matching =
        |d: &Decision| matches!(d, Decision::GroupFailed { reason, .. } if *reason == expected);
    world.decisions.iter().filter(|(_, d)| matching(d)).count()
}

#[test]
fn many_shards() {
    let mut world = large_world(1);
    world.connect_peers();
    let (sweep, check) = run(&mut world, 10 * SECOND);
    assert!(sweep > MIN_SCORE && check > MIN_SCORE, "{sweep} {check}");
    assert!(world.extra_ratio() < 0.2, "{}", world.extra_ratio());
    let suspected = |d: &Decision| matches!(d, Decision::PeerSuspected { .. });
    let suspected = world.decisions.iter().filter(|(_, d)| suspected(d)).count();
    // Entries that did not start in time are suspected correctly; others only reported late.
    let late = suspected - failures(&world, GroupFailure::NotBegun);
    assert!(late <= 1, "{late} entries are suspected for a late report");
}

/// Runs sweeps for `time` while the first entry has a fault.
fn with_fault(seed: u64, fault: EntryFault, time: Duration) -> World {
    let mut world = large_world(seed);
    world.connect_peers();
    run(&mut world, SECOND);
    world.entry_faults[0] = fault;
    world.ended.clear();
    world.decisions.clear();
    world.schedule_load(0, SWEEPS_PER_SECOND, time);
    world.run(time + 2 * SECOND);
    world
}

#[test]
fn frozen_entry() {
    let world = with_fault(2, EntryFault::Frozen, 5 * SECOND);
    assert!(failures(&world, GroupFailure::NotBegun) > 0);
    // Each other entry of its zone detects the fault once and sends the group itself in time.
    let score = world.score(0);
    assert!(score > 0.9 * MIN_SCORE, "{score}");
    assert!(failures(&world, GroupFailure::NotBegun) < ENTRIES, "it gets groups again and again");
}

#[test]
fn lost_reports() {
    let world = with_fault(8, EntryFault::ReportsLost, 10 * SECOND);
    // Each of the eight other entries of its zone loses one or two searches before it suspects it.
    let lost = world.ended.iter().filter(|e| e.latency > 80 * MS || e.responses < 86).count();
    assert!(lost <= ENTRIES / 2 + 4, "{lost} of {} searches were lost", world.ended.len());
}

#[test]
fn leaving_entry() {
    let mut world = large_world(3);
    world.connect_peers();
    run(&mut world, SECOND);
    world.entry_faults[1] = EntryFault::Leaving;
    let (sweep, check) = run(&mut world, 5 * SECOND);
    assert!(sweep > MIN_SCORE && check > MIN_SCORE, "{sweep} {check}");
}

#[test]
fn all_others_leaving() {
    let mut world = large_world(4);
    world.connect_peers();
    world.entry_faults = vec![EntryFault::Leaving; ENTRIES];
    world.entry_work = Duration::ZERO;
    let (sweep, check) = run(&mut world, 5 * SECOND);
    assert!(sweep > MIN_SCORE && check > MIN_SCORE, "{sweep} {check}");
}

#[test]
fn unresponsive_shards() {
    let mut world = large_world(5);
    world.connect_peers();
    for shard in [3, 40, 41] {
        world.set_fault(&format!("s{shard}"), Fault::Unresponsive);
    }
    let (sweep, check) = run(&mut world, 10 * SECOND);
    // 87 of 90 shards score 0.93.
    assert!(sweep > 0.93 * MIN_SCORE && check > 0.93 * MIN_SCORE, "{sweep} {check}");
}

/// Sends one search to the first entry, which delegates all its groups; returns its key and the
/// number of groups.
fn delegated_search(world: &mut World) -> (QueryId, usize) {
    world.connect_peers();
    world.run(SECOND);
    let key = world.request_at(0, 0);
    let delegated = world.decisions.iter().find_map(|(_, d)| match d {
        Decision::Delegated { groups, .. } => Some(*groups),
        _ => None,
    });
    (key, delegated.expect("the search has enough shards to be delegated"))
}

#[test]
fn caller_disconnects() {
    let mut world = large_world(6);
    let (key, groups) = delegated_search(&mut world);
    assert_eq!(groups, SHARDS.div_ceil(9), "group size is the square root of the shards");
    world.run(2 * MS);
    world.disconnect_caller(key, 0);
    world.run(500 * MS);
    let running = world.engines.iter().map(|e| e.in_flight()).sum::<usize>();
    assert_eq!(running, 0, "other entries still gather");
    assert_eq!(world.work_in_progress(), 0, "servers still process attempts after 500 ms");
}

#[test]
fn lost_group() {
    let mut world = large_world(7);
    delegated_search(&mut world);
    world.run(5 * MS);
    world.drop_group_connections(0);
    world.run(2 * SECOND);
    assert!(failures(&world, GroupFailure::Lost) > 0);
    assert_eq!(world.ended.len(), 1);
    assert!(world.max_servers_per_shard() <= 2, "more servers than the route allows");
}

#[test]
fn late_entries() {
    // New shards: no connections are open, no latencies are measured, and every entry is
    // overloaded. Reclaiming groups must not send a shard to more servers than the route allows.
    for seed in 10..20 {
        let mut world = large_world(seed);
        world.connect_peers();
        world.entry_work = 4 * ENTRY_WORK;
        for shard in 0..SHARDS {
            world.set_server_fault(&format!("s{shard}-{}", shard % 3), Fault::Slow(10.0));
        }
        world.schedule_load(0, 4.0 * SWEEPS_PER_SECOND, 2 * SECOND);
        world.run(4 * SECOND);
        let servers = world.max_servers_per_shard();
        assert!(servers <= 2, "seed {seed}: {servers} servers of one shard accepted a request");
    }
}

#[test]
fn budget_of_delegated_search() {
    let mut world = large_world(11);
    // Without an allowance, only the requests that this entry sends itself raise its retry budget.
    world.engines[0] = Engine::new(EngineParams {
        name: "e0".parse().unwrap(),
        zone: "olomouc".parse().unwrap(),
        budget: RetryBudgetParams { allowance: 0, ..common::budget() },
        delegate_above: 32,
        max_in_flight: 1_000,
        quota: QuotaBounds::default(),
        linger: 300 * MS,
        seed: 1,
    });
    world.sync_entry(0);
    world.connect_peers();
    for _ in 0..50 {
        world.request_at(0, 0);
        world.run(200 * MS);
    }
    let before = world.engines[0].counters().attempts;
    world.request_at(0, 0);
    world.run(3 * MS);
    world.drop_group_connections(0);
    let after = world.engines[0].counters().attempts;
    assert_eq!(before, after, "delegated searches raise the budget of the entries that send them");
}
