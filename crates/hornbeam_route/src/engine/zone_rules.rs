//! Evacuated zones, and the regions in which requests may be handled.
//!
//! Load pattern: an operator evacuates a zone at peak load. Nothing is sent to its servers from then
//! on, attempts in flight there complete, and the other zones take what they can. The zone is not lost:
//! its servers are not probed, and this entry does not count as detached or isolated because of it.
//! Replayed in `tests/evacuation`.
//!
//! [`Engine::may_use`] decides for every way in which a request, a probe or a check reaches a server.

use std::time::Duration;

use hornbeam_model::{
    InstanceId, Mono, QueryId, Region, RouteId, ServerId, TeamId, Zone, ZoneOrders,
};
use indexmap::IndexMap;

use super::{Engine, Output};
use crate::decision::Decision;
use crate::peers::Peer;
use crate::region_rule::RegionRule;
use crate::server::Server;

/// Retry delay for a shard whose servers are all evacuated or in regions that are not allowed. The end
/// of an evacuation is not known in advance; it takes effect at entries within this time.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(5);

impl Engine {
    /// Sets the regions of the zones, from the settings.
    pub fn with_regions(mut self, regions: IndexMap<Zone, Region>) -> Self {
        self.zone_rules.set_regions(regions);
        self
    }

    /// Returns the number of zones whose servers are evacuated.
    pub fn evacuated_zones(&self) -> usize {
        self.zone_rules.orders().evacuated.len()
    }

    /// Returns the regions in which requests on a route, of a team if there is one, may be handled.
    pub(super) fn region_rule(&self, route: &RouteId, team: Option<&TeamId>) -> RegionRule {
        let Some(policy) = self.table.as_ref().map(|t| &t.policy) else {
            return RegionRule::default();
        };
        let of_route = policy.route_regions.get(route).map_or(&[][..], Vec::as_slice);
        let team = team.and_then(|name| policy.teams.get(name));
        RegionRule::new(of_route, team.map_or(&[], |t| &t.regions))
    }

    /// Returns true if the requests of a team may be handled only in certain regions.
    pub(super) fn has_regions(&self, team: Option<&TeamId>) -> bool {
        let policy = self.table.as_ref().map(|t| &t.policy);
        let team = policy.zip(team).and_then(|(policy, name)| policy.teams.get(name));
        team.is_some_and(|t| !t.regions.is_empty())
    }

    /// Returns true if anything may be sent to a server: its zone is not evacuated, and its region is
    /// allowed.
    pub(super) fn may_use(&self, server: usize, regions: &RegionRule) -> bool {
        let server = &self.servers[server];
        !server.evacuated && regions.allows(server.region.as_ref())
    }

    /// Returns the servers of a service that may be used.
    pub(super) fn allowed_servers<'a>(
        &'a self,
        service: usize,
        regions: &'a RegionRule,
    ) -> impl Iterator<Item = &'a Server> {
        let servers = self.services[service].servers.iter();
        servers.filter(|i| self.may_use(**i, regions)).map(|i| &self.servers[*i])
    }

    /// Returns the retry delay for a service that has servers but may use none of them.
    pub(super) fn barred_for(&self, service: usize, regions: &RegionRule) -> Option<Duration> {
        let barred = self.allowed_servers(service, regions).next().is_none();
        barred.then_some(EVACUATED_RETRY_AFTER)
    }

    /// Returns true if the entries of this zone may gather groups of a request.
    pub(super) fn may_gather_here(&self, regions: &RegionRule) -> bool {
        regions.allows_all() || regions.allows(self.zone_rules.region(&self.params.zone))
    }

    /// Sets what the rules state about the zone of a server that was added or has changed.
    pub(super) fn apply_zone_rules(&mut self, zone: &Zone, server: usize) {
        let service = &self.services[self.servers[server].service].id;
        let warm_up = self.table.as_ref().and_then(|t| t.policy.warm_ups.get(service));
        let returned_at = self.zone_rules.returned_at(zone);
        let server = &mut self.servers[server];
        server.evacuated = self.zone_rules.is_evacuated(zone);
        server.region = self.zone_rules.region(zone).cloned();
        if let Some((at, warm_up)) = returned_at.zip(warm_up) {
            let until = at + Duration::from_millis(u64::from(warm_up.duration_ms));
            server.warm_up_until = server.warm_up_until.max(until);
        }
    }

    /// Puts orders about zones in force, unless the same or later ones are.
    pub(super) fn on_zone_orders(&mut self, now: Mono, orders: ZoneOrders, out: &mut Vec<Output>) {
        let index = orders.index;
        let Some(changes) = self.zone_rules.apply(now, orders) else { return };
        for zone in changes.begun {
            let servers = self.evacuate(&zone, out);
            out.push(Output::Log(Decision::ZoneEvacuated { zone, index, servers }));
        }
        for zone in changes.ended {
            let servers = self.use_again(now, &zone, out);
            out.push(Output::Log(Decision::ZoneReturned { zone, index, servers }));
        }
        // Queued shards that no server is left for end at once.
        self.dispatch_all_waiters(now, out);
    }

    /// Returns the known servers that are not evacuated.
    pub(super) fn servers_in_use(&self) -> impl Iterator<Item = &Server> {
        self.server_names.values().map(|i| &self.servers[*i]).filter(|s| !s.evacuated)
    }

    /// Returns the number of usable servers that are not evacuated, ejected ones included.
    pub fn count_servers_in_use(&self) -> usize {
        self.servers_in_use().count()
    }

    /// Chooses the entry that gathers what this entry cannot reach, among those in allowed regions.
    pub(super) fn choose_relay(
        &mut self,
        key: QueryId,
        tried: Option<&InstanceId>,
    ) -> Option<Peer> {
        let regions = &self.requests.get(&key)?.regions;
        let rules = &self.zone_rules;
        let may_handle = |zone: &Zone| regions.allows_all() || regions.allows(rules.region(zone));
        self.peers.choose_relay(tried, &mut self.rng, may_handle)
    }

    fn servers_in(&self, zone: &Zone) -> Vec<usize> {
        let known = self.server_names.values().copied();
        known.filter(|i| self.servers[*i].zone == zone.as_str()).collect()
    }

    /// Sends nothing to the servers of a zone any more, and returns their number.
    fn evacuate(&mut self, zone: &Zone, out: &mut Vec<Output>) -> usize {
        let servers = self.servers_in(zone);
        for idx in &servers {
            self.apply_zone_rules(zone, *idx);
            out.push(Output::CloseIdle(self.servers[*idx].id.clone()));
        }
        servers.len()
    }

    /// Uses the servers of a zone again, as cold as after their start, and returns their number.
    fn use_again(&mut self, now: Mono, zone: &Zone, out: &mut Vec<Output>) -> usize {
        let servers = self.servers_in(zone);
        for idx in &servers {
            self.apply_zone_rules(zone, *idx);
            self.servers[*idx].return_from_evacuation();
            self.apply_warm_up(now, *idx, out);
        }
        servers.len()
    }

    /// Closes the connection of an attempt that has ended well at a server that is evacuated.
    pub(super) fn close_if_evacuated(&self, server: usize, out: &mut Vec<Output>) {
        let server = &self.servers[server];
        if server.evacuated {
            out.push(Output::CloseIdle(server.id.clone()));
        }
    }

    /// Returns the end of the warm-up of a server; in the past if it is warm, `None` if it is not known.
    pub fn warm_up_until(&self, server: &ServerId) -> Option<Mono> {
        self.server_names.get(server).map(|i| self.servers[*i].warm_up_until)
    }
}
