//! Concurrency limit that follows measured latency.
//!
//! Compares the median latency of a short window with the lowest median of recent windows. While
//! they are close the limit grows; when latency has built up, the limit shrinks in proportion.

use std::collections::VecDeque;
use std::time::Duration;

use hornbeam_model::Mono;

/// Samples in one window.
const WINDOW_SAMPLES: usize = 32;
/// Longest time one window collects samples.
const WINDOW_TIME: Duration = Duration::from_millis(500);
/// Windows over which the lowest median is remembered.
const BASELINE_WINDOWS: usize = 64;
/// Build-up of latency over the baseline that is still accepted.
const TOLERANCE: f64 = 1.6;
/// Largest cut of one window.
const MAX_CUT: f64 = 0.7;
/// Limit before the first window ends.
const INITIAL_LIMIT: f64 = 16.0;
/// Lowest limit.
const MIN_LIMIT: f64 = 2.0;

/// Adaptive limit on queries that run at once.
#[derive(Clone, Debug)]
pub struct Limiter {
    /// Between [`MIN_LIMIT`] and `max`.
    limit: f64,
    max: f64,
    window: Vec<Duration>,
    window_began: Mono,
    /// True if the limit was reached in this window; a limit that nobody reaches must not grow.
    reached: bool,
    /// Medians of recent windows, newest last.
    medians: VecDeque<Duration>,
}

impl Limiter {
    /// A limiter that never exceeds `max`.
    pub fn new(max: u32) -> Self {
        let max = f64::from(max).max(1.0);
        Self {
            limit: INITIAL_LIMIT.min(max),
            max,
            window: Vec::with_capacity(WINDOW_SAMPLES),
            window_began: Mono::default(),
            reached: false,
            medians: VecDeque::new(),
        }
    }

    /// The limit now.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Changes the highest limit.
    pub fn set_max(&mut self, max: u32) {
        self.max = f64::from(max).max(1.0);
        self.limit = self.limit.min(self.max);
    }

    /// Median latency of the latest window, or zero before the first.
    pub fn median(&self) -> Duration {
        self.medians.back().copied().unwrap_or_default()
    }

    /// Notes that a query found the limit reached.
    pub fn mark_limit_reached(&mut self) {
        self.reached = true;
    }

    /// Adds the latency of one finished query; true if the limit changed.
    pub fn record(&mut self, now: Mono, latency: Duration) -> bool {
        if self.window.is_empty() {
            self.window_began = now;
        }
        self.window.push(latency);
        let timed_out = now.since(self.window_began) >= WINDOW_TIME;
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
        let ratio = baseline.as_secs_f64() * TOLERANCE / median.as_secs_f64().max(1e-6);
        if ratio < 1.0 {
            self.limit *= ratio.max(MAX_CUT);
        } else if self.reached {
            self.limit += self.limit.sqrt();
        }
        self.limit = self.limit.max(MIN_LIMIT).min(self.max);
    }
}
