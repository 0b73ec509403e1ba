//! Use of the teams' quotas, summed up at a controller from the reports of entries.
//!
//! A controller runs one token bucket for each team, which the admissions of all entries empty, and
//! tells the entries its balance. Entries that vanish together may go on behind a partition, so the
//! part of the quota that they may use there is left out here.
//!
//! Load pattern: one team sends several times its rate through all entries, while entries restart,
//! pause or are cut off. Replayed in `hornbeam_route/tests/quotas`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{
    FleetUsage, Incarnation, InstanceId, Mono, QuotaBalance, RequestRate, TeamId, TeamTotal,
    TeamUsage, TrafficPolicy, UsageReport,
};
use indexmap::IndexMap;

/// Age up to which the asked rate of an entry counts; it allows for two lost reports.
const MAX_ASKED_AGE: Duration = Duration::from_millis(1_500);
/// Longest time for which a quota is refilled, or admissions are counted, at once. After a pause
/// or a partition, older admissions are outside the window and older credit was used elsewhere.
const MAX_GAP: Duration = Duration::from_millis(1_500);
/// Time after a pause in which reports may have been sent during it.
const OLD_REPORTS_TIME: Duration = Duration::from_millis(500);
/// Time without a message after which an entry is no longer heard; it allows for one lost heartbeat.
pub const ENTRY_SILENCE: Duration = Duration::from_millis(900);
/// Longest deficit, as the time in which a quota makes up for it, and requests in addition. Bounds the
/// refusals after counts that were reported late.
const MAX_DEFICIT: (Duration, f64) = (Duration::from_secs(3), 20.0);
/// Time without a feed after which the counts of an entry are forgotten.
const ENTRY_TTL: Duration = Duration::from_secs(60);
/// Part of its rate that a team has to ask for, or of its burst that it has to use up, to be listed.
const NEAR_PART: f64 = 0.7;
/// Rate and number of requests below which a team is not listed: of 83 teams that send a request in ten
/// seconds, 20 would be at any time.
const MIN_NEAR: (f64, f64) = (1.0, 2.0);
/// Latest report of an entry about one team.
#[derive(Clone, Copy, Debug, Default)]
struct Reported {
    admitted: u64,
    asked: RequestRate,
    waiting: u32,
    at: Mono,
}

/// Counts of one entry.
#[derive(Debug)]
struct KnownEntry {
    incarnation: Incarnation,
    /// When its last feed was closed; `None` while one is open.
    lost_at: Option<Mono>,
    /// Part of the next counts that is recent, from 0 to 1.
    recent_part: f64,
    teams: HashMap<TeamId, Reported>,
}

/// Token bucket of one team.
#[derive(Debug)]
struct Account {
    rate: f64,
    burst: f64,
    balance: f64,
    refilled_at: Mono,
    /// Rate that the entries ask for, in the unit of [`RequestRate`], as far as it is known between two
    /// summaries.
    asked: u64,
}

impl Account {
    fn refill(&mut self, now: Mono, part: f64) {
        let elapsed = now.since(self.refilled_at).min(MAX_GAP).as_secs_f64();
        self.refilled_at = now;
        self.balance = (self.balance + self.rate * part * elapsed).min(self.burst * part);
    }

    /// Counts admitted requests; a negative number returns them.
    fn take(&mut self, requests: f64, part: f64) {
        let (time, more) = MAX_DEFICIT;
        let least = -(self.rate * time.as_secs_f64() + more);
        self.balance = (self.balance - requests).max(least).min(self.burst * part);
    }

    /// Returns true if the team uses so much of its quota that the entries have to know.
    fn is_near(&self, part: f64) -> bool {
        let (least_asked, least_used) = MIN_NEAR;
        let asked = RequestRate(self.asked).per_second();
        let low = self.burst * part * (1.0 - NEAR_PART) - least_used;
        asked >= (self.rate * part * NEAR_PART).max(least_asked) || self.balance < low
    }
}

/// Use of the quotas at the entries that report to one controller.
#[derive(Debug)]
pub struct TeamUsages {
    started_at: Mono,
    /// Time of the latest call of [`TeamUsages::observe`].
    observed_at: Mono,
    /// Time from which admissions count; reports that arrive earlier may be from during a pause.
    counts_from: Mono,
    policy: Arc<TrafficPolicy>,
    entries: IndexMap<InstanceId, KnownEntry>,
    accounts: IndexMap<TeamId, Account>,
    /// Entries that report, and entries known; both at least 1.
    fleet: (u32, u32),
    /// True if a listed team's usage has changed since the last summary.
    is_pressing: bool,
}

impl TeamUsages {
    /// Creates an empty summary.
    pub fn new(now: Mono) -> Self {
        Self {
            started_at: now,
            observed_at: now,
            counts_from: now,
            policy: Arc::default(),
            entries: IndexMap::new(),
            accounts: IndexMap::new(),
            fleet: (1, 1),
            is_pressing: false,
        }
    }

    /// Records that the controller runs; called at every heartbeat. After a pause the balances start
    /// anew, since it cannot tell which of the counts that it missed are recent.
    pub fn observe(&mut self, now: Mono) {
        if now.since(self.observed_at) >= MAX_GAP {
            self.started_at = now;
            self.counts_from = now + OLD_REPORTS_TIME;
            for account in self.accounts.values_mut() {
                account.balance = 0.0;
                account.refilled_at = now;
            }
        }
        self.observed_at = now;
    }

    /// Returns true if any team has a quota.
    pub fn has_quotas(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns true if a listed team's usage has changed since the last summary.
    pub fn is_pressing(&self) -> bool {
        self.is_pressing
    }

    /// Applies the quotas of a routing table. A lowered quota cuts the balance at once; a quota that is
    /// raised by `x` requests adds them to the balance.
    pub fn set_policy(&mut self, now: Mono, policy: &Arc<TrafficPolicy>) {
        if Arc::ptr_eq(policy, &self.policy) {
            return;
        }
        self.policy = policy.clone();
        let part = self.part();
        let limited = |team: &TeamId| policy.teams.get(team).is_some_and(|t| t.is_limited());
        self.accounts.retain(|team, _| limited(team));
        for (name, team) in policy.teams.iter().filter(|(_, t)| t.is_limited()) {
            let (rate, burst) = (team.rate.per_second(), f64::from(team.burst));
            let counted = now.since(self.started_at).as_secs_f64();
            let account = self.accounts.entry(name.clone()).or_insert_with(|| Account {
                rate,
                burst,
                balance: (rate * counted).min(burst) * part,
                refilled_at: now,
                asked: 0,
            });
            account.refill(now, part);
            account.balance += (burst - account.burst).max(0.0) * part;
            if account.balance < 0.0 {
                // A lowered quota does not have to make up for the deficit of the higher one.
                account.balance *= (rate / account.rate).min(1.0);
            }
            account.rate = rate;
            account.burst = burst;
            account.refill(now, part);
        }
    }

    /// Sets the number of entries that report now and of those known. If entries have vanished, their
    /// part of the balance goes with them, and so does that of the time since they were last heard.
    pub fn set_fleet(&mut self, now: Mono, heard: u32, known: u32) {
        let before = self.part();
        for account in self.accounts.values_mut() {
            account.refill(now, before);
        }
        self.fleet = (heard.clamp(1, known.max(1)), known.max(1));
        let after = self.part();
        if after >= before {
            return;
        }
        for account in self.accounts.values_mut() {
            let unheard = account.rate * (before - after) * ENTRY_SILENCE.as_secs_f64();
            if account.balance > 0.0 {
                account.balance *= after / before;
            }
            account.balance -= unheard;
        }
    }

    /// Returns the part of each quota that the reporting entries may use.
    fn part(&self) -> f64 {
        f64::from(self.fleet.0) / f64::from(self.fleet.1)
    }

    /// Records that an entry opened a feed.
    pub fn open(&mut self, now: Mono, entry: &InstanceId) {
        let Some(known) = self.entries.get_mut(entry) else { return };
        let Some(lost_at) = known.lost_at.take() else { return };
        // The feed was closed only after the entry had been silent for a while.
        let gap = now.since(lost_at) + ENTRY_SILENCE;
        known.recent_part = (MAX_GAP.as_secs_f64() / gap.as_secs_f64()).min(1.0);
    }

    /// Records that the last feed of an entry was closed.
    pub fn close(&mut self, now: Mono, entry: &InstanceId) {
        if let Some(known) = self.entries.get_mut(entry) {
            known.lost_at = Some(now);
        }
    }

    /// Records that all other entries have lost their feeds, also those whose feed the controller dropped.
    pub fn close_others(&mut self, now: Mono, is_open: impl Fn(&InstanceId) -> bool) {
        for (name, known) in &mut self.entries {
            if known.lost_at.is_none() && !is_open(name) {
                known.lost_at = Some(now);
            }
        }
    }

    /// Records a report of an entry. Reports of an earlier start are ignored, but for a baseline: the
    /// incarnation is a time of day, which may be lower after a restart if the clock was set back.
    pub fn record(&mut self, now: Mono, entry: &InstanceId, report: UsageReport) {
        let UsageReport { incarnation, is_baseline, teams } = report;
        let known = self.entries.get(entry).map(|k| k.incarnation);
        if !is_baseline && known.is_some_and(|known| known > incarnation) {
            return;
        }
        if known != Some(incarnation) {
            let teams = HashMap::new();
            let known = KnownEntry { incarnation, lost_at: None, recent_part: 1.0, teams };
            self.entries.insert(entry.clone(), known);
        }
        for usage in teams {
            self.record_team(now, entry, usage, is_baseline);
        }
        if let Some(known) = self.entries.get_mut(entry)
            && !is_baseline
        {
            known.recent_part = 1.0;
        }
    }

    fn record_team(&mut self, now: Mono, entry: &InstanceId, usage: TeamUsage, is_baseline: bool) {
        let part = self.part();
        let Some(known) = self.entries.get_mut(entry) else { return };
        let TeamUsage { team, admitted, asked, waiting } = usage;
        let base = if is_baseline { admitted } else { 0 };
        let before = known.teams.get(&team).copied();
        let counted = before.map_or(base, |r| r.admitted);
        let counts = if now < self.counts_from { 0.0 } else { known.recent_part };
        let added = (admitted as f64 - counted as f64) * counts;
        let changed = added != 0.0 || before.is_none_or(|r| r.asked != asked);
        known.teams.insert(team.clone(), Reported { admitted, asked, waiting, at: now });
        let Some(account) = self.accounts.get_mut(&team) else { return };
        account.refill(now, part);
        account.take(added, part);
        let asked_before = before.map_or(0, |r| r.asked.0);
        account.asked = account.asked.saturating_sub(asked_before).saturating_add(asked.0);
        self.is_pressing |= changed && account.is_near(part);
    }

    /// Returns the use of the quotas, with the teams that are near theirs.
    pub fn summary(&mut self, now: Mono) -> FleetUsage {
        self.is_pressing = false;
        let is_kept = |k: &KnownEntry| k.lost_at.is_none_or(|at| now.since(at) < ENTRY_TTL);
        self.entries.retain(|_, known| is_kept(known));
        let part = self.part();
        let mut teams = Vec::new();
        for (team, account) in &mut self.accounts {
            account.refill(now, part);
            let reported = self.entries.values().filter_map(|k| k.teams.get(team));
            let recent = reported.filter(|r| now.since(r.at) < MAX_ASKED_AGE);
            let asked: RequestRate = recent.clone().map(|r| r.asked).sum();
            account.asked = asked.0;
            if !account.is_near(part) {
                continue;
            }
            teams.push(TeamTotal {
                team: team.clone(),
                balance: QuotaBalance::from_requests(account.balance),
                asked,
                waiting: recent.map(|r| r.waiting).fold(0, u32::saturating_add),
            });
        }
        let counted_ms = now.since(self.started_at).as_millis();
        FleetUsage {
            heard: self.fleet.0,
            known: self.fleet.1,
            counted_ms: u32::try_from(counted_ms).unwrap_or(u32::MAX),
            teams,
        }
    }
}
