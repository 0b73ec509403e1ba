//! Servers that a controller recalls from its disk after a restart.

mod common;

use std::time::Duration;

use common::claim;
use hornbeam_discovery::{Registry, RegistryParams, SavedServers};
use hornbeam_model::{Incarnation, Mono};
use hornbeam_protocol::discovery::{FeedChange, LifeStage, ServerClaim};

const T: Mono = Mono::from_millis(1_000);
const LEASE: Duration = Duration::from_secs(3);
const SAVED_AT: u64 = 1_700_000_000_000;

fn recalled(claims: Vec<ServerClaim>) -> Registry {
    let mut registry = Registry::new(RegistryParams { lease: LEASE });
    let saved = SavedServers { unix_ms: SAVED_AT, claims };
    registry.recall(T, saved.recent(SAVED_AT + 1_500));
    registry
}

#[test]
fn known_before_heartbeat() {
    let registry = recalled(vec![claim("s", 1, LifeStage::Ready, 9)]);
    assert_eq!(registry.claims().len(), 1);
}

#[test]
fn silent_server_lapses() {
    let mut registry = recalled(vec![claim("s", 1, LifeStage::Ready, 9)]);
    assert!(registry.expire(T + LEASE / 2).is_empty());
    let lapsed = registry.expire(T + LEASE);
    assert_eq!(lapsed, [FeedChange::Lapsed("s".parse().unwrap())]);
}

#[test]
fn departure_stays_final() {
    let mut registry = recalled(vec![claim("s", 1, LifeStage::Draining, 9)]);
    assert!(registry.record_heartbeat(T, claim("s", 1, LifeStage::Ready, 10)).is_none());
    let restarted = claim("s", 2, LifeStage::Ready, 1);
    assert!(registry.record_heartbeat(T, restarted).is_some(), "a later start is another server");
    let server = "s".parse().unwrap();
    assert_eq!(registry.claim(&server).unwrap().order.incarnation, Incarnation(2));
}

#[test]
fn old_file_ignored() {
    let claims = vec![claim("s", 1, LifeStage::Ready, 9)];
    let saved = SavedServers { unix_ms: SAVED_AT, claims };
    assert!(saved.clone().recent(SAVED_AT + 60_000).is_empty());
    assert_eq!(saved.clone().recent(SAVED_AT + 59_000).len(), 1);
    // The time of day was set back by two seconds.
    assert_eq!(saved.recent(SAVED_AT - 2_000).len(), 1);
}
