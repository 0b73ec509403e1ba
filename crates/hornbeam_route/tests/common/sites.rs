//! Scaled-down models of the users' current deployments.

use std::time::Duration;

use super::{World, scatter};

/// A deployment with searches over 20 shards by several entries, and servers that pause.
#[derive(Clone, Copy)]
pub struct Site {
    pub entries: usize,
    pub zones: usize,
    /// Servers of each shard, and requests that each of them processes concurrently.
    pub copies: usize,
    pub slots: usize,
    /// Latency objectives of sweeps and checks in milliseconds.
    pub objectives: [u32; 2],
    pub work_us: [u64; 2],
    pub pause_every: Duration,
    pub pause: Duration,
}

/// Optimized for tail latency: short processing times and low load.
pub const HANAK: Site = Site {
    entries: 9,
    zones: 2,
    copies: 2,
    slots: 2,
    objectives: [80, 40],
    work_us: [7_500, 2_500],
    pause_every: Duration::from_millis(2_400),
    pause: Duration::from_millis(100),
};
/// Optimized for shard coverage: servers are busy more than half of the time.
pub const CONSORTIUM: Site = Site {
    entries: 7,
    zones: 2,
    copies: 2,
    slots: 2,
    objectives: [200, 80],
    work_us: [28_000, 9_200],
    pause_every: Duration::from_secs(6),
    pause: Duration::from_millis(250),
};
/// Optimized for the worst zone; the number of entries, copies and slots varies between tests.
pub const FURNACE: Site = Site {
    entries: 6,
    zones: 3,
    copies: 2,
    slots: 2,
    objectives: [150, 60],
    work_us: [20_000, 6_700],
    pause_every: Duration::from_millis(4_500),
    pause: Duration::from_millis(200),
};
/// Sweeps per second over all entries.
pub const SWEEPS_PER_SECOND: f64 = 67.5;
/// Checks per second over all entries.
pub const CHECKS_PER_SECOND: f64 = 22.5;

impl Site {
    /// Creates a world in which the entries have measured the usual latencies.
    pub fn start(&self, seed: u64) -> World {
        let sweep = scatter("sweep", 20, self.objectives[0], 0.89);
        let check = scatter("check", 20, self.objectives[1], 0.75);
        let work = self.work_us.map(Duration::from_micros).to_vec();
        let routes = vec![sweep, check];
        let mut world = World::in_zones(self.zones, seed, self.entries, routes, work, self.copies);
        world.set_slots(self.slots);
        world.set_pauses(self.pause_every, self.pause);
        run_searches(&mut world, 1.0, Duration::from_secs(3));
        world.ended.clear();
        world
    }
}

/// Runs sweeps and checks for `time` at a multiple of the usual load; returns the scores of both.
pub fn run_searches(world: &mut World, load: f64, time: Duration) -> (f64, f64) {
    world.schedule_load(0, SWEEPS_PER_SECOND * load, time);
    world.schedule_load(1, CHECKS_PER_SECOND * load, time);
    world.run(time + Duration::from_secs(2));
    (world.score(0), world.score(1))
}

/// Sends requests of the first route one after the other, until the entries have measured it.
pub fn warm_up(world: &mut World, requests: usize) {
    for _ in 0..requests {
        world.request(0);
        world.run(Duration::from_millis(50));
    }
    world.ended.clear();
}
