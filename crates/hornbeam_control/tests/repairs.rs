//! Automatic repair: voters that join, return with an empty disk or no longer reply.

use std::time::Duration;

use hornbeam_control::{ProposalOutcome, RepairPolicy};
use hornbeam_model::TableVersion;
use hornbeam_testkit::control::ControlCluster;

const SECOND: Duration = Duration::from_secs(1);

/// Starts three initial voters and `standby` instances with empty disks.
fn start_cluster(seed: u64, wanted: usize, standby: usize) -> ControlCluster {
    let mut cluster = ControlCluster::new(seed, 3, standby);
    cluster.repair =
        Some(RepairPolicy { target_voters: wanted, voter_timeout: Duration::from_millis(2_500) });
    for i in 0..3 + standby {
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

fn voters(cluster: &ControlCluster) -> Vec<String> {
    let leader = cluster.leader().expect("a leader");
    let members = cluster.raft(leader).unwrap().membership();
    let mut names: Vec<String> = members.voters.keys().map(|v| v.to_string()).collect();
    names.sort();
    names
}

fn commit_table(cluster: &mut ControlCluster, version: u64) {
    let leader = cluster.leader().expect("a leader");
    let number = cluster.submit_table(leader, version);
    let in_force = Some(ProposalOutcome::TableInForce(TableVersion(version)));
    let done = cluster.run_until(2 * SECOND, |c| c.decision(number).cloned() == in_force);
    assert!(done, "version {version}: {:?}", cluster.decision(number));
}

fn committed_version(cluster: &ControlCluster) -> u64 {
    let leader = cluster.leader().expect("a leader");
    cluster.raft(leader).unwrap().state().routing.version.0
}

#[test]
fn grows_to_wanted() {
    for seed in 0..10 {
        let mut cluster = start_cluster(seed, 5, 3);
        assert_eq!(voters(&cluster).len(), 5, "seed {seed}");
        commit_table(&mut cluster, 7);
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

#[test]
fn empty_disk_rejoins() {
    for seed in 0..20 {
        let mut cluster = start_cluster(seed, 3, 1);
        commit_table(&mut cluster, 7);
        let leader = cluster.leader().unwrap();
        // The leader itself in half of the cases.
        let lost = if seed % 2 == 0 { leader } else { (0..3).find(|i| *i != leader).unwrap() };
        cluster.crash(lost);
        cluster.wipe(lost);
        cluster.run_for(SECOND);
        cluster.start(lost);
        cluster.run_for(4 * SECOND);
        let second = cluster.leader().unwrap();
        cluster.crash(second);
        cluster.run_for(4 * SECOND);
        assert_eq!(
            committed_version(&cluster),
            7,
            "seed {seed}: the table survives a second loss after the repair"
        );
        commit_table(&mut cluster, 9);
        cluster.check_logs();
        assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn unresponsive_voter_replaced() {
    for seed in 0..20 {
        let mut cluster = start_cluster(seed, 3, 1);
        commit_table(&mut cluster, 7);
        let leader = cluster.leader().unwrap();
        let lost = (0..3).find(|i| *i != leader).unwrap();
        cluster.crash(lost);
        cluster.run_for(4 * SECOND);
        assert!(voters(&cluster).contains(&"node-3".to_owned()), "seed {seed}");
        commit_table(&mut cluster, 9);
        // The replaced voter returns with its disk as a standby and replaces the next voter that is
        // lost.
        cluster.start(lost);
        cluster.run_for(3 * SECOND);
        let next = cluster.leader().unwrap();
        cluster.crash(next);
        cluster.run_for(6 * SECOND);
        let name = format!("node-{lost}");
        assert!(voters(&cluster).contains(&name), "seed {seed}: {:?}", voters(&cluster));
        assert_eq!(committed_version(&cluster), 9);
        cluster.check_logs();
        assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn wiped_during_outage() {
    for seed in 0..20 {
        let mut cluster = start_cluster(seed, 3, 1);
        commit_table(&mut cluster, 7);
        for i in 0..4 {
            cluster.crash(i);
        }
        cluster.wipe((seed % 4) as usize);
        cluster.run_for(SECOND);
        for i in 0..4 {
            cluster.start(i);
        }
        cluster.run_for(6 * SECOND);
        assert_eq!(committed_version(&cluster), 7, "seed {seed}");
        commit_table(&mut cluster, 8);
        assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn highest_table_wins() {
    let mut cluster = start_cluster(1, 3, 1);
    let leader = cluster.leader().unwrap();
    let racing: Vec<u64> = [5, 9, 7].map(|v| cluster.submit_table(leader, v)).to_vec();
    cluster.run_for(SECOND);
    for number in racing {
        assert!(matches!(cluster.decision(number), Some(ProposalOutcome::TableInForce(_))));
    }
    assert_eq!(committed_version(&cluster), 9);
    let old = cluster.submit_table(leader, 8);
    cluster.run_for(SECOND);
    assert_eq!(cluster.decision(old), Some(&ProposalOutcome::TableInForce(TableVersion(9))));
    assert_eq!(committed_version(&cluster), 9);
}
