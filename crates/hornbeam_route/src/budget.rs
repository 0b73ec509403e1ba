//! Extra requests that a service may get, over a sliding window.
//!
//! All entries together may send a service a share of its requests once more, plus an allowance. An
//! entry uses the share of its own requests and its part of the allowance. Time counts from the start of
//! the entry.

use std::time::Duration;

use hornbeam_model::Mono;

/// Parts of the window that are counted separately.
const BUCKETS: usize = 20;
/// Part of the budget that is used, in hundredths; the rest covers entries that have just started and
/// count themselves in late.
const USABLE_PERCENT: f64 = 80.0;
/// Part of that which hedges may use, in hundredths; the rest is kept for retries after failures.
const HEDGE_SHARE_PERCENT: f64 = 65.0;

/// The budget of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetParams {
    /// Extra requests for each request, in hundredths.
    pub percent: u32,
    /// Length of the window.
    pub window: Duration,
    /// Extra requests in any case, for each service and window, over all entries.
    pub allowance: u32,
}

/// Part of the budget, in hundredths, that the request of the highest rank may not use.
const RANKED_RESERVE_PERCENT: f64 = 80.0;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Number of the bucket's span since the beginning.
    span: u64,
    requests: u32,
    extra: u32,
}

/// Requests and extra requests of one service at one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    params: RetryBudgetParams,
    buckets: [Bucket; BUCKETS],
}

impl RetryBudget {
    /// An empty window.
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

    /// Notes a request for the service.
    pub fn record_request(&mut self, now: Mono) {
        self.bucket(now).requests += 1;
    }

    /// Notes an extra request.
    pub fn record_extra_request(&mut self, now: Mono) {
        self.bucket(now).extra += 1;
    }

    /// Takes back an extra request that did not reach a server.
    pub fn refund(&mut self, now: Mono) {
        let bucket = self.bucket(now);
        bucket.extra = bucket.extra.saturating_sub(1);
    }

    /// True if one more retry fits, with `entries` entries sharing the allowance. A request of a higher
    /// `rank` (0 to 1) may use a smaller part of the budget.
    pub fn allows_retry(&mut self, now: Mono, entries: u32, rank: f64) -> bool {
        self.allows(now, entries, 100.0 - RANKED_RESERVE_PERCENT * rank)
    }

    /// True if one more hedge fits.
    pub fn allows_hedge(&mut self, now: Mono, entries: u32) -> bool {
        self.allows(now, entries, HEDGE_SHARE_PERCENT)
    }

    /// Part of the allowance that an entry may use so long after its start: what it sent before a
    /// restart is forgotten here and still counts for the fleet.
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
