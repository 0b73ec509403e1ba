//! Initial synchronization of an entry with the controllers.

use std::time::Duration;

use hornbeam_discovery::{FeedCounts, InitialSync};

const MS: Duration = Duration::from_millis(1);

fn feeds(fresh: usize) -> FeedCounts {
    FeedCounts { fresh, prompt: fresh, recent: fresh, known: 3 }
}

#[test]
fn waits_for_controllers() {
    let mut sync = InitialSync::default();
    assert!(!sync.update(feeds(0), true, 100 * MS));
    assert!(!sync.update(feeds(2), true, 200 * MS));
    assert!(sync.update(feeds(3), true, 300 * MS));
    assert!(sync.is_complete());
}

#[test]
fn waits_for_table() {
    let mut sync = InitialSync::default();
    assert!(!sync.update(feeds(3), false, 5_000 * MS));
    assert!(sync.update(feeds(3), true, 5_100 * MS));
}

#[test]
fn lost_controller_times_out() {
    let mut sync = InitialSync::default();
    assert!(!sync.update(feeds(2), true, 2_900 * MS));
    assert!(sync.update(feeds(2), true, 3_000 * MS));
}

#[test]
fn stays_complete() {
    let mut sync = InitialSync::default();
    sync.update(feeds(3), true, 300 * MS);
    assert!(!sync.update(feeds(1), true, 400 * MS), "completion is reported once");
    assert!(sync.is_complete());
}
