//! Index versions that change, are removed, are repartitioned or have conflicting shard counts
//! while queries run.

use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::{IndexVersion, SchemaVersion};
use hornbeam_query::{RefusalKind, RunStatus};
use hornbeam_testkit::layouts::{self, FIRST_INDEX};
use hornbeam_testkit::samples::holding;
use hornbeam_testkit::world::check::QueryOutcome;
use hornbeam_testkit::world::{Policy, World};

const SECOND: Duration = Duration::from_secs(1);
const SHARDS: u32 = 24;

fn assert_no_violations(world: &mut World) {
    world.check_outcomes();
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Returns the shards that server `n` of its zone holds if `shards` shards are split into three
/// groups.
fn shards_of_server(n: usize, shards: u32) -> Vec<u32> {
    (0..shards).filter(|s| *s as usize % 3 == n % 3).collect()
}

fn version_of(world: &World, number: u64) -> Option<IndexVersion> {
    match &world.asked(number).outcome {
        QueryOutcome::Answered { version, .. } => Some(*version),
        _ => None,
    }
}

/// Adds `version` to all servers one by one while queries run.
fn load_version(world: &mut World, version: u64, shards: u32) {
    for pos in 0..world.servers.len() {
        let new = holding(version, shards, shards_of_server(pos, shards));
        world.servers[pos].announced.indexes.push(new);
        world.announce_now(pos);
        world.load("planner", 40.0, Duration::from_millis(100), 20);
    }
}

/// Removes `version` from all servers one by one while queries run.
fn remove_version(world: &mut World, version: u64) {
    for pos in 0..world.servers.len() {
        let indexes = &mut world.servers[pos].announced.indexes;
        indexes.retain(|h| h.version != IndexVersion(version));
        world.announce_now(pos);
        world.load("planner", 40.0, Duration::from_millis(50), 20);
    }
}

#[test]
fn rolling_change() {
    for seed in 0..10 {
        let mut world = layouts::small().build(seed, Policy::default());
        world.load("planner", 40.0, SECOND, 20);
        load_version(&mut world, 8, SHARDS);
        world.load("planner", 40.0, 3 * SECOND, 20);
        remove_version(&mut world, FIRST_INDEX);
        world.load("planner", 40.0, SECOND, 20);
        world.run_for(2 * SECOND);
        let last = world.ask(0, "planner");
        world.run_for(SECOND);
        assert_eq!(version_of(&world, last), Some(IndexVersion(8)));
        assert_eq!(world.sums.partial, 0, "seed {seed}");
        assert_no_violations(&mut world);
    }
}

#[test]
fn repartitioned() {
    for seed in 0..10 {
        let mut world = layouts::small().build(seed, Policy::default());
        world.load("planner", 40.0, SECOND, 20);
        load_version(&mut world, 8, 36);
        world.load("planner", 40.0, 3 * SECOND, 20);
        remove_version(&mut world, FIRST_INDEX);
        world.run_for(2 * SECOND);
        let last = world.ask(1, "planner");
        world.run_for(SECOND);
        let QueryOutcome::Answered { complete, coverage, .. } = &world.asked(last).outcome else {
            panic!("{:?}", world.asked(last));
        };
        assert!(complete);
        assert_eq!(coverage.shards_total, 36);
        assert_no_violations(&mut world);
    }
}

#[test]
fn removed_mid_query() {
    let mut restarted = 0;
    for seed in 0..20 {
        let mut world = layouts::small().build(seed, Policy::default());
        load_version(&mut world, 8, SHARDS);
        // Version 7 is current when the queries start and is removed while they run.
        let mut changing = layouts::small().build(seed, Policy::default());
        changing.load("planner", 20.0, SECOND, 0);
        let numbers: Vec<u64> = (0..4).map(|i| changing.ask(i, "planner")).collect();
        changing.run_for(Duration::from_millis(4));
        for pos in 0..changing.servers.len() {
            changing.servers[pos].announced.indexes =
                vec![holding(8, SHARDS, shards_of_server(pos, SHARDS))];
            changing.announce_now(pos);
        }
        changing.run_for(2 * SECOND);
        for number in numbers {
            assert!(
                changing.asked(number).is_complete(),
                "seed {seed}: {:?}",
                changing.asked(number)
            );
        }
        let is_restart = |e: &Event| matches!(e, Event::QueryRestarted { .. });
        restarted += changing.events.iter().filter(|(_, _, e)| is_restart(e)).count();
        assert_no_violations(&mut changing);
        assert_no_violations(&mut world);
    }
    assert!(restarted > 0, "at least one query restarts on the new version");
}

#[test]
fn shard_count_conflict() {
    let mut world = layouts::small().build(1, Policy::default());
    let pos = world.server_index("olomouc-s0").unwrap();
    let original = world.servers[pos].announced.indexes.clone();
    world.servers[pos].announced.indexes = vec![holding(FIRST_INDEX, 25, [0, 3])];
    world.announce_now(pos);
    world.run_for(SECOND);
    let number = world.ask(0, "planner");
    world.run_for(SECOND);
    let expected = QueryOutcome::Refused { kind: RefusalKind::NoIndex, ran: RunStatus::NotRun };
    assert_eq!(world.asked(number).outcome, expected);
    assert!(world.events.iter().any(|(_, _, e)| matches!(e, Event::ShardCountConflict { .. })));
    world.servers[pos].announced.indexes = original;
    world.announce_now(pos);
    world.run_for(SECOND);
    let number = world.ask(0, "planner");
    world.run_for(SECOND);
    assert!(world.asked(number).is_complete(), "{:?}", world.asked(number));
    assert_no_violations(&mut world);
}

#[test]
fn conflicting_new_version() {
    // A shard count conflict of a new version leaves the old version in use.
    let mut world = layouts::small().build(2, Policy::default());
    for pos in 0..world.servers.len() {
        let count = if pos == 3 { 25 } else { SHARDS };
        let new = holding(8, count, shards_of_server(pos, SHARDS));
        world.servers[pos].announced.indexes.push(new);
        world.announce_now(pos);
    }
    world.run_for(3 * SECOND);
    let number = world.ask(0, "planner");
    world.run_for(SECOND);
    assert_eq!(version_of(&world, number), Some(IndexVersion(FIRST_INDEX)));
    assert!(world.asked(number).is_complete());
    assert_no_violations(&mut world);
}

#[test]
fn schema_switch() {
    // The live schema versions change while queries run: each query keeps those of its snapshot.
    let layout = layouts::small();
    let mut world = layout.build(3, Policy::default());
    for revision in 2..12 {
        for i in 0..4 {
            world.ask(i, "planner");
        }
        world.run_for(Duration::from_millis(7));
        let schemas = match revision % 3 {
            0 => vec![SchemaVersion(1)],
            1 => vec![SchemaVersion(2)],
            _ => vec![SchemaVersion(1), SchemaVersion(2)],
        };
        world.configure(layout.config_at(revision, |s| s.schemas = schemas));
        world.run_for(Duration::from_millis(100));
    }
    world.run_for(SECOND);
    assert_eq!(world.sums.partial, 0);
    assert_eq!(world.sums.complete, 40);
    assert_no_violations(&mut world);
}

#[test]
fn split_schemas() {
    // Records of the old and the new schema version are on different servers: a shard is covered
    // only if both respond.
    let mut world = layouts::small().build(4, Policy::default());
    for pos in 0..world.servers.len() {
        let schema = SchemaVersion(1 + (pos as u32 / 3) % 2);
        world.servers[pos].announced.indexes[0].schemas = vec![schema];
        world.announce_now(pos);
    }
    world.run_for(2 * SECOND);
    let complete_query = world.ask(0, "planner");
    world.run_for(SECOND);
    assert!(world.asked(complete_query).is_complete(), "{:?}", world.asked(complete_query));
    for name in ["olomouc-s3", "prerov-s3"] {
        let pos = world.server_index(name).unwrap();
        world.kill_server(pos);
    }
    world.run_for(4 * SECOND);
    let partial_query = world.ask(0, "planner");
    world.run_for(SECOND);
    let QueryOutcome::Answered { complete, coverage, .. } = &world.asked(partial_query).outcome
    else {
        panic!("{:?}", world.asked(partial_query));
    };
    assert!(!complete);
    assert_eq!(coverage.missing[0].schemas, vec![SchemaVersion(2)]);
    assert_eq!(coverage.missing[0].shards.count(), 8);
    assert_no_violations(&mut world);
}
