//! Guards against former voters that cannot follow a leader with a new disk, and standbys that do not
//! catch up and are tried for ever, so that the place of a lost voter stays empty.

use std::time::Duration;

use hornbeam_control::{ProposalOutcome, Role};
use hornbeam_model::TableVersion;
use hornbeam_testkit::control::ControlCluster;

const SECOND: Duration = Duration::from_secs(1);
/// Time after the loss of a voter within which a standby votes in its place: the time after which a
/// voter counts as lost, and as long again.
const REPAIR_TIME: Duration = SECOND.saturating_mul(5);

fn commit_table(cluster: &mut ControlCluster, version: u64) {
    let leader = cluster.leader().expect("a leader");
    let number = cluster.submit_table(leader, version);
    let in_force = Some(ProposalOutcome::TableInForce(TableVersion(version)));
    let done = cluster.run_until(2 * SECOND, |c| c.decision(number).cloned() == in_force);
    assert!(done, "version {version}: {:?}", cluster.decision(number));
}

fn votes(cluster: &ControlCluster, i: usize) -> bool {
    let leader = cluster.leader().and_then(|l| cluster.raft(l));
    leader.is_some_and(|r| r.membership().voters.contains_key(&cluster.nodes[i].name))
}

/// Returns controllers of which one, the second value, was replaced while it was cut off, and of whose
/// voters one, the third value, has a disk since that the former voter does not know, and leads.
fn former_voter(seed: u64) -> (ControlCluster, usize, usize) {
    let mut cluster = ControlCluster::with_repair(seed, 1, 8);
    commit_table(&mut cluster, 1);
    let leader = cluster.leader().unwrap();
    let former = (0..3).find(|i| *i != leader).unwrap();
    let renewed = (0..3).find(|i| *i != leader && *i != former).unwrap();
    cluster.isolate(former);
    cluster.run_for(4 * SECOND);
    cluster.heal();
    assert!(votes(&cluster, 3) && !votes(&cluster, former), "seed {seed}: not replaced");
    cluster.crash(renewed);
    cluster.wipe(renewed);
    cluster.start(renewed);
    cluster.run_for(3 * SECOND);
    for _ in 0..20 {
        let leader = cluster.leader().unwrap();
        if leader == renewed {
            break;
        }
        cluster.transfer_leadership(leader);
        cluster.run_for(SECOND / 2);
    }
    assert_eq!(cluster.leader(), Some(renewed), "seed {seed}: the renewed voter does not lead");
    commit_table(&mut cluster, 2);
    (cluster, former, renewed)
}

fn lose_other_voter(cluster: &mut ControlCluster, renewed: usize) {
    let lost = (0..4).find(|i| *i != renewed && votes(cluster, *i)).unwrap();
    cluster.crash(lost);
}

#[test]
fn leader_renewed() {
    for seed in 0..20 {
        let (mut cluster, former, renewed) = former_voter(seed);
        lose_other_voter(&mut cluster, renewed);
        cluster.run_for(REPAIR_TIME);
        assert!(votes(&cluster, former), "seed {seed}: the place is empty\n{}", cluster.describe());
        commit_table(&mut cluster, 3);
        // The former voter is a full one: without the leader the two others go on.
        cluster.crash(renewed);
        cluster.run_for(3 * SECOND);
        commit_table(&mut cluster, 4);
        cluster.check_logs();
        assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Only one voter is left that knows a later membership than the former voter does.
#[test]
fn restarted_former() {
    for seed in 0..20 {
        let (mut cluster, former, renewed) = former_voter(seed);
        lose_other_voter(&mut cluster, renewed);
        cluster.crash(former);
        cluster.run_for(SECOND);
        cluster.start(former);
        cluster.run_for(REPAIR_TIME);
        assert!(votes(&cluster, former), "seed {seed}: the place is empty\n{}", cluster.describe());
        commit_table(&mut cluster, 3);
        assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn silent_standby() {
    for seed in 0..20 {
        let (mut cluster, former, renewed) = former_voter(seed);
        cluster.make_voter(4);
        cluster.start(4);
        cluster.run_for(SECOND);
        // Its hellos still arrive, but nothing reaches it.
        for i in (0..5).filter(|i| *i != former) {
            cluster.cut_one_way(i, former);
        }
        lose_other_voter(&mut cluster, renewed);
        // A standby that does not reply is given up after the time after which a voter is.
        cluster.run_for(2 * REPAIR_TIME);
        assert!(votes(&cluster, 4), "seed {seed}: the place is empty\n{}", cluster.describe());
        commit_table(&mut cluster, 3);
        assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn keeps_following() {
    for seed in 0..20 {
        let (mut cluster, former, _) = former_voter(seed);
        cluster.run_for(3 * SECOND);
        let role = cluster.raft(former).unwrap().role();
        assert_eq!(role, Role::Learner, "seed {seed}: a former voter asks for votes");
    }
}
