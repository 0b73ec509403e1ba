//! Runs random scenarios of failing servers, instances, zones and indexes, from fixed seeds, and
//! checks that the invariants hold and that every query gets an outcome.

use std::time::Duration;

use hornbeam_testkit::layouts::Layout;
use hornbeam_testkit::scenario::{self, Action, Fault, Scenario};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Number of random scenarios.
const SCENARIOS: u64 = 400;
/// Threads that run the scenarios.
const THREADS: u64 = 6;
/// Length of each scenario.
const LENGTH: Duration = Duration::from_secs(8);
/// Number of actions in each scenario.
const ACTIONS: u32 = 14;

fn server_names(layout: &str) -> Vec<String> {
    if layout == "small" {
        let zones = ["olomouc", "prerov"];
        return zones.iter().flat_map(|z| (0..6).map(move |n| format!("{z}-s{n}"))).collect();
    }
    (0..20).flat_map(|s| (0..2).map(move |r| format!("s{s}-{r}"))).collect()
}

fn random_action(rng: &mut SmallRng, layout: &str, zones: &[&str], step: u32) -> Action {
    let servers = server_names(layout);
    let server = servers.choose(rng).cloned().unwrap_or_default();
    let zone = zones.choose(rng).copied().unwrap_or_default().to_owned();
    let other = zones.choose(rng).copied().unwrap_or_default().to_owned();
    let instance = format!("{zone}-{}", rng.random_range(1..=2));
    let faults = [Fault::Sheds, Fault::Hangs, Fault::Breaks, Fault::Misversions, Fault::Recovers];
    match rng.random_range(0..19) {
        0 => Action::Cut(zone, other),
        1 => Action::CutFromOthers(instance),
        2 | 3 => Action::Heal,
        4 => Action::ServerDies(server),
        5 => Action::ServerReturns(server),
        6 => Action::ServerDrains(server, rng.random()),
        7 => Action::ServerDelays(server, Duration::from_millis(rng.random_range(0..600))),
        8 | 9 => Action::ServerFault(server, *faults.choose(rng).unwrap_or(&Fault::Recovers)),
        10 => Action::ServersDelay(Duration::from_millis(rng.random_range(0..100))),
        11 => Action::ServersStraggle(rng.random_range(0..10)),
        12 => Action::InstanceDies(instance),
        13 => Action::InstanceReturns(instance),
        14 => Action::LeaderDies,
        15 => Action::IndexLoads(8 + u64::from(step), [None, Some(48)][rng.random_range(0..2)]),
        16 => Action::IndexRetires(rng.random_range(7..9 + u64::from(step))),
        17 => Action::Change(rng.random_range(200..2_000)),
        _ => Action::Race,
    }
}

fn random_scenario(seed: u64) -> Scenario {
    let mut rng = SmallRng::seed_from_u64(seed);
    let layout = *["small", "mowing-planner", "order-drafter"].choose(&mut rng).unwrap_or(&"small");
    let zones = Layout::named(layout).map(|l| l.zones).unwrap_or_default();
    let mut actions: Vec<(Duration, Action)> = (0..ACTIONS)
        .map(|step| {
            let at = LENGTH * rng.random_range(0..100) / 100;
            (at, random_action(&mut rng, layout, &zones, step))
        })
        .collect();
    actions.sort_by_key(|(at, _)| *at);
    Scenario {
        layout: layout.to_owned(),
        seed,
        patience: Some(Duration::from_millis(rng.random_range(100..1_500))),
        rate: rng.random_range(5.0..60.0),
        writes: rng.random_range(0.0..20.0),
        until: LENGTH,
        actions,
        expects: Vec::new(),
    }
}

#[test]
fn invariants_hold() {
    let run_share = |thread: u64| {
        let mut failed = Vec::new();
        let mut asked = 0;
        for seed in (thread..SCENARIOS).step_by(THREADS as usize) {
            let scenario = random_scenario(seed);
            let outcome = scenario::run(&scenario);
            asked += outcome.asked;
            if !outcome.failures.is_empty() {
                let first: Vec<&String> = outcome.failures.iter().take(3).collect();
                failed.push(format!("seed {seed}: {first:#?} after {:?}", scenario.actions));
            }
        }
        (failed, asked)
    };
    let threads: Vec<_> = (0..THREADS).map(|t| std::thread::spawn(move || run_share(t))).collect();
    let mut failed = Vec::new();
    let mut asked = 0;
    for thread in threads {
        let (found, count) = thread.join().unwrap();
        failed.extend(found);
        asked += count;
    }
    assert!(asked > 10_000, "only {asked} queries were sent");
    let shown = failed.iter().take(3).cloned().collect::<Vec<_>>().join("\n");
    assert!(failed.is_empty(), "{} of {SCENARIOS} scenarios failed:\n{shown}", failed.len());
}
