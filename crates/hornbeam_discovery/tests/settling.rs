//! Whether an entry that has started knows what the controllers know.

use std::time::Duration;

use hornbeam_discovery::{Feeds, Settling};

const MS: Duration = Duration::from_millis(1);

#[test]
fn waits_for_every_controller() {
    let mut settling = Settling::default();
    assert!(!settling.update(Feeds { fresh: 0, known: 3 }, true, 100 * MS));
    assert!(!settling.update(Feeds { fresh: 2, known: 3 }, true, 200 * MS));
    assert!(settling.update(Feeds { fresh: 3, known: 3 }, true, 300 * MS));
    assert!(settling.is_settled());
}

#[test]
fn waits_for_the_table() {
    let mut settling = Settling::default();
    assert!(!settling.update(Feeds { fresh: 3, known: 3 }, false, 5_000 * MS));
    assert!(settling.update(Feeds { fresh: 3, known: 3 }, true, 5_100 * MS));
}

#[test]
fn lost_controller_is_not_waited_for() {
    let mut settling = Settling::default();
    assert!(!settling.update(Feeds { fresh: 2, known: 3 }, true, 2_900 * MS));
    assert!(settling.update(Feeds { fresh: 2, known: 3 }, true, 3_000 * MS));
}

#[test]
fn stays_settled() {
    let mut settling = Settling::default();
    settling.update(Feeds { fresh: 3, known: 3 }, true, 300 * MS);
    assert!(!settling.update(Feeds { fresh: 1, known: 3 }, true, 400 * MS), "it is told once");
    assert!(settling.is_settled());
}
