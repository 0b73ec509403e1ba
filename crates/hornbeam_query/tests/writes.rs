//! Non-idempotent requests run at most once, and refusals state correctly whether they ran.

use std::time::Duration;

use hornbeam_query::{RefusalKind, Request, RunStatus, ShardSelector};
use hornbeam_testkit::layouts;
use hornbeam_testkit::world::check::QueryOutcome;
use hornbeam_testkit::world::server::ServerFault;
use hornbeam_testkit::world::{Policy, World};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

fn write(request: &mut Request) {
    request.non_idempotent = true;
    request.shards = ShardSelector::Key("meadow-12".into());
}

fn assert_no_violations(world: &mut World) {
    world.check_outcomes();
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn runs_once() {
    let mut world = layouts::small().build(1, Policy::default());
    let number = world.ask_with(0, "planner", write);
    world.run_for(SECOND);
    assert!(world.asked(number).is_complete());
    assert_eq!(world.asked(number).runs(), 1);
    assert_no_violations(&mut world);
}

#[test]
fn never_hedged() {
    let mut world = layouts::small().build(2, Policy::default());
    world.load("planner", 40.0, 3 * SECOND, 50);
    for server in &mut world.servers {
        server.extra_delay = Duration::from_millis(500);
    }
    let number = world.ask_with(0, "planner", write);
    world.run_for(2 * SECOND);
    assert_eq!(world.asked(number).sent(), 1);
    assert!(world.asked(number).is_complete());
    assert_no_violations(&mut world);
}

#[parameterized(
    broken = { ServerFault::Break, RefusalKind::Failed },
    unconfirmed = { ServerFault::FailAfterRun, RefusalKind::Failed },
    wrong = { ServerFault::WrongAttempt, RefusalKind::Failed },
    hanging = { ServerFault::Hang, RefusalKind::TimedOut },
)]
fn never_resent(fault: ServerFault, kind: RefusalKind) {
    let mut world = layouts::small().build(3, Policy::default());
    for server in &mut world.servers {
        server.fault = fault;
    }
    let number = world.ask_with(0, "planner", write);
    world.run_for(2 * SECOND);
    assert_eq!(
        world.asked(number).outcome,
        QueryOutcome::Refused { kind, ran: RunStatus::Unknown }
    );
    assert_eq!(world.asked(number).sent(), 1, "the request is not resent");
    assert_no_violations(&mut world);
}

#[test]
fn shed_goes_elsewhere() {
    let mut world = layouts::small().build(4, Policy::default());
    for pos in 0..world.servers.len() {
        let last = world.servers[pos].announced.server.as_str().ends_with("s5");
        if !last {
            world.servers[pos].fault = ServerFault::Shed;
        }
    }
    let mut complete = 0;
    for n in 0..30 {
        let number = world.ask_with(0, "planner", |r| {
            r.non_idempotent = true;
            r.shards = ShardSelector::Key(format!("meadow-{n}").into());
        });
        world.run_for(SECOND);
        let asked = world.asked(number);
        match &asked.outcome {
            QueryOutcome::Answered { .. } => {
                complete += 1;
                assert_eq!(asked.runs(), 1);
            }
            QueryOutcome::Refused { ran, .. } => {
                assert_eq!(*ran, RunStatus::NotRun, "every server confirmed that it did not run");
                assert_eq!(asked.runs(), 0);
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(complete > 0, "some requests reach the server that accepts them");
    assert_no_violations(&mut world);
}

#[test]
fn server_dies() {
    for after in [1, 3, 8, 9, 12, 16, 18] {
        let mut world = layouts::small().build(5, Policy::default());
        let number = world.ask_with(0, "planner", write);
        world.run_for(Duration::from_millis(after));
        for pos in 0..world.servers.len() {
            world.kill_server(pos);
        }
        world.run_for(2 * SECOND);
        assert!(world.asked(number).runs() <= 1);
        assert_no_violations(&mut world);
    }
}

#[test]
fn caller_leaves() {
    let mut world = layouts::small().build(6, Policy::default());
    let read_query = world.ask(0, "planner");
    let write_query = world.ask_with(0, "planner", write);
    world.run_for(Duration::from_millis(8));
    world.abandon(read_query);
    world.abandon(write_query);
    world.run_for(SECOND);
    assert_eq!(
        world.asked(read_query).outcome,
        QueryOutcome::Pending,
        "a caller that disconnected gets no response"
    );
    assert_eq!(world.asked(write_query).runs(), 1, "an in-flight write is not cancelled");
    let engine = world.instances[0].engine.as_ref().unwrap();
    assert_eq!(engine.in_flight(), 0);
    assert!(engine.counters().late_replies > 0, "replies arrive after the callers disconnected");
    let next = world.ask(0, "planner");
    world.run_for(SECOND);
    assert!(world.asked(next).is_complete());
    assert_no_violations(&mut world);
}
