//! Adaptive concurrency limit that follows measured latency.
//!
//! Compares the median latency of a short window with the baseline, the lowest median of recent
//! windows. While they are close, the limit grows; once the latency exceeds the tolerance, the
//! limit shrinks in proportion.

use std::collections::VecDeque;
use std::time::Duration;

use hornbeam_model::Mono;

/// Samples that fill a window.
const WINDOW_SAMPLES: usize = 32;
/// Maximum duration of a window; checked when a sample arrives.
const MAX_WINDOW_DURATION: Duration = Duration::from_millis(500);
/// Number of windows whose lowest median is the baseline.
const BASELINE_WINDOWS: usize = 64;
/// Ratio of latency to the baseline up to which the limit does not shrink.
const LATENCY_TOLERANCE: f64 = 1.6;
/// Smallest factor by which one window cuts the limit.
const MIN_CUT_FACTOR: f64 = 0.7;
/// Limit before the first window is complete.
const INITIAL_LIMIT: f64 = 16.0;
/// Lower bound of the limit, unless the configured maximum is smaller.
const MIN_LIMIT: f64 = 2.0;

/// Adaptive limit on concurrently running queries.
#[derive(Clone, Debug)]
pub struct Limiter {
    /// Between [`MIN_LIMIT`] and `max`; `max` takes precedence.
    limit: f64,
    max: f64,
    window: Vec<Duration>,
    window_started_at: Mono,
    /// True if the limit was reached in this window; an unused limit must not grow.
    reached: bool,
    /// Medians of recent windows, newest last.
    medians: VecDeque<Duration>,
}

impl Limiter {
    /// Creates a limiter whose limit never exceeds `max`, which is raised to at least 1.
    pub fn new(max: u32) -> Self {
        let max = f64::from(max).max(1.0);
        Self {
            limit: INITIAL_LIMIT.min(max),
            max,
            window: Vec::with_capacity(WINDOW_SAMPLES),
            window_started_at: Mono::default(),
            reached: false,
            medians: VecDeque::new(),
        }
    }

    /// Returns the current limit.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Changes the maximum and lowers the current limit if it exceeds the new maximum.
    pub fn set_max(&mut self, max: u32) {
        self.max = f64::from(max).max(1.0);
        self.limit = self.limit.min(self.max);
    }

    /// Returns the median latency of the latest complete window, or zero before the first one.
    pub fn median(&self) -> Duration {
        self.medians.back().copied().unwrap_or_default()
    }

    /// Marks that a query found no capacity, which lets the limit grow at the end of this window.
    pub fn mark_limit_reached(&mut self) {
        self.reached = true;
    }

    /// Adds the latency of one finished query; returns true if the limit changed.
    pub fn record(&mut self, now: Mono, latency: Duration) -> bool {
        if self.window.is_empty() {
            self.window_started_at = now;
        }
        self.window.push(latency);
        let timed_out = now.since(self.window_started_at) >= MAX_WINDOW_DURATION;
        if self.window.len() < WINDOW_SAMPLES && !timed_out {
            return false;
        }
        self.window.sort_unstable();
        let median = self.window[self.window.len() / 2];
        self.window.clear();
        let before = self.limit();
        self.adjust(median);
        self.reached = false;
        before != self.limit()
    }

    fn adjust(&mut self, median: Duration) {
        self.medians.push_back(median);
        if self.medians.len() > BASELINE_WINDOWS {
            self.medians.pop_front();
        }
        let baseline = self.medians.iter().min().copied().unwrap_or(median);
        let ratio = baseline.as_secs_f64() * LATENCY_TOLERANCE / median.as_secs_f64().max(1e-6);
        if ratio < 1.0 {
            self.limit *= ratio.max(MIN_CUT_FACTOR);
        } else if self.reached {
            self.limit += self.limit.sqrt();
        }
        self.limit = self.limit.max(MIN_LIMIT).min(self.max);
    }
}
