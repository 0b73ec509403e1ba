//! Servers that are cold, and bear a limited rate of requests of all entries together.
//!
//! A server is cold if its heartbeat or a response states a remaining warm-up. The rate is that of its
//! service in the routing table; services without one are not limited. The limit bounds every way in which
//! a request reaches a server, as that of a stated rate does.

use std::cmp::Reverse;
use std::time::Duration;

use hornbeam_model::{Mono, QueryId, RequestRate, ServiceId};

use super::{Engine, InFlightAttempt, Output, Timer};
use crate::cold_limit::ColdBounds;
use crate::decision::Decision;

/// Longest remaining warm-up that a response can state, so that a wrong value has an end.
const MAX_STATED_WARM_UP: Duration = Duration::from_secs(600);

impl Engine {
    /// Sets what a cold server may get beyond its rate.
    pub fn set_cold_bounds(&mut self, bounds: ColdBounds) {
        self.cold_bounds = bounds;
    }

    /// Returns the rate that a cold server of a service bears, if it is limited.
    pub(super) fn cold_rate(&self, service: &ServiceId) -> Option<RequestRate> {
        let warm_ups = &self.table.as_ref()?.policy.warm_ups;
        warm_ups.get(service).map(|w| w.rate).filter(|rate| rate.0 > 0)
    }

    /// Limits the requests to a server if it is cold and its service has a rate for that.
    pub(super) fn apply_warm_up(&mut self, now: Mono, idx: usize, out: &mut Vec<Output>) {
        let s = &self.servers[idx];
        let (server, incarnation, until) = (s.id.clone(), s.incarnation, s.warm_up_until);
        let (position, was_limited) = (s.service, s.rate_limited);
        let service = self.services[position].id.clone();
        let rate = self.cold_rate(&service).filter(|_| until > now);
        let Some(rate) = rate else {
            if was_limited {
                self.rate_limits.end_cold(&server);
                let limit = self.rate_limits.in_force(now, &server, incarnation);
                self.servers[idx].rate_limited = limit.is_some();
            }
            return;
        };
        self.servers[idx].rate_limited = true;
        let limit = (rate, self.cold_bounds);
        let is_new = self.rate_limits.set_cold(now, (&server, incarnation), limit, until);
        self.timers.push(Reverse((until, Timer::ServerAvailable(position))));
        if is_new {
            let left_ms = until.since(now).as_millis() as u64;
            let entries = self.entries;
            out.push(Output::Log(Decision::ServerCold { server, service, rate, left_ms, entries }));
        }
    }

    /// Applies the rates of a new table to the servers that are cold now.
    pub(super) fn apply_warm_ups(&mut self, now: Mono, out: &mut Vec<Output>) {
        for idx in 0..self.servers.len() {
            if self.servers[idx].usable && self.servers[idx].warm_up_until > now {
                self.apply_warm_up(now, idx, out);
            }
        }
    }

    /// Records the remaining warm-up that a server states in a response. It starts or prolongs the
    /// warm-up and never ends it, since an earlier response may arrive later.
    pub(super) fn record_stated_warm_up(
        &mut self,
        now: Mono,
        in_flight: &InFlightAttempt,
        warm_up: Option<Duration>,
        out: &mut Vec<Output>,
    ) {
        let Some(left) = warm_up.filter(|left| !left.is_zero()) else { return };
        let until = now + left.min(MAX_STATED_WARM_UP);
        let server = &mut self.servers[in_flight.server];
        if !server.usable || until <= server.warm_up_until {
            return;
        }
        server.warm_up_until = until;
        self.apply_warm_up(now, in_flight.server, out);
    }

    /// Logs that a shard waits for cold servers, if that is why it waits.
    pub(super) fn log_cold_wait(
        &self,
        now: Mono,
        key: QueryId,
        shard: usize,
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.requests.get(&key) else { return };
        let service = &self.services[running.shards[shard].service];
        let servers = service.servers.iter().map(|i| &self.servers[*i]);
        let limited = servers.filter(|s| s.rate_limited);
        let limits = limited.filter_map(|s| self.rate_limits.in_force(now, &s.id, s.incarnation));
        let cold = limits.filter(|l| l.is_cold(now));
        let waits: Vec<Duration> = cold.map(|l| l.cold_wait(now, self.fleet_size, 1.0)).collect();
        let Some(wait) = waits.iter().filter(|w| !w.is_zero()).min() else { return };
        out.push(Output::Log(Decision::ColdWait {
            request: running.id.clone(),
            service: service.id.clone(),
            cold: waits.len(),
            wait_ms: wait.as_millis() as u64,
        }));
    }
}
