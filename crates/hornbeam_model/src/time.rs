//! Monotonic time of the state machines.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Point in monotonic time, in microseconds since the start of the process (or scenario).
///
/// It is never read from the wall clock, so a clock adjustment cannot shorten a lease or a
/// deadline.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Mono(pub u64);

impl Mono {
    /// Latest representable time.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the time `ms` milliseconds after the start.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the whole milliseconds since the start.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the duration from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `d` before `self`, or the start if that would be earlier.
    pub fn before(self, d: Duration) -> Self {
        Self(self.0.saturating_sub(micros(d)))
    }
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

impl Add<Duration> for Mono {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        Self(self.0.saturating_add(micros(d)))
    }
}

impl Sub<Mono> for Mono {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for Mono {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}ms", self.0 / 1_000, self.0 % 1_000)
    }
}
