//! Rate at which the callers of a team ask at this entry.

use std::time::Duration;

use hornbeam_model::{Mono, RequestRate};

/// Time in which the weight of a request falls to one half. Shorter than for the demand of a server,
/// because a burst uses up a quota within seconds.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Mean rate of requests, with a weight that halves with age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AskedMeter {
    weighted: f64,
    updated_at: Mono,
}

impl AskedMeter {
    /// Records a request.
    pub fn record(&mut self, now: Mono) {
        self.weighted = self.weighted_at(now) + 1.0;
        self.updated_at = now;
    }

    /// Returns the requests per second.
    pub fn rate(&self, now: Mono) -> f64 {
        self.weighted_at(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// Returns the rate as it is reported.
    pub fn reported(&self, now: Mono) -> RequestRate {
        RequestRate::from_per_second(self.rate(now)).unwrap_or_default()
    }

    fn weighted_at(&self, now: Mono) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.weighted * 0.5_f64.powf(age)
    }
}
