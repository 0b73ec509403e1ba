//! Delegation of shard groups to other entries, for searches over many shards.
//!
//! Sending to every shard takes one entry longer than a short objective allows. The origin entry
//! delegates groups of shards to other entries of its zone, which send, hedge and merge in
//! parallel.

use std::time::Duration;

use hornbeam_model::{AttemptId, InstanceId, Mono, QueryId, Route, Scatter, ServiceId, Target};

use super::{Delegation, Engine, GroupEvent, MAX_TIMER_DELAY, Output};
use crate::decision::{Decision, GroupFailure};
use crate::request::{RunningRequest, ShardStatus};

/// Percentage of the time until the response is due that is reserved for transferring the responses
/// of a group to this entry and merging them.
const REPORT_RESERVE_PERCENT: u32 = 20;
/// Percentage of the time until the response is due after which a group that no entry has started
/// to gather is reclaimed, so that its shards can still respond in time.
const RECLAIM_AFTER_PERCENT: u32 = 45;
/// Reserve for merging the responses of many shards and writing the response, on a tenth of a core.
const MERGE_RESERVE: Duration = Duration::from_millis(3);
/// Time for which a queue wait reported by a gathering entry is used.
const REPORTED_WAIT_TTL: Duration = Duration::from_millis(300);

/// A shard group that another entry gathers.
#[derive(Debug)]
pub(super) struct DelegatedGroup {
    request: QueryId,
    peer: InstanceId,
    /// Positions of its shards in the request.
    shards: Vec<usize>,
    /// True once the gathering entry has started.
    started: bool,
    /// True once it has reported on the group, even without a shard response.
    reported: bool,
    sent_at: Mono,
}

/// Returns the number of shards per group. The square root makes delegating the groups and
/// gathering one of them about the same work.
pub fn group_size(shards: usize) -> usize {
    shards.isqrt().max(1)
}

impl Engine {
    /// Returns true if a search has enough shards to be delegated and a usable peer exists.
    pub(super) fn should_delegate(&self, route: &Route, shards: usize) -> bool {
        shards > self.params.delegate_above
            && matches!(route.target, Target::Scatter(_))
            && self.peers.usable() > 0
    }

    /// Delegates all shards of a search to other entries in groups.
    pub(super) fn delegate(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        let shards = running.shards.len();
        running.answer_by = running.answer_by.before(MERGE_RESERVE).max(now);
        let positions: Vec<usize> = (0..shards).collect();
        for (number, group) in positions.chunks(group_size(shards)).enumerate() {
            // Choosing a peer does not mark it as suspected, so there is one for every group.
            let Some(peer) = self.peers.choose(number, &mut self.rng) else { continue };
            self.delegate_group(now, key, &peer, group, out);
        }
        let Some(running) = self.requests.get_mut(&key) else { return };
        let time = running.answer_by.since(now) * RECLAIM_AFTER_PERCENT / 100;
        running.reclaim_at = Some(now + time);
        out.push(Output::Log(Decision::Delegated {
            request: running.id.clone(),
            shards,
            groups: running.groups.len(),
            peers: self.peers.usable(),
        }));
    }

    fn delegate_group(
        &mut self,
        now: Mono,
        key: QueryId,
        peer: &crate::peers::Peer,
        shards: &[usize],
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        let group = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        running.groups.push(group);
        running.attempts += shards.len() as u32;
        for shard in shards {
            // Until the peer reports otherwise, each shard counts as sent to one server.
            running.shards[*shard].delegate();
        }
        let names = shards.iter().map(|s| self.services[running.shards[*s].service].id.clone());
        let delegation = Delegation {
            group,
            request: key,
            peer: peer.name.clone(),
            address: peer.address,
            route: group_route(&running.route, running.limit() as u32, names.collect()),
            due_in: running.answer_by.since(now) * (100 - REPORT_RESERVE_PERCENT) / 100,
            remaining: running.deadline.since(now),
        };
        let delegated = DelegatedGroup {
            request: key,
            peer: peer.name.clone(),
            shards: shards.to_vec(),
            started: false,
            reported: false,
            sent_at: now,
        };
        self.groups.insert(group, delegated);
        out.push(Output::Delegate(delegation));
    }

    pub(super) fn on_group_event(
        &mut self,
        now: Mono,
        group: AttemptId,
        event: GroupEvent,
        out: &mut Vec<Output>,
    ) {
        if !self.groups.contains_key(&group) {
            return out.push(Output::Discard(group));
        }
        match event {
            GroupEvent::Started => self.confirm(group, out),
            GroupEvent::ShardResponses { shards, queue_waits, last } => {
                self.on_shard_responses(now, group, &shards, &queue_waits, last, out);
            }
            GroupEvent::Declined => self.fail_group(now, group, GroupFailure::Declined, out),
            GroupEvent::NotSent => self.fail_group(now, group, GroupFailure::Unreachable, out),
            GroupEvent::ConnectionLost => self.fail_group(now, group, GroupFailure::Lost, out),
        }
    }

    /// Confirms a group to the entry that has started to gather it: it is no longer reclaimed.
    fn confirm(&mut self, group: AttemptId, out: &mut Vec<Output>) {
        let Some(delegated) = self.groups.get_mut(&group) else { return };
        delegated.started = true;
        if let Some(running) = self.requests.get_mut(&delegated.request) {
            let max_attempts = running.route.max_attempts;
            for shard in &delegated.shards {
                running.shards[*shard].confirm_group(max_attempts);
            }
        }
        out.push(Output::ConfirmGroup(group));
    }

    /// Adds shard responses of a group to its request. `positions` are those within the group.
    fn on_shard_responses(
        &mut self,
        now: Mono,
        group: AttemptId,
        positions: &[usize],
        queue_waits: &[(usize, Duration)],
        last: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(delegated) = self.groups.get_mut(&group) else { return };
        delegated.reported = true;
        let (key, shards, peer) =
            (delegated.request, delegated.shards.clone(), delegated.peer.clone());
        self.restore_peer(&peer, out);
        self.peers.record_report(&peer);
        let Some(running) = self.requests.get_mut(&key) else { return };
        for shard in positions.iter().filter_map(|p| shards.get(*p)) {
            let progress = &mut running.shards[*shard];
            if progress.status == ShardStatus::Open {
                progress.status = ShardStatus::Received(group);
                running.responses += 1;
            }
        }
        for (position, wait) in queue_waits {
            let Some(shard) = shards.get(*position) else { continue };
            let service = running.shards[*shard].service;
            self.services[service].reported_wait = Some((*wait, now + REPORTED_WAIT_TTL));
        }
        if last {
            self.remove_group(group);
            for shard in shards {
                let open = |r: &RunningRequest| r.shards[shard].status == ShardStatus::Open;
                if self.requests.get(&key).is_some_and(open) {
                    self.mark_missing(key, shard);
                }
            }
        }
        self.complete_if_decided(now, key, out);
    }

    /// Takes back a group that its peer declined, did not start in time or lost. This entry retries
    /// the shards without a response itself.
    fn fail_group(
        &mut self,
        now: Mono,
        group: AttemptId,
        reason: GroupFailure,
        out: &mut Vec<Output>,
    ) {
        let Some(delegated) = self.remove_group(group) else { return };
        self.suspect_peer(now, &delegated.peer, out);
        let key = delegated.request;
        let Some(running) = self.requests.get_mut(&key) else { return };
        let open: Vec<usize> = delegated
            .shards
            .iter()
            .copied()
            .filter(|s| running.shards[*s].status == ShardStatus::Open)
            .collect();
        for shard in &open {
            running.shards[*shard].reclaim(reason.has_not_run());
        }
        out.push(Output::Log(Decision::GroupFailed {
            request: running.id.clone(),
            peer: delegated.peer,
            reason,
            after_ms: now.since(delegated.sent_at).as_millis() as u64,
            shards: delegated.shards.len(),
            sent_from_here: open.len(),
        }));
        for shard in open {
            self.retry_shard(now, key, shard, out);
        }
        self.complete_if_decided(now, key, out);
        self.arm_timer(key);
    }

    fn remove_group(&mut self, group: AttemptId) -> Option<DelegatedGroup> {
        let delegated = self.groups.remove(&group)?;
        self.peers.release_group(&delegated.peer);
        if let Some(running) = self.requests.get_mut(&delegated.request) {
            running.groups.retain(|g| *g != group);
        }
        Some(delegated)
    }

    /// Reclaims the groups of a request that no entry has started to gather.
    pub(super) fn reclaim_groups(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        if running.reclaim_at.is_none_or(|at| at > now) {
            return;
        }
        if running.reclaim_at.is_some_and(|at| now.since(at) >= MAX_TIMER_DELAY) {
            running.reclaim_at = Some(now + MAX_TIMER_DELAY);
            return;
        }
        running.reclaim_at = None;
        for group in running.groups.clone() {
            if self.groups.get(&group).is_some_and(|g| !g.started) {
                out.push(Output::CancelGroup(group));
                self.fail_group(now, group, GroupFailure::NotBegun, out);
            }
        }
    }

    /// Cancels the groups that other entries still gather for a request that has ended.
    pub(super) fn cancel_groups(&mut self, running: &RunningRequest, out: &mut Vec<Output>) {
        for group in &running.groups {
            self.remove_group(*group);
            out.push(Output::CancelGroup(*group));
        }
    }

    /// Suspects the entries that did not report on their groups by the time the response is due:
    /// they are isolated, or their connection no longer carries data.
    pub(super) fn suspect_unresponsive_peers(
        &mut self,
        now: Mono,
        key: QueryId,
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.requests.get(&key) else { return };
        let groups = running.groups.iter().filter_map(|g| self.groups.get(g));
        let unresponsive = groups.filter(|g| !g.reported).map(|g| g.peer.clone());
        for peer in unresponsive.collect::<Vec<_>>() {
            if self.peers.record_missed_report(&peer) {
                self.suspect_peer(now, &peer, out);
            }
        }
    }

    /// Marks an entry as suspected; it gets no groups until a message from it arrives.
    pub(super) fn suspect_peer(&mut self, now: Mono, peer: &InstanceId, out: &mut Vec<Output>) {
        if self.peers.suspect(now, peer) {
            out.push(Output::Log(Decision::PeerSuspected { peer: peer.clone() }));
        }
    }

    /// Ends the suspicion of an entry after a message from it.
    pub(super) fn restore_peer(&mut self, peer: &InstanceId, out: &mut Vec<Output>) {
        if self.peers.mark_alive(peer) {
            out.push(Output::Log(Decision::PeerRestored { peer: peer.clone() }));
        }
    }

    pub(super) fn probe_peers(&mut self, now: Mono, out: &mut Vec<Output>) {
        for peer in self.peers.start_due_probes(now) {
            out.push(Output::ProbePeer { peer: peer.name, address: peer.address });
        }
    }
}

/// Returns the route with only the shards of a group. It has no minimum coverage, since any
/// response of a group is useful.
fn group_route(route: &Route, limit: u32, shards: Vec<ServiceId>) -> Route {
    let target = Target::Scatter(Scatter { shards, limit, min_covered_ppm: 0 });
    route.with_target(target)
}
