//! Whether an entry is cut off.

use hornbeam_discovery::{FeedCounts, Isolation};

fn feeds(fresh: usize) -> FeedCounts {
    FeedCounts { fresh, known: 4 }
}

#[test]
fn needs_both_signs() {
    let mut reach = Isolation::default();
    assert!(!reach.update(feeds(0), 2, 45), "all controllers are down, servers answer");
    assert!(!reach.update(feeds(3), 40, 45), "many servers are down, controllers are heard");
    assert!(reach.update(feeds(0), 40, 45));
    assert!(reach.is_isolated());
}

#[test]
fn zone_with_a_controller() {
    let mut reach = Isolation::default();
    assert!(reach.update(feeds(1), 44, 45), "only the controller of the own zone is heard");
    assert!(!reach.update(feeds(1), 0, 45), "nobody tries the servers meanwhile");
    assert!(reach.is_isolated());
    assert!(reach.update(feeds(3), 44, 45));
    assert!(!reach.is_isolated());
}

#[test]
fn zone_with_servers() {
    let mut reach = Isolation::default();
    assert!(!reach.update(feeds(1), 10, 50), "a fifth of the servers has crashed");
    assert!(reach.update(feeds(1), 20, 50), "the servers of the own zone are reached");
}

#[test]
fn nothing_known_yet() {
    let mut reach = Isolation::default();
    assert!(!reach.update(FeedCounts::default(), 0, 0));
}
