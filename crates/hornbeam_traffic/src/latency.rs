//! Recent latency distribution.

use std::time::Duration;

use hdrhistogram::Histogram;
use hornbeam_model::Mono;

/// Age at which the older half of the window is dropped.
const ROTATE_EVERY: Duration = Duration::from_secs(10);
/// Samples after which the older half is dropped early.
const ROTATE_SAMPLES: u64 = 4_096;
/// Samples between two computations of the quantile.
const REFRESH_SAMPLES: u64 = 64;
/// Samples needed before the quantile is used.
const MIN_SAMPLES: u64 = 20;
/// Longest latency told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Latencies of the last ten to twenty seconds, with one quantile and the median kept at hand.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    quantile: f64,
    recent: Histogram<u32>,
    older: Histogram<u32>,
    rotated: Mono,
    /// Samples since the cached values were computed.
    unread: u64,
    cached: Option<Cached>,
}

#[derive(Clone, Copy, Debug)]
struct Cached {
    quantile: Duration,
    median: Duration,
}

fn empty() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("the bounds are valid constants")
}

impl LatencyWindow {
    /// An empty window that keeps `quantile` (0 to 1) at hand.
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile,
            recent: empty(),
            older: empty(),
            rotated: Mono::default(),
            unread: 0,
            cached: None,
        }
    }

    /// Changes the quantile that is kept at hand.
    pub fn set_quantile(&mut self, quantile: f64) {
        if self.quantile == quantile {
            return;
        }
        self.quantile = quantile;
        self.refresh();
    }

    /// Adds one latency.
    pub fn record(&mut self, now: Mono, latency: Duration) {
        let aged = now.since(self.rotated) >= ROTATE_EVERY;
        if aged || self.recent.len() >= ROTATE_SAMPLES {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.reset();
            self.rotated = now;
        }
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.recent.saturating_record(us.max(1));
        self.unread += 1;
        if self.cached.is_none() || self.unread >= REFRESH_SAMPLES {
            self.refresh();
        }
    }

    /// The quantile, or nothing while there are too few samples.
    pub fn quantile(&self) -> Option<Duration> {
        self.cached.map(|c| c.quantile)
    }

    /// The median, or nothing while there are too few samples.
    pub fn median(&self) -> Option<Duration> {
        self.cached.map(|c| c.median)
    }

    fn refresh(&mut self) {
        self.unread = 0;
        if self.recent.len() + self.older.len() < MIN_SAMPLES {
            return;
        }
        let mut all = self.recent.clone();
        all.add(&self.older).expect("both halves have the same bounds");
        self.cached = Some(Cached {
            quantile: Duration::from_micros(all.value_at_quantile(self.quantile)),
            median: Duration::from_micros(all.value_at_quantile(0.5)),
        });
    }
}

/// Weight of one attempt in [`LateRatio`].
const LATE_WEIGHT: f64 = 1.0 / 32.0;
/// Share of late attempts above which lateness is not the fault of single servers.
const MAX_LATE_SHARE: f64 = 0.2;

/// Share of recent attempts that were late enough for a hedge.
///
/// When many are late at once, everything is slow: hedges would add load and help nobody.
#[derive(Clone, Copy, Debug, Default)]
pub struct LateRatio {
    share: f64,
}

impl LateRatio {
    /// Notes an attempt that was late, or one that came back in time.
    pub fn record(&mut self, late: bool) {
        let value = if late { 1.0 } else { 0.0 };
        self.share += (value - self.share) * LATE_WEIGHT;
    }

    /// True if so many attempts are late that hedges cannot help.
    pub fn all_slow(&self) -> bool {
        self.share > MAX_LATE_SHARE
    }
}
