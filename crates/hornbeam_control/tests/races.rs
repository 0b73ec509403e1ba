//! Concurrent changes by several operators, and changes that are sent again.

use std::time::Duration;

use hornbeam_control::ProposalOutcome;
use hornbeam_model::{Change, Revision};
use hornbeam_protocol::control::ChangeOutcome;
use hornbeam_testkit::control::ControlCluster;
use hornbeam_testkit::samples;

const SECOND: Duration = Duration::from_secs(1);

fn started(seed: u64) -> ControlCluster {
    let mut cluster = ControlCluster::new(seed, 3, 2);
    assert!(cluster.settle(5 * SECOND));
    cluster
}

#[test]
fn one_wins() {
    let mut cluster = started(1);
    let leader = cluster.leader().unwrap();
    let a = cluster.submit(leader, "a", Revision(0));
    let b = cluster.submit(leader, "b", Revision(0));
    cluster.run_for(SECOND);
    let won = ChangeOutcome::Accepted { revision: Revision(1) };
    let lost = ChangeOutcome::Conflict { current: Revision(1) };
    assert_eq!(cluster.decision(a), Some(&ProposalOutcome::Change(won)));
    assert_eq!(cluster.decision(b), Some(&ProposalOutcome::Change(lost)));
}

#[test]
fn equal_revisions() {
    for seed in 0..20 {
        let mut cluster = started(seed);
        let old = cluster.leader().unwrap();
        let others: Vec<usize> = (0..5).filter(|i| *i != old).collect();
        cluster.split(&[old], &others);
        let near = [0, 1, 2].map(|n| cluster.submit(old, &format!("near-{n}"), Revision(n)));
        cluster.run_for(3 * SECOND);
        let new = cluster.leader().unwrap();
        let mut far = Vec::new();
        for n in 0..3 {
            far.push(cluster.submit(new, &format!("far-{n}"), Revision(n)));
            cluster.run_for(SECOND);
        }
        cluster.heal();
        assert!(cluster.settle(5 * SECOND));
        for (n, change) in far.iter().enumerate() {
            let expected = ChangeOutcome::Accepted { revision: Revision(n as u64 + 1) };
            assert_eq!(cluster.decision(*change), Some(&ProposalOutcome::Change(expected)));
        }
        for change in near {
            let decision = cluster.decision(change);
            let accepted =
                matches!(decision, Some(ProposalOutcome::Change(ChangeOutcome::Accepted { .. })));
            assert!(
                !accepted,
                "seed {seed}: the isolated minority accepted a change: {decision:?}"
            );
        }
        cluster.check_accepted();
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

#[test]
fn resend_elsewhere() {
    for seed in 0..20 {
        let mut cluster = started(seed);
        let old = cluster.leader().unwrap();
        let first = cluster.submit(old, "once", Revision(0));
        cluster.run_for(Duration::from_millis(50));
        assert!(cluster.decision(first).is_some());
        cluster.crash(old);
        cluster.run_for(3 * SECOND);
        let new = cluster.leader().unwrap();
        let later = cluster.submit(new, "later", Revision(1));
        cluster.run_for(SECOND);
        assert!(cluster.decision(later).is_some());
        let resent = cluster.submit(new, "once", Revision(0));
        cluster.run_for(SECOND);
        assert_eq!(cluster.decision(first), cluster.decision(resent), "seed {seed}");
        assert_eq!(cluster.committed_revision(), Revision(2), "the change is applied once");
    }
}

#[test]
fn resend_after_snapshot() {
    let mut cluster = started(3);
    cluster.snapshot_interval_entries = 16;
    for i in 0..3 {
        cluster.crash(i);
        cluster.start(i);
    }
    assert!(cluster.settle(5 * SECOND));
    let leader = cluster.leader().unwrap();
    for n in 0..100 {
        cluster.submit(leader, &format!("c{n}"), Revision(n));
        cluster.run_for(Duration::from_millis(5));
    }
    for i in 0..3 {
        cluster.crash(i);
    }
    for i in 0..3 {
        cluster.start(i);
    }
    assert!(cluster.settle(8 * SECOND));
    let leader = cluster.leader().unwrap();
    assert!(cluster.raft(leader).unwrap().entries().len() < 60, "snapshots have compacted the log");
    let resent = cluster.submit(leader, "c7", Revision(7));
    cluster.run_for(SECOND);
    let first = ChangeOutcome::Accepted { revision: Revision(8) };
    assert_eq!(cluster.decision(resent), Some(&ProposalOutcome::Change(first)));
    assert_eq!(cluster.committed_revision(), Revision(100));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn invalid_change() {
    let mut cluster = started(4);
    let leader = cluster.leader().unwrap();
    let mut service = samples::service(100);
    service.patience.default_ms = 0;
    let name = "planner".parse().unwrap();
    let change = Change::PutService { name, service };
    let bad = cluster.submit_change(leader, "bad", Revision(0), change);
    cluster.run_for(SECOND);
    let Some(ProposalOutcome::Change(ChangeOutcome::Invalid { problem })) = cluster.decision(bad)
    else {
        panic!("not rejected: {:?}", cluster.decision(bad));
    };
    assert!(problem.contains("services.planner.patience.default_ms"), "{problem}");
    assert_eq!(cluster.committed_revision(), Revision(0));
}

#[test]
fn follower_rejects() {
    let mut cluster = started(5);
    let follower = (0..3).find(|i| Some(*i) != cluster.leader()).unwrap();
    let change = cluster.submit(follower, "c", Revision(0));
    assert_eq!(cluster.decision(change), Some(&ProposalOutcome::NotLeader));
}
