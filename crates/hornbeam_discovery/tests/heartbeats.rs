//! Heartbeats at one controller: reordered ones, restarts, departures and expired leases.

mod common;

use std::time::Duration;

use common::claim;
use hornbeam_discovery::{Registry, RegistryParams};
use hornbeam_model::{Incarnation, Mono};
use hornbeam_protocol::discovery::{FeedChange, LifeStage, ServerClaim};

fn registry() -> Registry {
    Registry::new(RegistryParams { lease: Duration::from_secs(6) })
}

fn stage(registry: &Registry, name: &str) -> Option<LifeStage> {
    registry.claim(&name.parse().unwrap()).map(|c| c.order.stage)
}

const T: Mono = Mono::from_millis(1_000);

#[test]
fn only_changes_published() {
    let mut r = registry();
    assert!(r.record_heartbeat(T, claim("s", 1, LifeStage::Ready, 1)).is_some());
    assert!(r.record_heartbeat(T, claim("s", 1, LifeStage::Ready, 2)).is_none());
    let mut moved = claim("s", 1, LifeStage::Ready, 3);
    moved.info.as_mut().unwrap().slots = 4;
    assert!(r.record_heartbeat(T, moved).is_some());
}

#[test]
fn reordered_heartbeat_ignored() {
    let mut r = registry();
    r.record_heartbeat(T, claim("s", 1, LifeStage::Draining, 9));
    assert!(r.record_heartbeat(T, claim("s", 1, LifeStage::Ready, 8)).is_none());
    assert_eq!(stage(&r, "s"), Some(LifeStage::Draining));
    // Draining is final for the incarnation, whatever the sequence number.
    assert!(r.record_heartbeat(T, claim("s", 1, LifeStage::Ready, 12)).is_none());
    assert_eq!(stage(&r, "s"), Some(LifeStage::Draining));
}

#[test]
fn restarted_server_replaces() {
    let mut r = registry();
    r.record_heartbeat(T, claim("s", 100, LifeStage::Draining, 90));
    assert!(r.record_heartbeat(T, claim("s", 200, LifeStage::Ready, 1)).is_some());
    assert!(
        r.record_heartbeat(T, claim("s", 100, LifeStage::Ready, 95)).is_none(),
        "an earlier incarnation"
    );
    assert_eq!(stage(&r, "s"), Some(LifeStage::Ready));
}

#[test]
fn unknown_server_departs() {
    let mut r = registry();
    let name = "s".parse().unwrap();
    assert!(r.record_departure(T, name, None, 500).is_some());
    assert!(r.record_heartbeat(T, claim("s", 400, LifeStage::Ready, 3)).is_none());
    assert!(r.record_heartbeat(T, claim("s", 600, LifeStage::Ready, 1)).is_some());
}

#[test]
fn earlier_incarnation_departs() {
    let mut r = registry();
    r.record_heartbeat(T, claim("s", 200, LifeStage::Ready, 1));
    assert!(r.record_departure(T, "s".parse().unwrap(), Some(Incarnation(100)), 0).is_none());
    assert_eq!(stage(&r, "s"), Some(LifeStage::Ready));
}

#[test]
fn lease_expires() {
    let mut r = registry();
    r.record_heartbeat(T, claim("s", 1, LifeStage::Ready, 1));
    r.record_heartbeat(T, claim("d", 1, LifeStage::Draining, 1));
    assert!(r.expire(T + Duration::from_secs(5)).is_empty());
    // A reordered heartbeat of the same incarnation renews the lease.
    r.record_heartbeat(T + Duration::from_secs(5), claim("s", 1, LifeStage::Ready, 1));
    assert!(r.expire(T + Duration::from_secs(8)).is_empty());
    let gone = r.expire(T + Duration::from_secs(12));
    assert_eq!(gone, vec![FeedChange::Lapsed("s".parse().unwrap())]);
    assert_eq!(stage(&r, "d"), Some(LifeStage::Draining), "departures are kept longer");
}

#[test]
fn only_peer_departures_recorded() {
    let mut r = registry();
    let ready = claim("s", 1, LifeStage::Ready, 1);
    assert!(r.record_peer_departure(T, ready).is_none());
    assert_eq!(r.claims(), Vec::<ServerClaim>::new());
    assert!(r.record_peer_departure(T, claim("s", 1, LifeStage::Gone, 2)).is_some());
    assert_eq!(r.departures().len(), 1);
}
