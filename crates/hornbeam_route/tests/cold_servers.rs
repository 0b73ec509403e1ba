//! Servers that are cold, and bear a limited rate of requests of all entries together.

mod common;

use std::time::Duration;

use common::{FURNACE, Fault, ReportFaults, Site, World};
use hornbeam_model::{Mono, RequestRate};
use hornbeam_route::cold_limit::ColdLimit;
use hornbeam_route::fleet_size::FleetSize;
use hornbeam_route::{ColdBounds, Decision};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);
const NO_FAULTS: ReportFaults = ReportFaults { lost: 0.0, late: 0.0, doubled: 0.0 };
const ALL_LOST: ReportFaults = ReportFaults { lost: 1.0, ..NO_FAULTS };
/// Searches a second over all entries; each goes to every service.
const SEARCHES_PER_SECOND: f64 = 120.0;
/// Rate of a cold server.
const RATE: f64 = 8.0;

/// Requests that may arrive at a cold server within a second.
fn allowed(rate: f64) -> usize {
    (rate * 1.5 + 5.0) as usize
}

/// Entries with two copies of each service, under a load that one copy can bear.
fn start(entries: usize, seed: u64, reports: ReportFaults) -> World {
    let site = Site { entries, zones: 2, copies: 2, slots: 4, work_us: [5_000, 5_000], ..FURNACE };
    let mut world = site.start(900 + seed);
    world.report_demand();
    world.report_rates(reports);
    world.set_cold_rate(RATE);
    world.schedule_load(0, SEARCHES_PER_SECOND, 40 * SECOND);
    world.run(3 * SECOND);
    world
}

fn cold_waits(world: &World) -> usize {
    let waits = |d: &Decision| matches!(d, Decision::ColdWait { .. });
    world.decisions.iter().filter(|(_, d)| waits(d)).count()
}

/// Guards against a sum over the entries that grows with their number or with lost reports, while all
/// servers of a zone come back cold at once.
#[parameterized(
    few = { 6, NO_FAULTS },
    many = { 87, NO_FAULTS },
    no_reports = { 87, ALL_LOST },
    some_lost = { 24, ReportFaults { lost: 0.3, late: 0.3, doubled: 0.3 } },
)]
fn zone_comes_back(entries: usize, reports: ReportFaults) {
    for seed in 0..2 {
        let mut world = start(entries, seed, reports);
        // Requests sent before the heartbeat are on their way.
        world.set_cold("-1", 12 * SECOND);
        let since = world.now + Duration::from_millis(1);
        world.run(11 * SECOND);
        let (most, sum) = world.busiest_second("-1", since);
        assert!(most <= allowed(RATE), "seed {seed}: {most} in a second");
        assert!(sum > 0, "seed {seed}: cold servers get requests");
        let ends_at = world.now + 2 * SECOND;
        world.run(6 * SECOND);
        let (_, later) = world.busiest_second("-1", ends_at);
        assert!(later > sum, "seed {seed}: the limit ends with the warm-up");
    }
}

/// Guards against entries that take more than their part right after a start, or when all find that the
/// only other copy is gone.
#[test]
fn restarted_entries() {
    let mut world = start(24, 5, NO_FAULTS);
    world.set_cold("-1", 30 * SECOND);
    let since = world.now + Duration::from_millis(1);
    world.run(2 * SECOND);
    world.restart_entries(Duration::from_millis(300));
    world.run(SECOND);
    for shard in 0..20 {
        world.set_server_fault(&format!("s{shard}-0"), Fault::Refused);
    }
    world.run(4 * SECOND);
    let needed_at = world.now;
    world.run(10 * SECOND);
    let (most, _) = world.busiest_second("-1", since);
    assert!(most <= allowed(RATE), "{most} in a second");
    let (_, sum) = world.busiest_second("-1", needed_at);
    let used = sum as f64 / (20.0 * 10.0 * RATE);
    assert!(used > 0.2, "{used:.2} of the rate is used");
    assert!(cold_waits(&world) > 0, "the log tells who waits");
}

/// Guards against a limit on servers whose service has no rate, and on those that are not cold.
#[test]
fn no_limit() {
    for (rate, time) in [(0.0, 12 * SECOND), (RATE, Duration::ZERO)] {
        let mut world = start(6, 6, NO_FAULTS);
        world.set_cold_rate(rate);
        world.set_cold("-1", time);
        let since = world.now;
        world.run(6 * SECOND);
        let (most, _) = world.busiest_second("-1", since);
        assert!(most > 2 * allowed(RATE), "{most} in a second");
        assert_eq!(cold_waits(&world), 0);
    }
}

/// Guards against a server that becomes cold while it runs and states so only in its responses.
#[test]
fn stated_in_response() {
    let mut world = start(6, 7, NO_FAULTS);
    for server in world.servers.iter_mut().filter(|s| s.name.as_str().ends_with("-1")) {
        server.warm_up = Some(10 * SECOND);
    }
    // Each entry learns it from its own next response.
    world.run(3 * SECOND);
    let since: Mono = world.now;
    world.run(6 * SECOND);
    let (most, sum) = world.busiest_second("-1", since);
    assert!(most <= allowed(RATE) && sum > 0, "{most} in a second, {sum} in all");
}

/// Guards against entries that use up at one moment what they have saved, since the other copies are lost
/// for all of them, and against limits that grow with the number of entries.
#[parameterized(
    few = { 6, 8.0 },
    some = { 25, 8.0 },
    slow_server = { 87, 2.0 },
    usual = { 87, 20.0 },
    fast_server = { 87, 200.0 },
    most = { 2_100, 20.0 },
)]
fn all_want_at_once(entries: u32, rate: f64) {
    let bounds = ColdBounds::default();
    let start = Mono::from_millis(50_000);
    let mut size = FleetSize::default();
    size.record(Mono::from_millis(1), entries);
    let mut rng = SmallRng::seed_from_u64(u64::from(entries));
    let per_second = RequestRate::from_per_second(rate).unwrap();
    let mut limits: Vec<(ColdLimit, f64)> = (0..entries)
        .map(|_| {
            let limit = ColdLimit::new(start, per_second, bounds, start + 100 * SECOND);
            (limit, rng.random())
        })
        .collect();
    let mut sent = Vec::new();
    for tick in 0..600_u32 {
        let now = start + Duration::from_millis(20) * tick;
        // Idle until the first second, and from the fourth to the seventh.
        let wanted = (50..200).contains(&tick) || tick >= 350;
        for (limit, phase) in &mut limits {
            while limit.has_token(now, size, *phase) && wanted {
                limit.take();
                sent.push(now);
            }
        }
    }
    let in_window = |i: usize| sent[i..].iter().take_while(|t| t.since(sent[i]) < SECOND).count();
    let most = (0..sent.len()).map(in_window).max().unwrap_or(0);
    assert!(most as f64 <= rate * bounds.overshoot + bounds.tolerance, "{most} in a second");
    let used = sent.len() as f64 / (8.0 * rate);
    assert!(used > 0.25, "{used:.2} of the rate is used");
}

/// Guards against the two sides of a partition that each divide the whole rate, since their controllers hear
/// half of the demand.
#[test]
fn partition() {
    let (entries, rate) = (6, RequestRate::from_per_second(8.0).unwrap());
    let start = Mono::from_millis(50_000);
    let mut size = FleetSize::default();
    size.record(Mono::from_millis(1), entries);
    size.set_cut_off(true);
    let limit = ColdLimit::new(start, rate, ColdBounds::default(), start + 100 * SECOND);
    let mut limits = vec![limit; entries as usize];
    let demand = RequestRate::from_per_second(10.0).unwrap();
    let mut sent = 0;
    for tick in 0..500_u32 {
        let now = start + Duration::from_millis(20) * tick;
        for limit in &mut limits {
            if tick % 20 == 0 {
                limit.record_own(demand);
                limit.record_total(now, RequestRate(3 * demand.0));
            }
            while limit.has_token(now, size, 0.5) {
                limit.take();
                sent += 1;
            }
        }
    }
    assert!(f64::from(sent) <= 8.0 * 10.0 + 17.0, "{sent} in ten seconds");
}
