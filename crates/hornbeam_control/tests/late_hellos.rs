//! Guards against instances that are excluded because a hello of theirs arrives after an
//! acknowledgment that they sent later.

use std::time::Duration;

use hornbeam_control::{RepairPolicy, Role};
use hornbeam_testkit::control::ControlCluster;

const SECOND: Duration = Duration::from_secs(1);

/// Lets a standby take the place of a voter while changes come and messages overtake each other.
#[test]
fn joining_standby() {
    let mut excluded = Vec::new();
    for seed in 0..300 {
        let mut cluster = ControlCluster::new(seed, 3, 1);
        cluster.repair =
            Some(RepairPolicy { target_voters: 3, voter_timeout: Duration::from_millis(2_500) });
        cluster.jitter = Duration::from_millis(10);
        for i in 0..4 {
            cluster.crash(i);
            if i >= 3 {
                cluster.make_voter(i);
            }
            cluster.wipe(i);
            cluster.start(i);
        }
        cluster.run_for(4 * SECOND);
        let leader = cluster.leader().expect("a leader");
        cluster.crash((0..3).find(|i| *i != leader).unwrap());
        let end = cluster.now + 4 * SECOND;
        let mut version = 0;
        while cluster.now < end {
            if let Some(leader) = cluster.leader() {
                version += 1;
                cluster.submit_table(leader, version);
            }
            cluster.run_for(Duration::from_millis(5));
        }
        let raft = cluster.raft(3).expect("an open log");
        if raft.role() == Role::Unverified {
            excluded.push((seed, raft.refusal()));
        }
        assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
    }
    assert_eq!(excluded, Vec::new(), "of 300 seeds");
}
