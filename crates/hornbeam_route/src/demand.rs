//! Request rate of this entry and its part of that of all entries.
//!
//! Load pattern: the balancer hashes callers and zones differ, so one entry may get several times
//! the requests of another. With equal parts of the servers it refuses requests for load while the
//! others have capacity left. Replayed in `tests/demand`.

use hornbeam_model::{Mono, RequestRate};

use crate::rate_meter::RateMeter;

/// Request rate of one entry, and the latest one reported for all entries together.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    own: RateMeter,
    /// Rate of all entries; zero until it is received.
    fleet: RequestRate,
}

impl Demand {
    /// Records the part, between 0 and 1, of a caller's request that this entry sends to servers.
    /// The parts of a request add up to 1 over all entries.
    pub fn record(&mut self, now: Mono, part: f64) {
        self.own.record_part(now, part);
    }

    /// Sets the rate of all entries together.
    pub fn set_fleet(&mut self, rate: RequestRate) {
        self.fleet = rate;
    }

    /// Returns the rate of this entry.
    pub fn rate(&self, now: Mono) -> RequestRate {
        self.own.rate(now)
    }

    /// Returns this entry's part of all requests, between 0 and 1. An equal part of `entries` until
    /// the rate of all entries is known.
    pub fn part(&self, now: Mono, entries: u32) -> f64 {
        if self.fleet.0 == 0 {
            return 1.0 / f64::from(entries.max(1));
        }
        (self.rate(now).0 as f64 / self.fleet.0 as f64).min(1.0)
    }
}
