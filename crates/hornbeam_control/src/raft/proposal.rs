//! Proposals: configuration changes, routing tables and voter replacements.

use std::sync::Arc;

use hornbeam_model::{InstanceId, Mono, Routing};
use hornbeam_protocol::control::{ChangeCommand, Command, LogIndex, Membership, Replacement};
use smol_str::{SmolStr, format_smolstr};

use super::{Proposal, ProposalId, Raft, RaftOutput, Role};
use crate::state::ProposalOutcome;

/// Maximum number of log entries whose proposals wait for commit.
pub(super) const MAX_PENDING_PROPOSALS: usize = 1_024;

impl Raft {
    pub(super) fn on_propose(
        &mut self,
        now: Mono,
        id: ProposalId,
        proposal: Proposal,
        out: &mut Vec<RaftOutput>,
    ) {
        if self.role != Role::Leader {
            return out.push(RaftOutput::Decided { id, outcome: ProposalOutcome::NotLeader });
        }
        let outcome = match proposal {
            Proposal::Change(command) => self.propose_change(now, id, command, out),
            Proposal::Routing(routing) => self.propose_routing(now, id, routing, out),
            Proposal::ZoneOrder(order) => self.propose_zone_order(now, id, order, out),
            Proposal::Replace { outgoing, incoming } => {
                self.propose_replacement(now, id, outgoing, incoming, out)
            }
        };
        out.extend(outcome.map(|outcome| RaftOutput::Decided { id, outcome }));
    }

    /// Appends a change. Returns its outcome if that is known without an entry.
    fn propose_change(
        &mut self,
        now: Mono,
        id: ProposalId,
        command: ChangeCommand,
        out: &mut Vec<RaftOutput>,
    ) -> Option<ProposalOutcome> {
        let leader_state = self.leader_state.as_mut()?;
        // Until an entry of this term is committed, the state may lack entries of earlier terms
        // that are yet to be committed.
        if !leader_state.has_committed_in_term
            || leader_state.pending_proposals.len() >= MAX_PENDING_PROPOSALS
        {
            let problem = "the leader is not ready: send the change again in a second";
            return Some(ProposalOutcome::Refused(SmolStr::new_static(problem)));
        }
        if let Some(outcome) = self.state.early_outcome(&command) {
            return Some(ProposalOutcome::Change(outcome));
        }
        let index = match self.pending_change(&command) {
            Some(index) => index,
            None => self.append(Command::Change(command), out),
        };
        self.track_proposal(index, id);
        self.replicate(now, false, out);
        self.advance_commit(now, out);
        None
    }

    /// Appends a routing table. Returns an outcome if the same or a later version is in force
    /// already, or if the leader cannot accept it.
    fn propose_routing(
        &mut self,
        now: Mono,
        id: ProposalId,
        routing: Arc<Routing>,
        out: &mut Vec<RaftOutput>,
    ) -> Option<ProposalOutcome> {
        if let Some(in_force) = self.state.superseded_by(&routing) {
            return Some(ProposalOutcome::TableInForce(in_force));
        }
        let leader_state = self.leader_state.as_ref()?;
        if !leader_state.has_committed_in_term
            || leader_state.pending_proposals.len() >= MAX_PENDING_PROPOSALS
        {
            let problem = "the leader is not ready: send the table again in a second";
            return Some(ProposalOutcome::Refused(SmolStr::new_static(problem)));
        }
        let index = match self.pending_routing(&routing) {
            Some(index) => index,
            None => self.append(Command::Routing(routing), out),
        };
        self.track_proposal(index, id);
        self.replicate(now, false, out);
        self.advance_commit(now, out);
        None
    }

    /// Returns the index of an uncommitted entry with the same or a later routing table, if any.
    fn pending_routing(&self, routing: &Routing) -> Option<LogIndex> {
        let pending = self.log.entries().iter().rev().take_while(|e| e.index > self.commit_index);
        let not_older =
            |c: &Command| matches!(c, Command::Routing(r) if r.version >= routing.version);
        pending.into_iter().find(|e| not_older(&e.command)).map(|e| e.index)
    }

    /// Returns the index of the uncommitted entry with the same change identifier, if any.
    fn pending_change(&self, command: &ChangeCommand) -> Option<LogIndex> {
        let pending = self.log.entries().iter().rev().take_while(|e| e.index > self.commit_index);
        let same = |c: &Command| matches!(c, Command::Change(known) if known.id == command.id);
        pending.into_iter().find(|e| same(&e.command)).map(|e| e.index)
    }

    /// Reports the outcome of proposal `id` when the entry at `index` is applied.
    pub(super) fn track_proposal(&mut self, index: LogIndex, id: ProposalId) {
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.pending_proposals.entry(index).or_default().push(id);
        }
    }

    /// Starts to replace a voter. Returns an outcome if that is not possible now.
    fn propose_replacement(
        &mut self,
        now: Mono,
        id: ProposalId,
        outgoing: InstanceId,
        incoming: InstanceId,
        out: &mut Vec<RaftOutput>,
    ) -> Option<ProposalOutcome> {
        if let Some(problem) = self.replacement_problem(&outgoing, &incoming) {
            return Some(ProposalOutcome::Refused(problem));
        }
        let disk = self.identity.non_voters.get(&incoming)?.disk;
        let index = self.start_replacement(now, Replacement { incoming, disk, outgoing }, out);
        self.track_proposal(index, id);
        self.advance_commit(now, out);
        None
    }

    /// Appends a replacement, starts replication to the incoming instance and returns the index of
    /// the entry.
    pub(super) fn start_replacement(
        &mut self,
        now: Mono,
        replacement: Replacement,
        out: &mut Vec<RaftOutput>,
    ) -> LogIndex {
        if let Some(leader_state) = &mut self.leader_state {
            // What a lost disk of the same name has replied says nothing about the new one.
            leader_state.progress.shift_remove(&replacement.incoming);
        }
        let voters = self.members.voters.clone();
        let members = Membership { voters, replacement: Some(replacement) };
        let index = self.append(Command::Members(members), out);
        self.refresh_progress(now);
        self.replicate(now, false, out);
        index
    }

    /// Returns why a replacement cannot start now, with a remedy, or `None` if it can.
    fn replacement_problem(&self, outgoing: &InstanceId, incoming: &InstanceId) -> Option<SmolStr> {
        if !self.leader_state.as_ref().is_some_and(|l| l.has_committed_in_term) {
            return Some("the leader is not ready: try again in a second".into());
        }
        if self.members.replacement.is_some() || self.members_index > self.commit_index {
            return Some("another replacement is under way: wait until it has finished".into());
        }
        if !self.members.voters.contains_key(outgoing) {
            return Some(format_smolstr!(
                "{outgoing} does not vote: name a current voter as the outgoing instance"
            ));
        }
        if *outgoing == self.params.me {
            return Some("the leader cannot replace itself: drain it first".into());
        }
        if incoming != outgoing && self.members.voters.contains_key(incoming) {
            return Some(format_smolstr!(
                "{incoming} votes already: name an instance that is not a voter"
            ));
        }
        if !self.identity.non_voters.contains_key(incoming) {
            return Some(format_smolstr!(
                "{incoming} has not contacted this leader: start it with the control role and an \
                 empty data folder, then try again"
            ));
        }
        None
    }

    /// Advances a replacement by one membership change, once the incoming instance has caught up and a
    /// majority of the voters that result is known to reply.
    pub(super) fn advance_replacement(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        if self.role != Role::Leader || self.members_index > self.commit_index {
            return;
        }
        if !self.leader_state.as_ref().is_some_and(|l| l.has_committed_in_term) {
            return;
        }
        let Some(replacement) = &self.members.replacement else { return };
        let Some(next) = self.next_membership(now, replacement) else { return };
        if !self.has_live_majority(now, &next.voters) {
            return;
        }
        self.append(Command::Members(next), out);
        self.refresh_progress(now);
        self.replicate(now, false, out);
        self.advance_commit(now, out);
    }

    /// Returns the next membership of a replacement, or `None` until the incoming instance has caught
    /// up.
    ///
    /// The incoming instance becomes a voter before the outgoing one is removed: as long as the outgoing
    /// one may return, the loss of another disk leaves a majority. Only a voter whose disk has changed
    /// is removed first, since nothing is left of it.
    fn next_membership(&self, now: Mono, replacement: &Replacement) -> Option<Membership> {
        let Replacement { incoming, disk, outgoing } = replacement;
        let mut voters = self.members.voters.clone();
        let listed = voters.get(incoming).copied();
        if listed == Some(Some(*disk)) {
            // The outgoing voter stays if it replies again and the incoming one no longer does.
            let surplus = if !self.replies(now, incoming) && self.replies(now, outgoing) {
                incoming
            } else {
                outgoing
            };
            voters.shift_remove(surplus);
            return Some(Membership { voters, replacement: None });
        }
        let progress = self.leader_state.as_ref().and_then(|l| l.progress.get(incoming));
        // A voter that changes its disk may have replied with the old one.
        if progress.is_none_or(|p| p.disk != Some(*disk) || p.match_index < self.commit_index) {
            return None;
        }
        if listed.is_some() {
            voters.shift_remove(incoming);
            return Some(Membership { voters, replacement: Some(replacement.clone()) });
        }
        voters.insert(incoming.clone(), Some(*disk));
        let is_complete = incoming == outgoing || !voters.contains_key(outgoing);
        let replacement = (!is_complete).then(|| replacement.clone());
        Some(Membership { voters, replacement })
    }
}
