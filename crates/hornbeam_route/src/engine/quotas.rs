//! Quotas of teams.
//!
//! Only callers' requests count, at the entry that received them; groups that are gathered for other
//! entries, hedges, retries and relays do not.

use std::time::Duration;

use hornbeam_model::{FleetUsage, InstanceId, Mono, TeamId, TeamUsage};

use super::{Engine, Output};
use crate::decision::Decision;
use crate::quota::OverQuota;
use crate::request::{RefusalKind, RunningRequest};

impl Engine {
    /// Returns the time after which the quota of the team allows a request, if it does not allow it now.
    /// Otherwise the request counts against the quota.
    pub(super) fn over_quota(
        &mut self,
        now: Mono,
        team: Option<&TeamId>,
        out: &mut Vec<Output>,
    ) -> Option<Duration> {
        let team = team.filter(|_| !self.quotas.is_empty())?;
        // Controllers that were just started count too few entries.
        let entries = self.entries.max(self.fleet_size.peak() as u32);
        let OverQuota { wait, is_first, asked, alone } =
            self.quotas.admit(now, team, entries, &mut self.rng).err()?;
        if is_first {
            let retry_after_ms = wait.as_millis() as u64;
            let team = team.clone();
            out.push(Output::Log(Decision::TeamOverQuota { team, asked, retry_after_ms, alone }));
        }
        Some(wait)
    }

    /// Returns a request that is refused on arrival to the quota, unless the quota is the reason.
    pub(super) fn return_to_quota(&mut self, kind: RefusalKind, team: Option<&TeamId>) {
        if let Some(team) = team.filter(|_| kind.has_not_run() && kind != RefusalKind::OverQuota) {
            self.quotas.give_back(team);
        }
    }

    /// Returns an admitted request that is refused before anything ran to the quota.
    pub(super) fn return_unrun_to_quota(&mut self, kind: RefusalKind, running: &RunningRequest) {
        if !running.is_group() && !running.may_have_run() {
            self.return_to_quota(kind, running.team.as_ref());
        }
    }

    /// Records what a controller reports about the quotas.
    pub(super) fn on_team_usage(&mut self, now: Mono, controller: InstanceId, usage: FleetUsage) {
        self.quotas.record_report(now, controller, usage);
    }

    /// Returns the usage of the quotas to report to the controllers now, which may be none.
    pub fn take_team_usage(&mut self, now: Mono) -> Vec<TeamUsage> {
        self.quotas.take_report(now, self.entries)
    }

    /// Returns the time to wait before the next call of [`Engine::take_team_usage`].
    pub fn team_usage_interval(&self) -> Duration {
        self.quotas.report_interval(self.entries)
    }

    /// Returns the number of teams that were refused a request because of their quota recently.
    pub fn limited_teams(&self, now: Mono) -> usize {
        self.quotas.limited_teams(now)
    }
}
