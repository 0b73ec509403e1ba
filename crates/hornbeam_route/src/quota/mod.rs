//! Quotas of teams over all entries together.
//!
//! Load pattern: one team sends several times its usual rate through all entries, while most teams
//! send a request in ten seconds to any of them. An entry counts what it admits at once and hears from
//! the controllers what the others admitted, up to a second late. Replayed in `tests/quotas`.
//!
//! - [`bounds`]: how far the requests in a window may exceed a quota
//! - `meter`: rate at which a team asks
//! - `bucket`: token bucket
//! - `view`: reports of the controllers
//! - `waiting`: refused requests that have a time to come back
//! - `team`: decision for one team

pub mod bounds;
mod bucket;
mod meter;
mod team;
mod view;
mod waiting;

use std::time::Duration;

use hornbeam_model::{
    FleetUsage, InstanceId, Mono, RequestRate, Team, TeamId, TeamUsage, TrafficPolicy,
};
use indexmap::IndexMap;
use rand::Rng;

pub use self::bounds::QuotaBounds;
use self::team::TeamQuota;
use self::view::Views;

/// Time between two inputs after which the process counts as paused: the timer of an entry passes one
/// every 500 ms.
const PAUSE_TIME: Duration = Duration::from_secs(1);
/// Time after a pause in which reports may have been sent before or during it and are ignored.
const OLD_REPORTS_TIME: Duration = Duration::from_millis(500);
/// Interval of the reports to controllers.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Quota of one team over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Quota {
    /// Requests per second.
    pub rate: f64,
    /// Requests beyond the rate that may follow each other at once.
    pub burst: f64,
    /// Requests by which the fleet may exceed the rate and the burst within a window.
    pub margin: f64,
}

impl Quota {
    fn new(team: &Team, bounds: &QuotaBounds) -> Self {
        let (rate, burst) = (team.rate.per_second(), f64::from(team.burst));
        Self { rate, burst, margin: bounds.margin(rate, burst) }
    }

    /// Returns the part of the quota that some of the entries may use.
    pub fn part(self, part: f64) -> Self {
        Self { rate: self.rate * part, burst: self.burst * part, margin: self.margin * part }
    }
}

/// A request that the quota of its team does not allow now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverQuota {
    /// Time after which the quota allows it.
    pub wait: Duration,
    /// True if no request of the team was refused shortly before.
    pub is_first: bool,
    /// Rate at which this entry is asked.
    pub asked: RequestRate,
    /// True if this entry hears no controller.
    pub alone: bool,
}

/// What an entry knows of the fleet when it decides on a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fleet {
    /// Number of entries.
    pub entries: u32,
    /// Shortest interval between two messages about a team that is near its quota.
    pub interval: Duration,
}

/// The quotas of all teams at one entry.
#[derive(Debug)]
pub struct Quotas {
    bounds: QuotaBounds,
    limits: IndexMap<TeamId, Quota>,
    /// Teams that have had a quota and sent requests. Their counts only grow, so teams are kept.
    teams: IndexMap<TeamId, TeamQuota>,
    views: Views,
    /// When the entry got its first quota; it has no credit from before.
    started_at: Option<Mono>,
    /// Time of the latest input.
    observed_at: Mono,
    /// Until when reports are ignored.
    ignores_until: Mono,
    reported_at: Mono,
}

impl Quotas {
    /// Creates quotas for a table without teams.
    pub fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            limits: IndexMap::new(),
            teams: IndexMap::new(),
            views: Views::default(),
            started_at: None,
            observed_at: Mono::default(),
            ignores_until: Mono::default(),
            reported_at: Mono::default(),
        }
    }

    /// Returns true if no team has a quota.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Applies the quotas of a routing table.
    pub fn set_policy(&mut self, now: Mono, policy: &TrafficPolicy) {
        let limited = policy.teams.iter().filter(|(_, t)| t.is_limited());
        let quotas = limited.map(|(name, t)| (name.clone(), Quota::new(t, &self.bounds)));
        self.limits = quotas.collect();
        if self.started_at.is_none() && !self.limits.is_empty() {
            self.started_at = Some(now);
            self.observed_at = now;
        }
        for (name, team) in &mut self.teams {
            if let Some(quota) = self.limits.get(name) {
                team.set_quota(*quota);
            }
        }
    }

    /// Records that the process runs. After a pause, the reports from before it no longer count.
    pub fn observe(&mut self, now: Mono) {
        if self.is_empty() {
            return;
        }
        if now.since(self.observed_at) >= PAUSE_TIME {
            self.views = Views::default();
            self.ignores_until = now + OLD_REPORTS_TIME;
        }
        self.observed_at = now;
    }

    /// Records a report of a controller.
    pub fn record_report(&mut self, now: Mono, controller: InstanceId, usage: FleetUsage) {
        if now >= self.ignores_until {
            self.views.record(now, controller, usage);
        }
    }

    /// Decides on a request of a team.
    ///
    /// # Errors
    ///
    /// Returns the time after which the quota allows the request if it does not allow it now.
    pub fn admit(
        &mut self,
        now: Mono,
        name: &TeamId,
        entries: u32,
        rng: &mut impl Rng,
    ) -> Result<(), OverQuota> {
        let Some(quota) = self.limits.get(name).copied() else { return Ok(()) };
        let started = self.started_at.unwrap_or(now);
        let team = self.teams.entry(name.clone());
        let team = team.or_insert_with(|| TeamQuota::new(started, quota, rng.random()));
        let fleet = Fleet { entries: entries.max(1), interval: report_interval(entries) };
        team.ask(now);
        let is_first = !team.is_refused(now);
        let standing = self.views.standing(now, name);
        let decided = match &standing {
            Some(standing) => team.admit(now, standing, fleet),
            None => {
                if let Some((at, balance)) = self.views.last_balance(name) {
                    team.bound_alone(at, balance, fleet);
                }
                team.admit_alone(now, fleet, rng.random())
            }
        };
        let (asked, alone) = (team.asked_rate(now), standing.is_none());
        decided.map_err(|wait| OverQuota { wait, is_first, asked, alone })
    }

    /// Returns a request that was admitted and then not sent to any server.
    pub fn give_back(&mut self, name: &TeamId) {
        if let Some(team) = self.teams.get_mut(name) {
            team.give_back();
        }
    }

    /// Returns the time to wait before the next call of [`Quotas::take_report`].
    pub fn report_interval(&self, entries: u32) -> Duration {
        if self.is_empty() { REPORT_INTERVAL } else { report_interval(entries) }
    }

    /// Returns the usage of the teams to report now: all that have changed at regular intervals, and
    /// in between if a team may be near its quota.
    pub fn take_report(&mut self, now: Mono, entries: u32) -> Vec<TeamUsage> {
        let is_due = now.since(self.reported_at) >= REPORT_INTERVAL;
        let views = &self.views;
        let presses = |(name, team): (&TeamId, &TeamQuota)| {
            team.has_unreported() && (team.may_be_near(now, entries) || views.lists(now, name))
        };
        if !is_due && !self.teams.iter().any(presses) {
            return Vec::new();
        }
        self.reported_at = now;
        let reports = self.teams.iter_mut().map(|(name, team)| team.take_report(now, name));
        reports.flatten().collect()
    }

    /// Returns the number of teams that were refused a request recently.
    pub fn limited_teams(&self, now: Mono) -> usize {
        self.teams.values().filter(|t| t.is_refused(now)).count()
    }
}

/// Returns the shortest interval between two reports to a controller.
fn report_interval(entries: u32) -> Duration {
    hornbeam_model::team_usage::usage_interval(entries)
}
