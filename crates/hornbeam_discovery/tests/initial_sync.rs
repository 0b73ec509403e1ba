//! Initial synchronization of an entry with the controllers.

use std::time::Duration;

use hornbeam_discovery::{FeedCounts, InitialSync};

const MS: Duration = Duration::from_millis(1);

#[test]
fn waits_for_controllers() {
    let mut sync = InitialSync::default();
    assert!(!sync.update(FeedCounts { fresh: 0, known: 3 }, true, 100 * MS));
    assert!(!sync.update(FeedCounts { fresh: 2, known: 3 }, true, 200 * MS));
    assert!(sync.update(FeedCounts { fresh: 3, known: 3 }, true, 300 * MS));
    assert!(sync.is_complete());
}

#[test]
fn waits_for_table() {
    let mut sync = InitialSync::default();
    assert!(!sync.update(FeedCounts { fresh: 3, known: 3 }, false, 5_000 * MS));
    assert!(sync.update(FeedCounts { fresh: 3, known: 3 }, true, 5_100 * MS));
}

#[test]
fn lost_controller_times_out() {
    let mut sync = InitialSync::default();
    assert!(!sync.update(FeedCounts { fresh: 2, known: 3 }, true, 2_900 * MS));
    assert!(sync.update(FeedCounts { fresh: 2, known: 3 }, true, 3_000 * MS));
}

#[test]
fn stays_complete() {
    let mut sync = InitialSync::default();
    sync.update(FeedCounts { fresh: 3, known: 3 }, true, 300 * MS);
    assert!(
        !sync.update(FeedCounts { fresh: 1, known: 3 }, true, 400 * MS),
        "completion is reported once"
    );
    assert!(sync.is_complete());
}
