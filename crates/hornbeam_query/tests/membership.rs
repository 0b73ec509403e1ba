//! Servers that drain or stop announcing, registrars that fail, network partitions.

use std::time::Duration;

use hornbeam_testkit::layouts;
use hornbeam_testkit::world::check::QueryOutcome;
use hornbeam_testkit::world::{Policy, World};

const SECOND: Duration = Duration::from_secs(1);

fn assert_no_violations(world: &mut World) {
    world.check_outcomes();
    assert_eq!(world.violations, Vec::<String>::new());
}

fn takes_work(world: &World, i: usize, server: &str) -> bool {
    let engine = world.instances[i].engine.as_ref().unwrap();
    let mut known = engine.fleet().servers().iter();
    known.any(|s| s.announced.server.as_str() == server && s.takes_work())
}

#[test]
fn drains_everywhere() {
    let mut world = layouts::small().build(1, Policy::default());
    let pos = world.server_index("olomouc-s0").unwrap();
    world.drain_server(pos, true);
    world.load("planner", 40.0, 6 * SECOND, 0);
    for i in 0..4 {
        assert!(!takes_work(&world, i, "olomouc-s0"));
    }
    assert_eq!(world.sums.partial, 0);
    assert_no_violations(&mut world);
}

#[test]
fn drain_message_lost() {
    // The server drains, but its announcements do not reach any registrar.
    let mut world = layouts::small().build(2, Policy::default());
    let pos = world.server_index("olomouc-s0").unwrap();
    world.drain_server(pos, false);
    world.load("planner", 40.0, 6 * SECOND, 0);
    for i in 0..4 {
        assert!(!takes_work(&world, i, "olomouc-s0"));
    }
    assert_no_violations(&mut world);
}

#[test]
fn drain_across_partition() {
    // An instance that the drain announcement cannot reach must stop sending to the server as well.
    for seed in 0..10 {
        let mut world = layouts::small().build(seed, Policy::default());
        for other in ["olomouc-1", "prerov-1", "prerov-2"] {
            world.cut("olomouc-2", other);
        }
        let pos = world.server_index("olomouc-s0").unwrap();
        let registrar = world.instances.iter().position(|i| i.name.as_str() == "olomouc-1");
        world.servers[pos].registrars = vec![registrar.unwrap()];
        world.drain_server(pos, true);
        world.load("planner", 40.0, 6 * SECOND, 0);
        assert_no_violations(&mut world);
    }
}

#[test]
fn lapsed_server() {
    let mut world = layouts::small().build(3, Policy::default());
    let pos = world.server_index("prerov-s0").unwrap();
    world.servers[pos].announcing = false;
    world.run_for(5 * SECOND);
    for i in 0..4 {
        assert!(!takes_work(&world, i, "prerov-s0"), "instance {i}");
    }
}

#[test]
fn registrar_failures() {
    // The registrar fails, then the one that the servers switched to.
    let mut world = layouts::small().build(4, Policy::default());
    world.load("planner", 20.0, 2 * SECOND, 0);
    world.crash(0);
    world.load("planner", 20.0, 3 * SECOND, 0);
    world.crash(2);
    world.run_for(5 * SECOND);
    world.sums = Default::default();
    world.load("planner", 20.0, 3 * SECOND, 0);
    world.run_for(SECOND);
    assert_eq!(world.sums.partial, 0, "the servers announce to instances of another zone");
    assert!(world.sums.complete > 30);
    assert_no_violations(&mut world);
}

#[test]
fn isolated_instance() {
    // An instance that reaches only the servers of its zone continues with them.
    let mut world = layouts::small().build(5, Policy::default());
    for other in ["olomouc-2", "prerov-1", "prerov-2", "prerov"] {
        world.cut("olomouc-1", other);
    }
    let me = world.instances.iter().position(|i| i.name.as_str() == "olomouc-1").unwrap();
    // Half of the servers of the zone announce to it.
    world.run_for(5 * SECOND);
    let number = world.ask(me, "planner");
    world.run_for(2 * SECOND);
    match &world.asked(number).outcome {
        QueryOutcome::Answered { coverage, .. } => assert!(coverage.covered.count() >= 8),
        other => panic!("{other:?}"),
    }
    world.heal();
    world.run_for(3 * SECOND);
    let number = world.ask(me, "planner");
    world.run_for(2 * SECOND);
    assert!(world.asked(number).is_complete());
    assert_no_violations(&mut world);
}

#[test]
fn partitioned_zones() {
    for seed in 0..5 {
        let mut world = layouts::small().build(seed, Policy::default());
        world.load("planner", 20.0, SECOND, 0);
        world.cut("olomouc", "prerov");
        world.run_for(4 * SECOND);
        world.sums = Default::default();
        world.load("planner", 20.0, 3 * SECOND, 0);
        assert_eq!(world.sums.partial, 0, "each zone holds every shard");
        world.heal();
        world.load("planner", 20.0, 3 * SECOND, 0);
        world.run_for(SECOND);
        assert_eq!(world.sums.partial, 0);
        assert_no_violations(&mut world);
    }
}

#[test]
fn lossy_links() {
    let mut world = layouts::small().build(6, Policy::default());
    world.loss_percent = 25;
    world.load("planner", 20.0, 20 * SECOND, 0);
    world.run_for(SECOND);
    assert_eq!(world.sums.partial, 0);
    let pos = world.server_index("olomouc-s0").unwrap();
    world.drain_server(pos, true);
    world.load("planner", 40.0, 6 * SECOND, 0);
    assert_no_violations(&mut world);
}

#[test]
fn graceful_leave() {
    let mut world = layouts::small().build(7, Policy::default());
    let number = world.ask(0, "planner");
    world.run_for(Duration::from_millis(3));
    world.drain(0);
    world.run_for(SECOND);
    assert!(world.asked(number).is_complete(), "in-flight queries finish");
    let refused = world.ask(0, "planner");
    world.run_for(SECOND);
    assert!(matches!(world.asked(refused).outcome, QueryOutcome::Refused { .. }));
    world.sums = Default::default();
    world.load("planner", 20.0, 3 * SECOND, 0);
    assert_eq!(world.sums.partial, 0);
    assert_no_violations(&mut world);
}

#[test]
fn restarted_instance() {
    let mut world = layouts::small().build(8, Policy::default());
    for _ in 0..5 {
        world.crash(1);
        world.load("planner", 20.0, SECOND, 0);
        world.start(1);
        world.load("planner", 20.0, 2 * SECOND, 0);
    }
    world.run_for(2 * SECOND);
    let number = world.ask(1, "planner");
    world.run_for(SECOND);
    assert!(world.asked(number).is_complete());
    assert_no_violations(&mut world);
}
