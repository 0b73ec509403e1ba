//! Remaining warm-ups in heartbeats, up to the entries.

mod common;

use std::time::Duration;

use common::claim;
use hornbeam_discovery::{Directory, Registry, RegistryParams};
use hornbeam_model::Mono;
use hornbeam_protocol::discovery::{FeedChange, LifeStage, ServerClaim};

const T: Mono = Mono::from_millis(1_000);

fn cold(seq: u64, warm_up_ms: u32) -> ServerClaim {
    let mut claim = claim("s", 1, LifeStage::Ready, seq);
    claim.info.as_mut().unwrap().warm_up_ms = warm_up_ms;
    claim
}

/// Guards against a server that becomes cold again, or for longer, while entries believe that it is warm.
#[test]
fn starts_again() {
    let mut registry = Registry::new(RegistryParams { lease: Duration::from_secs(6) });
    let mut directory = Directory::default();
    let controller = "c1".parse().unwrap();
    let heartbeats = [(0, true), (9_000, true), (6_000, false), (9_000, true), (3_000, false)];
    let ends = [(0, true), (0, false), (500, true)];
    for (seq, (left, is_published)) in heartbeats.into_iter().chain(ends).enumerate() {
        let change = registry.record_heartbeat(T, cold(seq as u64 + 1, left));
        let changes: Vec<FeedChange> = change.into_iter().collect();
        let updates = directory.update_feed(T, &controller, changes);
        assert_eq!(updates.len(), usize::from(is_published), "heartbeat {seq}");
    }
}
