//! Leader election: pre-vote, vote, leadership transfer and stepping down.

use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::control::{
    Command, ControlBody, LogIndex, LogPos, Members, Membership, Term,
};
use indexmap::IndexMap;
use smol_str::SmolStr;

use super::{
    ELECTION_TIMEOUT_MIN, HEARTBEAT_INTERVAL, LeaderState, Progress, Raft, RaftOutput, Role,
};
use crate::state::ProposalOutcome;

/// Interval at which a request for votes or pre-votes is sent again to voters that have not granted it.
const VOTE_RESEND_INTERVAL: Duration = HEARTBEAT_INTERVAL;

impl Raft {
    /// Returns true if this instance leads or has heard a leader within [`ELECTION_TIMEOUT_MIN`].
    /// Unless leadership is transferred, it then grants no votes, so that a voter that rejoins does
    /// not disrupt a working leader.
    fn has_recent_leader(&self, now: Mono) -> bool {
        match self.role {
            Role::Leader => true,
            _ => self.leader_heard_at.is_some_and(|at| now.since(at) < ELECTION_TIMEOUT_MIN),
        }
    }

    fn is_up_to_date(&self, last: LogPos) -> bool {
        last >= self.log.last()
    }

    pub(super) fn start_pre_vote(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        self.schedule_next_election(now);
        if !self.is_voter() {
            self.role = Role::Learner;
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        if self.params.repair.is_some() {
            // A voter that was replaced during its absence rejoins only through a hello.
            self.send_hellos(out);
        }
        self.votes.clear();
        let next_term = Term(self.hard_state.term.0 + 1);
        let body = ControlBody::PreVote { next_term, last: self.log.last() };
        self.request_votes(now, body, out);
        self.count_pre_votes(now, out);
    }

    fn request_votes(&mut self, now: Mono, body: ControlBody, out: &mut Vec<RaftOutput>) {
        self.vote_request = Some(body);
        self.resend_vote_request(now, out);
    }

    /// Sends the request of the election under way to every voter whose vote is missing: a lost message
    /// must not cost a term.
    pub(super) fn resend_vote_request(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        self.vote_resend_at = now + VOTE_RESEND_INTERVAL;
        let Some(body) = self.vote_request.clone() else { return };
        for to in self.other_voters() {
            if !self.votes.contains(&to) {
                self.send(&to, body.clone(), out);
            }
        }
    }

    /// Schedules the next election in case this one fails. The short first-election timeout applies
    /// until a leader is heard, because the other voters have then just started as well.
    fn schedule_next_election(&mut self, now: Mono) {
        if self.leader_heard_at.is_none() {
            self.schedule_first_election(now);
        } else {
            self.reset_election_timer(now);
        }
    }

    pub(super) fn on_pre_vote(
        &mut self,
        now: Mono,
        from: &InstanceId,
        next_term: Term,
        last: LogPos,
        out: &mut Vec<RaftOutput>,
    ) {
        let granted = next_term > self.hard_state.term
            && !self.must_not_vote()
            && !self.has_recent_leader(now)
            && self.is_up_to_date(last);
        self.send(from, ControlBody::PreVoteReply { next_term, granted }, out);
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now: Mono,
        from: &InstanceId,
        term: Term,
        next_term: Term,
        granted: bool,
        out: &mut Vec<RaftOutput>,
    ) {
        if !granted && term > self.hard_state.term {
            self.become_follower(now, term, out);
            return;
        }
        let asked = next_term.0 == self.hard_state.term.0 + 1;
        if self.role == Role::PreCandidate && granted && asked {
            self.votes.insert(from.clone());
            self.count_pre_votes(now, out);
        }
    }

    fn counted_votes(&self) -> usize {
        self.votes.iter().filter(|v| self.members.voters.contains_key(*v)).count()
    }

    fn count_pre_votes(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        if self.is_majority(self.counted_votes()) {
            self.start_election(now, false, out);
        }
    }

    /// Starts a new term as a candidate, votes for itself and requests votes.
    pub(super) fn start_election(
        &mut self,
        now: Mono,
        leadership_transfer: bool,
        out: &mut Vec<RaftOutput>,
    ) {
        self.role = Role::Candidate;
        self.leader = None;
        self.votes.clear();
        self.hard_state.term.0 += 1;
        self.hard_state.voted_for = Some(self.params.me.clone());
        self.persist_hard_state(out);
        self.schedule_next_election(now);
        let body = ControlBody::Vote { last: self.log.last(), leadership_transfer };
        self.request_votes(now, body, out);
        self.count_votes(now, out);
    }

    pub(super) fn on_vote(
        &mut self,
        now: Mono,
        from: &InstanceId,
        term: Term,
        last: LogPos,
        leadership_transfer: bool,
        out: &mut Vec<RaftOutput>,
    ) {
        if self.must_not_vote() || (self.has_recent_leader(now) && !leadership_transfer) {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(now, term, out);
        }
        let can_vote = self.hard_state.voted_for.as_ref().is_none_or(|v| v == from);
        let granted = term == self.hard_state.term && can_vote && self.is_up_to_date(last);
        if granted && self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(from.clone());
            self.persist_hard_state(out);
        }
        if granted {
            self.reset_election_timer(now);
        }
        self.send(from, ControlBody::VoteReply { granted }, out);
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Mono,
        from: &InstanceId,
        term: Term,
        granted: bool,
        out: &mut Vec<RaftOutput>,
    ) {
        if term > self.hard_state.term {
            self.become_follower(now, term, out);
            return;
        }
        if self.role == Role::Candidate && granted && term == self.hard_state.term {
            self.votes.insert(from.clone());
            self.count_votes(now, out);
        }
    }

    fn count_votes(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        if self.is_majority(self.counted_votes()) {
            self.become_leader(now, out);
        }
    }

    fn become_leader(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        self.role = Role::Leader;
        self.leader = Some(self.params.me.clone());
        self.leader_state = Some(LeaderState {
            progress: IndexMap::new(),
            round: 0,
            unconfirmed_rounds: Vec::new(),
            next_heartbeat_at: now,
            given_up: IndexMap::new(),
            pending_proposals: IndexMap::new(),
            has_committed_in_term: false,
        });
        out.push(RaftOutput::Event(Event::BecameLeader { term: self.hard_state.term.0 }));
        let command = self.first_command();
        self.append(command, out);
        self.refresh_progress(now);
        self.recall_last_leader();
        self.leader_tick(now, out);
        self.advance_commit(now, out);
    }

    /// Counts the silence of the last leader from when it was heard, so that its place is not empty for the
    /// time of the election longer. One that has voted was heard just now.
    fn recall_last_leader(&mut self) {
        let (Some(name), Some(heard_at)) = (&self.last_leader, self.leader_heard_at) else {
            return;
        };
        if self.votes.contains(name) {
            return;
        }
        let progress = self.leader_state.as_mut().and_then(|l| l.progress.get_mut(name));
        if let Some(progress) = progress {
            progress.last_reply_at = heard_at;
        }
    }

    /// Returns the first entry of a term: a no-op, or in an empty log the membership with the disk
    /// identity of each initial voter.
    fn first_command(&self) -> Command {
        if self.log.last().index != LogIndex::default() {
            return Command::Noop;
        }
        let disks = self.members.voters.keys().map(|v| {
            let disk = if *v == self.params.me { Some(self.disk) } else { self.voter_disk(v) };
            (v.clone(), disk)
        });
        Command::Members(Membership { voters: disks.collect::<Members>(), replacement: None })
    }

    /// Becomes a follower in `term`, whose leader is not known yet. A learner stays a learner.
    pub(super) fn become_follower(&mut self, now: Mono, term: Term, out: &mut Vec<RaftOutput>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
            self.persist_hard_state(out);
        }
        self.step_down("a later term began", out);
        if self.role != Role::Learner {
            self.role = Role::Follower;
        }
        self.leader = None;
        self.reset_election_timer(now);
    }

    /// Steps down if this instance leads. Pending proposals get [`ProposalOutcome::Unknown`],
    /// because a later leader may still commit them.
    pub(super) fn step_down(&mut self, reason: &'static str, out: &mut Vec<RaftOutput>) {
        let Some(leader_state) = self.leader_state.take() else { return };
        let reason = SmolStr::new_static(reason);
        out.push(RaftOutput::Event(Event::SteppedDown { term: self.hard_state.term.0, reason }));
        for id in leader_state.pending_proposals.into_values().flatten() {
            out.push(RaftOutput::Decided { id, outcome: ProposalOutcome::Unknown });
        }
        self.role = Role::Follower;
        self.leader = None;
    }

    /// Asks the voter with the highest match index, or of several the one heard last, to start an
    /// election.
    pub(super) fn transfer_leadership(&mut self, out: &mut Vec<RaftOutput>) {
        let Some(leader_state) = &self.leader_state else { return };
        let voters =
            leader_state.progress.iter().filter(|(v, _)| self.members.voters.contains_key(*v));
        let Some((to, _)) = voters.max_by_key(|(_, p)| (p.match_index, p.last_reply_at)) else {
            return;
        };
        let to = to.clone();
        self.send(&to, ControlBody::TransferLeadership, out);
    }

    pub(super) fn on_transfer_leadership(
        &mut self,
        now: Mono,
        from: &InstanceId,
        term: Term,
        out: &mut Vec<RaftOutput>,
    ) {
        let is_leader = self.leader.as_ref() == Some(from) && term == self.hard_state.term;
        if is_leader && self.role == Role::Follower && self.is_voter() {
            self.start_election(now, true, out);
        }
    }

    /// Tracks the replication progress of exactly the other voters and the incoming instance. Those
    /// that are new start at the end of the leader's log.
    pub(super) fn refresh_progress(&mut self, now: Mono) {
        let next_index = LogIndex(self.log.last().index.0 + 1);
        let mut targets = self.other_voters();
        if let Some(r) = &self.members.replacement
            && r.incoming != self.params.me
            && !targets.contains(&r.incoming)
        {
            targets.push(r.incoming.clone());
        }
        let Some(leader_state) = &mut self.leader_state else { return };
        leader_state.progress.retain(|name, _| targets.contains(name));
        for target in targets {
            leader_state.progress.entry(target).or_insert(Progress {
                disk: None,
                next_index,
                match_index: LogIndex::default(),
                acked_round: 0,
                last_reply_at: now,
                transfer: None,
                in_flight: false,
                sent_at: Mono::default(),
            });
        }
    }
}
