//! Shards onto servers, and the queue for room.

use std::cmp::Reverse;

use hornbeam_model::{AttemptId, Mono, QueryId};
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::{Attempt, Engine, InFlightAttempt, Output, Timer};
use crate::decision::{AttemptKind, Decision};
use crate::request::{RunningRequest, ShardStatus};
use crate::service::Waiter;

/// Expected latency, in times left until the answer is due, above which a server is not worth its
/// load; the estimate is rough.
const TOO_SLOW_RATIO: f64 = 2.5;
/// Part of the objective, in hundredths, for which a shard may be passed over in a standing queue: its
/// caller can still be served in time elsewhere.
const MAX_STANDING_QUEUE_WAIT_PERCENT: u32 = 20;
/// Random part of a cost, so that entries with the same view do not choose alike.
const COST_JITTER: f64 = 0.1;
/// Ranks among which requests are spread for the budget of retries.
const RETRY_RANKS: u64 = 1_000;
/// Attempts for one shard in all, with those that servers did not run.
pub(super) const MAX_ATTEMPTS_PER_SHARD: u32 = 5;

/// A shard and the server chosen for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedAttempt {
    pub key: QueryId,
    pub shard: usize,
    pub server: usize,
    pub kind: AttemptKind,
    /// The estimate by which the server was chosen.
    pub cost: f64,
}

/// The choice of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ServerChoice {
    /// This one, at this cost.
    Server(usize, f64),
    /// All that are not avoided are full.
    AtCapacity,
    /// All are avoided, or none is left.
    Unavailable,
}

impl Engine {
    /// Places every shard of a new request. A shard whose servers have all failed lately does not
    /// hold up the answer, as long as enough others can come.
    pub(super) fn place_all(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get(&key) else { return };
        let (count, min_responses) = (running.shards.len(), running.min_responses);
        let mut avoided = Vec::new();
        for shard in 0..count {
            if !self.place_shard(now, key, shard, out) {
                avoided.push(shard);
            }
        }
        let sound = count - avoided.len();
        for shard in avoided {
            self.place_on_ejected(now, key, shard, sound >= min_responses, out);
        }
    }

    /// Sends one shard, or queues it for room; false if all its servers are avoided.
    pub(super) fn place_shard(
        &mut self,
        now: Mono,
        key: QueryId,
        shard: usize,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(running) = self.requests.get(&key) else { return true };
        let progress = &running.shards[shard];
        let (service, used, due) = (progress.service, progress.tried.clone(), running.answer_by);
        match self.choose_server_or_tried(now, service, &used, due) {
            ServerChoice::Server(server, cost) => {
                self.send_if_allowed(now, (key, shard), (server, cost), out)
            }
            ServerChoice::AtCapacity => {
                self.enqueue(key, shard);
                true
            }
            ServerChoice::Unavailable => false,
        }
    }

    /// The server of least cost that was not used, or else one that was: it did not run the shard and
    /// may take it now.
    fn choose_server_or_tried(
        &mut self,
        now: Mono,
        service: usize,
        used: &[usize],
        due: Mono,
    ) -> ServerChoice {
        match self.choose_server(now, service, used, due) {
            ServerChoice::Unavailable if !used.is_empty() => {
                self.choose_server(now, service, &[], due)
            }
            choice => choice,
        }
    }

    /// Sends a shard to the server chosen for it; false if the budget does not allow that.
    fn send_if_allowed(
        &mut self,
        now: Mono,
        (key, shard): (QueryId, usize),
        (server, cost): (usize, f64),
        out: &mut Vec<Output>,
    ) -> bool {
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

    /// True if the budget allows a retry. When it runs short it goes to some requests for all their
    /// shards, not to all requests for some: an answer that lacks too many shards is none.
    fn retry_allowed(&mut self, now: Mono, key: QueryId, service: usize) -> bool {
        let Some(running) = self.requests.get(&key) else { return false };
        let rank = (xxh3_64(running.id.as_bytes()) % RETRY_RANKS) as f64 / RETRY_RANKS as f64;
        let rank = if running.is_scatter() { rank } else { 0.0 };
        self.services[service].retry_budget.allows_retry(now, self.entries, rank)
    }

    /// Sends a shard to a server that failed lately: as a probe whose answer is not waited for, or,
    /// if too few others can come, in earnest.
    fn place_on_ejected(
        &mut self,
        now: Mono,
        key: QueryId,
        shard: usize,
        others_suffice: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        let progress = &mut running.shards[shard];
        let (service, sends) = (progress.service, progress.attempts);
        progress.not_awaited = others_suffice;
        let servers = self.services[service].servers.clone();
        let probe = servers.iter().copied().find(|s| self.servers[*s].start_probe_if_due(now));
        let earnest = || {
            let open = servers.iter().copied().filter(|s| self.servers[*s].has_capacity());
            open.min_by_key(|s| self.servers[*s].ejected_until())
        };
        let server = probe.or_else(|| if others_suffice { None } else { earnest() });
        match server {
            Some(server) if sends < MAX_ATTEMPTS_PER_SHARD => {
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

    /// The server of least cost with room, but for those in `avoid`. One that would answer long
    /// after `due` is only taken if no other is there: its answer would come too late and cost it as much.
    pub(super) fn choose_server(
        &mut self,
        now: Mono,
        service: usize,
        avoid: &[usize],
        due: Mono,
    ) -> ServerChoice {
        if !self.services[service].has_capacity() {
            return ServerChoice::AtCapacity;
        }
        let usual = self.services[service].mean_latency();
        let mut best: Option<(usize, f64)> = None;
        let mut too_slow: Option<(usize, f64)> = None;
        let mut full = false;
        for idx in &self.services[service].servers {
            let server = &mut self.servers[*idx];
            if avoid.contains(idx) || (server.is_ejected() && !server.start_probe_if_due(now)) {
                continue;
            }
            if !server.has_capacity() {
                full = true;
                continue;
            }
            let spread = 1.0 + self.rng.random_range(0.0..COST_JITTER);
            let cost = server.cost(now, usual) * spread;
            if now < due && now + server.expected_latency(now, usual).div_f64(TOO_SLOW_RATIO) > due
            {
                if too_slow.is_none_or(|(_, least)| cost < least) {
                    too_slow = Some((*idx, cost));
                }
                continue;
            }
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((*idx, cost));
            }
        }
        match best.or(if full { None } else { too_slow }) {
            Some((idx, cost)) => ServerChoice::Server(idx, cost),
            None if full => ServerChoice::AtCapacity,
            None => ServerChoice::Unavailable,
        }
    }

    fn enqueue(&mut self, key: QueryId, shard: usize) {
        let Some(running) = self.requests.get(&key) else { return };
        let waiter = waiter(running, shard);
        let service = running.shards[shard].service;
        self.services[service].waiters.insert(waiter);
    }

    /// Takes a shard out of the queue, if it waits there.
    pub(super) fn dequeue(&mut self, key: QueryId, shard: usize) {
        let Some(running) = self.requests.get(&key) else { return };
        let waiter = waiter(running, shard);
        let service = running.shards[shard].service;
        self.services[service].waiters.remove(&waiter);
    }

    /// Gives room that became free to the shards that wait for it, the most urgent first.
    pub(super) fn dispatch_waiters(&mut self, now: Mono, service: usize, out: &mut Vec<Output>) {
        self.drop_late_waiters(now, service, out);
        while let Some(first) = self.services[service].next_waiter() {
            let used =
                self.requests.get(&first.request).map(|r| r.shards[first.shard].tried.clone());
            let Some(used) = used else {
                self.services[service].waiters.remove(&first);
                continue;
            };
            match self.choose_server_or_tried(now, service, &used, first.due) {
                ServerChoice::Server(server, cost) => {
                    self.services[service].waiters.remove(&first);
                    let (key, shard) = (first.request, first.shard);
                    // It may have waited since the budget was last asked.
                    if self.send_if_allowed(now, (key, shard), (server, cost), out) {
                        self.arm_timer(key);
                    } else {
                        self.abandon_waiter(now, &first, out);
                    }
                }
                ServerChoice::AtCapacity => return,
                ServerChoice::Unavailable => self.abandon_waiter(now, &first, out),
            }
        }
        self.services[service].standing_queue = false;
    }

    /// Gives up the waiting shards whose answer would come too late, while others behind them can
    /// still be in time.
    fn drop_late_waiters(&mut self, now: Mono, service: usize, out: &mut Vec<Output>) {
        while let Some(first) = self.services[service].waiters.first().copied() {
            if !self.would_be_late(now, service, &first) {
                return;
            }
            self.services[service].standing_queue = true;
            self.abandon_waiter(now, &first, out);
        }
    }

    /// Takes a shard out of the queue for good.
    fn abandon_waiter(&mut self, now: Mono, waiter: &Waiter, out: &mut Vec<Output>) {
        self.dequeue(waiter.request, waiter.shard);
        self.mark_missing(waiter.request, waiter.shard);
        self.complete_if_decided(now, waiter.request, out);
    }

    /// True if a shard that waited would come too late while others behind it can still be in time, or
    /// if it was passed over for long in a standing queue.
    fn would_be_late(&self, now: Mono, service: usize, waiter: &Waiter) -> bool {
        let service = &self.services[service];
        let Some(running) = self.requests.get(&waiter.request) else { return false };
        let is_due = now < running.answer_by && now + service.mean_latency() > running.answer_by;
        let longest = running.route.objective() * MAX_STANDING_QUEUE_WAIT_PERCENT / 100;
        let passed_over = service.standing_queue && now.since(running.arrived) > longest;
        (is_due && service.waiters.len() > 1) || passed_over
    }

    pub(super) fn dispatch_all_waiters(&mut self, now: Mono, out: &mut Vec<Output>) {
        for service in 0..self.services.len() {
            if !self.services[service].waiters.is_empty() {
                self.dispatch_waiters(now, service, out);
            }
        }
    }

    /// Sends one shard to a server.
    pub(super) fn send_attempt(
        &mut self,
        now: Mono,
        planned: PlannedAttempt,
        out: &mut Vec<Output>,
    ) {
        let PlannedAttempt { key, shard, server, kind, cost } = planned;
        let delay = self.hedge_delay(now, key);
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
        // The first sends of a scatter stand together in the line of its admission.
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
            remaining: left,
        }));
        self.counters.attempts[kind as usize] += 1;
        let in_flight = InFlightAttempt {
            request: Some(key),
            id: running.id.clone(),
            route: running.route.name.clone(),
            shard,
            server,
            sent_at: now,
            kind,
            marked_unresponsive: false,
        };
        self.attempts.insert(attempt, in_flight);
    }

    /// Lets an attempt that nobody waits for go on for a while, so that its connection can be used
    /// again; a request that must not run twice goes on until it ends.
    pub(super) fn linger(&mut self, now: Mono, attempt: AttemptId, idempotent: bool) {
        let Some(in_flight) = self.attempts.get_mut(&attempt) else { return };
        in_flight.request = None;
        if idempotent {
            let until = now + self.params.linger;
            self.timers.push(Reverse((until, Timer::Linger(attempt))));
        }
    }

    /// Breaks off an attempt that lingered too long; its server gave no answer.
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

fn waiter(running: &RunningRequest, shard: usize) -> Waiter {
    let (priority, due) = (running.route.priority, running.answer_by);
    Waiter { priority, due, request: running.key, shard }
}
