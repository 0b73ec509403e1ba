//! Shards that wait for capacity at the servers of their service.

use hornbeam_model::{Mono, QueryId};

use super::placement::ServerChoice;
use super::{Engine, Output};
use crate::request::RunningRequest;
use crate::service::Waiter;

/// Percentage of the objective that a shard may wait in a standing queue before it is dropped,
/// while its caller can still be served in time elsewhere.
const MAX_STANDING_QUEUE_WAIT_PERCENT: u32 = 20;

impl Engine {
    pub(super) fn enqueue(&mut self, key: QueryId, shard: usize) {
        let Some(running) = self.requests.get(&key) else { return };
        let waiter = waiter(running, shard);
        let service = running.shards[shard].service;
        self.services[service].waiters.insert(waiter);
    }

    /// Removes a shard from the queue of its service, if it is queued.
    pub(super) fn dequeue(&mut self, key: QueryId, shard: usize) {
        let Some(running) = self.requests.get(&key) else { return };
        let waiter = waiter(running, shard);
        let service = running.shards[shard].service;
        self.services[service].waiters.remove(&waiter);
    }

    /// Sends queued shards of a service while servers have capacity, the most urgent first.
    pub(super) fn dispatch_waiters(&mut self, now: Mono, service: usize, out: &mut Vec<Output>) {
        self.drop_late_waiters(now, service, out);
        while let Some(first) = self.services[service].next_waiter() {
            let Some(running) = self.requests.get(&first.request) else {
                self.services[service].waiters.remove(&first);
                continue;
            };
            let tried = running.shards[first.shard].tried.clone();
            let regions = running.regions.clone();
            // Teams have turns, so one that is late is not always the first.
            let has_teams = self.services[service].fair_share.is_active();
            if has_teams && self.would_be_late(now, service, &first) {
                self.abandon_waiter(now, &first, out);
                continue;
            }
            match self.choose_server_or_tried(now, service, &tried, first.due, &regions) {
                ServerChoice::Server(server, cost) => {
                    self.services[service].take_waiter(&first);
                    let (key, shard) = (first.request, first.shard);
                    // The budget may have changed since the shard was queued.
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

    /// Drops waiters from the front of a queue as long as [`Self::would_be_late`] applies to them,
    /// and marks the queue as standing.
    fn drop_late_waiters(&mut self, now: Mono, service: usize, out: &mut Vec<Output>) {
        while let Some(first) = self.services[service].waiters.first().copied() {
            if !self.would_be_late(now, service, &first) {
                return;
            }
            self.services[service].standing_queue = true;
            self.abandon_waiter(now, &first, out);
        }
    }

    /// Removes a shard from the queue and marks it as missing.
    fn abandon_waiter(&mut self, now: Mono, waiter: &Waiter, out: &mut Vec<Output>) {
        self.dequeue(waiter.request, waiter.shard);
        self.mark_missing(waiter.request, waiter.shard);
        self.complete_if_decided(now, waiter.request, out);
    }

    /// Returns true if the response of a queued shard would be too late while others behind it can
    /// still be in time, or if the shard has waited too long in a standing queue.
    fn would_be_late(&self, now: Mono, service: usize, waiter: &Waiter) -> bool {
        let service = &self.services[service];
        let Some(running) = self.requests.get(&waiter.request) else { return false };
        let until = running.wait_until();
        let too_late = now < until && now + self.usual_latency(running, service) > until;
        let max_wait = running.route.objective() * MAX_STANDING_QUEUE_WAIT_PERCENT / 100;
        // Between teams, a queue of less urgent requests stands while the more urgent ones are in time.
        let is_standing = service.standing_queue && !service.fair_share.is_active();
        let waited_too_long = is_standing && now.since(running.arrived) > max_wait;
        (too_late && service.waiters.len() > 1) || waited_too_long
    }

    pub(super) fn dispatch_all_waiters(&mut self, now: Mono, out: &mut Vec<Output>) {
        for service in 0..self.services.len() {
            if !self.services[service].waiters.is_empty() {
                self.dispatch_waiters(now, service, out);
            }
        }
    }
}

fn waiter(running: &RunningRequest, shard: usize) -> Waiter {
    Waiter {
        rank: running.claim.rank,
        due: running.queue_due(),
        request: running.key,
        shard,
        team: running.claim.team,
        is_patient: running.patient_until.is_some(),
    }
}
