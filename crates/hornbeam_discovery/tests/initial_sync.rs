//! Whether an entry that has started knows what the controllers know.

use std::time::Duration;

use hornbeam_discovery::{FeedCounts, InitialSync};

const MS: Duration = Duration::from_millis(1);

#[test]
fn waits_for_every_controller() {
    let mut settling = InitialSync::default();
    assert!(!settling.update(FeedCounts { fresh: 0, known: 3 }, true, 100 * MS));
    assert!(!settling.update(FeedCounts { fresh: 2, known: 3 }, true, 200 * MS));
    assert!(settling.update(FeedCounts { fresh: 3, known: 3 }, true, 300 * MS));
    assert!(settling.is_complete());
}

#[test]
fn waits_for_the_table() {
    let mut settling = InitialSync::default();
    assert!(!settling.update(FeedCounts { fresh: 3, known: 3 }, false, 5_000 * MS));
    assert!(settling.update(FeedCounts { fresh: 3, known: 3 }, true, 5_100 * MS));
}

#[test]
fn lost_controller_is_not_waited_for() {
    let mut settling = InitialSync::default();
    assert!(!settling.update(FeedCounts { fresh: 2, known: 3 }, true, 2_900 * MS));
    assert!(settling.update(FeedCounts { fresh: 2, known: 3 }, true, 3_000 * MS));
}

#[test]
fn stays_settled() {
    let mut settling = InitialSync::default();
    settling.update(FeedCounts { fresh: 3, known: 3 }, true, 300 * MS);
    assert!(!settling.update(FeedCounts { fresh: 1, known: 3 }, true, 400 * MS), "it is told once");
    assert!(settling.is_complete());
}
