//! Usual value of a measurement, which follows it down at once and up slowly.
//!
//! Load pattern: a burst of 7 s raises the latencies of a zone. A baseline that rises as fast takes
//! the burst for the usual state, and nothing leaves the zone. Replayed in `tests/zone_spill`.

use std::time::Duration;

use hornbeam_model::Mono;

/// Time between two updates.
const INTERVAL: Duration = Duration::from_millis(150);
/// Weight of a value below the baseline.
const FALL_WEIGHT: f64 = 0.2;
/// Weight of a value above the baseline: halfway in about a minute.
const RISE_WEIGHT: f64 = 0.002;

/// The usual value of a measurement.
#[derive(Clone, Copy, Debug, Default)]
pub struct Baseline {
    value: Option<f64>,
    updated_at: Mono,
}

impl Baseline {
    /// Updates the usual value with the current one, at most once in an interval.
    pub fn update(&mut self, now: Mono, current: f64) {
        let Some(usual) = self.value else {
            self.value = Some(current);
            return;
        };
        if now.since(self.updated_at) < INTERVAL {
            return;
        }
        self.updated_at = now;
        let weight = if current < usual { FALL_WEIGHT } else { RISE_WEIGHT };
        self.value = Some(usual + (current - usual) * weight);
    }

    /// Returns the usual value, if there was a value.
    pub fn get(&self) -> Option<f64> {
        self.value
    }
}
