//! Routing tables: validation, lookup and differences.

use std::sync::Arc;

use hornbeam_model::{
    Route, RouteIndex, RoutedService, Routing, RoutingError, Scatter, ServiceId, TableVersion,
    Target, WeightedService,
};

fn service(name: &str) -> ServiceId {
    name.parse().unwrap()
}

fn route(name: &str, prefix: &str, target: Target) -> Route {
    Route {
        name: name.parse().unwrap(),
        host: "Plots.example".into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout_ms: 800,
        objective_ms: 80,
        priority: 1,
        max_attempts: 2,
        target,
    }
}

fn table(version: u64, routes: Vec<Route>) -> Routing {
    let services = ["a", "b"].map(|n| (service(n), RoutedService { max_connections: 26 }));
    Routing {
        version: TableVersion(version),
        routes: routes.into_iter().map(Arc::new).collect(),
        services: services.into_iter().collect(),
        ..Routing::default()
    }
}

#[test]
fn longest_prefix() {
    let short = route("short", "/plots/", Target::Single(service("a")));
    let long = route("long", "/plots/week/", Target::Single(service("b")));
    let index = RouteIndex::new(&table(1, vec![short, long]));
    let name = |host: &str, path: &str| index.find(host, path).map(|r| r.name.to_string());
    assert_eq!(name("plots.example", "/plots/week/7"), Some("long".to_owned()));
    assert_eq!(name("PLOTS.example:8104", "/plots/7"), Some("short".to_owned()));
    assert_eq!(name("plots.example", "/plots"), None);
    assert_eq!(name("other.example", "/plots/7"), None);
}

#[test]
fn invalid_tables() {
    let split = |weights: [u32; 2]| {
        let weighted = ["a", "b"].into_iter().zip(weights);
        Target::Split(
            weighted.map(|(n, weight)| WeightedService { service: service(n), weight }).collect(),
        )
    };
    let valid = route("r", "/p/", split([0, 3]));
    assert_eq!(table(1, vec![valid.clone()]).check(), Ok(()));
    let duplicate = table(1, vec![valid.clone(), route("s", "/p/", Target::Single(service("a")))]);
    assert!(matches!(duplicate.check(), Err(RoutingError::DuplicateRoute { .. })));
    let zero_weights = table(1, vec![route("r", "/p/", split([0, 0]))]);
    assert!(matches!(zero_weights.check(), Err(RoutingError::ZeroWeights { .. })));
    let unknown = table(1, vec![route("r", "/p/", Target::Single(service("c")))]);
    assert!(matches!(unknown.check(), Err(RoutingError::UnknownService { .. })));
    let zero_timeout = table(1, vec![Route { timeout_ms: 0, ..valid.clone() }]);
    assert!(matches!(zero_timeout.check(), Err(RoutingError::ZeroTimeout { .. })));
    let empty = Scatter { shards: Vec::new(), limit: 5, min_covered_ppm: 750_000 };
    let no_target = table(1, vec![route("r", "/p/", Target::Scatter(empty))]);
    assert!(matches!(no_target.check(), Err(RoutingError::NoTarget { .. })));
}

/// In a table that names public routes, the name of two routes does not tell which one is meant.
#[test]
fn ambiguous_name() {
    let namesakes = || {
        let target = || Target::Single(service("a"));
        vec![route("r", "/a/", target()), route("r", "/b/", target()), route("s", "/c/", target())]
    };
    let mut table = table(1, namesakes());
    assert_eq!(table.check(), Ok(()));
    Arc::make_mut(&mut table.policy).public_routes.insert("s".parse().unwrap());
    assert_eq!(table.check(), Ok(()));
    Arc::make_mut(&mut table.policy).public_routes.insert("r".parse().unwrap());
    assert!(matches!(table.check(), Err(RoutingError::AmbiguousName { .. })));
}

#[test]
fn delta_round_trip() {
    let a = route("a", "/a/", Target::Single(service("a")));
    let b = route("b", "/b/", Target::Single(service("b")));
    let old = table(3, vec![a.clone(), b.clone()]);
    let changed = Route { timeout_ms: 900, ..b };
    let c = route("c", "/c/", Target::Single(service("a")));
    let new = table(9, vec![changed, c]);
    let delta = new.delta_from(&old);
    assert_eq!(delta.removed.len(), 1);
    assert_eq!(delta.routes.len(), 2);
    assert_eq!(old.apply(&delta), Some(new.clone()));
    assert_eq!(new.apply(&delta), None, "the difference has another base version");
    let unchanged = old.delta_from(&old);
    assert!(unchanged.routes.is_empty() && unchanged.removed.is_empty());
}

#[test]
fn min_shards() {
    let scatter = |count: usize, ppm| Scatter {
        shards: (0..count).map(|i| service(&format!("s{i}"))).collect(),
        limit: 5,
        min_covered_ppm: ppm,
    };
    assert_eq!(scatter(20, 890_000).min_shards(), 18);
    assert_eq!(scatter(20, 750_000).min_shards(), 15);
    assert_eq!(scatter(135, 950_000).min_shards(), 129);
    assert_eq!(scatter(3, 0).min_shards(), 1, "a successful response covers at least one shard");
}
