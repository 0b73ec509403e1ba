//! Invariants of control: at most one leader per term, logs that agree, accepted changes that are
//! kept, and revisions that never decrease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_control::{ProposalOutcome, Role, Voter};
use hornbeam_model::{Config, InstanceId, Mono, OrderIndex, Revision, TableVersion};
use hornbeam_protocol::control::{ChangeOutcome, Entry, LogIndex};

use super::{ControlCluster, NodeIdx};

impl ControlCluster {
    /// Records a routing table that came into force; its version must not be lower than the last
    /// one.
    pub(super) fn check_table(&mut self, i: NodeIdx, version: TableVersion) {
        let before = self.tables.insert(i, version).unwrap_or_default();
        if version < before {
            let text = format!("instance {i} went from table {before} to {version}");
            self.violations.push(text);
        }
    }

    pub(super) fn check_orders(&mut self, i: NodeIdx, index: OrderIndex) {
        let before = self.orders.insert(i, index).unwrap_or_default();
        if index < before {
            let text = format!("instance {i} went from order {before} to {index}");
            self.violations.push(text);
        }
    }

    pub(super) fn record_violation(&mut self, text: String) {
        self.violations.push(format!("at {}: {text}", self.now));
    }

    pub(super) fn check_leader(&mut self, i: NodeIdx) {
        let Some(raft) = self.raft(i) else { return };
        if raft.role() != Role::Leader {
            return;
        }
        let term = raft.term();
        let name = self.nodes[i].name.clone();
        let first = self.leaders.entry(term).or_insert_with(|| name.clone()).clone();
        if first != name {
            self.record_violation(format!("{first} and {name} both lead in term {}", term.0));
        }
    }

    pub(super) fn check_committed(&mut self, i: NodeIdx, config: &Arc<Config>) {
        let known = self.committed.entry(config.revision).or_insert_with(|| config.clone()).clone();
        if known != *config {
            let name = self.nodes[i].name.clone();
            self.record_violation(format!(
                "{name} has different content for revision {}",
                config.revision
            ));
        }
    }

    /// Checks the state that an instance has committed and not reported yet, since it waits for its disk.
    pub(super) fn check_unreported_commits(&mut self, i: NodeIdx) {
        let Some(raft) = self.raft(i) else { return };
        let config = raft.state().config.clone();
        if self.nodes[i].voter.as_ref().is_some_and(Voter::holds_commits) {
            self.check_committed(i, &config);
        }
    }

    /// Checks that a confirmation as of `at` includes every change that was accepted before `at`.
    pub(super) fn check_confirmed(&mut self, i: NodeIdx, at: Mono) {
        let Some(raft) = self.raft(i) else { return };
        let revision = raft.state().config.revision;
        let missed = self.submissions.values().find_map(|s| match &s.decided {
            Some((when, ProposalOutcome::Change(ChangeOutcome::Accepted { revision: r })))
                if *when < at && *r > revision =>
            {
                Some(*r)
            }
            _ => None,
        });
        if let Some(missed) = missed {
            self.record_violation(format!(
                "revision {revision} was confirmed although {missed} was accepted"
            ));
        }
    }

    pub(super) fn record_in_force(&mut self, i: NodeIdx, config: &Config) {
        let revision = config.revision;
        let highest = self.nodes[i].served;
        let in_this_start = self.nodes[i].in_force.keys().next_back().copied();
        if in_this_start.is_some_and(|r| revision <= r) {
            let name = self.nodes[i].name.clone();
            self.record_violation(format!("{name} went from revision {highest} to {revision}"));
        }
        if revision < highest && self.can_know(i, highest) {
            let name = self.nodes[i].name.clone();
            self.record_violation(format!(
                "{name} restarted with revision {revision} after it served {highest}"
            ));
        }
        if revision > Revision(0) && !self.committed.contains_key(&revision) {
            let name = self.nodes[i].name.clone();
            self.record_violation(format!(
                "{name} serves revision {revision}, which was not accepted"
            ));
        }
        self.nodes[i].served = highest.max(revision);
        self.nodes[i].in_force.insert(revision, self.now);
    }

    /// Returns whether an instance that has just started can know `revision`, that is, whether its
    /// disk holds it. An instance without a disk cannot while it is cut off from all that know it.
    fn can_know(&self, i: NodeIdx, revision: Revision) -> bool {
        let kept = self.saved_config(i);
        kept.is_some_and(|c| c.revision >= revision)
    }

    /// Checks that the logs of all voters that are up agree up to their commit indexes.
    pub fn check_logs(&mut self) {
        let mut seen: BTreeMap<LogIndex, (InstanceId, Entry)> = BTreeMap::new();
        let mut found = Vec::new();
        for (i, node) in self.nodes.iter().enumerate() {
            let Some(raft) = self.raft(i) else { continue };
            for entry in raft.entries().iter().filter(|e| e.index <= raft.commit_index()) {
                let first =
                    seen.entry(entry.index).or_insert_with(|| (node.name.clone(), entry.clone()));
                if first.1 != *entry {
                    found
                        .push(format!("{} and {} differ at {}", first.0, node.name, entry.index.0));
                }
            }
        }
        for text in found {
            self.record_violation(text);
        }
    }

    /// Checks that the leader's state holds every accepted change with its first outcome.
    pub fn check_accepted(&mut self) {
        let Some(leader) = self.leader() else { return };
        let Some(raft) = self.raft(leader) else { return };
        let mut found = Vec::new();
        for (id, revision) in &self.accepted {
            let outcome = raft.state().outcome(id);
            if outcome != Some(&ChangeOutcome::Accepted { revision: *revision }) {
                found.push(format!("{id} was accepted as {revision} and is now {outcome:?}"));
            }
        }
        for text in found {
            self.record_violation(text);
        }
    }

    /// Describes the state of each instance in one line, for messages of failed tests.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        for (i, node) in self.nodes.iter().enumerate() {
            let raft = self.raft(i);
            text.push_str(&format!(
                "{}: up {} {:?} refusal {:?} error {:?} term {:?} last {:?} commit {:?} serves {:?}\n",
                node.name,
                self.is_up(i),
                raft.map(|r| r.role()),
                raft.and_then(|r| r.refusal()),
                node.open_error,
                raft.map(|r| r.term().0),
                raft.map(|r| r.last_position()),
                raft.map(|r| r.commit_index().0),
                self.revision(i),
            ));
        }
        text
    }

    /// Runs until there is a leader and every instance that is up serves the highest committed
    /// revision; returns whether that happens within `limit`.
    pub fn settle(&mut self, limit: Duration) -> bool {
        self.run_until(limit, |c| {
            let highest = c.committed_revision();
            let up = (0..c.nodes.len()).filter(|i| c.is_up(*i));
            let applied =
                |l: NodeIdx| c.raft(l).is_some_and(|r| r.state().config.revision == highest);
            c.leader().is_some_and(applied)
                && up.into_iter().all(|i| c.revision(i) == Some(highest))
        })
    }
}
