//! Use of the teams' quotas, as entries report it and controllers sum it up.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, RequestRate, TeamId};

/// Shortest interval between two messages about a team that is near its quota.
const MIN_INTERVAL_MS: u64 = 100;
/// Longest interval between two messages about the use of quotas.
const MAX_INTERVAL_MS: u64 = 400;
/// Interval added for each entry, in microseconds, so that a controller with 80 entries gets at most
/// 800 urgent messages per second, and with more entries not many more.
const INTERVAL_PER_ENTRY_US: u64 = 1_250;

/// Returns the shortest interval between two messages about a team that is near its quota.
pub fn usage_interval(entries: u32) -> Duration {
    let scaled = Duration::from_micros(INTERVAL_PER_ENTRY_US * u64::from(entries));
    scaled.clamp(Duration::from_millis(MIN_INTERVAL_MS), Duration::from_millis(MAX_INTERVAL_MS))
}

/// Use of a team's quota at one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamId,
    /// Requests admitted since the start of the entry, less those returned to the quota.
    pub admitted: u64,
    /// Rate of the requests that callers sent, refused ones included.
    pub asked: RequestRate,
    /// Refused requests whose retry time has not come yet.
    pub waiting: u32,
}

/// Report of an entry about the teams whose usage has changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// Start of the entry from which the requests are counted.
    pub incarnation: Incarnation,
    /// True in the first reports on a feed, which cover all teams with counts: what the controller has
    /// not heard of yet may be old.
    pub is_baseline: bool,
    /// The teams.
    pub teams: Vec<TeamUsage>,
}

/// Requests left of a quota, in thousandths; negative if more were admitted than it allows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct QuotaBalance(pub i64);

impl QuotaBalance {
    /// Returns the balance for a number of requests.
    pub fn from_requests(requests: f64) -> Self {
        Self((requests * 1e3).round() as i64)
    }

    /// Returns the number of requests.
    pub fn requests(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

/// Use of a team's quota at all entries that a controller hears.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamTotal {
    /// The team.
    pub team: TeamId,
    /// Requests left of the part of the quota that these entries may use.
    pub balance: QuotaBalance,
    /// Sum of the rates that the entries reported.
    pub asked: RequestRate,
    /// Sum of the waiting requests that the entries reported.
    pub waiting: u32,
}

/// Use of the quotas at all entries that a controller hears.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetUsage {
    /// Entries that report to the controller now.
    pub heard: u32,
    /// Entries that the controller has heard within their lease, `heard` included.
    pub known: u32,
    /// Time for which the controller has counted, in milliseconds.
    pub counted_ms: u32,
    /// Teams that are near their quota; the others may use all of theirs meanwhile.
    pub teams: Vec<TeamTotal>,
}
