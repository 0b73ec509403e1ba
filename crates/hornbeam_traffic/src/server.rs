//! State of one backend server: announcement, health, load and adaptive limit.

use std::time::Duration;

use hornbeam_model::{Announcement, IndexVersion, LoadReport, Mono, ServerState};

use crate::budget::RetryBudget;

/// Consecutive failures after which a server is ejected.
pub const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection; doubles with each further one until the server succeeds again.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Longest duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Time over which the limit of a server that has just started grows from 1 attempt to its share.
const WARM_UP_TIME: Duration = Duration::from_secs(5);
/// Age up to which a load report counts.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(1);
/// Largest factor by which a load report raises the cost of a server.
const MAX_LOAD_REPORT_FACTOR: f64 = 2.0;
/// Weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Weight of a cancelled attempt in the moving average of the latency.
const CANCELLED_LATENCY_WEIGHT: f64 = 0.2;
/// Assumed latency of a cancelled attempt, as a multiple of the time until it was cancelled.
const CANCELLED_LATENCY_FACTOR: u32 = 2;
/// Time without samples after which half of the difference between a server's latency and the usual
/// one has decayed.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(5);
/// Time after which the index of a removed server may be reused; longer than any query runs.
const INDEX_REUSE_DELAY: Duration = Duration::from_secs(900);
/// Factor by which a shed attempt cuts the limit of a server.
const SHED_LIMIT_FACTOR: f64 = 0.7;
/// First backoff from a server that sheds load; doubles with each further one until the server
/// succeeds.
const BASE_SHED_BACKOFF: Duration = Duration::from_millis(20);
/// Longest backoff from a server that sheds load.
const MAX_SHED_BACKOFF: Duration = Duration::from_secs(5);
/// Uptime of this instance below which a newly discovered server counts as warmed up, because it
/// was probably running before.
const DISCOVERY_TIME: Mono = Mono::from_millis(3_000);
/// Extra requests per 100 primary attempts to one server, as a multiple of those of its service.
const SERVER_BUDGET_FACTOR: u32 = 4;
/// Initial tokens in the retry budget of a server, for extra requests before its primary attempts
/// have earned any.
const SERVER_BUDGET_INITIAL_TOKENS: f64 = 10.0;

/// Index of a server in the fleet.
///
/// The index of a removed server is reused for another one, at the earliest 900 seconds after the
/// removal.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServerIdx(pub u32);

/// State of one backend server as this instance sees it.
#[derive(Debug)]
pub struct ServerRecord {
    /// The latest announcement.
    pub announced: Announcement,
    /// True while the server is in at least one registrar's view.
    pub listed: bool,
    /// Time at which it last disappeared from all views.
    pub removed_at: Option<Mono>,
    /// True if the server is in the availability zone of this instance.
    pub local: bool,
    /// Number of connections that this instance may open to the server.
    pub share: u32,
    /// Number of in-flight attempts, including cancelled ones that have not returned yet.
    pub outstanding: u32,
    /// Budget of extra requests to this server.
    pub retry_budget: RetryBudget,
    /// Index versions that the server refused as not held; cleared when it restarts or announces
    /// other holdings.
    refused_versions: Vec<IndexVersion>,
    /// True once a reply of this incarnation was marked as draining.
    drain_marked: bool,
    /// Adaptive limit on in-flight attempts, from 1 to `share`; cut when the server sheds.
    limit: f64,
    /// Time at which this incarnation was first seen ready; `None` if it was never ready or counts
    /// as warmed up.
    ready_since: Option<Mono>,
    /// Moving average of the latency, in microseconds.
    latency_us: Option<f64>,
    /// Time of the last latency sample.
    latency_at: Mono,
    /// The latest load report and its time of arrival.
    load_report: Option<(LoadReport, Mono)>,
    consecutive_failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    ejected_until: Option<Mono>,
    /// Backoffs from load shedding since the last success.
    shed_backoffs: u32,
    shed_backoff_until: Option<Mono>,
}

impl ServerRecord {
    /// Creates the state of a newly announced server.
    ///
    /// `share` is the number of connections of this instance, `extra_percent` the number of extra
    /// requests per 100 primary attempts in the budget of the service.
    pub fn new(
        now: Mono,
        announced: Announcement,
        local: bool,
        share: u32,
        extra_percent: u32,
    ) -> Self {
        let ready = announced.state == ServerState::Ready;
        Self {
            announced,
            listed: true,
            removed_at: None,
            local,
            share,
            outstanding: 0,
            retry_budget: RetryBudget::with_tokens(
                extra_percent * SERVER_BUDGET_FACTOR,
                SERVER_BUDGET_INITIAL_TOKENS,
            ),
            refused_versions: Vec::new(),
            drain_marked: false,
            limit: f64::from(share),
            ready_since: (ready && now >= DISCOVERY_TIME).then_some(now),
            latency_us: None,
            latency_at: now,
            load_report: None,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: None,
            shed_backoffs: 0,
            shed_backoff_until: None,
        }
    }

    /// Applies a newer announcement; a new incarnation resets the failures, the ejections, the
    /// latency and the drain mark.
    pub fn update(&mut self, now: Mono, announced: Announcement) {
        let restarted = announced.incarnation != self.announced.incarnation;
        if restarted {
            self.drain_marked = false;
            self.consecutive_failures = 0;
            self.ejections = 0;
            self.ejected_until = None;
            self.latency_us = None;
        }
        let was_ready = self.announced.state == ServerState::Ready;
        if restarted || announced.indexes != self.announced.indexes {
            self.refused_versions.clear();
        }
        self.announced = announced;
        if self.announced.state == ServerState::Ready && (restarted || !was_ready) {
            self.ready_since = Some(now);
        }
    }

    /// Sets this instance's share; a changed share resets the adaptive limit to it.
    pub fn set_share(&mut self, share: u32) {
        if self.share != share {
            self.limit = f64::from(share);
        }
        self.share = share;
    }

    /// Returns true if nothing refers to the removed server any more, so that its index can be
    /// reused.
    pub fn is_index_reusable(&self, now: Mono) -> bool {
        let removed_long_ago = self.removed_at.is_some_and(|at| now.since(at) >= INDEX_REUSE_DELAY);
        !self.listed && removed_long_ago && self.outstanding == 0
    }

    /// Returns true if the server accepts new work.
    pub fn takes_work(&self) -> bool {
        self.listed && !self.drain_marked && self.announced.state == ServerState::Ready
    }

    /// Marks the server as draining after a reply said so; returns true if it was not marked
    /// before.
    pub fn mark_draining(&mut self) -> bool {
        !std::mem::replace(&mut self.drain_marked, true)
    }

    /// Records that the server refused `version` as not held; returns true if that is new.
    pub fn mark_version_refused(&mut self, version: IndexVersion) -> bool {
        if self.refused_versions.contains(&version) {
            return false;
        }
        self.refused_versions.push(version);
        true
    }

    /// Returns true if the server refused `version` as not held.
    pub fn refused_version(&self, version: IndexVersion) -> bool {
        self.refused_versions.contains(&version)
    }

    /// Returns the current limit on in-flight attempts of this instance at the server.
    ///
    /// One connection of a share of three or more is reserved for cancellations.
    pub fn limit(&self, now: Mono) -> u32 {
        let for_attempts = if self.share >= 3 { self.share - 1 } else { self.share };
        let warmed_up = f64::from(for_attempts) * self.warm_up_factor(now);
        let limit = (self.limit.min(warmed_up) as u32).max(1);
        limit.min(for_attempts)
    }

    /// Returns true while the server is ejected after failures.
    pub fn is_ejected(&self, now: Mono) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns true while the server is ejected or backed off from because it sheds load.
    pub fn is_excluded(&self, now: Mono) -> bool {
        self.is_ejected(now) || self.shed_backoff_until.is_some_and(|until| now < until)
    }

    /// Returns the fraction of the warm-up time that has passed; 1.0 once the server is warmed up.
    fn warm_up_factor(&self, now: Mono) -> f64 {
        let Some(since) = self.ready_since else { return 1.0 };
        (now.since(since).as_secs_f64() / WARM_UP_TIME.as_secs_f64()).min(1.0)
    }

    /// Returns the expected cost of one more attempt, in microseconds.
    ///
    /// `usual_us` is the usual attempt latency of the service, in microseconds; it stands in for a
    /// server without samples, and older samples decay toward it.
    pub fn cost(&self, now: Mono, usual_us: f64) -> f64 {
        let own = self.latency_us.map_or(usual_us, |l| {
            let half_lives =
                now.since(self.latency_at).as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
            usual_us + (l - usual_us) * 0.5f64.powf(half_lives)
        });
        let warm_up = self.warm_up_factor(now).max(0.1);
        let queue = f64::from(self.outstanding + 1) / (f64::from(self.announced.slots) * warm_up);
        own * (1.0 + queue) * self.load_report_factor(now)
    }

    /// Returns the factor by which the latest load report raises the cost; 1.0 without a recent
    /// report.
    fn load_report_factor(&self, now: Mono) -> f64 {
        let Some((report, at)) = self.load_report else { return 1.0 };
        if now.since(at) >= LOAD_REPORT_TTL {
            return 1.0;
        }
        let queued = f64::from(report.queued) / f64::from(self.announced.slots);
        (1.0 + queued * 0.25).min(MAX_LOAD_REPORT_FACTOR)
    }

    /// Records a successful attempt; returns true if the server had been ejected.
    pub fn record_success(
        &mut self,
        now: Mono,
        latency: Duration,
        load: Option<LoadReport>,
    ) -> bool {
        self.update_average(now, latency, LATENCY_WEIGHT);
        if let Some(load) = load {
            self.load_report = Some((load, now));
        }
        self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(f64::from(self.share));
        self.consecutive_failures = 0;
        self.shed_backoffs = 0;
        self.shed_backoff_until = None;
        let was_ejected = self.ejected_until.take().is_some();
        if was_ejected {
            self.ejections = 0;
        }
        was_ejected
    }

    /// Records an attempt that was cancelled after `elapsed`: it would have taken longer.
    pub fn record_cancelled(&mut self, now: Mono, elapsed: Duration) {
        self.update_average(now, elapsed * CANCELLED_LATENCY_FACTOR, CANCELLED_LATENCY_WEIGHT);
    }

    fn update_average(&mut self, now: Mono, latency: Duration, weight: f64) {
        let us = latency.as_micros() as f64;
        let old = self.latency_us.unwrap_or(us);
        self.latency_us = Some(old + (us - old) * weight);
        self.latency_at = now;
    }

    /// Records that the server shed an attempt: cuts the limit and backs off from the server.
    pub fn record_shed(&mut self, now: Mono) {
        self.limit = (self.limit * SHED_LIMIT_FACTOR).max(1.0);
        if self.shed_backoff_until.is_some_and(|until| now < until) {
            return;
        }
        let time = BASE_SHED_BACKOFF * 2u32.pow(self.shed_backoffs.min(8));
        self.shed_backoffs += 1;
        self.shed_backoff_until = Some(now + time.min(MAX_SHED_BACKOFF));
    }

    /// Records a failed attempt; returns the number of consecutive failures if it ejects the
    /// server.
    pub fn record_failure(&mut self, now: Mono) -> Option<u32> {
        self.consecutive_failures += 1;
        if self.consecutive_failures < EJECTION_FAILURES || self.is_ejected(now) {
            return None;
        }
        let time = BASE_EJECTION_TIME * 2u32.pow(self.ejections.min(5));
        self.ejections += 1;
        self.ejected_until = Some(now + time.min(MAX_EJECTION_TIME));
        Some(self.consecutive_failures)
    }
}
