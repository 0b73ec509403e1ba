//! Feeds of several controllers, merged at one entry.

mod common;

use std::time::Duration;

use common::claim;
use hornbeam_discovery::{Directory, ServerUpdate};
use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::discovery::{FeedChange, LifeStage};

const T: Mono = Mono::from_millis(1_000);

fn feed(n: u8) -> InstanceId {
    format!("control-{n}").parse().unwrap()
}

fn is_usable(updates: &[ServerUpdate]) -> bool {
    matches!(updates, [ServerUpdate::Usable { .. }])
}

fn is_unusable(updates: &[ServerUpdate]) -> bool {
    matches!(updates, [ServerUpdate::Unusable { .. }])
}

#[test]
fn departure_beats_stale_feed() {
    let mut d = Directory::default();
    let ready = claim("s", 1, LifeStage::Ready, 7);
    assert!(is_usable(&d.replace_feed(T, &feed(1), vec![ready.clone()])));
    let drain = FeedChange::Claim(claim("s", 1, LifeStage::Draining, 9));
    assert!(is_unusable(&d.update_feed(T, &feed(2), vec![drain])));
    // A controller that was suspended meanwhile claims the server again, and the departure expires
    // at the other controller.
    assert!(d.replace_feed(T, &feed(1), vec![ready]).is_empty());
    let lapsed = FeedChange::Lapsed("s".parse().unwrap());
    assert!(d.update_feed(T, &feed(2), vec![lapsed]).is_empty());
    assert_eq!(d.usable(), 0);
}

#[test]
fn server_moves_between_controllers() {
    let mut d = Directory::default();
    d.replace_feed(T, &feed(1), vec![claim("s", 1, LifeStage::Ready, 7)]);
    d.replace_feed(T, &feed(2), vec![claim("s", 1, LifeStage::Ready, 9)]);
    let lapsed = FeedChange::Lapsed("s".parse().unwrap());
    assert!(d.update_feed(T, &feed(1), vec![lapsed.clone()]).is_empty());
    assert!(is_unusable(&d.update_feed(T, &feed(2), vec![lapsed])));
}

#[test]
fn restarted_server_replaces() {
    let mut d = Directory::default();
    d.replace_feed(T, &feed(1), vec![claim("s", 1, LifeStage::Gone, u64::MAX)]);
    let restarted = FeedChange::Claim(claim("s", 2, LifeStage::Ready, 1));
    assert!(is_usable(&d.update_feed(T, &feed(2), vec![restarted])));
}

#[test]
fn isolated_entry_keeps_servers() {
    let mut d = Directory::default();
    d.replace_feed(T, &feed(1), vec![claim("s", 1, LifeStage::Ready, 7)]);
    let later = T + Duration::from_secs(30);
    assert!(d.expire(later).is_empty(), "no feed is fresh");
    d.replace_feed(later, &feed(2), Vec::new());
    assert!(is_unusable(&d.expire(later)), "the fresh feed does not contain the server");
}

#[test]
fn restarted_controller_loses_state() {
    let mut d = Directory::default();
    d.replace_feed(T, &feed(1), vec![claim("s", 1, LifeStage::Ready, 7)]);
    assert!(d.replace_feed(T, &feed(1), Vec::new()).is_empty(), "its servers still run");
    let soon = T + Duration::from_secs(1);
    d.mark_feed_active(soon, &feed(1));
    assert!(d.expire(soon).is_empty());
    let later = T + Duration::from_secs(7);
    d.mark_feed_active(later, &feed(1));
    assert!(is_unusable(&d.expire(later)), "no heartbeat was received since");
}
