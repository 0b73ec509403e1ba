//! Choice of a server for each shard.

use std::cmp::Reverse;

use hornbeam_model::{AttemptId, Mono, QueryId};
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::spilling::ZoneFilter;
use super::{Attempt, Engine, InFlightAttempt, Output, Timer};
use crate::decision::{AttemptKind, Decision};
use crate::region_rule::RegionRule;
use crate::request::ShardStatus;

/// Ratio of the expected latency to the time until the response is due above which a server is not
/// worth its load; above 1.0 because the estimate is rough.
const TOO_SLOW_RATIO: f64 = 2.5;
/// Largest random increase of a cost, as a fraction, so that entries with the same measurements do
/// not all choose the same server.
const COST_JITTER: f64 = 0.1;
/// Number of ranks that requests are hashed to for the retry budget.
const RETRY_RANKS: u64 = 1_000;
/// Maximum number of attempts for one shard, including those that servers did not run.
pub(super) const MAX_ATTEMPTS_PER_SHARD: u32 = 5;

/// An attempt to send: a shard and the server chosen for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedAttempt {
    pub key: QueryId,
    pub shard: usize,
    pub server: usize,
    pub kind: AttemptKind,
    /// Cost estimate by which the server was chosen.
    pub cost: f64,
}

/// Result of choosing a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ServerChoice {
    /// Position of the server, and its cost.
    Server(usize, f64),
    /// The service or all its servers that are not ejected have no capacity.
    AtCapacity,
    /// All servers are ejected, paused, excluded, in lost or evacuated zones or in regions that are not
    /// allowed, or there are none.
    Unavailable,
}

impl Engine {
    /// Places every shard of a new request.
    pub(super) fn place_all(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get(&key) else { return };
        let shards: Vec<usize> = (0..running.shards.len()).collect();
        self.place_or_relay(now, key, &shards, out);
    }

    /// Places some shards of a new request, and relays those that only other entries can reach. Groups
    /// that are gathered for other entries are not relayed again.
    pub(super) fn place_or_relay(
        &mut self,
        now: Mono,
        key: QueryId,
        shards: &[usize],
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.requests.get(&key) else { return };
        let may_relay = !running.is_group() && self.may_need_relay();
        let needs_relay = |s: &usize| {
            may_relay && self.needs_relay(now, running.shards[*s].service, &running.regions)
        };
        let (relayed, own): (Vec<usize>, Vec<usize>) = shards.iter().partition(|s| needs_relay(s));
        self.relay(now, key, &relayed, None, out);
        if self.is_detached() {
            for shard in own {
                self.mark_missing(key, shard);
            }
            return;
        }
        self.place_shards(now, key, &own, out);
    }

    /// Places some shards of a new request. A shard whose servers are all ejected does not delay
    /// the response, as long as enough other shards can respond.
    pub(super) fn place_shards(
        &mut self,
        now: Mono,
        key: QueryId,
        shards: &[usize],
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.requests.get(&key) else { return };
        let (count, min_shards) = (running.shards.len(), running.min_shards);
        let mut unplaced = Vec::new();
        for shard in shards {
            if !self.place_shard(now, key, *shard, out) {
                unplaced.push(*shard);
            }
        }
        let placed = count - unplaced.len();
        for shard in unplaced {
            self.place_on_ejected(now, key, shard, placed >= min_shards, out);
        }
    }

    /// Sends one shard or queues it for capacity. Returns false if no server is available or the
    /// retry budget does not allow the attempt.
    pub(super) fn place_shard(
        &mut self,
        now: Mono,
        key: QueryId,
        shard: usize,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(running) = self.requests.get(&key) else { return true };
        let progress = &running.shards[shard];
        let (service, tried, due) = (progress.service, progress.tried.clone(), running.answer_by);
        let regions = running.regions.clone();
        match self.choose_server_or_tried(now, service, &tried, due, &regions) {
            ServerChoice::Server(server, cost) => {
                self.send_if_allowed(now, (key, shard), (server, cost), out)
            }
            ServerChoice::AtCapacity if self.may_not_start(now, key, shard) => false,
            ServerChoice::AtCapacity => {
                self.log_cold_wait(now, key, shard, out);
                self.enqueue(key, shard);
                true
            }
            ServerChoice::Unavailable => false,
        }
    }

    /// Chooses the server of least cost that was not tried yet, or else one that was: it did not
    /// run the shard and may accept it now.
    pub(super) fn choose_server_or_tried(
        &mut self,
        now: Mono,
        service: usize,
        tried: &[usize],
        due: Mono,
        regions: &RegionRule,
    ) -> ServerChoice {
        match self.choose_server(now, service, tried, due, regions) {
            ServerChoice::Unavailable if !tried.is_empty() => {
                self.choose_server(now, service, &[], due, regions)
            }
            choice => choice,
        }
    }

    /// Sends a shard to the server chosen for it; returns false if the request is quarantined or the
    /// retry budget does not allow it.
    pub(super) fn send_if_allowed(
        &mut self,
        now: Mono,
        (key, shard): (QueryId, usize),
        (server, cost): (usize, f64),
        out: &mut Vec<Output>,
    ) -> bool {
        if self.may_not_start(now, key, shard) {
            return false;
        }
        let kind = self.next_kind(key, shard);
        let service = self.servers[server].service;
        if kind == AttemptKind::Retry && !self.retry_allowed(now, key, service) {
            return false;
        }
        self.send_attempt(now, PlannedAttempt { key, shard, server, kind, cost }, out);
        true
    }

    fn next_kind(&self, key: QueryId, shard: usize) -> AttemptKind {
        let running = self.requests.get(&key);
        match running.map_or(0, |r| r.shards[shard].deliveries) {
            0 => AttemptKind::First,
            _ => AttemptKind::Retry,
        }
    }

    /// Returns true if the retry budget allows a retry. A scarce budget is spent on all shards of
    /// some requests rather than on some shards of all requests, because a response with too many
    /// missing shards is useless.
    pub(super) fn retry_allowed(&mut self, now: Mono, key: QueryId, service: usize) -> bool {
        let Some(running) = self.requests.get(&key) else { return false };
        let rank = (xxh3_64(running.id.as_bytes()) % RETRY_RANKS) as f64 / RETRY_RANKS as f64;
        let rank = if running.is_scatter() { rank } else { 0.0 };
        self.services[service].retry_budget.allows_retry(now, self.entries, rank)
    }

    /// Sends a shard whose servers are all ejected or paused to an ejected one: as a probe that the
    /// response does not wait for if the other shards suffice, and otherwise as an attempt that it
    /// needs, even if no probe is due.
    fn place_on_ejected(
        &mut self,
        now: Mono,
        key: QueryId,
        shard: usize,
        others_suffice: bool,
        out: &mut Vec<Output>,
    ) {
        if self.may_not_start(now, key, shard) {
            return self.mark_missing(key, shard);
        }
        let Some(running) = self.requests.get_mut(&key) else { return };
        let progress = &mut running.shards[shard];
        let (service, attempts) = (progress.service, progress.attempts);
        let regions = running.regions.clone();
        progress.not_awaited = others_suffice;
        let mut servers = self.services[service].servers.clone();
        servers.retain(|s| self.may_use(*s, &regions));
        servers.retain(|s| !self.servers[*s].is_paused(now) && self.within_rate(now, *s));
        let probe = servers.iter().copied().find(|s| self.servers[*s].start_probe_if_due(now));
        let required = || {
            let open = servers.iter().copied().filter(|s| self.servers[*s].has_capacity());
            open.min_by_key(|s| self.servers[*s].ejected_until())
        };
        let server = probe.or_else(|| if others_suffice { None } else { required() });
        match server {
            Some(server) if attempts < MAX_ATTEMPTS_PER_SHARD => {
                let kind = AttemptKind::Probe;
                self.send_attempt(now, PlannedAttempt { key, shard, server, kind, cost: 0.0 }, out);
            }
            _ => self.mark_missing(key, shard),
        }
    }

    pub(super) fn mark_missing(&mut self, key: QueryId, shard: usize) {
        if let Some(running) = self.requests.get_mut(&key) {
            running.shards[shard].status = ShardStatus::Missing;
            running.shards[shard].hedge_at = None;
        }
    }

    /// Chooses the server of least cost with capacity, except for those in `exclude`. One in an
    /// unreachable zone is chosen only as a probe of the zone, or if there is no other one and the
    /// zone is not lost yet. A server that
    /// would respond long after `due` is chosen only if there is no other one: its response would
    /// be too late and cost it the same work. Only servers in the zones of the filter are considered.
    pub(super) fn choose_server_in(
        &mut self,
        now: Mono,
        service: usize,
        exclude: &[usize],
        due: Mono,
        filter: &ZoneFilter,
        regions: &RegionRule,
    ) -> ServerChoice {
        if filter.is_limited() && self.is_at_limit(service) {
            return ServerChoice::AtCapacity;
        }
        let usual = self.services[service].mean_latency();
        let mut best: Option<(usize, f64)> = None;
        let mut too_slow: Option<(usize, f64)> = None;
        let mut in_silent_zone: Option<(usize, f64)> = None;
        let mut ejected_zone_probe: Option<(usize, f64)> = None;
        let mut full = false;
        for position in 0..self.services[service].servers.len() {
            let idx = self.services[service].servers[position];
            if !self.may_use(idx, regions) {
                continue;
            }
            let server = &mut self.servers[idx];
            if !filter.admits(&server.zone) {
                continue;
            }
            if exclude.contains(&idx)
                || server.is_paused(now)
                || (server.is_ejected() && !server.start_probe_if_due(now))
            {
                continue;
            }
            if !server.has_capacity() || !self.within_rate(now, idx) {
                full = true;
                continue;
            }
            let server = &self.servers[idx];
            let jitter = 1.0 + self.rng.random_range(0.0..COST_JITTER);
            let stated = server.stated_load_factor(now, || self.rng.random());
            let cost = server.cost(now, usual) * stated * jitter;
            if self.zones.is_unreachable(&server.zone) {
                // A retry or hedge replaces an attempt that failed, so it is no probe.
                // An ejected server may have ended, which would say nothing about its zone.
                if exclude.is_empty() && server.is_ejected() {
                    ejected_zone_probe.get_or_insert((idx, cost));
                } else if exclude.is_empty() && self.zones.start_probe_if_due(now, &server.zone) {
                    return ServerChoice::Server(idx, cost);
                }
                if !self.zones.is_lost(now, &server.zone)
                    && in_silent_zone.is_none_or(|(_, least)| cost < least)
                {
                    in_silent_zone = Some((idx, cost));
                }
                continue;
            }
            if now < due && now + server.expected_latency(now, usual).div_f64(TOO_SLOW_RATIO) > due
            {
                if too_slow.is_none_or(|(_, least)| cost < least) {
                    too_slow = Some((idx, cost));
                }
                continue;
            }
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((idx, cost));
            }
        }
        if let Some((idx, cost)) = ejected_zone_probe
            && self.zones.start_probe_if_due(now, &self.servers[idx].zone)
        {
            return ServerChoice::Server(idx, cost);
        }
        match best.or(if full { None } else { too_slow.or(in_silent_zone) }) {
            Some((idx, cost)) => ServerChoice::Server(idx, cost),
            None if full => ServerChoice::AtCapacity,
            None => ServerChoice::Unavailable,
        }
    }

    /// Outputs an attempt for one shard and records it.
    pub(super) fn send_attempt(
        &mut self,
        now: Mono,
        planned: PlannedAttempt,
        out: &mut Vec<Output>,
    ) {
        let PlannedAttempt { key, shard, server, kind, cost } = planned;
        let delay = self.hedge_delay(now, key);
        self.charge_team(key, self.servers[server].service);
        let Some(running) = self.requests.get_mut(&key) else { return };
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        running.attempts += 1;
        let is_scatter = running.is_scatter();
        let progress = &mut running.shards[shard];
        progress.attempts += 1;
        progress.possible_runs += 1;
        progress.deliveries += 1;
        progress.in_flight.push(attempt);
        if !progress.tried.contains(&server) {
            progress.tried.push(server);
        }
        let may_hedge =
            running.route.idempotent && progress.possible_runs < running.route.max_attempts;
        progress.hedge_at = if may_hedge { delay.map(|d| now + d) } else { None };
        if progress.deliveries > 1 {
            self.services[progress.service].retry_budget.record_extra_request(now);
        }
        self.services[progress.service].outstanding += 1;
        let s = &mut self.servers[server];
        s.record_sent(now, attempt);
        let left = running.deadline.since(now);
        // First attempts of a scatter are logged together, by its admission.
        if kind != AttemptKind::First || !is_scatter {
            out.push(Output::Log(Decision::Sent {
                request: running.id.clone(),
                attempt,
                kind,
                service: self.services[progress.service].id.clone(),
                server: s.id.clone(),
                cost,
                outstanding: s.outstanding.len(),
                left_ms: left.as_millis() as u64,
            }));
        }
        out.push(Output::SendAttempt(Attempt {
            id: attempt,
            kind,
            request: key,
            server: s.id.clone(),
            address: s.address,
            share: s.share,
            leaves_zone: !s.same_zone,
            remaining: left,
        }));
        self.counters.attempts[kind as usize] += 1;
        let in_flight = InFlightAttempt {
            request: Some(key),
            id: running.id.clone(),
            fingerprint: running.fingerprint,
            is_scatter,
            route: running.route.name.clone(),
            shard,
            server,
            sent_at: now,
            kind,
            allowed: running.answer_by.since(running.arrived),
            marked_unresponsive: false,
        };
        self.attempts.insert(attempt, in_flight);
        self.count_against_rate(server);
    }

    /// Lets an attempt linger whose response is no longer needed, so that its connection can be
    /// reused. An attempt of a non-idempotent request is never aborted.
    pub(super) fn linger(&mut self, now: Mono, attempt: AttemptId, idempotent: bool) {
        let Some(in_flight) = self.attempts.get_mut(&attempt) else { return };
        in_flight.request = None;
        if idempotent {
            let until = now + self.params.linger;
            self.timers.push(Reverse((until, Timer::Linger(attempt))));
        }
    }

    /// Aborts an attempt that lingered too long, and records that its server did not respond.
    pub(super) fn abort(&mut self, now: Mono, attempt: AttemptId, out: &mut Vec<Output>) {
        let Some(in_flight) = self.attempts.remove(&attempt) else { return };
        self.counters.aborted += 1;
        out.push(Output::Abort(attempt));
        let server = in_flight.server;
        self.record_attempt_end(server, attempt);
        self.record_no_response(now, &in_flight, out);
        self.release_position(server);
        let service = self.servers[server].service;
        self.dispatch_waiters(now, service, out);
    }
}
