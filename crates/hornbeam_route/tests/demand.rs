//! Entries with unequal numbers of callers share the servers in proportion.

mod common;

use std::time::Duration;

use common::{CHECKS_PER_SECOND, FURNACE, Fault, SWEEPS_PER_SECOND, Site, World};
use hornbeam_model::RequestRate;
use hornbeam_route::Completion;

const SECOND: Duration = Duration::from_secs(1);
/// Part of all requests that goes to the first of six entries.
const PART: f64 = 0.4;

fn start(seed: u64) -> World {
    let site = Site { entries: 6, copies: 2, slots: 2, ..FURNACE };
    let mut world = site.start(400 + seed);
    // The other five entries draw from the rest, this one included.
    world.preferred_entry = Some((0, (PART - 1.0 / 6.0) / (1.0 - 1.0 / 6.0)));
    world
}

/// Fraction of the requests that were refused for load while some copies are slow. The servers have
/// capacity for the usual load.
fn refused(report_demand: bool) -> f64 {
    let (mut refused, mut all) = (0, 0);
    for seed in 0..6 {
        let mut world = start(seed);
        if report_demand {
            world.report_demand();
        }
        common::run_searches(&mut world, 1.0, 4 * SECOND);
        world.ended.clear();
        for shard in 0..6 {
            world.set_server_fault(&format!("s{shard}-0"), Fault::Slow(5.0));
        }
        world.schedule_load(0, SWEEPS_PER_SECOND, 6 * SECOND);
        world.schedule_load(1, CHECKS_PER_SECOND, 6 * SECOND);
        world.run(8 * SECOND);
        let is_refused = |c: &Completion| matches!(c, Completion::Refuse(_));
        refused += world.ended.iter().filter(|e| is_refused(&e.completion)).count();
        all += world.ended.len();
    }
    refused as f64 / all as f64
}

#[test]
fn busy_entry() {
    let (equal, by_demand) = (refused(false), refused(true));
    assert!(by_demand < 0.75 * equal, "{by_demand:.3} refused, {equal:.3} with equal parts");
}

#[test]
fn reported_rate() {
    let mut world = start(1);
    world.ended.clear();
    common::run_searches(&mut world, 1.0, 8 * SECOND);
    let now = world.now;
    // Callers have been silent for two seconds, in which the rate has halved.
    let rates: Vec<u64> = world.engines.iter().map(|e| e.request_rate(now).0).collect();
    let total = RequestRate(rates.iter().sum());
    let expected = (SWEEPS_PER_SECOND + CHECKS_PER_SECOND) / 2.0 * 1e3;
    assert!((total.0 as f64 / expected - 1.0).abs() < 0.15, "{total}/s");
    let part = rates[0] as f64 / total.0 as f64;
    assert!((part - PART).abs() < 0.1, "{part:.2} of the requests at the first entry");
}

#[test]
fn rate_text() {
    let rate = RequestRate(12_345);
    assert_eq!(rate.to_string(), "12.345");
    assert_eq!("12.345".parse(), Ok(rate));
    assert_eq!("7".parse(), Ok(RequestRate(7_000)));
    for text in ["", ".5", "1.2345", "-1", "1.x", "99999999999999999999"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
}
