//! Shards onto attempts, retries, restarts.

use std::collections::HashMap;
use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::{AttemptId, Mono, Prefer, QueryId, ServiceId, ShardId, ShardRanges};
use hornbeam_traffic::{
    Fleet, PickOutcome, PlannedAttempts, Replica, ReplicaRequest, SchemaMask, SchemaNeed,
    ServerIdx, ServiceState,
};
use rand::rngs::SmallRng;

use super::{Engine, Flight, Output};
use crate::attempt::{Attempt, AttemptKind};
use crate::query::{MAX_RESTARTS, MAX_TRIES, Pin, Query};
use crate::request::ShardSelector;

/// Most shards put into one attempt.
const MAX_SHARDS_PER_ATTEMPT: usize = 16;
/// Part of the usual latency, in hundredths, that must be left for a restart to be worth it.
const RESTART_TIME_PERCENT: u32 = 150;

/// Shards that one attempt will carry.
#[derive(Debug)]
pub(super) struct Group {
    pub server: ServerIdx,
    pub mask: SchemaMask,
    pub kind: AttemptKind,
    pub cells: Vec<u32>,
}

/// Why some shards could not be placed.
#[derive(Clone, Copy, Debug, Default)]
struct Obstacles {
    /// A replica exists and has no room.
    no_room: bool,
    /// The budget did not allow a retry.
    no_budget: bool,
    /// No server holds the shard.
    no_replica: bool,
    /// The shard has had all its attempts.
    exhausted: bool,
}

impl Engine {
    /// Sends attempts for every shard of a query that needs one, as far as there is room.
    pub(super) fn place(&mut self, now: Mono, id: QueryId, out: &mut Vec<Output>) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let Some(state) = self.fleet.service(&query.service) else {
            return self.finish(now, id, out);
        };
        refresh_pin(query, state);
        let mut planner = Planner {
            now,
            fleet: &self.fleet,
            rng: &mut self.rng,
            groups: Vec::new(),
            newest: HashMap::new(),
            planned: PlannedAttempts::default(),
            retries_left: 0,
        };
        let obstacles = planner.plan(query, state);
        let groups = planner.groups;
        query.no_room = obstacles.no_room;
        query.starved = obstacles.no_room || obstacles.no_budget;
        let starved = query.starved;
        if obstacles.no_budget {
            self.counters.budget_denied += 1;
        }
        self.note_starved(id, starved);
        for group in groups {
            self.send(now, id, group, Vec::new(), out);
        }
        if obstacles.no_replica || obstacles.exhausted {
            self.on_stuck(now, id, obstacles, out);
        }
    }

    fn note_starved(&mut self, id: QueryId, starved: bool) {
        let Some(query) = self.queries.get(&id) else { return };
        if starved {
            self.starved.entry(query.service.clone()).or_default().insert(id);
        } else if let Some(set) = self.starved.get_mut(&query.service) {
            set.shift_remove(&id);
        }
    }

    /// Gives room that became free to queries that wait for it, oldest first.
    pub(super) fn feed_starved(&mut self, now: Mono, service: &ServiceId, out: &mut Vec<Output>) {
        let Some(set) = self.starved.get(service) else { return };
        for id in set.iter().copied().collect::<Vec<_>>() {
            self.place(now, id, out);
            let still = self.queries.get(&id).is_some_and(|q| q.no_room);
            if still {
                break;
            }
        }
    }

    /// Looks again at every query of a service after its servers changed.
    pub(super) fn replan_service(&mut self, now: Mono, service: &ServiceId, out: &mut Vec<Output>) {
        let queries = self.queries.values();
        let mut ids: Vec<QueryId> =
            queries.filter(|q| q.service == *service && q.open > 0).map(|q| q.id).collect();
        ids.sort_unstable();
        for id in ids {
            self.place(now, id, out);
        }
    }

    /// Some shard has no server or no attempts left. Restarts on a version that covers more, or
    /// ends the query if nothing can come any more: at once when latency goes first, else when
    /// no server that may still come could help.
    fn on_stuck(&mut self, now: Mono, id: QueryId, obstacles: Obstacles, out: &mut Vec<Output>) {
        if obstacles.no_replica && self.restart(now, id, out) {
            return;
        }
        let Some(query) = self.queries.get(&id) else { return };
        if !query.flights.is_empty() || query.starved {
            return;
        }
        if query.prefer == Prefer::Latency || !obstacles.no_replica {
            self.finish(now, id, out);
        }
    }

    /// Restarts a query on the service's current version; false if that is no better.
    fn restart(&mut self, now: Mono, id: QueryId, out: &mut Vec<Output>) -> bool {
        let Some(query) = self.queries.get(&id) else { return false };
        let Some(state) = self.fleet.service(&query.service) else { return false };
        let Some(current) = state.table.current() else { return false };
        let pinned = state.table.version(query.pin.table.version);
        let pinned_covered = pinned.map_or(0, |t| t.covered);
        let better = current.version != query.pin.table.version
            && current.covered > 0
            && (current.is_full() || pinned_covered == 0);
        let usual = state.attempt_latency.median().unwrap_or(Duration::ZERO);
        let enough_time = now + usual * RESTART_TIME_PERCENT / 100 < query.finish_at;
        let ran_write = query.non_idempotent && query.unconfirmed > 0;
        if !better || !enough_time || ran_write || query.restarts >= MAX_RESTARTS {
            return false;
        }
        let Some(wanted) = wanted_after(query, current.shard_count()) else { return false };
        let revision = self.config.as_ref().map_or(query.pin.revision, |c| c.revision);
        let pin = Pin { table: current.clone(), revision };
        out.push(Output::Event(Event::QueryRestarted {
            service: query.service.clone(),
            query: id,
            from: query.pin.table.version,
            to: current.version,
        }));
        self.cancel_flights(now, id, out);
        if let Some(query) = self.queries.get_mut(&id) {
            query.restart(pin, wanted);
        }
        self.place(now, id, out);
        true
    }

    /// Sends one attempt.
    pub(super) fn send(
        &mut self,
        now: Mono,
        id: QueryId,
        group: Group,
        partners: Vec<AttemptId>,
        out: &mut Vec<Output>,
    ) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let mut shards = Vec::with_capacity(group.cells.len());
        for cell in &group.cells {
            let pos = *cell as usize;
            let state = &mut query.states[pos];
            state.take_off(group.mask);
            state.last = Some(group.server);
            if group.kind != AttemptKind::Hedge {
                state.tries = state.tries.saturating_add(1);
            }
            shards.push(query.wanted[pos]);
        }
        query.sent += 1;
        query.unconfirmed += 1;
        query.flights.insert(attempt);
        let server = self.fleet.server_mut(group.server);
        server.outstanding += 1;
        out.push(Output::Send(Box::new(Attempt {
            id: attempt,
            query: id,
            request_id: query.request_id.clone(),
            kind: group.kind,
            server: group.server,
            server_id: server.announced.server.clone(),
            address: server.announced.address,
            body: query.body.clone(),
            limit: query.limit,
            index_version: query.pin.table.version,
            schemas: query.schemas_in(group.mask),
            shards: ShardRanges::from_iter(shards),
            deadline: query.finish_at,
            non_idempotent: query.non_idempotent,
        })));
        let flight = Flight {
            query: Some(id),
            service: query.service.clone(),
            server: group.server,
            kind: group.kind,
            sent_at: now,
            index_version: query.pin.table.version,
            mask: group.mask,
            cells: group.cells,
            partners,
            hedged: group.kind == AttemptKind::Hedge,
            late: false,
        };
        let table = query.pin.table.clone();
        let shard = flight.cells.first().map(|c| query.wanted[*c as usize]);
        let group = shard.map_or(&[][..], |s| table.replicas_of(s));
        self.count_sent(&flight, group);
        self.flights.insert(attempt, flight);
    }

    /// Counts an attempt and its cost. `group` is the replicas of its first shard: they stand in
    /// for each other, so a primary attempt at one of them earns for all.
    fn count_sent(&mut self, flight: &Flight, group: &[Replica]) {
        match flight.kind {
            AttemptKind::Primary => {
                for replica in group {
                    self.fleet.server_mut(replica.server).retry_budget.earn();
                }
                self.counters.primaries += 1;
            }
            AttemptKind::Hedge => {
                self.fleet.server_mut(flight.server).retry_budget.spend();
                self.counters.hedges += 1;
            }
            AttemptKind::Retry => {
                self.fleet.server_mut(flight.server).retry_budget.spend();
                self.counters.retries += 1;
            }
        }
        let Some(state) = self.fleet.service_mut(&flight.service) else { return };
        match flight.kind {
            AttemptKind::Primary => state.retry_budget.earn(),
            AttemptKind::Hedge | AttemptKind::Retry => state.retry_budget.spend(),
        }
    }
}

/// The shards a query wants from an index of `shard_count` shards; nothing if its shard numbers
/// mean other records there.
fn wanted_after(query: &Query, shard_count: u32) -> Option<Vec<ShardId>> {
    let resolved = query.shards.resolve(shard_count).ok()?;
    let listed = matches!(query.shards, ShardSelector::Listed(_));
    let repartitioned = shard_count != query.pin.table.shard_count();
    (!listed || !repartitioned).then_some(resolved)
}

/// Uses the newest placement of the pinned version if it stands for the same schema versions.
fn refresh_pin(query: &mut Query, state: &ServiceState) {
    let Some(table) = state.table.version(query.pin.table.version) else { return };
    let same_schemas = table.schemas == query.pin.table.schemas;
    if same_schemas && table.shard_count() == query.pin.table.shard_count() {
        query.pin.table = table.clone();
    }
}

/// Groups shards by the server that is to search them.
struct Planner<'a> {
    now: Mono,
    fleet: &'a Fleet,
    rng: &'a mut SmallRng,
    groups: Vec<Group>,
    /// The newest group of each server, mask and kind.
    newest: HashMap<(ServerIdx, SchemaMask, AttemptKind), usize>,
    /// Groups planned for each server.
    planned: PlannedAttempts,
    /// Further attempts after failures that the budget allows.
    retries_left: u32,
}

impl Planner<'_> {
    fn plan(&mut self, query: &Query, state: &ServiceState) -> Obstacles {
        let full = query.full_mask();
        let mut obstacles = Obstacles::default();
        if query.open == 0 {
            return obstacles;
        }
        self.retries_left = state.retry_budget.available_retries();
        for (pos, shard) in query.wanted.iter().enumerate() {
            let progress = &query.states[pos];
            let mut missing = progress.missing(full);
            if missing == 0 {
                continue;
            }
            if progress.tries >= MAX_TRIES {
                obstacles.exhausted = true;
                continue;
            }
            let kind = if progress.costs { AttemptKind::Retry } else { AttemptKind::Primary };
            let replicas = query.pin.table.replicas_of(*shard);
            while missing != 0 {
                let server = match self.pick(state, replicas, missing, query, progress.last, kind) {
                    PickOutcome::Server(server) => server,
                    PickOutcome::NoCapacity => {
                        obstacles.no_room = true;
                        break;
                    }
                    PickOutcome::NoReplica => {
                        obstacles.no_replica = true;
                        break;
                    }
                };
                let mask = missing & held_by(replicas, server);
                if !self.add(server, mask, kind, pos) {
                    obstacles.no_budget = true;
                    break;
                }
                missing &= !mask;
            }
        }
        obstacles
    }

    /// A server of this plan that has the shard, or else the best replica; the server that failed
    /// last only if there is no other.
    fn pick(
        &mut self,
        state: &ServiceState,
        replicas: &[Replica],
        missing: SchemaMask,
        query: &Query,
        last: Option<ServerIdx>,
        kind: AttemptKind,
    ) -> PickOutcome {
        for replica in replicas {
            let whole = replica.schemas & missing == missing;
            if whole && last != Some(replica.server) && self.joinable(replica.server, missing, kind)
            {
                return PickOutcome::Server(replica.server);
            }
        }
        let needs = [SchemaNeed::All(missing), SchemaNeed::Any(missing)];
        let needs = if query.non_idempotent { &needs[..1] } else { &needs[..] };
        let mut full = false;
        for avoid in [last.as_slice(), &[]] {
            for need in needs {
                let wanted =
                    ReplicaRequest { replicas, need: *need, avoid, planned: &self.planned };
                let pick = self.fleet.pick(self.now, self.rng, state, &wanted);
                match pick {
                    PickOutcome::Server(_) => return pick,
                    PickOutcome::NoCapacity => full = true,
                    PickOutcome::NoReplica => {}
                }
            }
            if full {
                return PickOutcome::NoCapacity;
            }
        }
        PickOutcome::NoReplica
    }

    /// True if a group of this plan can take one more shard.
    fn joinable(&self, server: ServerIdx, mask: SchemaMask, kind: AttemptKind) -> bool {
        let newest = self.newest.get(&(server, mask, kind));
        newest.is_some_and(|g| self.groups[*g].cells.len() < MAX_SHARDS_PER_ATTEMPT)
    }

    /// Adds a shard to a group; false if that takes a new attempt which the budget does not allow.
    fn add(&mut self, server: ServerIdx, mask: SchemaMask, kind: AttemptKind, pos: usize) -> bool {
        let cell = pos as u32;
        if self.joinable(server, mask, kind) {
            let newest = self.newest[&(server, mask, kind)];
            self.groups[newest].cells.push(cell);
            return true;
        }
        if kind == AttemptKind::Retry {
            if self.retries_left == 0 {
                return false;
            }
            self.retries_left -= 1;
        }
        self.newest.insert((server, mask, kind), self.groups.len());
        self.planned.add(server);
        self.groups.push(Group { server, mask, kind, cells: vec![cell] });
        true
    }
}

fn held_by(replicas: &[Replica], server: ServerIdx) -> SchemaMask {
    replicas.iter().filter(|r| r.server == server).fold(0, |m, r| m | r.schemas)
}
