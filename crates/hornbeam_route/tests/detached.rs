//! Entries that lose their links to the backend servers, while callers, controllers and the other
//! entries still reach them.
//!
//! Such an entry refused all its callers, and gathered nothing for the entries that delegated groups
//! to it, since it could be reached and looked idle.

mod common;

use std::time::Duration;

use common::{CONSORTIUM, Fault, LinkFault, Site, World, scatter, single};
use hornbeam_model::Route;
use hornbeam_route::request::ShardProgress;
use hornbeam_route::{Completion, Decision};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Time in which an entry notices that it reaches no server.
const DETECTION: Duration = SECOND;

/// Six in ten entries, in all zones.
fn most(entry: usize) -> bool {
    entry % 5 < 3
}

/// A small deployment with searches and lookups.
fn small(seed: u64) -> World {
    let Site { objectives, work_us, .. } = CONSORTIUM;
    let routes = vec![
        scatter("sweep", 20, objectives[0], 0.89),
        scatter("check", 20, objectives[1], 0.75),
        single("lookup", "tablet", 800),
    ];
    let mut work: Vec<Duration> = work_us.map(Duration::from_micros).to_vec();
    work.push(60 * MS);
    let mut world = World::new(seed, 10, routes, work, 2);
    world.connect_peers();
    world
}

/// Eighty entries that search 90 shards in groups.
fn large(seed: u64) -> World {
    let routes = vec![scatter("sweep", 90, 150, 0.89), single("lookup", "tablet", 800)];
    let mut world = World::in_zones(3, seed, 80, routes, vec![7 * MS, 60 * MS], 3);
    world.entry_work = Duration::from_micros(100);
    world.connect_peers();
    world
}

/// Runs each route at this rate.
fn run(world: &mut World, per_second: f64, time: Duration) {
    for route in 0..world.route_count() {
        world.schedule_load(route, per_second, time);
    }
    world.run(time);
}

/// Detaches entries after a warm-up, lets them notice it, and forgets what has ended until then.
fn detach(world: &mut World, per_second: f64, fault: LinkFault, detached: fn(usize) -> bool) {
    run(world, per_second, 3 * SECOND);
    for entry in (0..world.engines.len()).filter(|e| detached(*e)) {
        world.detach_entry(entry, fault);
    }
    run(world, per_second, DETECTION);
    world.ended.clear();
}

/// What a caller sees at the detached entries must be close to what it sees at the others.
fn assert_served_alike(world: &World, detached: fn(usize) -> bool) {
    let (at_detached, n) = world.served_at(detached);
    let (at_others, others) = world.served_at(|e| !detached(e));
    assert!(n > 50 && others > 30, "{n} and {others} requests");
    assert!(at_others >= 0.9, "{at_others} at the others");
    assert!(
        at_detached >= 0.9 * at_others,
        "{at_detached} at the detached, {at_others} at the others"
    );
}

#[test]
fn silent_links() {
    let mut world = small(1);
    detach(&mut world, 20.0, LinkFault::Silent, most);
    run(&mut world, 20.0, 5 * SECOND);
    assert_served_alike(&world, most);
}

#[test]
fn reset_links() {
    let mut world = small(2);
    detach(&mut world, 20.0, LinkFault::Reset, most);
    run(&mut world, 20.0, 5 * SECOND);
    assert_served_alike(&world, most);
}

#[test]
fn whole_zone() {
    let mut world = small(3);
    let zone = |entry| entry % 2 == 1;
    detach(&mut world, 20.0, LinkFault::Silent, zone);
    run(&mut world, 20.0, 5 * SECOND);
    assert_served_alike(&world, zone);
}

/// Guards against requests that are passed from one entry to the next of a zone in which all are detached, until
/// they are refused. Each of them declines for itself, and only entries that have asked it before know that.
#[test]
fn whole_zone_of_many() {
    let first_zone = |entry: usize| entry.is_multiple_of(3);
    let routes = vec![scatter("sweep", 20, 150, 0.89), single("lookup", "tablet", 800)];
    let mut world = World::in_zones(3, 1, 150, routes, vec![7 * MS, 60 * MS], 6);
    world.connected = Some(Default::default());
    world.connect_peers();
    detach(&mut world, 120.0, LinkFault::Silent, first_zone);
    run(&mut world, 120.0, 5 * SECOND);
    assert_served_alike(&world, first_zone);
}

#[test]
fn large_fleet() {
    let mut world = large(4);
    detach(&mut world, 20.0, LinkFault::Silent, most);
    run(&mut world, 20.0, 5 * SECOND);
    assert_served_alike(&world, most);
}

#[test]
fn detection_time() {
    // Each entry gets six searches a second.
    for fault in [LinkFault::Silent, LinkFault::Reset] {
        let mut world = small(5);
        run(&mut world, 20.0, 3 * SECOND);
        world.detach_entry(0, fault);
        let cut_at = world.now;
        world.decisions.clear();
        run(&mut world, 20.0, SECOND);
        let is_detection = |d: &Decision| matches!(d, Decision::ServersLost { .. });
        let detected = world.decisions.iter().filter(|(_, d)| is_detection(d));
        let times: Vec<Duration> = detected.map(|(at, _)| at.since(cut_at)).collect();
        assert!(times.len() == 1 && times[0] < 600 * MS, "{fault:?}: {times:?}");
        assert!(world.engines[0].is_detached() && !world.engines[1].is_detached());
    }
}

#[test]
fn lost_zone_only() {
    let mut world = small(6);
    run(&mut world, 20.0, 3 * SECOND);
    world.decisions.clear();
    world.cut_servers(0, LinkFault::Silent, |server| server.as_str().ends_with("-0"));
    run(&mut world, 20.0, 2 * SECOND);
    let lost = world.decisions.iter().filter(|(_, d)| matches!(d, Decision::ServersLost { .. }));
    assert_eq!(lost.count(), 0);
}

/// Cuts the entries of one zone from all copies of a third of the shards.
fn cut_third(world: &mut World) {
    for entry in (0..world.engines.len()).filter(|e| e % 3 == 1) {
        world.cut_servers(entry, LinkFault::Reset, |server| {
            let shard =
                server.as_str().split('-').next().and_then(|s| s[1..].parse::<usize>().ok());
            shard.is_some_and(|s| s % 3 == 0)
        });
    }
}

#[test]
fn partial_cut_of_zone() {
    // The entries of the zone gather for each other, and none reaches these shards.
    let zone = |entry: usize| entry % 3 == 1;
    let mut world = large(7);
    run(&mut world, 20.0, 3 * SECOND);
    cut_third(&mut world);
    run(&mut world, 20.0, DETECTION);
    world.ended.clear();
    run(&mut world, 20.0, 5 * SECOND);
    assert_served_alike(&world, zone);
}

#[test]
fn shards_down_for_all() {
    // Entries ask each other for shards that none of them reaches only now and then.
    let mut world = large(8);
    run(&mut world, 20.0, 3 * SECOND);
    for shard in 0..5 {
        world.set_fault(&format!("s{shard}"), Fault::Refused);
    }
    run(&mut world, 20.0, DETECTION);
    world.decisions.clear();
    world.ended.clear();
    run(&mut world, 20.0, 5 * SECOND);
    let relayed = world.decisions.iter().filter(|(_, d)| matches!(d, Decision::Relayed { .. }));
    // Twice a second for each of the five shards at each of 80 entries, at most.
    let relayed = relayed.count();
    assert!(relayed <= 2 * 5 * 5 * 80, "{relayed}");
    let in_time = world.served_at(|_| true).0;
    assert!(in_time >= 0.9, "{in_time}");
}

#[test]
fn other_zones_in_touch() {
    // A detached entry is not isolated from the fleet: its feeds were heard less than 200 ms ago only
    // half of the time, and its peers heard every second that it is leaving.
    let mut world = small(9);
    run(&mut world, 20.0, 3 * SECOND);
    world.detach_entry(0, LinkFault::Silent);
    run(&mut world, 20.0, DETECTION);
    let deadline = world.now + 3 * SECOND;
    while world.now < deadline {
        run(&mut world, 20.0, 50 * MS);
        assert!(!world.engines[0].other_zones_lost(world.now));
    }
    assert!(world.engines[0].is_detached());
}

#[test]
fn reset_links_end_no_server() {
    // A connection that is reset and a new one that is refused look like the end of a server; three
    // such ends would quarantine the request that was in flight, at all entries.
    let mut world = small(10);
    run(&mut world, 20.0, 3 * SECOND);
    world.content = Some(7);
    for _ in 0..6 {
        for entry in 0..3 {
            for _ in 0..3 {
                world.request_at(2, entry);
            }
        }
        world.run(10 * MS);
        (0..3).for_each(|entry| world.detach_entry(entry, LinkFault::Reset));
        world.run(200 * MS);
        (0..3).for_each(|entry| world.restore_links(entry));
        world.run(SECOND);
    }
    let ended = world.decisions.iter().filter(|(_, d)| matches!(d, Decision::ServerEnded { .. }));
    assert_eq!(ended.count(), 0);
}

#[test]
fn all_but_few() {
    // Two of ten entries carry everything: what they cannot serve in time is refused at once.
    let most = |entry: usize| entry < 8;
    let mut world = small(11);
    detach(&mut world, 30.0, LinkFault::Silent, most);
    run(&mut world, 30.0, 5 * SECOND);
    let (at_detached, n) = world.served_at(most);
    let (at_others, _) = world.served_at(|e| !most(e));
    assert!(n > 100 && at_others >= 0.85, "{at_others} at the others");
    assert!(at_detached >= 0.8 * at_others, "{at_detached} of {n}, {at_others} at the others");
}

#[test]
fn all_entries() {
    // No entry reaches a server: each request is refused at once, and none goes in circles.
    let mut world = small(12);
    detach(&mut world, 20.0, LinkFault::Silent, |_| true);
    world.decisions.clear();
    run(&mut world, 20.0, 2 * SECOND);
    world.run(SECOND);
    let at_once = world.ended.iter().filter(|e| e.latency < 20 * MS).count();
    let n = world.ended.len();
    assert!(n > 100 && at_once * 10 >= n * 9, "{at_once} of {n}");
    let relayed = world.decisions.iter().filter(|(_, d)| matches!(d, Decision::Relayed { .. }));
    assert!(relayed.count() * 10 <= n, "groups go on between entries that all decline them");
}

#[test]
fn direct_again() {
    let mut world = small(13);
    detach(&mut world, 20.0, LinkFault::Silent, most);
    run(&mut world, 20.0, 2 * SECOND);
    (0..10).for_each(|entry| world.restore_links(entry));
    run(&mut world, 20.0, SECOND);
    world.decisions.clear();
    world.ended.clear();
    run(&mut world, 20.0, 3 * SECOND);
    let relayed = world.decisions.iter().filter(|(_, d)| matches!(d, Decision::Relayed { .. }));
    assert_eq!(relayed.count(), 0);
    assert!(world.served_at(most).0 >= 0.9, "{:?}", world.served_at(most));
}

#[test]
fn flapping_links() {
    let mut world = small(14);
    run(&mut world, 20.0, 3 * SECOND);
    world.ended.clear();
    for _ in 0..6 {
        (0..10).filter(|e| most(*e)).for_each(|e| world.detach_entry(e, LinkFault::Reset));
        run(&mut world, 20.0, 700 * MS);
        (0..10).for_each(|entry| world.restore_links(entry));
        run(&mut world, 20.0, 700 * MS);
    }
    let (at_others, _) = world.served_at(|e| !most(e));
    assert!(at_others >= 0.9, "{at_others} at the others");
    assert!(world.served_at(most).0 >= 0.7, "{:?}", world.served_at(most));
}

#[test]
fn lost_hop() {
    // Each request runs once at most, whatever happens on the way between the entries.
    let lookup = Route { idempotent: false, ..single("lookup", "tablet", 800) };
    let mut world = World::new(15, 10, vec![lookup], vec![10 * MS], 2);
    world.connect_peers();
    detach(&mut world, 60.0, LinkFault::Silent, most);
    for n in 0..200 {
        let key = world.request_at(0, n % 3);
        world.run(5 * MS);
        if n % 2 == 0 {
            world.drop_group_connections(n % 3);
        }
        world.run(20 * MS);
        assert!(world.servers_that_ran(key) <= 1, "request {key} ran twice");
    }
    world.run(10 * SECOND);
    assert_eq!(world.refused_and_run(), Vec::new(), "said not to have run, though it had");
    let failed = world.ended.iter().filter(|e| matches!(e.completion, Completion::Refuse(_)));
    assert!(failed.count() > 20, "no connection was dropped while a request ran");
}

#[test]
fn many_copies() {
    // A service has more servers than a shard has attempts: a request is relayed before it has tried
    // so many of them that it is refused.
    let lookup = Route { idempotent: false, ..single("lookup", "tablet", 800) };
    let mut world = World::new(16, 10, vec![lookup], vec![10 * MS], 8);
    world.connect_peers();
    run(&mut world, 60.0, 3 * SECOND);
    world.run(SECOND);
    world.ended.clear();
    world.detach_entry(0, LinkFault::Reset);
    for _ in 0..3 {
        world.request_at(0, 0);
        world.run(100 * MS);
    }
    assert_eq!(world.served_at(|entry| entry == 0), (1.0, 3));
}

#[test]
fn earlier_run_is_kept() {
    // An attempt of this entry may have run before the shard was relayed; that the other entry ran
    // nothing does not change that.
    let mut shard = ShardProgress::new(0);
    shard.possible_runs = 1;
    shard.delegate();
    shard.confirm_group(2);
    shard.reclaim(true);
    assert_eq!(shard.possible_runs, 1);
}
