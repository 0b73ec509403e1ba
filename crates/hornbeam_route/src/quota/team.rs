//! Decision on the requests of one team at one entry.
//!
//! In contact with a controller, an entry admits everything while the team as a whole asks for less than
//! its rate, or has enough left for what it asks beyond the rate until the next reports arrive. Otherwise
//! each entry admits the same part of what it is asked for, such that all entries together admit the
//! rate. Without a controller it uses an equal part of the quota.

use std::time::Duration;

use hornbeam_model::{Mono, RequestRate, TeamId, TeamUsage};

use super::bucket::Bucket;
use super::meter::AskedMeter;
use super::view::{Standing, Usage};
use super::waiting::Waiting;
use super::{Fleet, Quota};

/// Time within which a surplus or deficit is evened out, besides the interval of the reports: the
/// messages take about this long both ways.
const CORRECTION_TIME: Duration = Duration::from_millis(400);
/// Shortest time within which a surplus or deficit is evened out, in seconds.
const MIN_CORRECTION_S: f64 = 0.001;
/// Longest time after which a caller is asked to come back.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Part of the rate that is counted on for callers that come back; new requests use the rest. With the
/// whole rate, 57 of 100 were admitted at the time that was stated, with half of it 87.
const RETURNING_PART: f64 = 0.5;
/// Lowest rate of one entry that is still reported, in requests per second.
const MIN_REPORTED_RATE: f64 = 0.02;
/// Time after a refusal for which a team counts as refused.
const REFUSED_TIME: Duration = Duration::from_secs(1);

/// Counts and credit of one team at one entry.
#[derive(Debug)]
pub(super) struct TeamQuota {
    quota: Quota,
    /// Requests admitted since the start, less those returned.
    admitted: u64,
    asked: AskedMeter,
    /// Credit if this entry admitted alone; bounds a team whose callers all reach this entry.
    own: Bucket,
    /// Credit without a controller.
    alone: Bucket,
    /// Parts of requests that the team may still send; a request is admitted once they make up a whole.
    accrued: f64,
    waiting: Waiting,
    reported: Reported,
    refused_at: Option<Mono>,
}

/// Usage as it was reported last.
#[derive(Clone, Copy, Debug, Default)]
struct Reported {
    admitted: u64,
    asked: RequestRate,
    waiting: u32,
}

impl TeamQuota {
    /// Creates the state of a team that has not sent anything here since `from`. `phase`, from 0 to 1, is
    /// random, so that entries do not admit simultaneously.
    pub fn new(from: Mono, quota: Quota, phase: f64) -> Self {
        Self {
            quota,
            admitted: 0,
            asked: AskedMeter::default(),
            own: Bucket::new(from),
            alone: Bucket::new(from),
            accrued: phase,
            waiting: Waiting::default(),
            reported: Reported::default(),
            refused_at: None,
        }
    }

    /// Applies a changed quota. Credit beyond a lowered one is lost with the next request.
    pub fn set_quota(&mut self, quota: Quota) {
        self.own.tokens += (quota.burst - self.quota.burst).max(0.0);
        if self.own.tokens < 0.0 {
            // A lowered quota does not have to make up for the deficit of the higher one.
            self.own.tokens *= (quota.rate / self.quota.rate).min(1.0);
        }
        self.quota = quota;
    }

    /// Records that a request was asked for.
    pub fn ask(&mut self, now: Mono) {
        self.asked.record(now);
        self.own.refill(now, self.quota.rate, self.quota.burst);
    }

    /// Decides on a request with the reports of the controllers.
    pub fn admit(&mut self, now: Mono, standing: &Standing, fleet: Fleet) -> Result<(), Duration> {
        let quota = self.quota.part(standing.part);
        self.own.tokens = self.own.tokens.min(quota.burst);
        let own_asked = self.asked.rate(now);
        let others = standing.usage.map_or(0.0, |u| self.others_asked(&u));
        let reported = standing.usage.map_or(f64::INFINITY, |u| self.balance(&u, quota, others));
        let balance = self.own.tokens.min(reported);
        // What this entry admits itself is known at once; only the others' part is heard late.
        let others_part = others / (own_asked + others);
        let correction = (CORRECTION_TIME + fleet.interval * 2).as_secs_f64() * others_part;
        let allowed = quota.rate + (balance + quota.margin) / correction.max(MIN_CORRECTION_S);
        let part = (allowed / (own_asked + others)).clamp(0.0, 1.0);
        // Keeps the credit without a controller near what the fleet has left for each entry.
        self.alone = Bucket::new(now);
        self.alone.tokens = (balance / f64::from(fleet.entries)).max(0.0);
        if self.own.tokens >= 1.0 - quota.margin && self.accrue(part) {
            self.take();
            return Ok(());
        }
        let others_waiting = standing.usage.map_or(0, |u| self.others_waiting(&u));
        let own_waiting = self.waiting.count(now);
        let ahead = f64::from(others_waiting) + f64::from(own_waiting);
        Err(self.refuse(now, (1.0 - balance).max(0.0), ahead, quota.rate))
    }

    /// Bounds the credit without a controller by what the fleet had left at the last report, which arrived at
    /// `at`; this entry may have had no request of the team since long before.
    pub fn bound_alone(&mut self, at: Mono, balance: f64, fleet: Fleet) {
        if self.alone.refilled_at() < at {
            self.alone = Bucket::new(at);
            self.alone.tokens = (balance / f64::from(fleet.entries)).max(0.0);
        }
    }

    /// Decides on a request without a recent report of a controller: by chance, with the part of a
    /// request that an equal part of the quota allows. `draw` is random, from 0 to 1.
    pub fn admit_alone(&mut self, now: Mono, fleet: Fleet, draw: f64) -> Result<(), Duration> {
        let quota = self.quota.part(1.0 / f64::from(fleet.entries));
        // Half of the margin is left for the random differences between the entries.
        let burst = quota.burst + quota.margin / 2.0;
        self.alone.refill(now, quota.rate, burst);
        let part = self.alone.tokens.clamp(0.0, 1.0);
        self.alone.tokens -= part;
        if draw < part {
            self.take();
            return Ok(());
        }
        let ahead = f64::from(self.waiting.count(now));
        Err(self.refuse(now, 1.0 - self.alone.tokens, ahead, quota.rate))
    }

    /// Adds a part of a request; returns true if that makes up a whole one, which is used.
    fn accrue(&mut self, part: f64) -> bool {
        if part >= 1.0 {
            return true;
        }
        self.accrued += part;
        if self.accrued < 1.0 {
            return false;
        }
        self.accrued -= 1.0;
        true
    }

    fn take(&mut self) {
        self.admitted += 1;
        self.own.tokens -= 1.0;
    }

    /// Returns a request that was admitted and then not sent to any server.
    pub fn give_back(&mut self) {
        self.admitted = self.admitted.saturating_sub(1);
        self.own.tokens += 1.0;
    }

    /// Records a refusal; returns the time until the quota has made up for what is `lacking` and allows
    /// the requests `ahead` besides new ones.
    fn refuse(&mut self, now: Mono, lacking: f64, ahead: f64, rate: f64) -> Duration {
        self.refused_at = Some(now);
        let requests = lacking + ahead / RETURNING_PART;
        let wait = Duration::try_from_secs_f64(requests / rate).unwrap_or(MAX_WAIT);
        let wait = wait.min(MAX_WAIT);
        self.waiting.add(now + wait);
        wait
    }

    /// Returns the rate at which the other entries are asked.
    fn others_asked(&self, usage: &Usage) -> f64 {
        (usage.asked - self.reported.asked.per_second()).max(0.0)
    }

    fn others_waiting(&self, usage: &Usage) -> u32 {
        usage.waiting.saturating_sub(self.reported.waiting)
    }

    /// Returns what is left of the quota now by a report of some time ago. What the other entries ask for
    /// may use up the rate meanwhile.
    fn balance(&self, usage: &Usage, quota: Quota, others: f64) -> f64 {
        let gained = (quota.rate - others).max(0.0) * usage.age.as_secs_f64();
        let unreported = self.admitted as f64 - self.reported.admitted as f64;
        (usage.balance + gained).min(quota.burst) - unreported
    }

    /// Returns true if requests were admitted since the last report.
    pub fn has_unreported(&self) -> bool {
        self.admitted != self.reported.admitted
    }

    /// Returns true if the team exceeds its rate should all entries be asked as much as this one.
    pub fn may_be_near(&self, now: Mono, entries: u32) -> bool {
        self.asked.rate(now) * f64::from(entries) >= self.quota.rate
    }

    /// Returns the rate at which this entry is asked.
    pub fn asked_rate(&self, now: Mono) -> RequestRate {
        self.asked.reported(now)
    }

    /// Returns true if a request of the team was refused recently.
    pub fn is_refused(&self, now: Mono) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < REFUSED_TIME)
    }

    /// Returns the usage to report, if it has changed or the team is active.
    pub fn take_report(&mut self, now: Mono, team: &TeamId) -> Option<TeamUsage> {
        let is_active = self.asked.rate(now) >= MIN_REPORTED_RATE;
        let asked = if is_active { self.asked.reported(now) } else { RequestRate::default() };
        let waiting = self.waiting.count(now);
        let before = self.reported;
        let changed = self.has_unreported() || before.asked.0 > 0 || before.waiting != waiting;
        if !changed && !is_active {
            return None;
        }
        self.reported = Reported { admitted: self.admitted, asked, waiting };
        Some(TeamUsage { team: team.clone(), admitted: self.admitted, asked, waiting })
    }
}
