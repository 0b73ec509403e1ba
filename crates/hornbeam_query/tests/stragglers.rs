//! Late shards: single slow servers and a general slowdown.

use std::time::Duration;

use hornbeam_testkit::layouts;
use hornbeam_testkit::world::{Policy, World};

const SECOND: Duration = Duration::from_secs(1);
/// Target: largest ratio of extra requests to primary attempts.
const MAX_EXTRA_RATIO: f64 = 0.05;

fn assert_no_violations(world: &mut World) {
    world.check_outcomes();
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn slow_server() {
    let mut world = layouts::small().build(1, Policy::default());
    world.load("planner", 40.0, 5 * SECOND, 0);
    let slow = world.server_index("olomouc-s0").unwrap();
    world.servers[slow].extra_delay = Duration::from_millis(400);
    world.load("planner", 40.0, 5 * SECOND, 0);
    world.sums = Default::default();
    world.load("planner", 40.0, 5 * SECOND, 0);
    world.run_for(SECOND);
    let p99 = world.sums.latency(0.99);
    assert!(p99 < Duration::from_millis(200), "half of the delay would be 200 ms: {p99:?}");
    assert_eq!(world.sums.partial, 0);
    assert_no_violations(&mut world);
}

#[test]
fn general_slowdown() {
    let mut world = layouts::small().build(2, Policy::default());
    world.load("planner", 40.0, 5 * SECOND, 0);
    for server in &mut world.servers {
        server.service_time *= 8;
    }
    world.sums = Default::default();
    world.load("planner", 20.0, 20 * SECOND, 0);
    world.run_for(2 * SECOND);
    let extra = world.sums.extra();
    assert!(extra <= MAX_EXTRA_RATIO, "the retry budget limits the extra load: {extra:.4}");
    assert_no_violations(&mut world);
}

#[test]
fn late_first_attempt() {
    // The first attempt replies after its hedge: no hit may be counted twice.
    let mut world = layouts::small().build(3, Policy::default());
    for server in &mut world.servers {
        server.straggle_per_10k = 500;
        server.straggle_factor = 4;
    }
    world.load("planner", 40.0, 10 * SECOND, 0);
    world.run_for(SECOND);
    let hedges: u64 =
        world.instances.iter().map(|i| i.engine.as_ref().unwrap().counters().hedges).sum();
    assert!(hedges > 20, "hedges are sent: {hedges}");
    assert_eq!(world.sums.partial, 0);
    assert_no_violations(&mut world);
}
