//! All servers and tables of one instance.

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

/// Share of the extra budget that hedges are expected to use; the rest is slack.
const HEDGE_DEMAND: f64 = 0.5;
/// Latency assumed before anything was measured.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(50);

/// What a fleet needs to know of its own instance.
#[derive(Clone, Debug)]
pub struct FleetParams {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Choose replicas at random, without regard to load; the baseline of the benchmarks.
    pub random_pick: bool,
}

/// A change in the set of known servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServerChange {
    /// A server announced itself, first or anew.
    Announced(Announcement),
    /// A server is in no view any more.
    Removed(ServerId),
}

/// State of one service that its queries share.
#[derive(Debug)]
pub struct ServiceState {
    /// Placement of its index versions.
    pub table: ServiceTable,
    /// Extra attempts its queries may send.
    pub retry_budget: RetryBudget,
    /// Latencies of its attempts.
    pub attempts: LatencyWindow,
    /// How many of its attempts were late.
    pub late: LateRatio,
    schemas: Vec<SchemaVersion>,
    percent: u32,
    /// Servers of this service.
    servers: Vec<ServerIdx>,
}

impl ServiceState {
    fn new(schemas: &[SchemaVersion], percent: u32) -> Self {
        Self {
            table: ServiceTable::default(),
            retry_budget: RetryBudget::new(percent),
            attempts: LatencyWindow::new(hedge_quantile(percent)),
            late: LateRatio::default(),
            schemas: schemas.to_vec(),
            percent,
            servers: Vec::new(),
        }
    }

    /// Usual latency of an attempt, in microseconds.
    pub(crate) fn usual_us(&self) -> f64 {
        self.attempts.median().unwrap_or(UNKNOWN_LATENCY).as_micros() as f64
    }
}

/// The quantile of attempt latency after which a hedge is sent, so that the expected number of
/// hedges stays within the budget.
fn hedge_quantile(percent: u32) -> f64 {
    1.0 - f64::from(percent) / 100.0 * HEDGE_DEMAND
}

/// All servers and tables of one instance.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) params: FleetParams,
    roster: Roster,
    /// A place goes to another server only once nothing refers to the old one.
    servers: Vec<ServerRecord>,
    by_name: IndexMap<ServerId, ServerIdx>,
    services: IndexMap<ServiceId, ServiceState>,
}

impl Fleet {
    /// A fleet without servers; connections are shared among `roster`.
    pub fn new(params: FleetParams, roster: Roster) -> Self {
        Self {
            params,
            roster,
            servers: Vec::new(),
            by_name: IndexMap::new(),
            services: IndexMap::new(),
        }
    }

    /// The server at `idx`.
    pub fn server(&self, idx: ServerIdx) -> &ServerRecord {
        &self.servers[idx.0 as usize]
    }

    /// The server at `idx`, to change.
    pub fn server_mut(&mut self, idx: ServerIdx) -> &mut ServerRecord {
        &mut self.servers[idx.0 as usize]
    }

    /// All servers that were ever known.
    pub fn servers(&self) -> &[ServerRecord] {
        &self.servers
    }

    /// State of a service, if it is configured.
    pub fn service(&self, service: &ServiceId) -> Option<&ServiceState> {
        self.services.get(service)
    }

    /// State of a service, to change.
    pub fn service_mut(&mut self, service: &ServiceId) -> Option<&mut ServiceState> {
        self.services.get_mut(service)
    }

    /// Takes over a configuration.
    pub fn set_config(&mut self, now: Mono, config: &Config) -> Vec<Event> {
        self.services.retain(|name, _| config.services.contains_key(name));
        let mut events = Vec::new();
        for (name, service) in &config.services {
            let percent = service.budgets.extra_percent;
            if let Some(state) = self.services.get_mut(name) {
                state.schemas.clone_from(&service.schemas);
                state.percent = percent;
                state.retry_budget.set_percent(percent);
                state.attempts.set_quantile(hedge_quantile(percent));
            } else {
                let mut state = ServiceState::new(&service.schemas, percent);
                let of_service = |s: &ServerRecord| s.announced.service == *name;
                state.servers = self.indexes().filter(|i| of_service(self.server(*i))).collect();
                self.services.insert(name.clone(), state);
            }
            self.rebuild(now, name, &mut events);
        }
        events
    }

    fn indexes(&self) -> impl Iterator<Item = ServerIdx> + use<> {
        (0..self.servers.len() as u32).map(ServerIdx)
    }

    /// Takes over the instances among which connections are shared.
    pub fn set_roster(&mut self, roster: Roster) {
        self.roster = roster;
        for server in &mut self.servers {
            let a = &server.announced;
            let share =
                connection_share(a.connections, &self.roster, &self.params.instance, &a.server);
            server.set_share(share);
        }
    }

    /// Takes over changes in the set of servers; the services whose placement changed and events.
    pub fn apply(&mut self, now: Mono, changes: &[ServerChange]) -> (Vec<ServiceId>, Vec<Event>) {
        let mut touched: Vec<ServiceId> = Vec::new();
        let mut events = Vec::new();
        for change in changes {
            let service = match change {
                ServerChange::Announced(a) => self.announced(now, a, &mut events),
                ServerChange::Removed(name) => self.gone(now, name, &mut events),
            };
            if let Some(service) = service
                && !touched.contains(&service)
            {
                touched.push(service);
            }
        }
        for service in &touched {
            self.rebuild(now, service, &mut events);
        }
        (touched, events)
    }

    fn announced(
        &mut self,
        now: Mono,
        a: &Announcement,
        events: &mut Vec<Event>,
    ) -> Option<ServiceId> {
        let share = connection_share(a.connections, &self.roster, &self.params.instance, &a.server);
        let Some(&idx) = self.by_name.get(&a.server) else {
            let local = a.zone == self.params.zone;
            let percent = self.services.get(&a.service).map_or(0, |s| s.percent);
            let entry = ServerRecord::new(now, a.clone(), local, share, percent);
            self.insert(now, entry, events);
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
        note_state(events, server, a);
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

    fn insert(&mut self, now: Mono, entry: ServerRecord, events: &mut Vec<Event>) {
        let forgotten = self.servers.iter().position(|s| s.is_slot_reusable(now));
        let idx = ServerIdx(forgotten.unwrap_or(self.servers.len()) as u32);
        if forgotten.is_some() {
            self.forget(idx);
        }
        let a = &entry.announced;
        if a.state == ServerState::Ready {
            let (server, service) = (a.server.clone(), a.service.clone());
            events.push(Event::ServerJoined { server, service });
        }
        if let Some(state) = self.services.get_mut(&a.service) {
            state.servers.push(idx);
        }
        self.by_name.insert(a.server.clone(), idx);
        match self.servers.get_mut(idx.0 as usize) {
            Some(place) => *place = entry,
            None => self.servers.push(entry),
        }
    }

    fn forget(&mut self, idx: ServerIdx) {
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

    fn gone(&mut self, now: Mono, name: &ServerId, events: &mut Vec<Event>) -> Option<ServiceId> {
        let idx = *self.by_name.get(name)?;
        let server = &mut self.servers[idx.0 as usize];
        if !std::mem::replace(&mut server.listed, false) {
            return None;
        }
        server.gone_at = Some(now);
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
        let news = state.table.rebuild(now, &state.schemas, of_service);
        state.retry_budget.set_server_count(state.servers.len());
        note_table(events, name, news);
    }

    /// Looks again at which version new queries are pinned to.
    pub fn choose_versions(&mut self, now: Mono, events: &mut Vec<Event>) {
        for (name, state) in &mut self.services {
            let switched = state.table.choose_current(now);
            note_table(events, name, TableUpdate { switched, ..TableUpdate::default() });
        }
    }

    /// When [`Fleet::choose_versions`] should be called again.
    pub fn next_wake(&self) -> Option<Mono> {
        self.services.values().filter_map(|s| s.table.next_wake()).min()
    }

    /// Notes a reply; an event if the server is used again after having been avoided.
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

    /// Notes a failure; an event if the server is avoided from now on.
    pub fn record_failure(&mut self, now: Mono, idx: ServerIdx) -> Option<Event> {
        let server = self.server_mut(idx);
        let failures = u64::from(server.record_failure(now)?);
        Some(Event::ServerEjected { server: server.announced.server.clone(), failures })
    }
}

fn note_state(events: &mut Vec<Event>, old: &ServerRecord, new: &Announcement) {
    let server = new.server.clone();
    let was = old.announced.state;
    if new.state == ServerState::Draining && was != ServerState::Draining {
        events.push(Event::ServerDraining { server });
    } else if new.state == ServerState::Ready && (was != ServerState::Ready || !old.listed) {
        events.push(Event::ServerJoined { server, service: new.service.clone() });
    }
}

fn note_table(events: &mut Vec<Event>, service: &ServiceId, news: TableUpdate) {
    for c in news.conflicts {
        let service = service.clone();
        events.push(Event::ShardCountConflict { service, version: c.version, server: c.server });
    }
    for version in news.resolved {
        events.push(Event::ShardCountAgreed { service: service.clone(), version });
    }
    if let Some((from, to)) = news.switched {
        events.push(Event::SnapshotChanged { service: service.clone(), from, to });
    }
}
