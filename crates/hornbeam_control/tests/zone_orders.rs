//! Orders about zones in the control log: durability, races, and the formats of earlier builds.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_control::encoding::{decode_state, encode_state};
use hornbeam_control::{ControlState, ProposalOutcome};
use hornbeam_model::{OrderIndex, Routing, TableVersion, ZoneOrder, ZoneOrders};
use hornbeam_protocol::control::{Command, Entry, LogIndex, Term};
use hornbeam_testkit::control::ControlCluster;

const SECOND: Duration = Duration::from_secs(1);
/// A state with a routing table of version 7, as the build before orders about zones encoded it.
const OLD_STATE: &[u8] = &[
    0x00, 0x00, 0x00, 0x00, 0x07, 0x00, 0x00, 0x80, 0x80, 0x01, 0x80, 0x80, 0x10, 0xb8, 0x17, 0x98,
    0x75, 0x00,
];
/// A log entry with that table, as the same build encoded it.
const OLD_ENTRY: &[u8] = &[
    0x03, 0x02, 0x03, 0x07, 0x00, 0x00, 0x80, 0x80, 0x01, 0x80, 0x80, 0x10, 0xb8, 0x17, 0x98, 0x75,
    0x00,
];
/// A log entry with the order to evacuate `tabor`.
const ORDER_ENTRY: &[u8] = b"\x09\x02\x04\x05tabor\x01";

fn started(seed: u64) -> ControlCluster {
    let mut cluster = ControlCluster::new(seed, 3, 0);
    cluster.snapshot_interval_entries = 4;
    assert!(cluster.settle(5 * SECOND));
    cluster
}

/// Submits an order to the leader until it is acknowledged, as an operator does.
fn order(cluster: &mut ControlCluster, zone: &str, evacuate: bool) {
    for _ in 0..50 {
        let Some(leader) = cluster.leader() else {
            cluster.run_for(SECOND / 10);
            continue;
        };
        let number = cluster.submit_zone_order(leader, zone, evacuate);
        cluster.run_for(SECOND / 5);
        if let Some(ProposalOutcome::ZoneOrdered(_)) = cluster.decision(number) {
            return;
        }
    }
    panic!("the order is not acknowledged:\n{}", cluster.describe());
}

/// The zones that every voter that is up holds as evacuated, once all agree.
fn evacuated(cluster: &mut ControlCluster) -> Vec<String> {
    cluster.run_for(2 * SECOND);
    let held = |i: usize| cluster.raft(i).map(|r| r.state().zone_orders.clone());
    let states: Vec<_> = (0..cluster.nodes.len()).filter_map(held).collect();
    assert!(states.windows(2).all(|w| w[0] == w[1]), "the voters differ: {states:?}");
    assert_eq!(cluster.violations, Vec::<String>::new());
    let mut zones: Vec<String> = states[0].evacuated.iter().map(ToString::to_string).collect();
    zones.sort();
    zones
}

#[test]
fn resent_orders_change_nothing() {
    let mut cluster = started(1);
    order(&mut cluster, "tabor", false);
    order(&mut cluster, "tabor", true);
    let leader = cluster.leader().unwrap();
    let index = cluster.raft(leader).unwrap().state().zone_orders.index;
    order(&mut cluster, "tabor", true);
    assert_eq!(cluster.raft(leader).unwrap().state().zone_orders.index, index);
    assert_eq!(evacuated(&mut cluster), ["tabor"]);
    order(&mut cluster, "tabor", false);
    order(&mut cluster, "tabor", false);
    assert!(evacuated(&mut cluster).is_empty());
    assert!(cluster.raft(leader).unwrap().state().zone_orders.index > index);
}

#[test]
fn survives_restart_of_all() {
    // The first order is in a snapshot at the restart, the second one in the log only.
    for seed in 0..10 {
        let mut cluster = started(seed);
        order(&mut cluster, "tabor", true);
        for version in 1..6 {
            let leader = cluster.leader().unwrap();
            cluster.submit_table(leader, version);
            cluster.run_for(SECOND / 10);
        }
        order(&mut cluster, "pisek", true);
        for i in 0..3 {
            cluster.crash_with_messages(i);
        }
        for i in 0..3 {
            cluster.start(i);
        }
        assert_eq!(evacuated(&mut cluster), ["pisek", "tabor"], "seed {seed}");
    }
}

#[test]
fn survives_lost_leader_and_disk() {
    for seed in 0..10 {
        let mut cluster = started(seed);
        order(&mut cluster, "tabor", true);
        let leader = cluster.leader().unwrap();
        cluster.crash(leader);
        assert!(cluster.run_until(5 * SECOND, |c| c.leader().is_some_and(|l| l != leader)));
        order(&mut cluster, "pisek", true);
        order(&mut cluster, "tabor", false);
        // Comes back with what it knew before, and gets the rest as a snapshot.
        cluster.start(leader);
        assert_eq!(evacuated(&mut cluster), ["pisek"], "seed {seed}");
    }
}

#[test]
fn snapshot_to_empty_disk() {
    let mut cluster = ControlCluster::new(3, 3, 0);
    cluster.snapshot_interval_entries = 4;
    cluster.repair =
        Some(hornbeam_control::RepairPolicy { target_voters: 3, voter_timeout: 5 * SECOND / 2 });
    for i in 0..3 {
        cluster.crash(i);
        cluster.start(i);
    }
    assert!(cluster.settle(5 * SECOND));
    order(&mut cluster, "tabor", true);
    for version in 1..9 {
        let leader = cluster.leader().unwrap();
        cluster.submit_table(leader, version);
        cluster.run_for(SECOND / 10);
    }
    let lost = (0..3).find(|i| Some(*i) != cluster.leader()).unwrap();
    cluster.crash(lost);
    cluster.wipe(lost);
    cluster.start(lost);
    cluster.run_for(10 * SECOND);
    assert_eq!(evacuated(&mut cluster), ["tabor"]);
}

#[test]
fn racing_begin_and_finish() {
    // Both are acknowledged, so they took effect one after the other, and all voters agree on which.
    for seed in 0..10 {
        let mut cluster = started(seed);
        let leader = cluster.leader().unwrap();
        let begin = cluster.submit_zone_order(leader, "tabor", true);
        let finish = cluster.submit_zone_order(leader, "tabor", false);
        let again = cluster.submit_zone_order(leader, "tabor", true);
        cluster.run_for(SECOND);
        for number in [begin, finish, again] {
            let decision = cluster.decision(number);
            assert!(matches!(decision, Some(ProposalOutcome::ZoneOrdered(_))), "{decision:?}");
        }
        assert_eq!(evacuated(&mut cluster), ["tabor"], "the last order is in force");
    }
}

/// A leader that is cut off must not acknowledge from what it held before.
#[test]
fn outdated_leader_acknowledges_nothing() {
    let mut cluster = started(5);
    order(&mut cluster, "tabor", true);
    let old = cluster.leader().unwrap();
    let others: Vec<usize> = (0..3).filter(|i| *i != old).collect();
    cluster.split(&[old], &others);
    let number = cluster.submit_zone_order(old, "tabor", true);
    cluster.run_for(5 * SECOND);
    assert!(!matches!(cluster.decision(number), Some(ProposalOutcome::ZoneOrdered(_))));
    order(&mut cluster, "tabor", false);
    let cut_off_at = cluster.raft(old).unwrap().caught_up_at().unwrap();
    assert!(cluster.now.since(cut_off_at) > 4 * SECOND, "it does not claim a current state");
    cluster.heal();
    assert!(evacuated(&mut cluster).is_empty());
    let caught_up_at = cluster.raft(old).unwrap().caught_up_at().unwrap();
    assert!(cluster.now.since(caught_up_at) < SECOND);
}

/// A controller that has just started must not state that it knows all orders.
#[test]
fn not_current_before_leader_is_heard() {
    let mut cluster = started(6);
    order(&mut cluster, "tabor", true);
    let i = (0..3).find(|i| Some(*i) != cluster.leader()).unwrap();
    cluster.crash(i);
    order(&mut cluster, "pisek", true);
    cluster.start(i);
    assert_eq!(cluster.raft(i).unwrap().caught_up_at(), None);
    let knows_all = |c: &ControlCluster| c.raft(i).unwrap().caught_up_at().is_some();
    assert!(cluster.run_until(5 * SECOND, knows_all));
    let held = &cluster.raft(i).unwrap().state().zone_orders;
    assert_eq!(held.evacuated.len(), 2, "it knows the order that it missed");
}

#[test]
fn formats_of_earlier_builds() {
    let state = decode_state(OLD_STATE).unwrap();
    assert_eq!(state.routing.version, TableVersion(7));
    assert_eq!(*state.zone_orders, ZoneOrders::default());
    assert_eq!(encode_state(&state).unwrap(), OLD_STATE, "unchanged without orders");

    let order = ZoneOrder { zone: "tabor".parse().unwrap(), evacuate: true };
    let mut orders = ZoneOrders::default();
    assert!(orders.apply(OrderIndex(9), &order) && !orders.apply(OrderIndex(10), &order));
    let mut with_orders = state.clone();
    with_orders.zone_orders = Arc::new(orders);
    let bytes = encode_state(&with_orders).unwrap();
    assert_eq!(bytes[OLD_STATE.len()..], *b"\x09\x01\x05tabor");
    assert_eq!(decode_state(&bytes).unwrap(), with_orders);
    // An earlier build decodes the state alone and ignores what follows.
    assert_eq!(postcard::from_bytes::<ControlState>(&bytes).unwrap(), state);

    let old: Entry = postcard::from_bytes(OLD_ENTRY).unwrap();
    let table = Routing { version: TableVersion(7), ..Routing::default() };
    assert_eq!(old.command, Command::Routing(Arc::new(table)));
    let entry = Entry { index: LogIndex(9), term: Term(2), command: Command::ZoneOrder(order) };
    assert_eq!(postcard::to_allocvec(&entry).unwrap(), ORDER_ENTRY);
}
