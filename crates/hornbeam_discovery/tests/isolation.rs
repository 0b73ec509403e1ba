//! Detection of an isolated entry.

use hornbeam_discovery::{FeedCounts, Isolation};

fn feeds(prompt: usize) -> FeedCounts {
    FeedCounts { fresh: 4, prompt, known: 4 }
}

#[test]
fn needs_both_signs() {
    let mut isolation = Isolation::default();
    assert!(!isolation.update(feeds(0), 2, 45), "all controllers are down, the servers respond");
    assert!(!isolation.update(feeds(3), 40, 45), "many servers are down, the feeds are fresh");
    assert!(isolation.update(feeds(0), 40, 45));
    assert!(isolation.is_isolated());
}

#[test]
fn zone_with_a_controller() {
    let mut isolation = Isolation::default();
    assert!(
        isolation.update(feeds(1), 44, 45),
        "only the feed of the controller in its own zone is fresh"
    );
    assert!(!isolation.update(feeds(1), 0, 45), "without callers no server is tried or ejected");
    assert!(isolation.is_isolated());
    assert!(isolation.update(feeds(3), 44, 45));
    assert!(!isolation.is_isolated());
}

#[test]
fn zone_with_servers() {
    let mut isolation = Isolation::default();
    assert!(!isolation.update(feeds(1), 10, 50), "a fifth of the servers has crashed");
    assert!(isolation.update(feeds(1), 20, 50), "only the servers of its own zone are reachable");
}

#[test]
fn no_feeds_yet() {
    let mut isolation = Isolation::default();
    assert!(!isolation.update(FeedCounts::default(), 0, 0));
}
