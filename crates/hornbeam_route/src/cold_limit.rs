//! This entry's part of the request rate that a cold server bears from all entries together.
//!
//! Load pattern: all servers of a zone come back at once and cold while callers' demand is at its peak.
//! The rate is known to every entry from the routing table, so there is nothing to agree on first. In any
//! second, at most rate x overshoot + tolerance requests may arrive, with 6 or 2,100 entries, in contact
//! or not. Replayed in `tests/cold_servers`.
//!
//! - Parts follow the demand that the controllers report, and are equal without reports or without some of
//!   the controllers. Demand counts as the highest of the last seconds, and in a partition only for the part
//!   of the entries that are counted.
//! - With many entries, the tokens of all of them must not add up: the loss of the other copies makes all
//!   entries send at once what they have saved. A token is valid for a short time only, and the entries
//!   draw the phases of their tokens at random. What random phases may add within a second is left out of
//!   the rate that is given out.
//! - With few entries, the limit has room for a saved token of each, and the whole rate is given out.

use std::time::Duration;

use hornbeam_model::{Mono, RequestRate};

use crate::fleet_size::FleetSize;

/// Standard deviations of the number of arrivals in a window that the limit leaves room for. At 5, about
/// one window in 100,000 exceeds it if all entries use their valid tokens at once.
const SPREAD_DEVIATIONS: f64 = 5.0;
/// Variance of the number of tokens that one entry gets in a window with a random phase, at most.
const MAX_PHASE_VARIANCE: f64 = 0.25;
/// Age up to which the demand of all entries counts; it allows for two lost reports.
const MAX_DEMAND_AGE: Duration = Duration::from_millis(1_500);
/// Time after the first report of the demand from which it counts: a controller has heard all entries then.
const DEMAND_SETTLING_TIME: Duration = Duration::from_secs(2);
/// Time for which the highest demand of all entries counts. Within it, an entry learns that it has lost
/// controllers, and these leave the entries that they do not hear out of their count.
const PEAK_DEMAND_TTL: Duration = Duration::from_secs(20);
/// Percentage of the rate that is divided equally, so that an entry without requests so far can send
/// its first ones.
const EQUAL_PERCENT: f64 = 10.0;
/// Time for which a token is valid with many entries. Longer, more of the rate is used by entries with few
/// requests; shorter, more of it is given out.
const TOKEN_VALIDITY: Duration = Duration::from_millis(500);

/// What a cold server may get beyond its rate in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor on the rate; at least 1.
    pub overshoot: f64,
    /// Number of requests beyond that.
    pub tolerance: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self { overshoot: 1.5, tolerance: 5.0 }
    }
}

/// What all entries together may send to a cold server, so that the limit holds in every second.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Pace {
    /// Requests per second.
    per_second: f64,
    /// Tokens that each entry may save up; `None` if tokens expire.
    savings: Option<f64>,
}

impl Pace {
    fn new(rate: f64, bounds: ColdBounds, entries: f64) -> Self {
        let limit = rate * bounds.overshoot + bounds.tolerance;
        let with_savings = (limit - entries).min(rate);
        let by_entries = limit - SPREAD_DEVIATIONS * (entries * MAX_PHASE_VARIANCE).sqrt();
        // With many entries, arrivals are distributed as independent ones: their variance is their mean.
        let root = (SPREAD_DEVIATIONS.powi(2) + 4.0 * limit).sqrt() - SPREAD_DEVIATIONS;
        let tokens = by_entries.max((root / 2.0).powi(2));
        // Tokens from before the window are still valid in it.
        let expiring = (tokens / (1.0 + TOKEN_VALIDITY.as_secs_f64())).min(rate);
        if with_savings < expiring {
            return Self { per_second: expiring, savings: None };
        }
        let left = (limit - with_savings - entries).clamp(0.0, bounds.tolerance.max(0.0));
        Self { per_second: with_savings, savings: Some(1.0 + left / entries) }
    }
}

/// The rate of one cold server, and the tokens of this entry for requests to it.
#[derive(Clone, Debug)]
pub struct ColdLimit {
    rate: RequestRate,
    bounds: ColdBounds,
    /// End of the warm-up.
    until: Mono,
    /// Highest recent demand of all entries for the server's service, and when it was reported.
    peak_demand: Option<(RequestRate, Mono)>,
    /// When the latest report arrived, and the first of those that followed each other closely.
    reported_at: Mono,
    reported_since: Mono,
    /// Demand of this entry in its last two reports; the total may include only the earlier one.
    own_demand: [RequestRate; 2],
    /// `None` until the phase is drawn.
    tokens: Option<f64>,
    refilled_at: Mono,
}

impl ColdLimit {
    /// Creates the limit of a server that is cold until `until`.
    pub fn new(now: Mono, rate: RequestRate, bounds: ColdBounds, until: Mono) -> Self {
        Self {
            rate,
            bounds,
            until,
            peak_demand: None,
            reported_at: Mono::default(),
            reported_since: now,
            own_demand: [RequestRate::default(); 2],
            tokens: None,
            refilled_at: now,
        }
    }

    /// Returns true until the end of the warm-up.
    pub fn is_active(&self, now: Mono) -> bool {
        now < self.until
    }

    /// Returns the end of the warm-up.
    pub fn until(&self) -> Mono {
        self.until
    }

    /// Changes the rate and the end of the warm-up; the tokens stay.
    pub fn renew(&mut self, rate: RequestRate, until: Mono) {
        self.rate = rate;
        self.until = until;
    }

    /// Records the demand of all entries.
    pub fn record_total(&mut self, now: Mono, total: RequestRate) {
        let is_peak = self
            .peak_demand
            .is_none_or(|(peak, at)| total >= peak || now.since(at) >= PEAK_DEMAND_TTL);
        if is_peak {
            self.peak_demand = Some((total, now));
        }
        if now.since(self.reported_at) >= MAX_DEMAND_AGE {
            self.reported_since = now;
        }
        self.reported_at = now;
    }

    /// Records the demand that this entry reports.
    pub fn record_own(&mut self, demand: RequestRate) {
        self.own_demand = [demand, self.own_demand[0]];
    }

    /// Returns this entry's part of the rate, between 0 and 1.
    fn part(&self, now: Mono, size: FleetSize) -> f64 {
        let equal = 1.0 / size.peak();
        let is_recent = now.since(self.reported_at) < MAX_DEMAND_AGE;
        let is_settled = now.since(self.reported_since) >= DEMAND_SETTLING_TIME;
        let is_reported = is_recent && is_settled && !size.is_cut_off();
        let Some((total, _)) = self.peak_demand.filter(|(t, _)| is_reported && t.0 > 0) else {
            return equal;
        };
        let own = self.own_demand[0].min(self.own_demand[1]).0 as f64;
        let by_demand = own / own.max(total.0 as f64) * size.counted_part();
        (by_demand * (100.0 - EQUAL_PERCENT) + equal * EQUAL_PERCENT) / 100.0
    }

    fn pace(&self, size: FleetSize) -> Pace {
        Pace::new(self.rate.per_second(), self.bounds, size.peak())
    }

    fn allowed_rate(&self, now: Mono, size: FleetSize) -> f64 {
        self.pace(size).per_second * self.part(now, size)
    }

    /// Returns the tokens at this time, of which at least one is needed to send.
    fn tokens_at(&self, now: Mono, size: FleetSize) -> f64 {
        let allowed = self.allowed_rate(now, size);
        let gained = allowed * now.since(self.refilled_at).as_secs_f64();
        let tokens = self.tokens.unwrap_or(0.0);
        let grown = tokens + gained;
        match self.pace(size).savings {
            Some(most) => grown.min(most.max(tokens)),
            None if grown > 1.0 + allowed * TOKEN_VALIDITY.as_secs_f64() => grown.fract(),
            None => grown,
        }
    }

    /// Returns true if a request may be sent now. `phase` is a random number of this entry, from 0 to below
    /// 1. It is the same for all servers, so that a search finds valid tokens of all its cold shards at once.
    pub fn has_token(&mut self, now: Mono, size: FleetSize, phase: f64) -> bool {
        if !self.is_active(now) {
            return true;
        }
        if !size.is_settled(now) {
            return false;
        }
        if self.tokens.is_none() {
            let turns = self.allowed_rate(now, size) * now.since(Mono::default()).as_secs_f64();
            self.tokens = Some((phase + turns).fract());
            self.refilled_at = now;
        }
        self.tokens = Some(self.tokens_at(now, size));
        self.refilled_at = now;
        self.tokens >= Some(1.0)
    }

    /// Uses a token for a request that is sent.
    pub fn take(&mut self) {
        self.tokens = self.tokens.map(|t| t - 1.0);
    }

    /// Returns the token of a request that did not reach the server.
    pub fn refund(&mut self) {
        self.tokens = self.tokens.map(|t| t + 1.0);
    }

    /// Returns the time until `requests` requests may have been sent, at most that until the end of
    /// the warm-up.
    pub fn wait_for(&self, now: Mono, size: FleetSize, requests: f64) -> Duration {
        let left = self.until.since(now);
        if left.is_zero() || !size.is_settled(now) {
            return left;
        }
        let allowed = self.allowed_rate(now, size);
        let lacking = (requests - self.tokens_at(now, size)).max(0.0);
        let wait = Duration::try_from_secs_f64(lacking / allowed.max(f64::MIN_POSITIVE));
        wait.unwrap_or(Duration::MAX).min(left)
    }
}
