//! Detection of an isolated entry.

use hornbeam_discovery::{FeedCounts, Isolation, ServerReach};

fn feeds(prompt: usize) -> FeedCounts {
    FeedCounts { fresh: 4, prompt, recent: prompt, known: 4 }
}

fn servers(unreachable: usize, usable: usize) -> ServerReach {
    ServerReach { usable, unreachable, other_zones_lost: false }
}

#[test]
fn needs_both_signs() {
    let mut isolation = Isolation::default();
    assert!(
        !isolation.update(feeds(0), servers(2, 45)),
        "all controllers are down, the servers respond"
    );
    assert!(
        !isolation.update(feeds(3), servers(40, 45)),
        "many servers are down, the feeds are fresh"
    );
    assert!(isolation.update(feeds(0), servers(40, 45)));
    assert!(isolation.is_isolated());
}

#[test]
fn zone_with_a_controller() {
    let mut isolation = Isolation::default();
    assert!(
        isolation.update(feeds(1), servers(44, 45)),
        "only the feed of the controller in its own zone is fresh"
    );
    assert!(
        !isolation.update(feeds(1), servers(0, 45)),
        "without callers no server is tried or ejected"
    );
    assert!(isolation.is_isolated());
    assert!(isolation.update(feeds(3), servers(44, 45)));
    assert!(!isolation.is_isolated());
}

#[test]
fn zone_with_servers() {
    let mut isolation = Isolation::default();
    assert!(!isolation.update(feeds(1), servers(10, 50)), "a fifth of the servers has crashed");
    assert!(
        isolation.update(feeds(1), servers(20, 50)),
        "only the servers of its own zone are reachable"
    );
}

#[test]
fn no_feeds_yet() {
    let mut isolation = Isolation::default();
    assert!(!isolation.update(FeedCounts::default(), servers(0, 0)));
}

#[test]
fn other_zones_lost() {
    let mut isolation = Isolation::default();
    let lost = ServerReach { usable: 60, unreachable: 40, other_zones_lost: true };
    let prompt = FeedCounts { fresh: 6, prompt: 6, recent: 3, known: 6 };
    assert!(!isolation.update(prompt, lost), "half of the controllers were heard just now");
    let silent = FeedCounts { recent: 2, ..prompt };
    assert!(isolation.update(silent, lost), "before the feeds count as lost");
    assert!(!isolation.update(FeedCounts { prompt: 1, recent: 0, ..prompt }, lost));
    assert!(isolation.update(prompt, lost), "heard again");
    assert!(!isolation.is_isolated());
}
