//! Mean rate of events, with a weight that halves with age.

use std::time::Duration;

use hornbeam_model::{Mono, RequestRate};

/// Time in which the weight of a request in the rate falls to one half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Measures the rate of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateMeter {
    /// Requests weighted by age, as of `updated_at`.
    weighted: f64,
    updated_at: Mono,
}

impl RateMeter {
    /// Records a request.
    pub fn record(&mut self, now: Mono) {
        self.record_part(now, 1.0);
    }

    /// Records a part of a request, between 0 and 1.
    pub fn record_part(&mut self, now: Mono, part: f64) {
        self.weighted = self.weighted_at(now) + part;
        self.updated_at = now;
    }

    /// Returns the rate of the requests.
    pub fn rate(&self, now: Mono) -> RequestRate {
        let per_second = self.weighted_at(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        RequestRate::from_per_second(per_second).unwrap_or_default()
    }

    fn weighted_at(&self, now: Mono) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.weighted * 0.5_f64.powf(age)
    }
}
