//! Changes of servers, routing tables and the number of entries.

use std::sync::Arc;

use hornbeam_model::{Mono, RouteId, Routing, ServerId, ServiceId};
use smol_str::SmolStr;

use super::{Engine, Output, ServerChange, ServerHealthReport};
use crate::decision::Decision;
use crate::fair_share::FairShare;
use crate::server::Server;
use crate::service::Service;

/// Percentage of a server's connections that all entries together use; the rest covers connections
/// that are being closed.
const USABLE_CONNECTIONS_PERCENT: u32 = 85;
/// Connections per server assumed while no table contains the service.
const ASSUMED_MAX_CONNECTIONS: u32 = 16;
/// In-flight attempts of all entries together per slot of a server, enough to keep a slot busy
/// while a response is in transit. Further attempts would queue at the server, where more urgent
/// ones cannot overtake them and a caller's disconnect goes unnoticed.
pub(super) const ATTEMPTS_PER_SLOT: u32 = 2;

impl Engine {
    pub(super) fn on_servers(
        &mut self,
        now: Mono,
        changes: Vec<ServerChange>,
        out: &mut Vec<Output>,
    ) {
        for change in changes {
            match change {
                ServerChange::Usable { .. } => self.add_server(now, change, out),
                ServerChange::Unusable { server, reason } => {
                    self.remove_server(&server, reason, out)
                }
            }
        }
        self.dispatch_all_waiters(now, out);
    }

    fn add_server(&mut self, now: Mono, change: ServerChange, out: &mut Vec<Output>) {
        let ServerChange::Usable { server, incarnation, service, address, zone, slots, warm_up } =
            change
        else {
            return;
        };
        if self.leaving.includes(&server, incarnation) {
            return;
        }
        let known = self.server_names.get(&server).map(|i| &self.servers[*i]);
        if known.is_some_and(|s| s.incarnation != incarnation || s.address != address) {
            // Measurements of an earlier incarnation do not apply to this one.
            self.remove_server(&server, "replaced", out);
        }
        let position = self.service_position(&service);
        let part = self.demand.part(now, self.entries);
        let share = self.share_of(position, slots, part);
        let idx = match self.server_names.get(&server) {
            Some(idx) => *idx,
            None => self.new_server(Server::new(server.clone(), address, position, share)),
        };
        let same_zone = zone == self.params.zone;
        let share = self.share_by_zone(now, position, (share, slots), same_zone);
        let has_cold_rate = self.cold_rate(&service).is_some();
        let s = &mut self.servers[idx];
        s.incarnation = incarnation;
        s.same_zone = same_zone;
        s.zone = SmolStr::new(zone.as_str());
        s.slots = slots.max(1);
        // A server that lapsed and is announced again may have stated its warm-up in responses only.
        let known_cold = self.rate_limits.cold_until(&s.id, incarnation).unwrap_or_default();
        let stated = if has_cold_rate { s.warm_up_until.max(known_cold) } else { Mono::default() };
        s.warm_up_until = stated.max(now + warm_up);
        s.set_share(share);
        // A server that lapsed and is announced again still wants its pause.
        if let Some((paused, until)) = self.pauses.get(&s.id)
            && *paused == incarnation
            && now < *until
            && !s.is_paused(now)
        {
            s.pause(*until);
        }
        s.rate_limited = self.rate_limits.in_force(now, &s.id, incarnation).is_some();
        self.apply_zone_rules(&zone, idx);
        if !self.services[position].servers.contains(&idx) {
            self.services[position].servers.push(idx);
        }
        let why = "heartbeat";
        out.push(Output::Log(Decision::ServerChanged { server, service, usable: true, why }));
        self.apply_warm_up(now, idx, out);
    }

    fn new_server(&mut self, server: Server) -> usize {
        let name = server.id.clone();
        let idx = match self.free_positions.pop() {
            Some(idx) => {
                self.servers[idx] = server;
                idx
            }
            None => {
                self.servers.push(server);
                self.servers.len() - 1
            }
        };
        self.server_names.insert(name, idx);
        idx
    }

    pub(super) fn remove_server(
        &mut self,
        server: &ServerId,
        reason: &'static str,
        out: &mut Vec<Output>,
    ) {
        let Some(idx) = self.server_names.remove(server) else { return };
        let s = &mut self.servers[idx];
        s.usable = false;
        let service = &mut self.services[s.service];
        service.servers.retain(|i| *i != idx);
        let (server, service) = (server.clone(), service.id.clone());
        if s.outstanding.is_empty() {
            self.free_positions.push(idx);
        }
        out.push(Output::Log(Decision::ServerChanged {
            server,
            service,
            usable: false,
            why: reason,
        }));
    }

    /// Releases the position of a removed server once it has no attempts in flight.
    pub(super) fn release_position(&mut self, idx: usize) {
        let s = &self.servers[idx];
        if !s.usable && s.outstanding.is_empty() && !self.free_positions.contains(&idx) {
            self.free_positions.push(idx);
        }
    }

    pub(super) fn service_position(&mut self, service: &ServiceId) -> usize {
        if let Some(position) = self.services.get_index_of(service) {
            return position;
        }
        let mut new = Service::new(service.clone(), self.params.budget);
        let named = self.table.as_ref().and_then(|t| t.services.get(service));
        new.max_connections = named.map_or(ASSUMED_MAX_CONNECTIONS, |s| s.max_connections);
        self.services.insert_full(service.clone(), new).0
    }

    /// Returns the connections that this entry may open to a server with this number of slots: its
    /// `part` of the attempts at the server, but at most an equal part of the connections that the
    /// server accepts.
    fn share_of(&self, position: usize, slots: u32, part: f64) -> u32 {
        let share = self.usable_connections(position) / self.entries.max(1);
        let work = f64::from(slots.max(1).saturating_mul(ATTEMPTS_PER_SLOT)) * part;
        share.min(work.ceil() as u32).max(1)
    }

    /// Returns the connections to a server of the service that all entries together use.
    pub(super) fn usable_connections(&self, position: usize) -> u32 {
        let most = u64::from(self.services[position].max_connections);
        (most * u64::from(USABLE_CONNECTIONS_PERCENT) / 100) as u32
    }

    pub(super) fn on_table(&mut self, now: Mono, table: Arc<Routing>, out: &mut Vec<Output>) {
        if self.table.as_ref().is_some_and(|t| t.version >= table.version) {
            return;
        }
        // Tables of earlier builds may repeat shards and names.
        let table = table.with_distinct_shards().with_distinct_names();
        self.index = hornbeam_model::RouteIndex::new(&table);
        self.team_keys = super::teams::TeamKeys::new(&table);
        self.quotas.set_policy(now, &table.policy);
        for (name, service) in &table.services {
            let position = self.service_position(name);
            self.services[position].max_connections = service.max_connections;
        }
        let named = |name: &RouteId| table.routes.iter().any(|r| r.name == *name);
        self.splitters.retain(|name, _| named(name));
        self.latencies.retain(|name, _| named(name));
        let routes = table.routes.len();
        out.push(Output::Log(Decision::TableInForce { table: table.version, routes }));
        self.contact.confirm(Some(table.version));
        if table.policy.teams.is_empty() {
            self.services.values_mut().for_each(|s| s.fair_share = FairShare::default());
        }
        self.table = Some(table);
        self.update_shares(now);
        self.stop_revoked(now, out);
        self.apply_warm_ups(now, out);
    }

    pub(super) fn on_entry_count(&mut self, now: Mono, entries: u32) {
        self.fleet_size.record(now, entries);
        if self.entries != entries.max(1) {
            self.entries = entries.max(1);
            self.update_shares(now);
        }
    }

    pub(super) fn on_peer_health_reports(&mut self, now: Mono, reports: &[ServerHealthReport]) {
        for report in reports {
            if let Some(idx) = self.server_names.get(&report.server) {
                self.servers[*idx].record_peer_report(now, report.slowness, report.unresponsive);
            }
        }
    }

    pub(super) fn update_shares(&mut self, now: Mono) {
        let part = self.demand.part(now, self.entries);
        for idx in 0..self.servers.len() {
            let Server { service, slots, same_zone, .. } = self.servers[idx];
            let share = self.share_of(service, slots, part);
            let share = self.share_by_zone(now, service, (share, slots), same_zone);
            self.servers[idx].set_share(share);
        }
    }
}
