//! Shards without a copy in the zone are gathered by entries of the zone that has them.

mod common;

use std::time::Duration;

use common::{EntryFault, World, ZONE_SITE, scatter};
use hornbeam_route::{Input, ServerChange};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const SHARDS: usize = 40;

/// Three zones; the first has a copy of eight of 40 shards.
fn start(seed: u64, spill: bool) -> World {
    let search = scatter("search", SHARDS, 80, 0.9);
    let mut world = World::in_zones(3, seed, ZONE_SITE.entries, vec![search], vec![4 * MS], 3);
    if spill {
        world.enable_spill();
    }
    world.connect_peers();
    world.zone_round_trip = 3 * MS;
    for shard in 8..SHARDS {
        for entry in 0..ZONE_SITE.entries {
            let server = format!("s{shard}-0").parse().unwrap();
            let gone = ServerChange::Unusable { server, reason: "gone" };
            world.step(entry, Input::Servers(vec![gone]));
        }
    }
    world.schedule_zone_load(0, 0, 30.0, 4 * SECOND);
    world.run(5 * SECOND);
    world.ended.clear();
    world.sent = Some(Vec::new());
    world
}

fn search(world: &mut World) -> (f64, usize) {
    let since = world.now;
    world.schedule_zone_load(0, 0, 30.0, 4 * SECOND);
    world.run(5 * SECOND);
    let complete = world.ended.iter().filter(|e| e.responses == SHARDS).count();
    (world.part_left(0, since), complete)
}

/// Guards against responses that cross one by one.
#[test]
fn copies_elsewhere() {
    let mut world = start(1, true);
    let (left, complete) = search(&mut world);
    assert!(left < 0.02, "{left}");
    assert!(complete * 100 > world.ended.len() * 97, "{complete} of {}", world.ended.len());
    assert!(world.served_in_zone(0) > 0.99, "{}", world.served_in_zone(0));
    let (left_before, _) = search(&mut start(1, false));
    assert!(left_before > 0.7, "the load no longer tests it: {left_before}");
}

/// Guards against searches that are lost with the entries of the other zones.
#[test]
fn entries_elsewhere_fail() {
    // Groups that are not started are reclaimed. What an entry has started to gather may have run, so
    // it is not sent again, as within a zone; such entries are suspected after two groups.
    for (fault, least) in
        [(EntryFault::Frozen, 0.99), (EntryFault::Leaving, 0.99), (EntryFault::ReportsLost, 0.9)]
    {
        let mut world = start(2, true);
        for entry in [1, 2, 4, 5, 7, 8] {
            world.entry_faults[entry] = fault;
        }
        let (_, complete) = search(&mut world);
        let part = complete as f64 / world.ended.len() as f64;
        assert!(part > least && world.served_in_zone(0) > least, "{fault:?}: {part}");
    }
}
