//! Servers that state the rate of requests that they accept from all entries together.
//!
//! The rate bounds every way in which a request reaches a server: first attempts, queued shards,
//! hedges, retries and probes, for callers and for groups of other entries.

use std::cmp::Reverse;
use std::time::Duration;

use hornbeam_model::{Mono, RateReport, ServerId};

use super::{AttemptOutcome, Engine, InFlightAttempt, Output, Timer};
use crate::claim::Claim;
use crate::decision::Decision;
use crate::notice::RateNotice;
use crate::rate_limit::RateLimit;
use crate::region_rule::RegionRule;
use crate::server::Server;

impl Engine {
    /// Returns the rates that servers state, with the demand for each at this entry. The reported
    /// demand is what this entry's part of the rate is computed from.
    pub fn rate_reports(&mut self, now: Mono) -> Vec<RateReport> {
        let (names, servers, services) = (&self.server_names, &self.servers, &self.services);
        let demand = |server: &ServerId, incarnation| {
            let server = names.get(server).map(|i| &servers[*i])?;
            (server.incarnation == incarnation).then(|| services[server.service].demand(now))
        };
        let reports = self.rate_limits.reports(now, demand);
        reports.into_iter().map(|(statement, demand)| RateReport { statement, demand }).collect()
    }

    /// Records what a server stated about its rate in the response to an attempt. Refusals may lack
    /// the rate, so only a response to a request that ran withdraws it.
    pub(super) fn record_stated_rate(
        &mut self,
        now: Mono,
        in_flight: &InFlightAttempt,
        outcome: AttemptOutcome,
        rate: RateNotice,
        out: &mut Vec<Output>,
    ) {
        let server = &self.servers[in_flight.server];
        let rate = match rate {
            RateNotice::Stated(rate) => Some(rate),
            RateNotice::Unstated if server.rate_limited && outcome.has_run() => None,
            RateNotice::Unstated => return,
            RateNotice::Unreadable => {
                let (request, server) = (in_flight.id.clone(), server.id.clone());
                return out.push(Output::Log(Decision::RateIgnored { request, server }));
            }
        };
        let id = server.id.clone();
        let start = (&id, server.incarnation);
        if self.rate_limits.observe(now, start, in_flight.sent_at, rate) {
            self.apply_rate(now, &id, out);
        }
    }

    pub(super) fn on_rate_reports(
        &mut self,
        now: Mono,
        reports: Vec<RateReport>,
        out: &mut Vec<Output>,
    ) {
        for RateReport { statement, demand } in reports {
            let server = statement.server.clone();
            if self.rate_limits.record_report(now, statement, demand) {
                self.apply_rate(now, &server, out);
            }
        }
    }

    /// Applies a changed rate to a server.
    fn apply_rate(&mut self, now: Mono, server: &ServerId, out: &mut Vec<Output>) {
        let Some(idx) = self.server_names.get(server).copied() else { return };
        let s = &mut self.servers[idx];
        let limit = self.rate_limits.in_force(now, server, s.incarnation);
        let rate = limit.and_then(|l| l.stated());
        let was_limited = std::mem::replace(&mut s.rate_limited, limit.is_some());
        let service = s.service;
        if rate.is_none() && !was_limited {
            return;
        }
        out.push(Output::Log(Decision::ServerRate {
            server: server.clone(),
            service: self.services[service].id.clone(),
            rate,
            entries: self.entries,
        }));
        self.dispatch_waiters(now, service, out);
    }

    /// Returns true if the rate that a server states allows another request of this entry now. If
    /// not, queued shards of its service are looked at again when it does.
    pub(super) fn within_rate(&mut self, now: Mono, server: usize) -> bool {
        let s = &self.servers[server];
        if !s.rate_limited {
            return true;
        }
        let Some(limit) = self.rate_limits.get_mut(&s.id, s.incarnation) else { return true };
        let size = self.fleet_size;
        let has_cold_token = limit.has_cold_token(now, size, self.cold_phase);
        if limit.has_token(now, self.entries) && has_cold_token {
            return true;
        }
        if let Some(at) = limit.schedule_wake(now, self.entries, size) {
            self.timers.push(Reverse((at, Timer::ServerAvailable(s.service))));
        }
        false
    }

    /// Counts a request that is sent to a server against its rate.
    pub(super) fn count_against_rate(&mut self, server: usize) {
        let s = &self.servers[server];
        if s.rate_limited
            && let Some(limit) = self.rate_limits.get_mut(&s.id, s.incarnation)
        {
            limit.take();
        }
    }

    /// Returns a request that did not reach its server to the rate of the server.
    pub(super) fn refund_rate(&mut self, server: usize) {
        let s = &self.servers[server];
        if s.rate_limited
            && let Some(limit) = self.rate_limits.get_mut(&s.id, s.incarnation)
        {
            limit.refund();
        }
    }

    /// Returns the expected time until the rates of the servers of a service allow another request
    /// of this entry after those that are queued. Zero if a server that is neither ejected nor
    /// paused states no rate.
    pub(super) fn expected_rate_wait(
        &self,
        now: Mono,
        service: usize,
        claim: Claim,
        regions: &RegionRule,
    ) -> Duration {
        let servers = self.allowed_servers(service, regions);
        let service = &self.services[service];
        let available: Vec<_> = servers.filter(|s| !s.is_paused(now) && !s.is_ejected()).collect();
        let limit = |s: &&Server| self.rate_limits.in_force(now, &s.id, s.incarnation);
        if !available.iter().all(|s| s.rate_limited && limit(s).is_some()) {
            return Duration::ZERO;
        }
        let requests = (service.waiters_ahead(claim) + 1) as f64;
        let requests = (requests / available.len().max(1) as f64).max(1.0);
        let size = self.fleet_size;
        let wait = |l: &RateLimit| {
            l.wait_for(now, self.entries, requests).max(l.cold_wait(now, size, requests))
        };
        let waits = available.iter().filter_map(limit).map(wait);
        waits.min().unwrap_or_default()
    }
}
