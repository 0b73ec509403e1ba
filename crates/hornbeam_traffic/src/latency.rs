//! Distribution of recent latencies, and the ratio of recent attempts that were late.

use std::time::Duration;

use hdrhistogram::Histogram;
use hornbeam_model::Mono;

/// Age at which the older half of the window is discarded.
const ROTATION_INTERVAL: Duration = Duration::from_secs(10);
/// Samples in the newer half at which the older half is discarded early.
const MAX_HALF_SAMPLES: u64 = 4_096;
/// Samples between two computations of the cached values.
const REFRESH_SAMPLES: u64 = 64;
/// Samples needed before the quantile and the median are available.
const MIN_SAMPLES: u64 = 20;
/// Quantile of the latencies of attempts that found an idle server, unless there are none.
const LOW_QUANTILE: f64 = 0.1;
/// Upper bound of the histograms; longer latencies count as this one.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Latencies of the last 10 to 20 seconds, with one quantile and the median cached.
///
/// Under load the window is shorter, see `MAX_HALF_SAMPLES`. Without new samples the cached
/// values stay.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    quantile: f64,
    recent: Histogram<u32>,
    older: Histogram<u32>,
    rotated_at: Mono,
    /// Samples since the cached values were computed.
    samples_since_refresh: u64,
    cached: Option<Cached>,
}

#[derive(Clone, Copy, Debug)]
struct Cached {
    quantile: Duration,
    median: Duration,
    low: Duration,
}

fn empty_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("the bounds are valid constants")
}

impl LatencyWindow {
    /// Creates an empty window that caches `quantile` (0 to 1).
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile,
            recent: empty_histogram(),
            older: empty_histogram(),
            rotated_at: Mono::default(),
            samples_since_refresh: 0,
            cached: None,
        }
    }

    /// Changes the cached quantile (0 to 1).
    pub fn set_quantile(&mut self, quantile: f64) {
        if self.quantile == quantile {
            return;
        }
        self.quantile = quantile;
        self.refresh();
    }

    /// Adds one sample.
    pub fn record(&mut self, now: Mono, latency: Duration) {
        let expired = now.since(self.rotated_at) >= ROTATION_INTERVAL;
        if expired || self.recent.len() >= MAX_HALF_SAMPLES {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.reset();
            self.rotated_at = now;
        }
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.recent.saturating_record(us.max(1));
        self.samples_since_refresh += 1;
        if self.cached.is_none() || self.samples_since_refresh >= REFRESH_SAMPLES {
            self.refresh();
        }
    }

    /// Returns the cached quantile, or `None` until the window first holds 20 samples.
    pub fn quantile(&self) -> Option<Duration> {
        self.cached.map(|c| c.quantile)
    }

    /// Returns the cached median, or `None` until the window first holds 20 samples.
    pub fn median(&self) -> Option<Duration> {
        self.cached.map(|c| c.median)
    }

    /// Returns a latency with little or no queueing, or `None` until the window first holds 20
    /// samples.
    pub fn low(&self) -> Option<Duration> {
        self.cached.map(|c| c.low)
    }

    fn refresh(&mut self) {
        self.samples_since_refresh = 0;
        if self.recent.len() + self.older.len() < MIN_SAMPLES {
            return;
        }
        let mut all = self.recent.clone();
        all.add(&self.older).expect("both halves have the same bounds");
        self.cached = Some(Cached {
            quantile: Duration::from_micros(all.value_at_quantile(self.quantile)),
            median: Duration::from_micros(all.value_at_quantile(0.5)),
            low: Duration::from_micros(all.value_at_quantile(LOW_QUANTILE)),
        });
    }
}

/// Weight of one attempt in the moving average of [`LateRatio`].
const LATE_WEIGHT: f64 = 1.0 / 32.0;
/// Ratio of late attempts above which the whole service counts as slow instead of single servers.
const MAX_LATE_RATIO: f64 = 0.2;

/// Moving average of the ratio of attempts that were late enough for a hedge.
///
/// When many attempts are late at the same time, the whole service is slow: hedges would add load
/// without shortening any response time.
#[derive(Clone, Copy, Debug, Default)]
pub struct LateRatio {
    ratio: f64,
}

impl LateRatio {
    /// Adds one attempt: `late` if it outlasted the hedge delay, else it finished in time.
    pub fn record(&mut self, late: bool) {
        let value = if late { 1.0 } else { 0.0 };
        self.ratio += (value - self.ratio) * LATE_WEIGHT;
    }

    /// Returns true if so many attempts are late that hedges cannot help.
    pub fn all_slow(&self) -> bool {
        self.ratio > MAX_LATE_RATIO
    }
}
