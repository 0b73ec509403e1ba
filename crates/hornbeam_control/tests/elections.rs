//! Elections, isolation of the leader and leadership transfer.

use std::time::Duration;

use hornbeam_control::{ProposalOutcome, Role};
use hornbeam_model::Revision;
use hornbeam_protocol::control::ChangeOutcome;
use hornbeam_testkit::control::ControlCluster;

const SECOND: Duration = Duration::from_secs(1);
/// Target: maximum time after the loss of a leader until a change is accepted again.
const MAX_UNAVAILABLE: Duration = Duration::from_secs(3);

fn accepted(cluster: &ControlCluster, proposal: u64) -> bool {
    let decision = cluster.decision(proposal);
    matches!(decision, Some(ProposalOutcome::Change(ChangeOutcome::Accepted { .. })))
}

fn started(seed: u64, voters: usize, others: usize) -> ControlCluster {
    let mut cluster = ControlCluster::new(seed, voters, others);
    assert!(cluster.settle(5 * SECOND), "a new cluster elects a leader");
    cluster
}

#[test]
fn elects_leader() {
    for voters in [1, 3, 5] {
        for seed in 0..20 {
            let mut cluster = started(seed, voters, 2);
            let leader = cluster.leader().unwrap();
            let change = cluster.submit(leader, "first", Revision(0));
            assert!(cluster.run_until(SECOND, |c| accepted(c, change)));
            assert!(cluster.settle(2 * SECOND));
            assert_eq!(cluster.violations, Vec::<String>::new());
        }
    }
}

#[test]
fn leader_loss() {
    for seed in 0..50 {
        let mut cluster = started(seed, 3, 0);
        let leader = cluster.leader().unwrap();
        cluster.crash(leader);
        let lost_at = cluster.now;
        let mut attempt = 0;
        loop {
            attempt += 1;
            cluster.run_for(Duration::from_millis(20));
            let Some(next) = cluster.leader() else { continue };
            let change = cluster.submit(next, &format!("after-{attempt}"), Revision(0));
            cluster.run_for(Duration::from_millis(20));
            if accepted(&cluster, change) {
                break;
            }
        }
        let unavailable = cluster.now.since(lost_at);
        assert!(unavailable <= MAX_UNAVAILABLE, "seed {seed}: {unavailable:?}");
    }
}

#[test]
fn isolated_leader() {
    for seed in 0..10 {
        let mut cluster = started(seed, 3, 3);
        let old = cluster.leader().unwrap();
        cluster.isolate(old);
        let rejected = cluster.submit(old, "on-the-lost-side", Revision(0));
        cluster.run_for(2 * SECOND);
        assert!(!accepted(&cluster, rejected), "an isolated leader accepts nothing");
        assert_ne!(
            cluster.raft(old).unwrap().role(),
            Role::Leader,
            "an isolated leader steps down"
        );
        let new = cluster.leader().unwrap();
        for n in 0..5 {
            let change = cluster.submit(new, &format!("change-{n}"), Revision(n));
            assert!(cluster.run_until(SECOND, |c| accepted(c, change)));
        }
        cluster.run_for(180 * SECOND);
        let follower = cluster.nodes[old].follower.as_ref().unwrap();
        let age = cluster.now.since(follower.confirmed_at().unwrap());
        assert!(
            age > 170 * SECOND,
            "an isolated instance does not claim a recent confirmation: {age:?}"
        );
        let term = cluster.raft(new).unwrap().term();
        cluster.heal();
        cluster.run_for(2 * SECOND);
        assert_eq!(
            cluster.raft(new).unwrap().term(),
            term,
            "a voter that rejoins causes no election"
        );
        assert_eq!(cluster.revision(old), Some(Revision(5)));
        cluster.check_logs();
        cluster.check_accepted();
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

#[test]
fn transfers_leadership() {
    for seed in 0..20 {
        let mut cluster = started(seed, 3, 0);
        let old = cluster.leader().unwrap();
        cluster.transfer_leadership(old);
        let started_at = cluster.now;
        let transferred = |c: &ControlCluster| c.leader().is_some_and(|l| l != old);
        assert!(cluster.run_until(SECOND, transferred));
        let took = cluster.now.since(started_at);
        assert!(took < Duration::from_millis(100), "no election timeout passes: {took:?}");
    }
}

#[test]
fn flapping_links() {
    for seed in 0..20 {
        let mut cluster = started(seed, 5, 2);
        let mut changes = Vec::new();
        for round in 0..40usize {
            let a = round % 5;
            let b = (round * 3 + 1) % 5;
            if a != b {
                cluster.cut_one_way(a, b);
            }
            cluster.run_for(Duration::from_millis(300));
            if let Some(leader) = cluster.leader() {
                let expect = cluster.raft(leader).unwrap().state().config.revision;
                changes.push(cluster.submit(leader, &format!("c{round}"), expect));
            }
            cluster.run_for(Duration::from_millis(300));
            if round % 3 == 2 {
                cluster.heal();
            }
        }
        cluster.heal();
        assert!(cluster.settle(10 * SECOND), "seed {seed}");
        cluster.check_logs();
        cluster.check_accepted();
        assert_eq!(cluster.violations, Vec::<String>::new());
        assert!(changes.iter().filter(|c| accepted(&cluster, **c)).count() > 5, "seed {seed}");
    }
}

#[test]
fn fast_after_restart() {
    for seed in 0..20 {
        let mut cluster = ControlCluster::new(seed, 3, 0);
        assert!(cluster.settle(Duration::from_secs(5)));
        for i in 0..3 {
            cluster.crash(i);
        }
        cluster.run_for(Duration::from_secs(2));
        for i in 0..3 {
            cluster.start(i);
        }
        let elected = cluster.run_until(Duration::from_millis(900), |c| c.leader().is_some());
        assert!(elected, "seed {seed}: no leader 900 ms after all voters have started");
    }
}

/// Guards against a term, and a second without a leader, for each lost message of an election.
#[test]
fn lost_vote_request() {
    for seed in 0..50 {
        let mut cluster = started(seed, 3, 0);
        cluster.crash(cluster.leader().unwrap());
        let candidate = |c: &ControlCluster| {
            (0..3).find(|i| c.raft(*i).is_some_and(|r| r.role() == Role::Candidate))
        };
        let step = Duration::from_micros(100);
        while candidate(&cluster).is_none() {
            cluster.run_for(step);
        }
        let i = candidate(&cluster).unwrap();
        let term = cluster.raft(i).unwrap().term();
        cluster.isolate(i);
        cluster.run_for(SECOND / 10);
        cluster.heal();
        assert!(cluster.run_until(2 * SECOND, |c| c.leader().is_some()), "seed {seed}");
        let elected = cluster.leader().unwrap();
        assert_eq!((elected, cluster.raft(elected).unwrap().term()), (i, term), "seed {seed}");
    }
}

/// The same with messages lost at random, on all links.
#[test]
fn leader_loss_on_lossy_links() {
    let mut late = Vec::new();
    for seed in 0..300 {
        let mut cluster = started(seed, 3, 0);
        cluster.loss_percent = 10;
        cluster.crash(cluster.leader().unwrap());
        let elected = cluster.run_until(MAX_UNAVAILABLE, |c| c.leader().is_some());
        if !elected {
            late.push(seed);
        }
    }
    assert!(late.is_empty(), "{} of 300 seeds without a leader: {late:?}", late.len());
}
