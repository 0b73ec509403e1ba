//! A zone that is lost at peak load: its servers become silent together.

mod common;

use std::time::Duration;

use common::{Fault, HANAK, World, scatter};
use hornbeam_model::Mono;
use hornbeam_route::zones::ZoneReachability;
use hornbeam_route::{Completion, Decision};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Makes the servers of the second zone unresponsive: one copy of every shard.
fn lose_zone(world: &mut World, shards: usize) {
    for shard in 0..shards {
        world.set_server_fault(&format!("s{shard}-1"), Fault::Unresponsive);
    }
}

#[test]
fn searches_go_on() {
    let mut world = HANAK.start(21);
    lose_zone(&mut world, 20);
    let (sweep, check) = common::run_searches(&mut world, 1.0, 2 * SECOND);
    // The other zone has the capacity for all searches. Those of the first 200 ms, a tenth, may be
    // lost before the zone is known to be unreachable.
    assert!(sweep > 0.85 && check > 0.85, "{sweep} {check}");
}

#[test]
fn detected_within_objective() {
    let mut world = HANAK.start(22);
    lose_zone(&mut world, 20);
    let lost_at = world.now;
    world.decisions.clear();
    common::run_searches(&mut world, 1.0, SECOND);
    let is_detection = |d: &Decision| matches!(d, Decision::ZoneUnreachable { .. });
    let detected = world.decisions.iter().filter(|(_, d)| is_detection(d));
    let times: Vec<Duration> = detected.map(|(at, _)| at.since(lost_at)).collect();
    // Each entry gets ten searches a second, of which one suffices.
    assert!(times.len() >= HANAK.entries, "{} of {} entries", times.len(), HANAK.entries);
    let in_time = times.iter().filter(|t| **t < 300 * MS).count();
    assert!(in_time * 3 >= HANAK.entries * 2, "{times:?}");
}

#[test]
fn restored_at_once() {
    let mut world = HANAK.start(23);
    lose_zone(&mut world, 20);
    common::run_searches(&mut world, 1.0, SECOND);
    for shard in 0..20 {
        world.set_server_fault(&format!("s{shard}-1"), Fault::None);
    }
    world.decisions.clear();
    let back_at = world.now;
    common::run_searches(&mut world, 1.0, SECOND);
    let is_restored = |d: &Decision| matches!(d, Decision::ZoneRestored { .. });
    let restored = world.decisions.iter().filter(|(_, d)| is_restored(d));
    let times: Vec<Duration> = restored.map(|(at, _)| at.since(back_at)).collect();
    let in_time = times.iter().filter(|t| **t < 400 * MS).count();
    assert!(in_time * 3 >= HANAK.entries * 2, "{times:?}");
}

#[test]
fn all_zones_lost() {
    // An entry that is cut off refuses at once what it cannot serve.
    let sweep = scatter("sweep", 20, 150, 0.9);
    let mut world = World::new(24, 1, vec![sweep], vec![4 * MS], 2);
    common::warm_up(&mut world, 20);
    for shard in 0..20 {
        world.set_fault(&format!("s{shard}"), Fault::Unresponsive);
    }
    world.request(0);
    world.run(300 * MS);
    world.ended.clear();
    world.schedule_load(0, 50.0, SECOND);
    world.run(2 * SECOND);
    let at_once = world.ended.iter().filter(|e| e.latency < 10 * MS);
    let refused = at_once.filter(|e| matches!(e.completion, Completion::Refuse(_))).count();
    assert!(refused * 10 >= world.ended.len() * 7, "{refused} of {}", world.ended.len());
}

#[test]
fn slow_zone_is_used() {
    let mut world = HANAK.start(25);
    for shard in 0..20 {
        world.set_server_fault(&format!("s{shard}-1"), Fault::Slow(5.0));
    }
    let (sweep, check) = common::run_searches(&mut world, 1.0, 2 * SECOND);
    assert!(sweep > 0.85 && check > 0.85, "{sweep} {check}");
    let served = world.arrivals_of("-1");
    assert!(served * 20 > world.arrivals_of("-0"), "{served} requests went to the slow zone");
}

const AT: fn(u64) -> Mono = Mono::from_millis;
const USUAL: Duration = Duration::from_millis(10);

#[test]
fn earlier_attempts_do_not_count() {
    let mut zones = ZoneReachability::default();
    let zone = "prerov".into();
    zones.record_response(AT(100), &zone);
    for server in 0..10 {
        let confirm_at = zones.record_silence(AT(200), &zone, server, AT(90), USUAL);
        assert_eq!(confirm_at, None, "sent before a response");
    }
    for server in 0..3 {
        assert_eq!(zones.record_silence(AT(200), &zone, server, AT(110), USUAL), None);
        let confirm_at = zones.record_silence(AT(210), &zone, server, AT(120), USUAL);
        assert_eq!(confirm_at, None, "the same server again");
    }
    assert_eq!(zones.record_silence(AT(200), &zone, 3, AT(110), USUAL), Some(AT(210)));
    assert!(!zones.is_unreachable(&zone));
    assert!(zones.confirm(AT(210), &zone));
    assert!(zones.is_unreachable(&zone) && !zones.is_lost(AT(400), &zone));
    assert!(!zones.start_probe_if_due(AT(300), &zone));
    assert!(zones.start_probe_if_due(AT(310), &zone));
    assert!(!zones.start_probe_if_due(AT(320), &zone), "one probe at a time");
    assert!(zones.is_lost(AT(410), &zone));
    assert!(zones.record_response(AT(420), &zone));
    assert!(!zones.is_unreachable(&zone));
}

#[test]
fn refused_connections_alone() {
    let mut zones = ZoneReachability::default();
    let zone = "prerov".into();
    for server in 0..8 {
        let confirm_at = zones.record_silence(AT(101), &zone, server, AT(100), USUAL);
        assert_eq!(confirm_at, None, "the other servers have had no time to respond");
    }
    let confirm_at = zones.record_silence(AT(130), &zone, 2, AT(129), USUAL);
    assert_eq!(confirm_at, Some(AT(140)), "nor did they later");
}

/// An entry that was late itself has responses to read when its timers show attempts as late.
#[test]
fn late_entry_is_no_lost_zone() {
    let mut zones = ZoneReachability::default();
    let zone = "prerov".into();
    for server in 0..8 {
        zones.record_silence(AT(200), &zone, server, AT(100), USUAL);
    }
    assert!(!zones.record_response(AT(201), &zone));
    assert!(!zones.confirm(AT(210), &zone));
    assert!(!zones.is_unreachable(&zone));
}
