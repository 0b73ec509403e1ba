//! Teams that compete for too little capacity.

mod common;

use std::time::Duration;

use common::{Fault, World, scatter, single};
use hornbeam_model::Route;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Mean work of a request. Eight servers with two slots do about 320 requests a second.
const WORK: Duration = Duration::from_millis(50);
const SERVERS: usize = 8;

/// A route of one team on the shared service.
fn route(team: usize) -> Route {
    Route { prefix: format!("/team{team}/").into(), ..single(&format!("r{team}"), "tablet", 400) }
}

/// A world whose teams have one route each, all with the same priority.
fn world(seed: u64, entries: usize, teams: usize) -> World {
    let routes = (0..teams).map(route).collect();
    let mut world = World::new(seed, entries, routes, vec![WORK; teams], SERVERS);
    let names: Vec<String> = (0..teams).map(|t| format!("t{t}")).collect();
    world.set_teams(&names.iter().map(|n| (n.as_str(), 1)).collect::<Vec<_>>());
    world.report_demand();
    world
}

/// Sends these requests a second of each team for six seconds, after two seconds at `usual`.
fn run(world: &mut World, usual: f64, burst: &[f64]) {
    for team in 0..burst.len() {
        world.schedule_load(team, usual, 2 * SECOND);
    }
    world.run(2 * SECOND);
    world.ended.clear();
    for (team, rate) in burst.iter().enumerate() {
        world.schedule_load(team, *rate, 6 * SECOND);
    }
    world.run(9 * SECOND);
}

#[test]
fn one_team_at_seven_times() {
    let mut world = world(1, 4, 8);
    // All at the usual rate need 250 requests a second.
    let mut rates = vec![31.0; 8];
    rates[0] = 7.0 * 31.0;
    run(&mut world, 31.0, &rates);
    let (others, _) = world.served(1..8);
    let (burst, _) = world.served(0..1);
    assert!(others > 0.95, "the others are within their shares: {others}");
    // What the others leave unused goes to the burst: it is 75 of 217 requests a second.
    assert!(burst > 0.2, "{burst}");
}

#[test]
fn three_teams_at_once() {
    let mut world = world(2, 4, 8);
    let mut rates = vec![31.0; 8];
    rates[..3].fill(5.0 * 31.0);
    run(&mut world, 31.0, &rates);
    let (others, _) = world.served(3..8);
    let shares: Vec<f64> = (0..3).map(|t| world.served(t..t + 1).0).collect();
    assert!(others > 0.9, "{others}");
    let most = shares.iter().copied().fold(0.0, f64::max);
    let least = shares.iter().copied().fold(1.0, f64::min);
    assert!(least > 0.6 * most, "{shares:?}");
}

#[test]
fn most_teams_send_little() {
    // Of 83 teams three send too much, and the others one request in ten seconds each.
    let mut world = world(3, 16, 83);
    let mut rates = vec![0.1; 83];
    rates[..3].fill(200.0);
    run(&mut world, 0.1, &rates);
    let (small, count) = world.served(3..83);
    let (large, _) = world.served(0..3);
    // Servers shed a few while the bursts start, and the retry budget of all is used up then.
    assert!(count > 20 && small > 0.9, "{small} of {count}");
    assert!(large > 0.25, "{large}");
}

/// An urgent and a patient kind of the same team, whose objectives are 100 and 800 ms.
fn kinds(seed: u64) -> World {
    let urgent = Route { priority: 0, objective_ms: 100, timeout_ms: 800, ..route(0) };
    let patient = Route { priority: 2, objective_ms: 800, timeout_ms: 6_000, ..route(1) };
    let mut world = World::new(seed, 4, vec![urgent, patient], vec![20 * MS, WORK], SERVERS);
    world.set_teams(&[("t0", 1), ("t0", 1)]);
    world.report_demand();
    world
}

#[test]
fn burst_of_patient_kind() {
    let mut world = kinds(4);
    // The patient kind needs four fifths of the capacity; 2.5 times as much come for six seconds.
    run(&mut world, 100.0, &[100.0, 500.0]);
    let (urgent, _) = world.served(0..1);
    let (patient, _) = world.served(1..2);
    assert!(urgent >= patient, "{urgent} {patient}");
    // Without teams it was 0.27 and 0.38.
    assert!(urgent > 0.75, "{urgent}");
    assert!(patient > 0.45, "{patient}");
}

#[test]
fn short_burst_of_patient_kind_waits() {
    let mut world = kinds(5);
    for route in 0..2 {
        world.schedule_load(route, 100.0, 2 * SECOND);
    }
    world.run(2 * SECOND);
    world.ended.clear();
    // One second of twice the capacity can be worked off within the six seconds that callers have.
    world.schedule_load(1, 500.0, SECOND);
    world.run(8 * SECOND);
    let (patient, count) = world.served(1..2);
    assert!(patient > 0.95, "{patient} of {count}");
}

#[test]
fn urgent_team_first() {
    let mut world = world(6, 4, 2);
    world.set_teams(&[("t0", 0), ("t1", 3)]);
    run(&mut world, 100.0, &[200.0, 400.0]);
    let (urgent, _) = world.served(0..1);
    let (other, _) = world.served(1..2);
    assert!(urgent > 0.9 && other < urgent, "{urgent} {other}");
    assert!(other > 0.05, "not starved: {other}");
}

#[test]
fn burst_while_servers_fail() {
    let mut world = world(7, 4, 8);
    let mut rates = vec![12.0; 8];
    rates[0] = 7.0 * 31.0;
    for server in 0..3 {
        world.set_server_fault(&format!("tablet-{server}"), Fault::Unresponsive);
    }
    run(&mut world, 12.0, &rates);
    let (others, _) = world.served(1..8);
    let (burst, _) = world.served(0..1);
    assert!(others > 0.9 && others > burst, "{others} {burst}");
}

#[test]
fn groups_of_other_entries() {
    // Searches of many shards are gathered by the entries of the zone for each other.
    let routes = (0..2).map(|team| scatter(&format!("r{team}"), 36, 250, 0.9));
    let mut world = World::new(8, 4, routes.collect(), vec![20 * MS; 2], 2);
    world.set_teams(&[("t0", 1), ("t1", 1)]);
    world.report_demand();
    world.connect_peers();
    run(&mut world, 10.0, &[450.0, 15.0]);
    let (burst, _) = world.served(0..1);
    let (other, _) = world.served(1..2);
    assert!(other > 0.9 && other > burst, "{other} {burst}");
}

/// Guards against turns of the lower ranks that starve the first one, and against a third rank without
/// any. The urgent team asks for half of the capacity, so all of its requests have room.
#[test]
fn three_ranks() {
    let mut world = world(9, 4, 3);
    world.set_teams(&[("t0", 0), ("t1", 1), ("t2", 2)]);
    run(&mut world, 60.0, &[150.0, 400.0, 150.0]);
    let [urgent, usual, patient] = [0, 1, 2].map(|t| world.served(t..t + 1).0);
    assert!(urgent > 0.95, "{urgent} {usual} {patient}");
    assert!(usual > patient && patient > 0.0, "{urgent} {usual} {patient}");
}

/// Guards against a more urgent team whose work hides what the teams behind it were given. The small
/// teams ask for less than their share of what is left.
#[test]
fn fair_behind_urgent_team() {
    let mut world = world(10, 4, 4);
    world.set_teams(&[("t0", 0), ("t1", 1), ("t2", 1), ("t3", 1)]);
    run(&mut world, 30.0, &[230.0, 500.0, 15.0, 15.0]);
    let served: Vec<f64> = (0..4).map(|t| world.served(t..t + 1).0).collect();
    assert!(served[2].min(served[3]) > 0.95, "{served:?}");
}
