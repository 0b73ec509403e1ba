//! More load than the servers can handle.

use std::time::Duration;

use hornbeam_testkit::layouts;
use hornbeam_testkit::world::{Policy, World};

const SECOND: Duration = Duration::from_secs(1);
/// Target: goodput at three times the peak load, as a fraction of the peak goodput.
const MIN_GOODPUT_RATIO: f64 = 0.9;

/// Returns the complete responses per second at `rate` queries per second in a steady state.
fn goodput(rate: f64) -> (f64, World) {
    let mut world = layouts::small().with_patience(400).build(1, Policy::default());
    world.load("planner", rate, 5 * SECOND, 0);
    world.sums = Default::default();
    world.load("planner", rate, 10 * SECOND, 0);
    let complete = world.sums.complete as f64 / 10.0;
    world.run_for(SECOND);
    (complete, world)
}

#[test]
fn threefold_load() {
    // 12 servers with 2 slots each, 10 ms per search and 3 to 6 attempts per query: about 600
    // queries per second.
    let mut peak = 0.0f64;
    for rate in [300.0, 400.0, 500.0, 600.0, 700.0] {
        peak = peak.max(goodput(rate).0);
    }
    let (overloaded, mut world) = goodput(3.0 * peak);
    assert!(
        overloaded >= MIN_GOODPUT_RATIO * peak,
        "{overloaded:.0} per second, the peak is {peak:.0}"
    );
    assert!(world.sums.refused > 0, "excess queries are refused");
    world.check_outcomes();
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn fair_to_services() {
    let mut config = layouts::small().config();
    let other = config.services[0].clone();
    config.services.insert("advisor".parse().unwrap(), other);
    config.revision.0 = 2;
    let mut world = layouts::small().with_patience(400).build(2, Policy::default());
    world.configure(config);
    for n in 0..6u32 {
        let shards = (0..24).filter(|s| s % 3 == n % 3);
        let indexes = vec![hornbeam_testkit::samples::holding(7, 24, shards)];
        let name = format!("advisor-{n}");
        let a = hornbeam_testkit::samples::announcement(&name, "olomouc", "advisor", indexes);
        let server = hornbeam_testkit::world::server::FakeServer::new(a, Duration::from_millis(10));
        world.add_server(server);
    }
    world.run_for(2 * SECOND);
    let mut asked = Vec::new();
    for n in 0..200 {
        for _ in 0..30 {
            world.ask(n % 4, "planner");
        }
        asked.push(world.ask(n % 4, "advisor"));
        world.run_for(Duration::from_millis(20));
    }
    world.run_for(SECOND);
    let complete = asked.iter().filter(|a| world.asked(**a).is_complete()).count();
    assert!(
        complete >= 190,
        "an overloaded service does not starve another one: {complete} of 200"
    );
    world.check_outcomes();
    assert_eq!(world.violations, Vec::<String>::new());
}
