//! Shares of teams in capacity that is short, and the waits of patient requests.
//!
//! Load pattern: three teams send several times their usual rate, and bursts of one kind of request last
//! for seconds. See [`crate::fair_share`] and [`crate::kind_shares`]. Replayed in `tests/team_load`.
//! Nothing here has an effect without teams in the table.

use std::time::Duration;

use hornbeam_model::{Mono, QueryId, Route, Routing, TeamId};
use hornbeam_traffic::latency::LatencyWindow;

use super::{Engine, Output};
use crate::claim::{Claim, Rank, TeamSlot};
use crate::request::{RefusalKind, RunningRequest};
use crate::service::Service;

/// Mean latencies of the service that a patient request needs after its wait.
const RESERVED_LATENCIES: u32 = 2;
/// Percentage of the spare time (objective less usual latency) that a team's request may be expected to
/// wait: its queue is that of its rank and team only, which is known better than that of all.
const MAX_WAIT_SPARE_PERCENT: u32 = 60;
/// Percentage of the time of a patient request that it is expected to wait at most: the estimate is rough.
const MAX_PATIENT_WAIT_PERCENT: u32 = 60;

impl Engine {
    /// Returns the claim of a request on a route of this table.
    pub(super) fn claim_of(
        &mut self,
        table: &Routing,
        route: &Route,
        team: Option<&TeamId>,
        patience: Option<Duration>,
    ) -> Claim {
        if table.policy.teams.is_empty() {
            return Claim::of_route(route);
        }
        let rank = Rank::of_team(team.and_then(|t| table.policy.teams.get(t)), route);
        self.claim_with(rank, team, route, patience.unwrap_or(Duration::MAX))
    }

    /// Returns the claim of a group that is gathered for another entry, whose route carries the rank.
    pub(super) fn claim_of_group(
        &mut self,
        route: &Route,
        team: Option<&TeamId>,
        remaining: Duration,
    ) -> Claim {
        let has_teams = self.table.as_ref().is_some_and(|t| !t.policy.teams.is_empty());
        if !has_teams {
            return Claim::of_route(route);
        }
        self.claim_with(Rank::of_route(route), team, route, remaining)
    }

    fn claim_with(
        &mut self,
        rank: Rank,
        team: Option<&TeamId>,
        route: &Route,
        time: Duration,
    ) -> Claim {
        // The first slot is that of requests without a team.
        let slot = team.map_or(0, |t| self.team_slots.insert_full(t.clone()).0 + 1);
        let slot = TeamSlot(u16::try_from(slot).unwrap_or(u16::MAX));
        Claim::of_team(rank, slot, route, route.timeout().min(time))
    }

    /// Returns how long a request with this claim may be queued at a service whose mean latency is
    /// `mean`: within its objective, and a patient one within its time.
    pub(super) fn max_wait_of(&self, route: &Route, claim: Claim, mean: Duration) -> Duration {
        let usual = super::admission::max_wait(route, mean);
        if claim.team == TeamSlot::default() {
            return usual;
        }
        let own = self.latencies.get(&route.name).and_then(LatencyWindow::median).unwrap_or(mean);
        let spare = route.objective().saturating_sub(own.min(mean)) * MAX_WAIT_SPARE_PERCENT / 100;
        let usual = usual.max(spare);
        let Some(time) = claim.patience else { return usual };
        let longest = time * MAX_PATIENT_WAIT_PERCENT / 100;
        usual.max(longest.saturating_sub(mean * RESERVED_LATENCIES))
    }

    /// Sets until when a patient request is queued, and its place among the requests of its rank: one
    /// that is not expected to be served within its objective does not go before those that are.
    pub(super) fn plan_wait(&self, now: Mono, running: &mut RunningRequest) {
        if running.claim.patience.is_none() {
            return;
        }
        let services = || running.shards.iter().map(|s| s.service);
        let mean = services().map(|s| self.services[s].mean_latency()).max().unwrap_or_default();
        let wait =
            services().map(|s| self.expected_wait(now, s, running.claim, &running.regions)).max();
        let latest = running.deadline.before(mean * RESERVED_LATENCIES);
        running.patient_until = Some(latest.max(running.answer_by));
        running.yields = now + wait.unwrap_or_default() + mean > running.answer_by;
    }

    /// Refuses a request that has waited as long as it may without any attempt. Returns true if it has
    /// ended.
    pub(super) fn end_wait(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) -> bool {
        let Some(running) = self.requests.get(&key) else { return true };
        if running.is_group() || !running.overdue || running.attempts > 0 {
            return false;
        }
        if now < running.wait_until() {
            return false;
        }
        self.refuse(now, key, RefusalKind::Overloaded, out);
        true
    }

    /// Returns the usual latency of a request at a service. Between teams, kinds of requests with little
    /// work would count as late by the mean of all.
    pub(super) fn usual_latency(&self, running: &RunningRequest, service: &Service) -> Duration {
        let mean = service.mean_latency();
        if !service.fair_share.is_active() {
            return mean;
        }
        let own = self.latencies.get(&running.route.name).and_then(LatencyWindow::median);
        own.map_or(mean, |own| own.min(mean))
    }

    /// Counts an attempt of a request as work that its team is given.
    pub(super) fn charge_team(&mut self, key: QueryId, service: usize) {
        let Some(running) = self.requests.get(&key) else { return };
        let work = self.latencies.get(&running.route.name).and_then(LatencyWindow::low);
        let service = &mut self.services[service];
        let work = work.unwrap_or_else(|| service.mean_latency());
        service.fair_share.charge(running.claim.rank, running.claim.team, work);
    }

    /// Counts a request that has arrived. Returns true if it is to be refused, because more urgent ones of
    /// its team are refused more often.
    pub(super) fn holds_back(&mut self, now: Mono, services: &[usize], claim: Claim) -> bool {
        let Some(service) = services.first().filter(|_| claim.team != TeamSlot::default()) else {
            return false;
        };
        let holds_back = self.kind_shares.holds_back(now, *service, claim);
        self.kind_shares.record_offered(now, *service, claim);
        holds_back
    }

    /// Counts a request that is refused for lack of capacity.
    pub(super) fn record_kind_refused(&mut self, now: Mono, service: Option<usize>, claim: Claim) {
        if let Some(service) = service.filter(|_| claim.team != TeamSlot::default()) {
            self.kind_shares.record_refused(now, service, claim);
        }
    }
}
