//! Pre-vote, vote, lead and step down.

use hornbeam_events::Event;
use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::control::{
    Command, ControlBody, LogIndex, LogPos, Members, Membership, Term,
};
use indexmap::IndexMap;
use smol_str::SmolStr;

use super::{ELECTION_MIN, Leading, Progress, Raft, RaftOutput, Role};
use crate::state::ProposalOutcome;

impl Raft {
    /// True if a leader was heard so lately that no other is to be elected.
    fn leader_is_alive(&self, now: Mono) -> bool {
        match self.role {
            Role::Leader => true,
            _ => self.leader_heard.is_some_and(|at| now.since(at) < ELECTION_MIN),
        }
    }

    fn is_up_to_date(&self, last: LogPos) -> bool {
        last >= self.log.last()
    }

    pub(super) fn ask_pre_votes(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        self.set_next_election(now);
        if !self.is_voter() {
            self.role = Role::Learner;
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        if self.params.repair.is_some() {
            // It may have been replaced while it was away: then only a hello brings it back.
            self.send_hellos(out);
        }
        self.votes.clear();
        let next_term = Term(self.hard.term.0 + 1);
        let body = ControlBody::PreVote { next_term, last: self.log.last() };
        for to in self.other_voters() {
            self.send(&to, body.clone(), out);
        }
        self.count_pre_votes(now, out);
    }

    /// When to stand next if this election leads to nothing: soon while no leader was heard since the
    /// start, since the others have then just started as well.
    fn set_next_election(&mut self, now: Mono) {
        if self.leader_heard.is_none() {
            self.stand_soon(now);
        } else {
            self.reset_election(now);
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
        let granted =
            next_term > self.hard.term && !self.leader_is_alive(now) && self.is_up_to_date(last);
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
        if !granted && term > self.hard.term {
            self.follow_term(now, term, out);
            return;
        }
        let asked = next_term.0 == self.hard.term.0 + 1;
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
            self.stand(now, false, out);
        }
    }

    /// Begins a term as its candidate.
    pub(super) fn stand(
        &mut self,
        now: Mono,
        leadership_transfer: bool,
        out: &mut Vec<RaftOutput>,
    ) {
        self.role = Role::Candidate;
        self.leader = None;
        self.votes.clear();
        self.hard.term.0 += 1;
        self.hard.voted_for = Some(self.params.me.clone());
        self.save_hard(out);
        self.set_next_election(now);
        let body = ControlBody::Vote { last: self.log.last(), leadership_transfer };
        for to in self.other_voters() {
            self.send(&to, body.clone(), out);
        }
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
        if self.leader_is_alive(now) && !leadership_transfer {
            return;
        }
        if term > self.hard.term {
            self.follow_term(now, term, out);
        }
        let free = self.hard.voted_for.as_ref().is_none_or(|v| v == from);
        let granted = term == self.hard.term && free && self.is_up_to_date(last);
        if granted && self.hard.voted_for.is_none() {
            self.hard.voted_for = Some(from.clone());
            self.save_hard(out);
        }
        if granted {
            self.reset_election(now);
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
        if term > self.hard.term {
            self.follow_term(now, term, out);
            return;
        }
        if self.role == Role::Candidate && granted && term == self.hard.term {
            self.votes.insert(from.clone());
            self.count_votes(now, out);
        }
    }

    fn count_votes(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        if self.is_majority(self.counted_votes()) {
            self.lead(now, out);
        }
    }

    fn lead(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        self.role = Role::Leader;
        self.leader = Some(self.params.me.clone());
        self.leading = Some(Leading {
            progress: IndexMap::new(),
            round: 0,
            rounds: Vec::new(),
            next_heartbeat: now,
            waiting: IndexMap::new(),
            established: false,
        });
        out.push(RaftOutput::Event(Event::BecameLeader { term: self.hard.term.0 }));
        let command = self.first_command();
        self.append(command, out);
        self.track_progress(now);
        self.lead_on(now, out);
        self.advance_commit(now, out);
    }

    /// A term begins with an empty entry; the first of all records the founders' disks.
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

    /// Follows a later term whose leader is not known yet.
    pub(super) fn follow_term(&mut self, now: Mono, term: Term, out: &mut Vec<RaftOutput>) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.voted_for = None;
            self.save_hard(out);
        }
        self.stop_leading("a later term began", out);
        if self.role != Role::Learner {
            self.role = Role::Follower;
        }
        self.leader = None;
        self.reset_election(now);
    }

    /// Gives up the lead if it has it; proposals that wait get an unknown outcome.
    pub(super) fn stop_leading(&mut self, reason: &'static str, out: &mut Vec<RaftOutput>) {
        let Some(leading) = self.leading.take() else { return };
        let reason = SmolStr::new_static(reason);
        out.push(RaftOutput::Event(Event::SteppedDown { term: self.hard.term.0, reason }));
        for id in leading.waiting.into_values().flatten() {
            out.push(RaftOutput::Decided { id, outcome: ProposalOutcome::Unknown });
        }
        self.role = Role::Follower;
        self.leader = None;
    }

    /// Asks the voter that is furthest to begin an election, before this instance stops.
    pub(super) fn hand_over(&mut self, out: &mut Vec<RaftOutput>) {
        let Some(leading) = &self.leading else { return };
        let voters = leading.progress.iter().filter(|(v, _)| self.members.voters.contains_key(*v));
        let Some((to, _)) = voters.max_by_key(|(_, p)| (p.matched, p.heard)) else { return };
        let to = to.clone();
        self.send(&to, ControlBody::TransferLeadership, out);
    }

    pub(super) fn on_hand_over(
        &mut self,
        now: Mono,
        from: &InstanceId,
        term: Term,
        out: &mut Vec<RaftOutput>,
    ) {
        let is_leader = self.leader.as_ref() == Some(from) && term == self.hard.term;
        if is_leader && self.role == Role::Follower && self.is_voter() {
            self.stand(now, true, out);
        }
    }

    /// What a new leader assumes of the others.
    pub(super) fn track_progress(&mut self, now: Mono) {
        let next = LogIndex(self.log.last().index.0 + 1);
        let mut targets = self.other_voters();
        if let Some(r) = &self.members.replacement
            && r.incoming != self.params.me
            && !targets.contains(&r.incoming)
        {
            targets.push(r.incoming.clone());
        }
        let Some(leading) = &mut self.leading else { return };
        leading.progress.retain(|name, _| targets.contains(name));
        for target in targets {
            leading.progress.entry(target).or_insert(Progress {
                disk: None,
                next,
                matched: LogIndex::default(),
                round: 0,
                heard: now,
                snapshot_offset: None,
                in_flight: false,
                sent: Mono::default(),
            });
        }
    }
}
