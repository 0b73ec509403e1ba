//! Benchmarks with bounds, in virtual time and counted units, so results do not depend on the
//! machine.
//!
//! Prints a table of measure, baseline, bound and verdict, writes it as JSON and draws two plots.
//! Exits with 1 if a bound is violated. The bounds are the required targets of the project.

use std::fmt::Write;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use hornbeam_control::{ProposalOutcome, Role};
use hornbeam_model::{Prefer, Revision};
use hornbeam_protocol::control::ChangeOutcome;
use hornbeam_query::HedgePolicy;
use hornbeam_testkit::control::ControlCluster;
use hornbeam_testkit::layouts::{self, Layout};
use hornbeam_testkit::world::check::QuerySums;
use hornbeam_testkit::world::{Policy, World};
use plotters::prelude::*;
use serde::Serialize;

const SECOND: Duration = Duration::from_secs(1);
/// Share of stragglers in hundredths of a percent, and the factor by which they take longer.
const STRAGGLERS: (u32, u32) = (100, 20);
/// Folder of the results, relative to the root of the repository.
const OUTPUT_DIR: &str = "bench-out";

/// One row of the table and of the JSON file.
#[derive(Debug, Serialize)]
struct Row {
    measure: String,
    value: f64,
    baseline: Option<f64>,
    bound: f64,
    at_least: bool,
    holds: bool,
}

#[derive(Default)]
struct Table {
    rows: Vec<Row>,
}

impl Table {
    fn at_most(
        &mut self,
        measure: impl Into<String>,
        value: f64,
        baseline: Option<f64>,
        bound: f64,
    ) {
        let holds = value <= bound;
        let measure = measure.into();
        self.rows.push(Row { measure, value, baseline, bound, at_least: false, holds });
    }

    fn at_least(&mut self, measure: impl Into<String>, value: f64, base: Option<f64>, bound: f64) {
        let holds = value >= bound;
        let measure = measure.into();
        self.rows.push(Row { measure, value, baseline: base, bound, at_least: true, holds });
    }

    fn render(&self) -> String {
        let mut text = format!(
            "{:<66} {:>10} {:>10} {:>12}  verdict\n",
            "measure", "value", "baseline", "bound"
        );
        for l in &self.rows {
            let baseline = l.baseline.map_or("-".to_owned(), |b| format!("{b:.4}"));
            let bound = format!("{} {:.3}", if l.at_least { ">=" } else { "<=" }, l.bound);
            let verdict = if l.holds { "ok" } else { "BROKEN" };
            let _ = writeln!(
                text,
                "{:<66} {:>10.4} {:>10} {:>12}  {verdict}",
                l.measure, l.value, baseline, bound
            );
        }
        text
    }
}

const NO_HEDGE: Policy = Policy { hedge: HedgePolicy::Off, random_pick: true };
const FIXED: Policy =
    Policy { hedge: HedgePolicy::Fixed(Duration::from_millis(30)), random_pick: true };
const LEARNED: Policy = Policy { hedge: HedgePolicy::Learned, random_pick: false };

fn straggle(world: &mut World, per_10k: u32) {
    for server in &mut world.servers {
        server.straggle_per_10k = per_10k;
        server.straggle_factor = STRAGGLERS.1;
    }
}

/// Runs a steady load with stragglers and returns the totals after a warm-up of 5 s.
fn run_stragglers(layout: &Layout, policy: Policy, per_10k: u32) -> QuerySums {
    let mut world = layout.build(11, policy);
    straggle(&mut world, per_10k);
    world.load(layout.service, 25.0, 5 * SECOND, 0);
    world.sums = QuerySums::default();
    world.load(layout.service, 25.0, 60 * SECOND, 0);
    world.run_for(2 * SECOND);
    assert_eq!(world.violations, Vec::<String>::new(), "an invariant is broken");
    world.sums
}

fn ms(d: Duration) -> f64 {
    d.as_secs_f64() * 1_000.0
}

fn stragglers(table: &mut Table) {
    let all = [
        layouts::mowing_planner(),
        layouts::fertiliser_advisor(),
        layouts::order_drafter(),
        layouts::sign_schedule(),
    ];
    for layout in all {
        let name = layout.service;
        let without = run_stragglers(&layout, NO_HEDGE, STRAGGLERS.0);
        let fixed = run_stragglers(&layout, FIXED, STRAGGLERS.0);
        let learned = run_stragglers(&layout, LEARNED, STRAGGLERS.0);
        let base = ms(without.latency(0.99));
        let ratio = ms(learned.latency(0.99)) / base;
        table.at_most(
            format!("{name}: p99, 1 % stragglers, part of no hedge"),
            ratio,
            Some(1.0),
            0.5,
        );
        let fixed_ratio = ms(fixed.latency(0.99)) / base;
        let text = format!("{name}: extra attempts, 1 % stragglers (baseline: fixed delay)");
        table.at_most(text, learned.extra(), Some(fixed.extra()), 0.05);
        println!(
            "{name}: p99 {:.1} ms without hedges, {:.1} ms fixed ({fixed_ratio:.2}), {:.1} ms learned",
            base,
            ms(fixed.latency(0.99)),
            ms(learned.latency(0.99)),
        );
    }
}

fn all_slow(table: &mut Table) {
    for layout in [layouts::mowing_planner(), layouts::order_drafter()] {
        let run = |policy| {
            let mut world = layout.clone().with_patience(2_000).build(12, policy);
            world.load(layout.service, 15.0, 5 * SECOND, 0);
            for server in &mut world.servers {
                server.service_time *= 8;
            }
            world.sums = QuerySums::default();
            world.load(layout.service, 15.0, 60 * SECOND, 0);
            world.run_for(3 * SECOND);
            world.sums
        };
        let (fixed, learned) = (run(FIXED), run(LEARNED));
        let text = format!("{}: extra attempts, everything 8x slower", layout.service);
        table.at_most(text, learned.extra(), Some(fixed.extra()), 0.05);
    }
}

fn coverage(table: &mut Table) {
    let layouts = [layouts::mowing_planner(), layouts::order_drafter(), layouts::sign_schedule()];
    for layout in layouts {
        let run = |policy, prefer| {
            let mut layout = layout.clone();
            layout.settings.prefer = prefer;
            let mut world = layout.build(13, policy);
            world.load(layout.service, 20.0, 3 * SECOND, 0);
            for shard in 0..layout.shards {
                let dead = format!("s{shard}-{}", shard % 2);
                if let Some(pos) = world.server_index(&dead) {
                    world.kill_server(pos);
                }
            }
            world.sums = QuerySums::default();
            world.load(layout.service, 20.0, 20 * SECOND, 0);
            world.run_for(2 * SECOND);
            assert_eq!(world.violations, Vec::<String>::new(), "an invariant is broken");
            world.sums
        };
        let learned = run(LEARNED, layout.settings.prefer);
        let without = run(NO_HEDGE, layout.settings.prefer);
        let text = format!("{}: coverage with one live replica each", layout.service);
        table.at_least(text, learned.coverage(), Some(without.coverage()), 1.0);
    }
    for layout in [layouts::mowing_planner(), layouts::order_drafter()] {
        // Stragglers take 200 ms, which exceeds this patience.
        let run = |policy, prefer| {
            let mut layout = layout.clone().with_patience(120);
            layout.settings.prefer = prefer;
            run_stragglers(&layout, policy, 300)
        };
        let learned = run(LEARNED, Prefer::Coverage);
        let base = run(NO_HEDGE, Prefer::Coverage);
        let text = format!("{}: coverage within 120 ms, 3 % stragglers", layout.service);
        table.at_least(text, learned.coverage(), Some(base.coverage()), base.coverage());
    }
}

fn overload(table: &mut Table) {
    let goodput = |rate: f64| {
        let mut world = layouts::small().with_patience(400).build(1, LEARNED);
        world.load("planner", rate, 5 * SECOND, 0);
        world.sums = QuerySums::default();
        world.load("planner", rate, 10 * SECOND, 0);
        let complete = world.sums.complete as f64 / 10.0;
        world.run_for(SECOND);
        assert_eq!(world.violations, Vec::<String>::new(), "an invariant is broken");
        complete
    };
    let peak = [300.0, 400.0, 500.0, 600.0, 700.0].map(goodput).into_iter().fold(0.0, f64::max);
    let ratio = goodput(3.0 * peak) / peak;
    table.at_least("goodput at three times the peak load, part of the peak", ratio, Some(1.0), 0.9);
}

fn accepted(cluster: &ControlCluster, proposal: u64) -> bool {
    let decision = cluster.decision(proposal);
    matches!(decision, Some(ProposalOutcome::Change(ChangeOutcome::Accepted { .. })))
}

fn control(table: &mut Table) {
    let mut in_force = Duration::ZERO;
    let mut after_kill = Duration::ZERO;
    let mut unavailable = Duration::ZERO;
    for seed in 0..20 {
        let mut cluster = ControlCluster::new(seed, 3, 6);
        assert!(cluster.settle(5 * SECOND), "no leader");
        in_force = in_force.max(time_in_force(&mut cluster, Revision(0), false));
        after_kill = after_kill.max(time_in_force(&mut cluster, Revision(1), true));
        unavailable = unavailable.max(time_without_leader(&mut cluster));
        assert_eq!(cluster.violations, Vec::<String>::new(), "an invariant is broken");
    }
    table.at_most("change in force on 9 instances, s", in_force.as_secs_f64(), None, 2.0);
    let text = "change in force on 9 instances, leader killed on acceptance, s";
    table.at_most(text, after_kill.as_secs_f64(), None, 5.0);
    table.at_most("no changes after the leader is lost, s", unavailable.as_secs_f64(), None, 3.0);
}

/// Submits a change and returns the time from its acceptance until it is in force on every
/// instance that is up. With `kill`, the leader crashes at the acceptance.
fn time_in_force(cluster: &mut ControlCluster, expect: Revision, kill: bool) -> Duration {
    let Some(leader) = cluster.leader() else { return Duration::MAX };
    let change = cluster.submit(leader, &format!("c{}", expect.0), expect);
    while !accepted(cluster, change) {
        cluster.run_for(Duration::from_micros(100));
    }
    let began = cluster.now;
    if kill {
        cluster.crash_with_messages(leader);
    }
    let next = Revision(expect.0 + 1);
    let everywhere = |c: &ControlCluster| {
        let up = (0..c.nodes.len()).filter(|i| c.is_up(*i));
        up.into_iter().all(|i| c.revision(i) == Some(next))
    };
    if !cluster.run_until(20 * SECOND, everywhere) {
        return Duration::MAX;
    }
    let times = cluster.nodes.iter().filter_map(|n| n.in_force.get(&next));
    times.max().map_or(Duration::MAX, |at| at.since(began))
}

/// Crashes the leader and returns the time until a change is accepted again.
fn time_without_leader(cluster: &mut ControlCluster) -> Duration {
    for i in 0..3 {
        if !cluster.is_up(i) {
            cluster.start(i);
        }
    }
    cluster.settle(5 * SECOND);
    let Some(leader) = cluster.leader() else { return Duration::MAX };
    cluster.crash(leader);
    let began = cluster.now;
    for n in 0.. {
        cluster.run_for(Duration::from_millis(10));
        let leads = |i: &usize| cluster.raft(*i).is_some_and(|r| r.role() == Role::Leader);
        let Some(next) = (0..3).find(leads) else { continue };
        let change = cluster.submit(next, &format!("again-{n}"), Revision(2));
        cluster.run_for(Duration::from_millis(10));
        if accepted(cluster, change) || n > 2_000 {
            break;
        }
    }
    cluster.now.since(began)
}

type PlotResult = Result<(), Box<dyn std::error::Error>>;

/// Plots the latency by quantile, with and without hedging.
fn plot_latency(path: &Path) -> PlotResult {
    let layout = layouts::mowing_planner();
    let runs =
        [("no hedge", NO_HEDGE, RED), ("fixed delay", FIXED, BLUE), ("learned", LEARNED, BLACK)];
    let root = SVGBackend::new(path, (720, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.5f64..1.0, 0.0f64..300.0)?;
    chart.configure_mesh().x_desc("quantile").y_desc("ms").draw()?;
    for (name, policy, color) in runs {
        let sums = run_stragglers(&layout, policy, STRAGGLERS.0);
        let points = (50..=100).map(|q| f64::from(q) / 100.0);
        let line = points.map(|q| (q, ms(sums.latency(q))));
        chart
            .draw_series(LineSeries::new(line, &color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// Plots the extra requests by share of stragglers.
fn plot_extra(path: &Path) -> PlotResult {
    let layout = layouts::mowing_planner();
    let root = SVGBackend::new(path, (720, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0f64..10.0, 0.0f64..15.0)?;
    chart.configure_mesh().x_desc("stragglers, %").y_desc("extra attempts, %").draw()?;
    for (name, policy, color) in [("fixed delay", FIXED, BLUE), ("learned", LEARNED, BLACK)] {
        let shares = [0, 50, 100, 200, 400, 700, 1_000];
        let line = shares
            .map(|s| (f64::from(s) / 100.0, run_stragglers(&layout, policy, s).extra() * 100.0));
        chart
            .draw_series(LineSeries::new(line, &color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn main() -> ExitCode {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let out = root.join(OUTPUT_DIR);
    let mut table = Table::default();
    stragglers(&mut table);
    all_slow(&mut table);
    coverage(&mut table);
    overload(&mut table);
    control(&mut table);
    println!("\n{}", table.render());
    let written = std::fs::create_dir_all(&out).and_then(|()| {
        let json = serde_json::to_vec_pretty(&table.rows).unwrap_or_default();
        std::fs::write(out.join("bounds.json"), json)
    });
    let plots =
        plot_latency(&out.join("latency.svg")).and_then(|()| plot_extra(&out.join("extra.svg")));
    if let Err(e) = written {
        eprintln!("{}: cannot write the table: {e}", out.display());
        return ExitCode::FAILURE;
    }
    if let Err(e) = plots {
        eprintln!("{}: cannot draw the plots: {e}", out.display());
        return ExitCode::FAILURE;
    }
    let broken = table.rows.iter().filter(|l| !l.holds).count();
    println!("bounds: {} hold, {broken} broken", table.rows.len() - broken);
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
