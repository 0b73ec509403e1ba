//! Guards against changes that stay refused after the disks of the voters were full one after the
//! other, though all of them have room again and all processes run.

use std::time::Duration;

use hornbeam_control::{ProposalOutcome, RepairPolicy};
use hornbeam_model::TableVersion;
use hornbeam_testkit::control::ControlCluster;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const SECOND: Duration = Duration::from_secs(1);
/// Interval at which a controller opens a log again after its disk has failed.
const REOPEN_INTERVAL: Duration = SECOND;
/// Time within which changes are decided again once all disks have room.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

fn start_cluster(seed: u64, wanted: usize, voters: usize) -> ControlCluster {
    let mut cluster = ControlCluster::new(seed, 3, voters - 3);
    cluster.repair =
        Some(RepairPolicy { target_voters: wanted, voter_timeout: Duration::from_millis(2_500) });
    cluster.snapshot_interval_entries = 4;
    for i in 0..voters {
        cluster.crash(i);
        if i >= 3 {
            cluster.make_voter(i);
        }
        cluster.wipe(i);
        cluster.start(i);
    }
    cluster.run_for(4 * SECOND);
    cluster
}

/// Advances time as controllers do it: each one whose disk has failed opens its log again.
fn run_reopening(cluster: &mut ControlCluster, time: Duration, next_version: &mut u64) {
    let end = cluster.now + time;
    while cluster.now < end {
        let step = REOPEN_INTERVAL.min(end.since(cluster.now));
        // Operators send changes all the while, also to controllers that cannot decide them.
        if let Some(leader) = cluster.leader() {
            *next_version += 1;
            cluster.submit_table(leader, *next_version);
        }
        cluster.run_for(step);
        for i in 0..cluster.nodes.len() {
            if cluster.raft(i).is_none() {
                cluster.crash(i);
                cluster.start(i);
            }
        }
    }
}

fn assert_decides(cluster: &mut ControlCluster, seed: u64, next_version: &mut u64) {
    let deadline = cluster.now + RECOVERY_TIME;
    let mut decided = false;
    while !decided && cluster.now < deadline {
        *next_version += 1;
        let Some(leader) = cluster.leader() else {
            run_reopening(cluster, SECOND / 4, next_version);
            continue;
        };
        let number = cluster.submit_table(leader, *next_version);
        let in_force = Some(ProposalOutcome::TableInForce(TableVersion(*next_version)));
        decided = cluster.run_until(SECOND, |c| c.decision(number).cloned() == in_force);
        run_reopening(cluster, SECOND / 100, next_version);
    }
    let roles: Vec<_> = (0..cluster.nodes.len())
        .map(|i| (cluster.raft(i).map(|r| r.role()), cluster.nodes[i].open_error.clone()))
        .collect();
    assert!(decided, "seed {seed}: no change is decided; {roles:?}");
}

/// Fills the disks one after the other, never two at once.
fn fill_in_turn(seed: u64, wanted: usize, voters: usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut cluster = start_cluster(seed, wanted, voters);
    let mut next_version = 1;
    let mut order: Vec<usize> = (0..voters).collect();
    for _ in 0..rng.random_range(1..4) {
        order.shuffle(&mut rng);
        for i in &order {
            let disk = cluster.nodes[*i].disk.clone().unwrap();
            disk.set_full(true);
            let full = Duration::from_millis(rng.random_range(200..6_000));
            run_reopening(&mut cluster, full, &mut next_version);
            disk.set_full(false);
            let pause = Duration::from_millis(rng.random_range(0..2_500));
            run_reopening(&mut cluster, pause, &mut next_version);
        }
    }
    assert_decides(&mut cluster, seed, &mut next_version);
    cluster.check_accepted();
    assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
}

#[test]
fn one_of_four() {
    for seed in 0..100 {
        fill_in_turn(seed, 3, 4);
    }
}

#[test]
fn one_of_nine() {
    for seed in 0..30 {
        fill_in_turn(seed, 5, 9);
    }
}
