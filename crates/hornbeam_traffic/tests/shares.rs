//! Connection shares add up to the cap of a server and spread evenly over the instances.

use hornbeam_model::{InstanceId, ServerId};
use hornbeam_traffic::{Roster, connection_share};
use proptest::prelude::*;

fn instances(count: u32) -> Vec<InstanceId> {
    (0..count).map(|n| format!("node-{n}").parse().unwrap()).collect()
}

proptest! {
    #[test]
    fn add_up(cap in 1u32..300, count in 1u32..40, server in "[a-z]{1,12}") {
        let all = instances(count);
        let roster = Roster::new(all.clone());
        let server: ServerId = server.parse().unwrap();
        let shares: Vec<u32> =
            all.iter().map(|me| connection_share(cap, &roster, me, &server)).collect();
        prop_assert_eq!(shares.iter().sum::<u32>(), cap);
        let (low, high) = (shares.iter().min().unwrap(), shares.iter().max().unwrap());
        prop_assert!(high - low <= 1);
    }
}

#[test]
fn spread_over_instances() {
    // With 140 instances and 25 connections, each server is assigned to 25 instances; the
    // assignments spread evenly over the instances.
    let all = instances(140);
    let roster = Roster::new(all.clone());
    let mut held = vec![0u32; 140];
    for s in 0..1_000 {
        let server: ServerId = format!("server-{s}").parse().unwrap();
        for (i, me) in all.iter().enumerate() {
            held[i] += connection_share(25, &roster, me, &server);
        }
    }
    assert_eq!(held.iter().sum::<u32>(), 25_000);
    let (low, high) = (held.iter().min().unwrap(), held.iter().max().unwrap());
    assert!(*low > 120 && *high < 240, "{low} to {high} around 179");
}

#[test]
fn instance_leaves() {
    let all = instances(8);
    let mut roster = Roster::new(all.clone());
    let server: ServerId = "s".parse().unwrap();
    let before = connection_share(25, &roster, &all[0], &server);
    roster.remove(&all[7]);
    let after = connection_share(25, &roster, &all[0], &server);
    assert!(after >= before);
}
