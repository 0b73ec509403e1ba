//! Prints how well entries share the servers without a coordinator: the same callers, load and
//! servers with different numbers of entries.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;

use common::{CHECKS_PER_SECOND, FURNACE, Fault, SWEEPS_PER_SECOND, Site, World};

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 4;
const ENTRY_COUNTS: [usize; 4] = [3, 9, 18, 100];

fn main() {
    for (layout, copies, slots) in [("pair", 2, 2), ("single", 3, 1)] {
        for entries in ENTRY_COUNTS {
            let site = Site { entries, copies, slots, ..FURNACE };
            let plays = (0..SEEDS).map(|seed| std::thread::spawn(move || play(&site, seed)));
            let plays: Vec<_> = plays.collect();
            let figures = plays.into_iter().map(|p| p.join().expect("the play ends"));
            println!("{layout:6} {entries:4}  {}", summary(&figures.collect::<Vec<_>>()));
        }
    }
}

/// Names and values of what one play measures. Fractions are those of all requests.
type Figures = Vec<(&'static str, f64)>;

fn play(site: &Site, seed: u64) -> Figures {
    let mut figures = Figures::new();
    let mut world = site.start(200 + seed);
    world.connect_peers();
    world.report_demand();
    world.callers_return = true;
    // Some servers become slower when they are full.
    for server in world.servers.iter_mut().step_by(3) {
        server.slowdown_when_full = 1.5;
    }
    let (sweep, check) = common::run_searches(&mut world, 1.0, 8 * SECOND);
    figures.extend([("calm sweep", sweep), ("check", check), ("p50 ms", median_ms(&world))]);

    world.ended.clear();
    for shard in 0..6 {
        world.set_server_fault(&format!("s{shard}-0"), Fault::Slow(6.0));
    }
    schedule(&mut world, 1.6, 8 * SECOND);
    world.run(8 * SECOND);
    let all = world.ended.len() as f64;
    let refused = world.ended.iter().filter(|e| e.responses == 0).count();
    figures.extend([("overload sweep", world.score(0)), ("check", world.score(1))]);
    figures.extend([("refused", refused as f64 / all), ("extra", world.extra_ratio())]);

    for shard in 0..6 {
        world.set_server_fault(&format!("s{shard}-0"), Fault::None);
    }
    schedule(&mut world, 1.0, 2 * SECOND);
    world.run(2 * SECOND);
    world.ended.clear();
    let (sweep, check) = common::run_searches(&mut world, 1.0, 4 * SECOND);
    figures.extend([("after 2 s sweep", sweep), ("check", check)]);
    figures
}

/// Mean of each figure and the largest deviation of a seed from it.
fn summary(plays: &[Figures]) -> String {
    let columns = (0..plays[0].len()).map(|i| {
        let values = plays.iter().map(|p| p[i].1);
        let mean = values.clone().sum::<f64>() / plays.len() as f64;
        let spread = values.map(|v| (v - mean).abs()).fold(0.0, f64::max);
        format!("{} {mean:.2} ±{spread:.2}", plays[0][i].0)
    });
    columns.collect::<Vec<_>>().join(", ")
}

fn schedule(world: &mut World, load: f64, time: Duration) {
    world.schedule_load(0, SWEEPS_PER_SECOND * load, time);
    world.schedule_load(1, CHECKS_PER_SECOND * load, time);
}

fn median_ms(world: &World) -> f64 {
    let sweeps = world.ended.iter().filter(|e| e.route == 0);
    let mut latencies: Vec<Duration> = sweeps.map(|e| e.latency).collect();
    latencies.sort_unstable();
    latencies[latencies.len() / 2].as_secs_f64() * 1e3
}
