//! Guards against a second log that founders with empty disks start while another controller or an entry
//! still has what was acknowledged.

use std::time::Duration;

use hornbeam_control::{RaftInput, Role};
use hornbeam_events::Event;
use hornbeam_testkit::control::ControlCluster;

const SECOND: Duration = Duration::from_secs(1);
const FOUNDING_WAIT: Duration = SECOND;

/// Replaces a founder by the standby, and empties the disks of all founders.
fn founders_lost(seed: u64) -> ControlCluster {
    let mut cluster = ControlCluster::with_repair(seed, 0, 8);
    cluster.founding_wait = FOUNDING_WAIT;
    let leader = cluster.leader().expect("a leader");
    for version in 1..20 {
        cluster.submit_table(leader, version);
        cluster.run_for(SECOND / 20);
    }
    cluster.isolate((0..3).find(|i| *i != leader).expect("a follower"));
    let votes = |c: &ControlCluster| c.raft(3).is_some_and(|r| r.role() == Role::Follower);
    assert!(cluster.run_until(6 * SECOND, votes), "the standby becomes a voter");
    cluster.run_for(SECOND);
    cluster.heal();
    for i in 0..4 {
        cluster.crash_with_messages(i);
    }
    for i in 0..3 {
        cluster.wipe(i);
    }
    cluster
}

#[test]
fn old_log_on_standby() {
    for seed in 0..50 {
        let mut cluster = founders_lost(seed);
        for i in 0..3 {
            cluster.start(i);
        }
        cluster.run_for(Duration::from_millis(10 * seed));
        cluster.start(3);
        cluster.run_for(10 * SECOND);
        assert_eq!(cluster.leader(), None, "seed {seed}: a second log");
        let old = cluster.raft(3).expect("up");
        assert!(old.last_position().index.0 > 19, "the old log is kept");
        let lost = old.lost_voters(cluster.now).len();
        assert!(lost >= 2, "seed {seed}: {lost} voters are known to be lost");
    }
}

#[test]
fn table_at_entries() {
    let mut cluster = founders_lost(1);
    cluster.events.clear();
    for i in 0..3 {
        cluster.start(i);
    }
    cluster.run_for(FOUNDING_WAIT / 2);
    for i in 0..3 {
        cluster.voter_input(i, RaftInput::ConfigExists);
    }
    cluster.run_for(30 * SECOND);
    assert_eq!(cluster.leader(), None);
    let refused = cluster.events.iter().filter(|(_, _, e)| matches!(e, Event::VoterRefused { .. }));
    assert_eq!(refused.count(), 3, "each founder reports it once");
}

#[test]
fn nothing_left() {
    let mut cluster = founders_lost(2);
    for i in 0..3 {
        cluster.start(i);
    }
    assert!(cluster.run_until(FOUNDING_WAIT + 2 * SECOND, |c| c.leader().is_some()));
}
