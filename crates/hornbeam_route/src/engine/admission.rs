//! Route matching, admission and refusal on arrival.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{Fingerprint, KeyDigest, Mono, QueryId, Route, ServiceId, Target, TeamId};
use rand::Rng;
use smol_str::SmolStr;

use super::teams::KeyCheck;
use super::{Completion, Engine, Output};
use crate::claim::Claim;
use crate::decision::Decision;
use crate::region_rule::RegionRule;
use crate::request::{Refusal, RefusalKind, RunningRequest, answer_by};

/// Retry delay sent to a caller when no estimate of the wait is available.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Shortest retry delay sent to a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Random increase of the retry delay in percent, so that callers do not retry simultaneously.
const RETRY_AFTER_JITTER_PERCENT: f64 = 20.0;
/// Percentage of the spare time (objective less mean latency) that a request may wait for capacity.
const MAX_WAIT_SPARE_PERCENT: u32 = 25;
/// Percentage of the objective that a request may wait for capacity even without spare time.
const MAX_WAIT_FLOOR_PERCENT: u32 = 10;

/// Returns how long a request may be queued and still get its response within the objective.
pub(super) fn max_wait(route: &Route, mean: Duration) -> Duration {
    let objective = route.objective();
    let spare = objective.saturating_sub(mean) * MAX_WAIT_SPARE_PERCENT / 100;
    spare.max(objective * MAX_WAIT_FLOOR_PERCENT / 100)
}

/// Fields of [`Input::Request`](super::Input::Request).
#[derive(Debug)]
pub(super) struct Arrival {
    pub key: QueryId,
    pub id: SmolStr,
    pub fingerprint: Fingerprint,
    pub credential: Option<KeyDigest>,
    /// Team of the caller; set once the route is known.
    pub team: Option<TeamId>,
    pub host: SmolStr,
    pub path: SmolStr,
    pub arrived: Mono,
    pub patience: Option<Duration>,
    pub opened_connection: bool,
    /// Time that it waited for a routing table, already taken off `patience`.
    pub waited: Duration,
    /// When it is refused if the table has not arrived.
    pub waits_until: Mono,
}

/// When the services of a route have capacity for a request.
#[derive(Debug, Default)]
pub(super) struct Prospects {
    /// Services with a wait that still allows a response within the objective.
    in_time: usize,
    /// Waits of the services that have servers but a longer queue.
    too_long: Vec<Duration>,
    /// Times until the first server of each other service is available.
    unavailable_for: Vec<Duration>,
}

impl Prospects {
    /// Returns the number of services with an available server.
    fn reachable(&self) -> usize {
        self.in_time + self.too_long.len()
    }

    /// Returns the time after which `count` services have capacity. `None` if it is not known:
    /// they have some now, or too few of them have a known server.
    pub fn time_until(mut self, count: usize) -> Option<Duration> {
        let needed = count.checked_sub(self.in_time + 1)?;
        self.too_long.append(&mut self.unavailable_for);
        self.too_long.sort_unstable();
        self.too_long.get(needed).copied()
    }
}

impl Engine {
    pub(super) fn on_request(&mut self, now: Mono, mut arrival: Arrival, out: &mut Vec<Output>) {
        if self.has_stopped(now) {
            let kind = RefusalKind::Draining;
            return self.refuse_on_arrival(now, arrival, None, kind, None, out);
        }
        let Some(table) = self.table.clone() else {
            return self.await_table(now, arrival, out);
        };
        let Some(route) = self.index.find(&arrival.host, &arrival.path).cloned() else {
            self.demand.record(now, 1.0);
            return self.refuse_on_arrival(now, arrival, None, RefusalKind::NoRoute, None, out);
        };
        match self.check_key(now, &table, &route, arrival.credential) {
            KeyCheck::Accepted(team) => arrival.team = team,
            KeyCheck::AwaitTable => return self.await_newer_table(now, arrival, out),
            KeyCheck::Refused(kind) => {
                self.demand.record(now, 1.0);
                return self.refuse_on_arrival(now, arrival, Some(&route), kind, None, out);
            }
        }
        let timeout = route.timeout();
        let patience = arrival.patience.map_or(timeout, |p| p.min(timeout));
        let answer_by =
            answer_by(arrival.arrived, route.objective().min(patience), arrival.opened_connection);
        if self.stops_before(answer_by) {
            let kind = RefusalKind::Draining;
            return self.refuse_on_arrival(now, arrival, Some(&route), kind, None, out);
        }
        if let Some(team) = &arrival.team {
            arrival.fingerprint = arrival.fingerprint.of_team(team);
        }
        if let Some(wait) = self.over_quota(now, arrival.team.as_ref(), out) {
            let kind = RefusalKind::OverQuota;
            return self.refuse_on_arrival(now, arrival, Some(&route), kind, Some(wait), out);
        }
        let services = self.services_for(&route);
        let regions = self.region_rule(&route.name, arrival.team.as_ref());
        // A group names its route but not its team, so a team's regions hold only for what is sent here.
        let delegates = self.should_delegate(&route, &services, &regions)
            && !self.has_regions(arrival.team.as_ref());
        let may_need_relay = self.may_need_relay();
        let needs_relay = |s: &usize| may_need_relay && self.needs_relay(now, *s, &regions);
        let beyond_reach: Vec<bool> = services.iter().map(needs_relay).collect();
        let relayed = beyond_reach.iter().filter(|r| **r).count();
        self.demand.record(now, 1.0 - relayed as f64 / services.len().max(1) as f64);
        // Delegated shards count toward the retry budget of the entries that send them.
        let own = services.iter().zip(&beyond_reach).filter(|(_, beyond)| !**beyond);
        let own: Vec<usize> = own.map(|(service, _)| *service).collect();
        for service in own.iter().filter(|_| !delegates) {
            self.services[*service].record_request(now);
        }
        let min_shards = match &route.target {
            Target::Scatter(scatter) => scatter.min_shards(),
            Target::Single(_) | Target::Split(_) => 1,
        };
        let quarantine = self.quarantined_below(now, arrival.fingerprint, &services, min_shards);
        if let Some(until) = quarantine {
            let (kind, wait) = (RefusalKind::Quarantined, Some(until.since(now)));
            return self.refuse_on_arrival(now, arrival, Some(&route), kind, wait, out);
        }
        let claim = self.claim_of(&table, &route, arrival.team.as_ref(), arrival.patience);
        let min_own = min_shards.saturating_sub(relayed);
        let refusal = match self.holds_back(now, &services, claim) {
            true => Some((RefusalKind::Overloaded, None)),
            false => {
                self.admission_refusal(now, (&route, claim), &own, min_own, delegates, &regions)
            }
        };
        if let Some((kind, wait)) = refusal {
            self.record_kind_refused(now, services.first().copied(), claim);
            return self.refuse_on_arrival(now, arrival, Some(&route), kind, wait, out);
        }
        self.state_team(&table, &arrival, out);
        let mut running = RunningRequest {
            table: table.version,
            arrived: arrival.arrived,
            deadline: now + patience,
            answer_by,
            min_shards,
            fingerprint: arrival.fingerprint,
            team: arrival.team,
            credential: arrival.credential,
            regions,
            claim,
            ..RunningRequest::new(arrival.key, arrival.id, route, services)
        };
        self.plan_wait(now, &mut running);
        let key = running.key;
        self.requests.insert(key, running);
        self.probe_peers(now, out);
        if delegates {
            self.delegate(now, key, out);
        } else {
            self.place_all(now, key, out);
        }
        self.log_admission(now, key, out);
        self.complete_if_decided(now, key, out);
        self.arm_timer(key);
    }

    /// Returns the positions of the services that a request on this route goes to.
    fn services_for(&mut self, route: &Arc<Route>) -> Vec<usize> {
        let names: Vec<ServiceId> = match &route.target {
            Target::Single(service) => vec![service.clone()],
            Target::Split(parts) => {
                let splitter = self.splitters.entry(route.name.clone()).or_default();
                let part = splitter.next(parts);
                part.map(|i| parts[i].service.clone()).into_iter().collect()
            }
            Target::Scatter(scatter) => scatter.shards.clone(),
        };
        names.iter().map(|name| self.service_position(name)).collect()
    }

    /// Returns the reason to refuse a request on arrival, if there is one, and how long it is
    /// expected to last.
    pub(super) fn admission_refusal(
        &mut self,
        now: Mono,
        (route, claim): (&Route, Claim),
        services: &[usize],
        min_shards: usize,
        delegates: bool,
        regions: &RegionRule,
    ) -> Option<(RefusalKind, Option<Duration>)> {
        if self.requests.len() >= self.params.max_in_flight {
            return Some((RefusalKind::Overloaded, None));
        }
        let prospects = self.prospects(now, (route, claim), services, delegates, regions);
        if prospects.reachable() < min_shards {
            return Some((RefusalKind::NoServer, prospects.time_until(min_shards)));
        }
        if prospects.in_time < min_shards {
            return Some((RefusalKind::Overloaded, prospects.time_until(min_shards)));
        }
        None
    }

    /// Estimates when each service of a route has capacity for a request that arrives now. The
    /// stated rates of servers bound what this entry sends itself, so they are left out for a
    /// request that it delegates.
    pub(super) fn prospects(
        &self,
        now: Mono,
        (route, claim): (&Route, Claim),
        services: &[usize],
        delegates: bool,
        regions: &RegionRule,
    ) -> Prospects {
        let mut prospects = Prospects::default();
        for position in services {
            let service = &self.services[*position];
            if service.servers.is_empty() {
                continue;
            }
            let barred = self.barred_for(*position, regions);
            if let Some(time) = barred.or_else(|| self.beyond_reach_for(now, *position, regions)) {
                prospects.unavailable_for.push(time);
                continue;
            }
            let wait = self.expected_wait(now, *position, claim, regions);
            let mut wait = wait.max(service.reported_wait(now, claim));
            if !delegates {
                wait = wait.max(self.expected_rate_wait(now, *position, claim, regions));
            }
            if wait <= self.max_wait_of(route, claim, service.mean_latency()) {
                prospects.in_time += 1;
            } else {
                prospects.too_long.push(wait);
            }
        }
        prospects
    }

    /// Returns the expected wait for capacity at the servers of a service.
    pub(super) fn expected_wait(
        &self,
        now: Mono,
        service: usize,
        claim: Claim,
        regions: &RegionRule,
    ) -> Duration {
        let available = self.allowed_servers(service, regions).filter(|s| !s.is_paused(now));
        let service = &self.services[service];
        let places: u32 = available.map(|s| s.limit()).sum();
        service.expected_wait(claim, places.min(service.limit()))
    }

    /// Returns the time until the first server of a service that may be used is available, if all these
    /// are ejected, paused or in lost zones.
    pub(super) fn unavailable_for(
        &self,
        now: Mono,
        service: usize,
        regions: &RegionRule,
    ) -> Option<Duration> {
        let mut soonest = Mono::MAX;
        for server in self.allowed_servers(service, regions) {
            let lost = self.zones.is_lost(now, &server.zone);
            let next_probe = self.zones.next_probe(&server.zone).filter(|_| lost);
            let until = server.unavailable_until(now).max(next_probe)?;
            soonest = soonest.min(until);
        }
        (soonest > now).then(|| soonest.since(now))
    }

    pub(super) fn refuse_on_arrival(
        &mut self,
        now: Mono,
        arrival: Arrival,
        route: Option<&Route>,
        kind: RefusalKind,
        wait: Option<Duration>,
        out: &mut Vec<Output>,
    ) {
        self.return_to_quota(kind, arrival.team.as_ref());
        let refusal = Refusal { kind, retry_after: self.retry_after(kind, wait) };
        out.push(Output::Log(Decision::Refused {
            request: arrival.id,
            team: arrival.team,
            route: route.map(|r| r.name.clone()),
            reason: kind,
            took_ms: now.since(arrival.arrived).as_millis() as u64,
            parts: 0,
            sends: 0,
            retry_after_ms: refusal.retry_after.map(|d| d.as_millis() as u64),
            queue: self.requests.len(),
            usable: self.server_names.len(),
        }));
        out.push(Output::Complete {
            request: arrival.key,
            completion: Completion::Refuse(refusal),
        });
    }

    /// Returns the retry delay for a caller: the expected wait with jitter. `None` if the request
    /// may have run, and if no route matches or the key is unknown, because
    /// a retry then fails in the same way.
    pub(super) fn retry_after(
        &mut self,
        kind: RefusalKind,
        wait: Option<Duration>,
    ) -> Option<Duration> {
        if !kind.has_not_run() || matches!(kind, RefusalKind::NoRoute | RefusalKind::UnknownKey) {
            return None;
        }
        // An entry that is isolated or shutting down closes the connection, and other entries serve the
        // caller at once, unless its team has used up its quota.
        let closes = self.isolated || kind == RefusalKind::Draining;
        let elsewhere = closes && kind != RefusalKind::OverQuota;
        let wait = if elsewhere { None } else { Some(wait.unwrap_or(DEFAULT_RETRY_AFTER)) };
        let wait = wait.unwrap_or_default().max(MIN_RETRY_AFTER);
        let spread = self.rng.random_range(0.0..RETRY_AFTER_JITTER_PERCENT);
        Some(wait.mul_f64(1.0 + spread / 100.0))
    }

    fn log_admission(&self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get(&key) else { return };
        let counts = running.shard_counts();
        out.push(Output::Log(Decision::Admitted {
            request: running.id.clone(),
            route: running.route.name.clone(),
            table: running.table,
            deadline_ms: running.deadline.since(now).as_millis() as u64,
            shards: running.shards.len(),
            sent: counts.sent,
            waiting: counts.waiting,
            lacking: counts.missing,
        }));
    }
}
