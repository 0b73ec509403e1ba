//! The control thread's loop.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hornbeam_control::voter::save_config;
use hornbeam_control::{
    ConfigFollower, FollowerInput, FollowerOutput, Proposal, ProposalId, ProposalOutcome,
    RaftInput, RaftOutput, Role, Voter,
};
use hornbeam_membership::{Input, Membership, Output};
use hornbeam_model::{Config, InstanceId, Mono, Revision};
use hornbeam_protocol::Message;
use hornbeam_storage::Folder;
use hornbeam_traffic::{Roster, ServerChange};
use tokio::sync::{mpsc, oneshot};

use super::handle::{
    ConfigView, ControlRequest, ControlStatus, PeerStatus, ProposalResponse, ViewStatus,
};
use super::net::{Incoming, Net, Received};
use crate::clock::Clock;
use crate::journal::EventLog;
use crate::metrics::Metrics;
use crate::traffic::{TrafficHandle, TrafficMessage};

/// Where this instance keeps the configuration it follows.
pub enum LocalStorage {
    /// With the control log.
    Voter(Box<Voter>),
    /// In a folder of its own.
    Folder(Folder),
    /// Nowhere.
    None,
}

/// State of the control thread.
pub struct ControlThread {
    /// Leases, views and peers.
    pub membership: Membership,
    /// The configuration as this instance follows it.
    pub follower: ConfigFollower,
    /// The disk, and the voter if this instance has the control role.
    pub storage: LocalStorage,
    /// The sockets.
    pub net: Net,
    /// The clock.
    pub clock: Clock,
    /// The engine's task.
    pub traffic: TrafficHandle,
    /// The journal.
    pub events: EventLog,
    /// The metrics.
    pub metrics: Metrics,
    /// True once a configuration is served.
    pub ready: Arc<AtomicBool>,
    /// What peers told of their configuration.
    pub peer_revisions: HashMap<InstanceId, Revision>,
    /// Proposals that wait for a decision.
    pub proposals: HashMap<ProposalId, oneshot::Sender<ProposalResponse>>,
    /// Number of the next proposal.
    pub next_proposal: u64,
}

/// What the state machines want done, in the order in which they want it.
#[derive(Default)]
struct Todo {
    membership: Vec<Output>,
    voter: Vec<RaftOutput>,
    follower: Vec<FollowerOutput>,
}

impl Todo {
    fn is_empty(&self) -> bool {
        self.membership.is_empty() && self.voter.is_empty() && self.follower.is_empty()
    }
}

impl ControlThread {
    /// Runs until the handle is dropped.
    pub async fn run(
        mut self,
        mut rx: mpsc::UnboundedReceiver<ControlRequest>,
        mut incoming: Incoming,
        recovered: Vec<RaftOutput>,
    ) {
        let mut todo = Todo { voter: recovered, ..Todo::default() };
        loop {
            self.carry_out(&mut todo).await;
            let wake = self.clock.instant(self.next_wake());
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.take(message, &mut todo).await,
                    None => return,
                },
                Some(received) = incoming.messages.recv() => self.receive(received, &mut todo),
                Some((peer, known)) = incoming.stale_sessions.recv() => {
                    self.net.send(&peer, Message::StaleSession { known }).await;
                }
                () = tokio::time::sleep_until(wake) => self.tick(&mut todo),
            }
        }
    }

    fn voter(&self) -> Option<&Voter> {
        match &self.storage {
            LocalStorage::Voter(voter) => Some(voter),
            LocalStorage::Folder(_) | LocalStorage::None => None,
        }
    }

    fn next_wake(&self) -> Mono {
        let voter = self.voter().map_or(Mono::MAX, Voter::next_wake);
        let follower = self.follower.next_wake(self.clock.now());
        self.membership.next_wake().min(voter).min(follower)
    }

    fn tick(&mut self, todo: &mut Todo) {
        let now = self.clock.now();
        self.voter_step(RaftInput::Tick, todo);
        self.follower.step(now, FollowerInput::Tick, &mut todo.follower);
        let state = self.follower.state(now);
        self.membership.step(now, Input::Config(state), &mut todo.membership);
        self.show_metrics(now);
    }

    fn voter_step(&mut self, input: RaftInput, todo: &mut Todo) {
        let now = self.clock.now();
        match &mut self.storage {
            LocalStorage::Voter(voter) => voter.step(now, input, &mut todo.voter),
            LocalStorage::Folder(_) | LocalStorage::None => {
                if let RaftInput::Propose { id, .. } = input {
                    todo.voter
                        .push(RaftOutput::Decided { id, outcome: ProposalOutcome::NotLeader });
                }
            }
        }
    }

    async fn take(&mut self, message: ControlRequest, todo: &mut Todo) {
        let now = self.clock.now();
        match message {
            ControlRequest::Announce(a, tx) => {
                let result = self.membership.announce(now, &a, &mut todo.membership);
                // A server that does not wait for the reply announces again.
                let _ = tx.send(result);
            }
            ControlRequest::Propose(proposal, tx) => self.propose(*proposal, tx, todo),
            ControlRequest::Config(tx) => {
                let _ = tx.send(self.config_view(now));
            }
            ControlRequest::Status(tx) => {
                let _ = tx.send(self.status(now));
            }
            ControlRequest::Leave(tx) => {
                self.voter_step(RaftInput::TransferLeadership, todo);
                self.membership.step(now, Input::Leave, &mut todo.membership);
                self.carry_out(todo).await;
                let _ = tx.send(());
            }
        }
    }

    fn propose(
        &mut self,
        proposal: Proposal,
        tx: oneshot::Sender<ProposalResponse>,
        todo: &mut Todo,
    ) {
        self.proposals.retain(|_, tx| !tx.is_closed());
        let id = ProposalId(self.next_proposal);
        self.next_proposal += 1;
        self.proposals.insert(id, tx);
        self.voter_step(RaftInput::Propose { id, proposal }, todo);
    }

    fn receive(&mut self, received: Received, todo: &mut Todo) {
        let now = self.clock.now();
        let Received { from, message } = received;
        match message {
            Message::StaleSession { known } => self.net.raise_session(known),
            Message::Control(message) => {
                self.voter_step(RaftInput::Message { from, message: *message }, todo);
            }
            Message::ConfigFetch { .. }
            | Message::ConfigChanges { .. }
            | Message::ConfigWhole { .. } => {
                let input = FollowerInput::Message { from, message };
                self.follower.step(now, input, &mut todo.follower);
            }
            _ => {
                let input = Input::Message { from, message };
                self.membership.step(now, input, &mut todo.membership);
            }
        }
    }

    async fn carry_out(&mut self, todo: &mut Todo) {
        while !todo.is_empty() {
            for output in std::mem::take(&mut todo.voter) {
                self.carry_out_voter(output, todo).await;
            }
            for output in std::mem::take(&mut todo.follower) {
                self.carry_out_follower(output, todo).await;
            }
            let outputs = std::mem::take(&mut todo.membership);
            self.carry_out_membership(outputs, todo).await;
        }
    }

    async fn carry_out_voter(&mut self, output: RaftOutput, todo: &mut Todo) {
        let now = self.clock.now();
        let input = match output {
            RaftOutput::Send { to, message } => {
                self.net.send(&to, Message::Control(Box::new(message))).await;
                return;
            }
            // Written by the voter before this.
            RaftOutput::Persist(_) => return,
            RaftOutput::Decided { id, outcome } => return self.decided(id, outcome),
            RaftOutput::Event(event) => return self.events.record(event),
            RaftOutput::ChangeCommitted { change, config } => {
                FollowerInput::ChangeCommitted { change, config }
            }
            RaftOutput::SnapshotInstalled(config) => FollowerInput::SnapshotInstalled(config),
            // Routed requests are served by the entry and controller programs.
            RaftOutput::RoutingCommitted(_) => return,
            RaftOutput::Confirmed(at) => {
                let leader = self.voter().and_then(Voter::raft).and_then(|r| r.leader().cloned());
                let input = FollowerInput::Leader(leader);
                self.follower.step(now, input, &mut todo.follower);
                FollowerInput::Confirmed(at)
            }
        };
        self.follower.step(now, input, &mut todo.follower);
    }

    fn decided(&mut self, id: ProposalId, outcome: ProposalOutcome) {
        let Some(tx) = self.proposals.remove(&id) else { return };
        let proposed = match outcome {
            ProposalOutcome::NotLeader => ProposalResponse::NotLeader(self.leader()),
            outcome => ProposalResponse::Decided(outcome),
        };
        // The operator may have given up waiting.
        let _ = tx.send(proposed);
    }

    /// The leader: as the own voter knows it, or else as the peers tell.
    fn leader(&self) -> Option<InstanceId> {
        let known = self.voter().and_then(Voter::raft).and_then(|r| r.leader());
        known.or(self.follower.leader()).cloned()
    }

    async fn carry_out_follower(&mut self, output: FollowerOutput, todo: &mut Todo) {
        match output {
            FollowerOutput::Send { to, message } => self.net.send(&to, message).await,
            FollowerOutput::InForce(config) => {
                self.ready.store(true, Ordering::Relaxed);
                self.metrics.config_revision.set(config.revision.0 as i64);
                let _ = self.traffic.send(TrafficMessage::Config(config));
                let state = self.follower.state(self.clock.now());
                let now = self.clock.now();
                self.membership.step(now, Input::Config(state), &mut todo.membership);
            }
            FollowerOutput::Confirmed(at) => {
                let _ = self.traffic.send(TrafficMessage::Confirmed(at));
            }
            FollowerOutput::Save(config) => self.keep(&config),
            FollowerOutput::Event(event) => self.events.record(event),
        }
    }

    fn keep(&self, config: &Arc<Config>) {
        let kept = match &self.storage {
            LocalStorage::Voter(voter) => voter.save_config(config),
            LocalStorage::Folder(folder) => save_config(folder, config),
            LocalStorage::None => Ok(()),
        };
        if let Err(e) = kept {
            log::error!("the configuration cannot be kept on the disk: {e}: check the disk");
        }
    }

    async fn carry_out_membership(&mut self, outputs: Vec<Output>, todo: &mut Todo) {
        let now = self.clock.now();
        let mut changes = Vec::new();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.net.send(&to, message).await,
                Output::Listed(a) => changes.push(ServerChange::Announced(a)),
                Output::Gone(server) => changes.push(ServerChange::Removed(server)),
                Output::RosterChanged => {
                    let roster = Roster::new(self.membership.roster());
                    let _ = self.traffic.send(TrafficMessage::Roster(roster));
                }
                Output::PeerConfig { peer, state } => {
                    self.peer_revisions.insert(peer.clone(), state.revision);
                    if state.revision > Revision(0) {
                        self.voter_step(RaftInput::ConfigExists, todo);
                    }
                    let input = FollowerInput::PeerState { from: peer, state };
                    self.follower.step(now, input, &mut todo.follower);
                }
                Output::Event(event) => self.events.record(event),
            }
        }
        if !changes.is_empty() {
            let _ = self.traffic.send(TrafficMessage::Servers(changes));
        }
    }

    fn show_metrics(&self, now: Mono) {
        let age = self.follower.confirmed_at().map_or(-1, |at| now.since(at).as_millis() as i64);
        self.metrics.config_confirmed_age_ms.set(age);
        let Some(raft) = self.voter().and_then(Voter::raft) else { return };
        self.metrics.control_leader.set(i64::from(raft.role() == Role::Leader));
        self.metrics.control_term.set(raft.term().0 as i64);
        self.metrics.control_commit.set(raft.commit_index().0 as i64);
    }

    fn config_view(&self, now: Mono) -> ConfigView {
        ConfigView {
            config: self.follower.config().clone(),
            confirmed_ago: self.follower.confirmed_at().map(|at| now.since(at)),
            history: self.voter().and_then(Voter::raft).map(|r| r.state().history().to_vec()),
            leader: self.leader(),
        }
    }

    fn status(&self, now: Mono) -> ControlStatus {
        let ms = |d: Duration| d.as_millis() as u64;
        let peers = self.membership.peers().map(|(name, p)| PeerStatus {
            instance: name.to_string(),
            zone: p.zone.to_string(),
            heard_ms_ago: p.last_heard.map(|at| ms(now.since(at))),
            left: p.left,
            revision: self.peer_revisions.get(name).map(|r| r.0),
        });
        let views = self.membership.views(now).map(|(name, pos, age, servers)| ViewStatus {
            registrar: name.to_string(),
            version: pos.version,
            age_ms: ms(age),
            servers,
        });
        let raft = self.voter().and_then(Voter::raft);
        let failed = self.voter().is_some() && raft.is_none();
        let role = match raft {
            Some(raft) => raft.role().label(),
            None if failed => "stopped",
            None => "none",
        };
        let voters = raft.map(|r| r.membership().voters.keys().map(|v| v.to_string()).collect());
        ControlStatus {
            revision: self.follower.config().revision.0,
            confirmed_ms_ago: self.follower.confirmed_at().map(|at| ms(now.since(at))),
            role: role.to_owned(),
            refusal: raft.and_then(|r| r.refusal()).map(str::to_owned),
            leader: self.leader().map(|l| l.to_string()),
            voters: voters.unwrap_or_default(),
            replacing: raft.is_some_and(|r| r.membership().replacement.is_some()),
            term: raft.map_or(0, |r| r.term().0),
            peers: peers.collect(),
            views: views.collect(),
        }
    }
}
