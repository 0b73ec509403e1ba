//! Voters that return with an outdated, an empty or a damaged disk.

use std::time::Duration;

use hornbeam_control::{ProposalOutcome, Role};
use hornbeam_events::Event;
use hornbeam_model::Revision;
use hornbeam_protocol::control::ChangeOutcome;
use hornbeam_testkit::control::ControlCluster;

const SECOND: Duration = Duration::from_secs(1);

fn started(seed: u64) -> ControlCluster {
    let mut cluster = ControlCluster::new(seed, 3, 1);
    assert!(cluster.settle(5 * SECOND));
    cluster
}

fn commit_changes(cluster: &mut ControlCluster, count: u64) {
    for _ in 0..count {
        let Some(leader) = cluster.leader() else { panic!("no leader") };
        let expect = cluster.committed_revision();
        let number = cluster.submit(leader, &format!("c{}", expect.0), expect);
        let done = |c: &ControlCluster| c.decision(number).is_some();
        assert!(cluster.run_until(2 * SECOND, done));
        let decision = cluster.decision(number).unwrap();
        assert!(
            matches!(decision, ProposalOutcome::Change(ChangeOutcome::Accepted { .. })),
            "{decision:?}"
        );
    }
}

fn any_follower(cluster: &ControlCluster) -> usize {
    (0..3).find(|i| Some(*i) != cluster.leader()).unwrap()
}

#[test]
fn outdated_disk() {
    for seed in 0..10 {
        let mut cluster = started(seed);
        commit_changes(&mut cluster, 3);
        let i = any_follower(&cluster);
        let outdated = cluster.nodes[i].disk.as_ref().unwrap().copy();
        commit_changes(&mut cluster, 3);
        cluster.crash(i);
        cluster.nodes[i].disk = Some(outdated);
        cluster.start(i);
        cluster.run_for(5 * SECOND);
        let raft = cluster.raft(i).unwrap();
        assert_eq!(raft.role(), Role::Unverified, "seed {seed}: the voter must not take part");
        assert!(raft.refusal().is_some());
        let refused = |e: &Event| matches!(e, Event::VoterRefused { .. });
        assert!(
            cluster.events.iter().any(|(_, _, e)| refused(e)),
            "an event reports the refusal and its remedy"
        );
        commit_changes(&mut cluster, 1);
        cluster.check_accepted();
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

#[test]
fn outdated_after_restart() {
    // The copy dates from before the latest start, and no change was accepted since. Only the
    // number of the start shows that it is outdated.
    let mut cluster = started(3);
    commit_changes(&mut cluster, 3);
    let i = any_follower(&cluster);
    let outdated = cluster.nodes[i].disk.as_ref().unwrap().copy();
    cluster.crash(i);
    cluster.start(i);
    cluster.run_for(3 * SECOND);
    cluster.crash(i);
    cluster.nodes[i].disk = Some(outdated);
    cluster.start(i);
    cluster.run_for(5 * SECOND);
    assert_eq!(cluster.raft(i).unwrap().role(), Role::Unverified);
}

#[test]
fn empty_disk() {
    for seed in 0..10 {
        let mut cluster = started(seed);
        commit_changes(&mut cluster, 3);
        let i = any_follower(&cluster);
        cluster.crash(i);
        cluster.wipe(i);
        cluster.start(i);
        cluster.run_for(5 * SECOND);
        assert_eq!(cluster.raft(i).unwrap().role(), Role::Learner, "seed {seed}");
        // The other two voters are a majority of three; one of them alone is not.
        commit_changes(&mut cluster, 1);
        let other = (0..3).find(|j| *j != i && Some(*j) != cluster.leader()).unwrap();
        cluster.crash(other);
        cluster.run_for(5 * SECOND);
        assert_eq!(cluster.leader(), None, "seed {seed}: an empty disk does not count as a voter");
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

#[test]
fn two_empty_disks() {
    // Two voters lose their disks. They are a majority, but must not start a new log without the
    // changes that the third voter still has.
    for seed in 0..10 {
        let mut cluster = started(seed);
        commit_changes(&mut cluster, 3);
        for i in 0..2 {
            cluster.crash(i);
            cluster.wipe(i);
        }
        cluster.run_for(SECOND);
        for i in 0..2 {
            cluster.start(i);
        }
        cluster.run_for(10 * SECOND);
        assert_eq!(cluster.leader(), None, "seed {seed}");
        assert_eq!(cluster.revision(3), Some(Revision(3)), "the last revision stays in force");
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

#[test]
fn third_isolated() {
    // As in `two_empty_disks`, while the third voter is unreachable: no new log is started either.
    let mut cluster = started(4);
    commit_changes(&mut cluster, 3);
    for i in 0..2 {
        cluster.crash(i);
        cluster.wipe(i);
    }
    cluster.split(&[2], &[0, 1, 3]);
    for i in 0..2 {
        cluster.start(i);
    }
    cluster.run_for(10 * SECOND);
    assert_eq!(cluster.leader(), None);
    cluster.heal();
    cluster.run_for(5 * SECOND);
    assert_eq!(cluster.leader(), None);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn damaged_log() {
    let mut cluster = started(5);
    commit_changes(&mut cluster, 5);
    let i = any_follower(&cluster);
    cluster.crash(i);
    let disk = cluster.nodes[i].disk.as_ref().unwrap();
    disk.corrupt("log.0", 30);
    cluster.start(i);
    let error = cluster.nodes[i].open_error.clone().unwrap();
    assert!(error.contains("damaged") && error.contains("control replace"), "{error}");
    cluster.run_for(3 * SECOND);
    commit_changes(&mut cluster, 1);
}
