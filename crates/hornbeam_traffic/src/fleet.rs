//! All backend servers and placement tables of one instance.

use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::{
    Announcement, Config, InstanceId, LoadReport, Mono, SchemaVersion, ServerId, ServerState,
    ServiceId, Zone,
};
use indexmap::IndexMap;

use crate::budget::RetryBudget;
use crate::latency::{LateRatio, LatencyWindow};
use crate::server::{ServerIdx, ServerRecord};
use crate::share::{Roster, connection_share};
use crate::table::{ServiceTable, TableUpdate};

/// Fraction of the retry budget that hedges are expected to use; the rest is headroom.
const HEDGE_BUDGET_FRACTION: f64 = 0.5;
/// Attempt latency assumed until enough samples are available.
const DEFAULT_LATENCY: Duration = Duration::from_millis(50);

/// Properties of the instance that a [`Fleet`] belongs to.
#[derive(Clone, Debug)]
pub struct FleetParams {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: Zone,
    /// Choose replicas at random instead of by cost; serves as a baseline in benchmarks.
    pub random_pick: bool,
}

/// A change in the set of known servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServerChange {
    /// A server announced itself for the first time or with changed properties.
    Announced(Announcement),
    /// A server is no longer in any registrar's view.
    Removed(ServerId),
}

/// State of one service that all its queries share.
#[derive(Debug)]
pub struct ServiceState {
    /// Placement of the service's index versions.
    pub table: ServiceTable,
    /// Budget of extra requests of the service's queries.
    pub retry_budget: RetryBudget,
    /// Latencies of the service's attempts.
    pub attempt_latency: LatencyWindow,
    /// Ratio of the service's attempts that were late.
    pub late_ratio: LateRatio,
    /// Live schema versions, lowest first.
    schemas: Vec<SchemaVersion>,
    /// Extra requests per 100 primary attempts.
    extra_percent: u32,
    /// Servers of this service, including removed ones whose index is not reused yet.
    servers: Vec<ServerIdx>,
}

impl ServiceState {
    fn new(schemas: &[SchemaVersion], extra_percent: u32) -> Self {
        Self {
            table: ServiceTable::default(),
            retry_budget: RetryBudget::new(extra_percent),
            attempt_latency: LatencyWindow::new(hedge_quantile(extra_percent)),
            late_ratio: LateRatio::default(),
            schemas: schemas.to_vec(),
            extra_percent,
            servers: Vec::new(),
        }
    }

    /// Returns the median attempt latency, in microseconds.
    pub(crate) fn usual_us(&self) -> f64 {
        self.attempt_latency.median().unwrap_or(DEFAULT_LATENCY).as_micros() as f64
    }
}

/// Returns the quantile of the attempt latency after which a hedge is sent.
///
/// It is chosen so that the expected number of hedges stays within the retry budget.
fn hedge_quantile(extra_percent: u32) -> f64 {
    1.0 - f64::from(extra_percent) / 100.0 * HEDGE_BUDGET_FRACTION
}

/// All backend servers and placement tables of one instance.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) params: FleetParams,
    roster: Roster,
    /// The index of a removed server is reused only once nothing refers to that server any more.
    servers: Vec<ServerRecord>,
    by_name: IndexMap<ServerId, ServerIdx>,
    services: IndexMap<ServiceId, ServiceState>,
}

impl Fleet {
    /// Creates a fleet without servers; connections are shared among the instances of `roster`.
    pub fn new(params: FleetParams, roster: Roster) -> Self {
        Self {
            params,
            roster,
            servers: Vec::new(),
            by_name: IndexMap::new(),
            services: IndexMap::new(),
        }
    }

    /// Returns the server at `idx`.
    ///
    /// # Panics
    ///
    /// Panics if no server ever had this index.
    pub fn server(&self, idx: ServerIdx) -> &ServerRecord {
        &self.servers[idx.0 as usize]
    }

    /// Returns the server at `idx` for modification.
    ///
    /// # Panics
    ///
    /// Panics if no server ever had this index.
    pub fn server_mut(&mut self, idx: ServerIdx) -> &mut ServerRecord {
        &mut self.servers[idx.0 as usize]
    }

    /// Returns all servers in the order of their indexes, including removed ones whose index is not
    /// reused yet.
    pub fn servers(&self) -> &[ServerRecord] {
        &self.servers
    }

    /// Returns the state of a service, if it is configured.
    pub fn service(&self, service: &ServiceId) -> Option<&ServiceState> {
        self.services.get(service)
    }

    /// Returns the state of a service for modification, if it is configured.
    pub fn service_mut(&mut self, service: &ServiceId) -> Option<&mut ServiceState> {
        self.services.get_mut(service)
    }

    /// Applies a configuration and rebuilds the placement of all services.
    pub fn set_config(&mut self, now: Mono, config: &Config) -> Vec<Event> {
        self.services.retain(|name, _| config.services.contains_key(name));
        let mut events = Vec::new();
        for (name, service) in &config.services {
            let extra_percent = service.budgets.extra_percent;
            if let Some(state) = self.services.get_mut(name) {
                state.schemas.clone_from(&service.schemas);
                state.extra_percent = extra_percent;
                state.retry_budget.set_percent(extra_percent);
                state.attempt_latency.set_quantile(hedge_quantile(extra_percent));
            } else {
                let mut state = ServiceState::new(&service.schemas, extra_percent);
                let of_service = |s: &ServerRecord| s.announced.service == *name;
                state.servers =
                    self.server_indexes().filter(|i| of_service(self.server(*i))).collect();
                self.services.insert(name.clone(), state);
            }
            self.rebuild(now, name, &mut events);
        }
        events
    }

    fn server_indexes(&self) -> impl Iterator<Item = ServerIdx> + use<> {
        (0..self.servers.len() as u32).map(ServerIdx)
    }

    /// Sets the instances among which connections are shared and updates the share of each server.
    pub fn set_roster(&mut self, roster: Roster) {
        self.roster = roster;
        for server in &mut self.servers {
            let a = &server.announced;
            let share =
                connection_share(a.connections, &self.roster, &self.params.instance, &a.server);
            server.set_share(share);
        }
    }

    /// Applies changes in the set of servers; returns the services whose placement was rebuilt, and
    /// events.
    pub fn apply(&mut self, now: Mono, changes: &[ServerChange]) -> (Vec<ServiceId>, Vec<Event>) {
        let mut rebuilt: Vec<ServiceId> = Vec::new();
        let mut events = Vec::new();
        for change in changes {
            let service = match change {
                ServerChange::Announced(a) => self.on_announced(now, a, &mut events),
                ServerChange::Removed(name) => self.on_removed(now, name, &mut events),
            };
            if let Some(service) = service
                && !rebuilt.contains(&service)
            {
                rebuilt.push(service);
            }
        }
        for service in &rebuilt {
            self.rebuild(now, service, &mut events);
        }
        (rebuilt, events)
    }

    /// Adds or updates a server; returns its service if the placement must be rebuilt.
    fn on_announced(
        &mut self,
        now: Mono,
        a: &Announcement,
        events: &mut Vec<Event>,
    ) -> Option<ServiceId> {
        let share = connection_share(a.connections, &self.roster, &self.params.instance, &a.server);
        let Some(&idx) = self.by_name.get(&a.server) else {
            let local = a.zone == self.params.zone;
            let extra_percent = self.services.get(&a.service).map_or(0, |s| s.extra_percent);
            let server = ServerRecord::new(now, a.clone(), local, share, extra_percent);
            self.insert(now, server, events);
            return Some(a.service.clone());
        };
        let local = a.zone == self.params.zone;
        let server = &mut self.servers[idx.0 as usize];
        if a.order() < server.announced.order() {
            return None;
        }
        let old_service = server.announced.service.clone();
        let changed = !server.listed
            || server.announced.state != a.state
            || server.announced.incarnation != a.incarnation
            || server.announced.indexes != a.indexes
            || old_service != a.service;
        push_state_event(events, server, a);
        server.listed = true;
        server.local = local;
        server.update(now, a.clone());
        server.set_share(share);
        if old_service != a.service {
            self.move_service(idx, &old_service, &a.service);
            self.rebuild(now, &old_service, events);
        }
        changed.then(|| a.service.clone())
    }

    fn insert(&mut self, now: Mono, new: ServerRecord, events: &mut Vec<Event>) {
        let reusable = self.servers.iter().position(|s| s.is_index_reusable(now));
        let idx = ServerIdx(reusable.unwrap_or(self.servers.len()) as u32);
        if reusable.is_some() {
            self.release_index(idx);
        }
        let a = &new.announced;
        if a.state == ServerState::Ready {
            let (server, service) = (a.server.clone(), a.service.clone());
            events.push(Event::ServerJoined { server, service });
        }
        if let Some(state) = self.services.get_mut(&a.service) {
            state.servers.push(idx);
        }
        self.by_name.insert(a.server.clone(), idx);
        match self.servers.get_mut(idx.0 as usize) {
            Some(server) => *server = new,
            None => self.servers.push(new),
        }
    }

    /// Removes all references to the server at `idx`, so that the index can be reused.
    fn release_index(&mut self, idx: ServerIdx) {
        let a = &self.servers[idx.0 as usize].announced;
        self.by_name.swap_remove(&a.server);
        if let Some(state) = self.services.get_mut(&a.service) {
            state.servers.retain(|i| *i != idx);
        }
    }

    fn move_service(&mut self, idx: ServerIdx, old: &ServiceId, new: &ServiceId) {
        if let Some(state) = self.services.get_mut(old) {
            state.servers.retain(|i| *i != idx);
        }
        if let Some(state) = self.services.get_mut(new) {
            state.servers.push(idx);
        }
    }

    /// Marks a server as removed; returns its service, or `None` if it was not listed.
    fn on_removed(
        &mut self,
        now: Mono,
        name: &ServerId,
        events: &mut Vec<Event>,
    ) -> Option<ServiceId> {
        let idx = *self.by_name.get(name)?;
        let server = &mut self.servers[idx.0 as usize];
        if !std::mem::replace(&mut server.listed, false) {
            return None;
        }
        server.removed_at = Some(now);
        if server.announced.state == ServerState::Draining {
            events.push(Event::ServerLeft { server: name.clone() });
        } else {
            events.push(Event::ServerLapsed { server: name.clone() });
        }
        Some(server.announced.service.clone())
    }

    /// Rebuilds the placement of a service after one of its servers changed.
    pub fn rebuild(&mut self, now: Mono, name: &ServiceId, events: &mut Vec<Event>) {
        let Some(state) = self.services.get_mut(name) else { return };
        let servers = &self.servers;
        let of_service = state.servers.iter().map(|i| (*i, &servers[i.0 as usize]));
        let update = state.table.rebuild(now, &state.schemas, of_service);
        state.retry_budget.set_server_count(state.servers.len());
        push_table_events(events, name, update);
    }

    /// Chooses again, for each service, the index version that new queries are pinned to.
    pub fn choose_versions(&mut self, now: Mono, events: &mut Vec<Event>) {
        for (name, state) in &mut self.services {
            let switched = state.table.choose_current(now);
            push_table_events(events, name, TableUpdate { switched, ..TableUpdate::default() });
        }
    }

    /// Returns the time at which [`Fleet::choose_versions`] is due again, if there is one.
    pub fn next_wake(&self) -> Option<Mono> {
        self.services.values().filter_map(|s| s.table.next_wake()).min()
    }

    /// Records a successful attempt; returns an event if it ends an ejection of the server.
    pub fn record_success(
        &mut self,
        now: Mono,
        idx: ServerIdx,
        latency: Duration,
        load: Option<LoadReport>,
    ) -> Option<Event> {
        let server = self.server_mut(idx);
        let restored = server.record_success(now, latency, load);
        restored.then(|| Event::ServerRestored { server: server.announced.server.clone() })
    }

    /// Records a failed attempt; returns an event if it ejects the server.
    pub fn record_failure(&mut self, now: Mono, idx: ServerIdx) -> Option<Event> {
        let server = self.server_mut(idx);
        let failures = u64::from(server.record_failure(now)?);
        Some(Event::ServerEjected { server: server.announced.server.clone(), failures })
    }
}

/// Appends the event of a server's state change, if there is one.
fn push_state_event(events: &mut Vec<Event>, old: &ServerRecord, new: &Announcement) {
    let server = new.server.clone();
    let was = old.announced.state;
    if new.state == ServerState::Draining && was != ServerState::Draining {
        events.push(Event::ServerDraining { server });
    } else if new.state == ServerState::Ready && (was != ServerState::Ready || !old.listed) {
        events.push(Event::ServerJoined { server, service: new.service.clone() });
    }
}

/// Appends the events of a changed placement table.
fn push_table_events(events: &mut Vec<Event>, service: &ServiceId, update: TableUpdate) {
    for c in update.conflicts {
        let service = service.clone();
        events.push(Event::ShardCountConflict { service, version: c.version, server: c.server });
    }
    for version in update.resolved {
        events.push(Event::ShardCountAgreed { service: service.clone(), version });
    }
    if let Some((from, to)) = update.switched {
        events.push(Event::SnapshotChanged { service: service.clone(), from, to });
    }
}
