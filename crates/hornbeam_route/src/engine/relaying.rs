//! Shards and requests that only other entries can reach.
//!
//! Load pattern: this entry has lost its links to all servers, or to those of some services, and
//! other entries still have theirs. What it cannot reach is relayed: delegated as a group to an
//! entry of any zone, which sends it to its own servers and never relays it again. Replayed in
//! `tests/detached`.
//!
//! A relayed request counts for the stated rates, the retry budget and the limits of the entry that
//! sends it. Sending a shard that may have run once more also takes from the budget of this entry.

use std::time::Duration;

use hornbeam_model::{AttemptId, InstanceId, Mono, QueryId, Target};

use super::admission::DEFAULT_RETRY_AFTER;
use super::{AttemptOutcome, Engine, Output, group_size};
use crate::copy_hold::CopyVerdict;
use crate::decision::Decision;
use crate::region_rule::RegionRule;
use crate::request::{Refusal, RefusalKind, RunningRequest, ShardStatus};
use crate::server::Server;

/// Entries that a shard is relayed to at most, one after the other.
const MAX_RELAYS: u32 = 6;
/// Entries at most that may refuse a shard for lack of capacity or servers before its request ends.
const MAX_REFUSED_RELAYS: u32 = 2;
/// Servers of one shard that refuse connections before it is relayed.
const MAX_REFUSED_CONNECTIONS: usize = 2;
/// Percentage of the time until the response is due, or of the remaining time after that, in which
/// another entry has to start gathering.
const START_PERCENT: u32 = 45;

impl Engine {
    /// Returns the time until a server of a service may be reachable from here, if none is now.
    pub(super) fn beyond_reach_for(
        &self,
        now: Mono,
        service: usize,
        regions: &RegionRule,
    ) -> Option<Duration> {
        if self.is_detached() {
            return Some(DEFAULT_RETRY_AFTER);
        }
        self.unavailable_for(now, service, regions)
    }

    /// Returns false if this entry reaches all its servers, as far as is known. Asked once for many
    /// services, it saves looking at each of them.
    pub(super) fn may_need_relay(&self) -> bool {
        let out_of_use = |s: &Server| s.usable && s.is_ejected();
        self.is_detached() || self.zones.any_unreachable() || self.servers.iter().any(out_of_use)
    }

    /// Returns true if the links to a server have failed. One that asked for a pause is left alone by
    /// all entries, and one that is slow for this entry is so for the others.
    fn is_out_of_reach(&self, now: Mono, server: &Server) -> bool {
        let links_failed = self.is_detached()
            || self.zones.is_unreachable(&server.zone)
            || server.refuses_connections();
        links_failed && !server.is_paused(now)
    }

    /// Returns true if the links to all servers of a service that may be used have failed, and there are
    /// some. No entry may use the others.
    pub(super) fn all_out_of_reach(&self, now: Mono, service: usize, regions: &RegionRule) -> bool {
        let mut servers = self.allowed_servers(service, regions).peekable();
        servers.peek().is_some() && servers.all(|s| self.is_out_of_reach(now, s))
    }

    /// Returns true if another entry may reach the servers of a service, and this one reaches none.
    pub(super) fn needs_relay(&self, now: Mono, service: usize, regions: &RegionRule) -> bool {
        let known = &self.services[service];
        !known.servers.is_empty()
            && now >= known.unservable_until()
            && self.peers.can_relay()
            && self.beyond_reach_for(now, service, regions).is_some()
            && self.all_out_of_reach(now, service, regions)
    }

    /// Returns true if a shard that has failed here should be relayed: if this entry reaches none of
    /// its servers, or none that it has tried. A service may have more servers than a shard may have
    /// attempts.
    pub(super) fn should_relay(&self, now: Mono, running: &RunningRequest, shard: usize) -> bool {
        let progress = &running.shards[shard];
        if running.is_group() {
            return false;
        }
        let refused = |s: &usize| self.servers[*s].refuses_connections();
        let all_refused = progress.deliveries == 0
            && progress.tried.len() >= MAX_REFUSED_CONNECTIONS
            && progress.tried.iter().all(refused);
        let may_ask =
            || self.peers.can_relay() && now >= self.services[progress.service].unservable_until();
        self.needs_relay(now, progress.service, &running.regions) || (all_refused && may_ask())
    }

    /// Relays shards of a request to other entries; those that no entry can take are missing.
    /// `tried` has refused them before.
    pub(super) fn relay(
        &mut self,
        now: Mono,
        key: QueryId,
        shards: &[usize],
        tried: Option<&InstanceId>,
        out: &mut Vec<Output>,
    ) {
        let mut allowed = Vec::new();
        for shard in shards {
            if self.may_relay(now, key, *shard) {
                allowed.push(*shard);
            } else {
                self.mark_missing(key, *shard);
            }
        }
        if allowed.is_empty() {
            return;
        }
        let is_large = allowed.len() > self.params.delegate_above;
        let size = if is_large { group_size(allowed.len()) } else { allowed.len() };
        for group in allowed.chunks(size) {
            self.relay_group(now, key, group, tried, out);
        }
        let Some(running) = self.requests.get_mut(&key) else { return };
        let until = if now < running.answer_by { running.answer_by } else { running.deadline };
        let start_by = now + until.since(now) * START_PERCENT / 100;
        running.reclaim_at = Some(running.reclaim_at.map_or(start_by, |at| at.min(start_by)));
    }

    /// Returns true if a shard may be sent by another entry.
    pub(super) fn may_relay(&mut self, now: Mono, key: QueryId, shard: usize) -> bool {
        let Some(running) = self.requests.get(&key) else { return false };
        let progress = &running.shards[shard];
        let (service, deliveries) = (progress.service, progress.deliveries);
        progress.relays < MAX_RELAYS
            && running.may_run(shard)
            && now < running.deadline
            && !self.may_not_start(now, key, shard)
            && self.copy_verdict(key, shard) == CopyVerdict::Allowed
            && (deliveries == 0 || self.retry_allowed(now, key, service))
    }

    fn relay_group(
        &mut self,
        now: Mono,
        key: QueryId,
        shards: &[usize],
        tried: Option<&InstanceId>,
        out: &mut Vec<Output>,
    ) {
        let Some(peer) = self.choose_relay(key, tried) else {
            for shard in shards {
                self.mark_missing(key, *shard);
            }
            return;
        };
        let Some(running) = self.requests.get_mut(&key) else { return };
        let mut before = 0;
        for shard in shards {
            let progress = &mut running.shards[*shard];
            before = before.max(progress.relays);
            progress.relays += 1;
            progress.not_awaited = false;
            progress.hedge_at = None;
            if progress.deliveries > 0 {
                self.services[progress.service].retry_budget.record_extra_request(now);
            }
        }
        out.push(Output::Log(Decision::Relayed {
            request: running.id.clone(),
            peer: peer.name.clone(),
            shards: shards.len(),
            before,
        }));
        self.delegate_group(now, key, &peer, shards, out);
    }

    /// Sends shards of a group again that `peer` has not gathered: from here if this entry reaches their
    /// servers, and through another entry otherwise, of another zone if possible: what keeps `peer` from its
    /// servers may hold for its whole zone.
    pub(super) fn retry_shards(
        &mut self,
        now: Mono,
        key: QueryId,
        shards: Vec<usize>,
        peer: &InstanceId,
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.requests.get(&key) else { return };
        let needs_relay = |s: &usize| {
            running.shards[*s].in_flight.is_empty() && self.should_relay(now, running, *s)
        };
        let (relayed, own): (Vec<usize>, Vec<usize>) = shards.into_iter().partition(needs_relay);
        self.relay(now, key, &relayed, Some(peer), out);
        for shard in own {
            self.retry_shard(now, key, shard, out);
        }
    }

    /// Sends shards again that `peer` sent to no server. One that gathers nothing any more says nothing
    /// about their servers. Otherwise one more entry is asked, and if it does not reach them either, no
    /// entry is asked for a while.
    pub(super) fn retry_unsent(
        &mut self,
        now: Mono,
        key: QueryId,
        shards: Vec<usize>,
        (peer, was_relay): (&InstanceId, bool),
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        for shard in &shards {
            running.shards[*shard].reclaim(true);
        }
        if !self.peers.is_usable(peer) {
            self.retry_shards(now, key, shards, peer, out);
            return self.arm_timer(key);
        }
        let mut again = Vec::new();
        for shard in shards {
            let service = self.requests.get(&key).map(|r| r.shards[shard].service);
            let unservable = service.is_some_and(|s| now < self.services[s].unservable_until());
            if was_relay {
                self.mark_unservable(now, key, shard);
            }
            if was_relay || unservable {
                self.mark_missing(key, shard);
            } else {
                again.push(shard);
            }
        }
        self.relay(now, key, &again, Some(peer), out);
        self.arm_timer(key);
    }

    /// Handles the response of a server to a relayed request for a single service.
    pub(super) fn on_forwarded(
        &mut self,
        now: Mono,
        group: AttemptId,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let Some(delegated) = self.remove_group(group) else { return };
        self.restore_peer(&delegated.peer, out);
        self.peers.record_report(&delegated.peer);
        let key = delegated.request;
        let shard = delegated.shards.first().copied();
        let Some((running, shard)) = self.requests.get_mut(&key).zip(shard) else { return };
        let progress = &mut running.shards[shard];
        if progress.status != ShardStatus::Open {
            return out.push(Output::Discard(group));
        }
        if outcome == AttemptOutcome::Answered {
            progress.status = ShardStatus::Received(group);
            running.responses += 1;
        } else {
            progress.status = ShardStatus::Missing;
            out.extend(running.keep_error(shard, group, outcome).map(Output::Discard));
        }
        self.complete_if_decided(now, key, out);
    }

    /// Handles a group that another entry refused: another one may have room or reach the servers.
    pub(super) fn on_group_refused(
        &mut self,
        now: Mono,
        group: AttemptId,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let Some(delegated) = self.remove_group(group) else { return };
        self.restore_peer(&delegated.peer, out);
        let key = delegated.request;
        let Some(running) = self.requests.get_mut(&key) else { return };
        let open = |s: &usize| running.shards[*s].status == ShardStatus::Open;
        let open: Vec<usize> = delegated.shards.iter().copied().filter(open).collect();
        for shard in &open {
            running.shards[*shard].reclaim(true);
        }
        running.refusal = Some(refusal);
        out.push(Output::Log(Decision::GroupRefused {
            request: running.id.clone(),
            peer: delegated.peer.clone(),
            reason: refusal.kind,
            after_ms: now.since(delegated.sent_at).as_millis() as u64,
            shards: open.len(),
        }));
        let is_final = |s: &usize| {
            refusal.kind == RefusalKind::Quarantined
                || running.shards[*s].relays >= MAX_REFUSED_RELAYS
        };
        let (ended, again): (Vec<usize>, Vec<usize>) = open.into_iter().partition(is_final);
        for shard in ended {
            if refusal.kind == RefusalKind::NoServer && delegated.shards.len() == 1 {
                self.mark_unservable(now, key, shard);
            }
            self.mark_missing(key, shard);
        }
        self.relay(now, key, &again, Some(&delegated.peer), out);
        self.complete_if_decided(now, key, out);
        self.arm_timer(key);
    }

    /// Records that another entry reaches no server of a shard either.
    pub(super) fn mark_unservable(&mut self, now: Mono, key: QueryId, shard: usize) {
        if let Some(running) = self.requests.get(&key) {
            self.services[running.shards[shard].service].mark_unservable(now);
        }
    }

    /// Returns the reason to refuse a group that another entry relays to this one.
    pub(super) fn relay_refusal(&mut self, now: Mono, running: &RunningRequest) -> Option<Refusal> {
        let services: Vec<usize> = running.shards.iter().map(|s| s.service).collect();
        let min_shards = match &running.route.target {
            Target::Scatter(scatter) => scatter.min_shards(),
            Target::Single(_) | Target::Split(_) => 1,
        };
        let quarantine = self.quarantined_below(now, running.fingerprint, &services, min_shards);
        let (kind, wait) = match quarantine {
            Some(until) => (RefusalKind::Quarantined, Some(until.since(now))),
            None => {
                let claimed = (&*running.route, running.claim);
                let regions = &running.regions;
                self.admission_refusal(now, claimed, &services, min_shards, false, regions)?
            }
        };
        Some(Refusal { kind, retry_after: self.retry_after(kind, wait) })
    }
}
