//! Reports of the controllers about the use of quotas.
//!
//! Controllers that hear fewer entries see less use, so the reports of those that hear most count,
//! and of these the lowest balance and the highest demand.

use std::collections::HashMap;
use std::time::Duration;

use hornbeam_model::{FleetUsage, InstanceId, Mono, TeamId, TeamTotal};
use indexmap::IndexMap;

/// Age up to which a report counts: three heartbeats of a feed.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_200);
/// Percentage of the entries heard by the best controller that another one has to hear.
const HEARD_PERCENT: u32 = 90;
/// Time after which a controller has counted long enough to know how much of a quota is left.
const COUNTED_MS: u32 = 10_000;

/// What the controllers report about one team.
#[derive(Clone, Copy, Debug)]
pub(super) struct Standing {
    /// Part of the quota that the entries heard by the controllers may use.
    pub part: f64,
    /// Use by these entries; `None` if the team is not near its quota.
    pub usage: Option<Usage>,
}

/// Use of a quota at all entries that the controllers hear.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    pub balance: f64,
    /// Requests asked for per second.
    pub asked: f64,
    pub waiting: u32,
    /// Time since the report arrived.
    pub age: Duration,
}

/// Latest report of one controller.
#[derive(Debug)]
struct View {
    at: Mono,
    heard: u32,
    known: u32,
    counted_ms: u32,
    teams: HashMap<TeamId, TeamTotal>,
}

/// Latest reports of all controllers.
#[derive(Debug, Default)]
pub(super) struct Views {
    controllers: IndexMap<InstanceId, View>,
}

impl Views {
    /// Records a report.
    pub fn record(&mut self, now: Mono, controller: InstanceId, usage: FleetUsage) {
        self.controllers.retain(|_, v| now.since(v.at) < MAX_REPORT_AGE);
        let FleetUsage { heard, known, counted_ms, teams } = usage;
        let teams = teams.into_iter().map(|t| (t.team.clone(), t)).collect();
        self.controllers.insert(controller, View { at: now, heard, known, counted_ms, teams });
    }

    /// Returns the reports that count.
    fn best(&self, now: Mono) -> impl Iterator<Item = &View> + Clone {
        let fresh = self.controllers.values().filter(move |v| now.since(v.at) < MAX_REPORT_AGE);
        let most = fresh.clone().map(|v| v.heard).max().unwrap_or(0);
        let hears_most = move |v: &&View| v.heard * 100 >= most * HEARD_PERCENT;
        let best = fresh.filter(hears_most);
        let needed = best.clone().map(|v| v.counted_ms).max().unwrap_or(0).min(COUNTED_MS);
        best.filter(move |v| v.counted_ms >= needed)
    }

    /// Returns true if a controller lists the team as near its quota.
    pub fn lists(&self, now: Mono, team: &TeamId) -> bool {
        self.best(now).any(|v| v.teams.contains_key(team))
    }

    /// Returns the lowest balance of a team in the latest reports, however old, and when it arrived; `None` if
    /// none of them lists the team.
    pub fn last_balance(&self, team: &TeamId) -> Option<(Mono, f64)> {
        let listed = self.controllers.values().filter_map(|v| Some((v.at, v.teams.get(team)?)));
        let balances = listed.map(|(at, total)| (at, total.balance.requests()));
        balances.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns what the controllers report about a team; `None` without a recent report.
    pub fn standing(&self, now: Mono, team: &TeamId) -> Option<Standing> {
        let best = self.best(now);
        let parts = best.clone().map(|v| f64::from(v.heard) / f64::from(v.known.max(1)));
        let part = parts.reduce(f64::min)?.min(1.0);
        let totals = best.filter_map(|v| Some((v.at, v.teams.get(team)?)));
        let usages = totals.map(|(at, total)| Usage {
            balance: total.balance.requests(),
            asked: total.asked.per_second(),
            waiting: total.waiting,
            age: now.since(at),
        });
        Some(Standing { part, usage: usages.reduce(Usage::merge) })
    }
}

impl Usage {
    fn merge(self, other: Self) -> Self {
        Self {
            balance: self.balance.min(other.balance),
            asked: self.asked.max(other.asked),
            waiting: self.waiting.max(other.waiting),
            age: self.age.min(other.age),
        }
    }
}
