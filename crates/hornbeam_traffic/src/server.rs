//! What is known of one backend server.

use std::time::Duration;

use hornbeam_model::{Announcement, IndexVersion, LoadReport, Mono, ServerState};

use crate::budget::RetryBudget;

/// Failures in a row after which a server is avoided.
pub const EJECT_AFTER: u32 = 3;
/// How long a server is avoided the first time; doubles with each further time.
const EJECT_BASE: Duration = Duration::from_secs(1);
/// Longest time a server is avoided.
const EJECT_MAX: Duration = Duration::from_secs(30);
/// Time over which a new server's limit grows from one attempt to its share.
const RAMP_TIME: Duration = Duration::from_secs(5);
/// How long a load report counts.
const REPORT_VALID: Duration = Duration::from_secs(1);
/// Most that a load report can raise a server's cost.
const REPORT_MAX_FACTOR: f64 = 2.0;
/// Weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;
/// Weight of an attempt that was overtaken by its hedge.
const OVERTAKEN_WEIGHT: f64 = 0.2;
/// Assumed time of an attempt that was overtaken, as a multiple of the time until then.
const OVERTAKEN_FACTOR: u32 = 2;
/// Idle time after which half of a server's distance from the usual latency is forgotten.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(5);
/// Time after which the place of a server that is gone may go to another one; longer than any query.
const FORGET_AFTER: Duration = Duration::from_secs(900);
/// Cut of a server's limit when it sheds.
const SHED_CUT: f64 = 0.7;
/// How long a server that sheds is avoided the first time; doubles while it goes on shedding.
const SHED_BASE: Duration = Duration::from_millis(20);
/// Longest time a server that sheds is avoided.
const SHED_MAX: Duration = Duration::from_secs(5);
/// Age of this instance below which a server it learns of counts as warm: it was there before.
const LEARNING_TIME: Mono = Mono::from_millis(3_000);
/// Extra attempts per hundred primary ones to a single server, as a multiple of the service's.
const SERVER_EXTRA_FACTOR: u32 = 4;
/// Extra attempts that a server may get before it has had primary ones.
const SERVER_EXTRA_BURST: f64 = 10.0;

/// Position of a server in the fleet; used again for another one long after the first is gone.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServerIdx(pub u32);

/// What this instance knows of one server.
#[derive(Debug)]
pub struct ServerRecord {
    /// The newest announcement.
    pub announced: Announcement,
    /// True while the server is in some registrar's view.
    pub listed: bool,
    /// When it was last taken out of every view.
    pub gone_at: Option<Mono>,
    /// True if the server is in this instance's zone.
    pub local: bool,
    /// Connections this instance may hold.
    pub share: u32,
    /// Attempts that have left and not come back, cancelled ones included.
    pub outstanding: u32,
    /// Extra attempts this server may get.
    pub retry_budget: RetryBudget,
    /// Index versions that the server said it lacks, until it announces other holdings.
    refused_versions: Vec<IndexVersion>,
    /// True once a reply carried a drain mark in this incarnation.
    drain_marked: bool,
    /// Attempts it may have at once; between 1 and `share`, cut when it sheds.
    limit: f64,
    /// When the server was first seen ready; nothing if it was warm already.
    ready_since: Option<Mono>,
    latency_us: Option<f64>,
    latency_at: Mono,
    report: Option<(LoadReport, Mono)>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Mono>,
    /// Attempts shed in a row.
    sheds: u32,
    shed_until: Option<Mono>,
}

impl ServerRecord {
    /// A server just announced, with `share` connections for this instance.
    pub fn new(now: Mono, announced: Announcement, local: bool, share: u32, percent: u32) -> Self {
        let ready = announced.state == ServerState::Ready;
        Self {
            announced,
            listed: true,
            gone_at: None,
            local,
            share,
            outstanding: 0,
            retry_budget: RetryBudget::with_tokens(
                percent * SERVER_EXTRA_FACTOR,
                SERVER_EXTRA_BURST,
            ),
            refused_versions: Vec::new(),
            drain_marked: false,
            limit: f64::from(share),
            ready_since: (ready && now >= LEARNING_TIME).then_some(now),
            latency_us: None,
            latency_at: now,
            report: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            sheds: 0,
            shed_until: None,
        }
    }

    /// Takes a newer announcement.
    pub fn update(&mut self, now: Mono, announced: Announcement) {
        let restarted = announced.incarnation != self.announced.incarnation;
        if restarted {
            self.drain_marked = false;
            self.failures = 0;
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

    /// Sets this instance's connections to the server.
    pub fn set_share(&mut self, share: u32) {
        if self.share != share {
            self.limit = f64::from(share);
        }
        self.share = share;
    }

    /// True if nothing refers to the server any more, so that its place may go to another one.
    pub fn is_slot_reusable(&self, now: Mono) -> bool {
        let long_gone = self.gone_at.is_some_and(|at| now.since(at) >= FORGET_AFTER);
        !self.listed && long_gone && self.outstanding == 0
    }

    /// True if the server takes new work.
    pub fn takes_work(&self) -> bool {
        self.listed && !self.drain_marked && self.announced.state == ServerState::Ready
    }

    /// Notes a drain mark on a reply; true if it is news.
    pub fn mark_draining(&mut self) -> bool {
        !std::mem::replace(&mut self.drain_marked, true)
    }

    /// Notes that the server lacks `version`; true if it is news.
    pub fn mark_version_refused(&mut self, version: IndexVersion) -> bool {
        if self.refused_versions.contains(&version) {
            return false;
        }
        self.refused_versions.push(version);
        true
    }

    /// True if the server said it lacks `version`.
    pub fn refused_version(&self, version: IndexVersion) -> bool {
        self.refused_versions.contains(&version)
    }

    /// Attempts this instance may have at the server now. One connection of a share of three or
    /// more is kept for cancellations.
    pub fn limit(&self, now: Mono) -> u32 {
        let for_attempts = if self.share >= 3 { self.share - 1 } else { self.share };
        let ramped = f64::from(for_attempts) * self.ramp(now);
        let limit = (self.limit.min(ramped) as u32).max(1);
        limit.min(for_attempts)
    }

    /// True while the server is avoided for its failures.
    pub fn is_ejected(&self, now: Mono) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// True while the server is avoided for its failures or because it sheds.
    pub fn is_excluded(&self, now: Mono) -> bool {
        self.is_ejected(now) || self.shed_until.is_some_and(|until| now < until)
    }

    fn ramp(&self, now: Mono) -> f64 {
        let Some(since) = self.ready_since else { return 1.0 };
        (now.since(since).as_secs_f64() / RAMP_TIME.as_secs_f64()).min(1.0)
    }

    /// Expected cost of one more attempt; `usual_us` is the service's usual latency.
    pub fn cost(&self, now: Mono, usual_us: f64) -> f64 {
        let own = self.latency_us.map_or(usual_us, |l| {
            let halves = now.since(self.latency_at).as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
            usual_us + (l - usual_us) * 0.5f64.powf(halves)
        });
        let ramp = self.ramp(now).max(0.1);
        let queue = f64::from(self.outstanding + 1) / (f64::from(self.announced.slots) * ramp);
        own * (1.0 + queue) * self.report_factor(now)
    }

    fn report_factor(&self, now: Mono) -> f64 {
        let Some((report, at)) = self.report else { return 1.0 };
        if now.since(at) >= REPORT_VALID {
            return 1.0;
        }
        let queued = f64::from(report.queued) / f64::from(self.announced.slots);
        (1.0 + queued * 0.25).min(REPORT_MAX_FACTOR)
    }

    /// Notes a reply with its latency and load.
    pub fn record_success(
        &mut self,
        now: Mono,
        latency: Duration,
        load: Option<LoadReport>,
    ) -> bool {
        self.average(now, latency, LATENCY_WEIGHT);
        if let Some(load) = load {
            self.report = Some((load, now));
        }
        self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(f64::from(self.share));
        self.failures = 0;
        self.sheds = 0;
        self.shed_until = None;
        let was_ejected = self.ejected_until.take().is_some();
        if was_ejected {
            self.ejections = 0;
        }
        was_ejected
    }

    /// Notes an attempt that was overtaken by its hedge after `elapsed`: it would have taken longer.
    pub fn record_cancelled(&mut self, now: Mono, elapsed: Duration) {
        self.average(now, elapsed * OVERTAKEN_FACTOR, OVERTAKEN_WEIGHT);
    }

    fn average(&mut self, now: Mono, latency: Duration, weight: f64) {
        let us = latency.as_micros() as f64;
        let old = self.latency_us.unwrap_or(us);
        self.latency_us = Some(old + (us - old) * weight);
        self.latency_at = now;
    }

    /// Notes that the server shed an attempt.
    pub fn record_shed(&mut self, now: Mono) {
        self.limit = (self.limit * SHED_CUT).max(1.0);
        if self.shed_until.is_some_and(|until| now < until) {
            return;
        }
        let time = SHED_BASE * 2u32.pow(self.sheds.min(8));
        self.sheds += 1;
        self.shed_until = Some(now + time.min(SHED_MAX));
    }

    /// Notes a failure; the number of failures in a row if the server is avoided from now on.
    pub fn record_failure(&mut self, now: Mono) -> Option<u32> {
        self.failures += 1;
        if self.failures < EJECT_AFTER || self.is_ejected(now) {
            return None;
        }
        let time = EJECT_BASE * 2u32.pow(self.ejections.min(5));
        self.ejections += 1;
        self.ejected_until = Some(now + time.min(EJECT_MAX));
        Some(self.failures)
    }
}
