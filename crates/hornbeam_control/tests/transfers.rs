//! Guards against a snapshot transfer that begins again with each newer snapshot, so that a voter stays
//! behind for as long as changes go on.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_control::{Proposal, ProposalOutcome};
use hornbeam_model::{Routing, TableVersion};
use hornbeam_testkit::control::ControlCluster;

const SECOND: Duration = Duration::from_secs(1);
/// Size of the routing table, and so of each snapshot: a transfer has twelve chunks.
const DOCUMENT_BYTES: usize = 3 << 20;
const CHANGE_INTERVAL: Duration = Duration::from_millis(80);

/// Starts three voters on slow links that take a snapshot after every eighth entry, and puts a large table
/// in force.
fn started(seed: u64) -> ControlCluster {
    let mut cluster = ControlCluster::new(seed, 3, 0);
    cluster.snapshot_interval_entries = 8;
    for i in 0..3 {
        cluster.crash(i);
        cluster.start(i);
    }
    assert!(cluster.settle(5 * SECOND));
    cluster.delay = Duration::from_millis(30);
    let leader = cluster.leader().expect("a leader");
    let document = vec![b'x'; DOCUMENT_BYTES];
    let table = Routing { version: TableVersion(1), document, ..Routing::default() };
    let number = cluster.submit_proposal(leader, Proposal::Routing(Arc::new(table)));
    let in_force =
        |c: &ControlCluster| matches!(c.decision(number), Some(ProposalOutcome::TableInForce(_)));
    assert!(cluster.run_until(SECOND, in_force));
    cluster
}

fn change_for(cluster: &mut ControlCluster, time: Duration) {
    let end = cluster.now + time;
    while cluster.now < end {
        let leader = cluster.leader().expect("a leader");
        let expect = cluster.committed_revision();
        cluster.submit(leader, &format!("c{}", expect.0), expect);
        cluster.run_for(CHANGE_INTERVAL);
    }
}

fn revision_at(cluster: &ControlCluster, i: usize) -> u64 {
    cluster.raft(i).map_or(0, |r| r.state().config.revision.0)
}

/// Changes for 5 s after a voter has returned that needs a snapshot, and returns how many it lacks then.
fn lag_of_returned(seed: u64, wiped: bool) -> u64 {
    let mut cluster = started(seed);
    change_for(&mut cluster, SECOND);
    let leader = cluster.leader().expect("a leader");
    let behind = (0..3).find(|i| *i != leader).expect("a follower");
    cluster.crash(behind);
    change_for(&mut cluster, 2 * SECOND);
    if wiped {
        cluster.wipe(behind);
    }
    cluster.start(behind);
    if wiped {
        cluster.run_for(SECOND);
        cluster.replace(leader, behind, behind);
    }
    change_for(&mut cluster, 5 * SECOND);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.violations, Vec::<String>::new());
    revision_at(&cluster, leader) - revision_at(&cluster, behind)
}

#[test]
fn outdated_voter() {
    for seed in 0..5 {
        let lag = lag_of_returned(seed, false);
        assert!(lag <= 2, "seed {seed}: {lag} changes behind");
    }
}

#[test]
fn empty_disk() {
    for seed in 0..5 {
        let lag = lag_of_returned(seed, true);
        assert!(lag <= 2, "seed {seed}: {lag} changes behind");
    }
}
