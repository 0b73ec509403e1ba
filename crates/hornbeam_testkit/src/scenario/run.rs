//! Simulates instances, servers and voters and checks the expectations of a scenario.
//!
//! Each instance has an engine and membership in a [`World`] and a voter or follower in a
//! [`ControlCluster`]. Both advance in step, and a cut, a crash or a restart applies to both.

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

/// Time by which the world and the control cluster advance in turn.
const STEP: Duration = Duration::from_millis(1);
/// Number of instances with a voter.
const VOTERS: usize = 3;
/// Number of last events in the timeline of a failed scenario.
const TIMELINE_EVENTS: usize = 40;

/// Result of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Violated invariants and expectations; empty if the scenario passed.
    pub failures: Vec<String>,
    /// Last events of all instances in order of time; empty if the scenario passed.
    pub timeline: String,
    /// Number of queries sent, without non-idempotent requests.
    pub asked: usize,
}

struct Runner {
    layout: Layout,
    world: World,
    cluster: ControlCluster,
    rng: SmallRng,
    began: Mono,
    changes: u64,
    /// Numbers of the queries sent, in order.
    asked: Vec<u64>,
    failures: Vec<String>,
    /// Numbers of violations of the world and of the cluster that are already in `failures`.
    reported: (usize, usize),
}

/// Runs a scenario from its start to its end.
pub fn run(scenario: &Scenario) -> Outcome {
    let Some(mut layout) = Layout::named(&scenario.layout) else {
        let failures = vec![format!("layout {:?} does not exist", scenario.layout)];
        return Outcome { failures, ..Outcome::default() };
    };
    if let Some(patience) = scenario.patience {
        layout = layout.with_patience(patience.as_millis() as u64);
    }
    let mut runner = Runner::new(layout, scenario.seed);
    runner.synchronize();
    runner.run_actions(scenario);
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

    /// Waits for a leader, creates the service and runs until every instance knows every server.
    fn synchronize(&mut self) {
        if !self.cluster.settle(Duration::from_secs(5)) {
            self.failures.push("no leader was elected at the start".to_owned());
        }
        let change = Change::PutService {
            name: self.layout.service.parse().expect("a valid service name"),
            service: self.layout.settings.clone(),
        };
        self.submit(change);
        self.cluster.run_for(Duration::from_secs(1));
        self.world.run_for(INITIAL_SYNC_TIME);
        self.deliver_configs();
        self.began = self.world.now;
    }

    fn submit(&mut self, change: Change) {
        let Some(leader) = self.cluster.leader() else { return };
        self.changes += 1;
        let expect = self.cluster.committed_revision();
        self.cluster.submit_change(leader, &format!("s{}", self.changes), expect, change);
    }

    fn deliver_configs(&mut self) {
        for (i, config) in std::mem::take(&mut self.cluster.came_into_force) {
            self.world.configure_one(i, &config);
        }
    }

    fn run_actions(&mut self, scenario: &Scenario) {
        let mut actions = scenario.actions.iter().peekable();
        let steps = (scenario.until.as_micros() / STEP.as_micros()) as u32;
        for step in 0..steps {
            let at = STEP * step;
            while let Some((_, action)) = actions.next_if(|(when, _)| *when <= at) {
                self.apply(action);
            }
            self.send_request(scenario.rate, false);
            self.send_request(scenario.writes, true);
            self.cluster.run_for(STEP);
            self.world.run_for(STEP);
            self.deliver_configs();
            self.collect_violations(at);
        }
        // Gives the pending queries time to get their outcomes.
        self.world.run_for(Duration::from_secs(3));
        self.world.check_outcomes();
        self.cluster.check_logs();
        self.collect_violations(scenario.until);
    }

    /// Sends a request with the probability that makes `rate` requests per second on average.
    fn send_request(&mut self, rate: f64, write: bool) {
        if rate <= 0.0 || !self.rng.random_bool((rate * STEP.as_secs_f64()).min(1.0)) {
            return;
        }
        // A load balancer sends only to healthy instances, which are up and have a configuration.
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

    fn collect_violations(&mut self, at: Duration) {
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
            self.failures.push(format!("server {name:?} does not exist"));
        }
        pos
    }

    fn instance(&mut self, name: &str) -> Option<usize> {
        let pos = self.world.instances.iter().position(|i| i.name.as_str() == name);
        if pos.is_none() {
            self.failures.push(format!("instance {name:?} does not exist"));
        }
        pos
    }

    fn apply(&mut self, action: &Action) {
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
            _ => self.apply_to_server(action),
        }
    }

    fn apply_to_server(&mut self, action: &Action) {
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
            Action::ServerDrains(name, announce) => {
                if let Some(pos) = self.server(name) {
                    self.world.drain_server(pos, *announce);
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

    /// Submits one change of the same revision through every voter.
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

    /// Returns the instance of this name, or the instances of the zone of this name.
    fn instances_of(&self, name: &str) -> Vec<usize> {
        let within = |i: &usize| {
            let x = &self.world.instances[*i];
            x.name.as_str() == name || x.zone.as_str() == name
        };
        (0..self.world.instances.len()).filter(within).collect()
    }

    fn cut(&mut self, a: &str, b: &str) {
        self.world.cut(a, b);
        let (a, b) = (self.instances_of(a), self.instances_of(b));
        self.cluster.split(&a, &b);
    }

    fn cut_from_others(&mut self, name: &str) {
        let zones: Vec<&str> = self.layout.zones.clone();
        if zones.contains(&name) {
            for other in zones.into_iter().filter(|z| *z != name) {
                self.cut(name, other);
            }
            return;
        }
        let others: Vec<String> = self.world.instances.iter().map(|i| i.name.to_string()).collect();
        for other in others.iter().filter(|o| *o != name) {
            self.cut(name, other);
        }
    }

    fn load_index(&mut self, version: u64, shards: Option<u32>) {
        for pos in 0..self.world.servers.len() {
            let indexes = &mut self.world.servers[pos].announced.indexes;
            let Some(old) = indexes.first().cloned() else { continue };
            let count = shards.unwrap_or(old.shard_count);
            // A server that held old shard `s % old.shard_count` holds new shard `s`, and so the
            // same share of the index as before.
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
        let timeline = if self.failures.is_empty() { String::new() } else { self.timeline() };
        Outcome { failures: self.failures, timeline, asked }
    }

    /// Returns the queries sent in a period, without those lost in a crash.
    fn queries_sent(&self, from: Duration, to: Duration) -> Vec<&SentRequest> {
        let (from, to) = (self.began + from, self.began + to);
        let all = self.asked.iter().map(|n| self.world.asked(*n));
        all.filter(|a| a.at >= from && a.at < to && a.outcome != QueryOutcome::Lost).collect()
    }

    /// Returns why an expectation is not met, or `None` if it is.
    fn unmet(&self, from: Duration, to: Duration, expect: &Expect) -> Option<String> {
        let period = self.queries_sent(from, to);
        let answered =
            period.iter().filter(|a| matches!(a.outcome, QueryOutcome::Answered { .. })).count();
        match expect {
            Expect::CoverageFull => {
                let incomplete = period.iter().find(|a| !a.is_complete())?;
                Some(format!("sent at {}: {:?}", incomplete.at, incomplete.outcome))
            }
            Expect::CoverageAtLeast(percent) => {
                let (mut covered, mut total) = (0u64, 0u64);
                for asked in &period {
                    if let QueryOutcome::Answered { coverage, .. } = &asked.outcome {
                        covered += u64::from(coverage.covered.count());
                        total += u64::from(coverage.shards_total);
                    }
                }
                let met = total > 0 && covered * 100 >= total * u64::from(*percent);
                (!met).then(|| format!("{covered} of {total} shards are covered"))
            }
            Expect::P99AtMost(limit) => {
                let mut times: Vec<Duration> = period.iter().filter_map(|a| a.took()).collect();
                times.sort_unstable();
                let rank = (times.len() * 99).div_ceil(100);
                let p99 = times.get(rank.saturating_sub(1)).copied().unwrap_or_default();
                (p99 > *limit).then(|| format!("p99 is {p99:?}"))
            }
            Expect::NoneRefused => {
                let refused =
                    period.iter().find(|a| matches!(a.outcome, QueryOutcome::Refused { .. }))?;
                Some(format!("sent at {}: {:?}", refused.at, refused.outcome))
            }
            Expect::SomeAnswered => {
                (answered == 0).then(|| format!("none of {} queries is answered", period.len()))
            }
            Expect::RevisionAtLeast(least) => self.below_revision(Revision(*least)),
        }
    }

    fn below_revision(&self, least: Revision) -> Option<String> {
        let up = (0..self.cluster.nodes.len()).filter(|i| self.cluster.is_up(*i));
        let mut behind = up.filter(|i| self.cluster.revision(*i) < Some(least));
        let i = behind.next()?;
        let leading =
            (0..VOTERS).filter(|v| self.cluster.raft(*v).is_some_and(|r| r.role() == Role::Leader));
        let leaders: Vec<usize> = leading.collect();
        let name = &self.world.instances[i].name;
        Some(format!("{name} serves {:?}; leaders {leaders:?}", self.cluster.revision(i)))
    }

    fn timeline(&self) -> String {
        let mut records = Vec::new();
        let mut record =
            |at: Mono, name: &hornbeam_model::InstanceId, event: &hornbeam_events::Event| {
                let mut journal = Journal::new(name.clone(), 1);
                let at = HybridClock::default().tick(at.0);
                records.push(journal.push(at, event.clone()).clone());
            };
        for (at, name, event) in &self.world.events {
            record(*at, name, event);
        }
        for (at, name, event) in &self.cluster.events {
            record(*at, name, event);
        }
        let merged = timeline::merge(records);
        let skip = merged.len().saturating_sub(TIMELINE_EVENTS);
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
