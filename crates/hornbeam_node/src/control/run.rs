//! Event loop of the control thread.

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

/// Storage of the configuration that this instance follows.
pub enum LocalStorage {
    /// With the control log, on an instance with the control role.
    Voter(Box<Voter>),
    /// In a data folder without a control log.
    Folder(Folder),
    /// No storage; no data folder is set.
    None,
}

/// State of the control thread.
pub struct ControlThread {
    /// State machine of leases, views and peers.
    pub membership: Membership,
    /// State machine that follows the configuration.
    pub follower: ConfigFollower,
    /// Storage of the configuration, which includes the voter if this instance has the control
    /// role.
    pub storage: LocalStorage,
    /// Sockets for messages to other instances.
    pub net: Net,
    /// Source of the time that is passed to the state machines.
    pub clock: Clock,
    /// Channel to the task that runs the engine.
    pub traffic: TrafficHandle,
    /// Journal that receives the events of the state machines.
    pub events: EventLog,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Set to true once a configuration is served.
    pub ready: Arc<AtomicBool>,
    /// Configuration revision that each peer reported last.
    pub peer_revisions: HashMap<InstanceId, Revision>,
    /// Proposals that wait for a decision, with the channels for their replies.
    pub proposals: HashMap<ProposalId, oneshot::Sender<ProposalResponse>>,
    /// Id of the next proposal.
    pub next_proposal: u64,
}

/// Outputs of the state machines that are not carried out yet, in their order for each state
/// machine.
#[derive(Default)]
struct PendingOutputs {
    membership: Vec<Output>,
    voter: Vec<RaftOutput>,
    follower: Vec<FollowerOutput>,
}

impl PendingOutputs {
    fn is_empty(&self) -> bool {
        self.membership.is_empty() && self.voter.is_empty() && self.follower.is_empty()
    }
}

impl ControlThread {
    /// Runs until every [`ControlHandle`](super::ControlHandle) is dropped.
    pub async fn run(
        mut self,
        mut rx: mpsc::UnboundedReceiver<ControlRequest>,
        mut incoming: Incoming,
        recovered: Vec<RaftOutput>,
    ) {
        let mut pending = PendingOutputs { voter: recovered, ..PendingOutputs::default() };
        loop {
            self.apply_outputs(&mut pending).await;
            let wake_at = self.clock.instant(self.next_wake());
            tokio::select! {
                request = rx.recv() => match request {
                    Some(request) => self.handle_request(request, &mut pending).await,
                    None => return,
                },
                Some(received) = incoming.messages.recv() => self.receive(received, &mut pending),
                Some((peer, known)) = incoming.stale_sessions.recv() => {
                    self.net.send(&peer, Message::StaleSession { known }).await;
                }
                () = tokio::time::sleep_until(wake_at) => self.tick(&mut pending),
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

    fn tick(&mut self, pending: &mut PendingOutputs) {
        let now = self.clock.now();
        self.step_voter(RaftInput::Tick, pending);
        self.follower.step(now, FollowerInput::Tick, &mut pending.follower);
        let state = self.follower.state(now);
        self.membership.step(now, Input::Config(state), &mut pending.membership);
        self.update_metrics(now);
    }

    fn step_voter(&mut self, input: RaftInput, pending: &mut PendingOutputs) {
        let now = self.clock.now();
        match &mut self.storage {
            LocalStorage::Voter(voter) => voter.step(now, input, &mut pending.voter),
            LocalStorage::Folder(_) | LocalStorage::None => {
                if let RaftInput::Propose { id, .. } = input {
                    pending
                        .voter
                        .push(RaftOutput::Decided { id, outcome: ProposalOutcome::NotLeader });
                }
            }
        }
    }

    async fn handle_request(&mut self, request: ControlRequest, pending: &mut PendingOutputs) {
        let now = self.clock.now();
        match request {
            ControlRequest::Announce(a, tx) => {
                let result = self.membership.announce(now, &a, &mut pending.membership);
                // Fails only if the server stopped waiting; it then announces itself again.
                let _ = tx.send(result);
            }
            ControlRequest::Propose(proposal, tx) => self.propose(*proposal, tx, pending),
            ControlRequest::Config(tx) => {
                let _ = tx.send(self.config_view(now));
            }
            ControlRequest::Status(tx) => {
                let _ = tx.send(self.status(now));
            }
            ControlRequest::Leave(tx) => {
                self.step_voter(RaftInput::TransferLeadership, pending);
                self.membership.step(now, Input::Leave, &mut pending.membership);
                self.apply_outputs(pending).await;
                let _ = tx.send(());
            }
        }
    }

    fn propose(
        &mut self,
        proposal: Proposal,
        tx: oneshot::Sender<ProposalResponse>,
        pending: &mut PendingOutputs,
    ) {
        self.proposals.retain(|_, tx| !tx.is_closed());
        let id = ProposalId(self.next_proposal);
        self.next_proposal += 1;
        self.proposals.insert(id, tx);
        self.step_voter(RaftInput::Propose { id, proposal }, pending);
    }

    fn receive(&mut self, received: Received, pending: &mut PendingOutputs) {
        let now = self.clock.now();
        let Received { from, message, .. } = received;
        match message {
            Message::StaleSession { known } => self.net.raise_session(known),
            Message::Control(message) => {
                self.step_voter(RaftInput::Message { from, message: *message }, pending);
            }
            Message::ConfigFetch { .. }
            | Message::ConfigChanges { .. }
            | Message::ConfigWhole { .. } => {
                let input = FollowerInput::Message { from, message };
                self.follower.step(now, input, &mut pending.follower);
            }
            _ => {
                let input = Input::Message { from, message };
                self.membership.step(now, input, &mut pending.membership);
            }
        }
    }

    async fn apply_outputs(&mut self, pending: &mut PendingOutputs) {
        while !pending.is_empty() {
            for output in std::mem::take(&mut pending.voter) {
                self.apply_voter(output, pending).await;
            }
            for output in std::mem::take(&mut pending.follower) {
                self.apply_follower(output, pending).await;
            }
            let outputs = std::mem::take(&mut pending.membership);
            self.apply_membership(outputs, pending).await;
        }
    }

    async fn apply_voter(&mut self, output: RaftOutput, pending: &mut PendingOutputs) {
        let now = self.clock.now();
        let input = match output {
            RaftOutput::Send { to, message } => {
                self.net.send(&to, Message::Control(Box::new(message))).await;
                return;
            }
            // The voter has written it already.
            RaftOutput::Persist(_) => return,
            RaftOutput::Decided { id, outcome } => return self.complete_proposal(id, outcome),
            RaftOutput::Event(event) => return self.events.record(event),
            RaftOutput::ChangeCommitted { change, config } => {
                FollowerInput::ChangeCommitted { change, config }
            }
            RaftOutput::SnapshotInstalled(config) => FollowerInput::SnapshotInstalled(config),
            // This instance does not route: the entry and controller programs use the routing
            // table.
            RaftOutput::RoutingCommitted(_) | RaftOutput::ZoneOrdersCommitted(_) => return,
            RaftOutput::Confirmed(at) => {
                let leader = self.voter().and_then(Voter::raft).and_then(|r| r.leader().cloned());
                let input = FollowerInput::Leader(leader);
                self.follower.step(now, input, &mut pending.follower);
                FollowerInput::Confirmed(at)
            }
        };
        self.follower.step(now, input, &mut pending.follower);
    }

    fn complete_proposal(&mut self, id: ProposalId, outcome: ProposalOutcome) {
        let Some(tx) = self.proposals.remove(&id) else { return };
        let response = match outcome {
            ProposalOutcome::NotLeader => ProposalResponse::NotLeader(self.leader()),
            outcome => ProposalResponse::Decided(outcome),
        };
        // Fails only if the operator has stopped waiting.
        let _ = tx.send(response);
    }

    /// Returns the leader known to this instance's voter, or otherwise the one reported by its
    /// peers.
    fn leader(&self) -> Option<InstanceId> {
        let known = self.voter().and_then(Voter::raft).and_then(|r| r.leader());
        known.or(self.follower.leader()).cloned()
    }

    async fn apply_follower(&mut self, output: FollowerOutput, pending: &mut PendingOutputs) {
        match output {
            FollowerOutput::Send { to, message } => self.net.send(&to, message).await,
            FollowerOutput::InForce(config) => {
                self.ready.store(true, Ordering::Relaxed);
                self.metrics.config_revision.set(config.revision.0 as i64);
                let _ = self.traffic.send(TrafficMessage::Config(config));
                let state = self.follower.state(self.clock.now());
                let now = self.clock.now();
                self.membership.step(now, Input::Config(state), &mut pending.membership);
            }
            FollowerOutput::Confirmed(at) => {
                let _ = self.traffic.send(TrafficMessage::Confirmed(at));
            }
            FollowerOutput::Save(config) => self.save_followed_config(&config),
            FollowerOutput::Event(event) => self.events.record(event),
        }
    }

    fn save_followed_config(&self, config: &Arc<Config>) {
        let saved = match &self.storage {
            LocalStorage::Voter(voter) => voter.save_config(config),
            LocalStorage::Folder(folder) => save_config(folder, config),
            LocalStorage::None => Ok(()),
        };
        if let Err(e) = saved {
            log::error!("cannot save the configuration: {e}: check the disk");
        }
    }

    async fn apply_membership(&mut self, outputs: Vec<Output>, pending: &mut PendingOutputs) {
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
                        self.step_voter(RaftInput::ConfigExists, pending);
                    }
                    let input = FollowerInput::PeerState { from: peer, state };
                    self.follower.step(now, input, &mut pending.follower);
                }
                Output::Event(event) => self.events.record(event),
            }
        }
        if !changes.is_empty() {
            let _ = self.traffic.send(TrafficMessage::Servers(changes));
        }
    }

    fn update_metrics(&self, now: Mono) {
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
