//! Round trips to the zones, as measured by this entry, and the nearest zones.
//!
//! Load pattern: a zone has no copies of most shards, and the platform does not state which zone is
//! near. Replayed in `tests/zone_spill`.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

/// Increase of the shortest known round trip with each measurement, so that a longer path replaces
/// it in the end.
const FORGET_RATIO: f64 = 1.01;
/// Difference of the round trips up to which two zones are equally near: measurements by a process
/// with a part of a core differ by as much.
const EQUAL_WITHIN: Duration = Duration::from_micros(400);

/// Shortest recent round trip to each zone.
#[derive(Debug, Default)]
pub struct Distances {
    round_trips: IndexMap<SmolStr, Duration>,
}

impl Distances {
    /// Records the time in which a connection to an instance in `zone` was opened.
    pub fn record(&mut self, zone: &SmolStr, round_trip: Duration) {
        let shortest = self.round_trips.entry(zone.clone()).or_insert(round_trip);
        *shortest = shortest.mul_f64(FORGET_RATIO).min(round_trip);
    }

    /// Returns the round trip to a zone, if it was measured.
    pub fn round_trip(&self, zone: &SmolStr) -> Option<Duration> {
        self.round_trips.get(zone).copied()
    }

    /// Returns the nearest of these zones, with those that are as near or have not been measured.
    pub fn nearest<'a>(&self, zones: impl Iterator<Item = &'a SmolStr> + Clone) -> Vec<SmolStr> {
        let shortest = zones.clone().filter_map(|z| self.round_trip(z)).min();
        let is_near = |zone: &SmolStr| match (shortest, self.round_trip(zone)) {
            (Some(shortest), Some(trip)) => trip <= shortest + EQUAL_WITHIN,
            _ => true,
        };
        zones.filter(|z| is_near(z)).cloned().collect()
    }
}
