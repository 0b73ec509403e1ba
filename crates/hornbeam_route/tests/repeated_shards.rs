//! Guards against a list of shards that names one twice: its records stood twice in every merged response.

mod common;

use std::sync::Arc;

use common::harness::{Harness, MS, T, usable};
use common::{scatter, service};
use hornbeam_model::{Route, RoutedService, Routing, TableVersion, Target};
use hornbeam_route::{AttemptOutcome, Completion, Input, Output, ServerChange, ServerNotice};

/// A route to the shards s0 and s1, with s0 named three times.
fn repeating_route(min: f64) -> Route {
    let route = scatter("lookup", 2, 250, min);
    let Target::Scatter(mut list) = route.target.clone() else { unreachable!() };
    list.shards.insert(1, service("s0"));
    list.shards.push(service("s0"));
    route.with_target(Target::Scatter(list))
}

/// Returns an entry with this route and one server of each of the first `servers` shards.
fn entry(route: Route, servers: u64) -> Harness {
    let mut harness = Harness::without_table(route.clone(), 80);
    for n in 0..servers {
        let ServerChange::Usable { server, incarnation, address, zone, slots, warm_up, .. } =
            usable(n, 1)
        else {
            unreachable!()
        };
        let service = service(&format!("s{n}"));
        let change =
            ServerChange::Usable { server, incarnation, service, address, zone, slots, warm_up };
        harness.step(T, Input::Servers(vec![change]));
    }
    let connections = RoutedService { max_connections: 8 };
    let table = Routing {
        version: TableVersion(1),
        routes: vec![Arc::new(route)],
        services: [(service("s0"), connections.clone()), (service("s1"), connections)].into(),
        ..Routing::default()
    };
    harness.step(T, Input::Table(Arc::new(table)));
    harness.out.clear();
    harness
}

/// Sends a request and lets every attempt succeed; returns the number of attempts.
fn run_request(harness: &mut Harness) -> usize {
    harness.send_request(T + MS, 1);
    let sent = harness.out.iter().filter_map(|o| match o {
        Output::SendAttempt(attempt) => Some(attempt.id),
        _ => None,
    });
    let sent: Vec<_> = sent.collect();
    for attempt in &sent {
        let (outcome, notice) = (AttemptOutcome::Answered, ServerNotice::default());
        harness.step(T + 5 * MS, Input::AttemptFinished { attempt: *attempt, outcome, notice });
    }
    sent.len()
}

#[test]
fn searched_once() {
    let mut harness = entry(repeating_route(1.0), 2);
    assert_eq!(run_request(&mut harness), 2);
    let Some(Completion::Merge { attempts, missing, .. }) = harness.completion() else {
        panic!("the request is served");
    };
    assert_eq!((attempts.len(), *missing), (2, 0));
}

/// The minimum share is that of the set: one of two shards is half of it, not three quarters.
#[test]
fn share_of_the_set() {
    let mut harness = entry(repeating_route(0.6), 1);
    run_request(&mut harness);
    let completion = harness.completion();
    assert!(matches!(completion, Some(Completion::Refuse(_))), "{completion:?}");
}
