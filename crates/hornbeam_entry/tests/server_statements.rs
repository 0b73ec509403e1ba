//! What servers state about load and warm-up in response headers.

use std::time::Duration;

use hornbeam_entry::server_statements::{parse_load, parse_warm_up};
use hornbeam_route::{LoadNotice, StatedLoad};
use yare::parameterized;

/// Guards against a statement that is read as another one.
#[parameterized(
    complete = { "2,5,4,180", [2, 5, 4, 180] },
    without_slowness = { "0, 0, 2", [0, 0, 2, 100] },
    with_more = { "1,0,2,100,whatever", [1, 0, 2, 100] },
)]
fn readable(text: &str, numbers: [u32; 4]) {
    let [running, waiting, slots, slowness_percent] = numbers;
    let load = StatedLoad { running, waiting, slots, slowness_percent };
    assert_eq!(parse_load(text.as_bytes()), LoadNotice::Stated(load));
}

/// Guards against a broken statement that moves requests.
#[parameterized(
    empty = { "" },
    short = { "1,2" },
    no_slots = { "1,2,0" },
    negative = { "-1,2,2" },
    huge = { "4294967295,0,2" },
    text = { "1,2,2,slow" },
    no_slowness = { "1,2,2,0" },
)]
fn unreadable(text: &str) {
    assert_eq!(parse_load(text.as_bytes()), LoadNotice::Unreadable);
}

#[test]
fn warm_up() {
    assert_eq!(parse_warm_up(b" 1500"), Some(Duration::from_millis(1_500)));
    assert_eq!(parse_warm_up(b"soon"), None);
}
