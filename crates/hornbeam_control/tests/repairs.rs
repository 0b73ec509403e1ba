//! Automatic repair: voters that join, return with an empty disk or no longer reply.

use std::time::Duration;

use hornbeam_control::{ProposalOutcome, RepairPolicy};
use hornbeam_model::TableVersion;
use hornbeam_testkit::control::ControlCluster;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

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

/// The next loss may come four seconds after this one.
#[test]
fn lost_leader_replaced() {
    let mut late = Vec::new();
    for seed in 0..60 {
        let mut cluster = start_cluster(seed, 3, 1);
        commit_table(&mut cluster, 7);
        let lost = cluster.leader().unwrap();
        cluster.crash(lost);
        cluster.run_for(4 * SECOND);
        let standby = cluster.nodes[3].name.clone();
        let leader = cluster.leader().and_then(|l| cluster.raft(l));
        let members = leader.map(|r| r.membership().clone()).unwrap_or_default();
        if members.replacement.is_some() || !members.voters.contains_key(&standby) {
            late.push(seed);
        }
        assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
    }
    assert_eq!(late, Vec::<u64>::new(), "of 60 seeds");
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

/// Position of each current voter in the cluster.
fn voter_positions(cluster: &ControlCluster) -> Vec<usize> {
    let number = |name: &String| name.strip_prefix("node-").unwrap().parse().unwrap();
    voters(cluster).iter().map(number).collect()
}

/// Crashes one voter after the other and starts each again once it was replaced, so that the
/// standby instances hold logs of all ages.
fn rotate_voters(cluster: &mut ControlCluster, rng: &mut SmallRng, rounds: u64) {
    for round in 0..rounds {
        assert!(cluster.run_until(4 * SECOND, |c| c.leader().is_some()), "round {round}");
        let voters = voter_positions(cluster);
        let outgoing = voters[rng.random_range(0..voters.len())];
        cluster.crash(outgoing);
        cluster.run_for(Duration::from_millis(rng.random_range(4_500..6_000)));
        commit_table(cluster, 10 + round);
        cluster.start(outgoing);
        cluster.run_for(Duration::from_millis(rng.random_range(200..2_000)));
    }
}

/// Standby instances that were voters once hold logs in which a later voter has no vote. After the
/// tolerated loss of disks and a restart of all instances they must not keep that voter from
/// voting. Two voters lag behind the last accepted table, so only one that has it can lead.
#[test]
fn restart_after_rotation() {
    for seed in 0..150 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut cluster = start_cluster(seed, 5, 5);
        rotate_voters(&mut cluster, &mut rng, 2 + seed % 5);
        cluster.run_for(6 * SECOND);
        let leader = cluster.leader().expect("a leader");
        let mut voters = voter_positions(&cluster);
        voters.retain(|v| *v != leader);
        voters.shuffle(&mut rng);
        let lagging = &voters[..2];
        for i in lagging {
            cluster.isolate(*i);
        }
        commit_table(&mut cluster, 99);
        let mut order: Vec<usize> = (0..8).collect();
        for i in &order {
            cluster.crash(*i);
        }
        cluster.heal();
        // Only one instance with the accepted table keeps its disk, in some cases the leader.
        let lost = if seed % 2 == 0 { [voters[2], voters[3]] } else { [leader, voters[2]] };
        for i in lost {
            cluster.wipe(i);
        }
        order.shuffle(&mut rng);
        for i in order {
            cluster.start(i);
            cluster.run_for(Duration::from_millis(rng.random_range(0..100)));
        }
        let recovered = cluster.run_until(6 * SECOND, |c| c.leader().is_some());
        assert!(recovered, "seed {seed}: no leader, {lagging:?} lag, disks of {lost:?} lost");
        cluster.run_for(SECOND);
        assert_eq!(committed_version(&cluster), 99, "seed {seed}");
        commit_table(&mut cluster, 100);
        cluster.check_logs();
        assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Target: maximum time from the loss of a voter until one more may be lost.
const MAX_EXPOSURE: Duration = Duration::from_secs(4);

/// Guards against a place that stays empty: while it does, the loss of another disk ends the log.
#[test]
fn place_filled() {
    let mut longest = Duration::ZERO;
    for seed in 0..300 {
        let mut cluster = ControlCluster::with_repair(seed, 0, 64);
        cluster.loss_percent = 3;
        let spare = |c: &ControlCluster| {
            let leader = c.leader().and_then(|l| c.raft(l));
            leader.and_then(|r| r.spare_voters(c.now)).unwrap_or(0)
        };
        assert!(cluster.run_until(4 * SECOND, |c| spare(c) > 0), "seed {seed}");
        let leader = cluster.leader().expect("a leader");
        let other = (0..3).find(|i| *i != leader).expect("a follower");
        cluster.crash_with_messages(if seed % 2 == 0 { leader } else { other });
        let lost_at = cluster.now;
        // A leader notices a silent voter only after a while.
        cluster.run_for(SECOND);
        assert!(cluster.run_until(2 * MAX_EXPOSURE, |c| spare(c) > 0), "seed {seed}");
        longest = longest.max(cluster.now.since(lost_at));
    }
    assert!(longest <= MAX_EXPOSURE, "{longest:?}");
}
