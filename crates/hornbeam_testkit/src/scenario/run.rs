//! Drives instances, servers and voters through a scenario.
//!
//! Instances have the engine and membership of a [`World`] and, side by side with the same clock, a
//! voter or follower of a [`ControlCluster`]. A cut, a crash or a restart concerns both.

use std::time::Duration;

use hornbeam_control::Role;
use hornbeam_events::{HybridClock, Journal, timeline};
use hornbeam_model::{Change, IndexVersion, Mono, Patience, Revision};
use hornbeam_query::ShardSelector;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::parse::{Action, Expect, Fault, Scenario};
use crate::control::ControlCluster;
use crate::layouts::{INITIAL_SYNC_TIME, Layout};
use crate::samples;
use crate::world::check::{QueryOutcome, SentRequest};
use crate::world::server::ServerFault;
use crate::world::{ServerIdx, World};

/// Step in which both halves advance.
const STEP: Duration = Duration::from_millis(1);
/// Voters among the instances.
const VOTERS: usize = 3;
/// Events shown of a failed scenario.
const SHOWN_EVENTS: usize = 40;

/// How a scenario went.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Broken invariants and expectations; empty if it passed.
    pub failures: Vec<String>,
    /// Time line of the events.
    pub time_line: String,
    /// Queries asked.
    pub asked: usize,
}

struct Runner {
    layout: Layout,
    world: World,
    cluster: ControlCluster,
    rng: SmallRng,
    began: Mono,
    changes: u64,
    /// Queries that were asked, in order.
    asked: Vec<u64>,
    failures: Vec<String>,
    reported: (usize, usize),
}

/// Runs a scenario.
pub fn run(scenario: &Scenario) -> Outcome {
    let Some(mut layout) = Layout::named(&scenario.layout) else {
        let failures = vec![format!("there is no layout {}", scenario.layout)];
        return Outcome { failures, ..Outcome::default() };
    };
    if let Some(patience) = scenario.patience {
        layout = layout.with_patience(patience.as_millis() as u64);
    }
    let mut runner = Runner::new(layout, scenario.seed);
    runner.settle();
    runner.play(scenario);
    runner.finish(scenario)
}

impl Runner {
    fn new(layout: Layout, seed: u64) -> Self {
        let mut world = World::new(seed, hornbeam_model::Config::default());
        world.config_at_start = false;
        layout.populate(&mut world);
        let others = layout.instances as usize - VOTERS;
        Self {
            layout,
            world,
            cluster: ControlCluster::new(seed, VOTERS, others),
            rng: SmallRng::seed_from_u64(seed),
            began: Mono::default(),
            changes: 0,
            asked: Vec::new(),
            failures: Vec::new(),
            reported: (0, 0),
        }
    }

    /// Elects a leader, creates the service and lets every instance learn of the servers.
    fn settle(&mut self) {
        if !self.cluster.settle(Duration::from_secs(5)) {
            self.failures.push("no leader at the start".to_owned());
        }
        let change = Change::PutService {
            name: self.layout.service.parse().expect("a valid service name"),
            service: self.layout.settings.clone(),
        };
        self.submit(change);
        self.cluster.run_for(Duration::from_secs(1));
        self.world.run_for(INITIAL_SYNC_TIME);
        self.pass_config();
        self.began = self.world.now;
    }

    fn submit(&mut self, change: Change) {
        let Some(leader) = self.cluster.leader() else { return };
        self.changes += 1;
        let expect = self.cluster.committed_revision();
        self.cluster.submit_change(leader, &format!("s{}", self.changes), expect, change);
    }

    fn pass_config(&mut self) {
        for (i, config) in std::mem::take(&mut self.cluster.came_into_force) {
            self.world.configure_one(i, &config);
        }
    }

    fn play(&mut self, scenario: &Scenario) {
        let mut actions = scenario.actions.iter().peekable();
        let steps = (scenario.until.as_micros() / STEP.as_micros()) as u32;
        for step in 0..steps {
            let at = STEP * step;
            while let Some((_, action)) = actions.next_if(|(when, _)| *when <= at) {
                self.act(action);
            }
            self.ask(scenario.rate, false);
            self.ask(scenario.writes, true);
            self.cluster.run_for(STEP);
            self.world.run_for(STEP);
            self.pass_config();
            self.note_violations(at);
        }
        // Queries that are out get their verdicts.
        self.world.run_for(Duration::from_secs(3));
        self.world.check_verdicts();
        self.cluster.check_logs();
        self.note_violations(scenario.until);
    }

    /// Asks with the probability that gives `rate` a second.
    fn ask(&mut self, rate: f64, write: bool) {
        if rate <= 0.0 || !self.rng.random_bool((rate * STEP.as_secs_f64()).min(1.0)) {
            return;
        }
        // A balancer sends to instances whose health is good: up and with a configuration.
        let healthy = |i: &usize| {
            let engine = self.world.instances[*i].engine.as_ref();
            engine.is_some_and(|e| e.config().is_some())
        };
        let up: Vec<usize> = (0..self.world.instances.len()).filter(healthy).collect();
        if up.is_empty() {
            return;
        }
        let i = up[self.rng.random_range(0..up.len())];
        let key = format!("meadow-{}", self.rng.random_range(0..1_000));
        let number = self.world.ask_with(i, self.layout.service, |r| {
            if write {
                r.non_idempotent = true;
                r.shards = ShardSelector::Key(key.into());
            }
        });
        if !write {
            self.asked.push(number);
        }
    }

    fn note_violations(&mut self, at: Duration) {
        let (world, cluster) = self.reported;
        for text in &self.world.violations[world..] {
            self.failures.push(format!("step at {at:?}: {text}"));
        }
        for text in &self.cluster.violations[cluster..] {
            self.failures.push(format!("step at {at:?}: control: {text}"));
        }
        self.reported = (self.world.violations.len(), self.cluster.violations.len());
    }

    fn server(&mut self, name: &str) -> Option<ServerIdx> {
        let pos = self.world.server_index(name);
        if pos.is_none() {
            self.failures.push(format!("there is no server {name}"));
        }
        pos
    }

    fn instance(&mut self, name: &str) -> Option<usize> {
        let pos = self.world.instances.iter().position(|i| i.name.as_str() == name);
        if pos.is_none() {
            self.failures.push(format!("there is no instance {name}"));
        }
        pos
    }

    fn act(&mut self, action: &Action) {
        match action {
            Action::Cut(a, b) => self.cut(a, b),
            Action::CutFromOthers(a) => self.cut_from_others(a),
            Action::Heal => {
                self.world.heal();
                self.cluster.heal();
            }
            Action::ServersDelay(time) => {
                for server in &mut self.world.servers {
                    server.extra_delay = *time;
                }
            }
            Action::ServersStraggle(percent) => {
                for server in &mut self.world.servers {
                    server.straggle_per_10k = percent * 100;
                }
            }
            Action::ZoneDies(zone) => self.for_zone(zone, World::kill_server),
            Action::ZoneReturns(zone) => self.for_zone(zone, World::restart_server),
            Action::InstanceDies(name) => {
                if let Some(i) = self.instance(name) {
                    self.kill_instance(i);
                }
            }
            Action::InstanceReturns(name) => {
                if let Some(i) = self.instance(name) {
                    self.return_instance(i);
                }
            }
            Action::InstanceReturnsEmpty(name) => {
                if let Some(i) = self.instance(name) {
                    self.cluster.wipe(i);
                    self.return_instance(i);
                }
            }
            Action::LeaderDies => {
                if let Some(i) = self.cluster.leader() {
                    self.kill_instance(i);
                }
            }
            Action::LeaderCut => {
                if let Some(i) = self.cluster.leader() {
                    let name = self.world.instances[i].name.to_string();
                    self.cut_from_others(&name);
                }
            }
            Action::IndexLoads(version, shards) => self.load_index(*version, *shards),
            Action::IndexRetires(version) => self.retire_index(*version),
            Action::Change(ms) => self.submit(self.patience_change(*ms)),
            Action::Race => self.race(),
            _ => self.act_on_server(action),
        }
    }

    fn act_on_server(&mut self, action: &Action) {
        match action {
            Action::ServerDies(name) => {
                if let Some(pos) = self.server(name) {
                    self.world.kill_server(pos);
                }
            }
            Action::ServerReturns(name) => {
                if let Some(pos) = self.server(name) {
                    self.world.restart_server(pos);
                }
            }
            Action::ServerDrains(name, tell) => {
                if let Some(pos) = self.server(name) {
                    self.world.drain_server(pos, *tell);
                }
            }
            Action::ServerDelays(name, time) => {
                if let Some(pos) = self.server(name) {
                    self.world.servers[pos].extra_delay = *time;
                }
            }
            Action::ServerFault(name, fault) => {
                if let Some(pos) = self.server(name) {
                    self.world.servers[pos].fault = server_fault(*fault);
                }
            }
            _ => {}
        }
    }

    fn patience_change(&self, ms: u64) -> Change {
        let name = self.layout.service.parse().expect("a valid service name");
        Change::SetPatience { name, patience: Patience::constant(ms) }
    }

    /// Operators with equal numbers of changes race each other through every voter.
    fn race(&mut self) {
        let expect = self.cluster.committed_revision();
        for i in 0..VOTERS {
            self.changes += 1;
            let change = self.patience_change(1_000 + i as u64);
            let id = format!("race{}", self.changes);
            self.cluster.submit_change(i, &id, expect, change);
        }
    }

    fn for_zone(&mut self, zone: &str, act: fn(&mut World, ServerIdx)) {
        for pos in 0..self.world.servers.len() {
            if self.world.servers[pos].announced.zone.as_str() == zone {
                act(&mut self.world, pos);
            }
        }
    }

    fn kill_instance(&mut self, i: usize) {
        self.cluster.crash(i);
        self.world.crash(i);
    }

    fn return_instance(&mut self, i: usize) {
        if !self.cluster.is_up(i) {
            self.cluster.start(i);
            self.world.start(i);
        }
    }

    /// Instances that are `place` or in it.
    fn members(&self, place: &str) -> Vec<usize> {
        let within = |i: &usize| {
            let x = &self.world.instances[*i];
            x.name.as_str() == place || x.zone.as_str() == place
        };
        (0..self.world.instances.len()).filter(within).collect()
    }

    fn cut(&mut self, a: &str, b: &str) {
        self.world.cut(a, b);
        let (a, b) = (self.members(a), self.members(b));
        self.cluster.split(&a, &b);
    }

    fn cut_from_others(&mut self, place: &str) {
        let zones: Vec<&str> = self.layout.zones.clone();
        if zones.contains(&place) {
            for other in zones.into_iter().filter(|z| *z != place) {
                self.cut(place, other);
            }
            return;
        }
        let others: Vec<String> = self.world.instances.iter().map(|i| i.name.to_string()).collect();
        for other in others.iter().filter(|o| *o != place) {
            self.cut(place, other);
        }
    }

    fn load_index(&mut self, version: u64, shards: Option<u32>) {
        for pos in 0..self.world.servers.len() {
            let indexes = &mut self.world.servers[pos].announced.indexes;
            let Some(old) = indexes.first().cloned() else { continue };
            let count = shards.unwrap_or(old.shard_count);
            // The same part of the whole as before, in the new number of shards.
            let held = (0..count)
                .filter(|s| old.shards.contains(hornbeam_model::ShardId(s % old.shard_count)));
            indexes.push(samples::holding(version, count, held));
            self.world.announce_now(pos);
        }
    }

    fn retire_index(&mut self, version: u64) {
        for pos in 0..self.world.servers.len() {
            let indexes = &mut self.world.servers[pos].announced.indexes;
            indexes.retain(|h| h.version != IndexVersion(version));
            self.world.announce_now(pos);
        }
    }

    fn finish(mut self, scenario: &Scenario) -> Outcome {
        for (from, to, expect) in &scenario.expects {
            if let Some(failure) = self.unmet(*from, *to, expect) {
                self.failures.push(format!("from {from:?} to {to:?}: {failure}"));
            }
        }
        let asked = self.asked.len();
        let time_line = if self.failures.is_empty() { String::new() } else { self.time_line() };
        Outcome { failures: self.failures, time_line, asked }
    }

    /// The queries asked in a span.
    fn span(&self, from: Duration, to: Duration) -> Vec<&SentRequest> {
        let (from, to) = (self.began + from, self.began + to);
        let all = self.asked.iter().map(|n| self.world.asked(*n));
        all.filter(|a| a.at >= from && a.at < to && a.outcome != QueryOutcome::Lost).collect()
    }

    /// Why an expectation is not met, if it is not.
    fn unmet(&self, from: Duration, to: Duration, expect: &Expect) -> Option<String> {
        let span = self.span(from, to);
        let answered =
            span.iter().filter(|a| matches!(a.outcome, QueryOutcome::Answered { .. })).count();
        match expect {
            Expect::CoverageFull => {
                let short = span.iter().find(|a| !a.is_complete())?;
                Some(format!("asked at {}: {:?}", short.at, short.outcome))
            }
            Expect::CoverageAtLeast(percent) => {
                let (mut covered, mut total) = (0u64, 0u64);
                for asked in &span {
                    if let QueryOutcome::Answered { coverage, .. } = &asked.outcome {
                        covered += u64::from(coverage.covered.count());
                        total += u64::from(coverage.shards_total);
                    }
                }
                let met = total > 0 && covered * 100 >= total * u64::from(*percent);
                (!met).then(|| format!("{covered} of {total} shards are covered"))
            }
            Expect::P99AtMost(limit) => {
                let mut times: Vec<Duration> = span.iter().filter_map(|a| a.took()).collect();
                times.sort_unstable();
                let rank = (times.len() * 99).div_ceil(100);
                let p99 = times.get(rank.saturating_sub(1)).copied().unwrap_or_default();
                (p99 > *limit).then(|| format!("p99 is {p99:?}"))
            }
            Expect::NoneRefused => {
                let refused =
                    span.iter().find(|a| matches!(a.outcome, QueryOutcome::Refused { .. }))?;
                Some(format!("asked at {}: {:?}", refused.at, refused.outcome))
            }
            Expect::SomeAnswered => {
                (answered == 0).then(|| format!("none of {} queries is answered", span.len()))
            }
            Expect::RevisionAtLeast(least) => self.below_revision(Revision(*least)),
        }
    }

    fn below_revision(&self, least: Revision) -> Option<String> {
        let up = (0..self.cluster.nodes.len()).filter(|i| self.cluster.is_up(*i));
        let mut behind = up.filter(|i| self.cluster.revision(*i) < Some(least));
        let i = behind.next()?;
        let leads =
            (0..VOTERS).filter(|v| self.cluster.raft(*v).is_some_and(|r| r.role() == Role::Leader));
        let leaders: Vec<usize> = leads.collect();
        let name = &self.world.instances[i].name;
        Some(format!("{name} serves {:?}; leaders {leaders:?}", self.cluster.revision(i)))
    }

    fn time_line(&self) -> String {
        let mut records = Vec::new();
        let mut note =
            |at: Mono, name: &hornbeam_model::InstanceId, event: &hornbeam_events::Event| {
                let mut journal = Journal::new(name.clone(), 1);
                let at = HybridClock::default().tick(at.0);
                records.push(journal.push(at, event.clone()).clone());
            };
        for (at, name, event) in &self.world.events {
            note(*at, name, event);
        }
        for (at, name, event) in &self.cluster.events {
            note(*at, name, event);
        }
        let merged = timeline::merge(records);
        let skip = merged.len().saturating_sub(SHOWN_EVENTS);
        timeline::render(&merged[skip..])
    }
}

fn server_fault(fault: Fault) -> ServerFault {
    match fault {
        Fault::Recovers => ServerFault::None,
        Fault::Sheds => ServerFault::Shed,
        Fault::Hangs => ServerFault::Hang,
        Fault::Breaks => ServerFault::Break,
        Fault::Misversions => ServerFault::WrongVersion,
    }
}
