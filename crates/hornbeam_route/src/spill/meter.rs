//! Quantile of the excess latencies of a set of servers, or of other positive samples.
//!
//! Load pattern: servers pause for 120 ms each 3 s. A mean over their latencies is raised by every
//! pause as much as by a queue, and the zone looks short of capacity each time. A quantile is not
//! affected by the few attempts that meet a pause. Replayed in `tests/zone_spill`.

use std::time::Duration;

use hornbeam_model::Mono;

/// Quantile that is tracked.
const QUANTILE: f64 = 0.75;
/// Relative change with each sample, weighted by the quantile.
const STEP: f64 = 0.12;
/// Samples of which the mean is taken first.
const FIRST_SAMPLES: u32 = 6;
/// Age at which a sample counts as half of one.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Sum of the weights of the samples from which the value is known. The few hedges that a service
/// sends to another zone do not show how long its requests take there now.
const MIN_WEIGHT: f64 = 3.0;
/// Least value, so that relative changes have an effect.
const MIN_VALUE: f64 = 1e-5;

/// Tracks a quantile of positive samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuantileMeter {
    value: f64,
    samples: u32,
    weight: f64,
    at: Mono,
}

impl QuantileMeter {
    /// Records a sample.
    pub fn record(&mut self, now: Mono, sample: f64) {
        self.weight = self.weight_at(now);
        if self.weight < MIN_WEIGHT / 2.0 && self.samples > FIRST_SAMPLES {
            self.samples = 0;
        }
        self.weight += 1.0;
        self.at = now;
        self.samples = self.samples.saturating_add(1);
        let sample = sample.max(MIN_VALUE);
        if self.samples <= FIRST_SAMPLES {
            self.value += (sample - self.value) / f64::from(self.samples);
        } else if sample > self.value {
            self.value *= 1.0 + STEP * QUANTILE;
        } else {
            self.value *= 1.0 - STEP * (1.0 - QUANTILE);
        }
    }

    /// Returns the quantile if there are enough recent samples.
    pub fn known(&self, now: Mono) -> Option<f64> {
        (self.weight_at(now) >= MIN_WEIGHT).then_some(self.value)
    }

    fn weight_at(&self, now: Mono) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.weight * 0.5_f64.powf(half_lives)
    }
}
