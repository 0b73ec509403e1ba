//! Monotonic and wall-clock time of one process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hornbeam_model::Mono;

/// Monotonic clock that starts at zero when it is created.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that reads zero now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> Mono {
        Mono(self.origin.elapsed().as_micros() as u64)
    }

    /// Converts `at` to a Tokio instant, at most one day from now so that any value is
    /// representable.
    pub fn instant(&self, at: Mono) -> tokio::time::Instant {
        let max_ahead = Duration::from_secs(86_400);
        let after = at.since(Mono::default()).min(self.origin.elapsed() + max_ahead);
        tokio::time::Instant::from_std(self.origin + after)
    }
}

/// Returns the total time for which this machine was suspended since it booted: the difference
/// between its boot-time and monotonic clocks.
pub fn suspended_time() -> Duration {
    let read = |id| {
        let t = rustix::time::clock_gettime(id);
        Duration::new(t.tv_sec.max(0) as u64, t.tv_nsec.max(0) as u32)
    };
    read(rustix::time::ClockId::Boottime).saturating_sub(read(rustix::time::ClockId::Monotonic))
}

/// Returns the wall-clock time in microseconds since the Unix epoch (1970), or 0 if the clock is
/// set before it.
pub fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch (1970), or 0 if the clock is
/// set before it.
pub fn unix_ms() -> i64 {
    (unix_us() / 1_000) as i64
}
