//! Routes, names and parameters of the simulated deployments.

use std::time::Duration;

use hornbeam_model::{Incarnation, InstanceId, Route, Scatter, ServerId, ServiceId, Target};
use hornbeam_route::{EngineParams, QuotaBounds, RetryBudgetParams, ServerChange};

/// Availability zones. Each has one copy of a service, and the last one that is used has the rest.
pub(super) const ZONES: [&str; 3] = ["olomouc", "prerov", "kromeriz"];
/// A route to every shard named `s0` to `s{shards - 1}`.
pub fn scatter(name: &str, shards: usize, objective_ms: u32, min: f64) -> Route {
    let names = (0..shards).map(|i| service(&format!("s{i}")));
    let target = Target::Scatter(Scatter {
        shards: names.collect(),
        limit: 10,
        min_covered_ppm: (min * 1e6).round() as u32,
    });
    route(name, objective_ms, target)
}

/// A route to one service.
pub fn single(name: &str, to: &str, objective_ms: u32) -> Route {
    route(name, objective_ms, Target::Single(service(to)))
}

fn route(name: &str, objective_ms: u32, target: Target) -> Route {
    Route {
        name: name.parse().unwrap(),
        host: "plots.example".into(),
        prefix: format!("/{name}/").into(),
        idempotent: true,
        timeout_ms: objective_ms * 15,
        objective_ms,
        priority: 1,
        max_attempts: 2,
        target,
    }
}

pub fn service(name: &str) -> ServiceId {
    name.parse().unwrap()
}

pub(super) fn usable(
    name: &ServerId,
    service: ServiceId,
    copy: usize,
    slots: usize,
    zones: usize,
    incarnation: u64,
) -> ServerChange {
    ServerChange::Usable {
        server: name.clone(),
        incarnation: Incarnation(incarnation),
        service,
        address: "127.0.0.1:1".parse().unwrap(),
        zone: ZONES[copy.min(zones - 1)].parse().unwrap(),
        slots: slots as u32,
        warm_up: Duration::ZERO,
    }
}

pub(super) fn engine_params(entry: usize, zones: usize, seed: u64) -> EngineParams {
    EngineParams {
        name: entry_name(entry),
        zone: ZONES[entry % zones].parse().unwrap(),
        budget: budget(),
        delegate_above: 32,
        max_in_flight: 1_000,
        quota: QuotaBounds::default(),
        linger: Duration::from_millis(300),
        seed: seed + entry as u64,
    }
}

pub(super) fn entry_name(entry: usize) -> InstanceId {
    format!("e{entry}").parse().unwrap()
}

pub(super) fn entry_number(name: &InstanceId) -> usize {
    name.as_str()[1..].parse().unwrap()
}

/// Retry budget of the users' current deployments.
pub fn budget() -> RetryBudgetParams {
    RetryBudgetParams { percent: 20, window: Duration::from_secs(10), allowance: 58 }
}
