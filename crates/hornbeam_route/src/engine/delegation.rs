//! Delegation of shard groups to other entries.
//!
//! Sending to very many shards takes one entry longer than a short objective allows. The origin
//! entry delegates groups of shards to other entries of its zone, which send, hedge and merge in
//! parallel.
//!
//! Load pattern: many entries share servers with few slots, and none of them sees the queues that
//! their attempts make. Each group then has one owner in the zone, which gathers it for all entries.
//! Replayed in `tests/shared_servers`.

use std::time::Duration;

use hornbeam_model::{AttemptId, InstanceId, Mono, QueryId, Route, Scatter, ServiceId, Target};
use hornbeam_traffic::latency::LatencyWindow;
use indexmap::IndexMap;

use super::{Delegation, Engine, GroupEvent, GroupReport, MAX_TIMER_DELAY, Output};
use crate::decision::{Decision, GroupFailure};
use crate::peers::{Gatherer, Peer};
use crate::region_rule::RegionRule;
use crate::request::{RunningRequest, ShardStatus};
use crate::service::Service;

/// Percentage of the time until the response is due that is reserved for transferring the responses
/// of a group to this entry and merging them.
const REPORT_RESERVE_PERCENT: u32 = 20;
/// Percentage of the time until the response is due after which a group that no entry has started
/// to gather is reclaimed, so that its shards can still respond in time.
const RECLAIM_AFTER_PERCENT: u32 = 45;
/// Reserve for merging the responses of many shards and writing the response, on a tenth of a core.
const MERGE_RESERVE: Duration = Duration::from_millis(3);
/// Percentage of the objective that the attempts of all entries, one each, may queue at a server
/// before the entries of a zone gather shards for each other.
const MAX_QUEUE_PERCENT: u32 = 50;

/// A shard group that another entry gathers.
#[derive(Debug)]
pub(super) struct DelegatedGroup {
    pub request: QueryId,
    pub peer: InstanceId,
    /// Positions of its shards in the request.
    pub shards: Vec<usize>,
    /// True once the gathering entry has started.
    started: bool,
    /// True once it has reported on the group, even without a shard response.
    reported: bool,
    /// True if only other entries can reach its shards.
    is_relay: bool,
    pub sent_at: Mono,
}

/// Returns the number of shards per group. The square root makes delegating the groups and
/// gathering one of them about the same work.
pub fn group_size(shards: usize) -> usize {
    shards.isqrt().max(1)
}

impl Engine {
    /// Returns true if other entries should gather the shards of a search: if there are too many to
    /// send in time, or so many entries that their attempts would queue at the servers for too long.
    pub(super) fn should_delegate(
        &self,
        route: &Route,
        services: &[usize],
        regions: &RegionRule,
    ) -> bool {
        matches!(route.target, Target::Scatter(_))
            && self.may_gather_here(regions)
            && self.peers.usable() > 0
            && (services.len() > self.params.delegate_above || self.is_crowded(route, services))
    }

    /// Returns true if one attempt of every entry makes a queue at a server that takes more than
    /// [`MAX_QUEUE_PERCENT`] of the objective. Entries that send independently then find queues that
    /// none of them can see.
    pub(super) fn is_crowded(&self, route: &Route, services: &[usize]) -> bool {
        let work = self.latencies.get(&route.name).and_then(LatencyWindow::low);
        let servers = services.iter().flat_map(|s| &self.services[*s].servers);
        let slots = servers.map(|s| self.servers[*s].slots).min();
        let Some((work, slots)) = work.zip(slots) else { return false };
        work * self.entries / slots > route.objective() * MAX_QUEUE_PERCENT / 100
    }

    /// Delegates the shards of a search to the entries of the zone in groups; this entry sends its
    /// own groups itself.
    pub(super) fn delegate(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        let shards = running.shards.len();
        running.answer_by = running.answer_by.before(MERGE_RESERVE).max(now);
        let is_large = shards > self.params.delegate_above;
        let most = if is_large { shards } else { self.peers.zone_entries() };
        let groups = shards.div_ceil(group_size(shards)).min(most);
        let handed = self.delegate_by_zone(now, key, out);
        let mut own = Vec::new();
        for number in 0..groups {
            let mut group: Vec<usize> =
                (number * shards / groups..(number + 1) * shards / groups).collect();
            group.retain(|shard| !handed.contains(shard));
            if group.is_empty() {
                continue;
            }
            let gatherer = if is_large {
                // Choosing a peer does not mark it as suspected, so there is one for every group.
                self.peers.choose(number, &mut self.rng).map_or(Gatherer::This, Gatherer::Peer)
            } else {
                self.peers.owner(number, groups)
            };
            match gatherer {
                Gatherer::This => own.extend(group),
                Gatherer::Peer(peer) => self.delegate_group(now, key, &peer, &group, out),
            }
        }
        self.send_own_group(now, key, &own, out);
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

    /// Sends the shards that this entry gathers for its own request.
    fn send_own_group(&mut self, now: Mono, key: QueryId, shards: &[usize], out: &mut Vec<Output>) {
        let Some(running) = self.requests.get(&key) else { return };
        let may_need_relay = self.may_need_relay();
        let regions = running.regions.clone();
        for shard in shards {
            let service = running.shards[*shard].service;
            if !(may_need_relay && self.needs_relay(now, service, &regions)) {
                self.services[service].record_request(now);
            }
        }
        self.place_or_relay(now, key, shards, out);
    }

    pub(super) fn delegate_group(
        &mut self,
        now: Mono,
        key: QueryId,
        peer: &Peer,
        shards: &[usize],
        out: &mut Vec<Output>,
    ) {
        // A detached entry sends nothing itself, so its callers' requests are the others' demand.
        let is_detached = self.is_detached();
        let Some(running) = self.requests.get_mut(&key) else { return };
        let is_relay = shards.iter().any(|s| running.shards[*s].relays > 0);
        let demand_ppm = match is_detached || is_relay {
            true => (shards.len() * 1_000_000 / running.shards.len()) as u32,
            false => 0,
        };
        let group = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let route = group_route(running, shards, &self.services);
        running.groups.push(group);
        running.attempts += shards.len() as u32;
        for shard in shards {
            // Until the peer reports otherwise, each shard counts as sent to one server.
            running.shards[*shard].delegate();
        }
        let delegation = Delegation {
            group,
            request: key,
            peer: peer.name.clone(),
            address: peer.address,
            route,
            due_in: running.answer_by.since(now) * (100 - REPORT_RESERVE_PERCENT) / 100,
            remaining: running.deadline.since(now),
            demand_ppm,
        };
        let delegated = DelegatedGroup {
            request: key,
            peer: peer.name.clone(),
            shards: shards.to_vec(),
            started: false,
            reported: false,
            is_relay,
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
            GroupEvent::ShardResponses(report) => self.on_shard_responses(now, group, report, out),
            GroupEvent::Forwarded { outcome } => self.on_forwarded(now, group, outcome, out),
            GroupEvent::Refused(refusal) => self.on_group_refused(now, group, refusal, out),
            GroupEvent::Declined => {
                if let Some(peer) = self.groups.get(&group).map(|g| g.peer.clone()) {
                    self.exclude_peer(now, &peer, out);
                }
                self.fail_group(now, group, GroupFailure::Declined, out);
            }
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

    /// Adds shard responses of a group to its request.
    fn on_shard_responses(
        &mut self,
        now: Mono,
        group: AttemptId,
        report: GroupReport,
        out: &mut Vec<Output>,
    ) {
        let GroupReport { shards: positions, queue_waits, last, unsent } = report;
        let Some(delegated) = self.groups.get_mut(&group) else { return };
        delegated.reported = true;
        let (key, is_relay) = (delegated.request, delegated.is_relay);
        let (shards, peer) = (delegated.shards.clone(), delegated.peer.clone());
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
        for (position, shard) in shards.iter().enumerate() {
            let reported = queue_waits.iter().find(|(p, _)| *p == position);
            let wait = reported.map_or(Duration::ZERO, |(_, wait)| *wait);
            let service = &mut self.services[running.shards[*shard].service];
            service.record_reported_wait(now, running.claim, wait);
        }
        if last {
            self.remove_group(group);
            let count = shards.len();
            let mut unsent_shards = Vec::new();
            for (position, shard) in shards.into_iter().enumerate() {
                let open = |r: &RunningRequest| r.shards[shard].status == ShardStatus::Open;
                if !self.requests.get(&key).is_some_and(open) {
                    continue;
                }
                if unsent.contains(&position) {
                    unsent_shards.push(shard);
                } else {
                    let has_not_run = unsent.contains(&(position + count));
                    self.end_delegated(key, shard, has_not_run);
                }
            }
            self.retry_unsent(now, key, unsent_shards, (&peer, is_relay), out);
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
            peer: delegated.peer.clone(),
            reason,
            after_ms: now.since(delegated.sent_at).as_millis() as u64,
            shards: delegated.shards.len(),
            sent_from_here: open.len(),
        }));
        self.retry_shards(now, key, open, &delegated.peer, out);
        self.complete_if_decided(now, key, out);
        self.arm_timer(key);
    }

    pub(super) fn remove_group(&mut self, group: AttemptId) -> Option<DelegatedGroup> {
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
        if !running.route.idempotent {
            // It may have run at the entry that has not reported yet.
            return;
        }
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

    /// Leaves out an entry that gathers no groups, until it states the opposite.
    pub(super) fn exclude_peer(&mut self, now: Mono, peer: &InstanceId, out: &mut Vec<Output>) {
        if self.peers.mark_declining(now, peer) {
            out.push(Output::Log(Decision::PeerSuspected { peer: peer.clone() }));
        }
    }

    /// Uses an entry again that states that it gathers groups.
    pub(super) fn accept_peer(&mut self, peer: &InstanceId, out: &mut Vec<Output>) {
        if self.peers.mark_accepting(peer) {
            out.push(Output::Log(Decision::PeerRestored { peer: peer.clone() }));
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
        for (peer, path) in self.peers.start_due_probes(now) {
            out.push(Output::ProbePeer { peer: peer.name, address: peer.address, path });
        }
    }
}

/// Returns the route with only the shards of a group, and with the attempts that are left for them.
/// A part of the shards has no minimum coverage, since any response of it is useful.
fn group_route(
    running: &RunningRequest,
    shards: &[usize],
    services: &IndexMap<ServiceId, Service>,
) -> Route {
    let route = &running.route;
    let mut names = shards.iter().map(|s| services[running.shards[*s].service].id.clone());
    let target = match &route.target {
        Target::Scatter(scatter) => {
            let is_whole = shards.len() == running.shards.len();
            let min_covered_ppm = if is_whole { scatter.min_covered_ppm } else { 0 };
            Target::Scatter(Scatter {
                shards: names.collect(),
                limit: scatter.limit,
                min_covered_ppm,
            })
        }
        target => names.next().map_or_else(|| target.clone(), Target::Single),
    };
    let runs = shards.iter().map(|s| running.shards[*s].possible_runs).max().unwrap_or(0);
    let mut route = route.with_target(target);
    route.priority = running.claim.rank.0;
    route.max_attempts = route.max_attempts.saturating_sub(runs).max(1);
    route
}
