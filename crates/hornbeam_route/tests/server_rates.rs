//! Servers that state the rate of requests that they accept from all entries together.

mod common;

use std::time::Duration;

use common::{
    CHECKS_PER_SECOND, EntryFault, FURNACE, Fault, ReportFaults, SWEEPS_PER_SECOND, Site, World,
};
use hornbeam_model::Mono;
use hornbeam_route::{Completion, RefusalKind};

const SECOND: Duration = Duration::from_secs(1);
const NO_FAULTS: ReportFaults = ReportFaults { lost: 0.0, late: 0.0, doubled: 0.0 };
/// Time after the first statement from which the rate binds.
const NOTICE_TIME: Duration = Duration::from_secs(4);
const SHARDS: usize = 20;
const WINDOW: Duration = Duration::from_secs(4);
/// The rate that a server states, about a third of what it gets without a limit.
const RATE: f64 = 10.0;

/// Entries that a part of the callers prefers, with one server that states a rate.
fn start(entries: usize, seed: u64, part: f64, rate: f64, faults: ReportFaults) -> World {
    let site = Site { entries, copies: 2, slots: 2, ..FURNACE };
    let mut world = site.start(700 + seed);
    world.preferred_entry = Some((0, part));
    world.report_demand();
    world.report_rates(faults);
    common::run_searches(&mut world, 1.0, 2 * SECOND);
    world.set_rate("s0-0", Some(rate));
    world
}

fn offer_load(world: &mut World, seconds: u32) {
    world.schedule_load(0, SWEEPS_PER_SECOND, seconds * SECOND);
    world.schedule_load(1, CHECKS_PER_SECOND, seconds * SECOND);
}

/// Largest number of arrivals at the server within a window from `since` on.
fn most_in_window(world: &World, since: Mono) -> usize {
    let times: Vec<Mono> =
        world.arrival_times("s0-0").iter().copied().filter(|at| *at >= since).collect();
    let in_window =
        |from: &Mono| times.iter().filter(|at| **at >= *from && at.since(*from) < WINDOW).count();
    times.iter().map(in_window).max().unwrap_or(0)
}

fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

fn arrivals_since(world: &World, since: Mono) -> f64 {
    world.arrival_times("s0-0").iter().filter(|at| **at >= since).count() as f64
}

/// The rate holds over all entries together, however the callers are spread over the entries and
/// whatever happens to the reports. Once it is the only copy left, the rate is used.
#[yare::parameterized(
    even = { 6, 0.0, NO_FAULTS },
    uneven = { 6, 0.4, NO_FAULTS },
    one_entry = { 6, 1.0, NO_FAULTS },
    many_entries = { 18, 0.4, NO_FAULTS },
    reports_lost = { 6, 0.4, ReportFaults { lost: 0.3, late: 0.0, doubled: 0.0 } },
    reports_late = { 6, 0.4, ReportFaults { lost: 0.1, late: 0.5, doubled: 0.5 } },
)]
fn shared_rate(entries: usize, part: f64, faults: ReportFaults) {
    for seed in 0..4 {
        let mut world = start(entries, seed, part, RATE, faults);
        let binds_at = world.now + NOTICE_TIME;
        offer_load(&mut world, 24);
        world.run(12 * SECOND);
        world.set_server_fault("s0-1", Fault::Refused);
        let needed_at = world.now;
        world.run(12 * SECOND);
        let most = most_in_window(&world, binds_at);
        assert!(most as f64 <= allowed(RATE), "seed {seed}: {most} in a window");
        let used = arrivals_since(&world, needed_at) / (12.0 * RATE);
        assert!(used >= 0.8, "seed {seed}: {used:.2} of the rate is used");
    }
}

/// Without any report, equal parts keep the sum within the rate.
#[test]
fn no_reports() {
    let lost = ReportFaults { lost: 1.0, ..NO_FAULTS };
    for seed in 0..4 {
        let mut world = start(6, seed, 0.4, RATE, lost);
        let binds_at = world.now + NOTICE_TIME;
        offer_load(&mut world, 16);
        world.run(16 * SECOND);
        let most = most_in_window(&world, binds_at);
        assert!(most as f64 <= allowed(RATE), "seed {seed}: {most} in a window");
    }
}

/// Entries that have just started learn the rate from their controllers.
#[test]
fn restarted_entries() {
    for seed in 0..4 {
        let mut world = start(6, seed, 0.4, RATE, NO_FAULTS);
        let binds_at = world.now + NOTICE_TIME;
        offer_load(&mut world, 20);
        world.run(8 * SECOND);
        world.restart_entries(Duration::from_millis(300));
        world.run(12 * SECOND);
        let most = most_in_window(&world, binds_at);
        assert!(most as f64 <= allowed(RATE), "seed {seed}: {most} in a window");
    }
}

/// The entry with most of the callers stands still for some seconds; what it was allowed to send then
/// has run out when it goes on.
#[test]
fn paused_entry() {
    for seed in 0..4 {
        let mut world = start(6, seed, 0.4, RATE, NO_FAULTS);
        let binds_at = world.now + NOTICE_TIME;
        offer_load(&mut world, 20);
        world.run(8 * SECOND);
        world.entry_faults[0] = EntryFault::Frozen;
        world.run(4 * SECOND);
        world.entry_faults[0] = EntryFault::None;
        world.run(8 * SECOND);
        let most = most_in_window(&world, binds_at);
        assert!(most as f64 <= allowed(RATE), "seed {seed}: {most} in a window");
    }
}

/// All copies of a service state a rate: callers get a refusal at once that says when to return.
#[test]
fn refused_at_once() {
    let site = Site { entries: 6, copies: 2, slots: 2, ..FURNACE };
    let mut world = site.start(711);
    world.report_demand();
    world.report_rates(NO_FAULTS);
    common::run_searches(&mut world, 1.0, 2 * SECOND);
    for shard in 0..SHARDS {
        for copy in 0..site.copies {
            world.set_rate(&format!("s{shard}-{copy}"), Some(2.0));
        }
    }
    offer_load(&mut world, 12);
    world.run(4 * SECOND);
    let binds_at = world.now;
    world.ended.clear();
    world.run(7 * SECOND);
    let refusals = world.ended.iter().filter_map(|e| match e.completion {
        Completion::Refuse(refusal) => Some((refusal, e.latency)),
        _ => None,
    });
    let refusals: Vec<_> = refusals.collect();
    assert!(refusals.len() * 2 > world.ended.len(), "most requests cannot be served");
    let at_once = refusals.iter().filter(|(_, latency)| *latency < Duration::from_millis(60));
    let at_once = at_once.count() as f64 / refusals.len() as f64;
    assert!(at_once >= 0.95, "{at_once:.2} of the refusals came at once");
    let truthful = |kind| {
        matches!(kind, RefusalKind::Overloaded | RefusalKind::NoServer | RefusalKind::Failed)
    };
    assert!(refusals.iter().all(|(r, _)| truthful(r.kind)));
    let most = most_in_window(&world, binds_at);
    assert!(most as f64 <= allowed(2.0), "{most} in a window");
}

/// A server that states that it accepts nothing still gets a request now and then, from which the
/// entries learn that it has recovered.
#[test]
fn zero_rate() {
    let mut world = start(6, 3, 0.4, 0.0, NO_FAULTS);
    let binds_at = world.now + NOTICE_TIME;
    offer_load(&mut world, 60);
    world.run(20 * SECOND);
    let most = most_in_window(&world, binds_at);
    assert!(most as f64 <= allowed(0.0), "{most} in a window");
    world.set_rate("s0-0", None);
    world.run(30 * SECOND);
    let since = world.now;
    world.run(8 * SECOND);
    let rate = arrivals_since(&world, since) / 8.0;
    assert!(rate > RATE, "{rate:.1} requests a second");
}

/// A server that states no rate any more gets its usual part again.
#[test]
fn withdrawn_rate() {
    let mut world = start(6, 2, 0.4, RATE, NO_FAULTS);
    offer_load(&mut world, 16);
    world.run(8 * SECOND);
    world.set_rate("s0-0", None);
    world.run(3 * SECOND);
    let since = world.now;
    world.run(5 * SECOND);
    let rate = arrivals_since(&world, since) / 5.0;
    assert!(rate > 2.0 * RATE, "{rate:.1} requests a second");
}
