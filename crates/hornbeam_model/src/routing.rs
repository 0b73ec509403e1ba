//! The routing table: which requests go to which services, and its checks.
//!
//! A routing table is replaced as a whole; the highest version is in force.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::Snafu;

use crate::ids::{RouteId, ServiceId, TableVersion};

/// A routing table that cannot be put in force.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum RoutingError {
    /// A route names a service that the table does not define.
    #[snafu(display("route {route} names service {service}, which is not defined: add it"))]
    UnknownService {
        /// The route.
        route: RouteId,
        /// The service.
        service: ServiceId,
    },
    /// Two routes match the same requests.
    #[snafu(display("host {host} and prefix {prefix} belong to two routes: remove one"))]
    SamePlace {
        /// The host.
        host: SmolStr,
        /// The prefix.
        prefix: SmolStr,
    },
    /// The weights of a route add up to zero.
    #[snafu(display("the weights of route {route} add up to zero: give one a weight"))]
    NoWeight {
        /// The route.
        route: RouteId,
    },
    /// A route has no time.
    #[snafu(display("route {route} has a timeout of zero: give it at least a millisecond"))]
    NoTimeout {
        /// The route.
        route: RouteId,
    },
    /// A route names no service or shard.
    #[snafu(display("route {route} leads nowhere: name a service, parts or shards"))]
    NoTarget {
        /// The route.
        route: RouteId,
    },
}

/// Where the requests of a route go.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// To one server of a service.
    Single(ServiceId),
    /// To one server of a service drawn by weight.
    Split(Vec<WeightedService>),
    /// To one server of every shard; the parts are merged.
    Scatter(Scatter),
}

/// A service with its share of a split route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its share relative to the other parts.
    pub weight: u32,
}

/// A request to every shard of an index.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Scatter {
    /// The shards, each a service; one snapshot of the index within one table version.
    pub shards: Vec<ServiceId>,
    /// Records in the merged answer.
    pub limit: u32,
    /// Least share of the shards in a successful answer, in millionths.
    pub min_covered_ppm: u32,
}

impl Scatter {
    /// The fewest shards that make a successful answer; at least one.
    pub fn min_shards(&self) -> usize {
        let exact = self.shards.len() as u64 * u64::from(self.min_covered_ppm);
        (exact.div_ceil(1_000_000) as usize).clamp(1, self.shards.len().max(1))
    }
}

/// One route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: RouteId,
    /// The host that requests name; compared without regard to case.
    pub host: SmolStr,
    /// Begins and ends with a slash; the longest prefix of a path decides.
    pub prefix: SmolStr,
    /// False if a request may run at most once.
    pub idempotent: bool,
    /// Longest time a caller is kept waiting, in milliseconds.
    pub timeout_ms: u32,
    /// Time within which an answer has its full worth, in milliseconds; zero if none is given.
    pub objective_ms: u32,
    /// Rank under overload; zero is the most urgent.
    pub priority: u8,
    /// Servers that one request may be sent to, for each shard.
    pub max_attempts: u32,
    /// Where the requests go.
    pub target: Target,
}

impl Route {
    /// Longest time a caller is kept waiting.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.timeout_ms))
    }

    /// Time within which an answer has its full worth; the timeout if none is given.
    pub fn objective(&self) -> Duration {
        let ms = if self.objective_ms == 0 { self.timeout_ms } else { self.objective_ms };
        Duration::from_millis(u64::from(ms))
    }

    /// The same route to another target.
    pub fn with_target(&self, target: Target) -> Self {
        Self {
            name: self.name.clone(),
            host: self.host.clone(),
            prefix: self.prefix.clone(),
            target,
            ..*self
        }
    }

    /// The services that requests may reach.
    pub fn services(&self) -> Vec<&ServiceId> {
        match &self.target {
            Target::Single(service) => vec![service],
            Target::Split(parts) => parts.iter().map(|p| &p.service).collect(),
            Target::Scatter(scatter) => scatter.shards.iter().collect(),
        }
    }
}

/// A service that routes may name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoutedService {
    /// Connections that each of its servers accepts from all callers together.
    pub max_connections: u32,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Longest request head in bytes.
    pub max_header_bytes: u32,
    /// Longest request body in bytes.
    pub max_body_bytes: u32,
    /// Longest time for a request head to arrive, in milliseconds.
    pub header_timeout_ms: u32,
    /// Longest time a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The routing table of one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Routing {
    /// Its version; the highest is in force, zero is none.
    pub version: TableVersion,
    /// The routes, in the order given.
    pub routes: Vec<Arc<Route>>,
    /// The services by name.
    pub services: IndexMap<ServiceId, RoutedService>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
    /// The table as its operator sent it, to be read back; empty at entries.
    pub document: Vec<u8>,
}

impl Routing {
    /// Checks that every request has one way to go.
    ///
    /// # Errors
    ///
    /// The first fault found, with its remedy.
    pub fn check(&self) -> Result<(), RoutingError> {
        let mut places = HashSet::new();
        for route in &self.routes {
            let name = || route.name.clone();
            let services = route.services();
            if services.is_empty() {
                return Err(RoutingError::NoTarget { route: name() });
            }
            for service in services {
                if !self.services.contains_key(service) {
                    let service = service.clone();
                    return Err(RoutingError::UnknownService { route: name(), service });
                }
            }
            if !places.insert((route.host.to_ascii_lowercase(), route.prefix.clone())) {
                let (host, prefix) = (route.host.clone(), route.prefix.clone());
                return Err(RoutingError::SamePlace { host, prefix });
            }
            if let Target::Split(parts) = &route.target
                && parts.iter().all(|p| p.weight == 0)
            {
                return Err(RoutingError::NoWeight { route: name() });
            }
            if route.timeout_ms == 0 {
                return Err(RoutingError::NoTimeout { route: name() });
            }
        }
        Ok(())
    }

    /// What leads from `base` to this table.
    pub fn delta_from(&self, base: &Routing) -> RoutingDelta {
        let place = |r: &Arc<Route>| (r.host.clone(), r.prefix.clone());
        let old: IndexMap<_, _> = base.routes.iter().map(|r| (place(r), r)).collect();
        let kept: HashSet<_> = self.routes.iter().map(place).collect();
        let changed = self.routes.iter().filter(|r| old.get(&place(r)).is_none_or(|o| *o != *r));
        RoutingDelta {
            base: base.version,
            version: self.version,
            removed: old.keys().filter(|p| !kept.contains(*p)).cloned().collect(),
            routes: changed.cloned().collect(),
            services: (base.services != self.services).then(|| self.services.clone()),
            limits: self.limits.clone(),
        }
    }

    /// The table that a delta leads to; nothing if it starts from another version.
    pub fn apply(&self, delta: &RoutingDelta) -> Option<Routing> {
        if delta.base != self.version {
            return None;
        }
        let place = |r: &Arc<Route>| (r.host.clone(), r.prefix.clone());
        let mut routes: IndexMap<_, _> =
            self.routes.iter().map(|r| (place(r), r.clone())).collect();
        for place in &delta.removed {
            routes.shift_remove(place);
        }
        for route in &delta.routes {
            routes.insert(place(route), route.clone());
        }
        Some(Routing {
            version: delta.version,
            routes: routes.into_values().collect(),
            services: delta.services.clone().unwrap_or_else(|| self.services.clone()),
            limits: delta.limits.clone(),
            document: Vec::new(),
        })
    }
}

/// What leads from one routing table to a later one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoutingDelta {
    /// The version it starts from.
    pub base: TableVersion,
    /// The version it leads to.
    pub version: TableVersion,
    /// Host and prefix of the routes that go.
    pub removed: Vec<(SmolStr, SmolStr)>,
    /// Routes that are new or changed.
    pub routes: Vec<Arc<Route>>,
    /// All services, if they changed.
    pub services: Option<IndexMap<ServiceId, RoutedService>>,
    /// The limits.
    pub limits: CallerLimits,
}

/// The routes of a table, arranged for lookup.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// Routes by lower-case host, longest prefix first.
    hosts: IndexMap<SmolStr, Vec<Arc<Route>>>,
}

impl RouteIndex {
    /// Arranges the routes of a table.
    pub fn new(routing: &Routing) -> Self {
        let mut hosts: IndexMap<SmolStr, Vec<Arc<Route>>> = IndexMap::new();
        for route in &routing.routes {
            let host = SmolStr::new(route.host.to_ascii_lowercase());
            hosts.entry(host).or_default().push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self { hosts }
    }

    /// The route of a request, by its host and the longest prefix of its path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = strip_port(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }
}

/// The host without a port number behind it.
fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
