//! Replicas that fail, shed load, misreport their load or are warming up.

use std::time::Duration;

use hornbeam_query::MissingReason;
use hornbeam_testkit::layouts;
use hornbeam_testkit::world::check::QueryOutcome;
use hornbeam_testkit::world::server::ServerFault;
use hornbeam_testkit::world::{Policy, World};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

fn assert_no_violations(world: &mut World) {
    world.check_outcomes();
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn lost_mid_query() {
    for seed in 0..20 {
        let mut world = layouts::small().build(seed, Policy::default());
        world.load("planner", 20.0, 2 * SECOND, 0);
        let asked: Vec<u64> = (0..4).map(|i| world.ask(i, "planner")).collect();
        world.run_for(Duration::from_millis(5));
        let pos = world.server_index("prerov-s1").unwrap();
        world.kill_server(pos);
        world.run_for(SECOND);
        for number in asked {
            assert!(world.asked(number).is_complete(), "seed {seed}: {:?}", world.asked(number));
        }
        assert_no_violations(&mut world);
    }
}

#[test]
fn one_replica_left() {
    // Each shard keeps one live replica in each zone: coverage stays complete.
    let mut world = layouts::small().build(5, Policy::default());
    world.load("planner", 20.0, 2 * SECOND, 0);
    for name in ["olomouc-s0", "olomouc-s1", "olomouc-s2", "prerov-s3", "prerov-s4", "prerov-s5"] {
        let pos = world.server_index(name).unwrap();
        world.kill_server(pos);
    }
    world.sums = Default::default();
    world.load("planner", 20.0, 10 * SECOND, 0);
    world.run_for(SECOND);
    assert_eq!(world.sums.partial, 0);
    assert_eq!(world.sums.refused, 0);
    assert_eq!(world.sums.coverage(), 1.0);
    assert_no_violations(&mut world);
}

#[test]
fn no_replica_left() {
    let mut world = layouts::small().build(6, Policy::default());
    let names = ["olomouc-s0", "olomouc-s3", "prerov-s0", "prerov-s3"];
    for name in names {
        let pos = world.server_index(name).unwrap();
        world.kill_server(pos);
    }
    world.run_for(4 * SECOND);
    let number = world.ask(0, "planner");
    world.run_for(SECOND);
    let QueryOutcome::Answered { complete, coverage, .. } = &world.asked(number).outcome else {
        panic!("{:?}", world.asked(number));
    };
    assert!(!complete);
    assert_eq!(coverage.covered.count(), 16);
    assert_eq!(coverage.missing.len(), 1);
    assert_eq!(coverage.missing[0].reason, MissingReason::NoReplica);
    let took = world.asked(number).took().unwrap();
    assert!(took < Duration::from_millis(100), "no server can still respond: {took:?}");
    assert_no_violations(&mut world);
}

#[parameterized(
    shedding = { ServerFault::Shed },
    unconfirmed = { ServerFault::FailAfterRun },
    broken = { ServerFault::Break },
    partial = { ServerFault::PartialReply },
    wrong_attempt = { ServerFault::WrongAttempt },
    wrong_version = { ServerFault::WrongVersion },
    wrong_shard = { ServerFault::WrongShard },
)]
fn misbehaving(fault: ServerFault) {
    let mut world = layouts::small().build(7, Policy::default());
    world.load("planner", 20.0, 3 * SECOND, 0);
    let pos = world.server_index("olomouc-s0").unwrap();
    world.servers[pos].fault = fault;
    world.load("planner", 20.0, 10 * SECOND, 0);
    world.run_for(SECOND);
    assert_eq!(world.sums.partial, 0, "the other replicas take over");
    assert_eq!(world.sums.refused, 0);
    assert_no_violations(&mut world);
}

#[test]
fn hanging_server() {
    let mut world = layouts::small().build(8, Policy::default());
    world.load("planner", 20.0, 3 * SECOND, 0);
    let pos = world.server_index("olomouc-s0").unwrap();
    world.servers[pos].fault = ServerFault::Hang;
    world.load("planner", 20.0, 10 * SECOND, 0);
    world.run_for(SECOND);
    assert_eq!(world.sums.partial, 0);
    assert_no_violations(&mut world);
}

#[test]
fn misleading_load() {
    // Half of the servers always report an empty queue, the other half a long one.
    let mut honest = layouts::small().build(9, Policy::default());
    honest.load("planner", 60.0, 10 * SECOND, 0);
    let mut misled = layouts::small().build(9, Policy::default());
    for (n, server) in misled.servers.iter_mut().enumerate() {
        server.false_queue = Some(if n % 2 == 0 { 0 } else { 1_000 });
    }
    misled.load("planner", 60.0, 10 * SECOND, 0);
    misled.run_for(SECOND);
    assert_eq!(misled.sums.partial, 0);
    let (with, without) = (misled.sums.latency(0.99), honest.sums.latency(0.99));
    assert!(with < without * 2, "load reports have a bounded effect: {with:?} against {without:?}");
    assert_no_violations(&mut misled);
}

#[test]
fn warm_up() {
    let mut world = layouts::small().build(10, Policy::default());
    world.load("planner", 40.0, 5 * SECOND, 0);
    let pos = world.server_index("olomouc-s0").unwrap();
    world.kill_server(pos);
    world.load("planner", 40.0, 5 * SECOND, 0);
    world.servers[pos].warm_up = Some((world.now + 3 * SECOND, 10));
    world.restart_server(pos);
    world.sums = Default::default();
    let before = world.servers[pos].ran;
    world.load("planner", 40.0, 5 * SECOND, 0);
    world.run_for(SECOND);
    let p99 = world.sums.latency(0.99);
    assert!(p99 < Duration::from_millis(100), "a search during warm-up takes 100 ms: {p99:?}");
    assert_eq!(world.sums.partial, 0);
    assert!(world.servers[pos].ran > before, "the server gets some work while it warms up");
    assert_no_violations(&mut world);
}

#[test]
fn full_connections() {
    // Eight instances share three connections per server: an instance without a connection to a
    // server uses other replicas.
    let mut layout = layouts::small();
    layout.instances = 8;
    layout.connections = 3;
    let mut world = layout.build(11, Policy::default());
    world.load("planner", 60.0, 10 * SECOND, 0);
    world.run_for(2 * SECOND);
    assert!(world.sums.complete > 300, "{:?} complete responses", world.sums.complete);
    assert_no_violations(&mut world);
}
