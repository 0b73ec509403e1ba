//! Restarts after many changes: of one instance, of all instances, and inside a network partition.

use std::time::Duration;

use hornbeam_model::Revision;
use hornbeam_testkit::control::ControlCluster;

const SECOND: Duration = Duration::from_secs(1);

fn cluster_after_changes(seed: u64, count: u64) -> ControlCluster {
    let mut cluster = ControlCluster::new(seed, 3, 2);
    cluster.snapshot_interval_entries = 100;
    assert!(cluster.settle(5 * SECOND));
    for n in 0..count {
        let leader = cluster.leader().unwrap();
        cluster.submit(leader, &format!("c{n}"), Revision(n));
        cluster.run_for(Duration::from_millis(4));
    }
    assert!(cluster.settle(5 * SECOND));
    assert_eq!(cluster.committed_revision(), Revision(count));
    cluster
}

#[test]
fn thousand_changes() {
    let mut cluster = cluster_after_changes(1, 1_000);
    for i in 0..5 {
        cluster.crash(i);
    }
    for i in 0..3 {
        cluster.start(i);
        // An instance that serves meanwhile must not serve an older revision.
        cluster.run_for(Duration::from_millis(50));
    }
    for i in 3..5 {
        cluster.start(i);
    }
    assert!(cluster.settle(8 * SECOND));
    for i in 0..5 {
        assert_eq!(cluster.revision(i), Some(Revision(1_000)), "instance {i}");
    }
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn waits_for_confirmation() {
    // An instance does not serve the outdated configuration from its disk.
    let mut cluster = cluster_after_changes(2, 20);
    let i = (0..3).find(|i| Some(*i) != cluster.leader()).unwrap();
    cluster.crash(i);
    for n in 20..30 {
        let leader = cluster.leader().unwrap();
        cluster.submit(leader, &format!("c{n}"), Revision(n));
        cluster.run_for(Duration::from_millis(10));
    }
    cluster.start(i);
    cluster.run_for(Duration::from_millis(1));
    assert_eq!(
        cluster.revision(i),
        None,
        "nothing is served before a quorum has confirmed the configuration"
    );
    assert!(cluster.settle(5 * SECOND));
    assert_eq!(cluster.revision(i), Some(Revision(30)));
    let first = cluster.nodes[i].in_force.keys().next().copied();
    assert_eq!(first, Some(Revision(30)), "no older revision was served");
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn restart_in_partition() {
    // A zone is isolated and its voter restarts. The voter serves the configuration from its disk
    // without a confirmation, and sends it to the other instance of the zone, which has no disk.
    let mut cluster = cluster_after_changes(3, 10);
    cluster.run_for(SECOND);
    cluster.split(&[0, 3], &[1, 2, 4]);
    cluster.run_for(10 * SECOND);
    cluster.crash(0);
    cluster.crash(3);
    cluster.start(0);
    cluster.start(3);
    cluster.run_for(2 * SECOND);
    assert_eq!(cluster.revision(0), None, "the voter first waits for a quorum");
    cluster.run_for(8 * SECOND);
    assert_eq!(cluster.revision(0), Some(Revision(10)));
    assert_eq!(cluster.revision(3), Some(Revision(10)));
    let follower = cluster.nodes[0].follower.as_ref().unwrap();
    let age = follower.confirmed_at().map(|at| cluster.now.since(at));
    assert!(
        age.is_none_or(|a| a > 5 * SECOND),
        "an isolated instance does not claim a recent confirmation: {age:?}"
    );
    let leader = cluster.leader().unwrap();
    cluster.submit(leader, "c10", Revision(10));
    cluster.run_for(SECOND);
    cluster.heal();
    assert!(cluster.settle(5 * SECOND));
    assert_eq!(cluster.revision(3), Some(Revision(11)));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn every_write_boundary() {
    // Crashes a follower in each of its first 40 writes, restarts it and commits more changes.
    for writes in 0..40 {
        let mut cluster = ControlCluster::new(writes, 3, 0);
        cluster.snapshot_interval_entries = 8;
        assert!(cluster.settle(5 * SECOND));
        let i = (0..3).find(|i| Some(*i) != cluster.leader()).unwrap();
        cluster.nodes[i].disk.as_ref().unwrap().crash_after(writes);
        for _ in 0..30 {
            let expect = cluster.committed_revision();
            if let Some(leader) = cluster.leader() {
                cluster.submit(leader, &format!("c{}", expect.0), expect);
            }
            cluster.run_for(Duration::from_millis(20));
        }
        cluster.nodes[i].disk.as_ref().unwrap().restart();
        if !cluster.is_up(i) {
            cluster.start(i);
        }
        assert!(cluster.settle(5 * SECOND), "after {writes} writes:\n{}", cluster.describe());
        cluster.check_logs();
        cluster.check_accepted();
        assert_eq!(cluster.violations, Vec::<String>::new(), "after {writes} writes");
    }
}
