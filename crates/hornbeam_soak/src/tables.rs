//! Routing tables that operators send.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{
    CallerLimits, Route, RoutedService, Routing, Scatter, ServiceId, TableVersion, Target,
};

use crate::caller::{HOST, LIMIT};

/// Number of shards of the index.
pub const SHARDS: usize = 5;
/// Timeout of every route, and so the limit of the time that a caller waits.
pub const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of servers that one request is sent to, per shard.
pub const MAX_ATTEMPTS: usize = 2;

/// Returns the services of the shards and the service of single requests.
pub fn services() -> Vec<String> {
    let shards = (0..SHARDS).map(|i| format!("shard{i}"));
    shards.chain(["tablet".to_owned()]).collect()
}

/// Returns the encoded routing table of a version with the default limits.
pub fn table(version: u64) -> Vec<u8> {
    table_with_limits(version, CallerLimits::default())
}

/// Returns the encoded routing table of a version; the name of one route depends on the version.
pub fn table_with_limits(version: u64, limits: CallerLimits) -> Vec<u8> {
    let name = |text: &str| -> ServiceId { text.parse().expect("a valid service name") };
    let route = |path: &str, idempotent: bool, target: Target| Route {
        name: format!("r-{path}").parse().expect("a valid route name"),
        host: HOST.into(),
        prefix: format!("/{path}/").into(),
        idempotent,
        timeout_ms: TIMEOUT.as_millis() as u32,
        objective_ms: 150,
        priority: 1,
        max_attempts: MAX_ATTEMPTS as u32,
        target,
    };
    let scatter = Scatter {
        shards: (0..SHARDS).map(|i| name(&format!("shard{i}"))).collect(),
        limit: LIMIT as u32,
        min_covered_ppm: 600_000,
    };
    let single = || Target::Single(name("tablet"));
    let mut routes = vec![
        route("sweep", true, Target::Scatter(scatter)),
        route("lookup", true, single()),
        route("write", false, single()),
    ];
    routes.push(route(&format!("extra{version}"), true, single()));
    let connections = RoutedService { max_connections: 26 };
    let routing = Routing {
        version: TableVersion(version),
        routes: routes.into_iter().map(Arc::new).collect(),
        services: services().iter().map(|s| (name(s), connections.clone())).collect(),
        limits,
        ..Routing::default()
    };
    serde_json::to_vec(&routing).unwrap_or_default()
}
