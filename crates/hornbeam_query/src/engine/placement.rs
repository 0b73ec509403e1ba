//! Assignment of shards to attempts, retries and restarts.

use std::collections::HashMap;
use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::{AttemptId, Mono, Prefer, QueryId, ServiceId, ShardId, ShardRanges};
use hornbeam_traffic::{
    Fleet, PickOutcome, PlannedAttempts, Replica, ReplicaRequest, SchemaMask, SchemaNeed,
    ServerIdx, ServiceState,
};
use rand::rngs::SmallRng;

use super::{Engine, InFlightAttempt, Output};
use crate::attempt::{Attempt, AttemptKind};
use crate::query::{MAX_ATTEMPTS_PER_SHARD, MAX_RESTARTS, PinnedSnapshot, Query};
use crate::request::ShardSelector;

/// Maximum number of shards in one attempt.
const MAX_SHARDS_PER_ATTEMPT: usize = 16;
/// Remaining time that a restart needs, as a percentage of the median attempt latency.
const RESTART_TIME_PERCENT: u32 = 150;

/// An attempt that is assigned to a server and not sent yet.
#[derive(Debug)]
pub(super) struct PlannedAttempt {
    pub server: ServerIdx,
    pub mask: SchemaMask,
    pub kind: AttemptKind,
    /// Shards, as positions in `Query::requested`.
    pub positions: Vec<u32>,
}

/// Reasons why some shards of a query were not assigned to an attempt.
#[derive(Clone, Copy, Debug, Default)]
struct Obstacles {
    /// Replicas exist, but none has capacity now.
    no_capacity: bool,
    /// The retry budget did not allow a retry.
    no_budget: bool,
    /// No usable server holds the shard in the schema versions that it still needs.
    no_replica: bool,
    /// The shard has used all of [`MAX_ATTEMPTS_PER_SHARD`].
    exhausted: bool,
}

impl Engine {
    /// Sends attempts for all shards of a query that need one, as far as capacity and retry budget
    /// allow.
    pub(super) fn place(&mut self, now: Mono, id: QueryId, out: &mut Vec<Output>) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let Some(state) = self.fleet.service(&query.service) else {
            return self.finish(now, id, out);
        };
        refresh_snapshot(query, state);
        let mut planner = Planner {
            now,
            fleet: &self.fleet,
            rng: &mut self.rng,
            attempts: Vec::new(),
            newest: HashMap::new(),
            planned: PlannedAttempts::default(),
            retries_left: 0,
        };
        let obstacles = planner.plan(query, state);
        let attempts = planner.attempts;
        query.no_capacity = obstacles.no_capacity;
        query.stalled = obstacles.no_capacity || obstacles.no_budget;
        let stalled = query.stalled;
        if obstacles.no_budget {
            self.counters.budget_denied += 1;
        }
        self.mark_stalled(id, stalled);
        for attempt in attempts {
            self.send(now, id, attempt, Vec::new(), out);
        }
        if obstacles.no_replica || obstacles.exhausted {
            self.on_unplaceable(now, id, obstacles, out);
        }
    }

    /// Adds a query to the stalled queries of its service or removes it from them.
    fn mark_stalled(&mut self, id: QueryId, stalled: bool) {
        let Some(query) = self.queries.get(&id) else { return };
        if stalled {
            self.stalled.entry(query.service.clone()).or_default().insert(id);
        } else if let Some(set) = self.stalled.get_mut(&query.service) {
            set.shift_remove(&id);
        }
    }

    /// Sends attempts of stalled queries, longest wait first, until one finds no capacity.
    pub(super) fn resume_stalled(&mut self, now: Mono, service: &ServiceId, out: &mut Vec<Output>) {
        let Some(set) = self.stalled.get(service) else { return };
        for id in set.iter().copied().collect::<Vec<_>>() {
            self.place(now, id, out);
            let no_capacity = self.queries.get(&id).is_some_and(|q| q.no_capacity);
            if no_capacity {
                break;
            }
        }
    }

    /// Places the open shards of all queries of a service again, after its servers changed.
    pub(super) fn replan_service(&mut self, now: Mono, service: &ServiceId, out: &mut Vec<Output>) {
        let queries = self.queries.values();
        let mut ids: Vec<QueryId> =
            queries.filter(|q| q.service == *service && q.open_shards > 0).map(|q| q.id).collect();
        ids.sort_unstable();
        for id in ids {
            self.place(now, id, out);
        }
    }

    /// Handles shards without a server or without attempts left.
    ///
    /// If a shard has no replica, restarts the query on a better version if there is one. Otherwise
    /// ends a query that has no in-flight attempts and is not stalled, except that a query that
    /// prefers coverage waits for new servers while a shard has no replica.
    fn on_unplaceable(
        &mut self,
        now: Mono,
        id: QueryId,
        obstacles: Obstacles,
        out: &mut Vec<Output>,
    ) {
        if obstacles.no_replica && self.restart(now, id, out) {
            return;
        }
        let Some(query) = self.queries.get(&id) else { return };
        if !query.in_flight.is_empty() || query.stalled {
            return;
        }
        if query.prefer == Prefer::Latency || !obstacles.no_replica {
            self.finish(now, id, out);
        }
    }

    /// Restarts a query on the current version of its service.
    ///
    /// Returns false and changes nothing if the current version is not better, the remaining time
    /// is too short, a write may have run, or the query used up its restarts.
    fn restart(&mut self, now: Mono, id: QueryId, out: &mut Vec<Output>) -> bool {
        let Some(query) = self.queries.get(&id) else { return false };
        let Some(state) = self.fleet.service(&query.service) else { return false };
        let Some(current) = state.table.current() else { return false };
        let pinned = state.table.version(query.snapshot.table.version);
        let pinned_covered = pinned.map_or(0, |t| t.covered);
        let better = current.version != query.snapshot.table.version
            && current.covered > 0
            && (current.is_full() || pinned_covered == 0);
        let median = state.attempt_latency.median().unwrap_or(Duration::ZERO);
        let enough_time = now + median * RESTART_TIME_PERCENT / 100 < query.due_at;
        let write_may_have_run = query.non_idempotent && query.unconfirmed > 0;
        if !better || !enough_time || write_may_have_run || query.restarts >= MAX_RESTARTS {
            return false;
        }
        let Some(requested) = shards_after_restart(query, current.shard_count()) else {
            return false;
        };
        let revision = self.config.as_ref().map_or(query.snapshot.revision, |c| c.revision);
        let snapshot = PinnedSnapshot { table: current.clone(), revision };
        out.push(Output::Event(Event::QueryRestarted {
            service: query.service.clone(),
            query: id,
            from: query.snapshot.table.version,
            to: current.version,
        }));
        self.cancel_attempts(now, id, out);
        if let Some(query) = self.queries.get_mut(&id) {
            query.restart(snapshot, requested);
        }
        self.place(now, id, out);
        true
    }

    /// Sends one attempt; `overlapping` are in-flight attempts for the same shards.
    pub(super) fn send(
        &mut self,
        now: Mono,
        id: QueryId,
        planned: PlannedAttempt,
        overlapping: Vec<AttemptId>,
        out: &mut Vec<Output>,
    ) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let mut shards = Vec::with_capacity(planned.positions.len());
        for position in &planned.positions {
            let pos = *position as usize;
            let progress = &mut query.progress[pos];
            progress.mark_sent(planned.mask);
            progress.last_server = Some(planned.server);
            if planned.kind != AttemptKind::Hedge {
                progress.attempts = progress.attempts.saturating_add(1);
            }
            shards.push(query.requested[pos]);
        }
        query.attempts_sent += 1;
        query.unconfirmed += 1;
        query.in_flight.insert(attempt);
        let server = self.fleet.server_mut(planned.server);
        server.outstanding += 1;
        out.push(Output::Send(Box::new(Attempt {
            id: attempt,
            query: id,
            request_id: query.request_id.clone(),
            kind: planned.kind,
            server: planned.server,
            server_id: server.announced.server.clone(),
            address: server.announced.address,
            body: query.body.clone(),
            limit: query.limit,
            index_version: query.snapshot.table.version,
            schemas: query.schemas_in(planned.mask),
            shards: ShardRanges::from_iter(shards),
            deadline: query.due_at,
            non_idempotent: query.non_idempotent,
        })));
        let sent = InFlightAttempt {
            query: Some(id),
            service: query.service.clone(),
            server: planned.server,
            kind: planned.kind,
            sent_at: now,
            index_version: query.snapshot.table.version,
            mask: planned.mask,
            positions: planned.positions,
            overlapping,
            hedged: planned.kind == AttemptKind::Hedge,
            late: false,
        };
        let table = query.snapshot.table.clone();
        let shard = sent.positions.first().map(|p| query.requested[*p as usize]);
        let replicas = shard.map_or(&[][..], |s| table.replicas_of(s));
        self.count_sent(&sent, replicas);
        self.attempts.insert(attempt, sent);
    }

    /// Counts a sent attempt and books it in the retry budgets.
    ///
    /// `replicas` are the replicas of its first shard. They substitute for each other, so a primary
    /// attempt at one of them earns tokens for all.
    fn count_sent(&mut self, sent: &InFlightAttempt, replicas: &[Replica]) {
        match sent.kind {
            AttemptKind::Primary => {
                for replica in replicas {
                    self.fleet.server_mut(replica.server).retry_budget.earn();
                }
                self.counters.primaries += 1;
            }
            AttemptKind::Hedge => {
                self.fleet.server_mut(sent.server).retry_budget.spend();
                self.counters.hedges += 1;
            }
            AttemptKind::Retry => {
                self.fleet.server_mut(sent.server).retry_budget.spend();
                self.counters.retries += 1;
            }
        }
        let Some(state) = self.fleet.service_mut(&sent.service) else { return };
        match sent.kind {
            AttemptKind::Primary => state.retry_budget.earn(),
            AttemptKind::Hedge | AttemptKind::Retry => state.retry_budget.spend(),
        }
    }
}

/// Returns the shards of a query in an index of `shard_count` shards.
///
/// Returns `None` if the query lists shard numbers and the index is repartitioned, so that the
/// numbers stand for other records.
fn shards_after_restart(query: &Query, shard_count: u32) -> Option<Vec<ShardId>> {
    let resolved = query.selector.resolve(shard_count).ok()?;
    let listed = matches!(query.selector, ShardSelector::Listed(_));
    let repartitioned = shard_count != query.snapshot.table.shard_count();
    (!listed || !repartitioned).then_some(resolved)
}

/// Updates the placement of the pinned version, unless its schema versions or its shard count
/// changed.
fn refresh_snapshot(query: &mut Query, state: &ServiceState) {
    let Some(table) = state.table.version(query.snapshot.table.version) else { return };
    let same_schemas = table.schemas == query.snapshot.table.schemas;
    if same_schemas && table.shard_count() == query.snapshot.table.shard_count() {
        query.snapshot.table = table.clone();
    }
}

/// Assigns the shards of one query to attempts, grouped by server.
struct Planner<'a> {
    now: Mono,
    fleet: &'a Fleet,
    rng: &'a mut SmallRng,
    attempts: Vec<PlannedAttempt>,
    /// Index of the newest attempt for each server, mask and kind.
    newest: HashMap<(ServerIdx, SchemaMask, AttemptKind), usize>,
    /// Number of planned attempts per server.
    planned: PlannedAttempts,
    /// Number of further retries that the retry budget allows.
    retries_left: u32,
}

impl Planner<'_> {
    /// Assigns all shards that need an attempt; returns what prevented the assignment of the
    /// others.
    fn plan(&mut self, query: &Query, state: &ServiceState) -> Obstacles {
        let full = query.full_mask();
        let mut obstacles = Obstacles::default();
        if query.open_shards == 0 {
            return obstacles;
        }
        self.retries_left = state.retry_budget.available_retries();
        for (pos, shard) in query.requested.iter().enumerate() {
            let progress = &query.progress[pos];
            let mut unassigned = progress.unassigned(full);
            if unassigned == 0 {
                continue;
            }
            if progress.attempts >= MAX_ATTEMPTS_PER_SHARD {
                obstacles.exhausted = true;
                continue;
            }
            let kind =
                if progress.costs_budget { AttemptKind::Retry } else { AttemptKind::Primary };
            let replicas = query.snapshot.table.replicas_of(*shard);
            while unassigned != 0 {
                let server =
                    match self.pick(state, replicas, unassigned, query, progress.last_server, kind)
                    {
                        PickOutcome::Server(server) => server,
                        PickOutcome::NoCapacity => {
                            obstacles.no_capacity = true;
                            break;
                        }
                        PickOutcome::NoReplica => {
                            obstacles.no_replica = true;
                            break;
                        }
                    };
                let mask = unassigned & held_by(replicas, server);
                if !self.add(server, mask, kind, pos) {
                    obstacles.no_budget = true;
                    break;
                }
                unassigned &= !mask;
            }
        }
        obstacles
    }

    /// Picks a server for a shard.
    ///
    /// Prefers a server that already has a planned attempt with free space and holds the shard,
    /// then the best replica. `last`, the server of the latest attempt for the shard, is picked
    /// only if there is no other.
    fn pick(
        &mut self,
        state: &ServiceState,
        replicas: &[Replica],
        unassigned: SchemaMask,
        query: &Query,
        last: Option<ServerIdx>,
        kind: AttemptKind,
    ) -> PickOutcome {
        for replica in replicas {
            let holds_all = replica.schemas & unassigned == unassigned;
            if holds_all
                && last != Some(replica.server)
                && self.joinable(replica.server, unassigned, kind)
            {
                return PickOutcome::Server(replica.server);
            }
        }
        let needs = [SchemaNeed::All(unassigned), SchemaNeed::Any(unassigned)];
        let needs = if query.non_idempotent { &needs[..1] } else { &needs[..] };
        let mut no_capacity = false;
        for avoid in [last.as_slice(), &[]] {
            for need in needs {
                let request =
                    ReplicaRequest { replicas, need: *need, avoid, planned: &self.planned };
                let pick = self.fleet.pick(self.now, self.rng, state, &request);
                match pick {
                    PickOutcome::Server(_) => return pick,
                    PickOutcome::NoCapacity => no_capacity = true,
                    PickOutcome::NoReplica => {}
                }
            }
            if no_capacity {
                return PickOutcome::NoCapacity;
            }
        }
        PickOutcome::NoReplica
    }

    /// Returns true if the newest planned attempt can take one more shard.
    fn joinable(&self, server: ServerIdx, mask: SchemaMask, kind: AttemptKind) -> bool {
        let newest = self.newest.get(&(server, mask, kind));
        newest.is_some_and(|i| self.attempts[*i].positions.len() < MAX_SHARDS_PER_ATTEMPT)
    }

    /// Adds a shard to a planned attempt; returns false if that needs a retry that the retry budget
    /// does not allow.
    fn add(&mut self, server: ServerIdx, mask: SchemaMask, kind: AttemptKind, pos: usize) -> bool {
        let position = pos as u32;
        if self.joinable(server, mask, kind) {
            let newest = self.newest[&(server, mask, kind)];
            self.attempts[newest].positions.push(position);
            return true;
        }
        if kind == AttemptKind::Retry {
            if self.retries_left == 0 {
                return false;
            }
            self.retries_left -= 1;
        }
        self.newest.insert((server, mask, kind), self.attempts.len());
        self.planned.add(server);
        self.attempts.push(PlannedAttempt { server, mask, kind, positions: vec![position] });
        true
    }
}

/// Returns the schema versions in which `server` holds the shard of `replicas`.
fn held_by(replicas: &[Replica], server: ServerIdx) -> SchemaMask {
    replicas.iter().filter(|r| r.server == server).fold(0, |m, r| m | r.schemas)
}
