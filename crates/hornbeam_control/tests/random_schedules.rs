//! Random schedules of message loss, delay, duplication, partitions, crashes and restarts, from
//! fixed seeds.

use std::time::Duration;

use hornbeam_testkit::control::ControlCluster;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of schedules; short enough to run in every build.
const SCHEDULES: u64 = 20_000;
/// Number of threads that share the schedules.
const THREADS: u64 = 6;
/// Steps of one schedule. Each injects or repairs a fault and submits up to three changes.
const STEPS: u32 = 12;

/// Runs one schedule and returns the invariant violations.
fn run(seed: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let voters = if rng.random_bool(0.3) { 5 } else { 3 };
    let mut cluster = ControlCluster::new(seed, voters, 1);
    cluster.snapshot_interval_entries = rng.random_range(3..20);
    cluster.jitter = Duration::from_millis(rng.random_range(0..30));
    cluster.loss_percent = rng.random_range(0..15);
    cluster.duplicate_percent = rng.random_range(0..15);
    cluster.run_for(Duration::from_millis(1_500));
    for step in 0..STEPS {
        inject_fault(&mut cluster, &mut rng, voters);
        for n in 0..rng.random_range(0..4) {
            let to = rng.random_range(0..voters);
            let expect = cluster.committed_revision();
            // Some identifiers repeat, like those of changes that are sent again.
            let id = format!("c{}-{n}", rng.random_range(0..=step));
            cluster.submit(to, &id, expect);
        }
        cluster.run_for(Duration::from_millis(rng.random_range(20..900)));
        cluster.check_logs();
    }
    cluster.heal();
    cluster.loss_percent = 0;
    for i in 0..voters {
        if let Some(disk) = &cluster.nodes[i].disk {
            // Clears a scheduled crash that has not occurred yet.
            disk.restart();
        }
        if !cluster.is_up(i) {
            cluster.start(i);
        }
    }
    if !cluster.settle(Duration::from_secs(12)) {
        let state = cluster.describe();
        cluster
            .violations
            .push(format!("no agreement 12 s after all faults were repaired:\n{state}"));
    }
    cluster.check_logs();
    cluster.check_accepted();
    cluster.violations
}

/// Injects a random fault, or repairs earlier ones.
fn inject_fault(cluster: &mut ControlCluster, rng: &mut SmallRng, voters: usize) {
    let i = rng.random_range(0..voters);
    match rng.random_range(0..9) {
        0 | 1 if cluster.is_up(i) => cluster.crash(i),
        2 if cluster.is_up(i) => {
            // Crashes in one of the next writes.
            if let Some(disk) = &cluster.nodes[i].disk {
                disk.crash_after(rng.random_range(0..6));
            }
        }
        3 => cluster.isolate(i),
        4 => cluster.cut_one_way(i, rng.random_range(0..voters)),
        5 | 6 => cluster.heal(),
        _ => {
            for j in 0..voters {
                if !cluster.is_up(j) {
                    cluster.start(j);
                }
            }
        }
    }
}

#[test]
fn short_schedules() {
    let run_share = |thread: u64| {
        let mut found = Vec::new();
        for seed in (thread..SCHEDULES).step_by(THREADS as usize) {
            let violations = run(seed);
            if !violations.is_empty() {
                found.push(format!("seed {seed}: {}", violations.join("\n")));
            }
        }
        found
    };
    let threads: Vec<_> = (0..THREADS).map(|t| std::thread::spawn(move || run_share(t))).collect();
    let found: Vec<String> = threads.into_iter().flat_map(|t| t.join().unwrap()).collect();
    let shown: Vec<&str> = found.iter().take(5).map(String::as_str).collect();
    let shown = shown.join("\n");
    assert!(found.is_empty(), "{} of {SCHEDULES} schedules failed:\n{shown}", found.len());
}
