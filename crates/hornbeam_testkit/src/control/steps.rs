//! Delivers messages and timers, and applies the outputs of the state machines.

use std::time::Duration;

use hornbeam_control::{
    FollowerInput, FollowerOutput, Persist, ProposalId, ProposalOutcome, RaftInput, RaftOutput,
    Voter,
};
use hornbeam_model::{InstanceId, Mono, Revision};
use hornbeam_protocol::control::ChangeOutcome;
use hornbeam_storage::Folder;
use rand::Rng;

use super::{ControlCluster, DIGEST_FANOUT, DIGEST_INTERVAL, NetMessage, NodeIdx, SimEvent};

impl ControlCluster {
    pub(super) fn queue(&mut self, at: Mono, event: SimEvent) {
        self.event_queue.push(at, event);
    }

    pub(super) fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival { from, to, message } => self.deliver(from, to, message),
            SimEvent::Wake(i) => self.wake(i),
            SimEvent::Digest(i) => self.digest(i),
            SimEvent::Written { node, start } => self.finish_write(node, start),
        }
    }

    /// Takes over a write that an instance carries out beside its other work.
    fn begin_write(&mut self, i: NodeIdx, persist: Persist) {
        let Some(writes) = &mut self.nodes[i].writes else { return };
        writes.queue.push_back(persist);
        if writes.queue.len() == 1 {
            self.schedule_write(i);
        }
    }

    fn schedule_write(&mut self, i: NodeIdx) {
        let (Some(writes), Some(time)) = (&self.nodes[i].writes, &self.sync_time) else { return };
        let start = writes.start;
        let at = self.now + Duration::from_micros(self.rng.random_range(time.clone()));
        self.queue(at, SimEvent::Written { node: i, start });
    }

    fn finish_write(&mut self, i: NodeIdx, start: u64) {
        let Some(writes) = self.nodes[i].writes.as_mut().filter(|w| w.start == start) else {
            return;
        };
        if self.hung_disks.contains(&i) {
            return self.schedule_write(i);
        }
        let Some(persist) = writes.queue.pop_front() else { return };
        let written = hornbeam_control::write(&mut writes.store, &persist);
        if !writes.queue.is_empty() {
            self.schedule_write(i);
        }
        let Some(voter) = &mut self.nodes[i].voter else { return };
        let mut out = Vec::new();
        voter.on_written(self.now, written, &mut out);
        self.after_voter(i, out);
    }

    pub(super) fn deliver(&mut self, from: NodeIdx, to: NodeIdx, message: NetMessage) {
        if self.cut.contains(&(from, to)) || !self.is_up(to) {
            return;
        }
        let from = self.nodes[from].name.clone();
        match message {
            NetMessage::Control(message) => {
                self.voter_step(to, RaftInput::Message { from, message })
            }
            NetMessage::Config(message) => {
                self.follower_step(to, FollowerInput::Message { from, message });
            }
            NetMessage::State(state) => {
                if state.revision > Revision(0) {
                    self.voter_step(to, RaftInput::ConfigExists);
                }
                self.follower_step(to, FollowerInput::PeerState { from, state });
            }
        }
    }

    pub(super) fn wake(&mut self, i: NodeIdx) {
        if !self.is_up(i) {
            return;
        }
        self.voter_step(i, RaftInput::Tick);
        self.follower_step(i, FollowerInput::Tick);
        let voter = self.nodes[i].voter.as_ref().map_or(Mono::MAX, Voter::next_wake);
        let follower = self.nodes[i].follower.as_ref().map_or(Mono::MAX, |f| f.next_wake(self.now));
        let at = voter.min(follower).max(self.now + Duration::from_millis(1));
        let at = at.min(self.now + Duration::from_millis(200));
        self.queue(at, SimEvent::Wake(i));
    }

    pub(super) fn digest(&mut self, i: NodeIdx) {
        let Some(follower) = &self.nodes[i].follower else { return };
        let state = follower.state(self.now);
        for _ in 0..DIGEST_FANOUT {
            let to = self.rng.random_range(0..self.nodes.len());
            if to != i {
                self.transmit(i, to, NetMessage::State(state.clone()));
            }
        }
        self.queue(self.now + DIGEST_INTERVAL, SimEvent::Digest(i));
    }

    pub(super) fn transmit(&mut self, from: NodeIdx, to: NodeIdx, message: NetMessage) {
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        if lost || self.cut.contains(&(from, to)) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.duplicate_percent);
        for _ in 0..copies {
            let jitter = self.rng.random_range(0..=self.jitter.as_micros() as u64);
            let at = self.now + self.delay + Duration::from_micros(jitter);
            self.queue(at, SimEvent::Arrival { from, to, message: message.clone() });
        }
    }

    pub(super) fn index_of(&self, name: &InstanceId) -> Option<NodeIdx> {
        self.nodes.iter().position(|n| n.name == *name)
    }

    pub(super) fn voter_step(&mut self, i: NodeIdx, input: RaftInput) {
        let Some(voter) = &mut self.nodes[i].voter else {
            if let RaftInput::Propose { id, .. } = input {
                self.record_outcome(id, ProposalOutcome::NotLeader);
            }
            return;
        };
        let mut out = Vec::new();
        voter.step(self.now, input, &mut out);
        self.after_voter(i, out);
    }

    fn after_voter(&mut self, i: NodeIdx, out: Vec<RaftOutput>) {
        self.apply_outputs(i, out);
        self.check_unreported_commits(i);
        self.check_leader(i);
        let crashed = self.nodes[i].voter.as_ref().is_some_and(|v| v.raft().is_none());
        if crashed {
            self.crash(i);
        }
    }

    pub(super) fn follower_step(&mut self, i: NodeIdx, input: FollowerInput) {
        let Some(follower) = &mut self.nodes[i].follower else { return };
        let mut out = Vec::new();
        follower.step(self.now, input, &mut out);
        for output in out {
            match output {
                FollowerOutput::Send { to, message } => {
                    if let Some(to) = self.index_of(&to) {
                        self.transmit(i, to, NetMessage::Config(message));
                    }
                }
                FollowerOutput::InForce(config) => {
                    self.record_in_force(i, &config);
                    self.came_into_force.push((i, config));
                }
                FollowerOutput::Save(config) => {
                    let node = &self.nodes[i];
                    if let (Some(_), Some(disk)) = (&node.voter, &node.disk) {
                        // A simulated crash during this write makes the voter's next write fail.
                        let disk = Folder::Memory(disk.clone());
                        let _ = hornbeam_control::voter::save_config(&disk, &config);
                    }
                }
                FollowerOutput::Confirmed(_) => {}
                FollowerOutput::Event(event) => self.record_event(i, event),
            }
        }
    }

    pub(super) fn record_event(&mut self, i: NodeIdx, event: hornbeam_events::Event) {
        self.events.push((self.now, self.nodes[i].name.clone(), event));
    }

    pub(super) fn apply_outputs(&mut self, i: NodeIdx, out: Vec<RaftOutput>) {
        for output in out {
            match output {
                RaftOutput::Send { to, message } => {
                    self.control_messages += 1;
                    if let Some(to) = self.index_of(&to) {
                        self.transmit(i, to, NetMessage::Control(message));
                    }
                }
                RaftOutput::ChangeCommitted { change, config } => {
                    self.check_committed(i, &config);
                    self.follower_step(i, FollowerInput::ChangeCommitted { change, config });
                }
                RaftOutput::SnapshotInstalled(config) => {
                    self.follower_step(i, FollowerInput::SnapshotInstalled(config));
                }
                RaftOutput::Confirmed(at) => {
                    self.check_confirmed(i, at);
                    let leader = Some(self.nodes[i].name.clone());
                    self.follower_step(i, FollowerInput::Leader(leader));
                    self.follower_step(i, FollowerInput::Confirmed(at));
                }
                RaftOutput::ZoneOrdersCommitted(orders) => self.check_orders(i, orders.index),
                RaftOutput::RoutingCommitted(table) => self.check_table(i, table.version),
                // Emitted only by a voter that leaves the writes to its caller.
                RaftOutput::Persist(persist) => self.begin_write(i, persist),
                RaftOutput::Decided { id, outcome } => self.record_outcome(id, outcome),
                RaftOutput::Event(event) => self.record_event(i, event),
            }
        }
    }

    pub(super) fn record_outcome(&mut self, id: ProposalId, outcome: ProposalOutcome) {
        let Some(submission) = self.submissions.get_mut(&id.0) else { return };
        if submission.decided.is_some() {
            return;
        }
        submission.decided = Some((self.now, outcome.clone()));
        let change = submission.id.clone();
        if let ProposalOutcome::Change(ChangeOutcome::Accepted { revision }) = outcome {
            let first = *self.accepted.entry(change.clone()).or_insert(revision);
            if first != revision {
                self.record_violation(format!(
                    "{change} was accepted as {first} and as {revision}"
                ));
            }
        }
    }
}
