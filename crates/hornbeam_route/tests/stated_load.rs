//! Servers that state their load in responses.

mod common;

use std::time::Duration;

use common::{CHECKS_PER_SECOND, FURNACE, Fault, SWEEPS_PER_SECOND, Site, World};
use hornbeam_model::Mono;
use hornbeam_route::StatedLoad;
use hornbeam_route::stated_load::LoadEstimate;

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);
const T: Mono = Mono::from_millis(60_000);
const ENTRIES: usize = 87;

fn load(running: u32, waiting: u32, slowness_percent: u32) -> StatedLoad {
    StatedLoad { running, waiting, slots: 2, slowness_percent }
}

/// The factor of a statement after this time, with all of its weight.
fn factor(stated: StatedLoad, own: usize, slowness: f64, after: Duration) -> f64 {
    LoadEstimate::new(T, stated, own).cost_factor(T + after, (1.0, slowness), || 1.0)
}

/// Guards against a statement that outlives the load that it states.
#[test]
fn aged() {
    let busy = load(2, 1, 100);
    assert!(factor(busy, 0, 1.0, Duration::ZERO) > 2.0);
    assert!(factor(busy, 0, 1.0, 80 * MS) < 1.8);
    assert_eq!(factor(busy, 0, 1.0, 400 * MS), 1.0);
}

/// Guards against requests that count twice, and against statements that exclude a server.
#[test]
fn bounded() {
    assert_eq!(factor(load(2, 0, 100), 2, 1.0, Duration::ZERO), 1.0);
    assert!(factor(load(900_000, 900_000, 900_000), 0, 1.0, Duration::ZERO) <= 2.5);
    assert!(factor(load(0, 0, 1), 0, 1.0, Duration::ZERO) >= 0.6);
}

/// Guards against a server that attracts requests with a statement that its latencies contradict.
#[test]
fn contradicted() {
    let idle = load(0, 0, 100);
    assert!(factor(idle, 0, 2.0, Duration::ZERO) < 1.0, "it may have recovered");
    assert_eq!(factor(idle, 0, 4.0, Duration::ZERO), 1.0);
}

/// A site whose entries share servers of two slots, which state their load or not.
fn start(seed: u64, stated: bool) -> World {
    let site = Site { entries: ENTRIES, zones: 2, copies: 4, slots: 2, ..FURNACE };
    let mut world = site.start(seed);
    for server in &mut world.servers {
        server.states_load = stated;
    }
    world
}

fn offer_load(world: &mut World, time: Duration) -> (f64, f64) {
    world.ended.clear();
    world.schedule_load(0, 2.2 * SWEEPS_PER_SECOND, time);
    world.schedule_load(1, 2.2 * CHECKS_PER_SECOND, time);
    world.run(time + SECOND);
    (world.score(0), world.score(1))
}

/// The largest part that one copy of a service got within a tenth of a second, of at least ten requests.
fn largest_part(world: &World, since: Mono) -> f64 {
    let mut largest = 0.0_f64;
    for shard in 0..20 {
        let copies: Vec<&[Mono]> =
            (0..4).map(|copy| world.arrival_times(&format!("s{shard}-{copy}"))).collect();
        for slice in 0..40 {
            let from = since + slice * 100 * MS;
            let within = |at: &&Mono| **at >= from && at.since(from) < 100 * MS;
            let counts = copies.iter().map(|times| times.iter().filter(within).count());
            let counts: Vec<usize> = counts.collect();
            let sum: usize = counts.iter().sum();
            if sum >= 10 {
                largest = largest.max(counts.into_iter().max().unwrap_or(0) as f64 / sum as f64);
            }
        }
    }
    largest
}

/// Guards against entries that all choose the server that looked idle last, and against statements that
/// make responses later than none.
#[test]
fn no_herd() {
    for seed in 0..2 {
        let mut scores = Vec::new();
        for stated in [false, true] {
            let mut world = start(800 + seed, stated);
            let since = world.now;
            let (sweep, check) = offer_load(&mut world, 4 * SECOND);
            scores.push(sweep + check);
            let part = largest_part(&world, since);
            assert!(part < 0.9, "seed {seed}: {part:.2} of the requests at one copy");
        }
        assert!(scores[1] >= scores[0] - 0.04, "seed {seed}: {scores:?}");
    }
}

/// Guards against a slow server that entries learn of one by one only.
#[test]
fn momentary_slowness() {
    let arrivals = [false, true].map(|stated| {
        let mut world = start(810, stated);
        world.set_server_fault("s0-0", Fault::Slow(4.0));
        let before = world.arrival_times("s0-0").len();
        offer_load(&mut world, 3 * SECOND);
        world.arrival_times("s0-0").len() - before
    });
    assert!(arrivals[1] <= arrivals[0], "{arrivals:?}");
}
