//! How far the requests in a window may exceed a quota.

use std::time::Duration;

/// Part of the permitted excess that is used on purpose; the rest covers late reports.
const USED_PART: f64 = 0.3;

/// Bounds on the requests of a team that run within a window, summed over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window.
    pub window: Duration,
    /// Part by which rate and burst may be exceeded, from 0 to 1.
    pub overshoot: f64,
    /// Requests by which they may be exceeded in addition.
    pub tolerance: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overshoot: 0.1, tolerance: 20.0 }
    }
}

impl QuotaBounds {
    /// Returns the requests by which a quota is exceeded on purpose, so that requests are not refused
    /// because of reports that are late.
    pub fn margin(&self, rate: f64, burst: f64) -> f64 {
        let within = rate * self.window.as_secs_f64() + burst;
        (within * self.overshoot + self.tolerance) * USED_PART
    }
}
