//! Changes and voter replacements.

use std::sync::Arc;

use hornbeam_model::{InstanceId, Mono, Routing};
use hornbeam_protocol::control::{ChangeCommand, Command, LogIndex, Membership, Replacement};
use smol_str::{SmolStr, format_smolstr};

use super::{Proposal, ProposalId, Raft, RaftOutput, Role};
use crate::state::ProposalOutcome;

/// Proposals that may wait for commit at once.
const MAX_WAITING: usize = 1_024;

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
            Proposal::Replace { outgoing, incoming } => {
                self.propose_replacement(now, id, outgoing, incoming, out)
            }
        };
        out.extend(outcome.map(|outcome| RaftOutput::Decided { id, outcome }));
    }

    /// Appends a change; a decision if it needs no entry.
    fn propose_change(
        &mut self,
        now: Mono,
        id: ProposalId,
        command: ChangeCommand,
        out: &mut Vec<RaftOutput>,
    ) -> Option<ProposalOutcome> {
        let leading = self.leading.as_mut()?;
        // Before the first commit of the term, entries of earlier terms may still come to count.
        if !leading.established || leading.waiting.len() >= MAX_WAITING {
            let problem = "the leader is not ready: send the change again in a second";
            return Some(ProposalOutcome::Refused(SmolStr::new_static(problem)));
        }
        if let Some(outcome) = self.state.objection(&command) {
            return Some(ProposalOutcome::Change(outcome));
        }
        let index = match self.pending_change(&command) {
            Some(index) => index,
            None => self.append(Command::Change(command), out),
        };
        self.wait_for(index, id);
        self.replicate(now, false, out);
        self.advance_commit(now, out);
        None
    }

    /// Appends a routing table; a decision if one not older is in force already.
    fn propose_routing(
        &mut self,
        now: Mono,
        id: ProposalId,
        routing: Arc<Routing>,
        out: &mut Vec<RaftOutput>,
    ) -> Option<ProposalOutcome> {
        let held = self.state.routing.version;
        if routing.version <= held {
            return Some(ProposalOutcome::TableInForce(held));
        }
        let leading = self.leading.as_ref()?;
        if !leading.established || leading.waiting.len() >= MAX_WAITING {
            let problem = "the leader is not ready: send the table again in a second";
            return Some(ProposalOutcome::Refused(SmolStr::new_static(problem)));
        }
        let index = match self.pending_routing(&routing) {
            Some(index) => index,
            None => self.append(Command::Routing(routing), out),
        };
        self.wait_for(index, id);
        self.replicate(now, false, out);
        self.advance_commit(now, out);
        None
    }

    /// The entry of a table that is appended and not committed yet, if it is not older.
    fn pending_routing(&self, routing: &Routing) -> Option<LogIndex> {
        let pending = self.log.entries().iter().rev().take_while(|e| e.index > self.commit);
        let not_older =
            |c: &Command| matches!(c, Command::Routing(r) if r.version >= routing.version);
        pending.into_iter().find(|e| not_older(&e.command)).map(|e| e.index)
    }

    /// The entry of the same change, if it is appended and not committed yet.
    fn pending_change(&self, command: &ChangeCommand) -> Option<LogIndex> {
        let pending = self.log.entries().iter().rev().take_while(|e| e.index > self.commit);
        let same = |c: &Command| matches!(c, Command::Change(known) if known.id == command.id);
        pending.into_iter().find(|e| same(&e.command)).map(|e| e.index)
    }

    fn wait_for(&mut self, index: LogIndex, id: ProposalId) {
        if let Some(leading) = &mut self.leading {
            leading.waiting.entry(index).or_default().push(id);
        }
    }

    /// Begins to replace a voter; a decision if that is not possible.
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
        let disk = self.identity.strangers.get(&incoming)?.disk;
        let index = self.begin_replacement(now, Replacement { incoming, disk, outgoing }, out);
        self.wait_for(index, id);
        self.advance_commit(now, out);
        None
    }

    /// Appends a replacement and begins to send entries to the incoming instance.
    pub(super) fn begin_replacement(
        &mut self,
        now: Mono,
        replacement: Replacement,
        out: &mut Vec<RaftOutput>,
    ) -> LogIndex {
        let voters = self.members.voters.clone();
        let members = Membership { voters, replacement: Some(replacement) };
        let index = self.append(Command::Members(members), out);
        self.track_progress(now);
        self.replicate(now, false, out);
        index
    }

    fn replacement_problem(&self, outgoing: &InstanceId, incoming: &InstanceId) -> Option<SmolStr> {
        if !self.leading.as_ref().is_some_and(|l| l.established) {
            return Some("the leader is not ready: try again in a second".into());
        }
        if self.members.replacement.is_some() || self.members_at > self.commit {
            return Some("another replacement is under way: wait until it is finished".into());
        }
        if !self.members.voters.contains_key(outgoing) {
            return Some(format_smolstr!("{outgoing} does not vote: name one of the voters"));
        }
        if *outgoing == self.params.me {
            return Some("the leader cannot replace itself: drain it first".into());
        }
        if incoming != outgoing && self.members.voters.contains_key(incoming) {
            return Some(format_smolstr!("{incoming} votes already: name another instance"));
        }
        if !self.identity.strangers.contains_key(incoming) {
            return Some(format_smolstr!(
                "{incoming} has not shown itself: start it with the control role and an empty \
                 data folder, then try again"
            ));
        }
        None
    }

    /// Takes a replacement to its next stage: once the incoming instance has caught up, the
    /// outgoing voter is taken out; once that is committed, the incoming one votes.
    pub(super) fn continue_replacement(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        if self.role != Role::Leader || self.members_at > self.commit {
            return;
        }
        let Some(replacement) = self.members.replacement.clone() else { return };
        let Some(leading) = self.leading.as_ref().filter(|l| l.established) else { return };
        let mut voters = self.members.voters.clone();
        let progress = leading.progress.get(&replacement.incoming);
        let caught_up = progress.is_some_and(|p| p.matched >= self.commit);
        // With the same name, the outgoing voter's disk is gone and only the new one answers.
        if !caught_up {
            return;
        }
        let next =
            if voters.get(&replacement.outgoing).is_some_and(|d| *d != Some(replacement.disk)) {
                voters.shift_remove(&replacement.outgoing);
                Membership { voters, replacement: Some(replacement) }
            } else {
                voters.insert(replacement.incoming.clone(), Some(replacement.disk));
                Membership { voters, replacement: None }
            };
        self.append(Command::Members(next), out);
        self.track_progress(now);
        self.replicate(now, false, out);
        self.advance_commit(now, out);
    }
}
