//! Quotas of teams over all entries together.

mod quota_fleet;

use std::time::Duration;

use hornbeam_model::Mono;
use quota_fleet::{Fleet, Load};

const SECOND: Duration = Duration::from_secs(1);
/// Time of a burst.
const BURST: Duration = Duration::from_secs(6);

fn limit((rate, burst): (f64, u32)) -> usize {
    ((rate * 5.0 + f64::from(burst)) * 1.1 + 20.0) as usize
}

fn even(rate: f64, entries: usize) -> Load {
    Load { team: 0, rate, entries: 0..entries }
}

/// Checks the limit in every window from `from` on; returns the admitted and refused requests.
fn check(fleet: &Fleet, team: usize, quota: (f64, u32), from: Mono) -> (usize, usize) {
    let most = fleet.most_in_window(team, from);
    let counts = fleet.counts(team, from);
    println!("team {team}: most {most} of {}, admitted/refused {counts:?}", limit(quota));
    assert!(most <= limit(quota), "{most} in 5 s, {} allowed", limit(quota));
    counts
}

/// A team sends seven times its usual rate through 80 entries, for different quotas, delays of reports
/// and usual rates. Guards against a sum above the limit, refusals before the burst and a quota that is
/// left unused.
#[yare::parameterized(
    small = { (2.0, 4), 0.5, 5 },
    medium = { (20.0, 20), 0.5, 5 },
    large = { (120.0, 120), 0.5, 5 },
    no_burst = { (100.0, 0), 0.5, 5 },
    full = { (60.0, 60), 0.9, 5 },
    late = { (60.0, 60), 0.5, 300 },
    very_late = { (100.0, 100), 0.5, 500 },
)]
fn burst(quota: (f64, u32), usual: f64, delay_ms: u64) {
    let rate = quota.0;
    for seed in 0..3 {
        let mut fleet = Fleet::new(80, 6, &[quota], seed);
        fleet.delay = Duration::from_millis(delay_ms);
        fleet.doubled = 0.05;
        let start = fleet.now;
        fleet.run(20 * SECOND, &[even(rate * usual, 80)]);
        assert_eq!(fleet.counts(0, start).1, 0, "refused within the quota");
        let peak = fleet.now;
        fleet.run(BURST, &[even(rate * usual * 7.0, 80)]);
        let (admitted, _) = fleet.counts(0, peak);
        assert!(admitted as f64 >= 0.9 * rate * BURST.as_secs_f64(), "{admitted} admitted");
        fleet.run(10 * SECOND, &[even(rate * usual, 80)]);
        check(&fleet, 0, quota, start);
    }
}

/// All callers of a team reach one entry. Guards against an entry that uses only a part of the quota.
#[test]
fn one_entry() {
    let quota = (50.0, 50);
    let mut fleet = Fleet::new(80, 6, &[quota], 1);
    let start = fleet.now;
    let at_one = |rate| Load { team: 0, rate, entries: 7..8 };
    fleet.run(10 * SECOND, &[at_one(40.0)]);
    assert_eq!(fleet.counts(0, start).1, 0, "refused within the quota");
    let peak = fleet.now;
    fleet.run(BURST, &[at_one(300.0)]);
    let (admitted, _) = check(&fleet, 0, quota, start);
    let (in_peak, _) = fleet.counts(0, peak);
    assert!(in_peak >= 270, "{in_peak} of {admitted} admitted in the burst");
}

/// Three teams exceed their quotas simultaneously. Guards against one team's use counted for another.
#[test]
fn three_teams() {
    let quotas = [(60.0, 60), (15.0, 10), (30.0, 5), (10.0, 10)];
    let mut fleet = Fleet::new(80, 6, &quotas, 2);
    let start = fleet.now;
    let loads = |factors: [f64; 4]| -> Vec<Load> {
        let rates = quotas.iter().zip(factors).map(|((rate, _), factor)| rate * factor);
        rates.enumerate().map(|(team, rate)| Load { team, rate, entries: 0..80 }).collect()
    };
    fleet.run(10 * SECOND, &loads([0.6, 0.6, 0.6, 0.6]));
    let peak = fleet.now;
    fleet.run(BURST, &loads([4.0, 3.0, 4.2, 0.6]));
    let in_peak: Vec<usize> = (0..4).map(|t| fleet.counts(t, peak).0).collect();
    fleet.run(10 * SECOND, &loads([0.6, 0.6, 0.6, 0.6]));
    for (team, quota) in quotas.iter().enumerate() {
        let (_, refused) = check(&fleet, team, *quota, start);
        let least = quota.0 * BURST.as_secs_f64() * if team == 3 { 0.3 } else { 0.9 };
        assert!(in_peak[team] as f64 >= least, "team {team}: {}", in_peak[team]);
        assert!(team != 3 || refused == 0, "{refused} refused within the quota");
    }
}

/// 83 teams, most of which send a request in ten seconds to any entry. Guards against a quota whose parts
/// are too small for a single request.
#[yare::parameterized(
    eighty = { 80, 6 },
    many = { 2_100, 2 },
)]
fn small_teams(entries: usize, controllers: usize) {
    let quotas: Vec<(f64, u32)> = (0..83).map(|_| (0.3, 1)).collect();
    let mut fleet = Fleet::new(entries, controllers, &quotas, 3);
    let loads: Vec<Load> =
        (0..83).map(|team| Load { team, rate: 0.1, entries: 0..entries }).collect();
    fleet.run(20 * SECOND, &loads);
    assert_eq!(fleet.refused.len(), 0, "refused within the quota");
    assert!(fleet.admitted.len() > 100);
}

/// A quota is lowered far below what the team sends while its burst is in progress, and raised again.
/// Guards against credit that outlives the lowered quota, and a raised one that does not apply at once.
#[test]
fn quota_cut() {
    let mut fleet = Fleet::new(80, 6, &[(100.0, 100)], 4);
    fleet.run(10 * SECOND, &[even(50.0, 80)]);
    fleet.run(3 * SECOND, &[even(350.0, 80)]);
    fleet.set_quotas(&[(20.0, 10)]);
    let cut = fleet.now;
    fleet.run(10 * SECOND, &[even(350.0, 80)]);
    let (admitted, _) = check(&fleet, 0, (20.0, 10), cut);
    assert!(admitted >= 180, "{admitted} admitted");
    fleet.set_quotas(&[(400.0, 100)]);
    let raised = fleet.now;
    fleet.run(5 * SECOND, &[even(350.0, 80)]);
    let (admitted, refused) = fleet.counts(0, raised + SECOND);
    assert!(refused * 100 < admitted, "{refused} refused of a quota that is not used up");
}

/// All entries restart one after the other while the team exceeds its quota. Guards against credit that
/// each restart renews.
#[test]
fn restarts() {
    let quota = (60.0, 60);
    let mut fleet = Fleet::new(80, 6, &[quota], 5);
    let start = fleet.now;
    fleet.run(10 * SECOND, &[even(30.0, 80)]);
    let peak = fleet.now;
    for i in 0..80 {
        fleet.restart(i);
        fleet.run(Duration::from_millis(100), &[even(210.0, 80)]);
    }
    let (admitted, _) = fleet.counts(0, peak);
    assert!(admitted as f64 >= 0.9 * 60.0 * 8.0, "{admitted} admitted");
    check(&fleet, 0, quota, start);
}

/// An entry with a quarter of the requests is frozen for 5 s of the burst. Guards against credit that is
/// saved up during a pause, and against reports from before it.
#[test]
fn frozen_entry() {
    let quota = (60.0, 60);
    let mut fleet = Fleet::new(80, 6, &[quota], 6);
    let start = fleet.now;
    let at_one = |rate| Load { team: 0, rate, entries: 3..4 };
    fleet.run(10 * SECOND, &[even(25.0, 80), at_one(8.0)]);
    fleet.run(2 * SECOND, &[even(150.0, 80), at_one(50.0)]);
    fleet.entries[3].frozen_until = fleet.now + 5 * SECOND;
    fleet.run(5 * SECOND, &[even(150.0, 80), at_one(50.0)]);
    fleet.run(4 * SECOND, &[even(150.0, 80), at_one(50.0)]);
    check(&fleet, 0, quota, start);
}

/// Controllers are frozen for 5 s of the burst, all or some of them. Guards against counts that are read
/// late and taken for recent ones.
#[yare::parameterized(
    some = { 3, 0.9 },
    all = { 6, 0.7 },
)]
fn frozen_controllers(frozen: usize, least: f64) {
    let quota = (60.0, 60);
    let mut fleet = Fleet::new(80, 6, &[quota], 8);
    let start = fleet.now;
    fleet.run(10 * SECOND, &[even(30.0, 80)]);
    let peak = fleet.now;
    fleet.run(SECOND, &[even(210.0, 80)]);
    for controller in &mut fleet.controllers[..frozen] {
        controller.frozen_until = fleet.now + 5 * SECOND;
    }
    fleet.run(10 * SECOND, &[even(210.0, 80)]);
    let (admitted, _) = fleet.counts(0, peak);
    assert!(admitted as f64 >= least * 60.0 * 11.0, "{admitted} admitted");
    // One window after the burst.
    let quiet = fleet.now + 5 * SECOND;
    fleet.run(10 * SECOND, &[even(30.0, 80)]);
    assert_eq!(fleet.counts(0, quiet).1, 0, "refused within the quota");
    check(&fleet, 0, quota, start);
}

/// Some or all entries lose all controllers in the burst or before it. Guards against entries that use the
/// whole quota when they hear nothing of the others.
#[yare::parameterized(
    all_in_burst = { |_, _| false, 30.0, 0.7 },
    all_from_idle = { |_, _| false, 0.0, 0.7 },
    one = { |e, _| e != 5, 30.0, 0.9 },
    a_quarter = { |e, _| e >= 20, 30.0, 0.7 },
)]
fn no_controllers(linked: fn(usize, usize) -> bool, usual: f64, least: f64) {
    let quota = (60.0, 60);
    for seed in 0..3 {
        let mut fleet = Fleet::new(80, 6, &[quota], 7 + seed);
        let start = fleet.now;
        fleet.run(10 * SECOND, &[even(usual, 80)]);
        fleet.linked = linked;
        fleet.run(3 * SECOND, &[even(usual, 80)]);
        let peak = fleet.now;
        fleet.run(10 * SECOND, &[even(210.0, 80)]);
        let (admitted, _) = fleet.counts(0, peak);
        assert!(admitted as f64 >= least * 60.0 * 10.0, "{admitted} admitted");
        fleet.linked = |_, _| true;
        fleet.run(10 * SECOND, &[even(usual, 80)]);
        check(&fleet, 0, quota, start);
    }
}

/// A zone with a third of the entries and two of six controllers is cut off while the team exceeds its
/// quota on both sides. Guards against two sides that each use the whole quota.
#[yare::parameterized(
    before_burst = { 0, 5 },
    in_burst = { 2, 5 },
    late_in_burst = { 5, 5 },
    long = { 1, 12 },
)]
fn cut_zone(before_s: u32, cut_s: u32) {
    let quota = (60.0, 60);
    for seed in 0..3 {
        let mut fleet = Fleet::new(81, 6, &[quota], 10 + seed);
        let start = fleet.now;
        fleet.run(10 * SECOND, &[even(30.0, 81)]);
        let peak = fleet.now;
        fleet.run(before_s * SECOND, &[even(210.0, 81)]);
        fleet.linked = |e, c| (e < 27) == (c < 2);
        fleet.run(cut_s * SECOND, &[even(210.0, 81)]);
        fleet.linked = |_, _| true;
        fleet.run(4 * SECOND, &[even(210.0, 81)]);
        let time = f64::from(before_s + cut_s + 4);
        let (admitted, _) = fleet.counts(0, peak);
        assert!(admitted as f64 >= 0.8 * 60.0 * time, "{admitted} admitted in {time} s");
        fleet.run(10 * SECOND, &[even(30.0, 81)]);
        check(&fleet, 0, quota, start);
    }
}

/// The burst through 2,100 entries, each of which sees a request in many seconds. Guards against parts of
/// a quota that are rounded up at each entry, and reports that are too rare.
#[test]
fn many_entries() {
    let quota = (60.0, 60);
    let mut fleet = Fleet::new(2_100, 2, &[quota], 20);
    let start = fleet.now;
    fleet.run(10 * SECOND, &[even(30.0, 2_100)]);
    assert_eq!(fleet.counts(0, start).1, 0, "refused within the quota");
    let peak = fleet.now;
    fleet.run(BURST, &[even(210.0, 2_100)]);
    let (admitted, _) = fleet.counts(0, peak);
    assert!(admitted as f64 >= 0.9 * 60.0 * 6.0, "{admitted} admitted");
    check(&fleet, 0, quota, start);
}

/// A team that uses its whole quota sends 7.5 times as much, with messages of 5 ms. Guards against a sum
/// above the limit while the reports of the jump are on their way.
#[yare::parameterized(
    every_entry = { 80, (300.0, 0) },
    with_burst = { 80, (120.0, 60) },
    few_entries = { 25, (300.0, 0) },
)]
#[ignore = "exceeds the limit: see KNOWN-RED.txt"]
fn jump_from_full_use(entries: usize, quota: (f64, u32)) {
    for seed in 0..3 {
        let mut fleet = Fleet::new(entries, 6, &[quota], seed);
        fleet.delay = Duration::from_millis(5);
        let start = fleet.now;
        fleet.run(20 * SECOND, &[even(quota.0, entries)]);
        fleet.run(BURST, &[even(quota.0 * 7.5, entries)]);
        fleet.run(5 * SECOND, &[even(quota.0, entries)]);
        check(&fleet, 0, quota, start);
    }
}
