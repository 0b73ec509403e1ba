//! Retry budget: limits extra requests (hedges and retries) per service over a sliding window.
//!
//! All entries together may send a percentage of a service's requests a second time, plus a fixed
//! allowance. Each entry applies the percentage to its own requests and uses an equal part of the
//! allowance. Time counts from the start of the entry.

use std::time::Duration;

use hornbeam_model::Mono;

/// Buckets that the sliding window is divided into.
const BUCKETS: usize = 20;
/// Percentage of the budget that is used; the rest covers recently started entries that the others
/// do not count yet.
const USABLE_PERCENT: f64 = 80.0;
/// Percentage of the usable budget that hedges may spend; the rest is reserved for retries after
/// failures.
const HEDGE_SHARE_PERCENT: f64 = 65.0;

/// Retry budget of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetParams {
    /// Extra requests as a percentage of the requests in the window.
    pub percent: u32,
    /// Length of the sliding window.
    pub window: Duration,
    /// Extra requests allowed regardless of the request rate, per service and window over all
    /// entries.
    pub allowance: u32,
}

/// Percentage of the usable budget that a retry of the highest rank may not spend.
const RANKED_RESERVE_PERCENT: f64 = 80.0;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Number of the time span that the bucket covers, counted from the start of the entry.
    span: u64,
    requests: u32,
    extra: u32,
}

/// Counts requests and extra requests of one service at one entry against the budget.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    params: RetryBudgetParams,
    buckets: [Bucket; BUCKETS],
}

impl RetryBudget {
    /// Creates a budget with an empty window.
    pub fn new(params: RetryBudgetParams) -> Self {
        Self { params, buckets: [Bucket::default(); BUCKETS] }
    }

    fn bucket(&mut self, now: Mono) -> &mut Bucket {
        let width = (self.params.window.as_micros() as u64 / BUCKETS as u64).max(1);
        let span = now.0 / width;
        let bucket = &mut self.buckets[span as usize % BUCKETS];
        if bucket.span != span {
            *bucket = Bucket { span, ..Bucket::default() };
        }
        bucket
    }

    /// Counts a request for the service, which raises the budget.
    pub fn record_request(&mut self, now: Mono) {
        self.bucket(now).requests += 1;
    }

    /// Counts a hedge or a retry against the budget.
    pub fn record_extra_request(&mut self, now: Mono) {
        self.bucket(now).extra += 1;
    }

    /// Returns an extra request that did not reach a server to the budget.
    pub fn refund(&mut self, now: Mono) {
        let bucket = self.bucket(now);
        bucket.extra = bucket.extra.saturating_sub(1);
    }

    /// Returns true if the budget allows another retry, with `entries` entries sharing the
    /// allowance. A request of a higher `rank` (0 to 1) may spend a smaller part of the budget.
    pub fn allows_retry(&mut self, now: Mono, entries: u32, rank: f64) -> bool {
        self.allows(now, entries, 100.0 - RANKED_RESERVE_PERCENT * rank)
    }

    /// Returns true if the budget allows another hedge, with `entries` entries sharing the
    /// allowance.
    pub fn allows_hedge(&mut self, now: Mono, entries: u32) -> bool {
        self.allows(now, entries, HEDGE_SHARE_PERCENT)
    }

    /// Returns the fraction of the allowance available this long after the start; it grows to 1
    /// over one window, because extra requests sent before a restart are not counted here but still
    /// count for all entries.
    fn allowance_fraction(&self, now: Mono) -> f64 {
        let age = now.since(Mono::default()).as_secs_f64();
        (age / self.params.window.as_secs_f64().max(f64::EPSILON)).min(1.0)
    }

    fn allows(&mut self, now: Mono, entries: u32, percent: f64) -> bool {
        let newest = self.bucket(now).span;
        let live = self.buckets.iter().filter(|b| newest - b.span < BUCKETS as u64);
        let (requests, extra) = live.fold((0, 0), |(r, e), b| (r + b.requests, e + b.extra));
        let share = f64::from(self.params.percent) / 100.0 * f64::from(requests);
        let allowance = f64::from(self.params.allowance) / f64::from(entries.max(1));
        let allowance = allowance * self.allowance_fraction(now);
        let budget = (share + allowance) * USABLE_PERCENT / 100.0;
        f64::from(extra + 1) <= budget * percent / 100.0
    }
}
