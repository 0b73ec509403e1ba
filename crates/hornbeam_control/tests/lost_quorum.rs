//! Guards against voters of which no majority is left after a disk is lost while another voter is
//! being replaced.

use std::time::Duration;

use hornbeam_control::ProposalOutcome;
use hornbeam_testkit::control::ControlCluster;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SECOND: Duration = Duration::from_secs(1);
/// Time within which changes are decided again once all instances are up.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Four controllers of which three vote, and the changes that operators send to them.
struct Changes {
    cluster: ControlCluster,
    /// Instances that are not gone for good.
    machines: Vec<usize>,
    /// Instance that replaces the next one that is gone for good.
    next_machine: usize,
    version: u64,
    pending: Vec<(u64, u64)>,
    /// Highest version that was acknowledged.
    acknowledged: u64,
}

impl Changes {
    fn new(seed: u64) -> Self {
        let cluster = ControlCluster::with_repair(seed, 8, 4);
        let machines = (0..4).collect();
        let pending = Vec::new();
        Self { cluster, machines, next_machine: 4, version: 0, pending, acknowledged: 0 }
    }

    /// Sends a change and advances time.
    fn send(&mut self, time: Duration) {
        if let Some(leader) = self.cluster.leader() {
            self.version += 1;
            let number = self.cluster.submit_table(leader, self.version);
            self.pending.push((number, self.version));
        }
        self.cluster.run_for(time);
        let cluster = &self.cluster;
        self.pending.retain(|(number, version)| match cluster.decision(*number) {
            Some(ProposalOutcome::TableInForce(_)) => {
                self.acknowledged = self.acknowledged.max(*version);
                false
            }
            other => other.is_none(),
        });
    }

    fn send_for(&mut self, time: Duration, gap: Duration) {
        let end = self.cluster.now + time;
        while self.cluster.now < end {
            self.send(gap.min(end.since(self.cluster.now)));
        }
    }

    /// Cuts the power of all instances but `spared`, and starts them again one after the other.
    fn lose_power(&mut self, spared: Option<usize>, outage: Duration) {
        for i in self.machines.iter().filter(|i| Some(**i) != spared) {
            self.cluster.crash_with_messages(*i);
        }
        self.cluster.run_for(outage);
        for i in &self.machines {
            if !self.cluster.is_up(*i) {
                self.cluster.start(*i);
                self.cluster.run_for(SECOND / 10);
            }
        }
    }

    fn is_replacing(&self) -> bool {
        let leader = self.cluster.leader().and_then(|l| self.cluster.raft(l));
        leader.is_some_and(|r| r.membership().replacement.is_some())
    }

    /// Checks that changes are decided and that none was lost, and describes what is wrong.
    fn problems(&mut self) -> Option<String> {
        let end = self.cluster.now + RECOVERY_TIME;
        let expected = self.acknowledged;
        let before = self.version;
        while self.cluster.now < end && self.acknowledged <= before {
            self.send(SECOND / 20);
        }
        self.cluster.check_logs();
        let mut problems = self.cluster.violations.clone();
        if self.acknowledged <= before {
            problems.push(format!("no change is decided, {expected} was the last one"));
        }
        let held = self.cluster.leader().and_then(|l| self.cluster.raft(l));
        if held.is_some_and(|r| r.state().routing.version.0 < expected) {
            problems.push(format!("version {expected} is lost"));
        }
        if problems.is_empty() {
            return None;
        }
        problems.push(self.cluster.describe());
        Some(problems.join("\n"))
    }
}

/// Cuts off a voter until it is being replaced; then another voter loses its disk, the others lose
/// power, and the cut heals.
fn lose_disk_at(seed: u64, leader_lost: bool, after_cut: Duration) -> Option<String> {
    let mut changes = Changes::new(seed);
    changes.send_for(SECOND, SECOND / 50);
    let leader = changes.cluster.leader().expect("a leader");
    let members = changes.cluster.raft(leader).unwrap().membership().clone();
    let followers: Vec<usize> = (0..4)
        .filter(|i| *i != leader)
        .filter(|i| members.voters.contains_key(&changes.cluster.nodes[*i].name))
        .collect();
    let (behind, other) = (followers[0], followers[1]);
    changes.cluster.isolate(behind);
    changes.send_for(after_cut, SECOND / 50);
    let lost = if leader_lost { leader } else { other };
    changes.cluster.crash_with_messages(lost);
    changes.cluster.wipe(lost);
    changes.cluster.start(lost);
    changes.cluster.heal();
    changes.lose_power(Some(behind), SECOND);
    let problems = changes.problems()?;
    Some(format!(
        "seed {seed}, leader lost: {leader_lost}, {after_cut:?} after the cut: {problems}"
    ))
}

/// Sweeps the moment of the loss over the whole replacement.
#[test]
fn during_replacement() {
    let mut found = Vec::new();
    let mut tried = 0;
    for seed in 0..4 {
        for ms in (2_400..2_900).step_by(4) {
            for leader_lost in [true, false] {
                tried += 1;
                found.extend(lose_disk_at(seed, leader_lost, Duration::from_millis(ms)));
            }
        }
    }
    let first = found.first().cloned().unwrap_or_default();
    assert!(found.is_empty(), "{} of {tried}, first: {first}", found.len());
}

/// Runs one day with hundreds of changes, during which one fault after the other is repaired.
fn run_day(seed: u64, faults: usize) -> Option<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut changes = Changes::new(seed);
    changes.cluster.jitter = Duration::from_millis(rng.random_range(0..8));
    changes.cluster.loss_percent = rng.random_range(0..4);
    let gap = Duration::from_millis(rng.random_range(20..200));
    let mut log = Vec::new();
    for _ in 0..faults {
        let quiet = Duration::from_millis(rng.random_range(4_000..9_000));
        changes.send_for(quiet, gap);
        let fault = rng.random_range(0..8);
        let i = changes.machines[rng.random_range(0..4)];
        let i = if rng.random() { changes.cluster.leader().unwrap_or(i) } else { i };
        let time = Duration::from_millis(rng.random_range(300..6_000));
        log.push(format!("{} {fault} {i} {time:?}", changes.cluster.now));
        break_one(&mut changes, &mut rng, (fault, i, time), gap);
        changes.cluster.heal();
        for j in &changes.machines {
            if !changes.cluster.is_up(*j) {
                changes.cluster.start(*j);
            }
        }
    }
    changes.send_for(5 * SECOND, gap);
    // At the end one disk is lost, and all others lose power with it.
    let last = changes.machines[rng.random_range(0..4)];
    changes.cluster.crash_with_messages(last);
    changes.cluster.wipe(last);
    changes.lose_power(None, SECOND);
    let problems = changes.problems()?;
    Some(format!("seed {seed}: {problems}\n{}", log.join("\n")))
}

fn break_one(
    changes: &mut Changes,
    rng: &mut SmallRng,
    (fault, i, time): (u32, usize, Duration),
    gap: Duration,
) {
    match fault {
        0 => {
            changes.cluster.crash_with_messages(i);
            changes.cluster.wipe(i);
            changes.send_for(time, gap);
        }
        1 => {
            changes.cluster.crash(i);
            changes.send_for(time, gap);
        }
        2 => {
            changes.cluster.isolate(i);
            changes.send_for(time, gap);
        }
        3 => {
            // Others than the instance that is cut off lose a disk and power, in half of the cases while
            // a voter is being replaced.
            changes.cluster.isolate(i);
            let end = changes.cluster.now + time;
            let early = rng.random();
            while changes.cluster.now < end && !(early && changes.is_replacing()) {
                changes.send(Duration::from_millis(2));
            }
            let others: Vec<usize> = changes.machines.iter().copied().filter(|m| *m != i).collect();
            let lost = others[rng.random_range(0..3)];
            changes.cluster.crash_with_messages(lost);
            changes.cluster.wipe(lost);
            changes.cluster.start(lost);
            changes.cluster.heal();
            changes.lose_power(Some(i), time);
        }
        4 => {
            changes.cluster.crash(i);
            changes.cluster.wipe(i);
            changes.lose_power(None, time / 3);
        }
        5 if changes.next_machine < changes.cluster.nodes.len() => {
            // One is gone for good, and an empty one comes at another address.
            changes.cluster.crash_with_messages(i);
            changes.machines.retain(|m| *m != i);
            changes.send_for(time / 4, gap);
            changes.cluster.make_voter(changes.next_machine);
            changes.cluster.start(changes.next_machine);
            changes.machines.push(changes.next_machine);
            changes.next_machine += 1;
        }
        6 => {
            // Only a minority has the newest changes when the others lose power.
            changes.cluster.isolate(i);
            changes.send_for(time, gap);
            changes.cluster.heal();
            changes.lose_power(Some(i), SECOND);
        }
        _ => changes.lose_power(None, time / 3),
    }
}

#[test]
fn long_days() {
    let found: Vec<String> = (0..300).filter_map(|s| run_day(s, 8)).collect();
    let first = found.first().cloned().unwrap_or_default();
    assert!(found.is_empty(), "{} of 300 days, first: {first}", found.len());
}

/// In seed 101111 an election lost a message in each of three terms, and the next fault came before the
/// place of the lost leader was filled.
#[test]
fn longer_days() {
    let seeds = (100_000..100_030).chain([101_111]);
    let found: Vec<String> = seeds.filter_map(|s| run_day(s, 24)).collect();
    let first = found.first().cloned().unwrap_or_default();
    assert!(found.is_empty(), "{} of 31 days, first: {first}", found.len());
}
