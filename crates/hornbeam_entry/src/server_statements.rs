//! Parses what servers state about their load and their warm-up in response headers.
//!
//! The load is `running,waiting,slots[,slowness_percent]`: whole numbers, of which further ones are ignored,
//! so that servers may state more later.

use std::time::Duration;

use hornbeam_route::{LoadNotice, StatedLoad};

use crate::numbers::whole;

/// Highest number of requests or slots that a statement can contain; more is an error of the server.
const MAX_REQUESTS: u32 = 1_000_000;
/// Highest slowness that a statement can contain, in percent.
const MAX_SLOWNESS_PERCENT: u32 = 1_000_000;
/// Slowness of a statement without one, in percent.
const USUAL_SLOWNESS_PERCENT: u32 = 100;

/// Parses the load that a server states.
pub fn parse_load(value: &[u8]) -> LoadNotice {
    read_load(value).map_or(LoadNotice::Unreadable, LoadNotice::Stated)
}

fn read_load(value: &[u8]) -> Option<StatedLoad> {
    let number = |n: &[u8]| whole(n).and_then(|n| u32::try_from(n).ok());
    let mut numbers = value.split(|b| *b == b',').map(number);
    let mut next = || numbers.next()?.filter(|n| *n <= MAX_REQUESTS);
    let (running, waiting) = (next()?, next()?);
    let slots = next().filter(|slots| *slots > 0)?;
    let slowness_percent = match numbers.next() {
        Some(slowness) => slowness.filter(|p| (1..=MAX_SLOWNESS_PERCENT).contains(p))?,
        None => USUAL_SLOWNESS_PERCENT,
    };
    Some(StatedLoad { running, waiting, slots, slowness_percent })
}

/// Parses the remaining warm-up that a server states; one that cannot be read states nothing.
pub fn parse_warm_up(value: &[u8]) -> Option<Duration> {
    whole(value).map(Duration::from_millis)
}
