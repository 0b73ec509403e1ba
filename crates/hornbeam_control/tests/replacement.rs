//! Replacement of voters by an operator, one at a time.

use std::time::Duration;

use hornbeam_control::{ProposalOutcome, Role};
use hornbeam_model::Revision;
use hornbeam_testkit::control::ControlCluster;

const SECOND: Duration = Duration::from_secs(1);

/// Three voters and two more instances with empty disks, ready to become voters.
fn started(seed: u64) -> ControlCluster {
    let mut cluster = ControlCluster::new(seed, 3, 2);
    for i in 3..5 {
        cluster.crash(i);
        cluster.make_voter(i);
        cluster.start(i);
    }
    assert!(cluster.settle(5 * SECOND));
    cluster.run_for(3 * SECOND);
    cluster
}

fn voters(cluster: &ControlCluster) -> Vec<String> {
    let leader = cluster.leader().expect("a leader");
    let members = cluster.raft(leader).unwrap().membership();
    assert!(members.replacement.is_none(), "the replacement is complete");
    let mut names: Vec<String> = members.voters.keys().map(|v| v.to_string()).collect();
    names.sort();
    names
}

fn commit_change(cluster: &mut ControlCluster) -> bool {
    let Some(leader) = cluster.leader() else { return false };
    let expect = cluster.committed_revision();
    let number = cluster.submit(leader, &format!("c{}-{}", expect.0, cluster.now.0), expect);
    cluster
        .run_until(2 * SECOND, |c| matches!(c.decision(number), Some(ProposalOutcome::Change(_))))
}

#[test]
fn another_instance() {
    for seed in 0..10 {
        let mut cluster = started(seed);
        assert!(commit_change(&mut cluster));
        let leader = cluster.leader().unwrap();
        let outgoing = (0..3).find(|i| *i != leader).unwrap();
        cluster.crash(outgoing);
        let number = cluster.replace(leader, outgoing, 3);
        cluster.run_for(3 * SECOND);
        assert_eq!(
            cluster.decision(number),
            Some(&ProposalOutcome::ReplacementStarted),
            "seed {seed}"
        );
        let mut expected: Vec<String> =
            (0..4).filter(|i| *i != outgoing).map(|i| format!("node-{i}")).collect();
        expected.sort();
        assert_eq!(voters(&cluster), expected);
        assert!(commit_change(&mut cluster));
        // A second instance fails right after the repair.
        let second = (0..3).find(|i| *i != outgoing && Some(*i) != cluster.leader()).unwrap();
        cluster.crash(second);
        cluster.run_for(3 * SECOND);
        assert!(commit_change(&mut cluster), "seed {seed}: the new voter counts");
        cluster.check_logs();
        cluster.check_accepted();
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

#[test]
fn same_name() {
    for seed in 0..10 {
        let mut cluster = started(seed);
        assert!(commit_change(&mut cluster));
        let leader = cluster.leader().unwrap();
        let lost = (0..3).find(|i| *i != leader).unwrap();
        cluster.crash(lost);
        cluster.wipe(lost);
        cluster.start(lost);
        cluster.run_for(3 * SECOND);
        assert_eq!(cluster.raft(lost).unwrap().role(), Role::Learner);
        let leader = cluster.leader().unwrap();
        cluster.replace(leader, lost, lost);
        cluster.run_for(3 * SECOND);
        assert_eq!(cluster.raft(lost).unwrap().role(), Role::Follower, "seed {seed}");
        assert_eq!(voters(&cluster), ["node-0", "node-1", "node-2"]);
        let other = (0..3).find(|i| *i != lost && Some(*i) != cluster.leader()).unwrap();
        cluster.crash(other);
        cluster.run_for(3 * SECOND);
        assert!(commit_change(&mut cluster), "seed {seed}: the new disk counts");
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

#[test]
fn one_at_a_time() {
    let mut cluster = started(2);
    let leader = cluster.leader().unwrap();
    let outgoing_voters: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
    // The incoming instance is unreachable, so it cannot catch up.
    cluster.split(&[3], &[0, 1, 2]);
    let first = cluster.replace(leader, outgoing_voters[0], 3);
    cluster.run_for(SECOND);
    assert_eq!(cluster.decision(first), Some(&ProposalOutcome::ReplacementStarted));
    let second = cluster.replace(leader, outgoing_voters[1], 4);
    cluster.run_for(SECOND);
    let Some(ProposalOutcome::Refused(reason)) = cluster.decision(second) else {
        panic!("{:?}", cluster.decision(second));
    };
    assert!(reason.contains("under way"), "{reason}");
    cluster.heal();
    cluster.run_for(3 * SECOND);
    let third = cluster.replace(leader, outgoing_voters[1], 4);
    cluster.run_for(3 * SECOND);
    assert_eq!(cluster.decision(third), Some(&ProposalOutcome::ReplacementStarted));
    assert!(commit_change(&mut cluster));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn leader_crashes_midway() {
    // The leader crashes while a replacement is under way; the next leader completes it.
    for seed in 0..20 {
        let mut cluster = started(seed);
        let leader = cluster.leader().unwrap();
        let outgoing = (0..3).find(|i| *i != leader).unwrap();
        cluster.replace(leader, outgoing, 3);
        cluster.run_for(Duration::from_micros(700 * (seed % 6)));
        cluster.crash(leader);
        cluster.run_for(4 * SECOND);
        cluster.start(leader);
        assert!(cluster.run_until(5 * SECOND, |c| c.leader().is_some()), "seed {seed}");
        cluster.run_for(4 * SECOND);
        let names = voters(&cluster);
        assert_eq!(names.len(), 3, "seed {seed}: {names:?}");
        assert!(commit_change(&mut cluster), "seed {seed}");
        cluster.check_logs();
        assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn invalid_replacements() {
    let mut cluster = started(3);
    let leader = cluster.leader().unwrap();
    let outgoing = (0..3).find(|i| *i != leader).unwrap();
    for (outgoing, incoming, hint) in [
        (4, 3, "does not vote"),
        (outgoing, leader, "votes already"),
        (leader, 3, "cannot replace itself"),
    ] {
        let number = cluster.replace(leader, outgoing, incoming);
        let Some(ProposalOutcome::Refused(reason)) = cluster.decision(number) else {
            panic!("{:?}", cluster.decision(number));
        };
        assert!(reason.contains(hint), "{reason}");
    }
    assert_eq!(cluster.committed_revision(), Revision(0));
}
