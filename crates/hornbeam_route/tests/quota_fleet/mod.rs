//! Entries and controllers that exchange the use of quotas, in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_discovery::TeamUsages;
use hornbeam_discovery::team_usage::ENTRY_SILENCE;
use hornbeam_model::team_usage::usage_interval;
use hornbeam_model::{
    FleetUsage, Incarnation, InstanceId, Mono, RequestRate, Team, TeamId, TeamUsage, TrafficPolicy,
    UsageReport,
};
use hornbeam_route::{QuotaBounds, Quotas};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STEP: Duration = Duration::from_millis(10);
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Silence after which a feed is closed.
const FEED_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which a controller counts an entry that it no longer hears.
const LEASE: Duration = Duration::from_secs(15);

pub struct Entry {
    name: InstanceId,
    incarnation: u64,
    quotas: Quotas,
    /// Latest report on each team.
    latest: BTreeMap<TeamId, TeamUsage>,
    next_report: Mono,
    pub frozen_until: Mono,
}

pub struct Controller {
    name: InstanceId,
    usages: TeamUsages,
    next_summary: Mono,
    summarized_at: Mono,
    pub frozen_until: Mono,
    /// When each entry was last heard; `None` once its feed was closed.
    heard: Vec<(Mono, bool)>,
}

enum Message {
    Up { entry: usize, controller: usize, report: UsageReport },
    Down { entry: usize, controller: usize, usage: FleetUsage },
}

/// Requests that callers send: rate per second, team, and the entries that they reach.
pub struct Load {
    pub team: usize,
    pub rate: f64,
    pub entries: std::ops::Range<usize>,
}

pub struct Fleet {
    pub now: Mono,
    pub entries: Vec<Entry>,
    pub controllers: Vec<Controller>,
    policy: Arc<TrafficPolicy>,
    /// One-way delay of each message at most.
    pub delay: Duration,
    /// Share of the messages that arrive twice.
    pub doubled: f64,
    /// Returns true if an entry and a controller reach each other.
    pub linked: fn(usize, usize) -> bool,
    messages: BTreeMap<(Mono, u64), Message>,
    next_message: u64,
    pub admitted: Vec<(Mono, usize)>,
    pub refused: Vec<(Mono, usize, Duration)>,
    rng: SmallRng,
}

pub fn team(number: usize) -> TeamId {
    format!("team{number}").parse().unwrap()
}

fn policy(quotas: &[(f64, u32)]) -> Arc<TrafficPolicy> {
    let mut policy = TrafficPolicy::default();
    for (i, (rate, burst)) in quotas.iter().enumerate() {
        let rate = RequestRate::from_per_second(*rate).unwrap();
        policy.teams.insert(team(i), Team { rate, burst: *burst, ..Team::default() });
    }
    Arc::new(policy)
}

impl Fleet {
    /// A fleet that has run without requests for 20 s.
    pub fn new(entries: usize, controllers: usize, quotas: &[(f64, u32)], seed: u64) -> Self {
        let mut fleet = Self {
            now: Mono::from_millis(1_000),
            entries: Vec::new(),
            controllers: Vec::new(),
            policy: policy(quotas),
            delay: Duration::from_millis(5),
            doubled: 0.0,
            linked: |_, _| true,
            messages: BTreeMap::new(),
            next_message: 0,
            admitted: Vec::new(),
            refused: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        for i in 0..entries {
            let entry = fleet.start_entry(i, 1);
            fleet.entries.push(entry);
        }
        for i in 0..controllers {
            fleet.controllers.push(Controller {
                name: format!("c{i}").parse().unwrap(),
                usages: TeamUsages::new(fleet.now),
                next_summary: fleet.now,
                summarized_at: fleet.now,
                frozen_until: Mono::default(),
                heard: vec![(Mono::default(), false); entries],
            });
        }
        fleet.run(Duration::from_secs(20), &[]);
        fleet
    }

    fn start_entry(&mut self, number: usize, incarnation: u64) -> Entry {
        let mut quotas = Quotas::new(QuotaBounds::default());
        quotas.set_policy(self.now, &self.policy);
        Entry {
            name: format!("e{number}").parse().unwrap(),
            incarnation,
            quotas,
            latest: BTreeMap::new(),
            next_report: self.now + self.rng.random_range(Duration::ZERO..HEARTBEAT),
            frozen_until: Mono::default(),
        }
    }

    pub fn restart(&mut self, number: usize) {
        let incarnation = self.entries[number].incarnation + 1;
        for controller in &mut self.controllers {
            controller.heard[number].1 = false;
            controller.usages.close(self.now, &self.entries[number].name);
        }
        self.entries[number] = self.start_entry(number, incarnation);
    }

    pub fn set_quotas(&mut self, quotas: &[(f64, u32)]) {
        self.policy = policy(quotas);
        for entry in &mut self.entries {
            entry.quotas.set_policy(self.now, &self.policy);
        }
    }

    pub fn run(&mut self, time: Duration, loads: &[Load]) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            self.report();
            self.summarize();
            for load in loads {
                self.send_requests(load);
            }
        }
    }

    fn send_requests(&mut self, load: &Load) {
        let mut expected = load.rate * STEP.as_secs_f64();
        while expected > 0.0 && self.rng.random_bool(expected.min(1.0)) {
            expected -= 1.0;
            let entry = self.rng.random_range(load.entries.clone());
            if self.now < self.entries[entry].frozen_until {
                continue;
            }
            let count = self.entries.len() as u32;
            let quotas = &mut self.entries[entry].quotas;
            quotas.observe(self.now);
            match quotas.admit(self.now, &team(load.team), count, &mut self.rng) {
                Ok(()) => self.admitted.push((self.now, load.team)),
                Err(over) => self.refused.push((self.now, load.team, over.wait)),
            }
        }
    }

    fn send(&mut self, message: impl Fn() -> Message) {
        let copies = if self.rng.random_bool(self.doubled) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.rng.random_range(self.delay / 2..=self.delay);
            self.next_message += 1;
            self.messages.insert((self.now + delay, self.next_message), message());
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.messages.first_entry() {
            if first.key().0 > self.now {
                break;
            }
            let now = self.now;
            match first.remove() {
                Message::Up { entry, controller, report } => {
                    let frozen_until = self.controllers[controller].frozen_until;
                    if now < frozen_until {
                        // The message is read once the controller runs again.
                        self.next_message += 1;
                        let message = Message::Up { entry, controller, report };
                        self.messages.insert((frozen_until, self.next_message), message);
                        continue;
                    }
                    let controller = &mut self.controllers[controller];
                    controller.usages.record(now, &self.entries[entry].name, report);
                }
                Message::Down { entry, controller, usage } => {
                    let entry = &mut self.entries[entry];
                    if now < entry.frozen_until {
                        continue;
                    }
                    entry.quotas.observe(now);
                    let name = self.controllers[controller].name.clone();
                    entry.quotas.record_report(now, name, usage);
                }
            }
        }
    }

    fn report(&mut self) {
        let (now, count) = (self.now, self.entries.len() as u32);
        for i in 0..self.entries.len() {
            let entry = &mut self.entries[i];
            if now < entry.next_report || now < entry.frozen_until {
                continue;
            }
            entry.quotas.observe(now);
            entry.next_report = now + entry.quotas.report_interval(count);
            let teams = entry.quotas.take_report(now, count);
            entry.latest.extend(teams.iter().map(|t| (t.team.clone(), t.clone())));
            let all: Vec<TeamUsage> = entry.latest.values().cloned().collect();
            let incarnation = Incarnation(entry.incarnation);
            for c in 0..self.controllers.len() {
                if !(self.linked)(i, c) {
                    continue;
                }
                let (heard, open) = self.controllers[c].heard[i];
                self.controllers[c].heard[i] = (now, true);
                if !open && heard > Mono::default() {
                    let name = &self.entries[i].name;
                    self.controllers[c].usages.open(now, name);
                }
                let teams = if open { teams.clone() } else { all.clone() };
                let report = UsageReport { incarnation, is_baseline: !open, teams };
                if !report.teams.is_empty() {
                    self.send(|| Message::Up { entry: i, controller: c, report: report.clone() });
                }
            }
        }
    }

    fn summarize(&mut self) {
        let now = self.now;
        for c in 0..self.controllers.len() {
            let interval = usage_interval(self.entries.len() as u32);
            let controller = &mut self.controllers[c];
            if now < controller.frozen_until {
                continue;
            }
            let pressing = controller.usages.is_pressing();
            let due = now >= controller.next_summary
                || (pressing && now.since(controller.summarized_at) >= interval);
            if !due {
                continue;
            }
            for (i, (heard, open)) in controller.heard.iter_mut().enumerate() {
                if *open && now.since(*heard) >= FEED_TIMEOUT {
                    *open = false;
                    controller.usages.close(now, &self.entries[i].name);
                }
            }
            let within = |limit: Duration| {
                let heard = controller.heard.iter();
                heard.filter(|(at, _)| at.0 > 0 && now.since(*at) < limit).count() as u32
            };
            let (heard, known) = (within(ENTRY_SILENCE), within(LEASE));
            controller.usages.observe(now);
            controller.usages.set_policy(now, &self.policy);
            controller.usages.set_fleet(now, heard, known);
            controller.next_summary = now + HEARTBEAT;
            controller.summarized_at = now;
            let usage = controller.usages.summary(now);
            for entry in 0..self.entries.len() {
                if (self.linked)(entry, c) {
                    self.send(|| Message::Down { entry, controller: c, usage: usage.clone() });
                }
            }
        }
    }

    /// Largest number of admitted requests of a team in a window of 5 s that starts at `from` or later.
    pub fn most_in_window(&self, team: usize, from: Mono) -> usize {
        let times = self.admitted.iter().filter(|(at, t)| *t == team && *at >= from);
        let times: Vec<Mono> = times.map(|(at, _)| *at).collect();
        let mut most = 0;
        let mut start = 0;
        for (i, at) in times.iter().enumerate() {
            while at.since(times[start]) >= Duration::from_secs(5) {
                start += 1;
            }
            most = most.max(i + 1 - start);
        }
        most
    }

    /// Number of requests of a team that were admitted and refused from `from` on.
    pub fn counts(&self, team: usize, from: Mono) -> (usize, usize) {
        let admitted = self.admitted.iter().filter(|(at, t)| *t == team && *at >= from).count();
        let refused = self.refused.iter().filter(|(at, t, _)| *t == team && *at >= from).count();
        (admitted, refused)
    }
}
