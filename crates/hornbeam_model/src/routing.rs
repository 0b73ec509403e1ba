//! Routing table, which assigns requests to services, with its validation, differences and lookup.
//!
//! A routing table is always replaced as a whole; the highest version is in force.

use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::Snafu;

use crate::ids::{RouteId, ServiceId, TableVersion, TeamId};
use crate::policy::TrafficPolicy;

/// Error for a routing table that cannot be put in force.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum RoutingError {
    /// A route names a service that the table does not define.
    #[snafu(display("route {route} names the undefined service {service}: define it"))]
    UnknownService {
        /// Name of the route.
        route: RouteId,
        /// Name of the service.
        service: ServiceId,
    },
    /// Two routes have the same host and path prefix.
    #[snafu(display("two routes have host {host} and prefix {prefix}: remove one"))]
    DuplicateRoute {
        /// Host of both routes.
        host: SmolStr,
        /// Path prefix of both routes.
        prefix: SmolStr,
    },
    /// All weights of a split route are zero.
    #[snafu(display("the weights of route {route} add up to zero: set one above zero"))]
    ZeroWeights {
        /// Name of the route.
        route: RouteId,
    },
    /// The timeout of a route is zero.
    #[snafu(display("the timeout of route {route} is zero: set it to 1 ms or more"))]
    ZeroTimeout {
        /// Name of the route.
        route: RouteId,
    },
    /// Two teams have the same key.
    #[snafu(display("teams {first} and {second} have a key in common: remove it from one"))]
    SharedKey {
        /// Name of one team.
        first: TeamId,
        /// Name of the other team.
        second: TeamId,
    },
    /// The policy names a route whose name another one has as well.
    #[snafu(display("the policy names route {route}, and several have that name: rename them"))]
    AmbiguousName {
        /// Name of the routes.
        route: RouteId,
    },
    /// The target of a route names no service and no shard.
    #[snafu(display("route {route} has no target: name a service, weighted services or shards"))]
    NoTarget {
        /// Name of the route.
        route: RouteId,
    },
}

/// Destination of the requests of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// One server of a service.
    Single(ServiceId),
    /// One server of a service that is selected in proportion to its weight.
    Split(Vec<WeightedService>),
    /// Scatter-gather: one server of every shard; the shard responses are merged.
    Scatter(Scatter),
}

/// Service of a split route with its weight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedService {
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Share of the requests, relative to the weights of the other services.
    pub weight: u32,
}

/// Scatter-gather over all shards of an index.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Scatter {
    /// Shards, each one a service; one table version names one snapshot of the index. A set: see
    /// [`Routing::with_distinct_shards`].
    pub shards: Vec<ServiceId>,
    /// Maximum number of records in the merged response.
    pub limit: u32,
    /// Minimum share of the shards that a successful response covers, in millionths.
    pub min_covered_ppm: u32,
}

impl Scatter {
    fn repeats_shards(&self) -> bool {
        let mut seen = HashSet::new();
        !self.shards.iter().all(|shard| seen.insert(shard))
    }

    fn with_distinct_shards(&self) -> Self {
        let distinct: IndexSet<&ServiceId> = self.shards.iter().collect();
        Self { shards: distinct.into_iter().cloned().collect(), ..*self }
    }

    /// Returns the minimum number of shards that a successful response covers; at least 1.
    pub fn min_shards(&self) -> usize {
        let exact = self.shards.len() as u64 * u64::from(self.min_covered_ppm);
        (exact.div_ceil(1_000_000) as usize).clamp(1, self.shards.len().max(1))
    }
}

/// Route of the routing table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route, for logs and metrics.
    pub name: RouteId,
    /// Host of the requests; compared case-insensitively.
    pub host: SmolStr,
    /// Path prefix, which starts and ends with a slash; the longest matching prefix selects the
    /// route.
    pub prefix: SmolStr,
    /// False if a request must not run more than once.
    pub idempotent: bool,
    /// Maximum time that a caller waits for the response, in milliseconds.
    pub timeout_ms: u32,
    /// Latency objective in milliseconds, within which a response has its full value; 0 if none is
    /// set.
    pub objective_ms: u32,
    /// Priority during overload; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of servers that a request is sent to, for each shard.
    pub max_attempts: u32,
    /// Destination of the requests.
    pub target: Target,
}

impl Route {
    /// Returns the maximum time that a caller waits for the response.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.timeout_ms))
    }

    /// Returns the latency objective, or the timeout if none is set.
    pub fn objective(&self) -> Duration {
        let ms = if self.objective_ms == 0 { self.timeout_ms } else { self.objective_ms };
        Duration::from_millis(u64::from(ms))
    }

    /// Returns a copy of the route with another target.
    pub fn with_target(&self, target: Target) -> Self {
        Self {
            name: self.name.clone(),
            host: self.host.clone(),
            prefix: self.prefix.clone(),
            target,
            ..*self
        }
    }

    /// Returns the services that receive requests of the route.
    pub fn services(&self) -> Vec<&ServiceId> {
        match &self.target {
            Target::Single(service) => vec![service],
            Target::Split(parts) => parts.iter().map(|p| &p.service).collect(),
            Target::Scatter(scatter) => scatter.shards.iter().collect(),
        }
    }
}

/// Service that routes may name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoutedService {
    /// Maximum number of connections that each server of the service accepts from all callers
    /// together.
    pub max_connections: u32,
}

/// Limits on the connections and requests of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum length of a request head, in bytes.
    pub max_header_bytes: u32,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: u32,
    /// Maximum time to receive a request head, in milliseconds.
    pub header_timeout_ms: u32,
    /// Maximum time that a connection may be idle, in milliseconds.
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

/// Routing table of one version. Its `Debug` output leaves out the document, which contains keys.
#[derive(Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Routing {
    /// Version of the table; the highest one is in force. 0 is a version like others, see
    /// [`Routing::exists`].
    pub version: TableVersion,
    /// Routes, in the order of the document; a [`RoutingDelta`] appends its new routes.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: IndexMap<ServiceId, RoutedService>,
    /// Limits on the connections and requests of callers.
    pub limits: CallerLimits,
    /// Document that the operator sent, returned when the table is read; empty at entries.
    pub document: Vec<u8>,
    /// Rules about teams, regions and cold servers. Not part of the encoding, which builds without them
    /// read as well: controllers derive the policy from the document, and entries receive it beside the
    /// table.
    #[serde(skip)]
    pub policy: Arc<TrafficPolicy>,
}

impl fmt::Debug for Routing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Routing")
            .field("version", &self.version)
            .field("routes", &self.routes)
            .field("services", &self.services)
            .field("limits", &self.limits)
            .field("policy", &self.policy)
            .finish_non_exhaustive()
    }
}

impl Routing {
    /// Returns false for the default value that stands for no table where tables come with their document:
    /// at controllers.
    pub fn exists(&self) -> bool {
        self.version > TableVersion(0) || !self.document.is_empty()
    }

    /// Validates targets, weights and timeouts, and that no two routes match the same requests.
    ///
    /// # Errors
    ///
    /// Returns the first problem, with its remedy.
    pub fn check(&self) -> Result<(), RoutingError> {
        let mut keys = HashSet::new();
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
            if !keys.insert((route.host.to_ascii_lowercase(), route.prefix.clone())) {
                let (host, prefix) = (route.host.clone(), route.prefix.clone());
                return Err(RoutingError::DuplicateRoute { host, prefix });
            }
            if let Target::Split(parts) = &route.target
                && parts.iter().all(|p| p.weight == 0)
            {
                return Err(RoutingError::ZeroWeights { route: name() });
            }
            if route.timeout_ms == 0 {
                return Err(RoutingError::ZeroTimeout { route: name() });
            }
        }
        if let Some(route) = self.ambiguous_name() {
            return Err(RoutingError::AmbiguousName { route: route.clone() });
        }
        if let Some((first, second)) = self.policy.teams_with_one_key() {
            let (first, second) = (first.clone(), second.clone());
            return Err(RoutingError::SharedKey { first, second });
        }
        Ok(())
    }

    /// Returns the table with each shard listed once per route. A list that names a shard again means the
    /// same set of shards.
    pub fn with_distinct_shards(self: Arc<Self>) -> Arc<Self> {
        let repeats =
            |r: &Arc<Route>| matches!(&r.target, Target::Scatter(s) if s.repeats_shards());
        if !self.routes.iter().any(repeats) {
            return self;
        }
        let mut table = Self::clone(&self);
        for route in &mut table.routes {
            let Target::Scatter(scatter) = &route.target else { continue };
            *route = Arc::new(route.with_target(Target::Scatter(scatter.with_distinct_shards())));
        }
        Arc::new(table)
    }

    /// Returns the difference from `base` to this table.
    pub fn delta_from(&self, base: &Routing) -> RoutingDelta {
        let key = |r: &Arc<Route>| (r.host.clone(), r.prefix.clone());
        let old: IndexMap<_, _> = base.routes.iter().map(|r| (key(r), r)).collect();
        let kept: HashSet<_> = self.routes.iter().map(key).collect();
        let changed = self.routes.iter().filter(|r| old.get(&key(r)).is_none_or(|o| *o != *r));
        RoutingDelta {
            base: base.version,
            version: self.version,
            removed: old.keys().filter(|p| !kept.contains(*p)).cloned().collect(),
            routes: changed.cloned().collect(),
            services: (base.services != self.services).then(|| self.services.clone()),
            limits: self.limits,
        }
    }

    /// Returns the table after a difference, with the policy of this one; `None` if its base is another
    /// version than this table.
    pub fn apply(&self, delta: &RoutingDelta) -> Option<Routing> {
        if delta.base != self.version {
            return None;
        }
        let key = |r: &Arc<Route>| (r.host.clone(), r.prefix.clone());
        let mut routes: IndexMap<_, _> = self.routes.iter().map(|r| (key(r), r.clone())).collect();
        for key in &delta.removed {
            routes.shift_remove(key);
        }
        for route in &delta.routes {
            routes.insert(key(route), route.clone());
        }
        Some(Routing {
            version: delta.version,
            routes: routes.into_values().collect(),
            services: delta.services.clone().unwrap_or_else(|| self.services.clone()),
            limits: delta.limits,
            document: Vec::new(),
            policy: self.policy.clone(),
        })
    }
}

/// Difference between two versions of the routing table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoutingDelta {
    /// Version that the difference applies to.
    pub base: TableVersion,
    /// Version that results.
    pub version: TableVersion,
    /// Host and prefix of the removed routes.
    pub removed: Vec<(SmolStr, SmolStr)>,
    /// New and changed routes.
    pub routes: Vec<Arc<Route>>,
    /// All services of the new version; `None` if they did not change.
    pub services: Option<IndexMap<ServiceId, RoutedService>>,
    /// Caller limits of the new version.
    pub limits: CallerLimits,
}

/// Index of the routes of a table by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// Routes by lowercase host, longest prefix first.
    hosts: IndexMap<SmolStr, Vec<Arc<Route>>>,
}

impl RouteIndex {
    /// Creates the index of a routing table.
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

    /// Returns the route of a request: the one of its host with the longest matching path prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = strip_port(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }
}

/// Returns the host without its port number.
fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
