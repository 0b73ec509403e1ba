//! A zone whose servers an operator evacuates at peak load, and requests with allowed regions.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::harness::{Harness, MS, T, refusal, usable};
use common::{FURNACE, Fault, World, scatter, service, single, zone_orders};
use hornbeam_model::{
    AttemptId, Mono, Region, RouteId, RoutedService, Routing, TableVersion, TrafficPolicy, WarmUp,
};
use hornbeam_route::{
    AttemptOutcome, Completion, Decision, Engine, Input, Output, Peer, RefusalKind, ServerChange,
};

const SECOND: Duration = Duration::from_secs(1);
/// Time in which requests that were sent before an order arrive.
const TRANSIT: Duration = Duration::from_millis(2);

/// A deployment with three zones and one copy of every shard in each.
fn three_zones(seed: u64) -> World {
    let mut site = FURNACE;
    site.copies = 3;
    site.start(seed)
}

#[test]
fn nothing_reaches_the_zone() {
    for seed in [31, 32, 33] {
        let mut world = three_zones(seed);
        world.schedule_load(0, common::SWEEPS_PER_SECOND, 2 * SECOND);
        world.schedule_load(1, common::CHECKS_PER_SECOND, 2 * SECOND);
        world.run(SECOND / 2);
        assert!(world.arrivals_of("-1") > 0, "the zone serves before the order");
        // Unresponsive servers are ejected and probed; those of the zone are not after the order.
        world.set_server_fault("s3-1", Fault::Unresponsive);
        world.run(SECOND / 2);
        let ordered_at = world.now;
        world.order_zones(7, &[1]);
        world.run(3 * SECOND);
        assert_eq!(world.arrivals_since("-1", ordered_at + TRANSIT), 0, "seed {seed}");
        let (sweep, check) = (world.score(0), world.score(1));
        assert!(sweep > 0.85 && check > 0.85, "the other zones take the load: {sweep} {check}");
        let failed = |d: &Decision| matches!(d, Decision::ZoneUnreachable { .. });
        assert!(!world.decisions.iter().any(|(_, d)| failed(d)), "the zone is not lost");
        assert!(world.engines.iter().all(|e| !e.is_detached() && !e.other_zones_lost(world.now)));
    }
}

/// What the other zones cannot take is refused at once rather than after a wait at full servers.
#[test]
fn excess_is_refused_at_once() {
    let mut world = three_zones(34);
    world.order_zones(7, &[1]);
    let from = world.now;
    let (sweeps, checks) = (3.0 * common::SWEEPS_PER_SECOND, 3.0 * common::CHECKS_PER_SECOND);
    world.schedule_load(0, sweeps, 3 * SECOND);
    world.schedule_load(1, checks, 3 * SECOND);
    world.run(5 * SECOND);
    assert_eq!(world.arrivals_since("-1", from + TRANSIT), 0);
    let is_refused = |c: &Completion| matches!(c, Completion::Refuse(_));
    let refused: Vec<_> = world.ended.iter().filter(|e| is_refused(&e.completion)).collect();
    let served = world.ended.len() - refused.len();
    assert!(refused.len() * 10 > world.ended.len(), "{} refused", refused.len());
    assert!(served * 3 > world.ended.len(), "{served} of {} served", world.ended.len());
    let at_once = refused.iter().filter(|e| e.latency < 20 * MS).count();
    assert!(at_once * 10 >= refused.len() * 9, "{at_once} of {} at once", refused.len());
}

/// An entry that restarts hears the orders before the servers; an outdated controller changes nothing.
#[test]
fn restart_and_outdated_controller() {
    let mut world = three_zones(35);
    world.order_zones(7, &[1]);
    world.restart_entries(SECOND / 10);
    world.order_zones(7, &[1]);
    let from = world.now;
    world.schedule_load(0, common::SWEEPS_PER_SECOND, 2 * SECOND);
    world.run(SECOND);
    world.order_zones(5, &[]);
    world.order_zones(7, &[0]);
    world.run(2 * SECOND);
    assert_eq!(world.arrivals_since("-1", from + TRANSIT), 0);
    assert!(world.arrivals_since("-0", from + TRANSIT) > 0);
    world.order_zones(8, &[]);
    let ended_at = world.now;
    world.schedule_load(0, common::SWEEPS_PER_SECOND, SECOND);
    world.run(2 * SECOND);
    assert!(world.arrivals_since("-1", ended_at) > 0, "its servers are used again");
}

/// Shards with servers in the evacuated zone only count as without a server.
#[test]
fn only_copy_in_the_zone() {
    let routes = vec![scatter("sweep", 20, 150, 0.9), single("lookup", "s19", 150)];
    let mut world = World::in_zones(2, 36, 3, routes, vec![4 * MS, 4 * MS], 2);
    common::warm_up(&mut world, 20);
    for shard in 18..20 {
        let server = format!("s{shard}-0").parse().unwrap();
        let gone = ServerChange::Unusable { server, reason: "gone" };
        for entry in 0..3 {
            world.step(entry, Input::Servers(vec![gone.clone()]));
        }
    }
    world.order_zones(3, &[1]);
    for _ in 0..20 {
        world.request(0);
        world.request(1);
        world.run(50 * MS);
    }
    for ended in &world.ended {
        match &ended.completion {
            Completion::Merge { missing, .. } => assert_eq!(*missing, 2),
            Completion::Refuse(refusal) => {
                assert_eq!((ended.route, refusal.kind), (1, RefusalKind::NoServer));
                assert!(ended.latency < 5 * MS, "refused after {:?}", ended.latency);
                let after = refusal.retry_after.unwrap();
                assert!(after >= 5 * SECOND, "the end of the evacuation is not known: {after:?}");
            }
            Completion::Forward(_) => panic!("no server of {} may be used", ended.key),
        }
    }
    assert_eq!(world.ended.len(), 40);
}

/// The server `s{n}` in the zone with this number.
fn in_zone(n: u64, zone: &str) -> ServerChange {
    let ServerChange::Usable { server, incarnation, service, address, slots, warm_up, .. } =
        usable(n, 1)
    else {
        unreachable!("a server is usable");
    };
    let zone = zone.parse().unwrap();
    ServerChange::Usable { server, incarnation, service, address, zone, slots, warm_up }
}

/// One server in `olomouc`, where the entry is, and one in `prerov`.
fn two_zones() -> Harness {
    let mut harness = Harness::new(single("lookup", "tablet", 250), 100);
    harness.step(T, Input::Servers(vec![in_zone(1, "prerov")]));
    harness.out.clear();
    harness
}

fn table(version: u64, policy: TrafficPolicy) -> Input {
    Input::Table(Arc::new(Routing {
        version: TableVersion(version),
        routes: vec![Arc::new(single("lookup", "tablet", 250))],
        services: [(service("tablet"), RoutedService { max_connections: 8 })].into(),
        policy: Arc::new(policy),
        ..Routing::default()
    }))
}

/// Sends a request and returns its first attempt with the name of the server.
fn first_attempt(harness: &mut Harness, now: Mono, key: u64) -> Option<(AttemptId, String)> {
    harness.out.clear();
    harness.send_request(now, key);
    sent(harness)
}

fn sent(harness: &Harness) -> Option<(AttemptId, String)> {
    harness.out.iter().find_map(|o| match o {
        Output::SendAttempt(a) => Some((a.id, a.server.to_string())),
        _ => None,
    })
}

fn closes_idle(harness: &Harness, server: &str) -> bool {
    harness.out.iter().any(|o| matches!(o, Output::CloseIdle(s) if s.as_str() == server))
}

/// An attempt whose connection is still being opened is withheld; one that was sent ends well, and its
/// connection is closed.
#[test]
fn attempts_in_flight() {
    let mut harness = two_zones();
    let (first, server) = first_attempt(&mut harness, T, 1).unwrap();
    assert_eq!(server, "s0");
    assert!(harness.engine.may_send(T, first));
    harness.out.clear();
    harness.step(T + MS, Input::ZoneOrders(zone_orders(4, &[0])));
    assert!(closes_idle(&harness, "s0") && !closes_idle(&harness, "s1"));
    assert!(!harness.engine.may_send(T + MS, first));
    let retry = harness.finish_attempt(T + 2 * MS, first, AttemptOutcome::Withheld);
    let second = retry.expect("the other zone gets it");
    assert!(harness.engine.may_send(T + 2 * MS, second));
    harness.finish_attempt(T + 3 * MS, second, AttemptOutcome::Answered);
    assert!(matches!(harness.completion(), Some(Completion::Forward(a)) if *a == second));

    let (third, server) = first_attempt(&mut harness, T + 10 * MS, 2).unwrap();
    assert_eq!(server, "s1");
    harness.step(T + 11 * MS, Input::ZoneOrders(zone_orders(5, &[0, 1])));
    harness.out.clear();
    let end = Input::AttemptFinished {
        attempt: third,
        outcome: AttemptOutcome::Answered,
        notice: Default::default(),
    };
    harness.step(T + 12 * MS, end);
    assert!(matches!(harness.completion(), Some(Completion::Forward(a)) if *a == third));
    assert!(closes_idle(&harness, "s1"), "its connection is not kept");
}

/// Neither hedges, checks of an ended server nor probes of a detached entry reach the zone.
#[test]
fn hedges_checks_and_probes() {
    let mut harness = two_zones();
    let (first, _) = first_attempt(&mut harness, T, 1).unwrap();
    harness.step(T + MS, Input::ZoneOrders(zone_orders(4, &[1])));
    harness.out.clear();
    harness.step(T + 200 * MS, Input::Tick);
    assert_eq!(sent(&harness), None, "a hedge would go to the other zone");
    harness.finish_attempt(T + 201 * MS, first, AttemptOutcome::ConnectionLost);

    let mut harness = two_zones();
    let (first, _) = first_attempt(&mut harness, T, 1).unwrap();
    harness.step(T + MS, Input::ZoneOrders(zone_orders(4, &[0])));
    harness.out.clear();
    let lost = Input::AttemptFinished {
        attempt: first,
        outcome: AttemptOutcome::ConnectionLost,
        notice: Default::default(),
    };
    harness.step(T + 2 * MS, lost);
    assert!(!harness.out.iter().any(|o| matches!(o, Output::CheckServer { .. })));

    let mut harness = two_zones();
    harness.step(T, Input::ZoneOrders(zone_orders(4, &[1])));
    for key in 1..6 {
        let at = T + 300 * MS * key as u32;
        if let Some((attempt, _)) = first_attempt(&mut harness, at, key) {
            harness.finish_attempt(at + 100 * MS, attempt, AttemptOutcome::NotSent);
        }
        harness.step(at + 250 * MS, Input::Tick);
        let probed = harness.out.iter().filter_map(|o| match o {
            Output::ProbeServer { server, .. } => Some(server.as_str()),
            _ => None,
        });
        assert!(probed.into_iter().all(|s| s == "s0"));
    }
}

/// After the end a server is as cold as after its start, also if it is announced again.
#[test]
fn returns_cold() {
    let mut harness = two_zones();
    let warm_up = WarmUp { duration_ms: 3_000, rate: Default::default() };
    let policy =
        TrafficPolicy { warm_ups: [(service("tablet"), warm_up)].into(), ..Default::default() };
    harness.step(T, table(2, policy));
    harness.step(T, Input::ZoneOrders(zone_orders(4, &[0])));
    assert_eq!(first_attempt(&mut harness, T + MS, 1).unwrap().1, "s1");
    harness.step(T + SECOND, Input::ZoneOrders(zone_orders(5, &[])));
    let name = "s0".parse().unwrap();
    let cold_until = |h: &Harness| h.engine.warm_up_until(&name);
    assert_eq!(cold_until(&harness), Some(T + 4 * SECOND));
    harness.step(T + 2 * SECOND, Input::Servers(vec![in_zone(0, "olomouc")]));
    assert_eq!(cold_until(&harness), Some(T + 4 * SECOND));
}

fn regions(listed: &[&str]) -> Vec<Region> {
    listed.iter().map(|r| r.parse().unwrap()).collect()
}

/// An engine that knows the region of `prerov` only, with a route that is limited to regions.
fn with_regions(allowed: &[&str]) -> Harness {
    let mut harness = Harness::without_table(single("lookup", "tablet", 250), 100);
    let zones = [("prerov".parse().unwrap(), "east".parse().unwrap())];
    harness.engine = Engine::with_regions(harness.engine, zones.into());
    harness.receive_table(T);
    harness.step(T, Input::Servers(vec![in_zone(1, "prerov")]));
    let route: RouteId = "lookup".parse().unwrap();
    let route_regions = match allowed {
        [] => Default::default(),
        _ => [(route, regions(allowed))].into(),
    };
    harness.step(T, table(2, TrafficPolicy { route_regions, ..Default::default() }));
    harness
}

#[test]
fn servers_of_allowed_regions() {
    let mut free = with_regions(&[]);
    assert_eq!(first_attempt(&mut free, T, 1).unwrap().1, "s0", "its own zone is nearer");

    let mut east = with_regions(&["east"]);
    let (attempt, server) = first_attempt(&mut east, T, 1).unwrap();
    assert_eq!(server, "s1", "the region of the other server is not known");
    let retry = east.finish_attempt(T + MS, attempt, AttemptOutcome::NotSent);
    assert_eq!(retry, None);

    let mut west = with_regions(&["west"]);
    assert_eq!(first_attempt(&mut west, T, 1), None);
    assert_eq!(refusal(west.completion()), Some(RefusalKind::NoServer));
}

/// What this entry cannot reach is relayed to entries of allowed regions only.
#[test]
fn relays_to_allowed_regions() {
    let mut harness = with_regions(&["east", "west"]);
    let peer = |name: &str, zone: &str| Peer {
        name: name.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: zone.parse().unwrap(),
    };
    let peers = vec![peer("e1", "olomouc"), peer("e2", "prerov"), peer("e3", "kromeriz")];
    harness.step(T, Input::Peers(peers));
    let (attempt, _) = first_attempt(&mut harness, T, 1).unwrap();
    harness.out.clear();
    let (outcome, notice) = (AttemptOutcome::NotSent, Default::default());
    harness.step(T + MS, Input::AttemptFinished { attempt, outcome, notice });
    let chosen = harness.out.iter().filter_map(|o| match o {
        Output::Delegate(d) => Some(d.peer.as_str()),
        _ => None,
    });
    assert_eq!(chosen.collect::<Vec<_>>(), ["e2"], "the region of the other entries is not known");
}
