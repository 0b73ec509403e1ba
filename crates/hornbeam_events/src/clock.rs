//! Hybrid logical clock that orders the events of all instances.
//!
//! Source: Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One reading of a hybrid logical clock, ordered by time, then by counter.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Hlc {
    /// Microseconds since 1970-01-01 UTC: the wall time, or a later time if this clock or a peer's
    /// was ahead.
    pub wall_us: u64,
    /// Orders readings with equal times.
    pub counter: u32,
}

impl fmt::Display for Hlc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_us, self.counter)
    }
}

/// Maximum lead over the local wall time up to which a peer's reading is adopted, in microseconds.
pub const MAX_DRIFT_US: u64 = 60_000_000;

/// Hybrid logical clock: its readings strictly increase and exceed all readings adopted from peers.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: Hlc,
}

impl HybridClock {
    /// Advances the clock and returns the reading for a local event at wall time `wall_us`.
    pub fn tick(&mut self, wall_us: u64) -> Hlc {
        if wall_us > self.last.wall_us {
            self.last = Hlc { wall_us, counter: 0 };
        } else {
            self.last.counter += 1;
        }
        self.last
    }

    /// Adopts a peer's reading if it is later than the latest one. A reading that is more than
    /// [`MAX_DRIFT_US`] ahead of the wall time `wall_us` is ignored.
    pub fn observe(&mut self, peer: Hlc, wall_us: u64) {
        if peer.wall_us > wall_us.saturating_add(MAX_DRIFT_US) {
            return;
        }
        self.last = self.last.max(peer);
    }

    /// Returns the latest reading, whether local or adopted from a peer.
    pub fn last(&self) -> Hlc {
        self.last
    }
}
