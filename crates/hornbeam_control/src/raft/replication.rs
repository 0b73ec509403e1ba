//! Entries to the others, commit, the leader's lease.

use hornbeam_events::Event;
use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::control::{Command, ControlBody, DiskId, Entry, LogIndex, LogPos, Term};
use hornbeam_storage::Record;
use smol_str::SmolStr;

use super::{ELECTION_MIN, HEARTBEAT, Persist, Progress, Raft, RaftOutput, Role};
use crate::state::ProposalOutcome;

/// Most entries in one message.
const MAX_ENTRIES: usize = 256;
/// Size after which no further entry is put into a message, in bytes.
const MAX_ENTRY_BYTES: usize = 1 << 20;
/// The first of `entries`, up to about [`MAX_ENTRY_BYTES`]; at least one.
fn limit_bytes(entries: &[Entry]) -> &[Entry] {
    let mut bytes = 0;
    for (i, entry) in entries.iter().enumerate() {
        bytes += postcard::to_allocvec(entry).map_or(0, |b| b.len());
        if bytes > MAX_ENTRY_BYTES {
            return &entries[..i.max(1)];
        }
    }
    entries
}

/// Time after which entries are sent again if they were not answered.
const RESEND_AFTER: std::time::Duration = HEARTBEAT;

impl Raft {
    /// Heartbeats and check-quorum.
    pub(super) fn lead_on(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        let Some(leading) = &mut self.leading else { return };
        if now < leading.next_heartbeat {
            return;
        }
        leading.next_heartbeat = now + HEARTBEAT;
        leading.round += 1;
        leading.rounds.push((leading.round, now));
        let voters = &self.members.voters;
        let counts = |v: &InstanceId, p: &Progress| p.speaks_for(voters.get(v));
        let heard = leading
            .progress
            .iter()
            .filter(|(v, p)| counts(v, p) && now.since(p.heard) < ELECTION_MIN);
        let heard = heard.count();
        if !self.is_majority(heard) {
            self.stop_leading("no majority answers", out);
            self.reset_election(now);
            return;
        }
        self.confirm_rounds(now, out);
        self.repair(now, out);
        self.replicate(now, true, out);
    }

    /// Sends entries to those that lack some, and heartbeats to all if `heartbeat`.
    pub(super) fn replicate(&mut self, now: Mono, heartbeat: bool, out: &mut Vec<RaftOutput>) {
        let Some(leading) = &self.leading else { return };
        let targets: Vec<InstanceId> = leading.progress.keys().cloned().collect();
        for to in targets {
            self.replicate_to(now, &to, heartbeat, out);
        }
    }

    pub(super) fn replicate_to(
        &mut self,
        now: Mono,
        to: &InstanceId,
        heartbeat: bool,
        out: &mut Vec<RaftOutput>,
    ) {
        let Some(leading) = &mut self.leading else { return };
        let round = leading.round;
        let Some(progress) = leading.progress.get_mut(to) else { return };
        let waits = progress.in_flight && now.since(progress.sent) < RESEND_AFTER;
        if progress.next <= self.log.base().index {
            if !waits {
                progress.in_flight = true;
                progress.sent = now;
                let offset = progress.snapshot_offset.unwrap_or(0);
                self.send_snapshot(to, offset, round, out);
            }
            return;
        }
        let prev = LogIndex(progress.next.0 - 1);
        let entries = if waits { &[] } else { self.log.slice(progress.next, MAX_ENTRIES) };
        let entries = limit_bytes(entries);
        if entries.is_empty() && !heartbeat {
            return;
        }
        if !entries.is_empty() {
            progress.in_flight = true;
            progress.sent = now;
        }
        let entries = entries.to_vec();
        let term = self.log.term_at(prev).unwrap_or_default();
        let prev = LogPos { term, index: prev };
        let body = ControlBody::Append { prev, entries, commit: self.commit, round };
        self.send(to, body, out);
    }

    /// Follows the sender if it leads the present or a later term; else tells it of the later term.
    pub(super) fn accept_leader(
        &mut self,
        now: Mono,
        from: &InstanceId,
        term: Term,
        round: u64,
        out: &mut Vec<RaftOutput>,
    ) -> bool {
        if term < self.hard.term {
            let matched = LogIndex::default();
            let body = ControlBody::AppendReply { success: false, matched, round };
            self.send(from, body, out);
            return false;
        }
        if term > self.hard.term || matches!(self.role, Role::Candidate | Role::PreCandidate) {
            self.follow_term(now, term, out);
        }
        self.leader = Some(from.clone());
        self.leader_heard = Some(now);
        self.reset_election(now);
        true
    }

    pub(super) fn on_append(
        &mut self,
        from: &InstanceId,
        prev: LogPos,
        entries: Vec<Entry>,
        commit: LogIndex,
        round: u64,
        out: &mut Vec<RaftOutput>,
    ) {
        let reply = |success, matched| ControlBody::AppendReply { success, matched, round };
        if prev.index < self.commit {
            // Everything up to the commit index is known to match.
            let skipped = (self.commit.0 - prev.index.0) as usize;
            if skipped > entries.len() {
                return self.send(from, reply(true, self.commit), out);
            }
        } else if self.log.term_at(prev.index) != Some(prev.term) {
            let hint = self.log.last().index.0.min(prev.index.0.saturating_sub(1));
            let hint = LogIndex(hint.max(self.commit.0));
            return self.send(from, reply(false, hint), out);
        }
        let last_new = LogIndex(prev.index.0 + entries.len() as u64);
        self.take_entries(entries, out);
        let matched = last_new.max(self.commit);
        self.commit_to(commit.min(matched), out);
        self.send(from, reply(true, matched), out);
    }

    /// Appends entries that are new, discarding those they contradict.
    fn take_entries(&mut self, entries: Vec<Entry>, out: &mut Vec<RaftOutput>) {
        let known = |e: &Entry| e.index <= self.commit || self.log.term_at(e.index) == Some(e.term);
        let new: Vec<Entry> = entries.into_iter().skip_while(known).collect();
        let Some(first) = new.first() else { return };
        self.log.truncate(first.index);
        for entry in &new {
            self.log.push(entry.clone());
        }
        out.push(RaftOutput::Persist(Persist::Append(vec![Record::Entries(new)])));
        self.refresh_members();
        self.note_own_membership();
    }

    /// Begins or ceases to vote as the log says.
    pub(super) fn note_own_membership(&mut self) {
        let listed = self.members.voters.get(&self.params.me) == Some(&Some(self.disk));
        match self.role {
            Role::Learner if listed => {
                self.identity.refusal = None;
                self.role = Role::Follower;
            }
            Role::Follower if !listed && self.members_at != LogIndex::default() => {
                self.role = Role::Learner;
            }
            _ => {}
        }
    }

    /// Notes that a follower answered; false if the answer is not for this leadership.
    pub(super) fn accept_reply(
        &mut self,
        now: Mono,
        from: &InstanceId,
        term: Term,
        disk: DiskId,
        round: u64,
        out: &mut Vec<RaftOutput>,
    ) -> bool {
        if term > self.hard.term {
            self.follow_term(now, term, out);
            return false;
        }
        if term < self.hard.term || !self.may_count_reply(from, disk) {
            return false;
        }
        let Some(leading) = &mut self.leading else { return false };
        let Some(progress) = leading.progress.get_mut(from) else { return false };
        if progress.disk != Some(disk) {
            progress.disk = Some(disk);
            progress.matched = LogIndex::default();
        }
        progress.heard = now;
        progress.round = progress.round.max(round);
        self.confirm_rounds(now, out);
        true
    }

    fn may_count_reply(&self, from: &InstanceId, disk: DiskId) -> bool {
        let replacement = self.members.replacement.as_ref();
        match replacement.filter(|r| r.incoming == *from) {
            Some(r) if r.incoming != r.outgoing => r.disk == disk,
            Some(r) => r.disk == disk || self.voter_disk(from) == Some(disk),
            None => self.voter_disk(from) == Some(disk),
        }
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Mono,
        from: &InstanceId,
        success: bool,
        matched: LogIndex,
        out: &mut Vec<RaftOutput>,
    ) {
        let last = self.log.last().index;
        let Some(leading) = &mut self.leading else { return };
        let Some(progress) = leading.progress.get_mut(from) else { return };
        progress.in_flight = false;
        if success {
            progress.matched = progress.matched.max(matched.min(last));
            progress.next = LogIndex(progress.next.0.max(progress.matched.0 + 1));
            progress.snapshot_offset = None;
            let (matched, disk) = (progress.matched, progress.disk);
            self.note_acknowledged(disk, matched);
            self.advance_commit(now, out);
        } else {
            let next = matched.0.min(progress.next.0.saturating_sub(2)) + 1;
            progress.next = LogIndex(next.max(progress.matched.0 + 1));
        }
        self.continue_replacement(now, out);
        self.replicate_to(now, from, false, out);
    }

    fn note_acknowledged(&mut self, disk: Option<DiskId>, matched: LogIndex) {
        let (Some(disk), Some(term)) = (disk, self.log.term_at(matched)) else { return };
        let known = self.acknowledged.entry(disk).or_default();
        *known = (*known).max(LogPos { term, index: matched });
    }

    /// The highest entry that a majority of the voters has.
    fn majority_match(&self) -> LogIndex {
        let Some(leading) = &self.leading else { return LogIndex::default() };
        let mut matches: Vec<LogIndex> = self
            .members
            .voters
            .keys()
            .map(|v| match leading.progress.get(v) {
                Some(p) if !p.speaks_for(self.members.voters.get(v)) => LogIndex::default(),
                Some(p) => p.matched,
                None if *v == self.params.me => self.log.last().index,
                None => LogIndex::default(),
            })
            .collect();
        matches.sort_unstable_by(|a, b| b.cmp(a));
        matches.get(matches.len() / 2).copied().unwrap_or_default()
    }

    pub(super) fn advance_commit(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        let index = self.majority_match();
        // Only an entry of the own term shows that the entries before it are there to stay.
        if index <= self.commit || self.log.term_at(index) != Some(self.hard.term) {
            return;
        }
        self.commit_to(index, out);
        if let Some(leading) = &mut self.leading {
            leading.established = true;
        }
        self.continue_replacement(now, out);
        self.leave_if_removed(now, out);
    }

    fn leave_if_removed(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        if self.role == Role::Leader && !self.is_voter() && self.members_at <= self.commit {
            self.hand_over(out);
            self.stop_leading("this instance is no longer a voter", out);
            self.role = Role::Learner;
            self.reset_election(now);
        }
    }

    /// Applies entries up to `commit`.
    pub(super) fn commit_to(&mut self, commit: LogIndex, out: &mut Vec<RaftOutput>) {
        if commit <= self.commit {
            return;
        }
        self.commit = commit;
        while self.applied < self.commit {
            let index = LogIndex(self.applied.0 + 1);
            let Some(entry) = self.log.get(index).cloned() else { return };
            self.applied = index;
            self.apply(&entry, out);
        }
        self.compact_if_due(out);
    }

    fn apply(&mut self, entry: &Entry, out: &mut Vec<RaftOutput>) {
        let waiting = match &mut self.leading {
            Some(leading) => leading.waiting.swap_remove(&entry.index).unwrap_or_default(),
            None => Vec::new(),
        };
        match &entry.command {
            Command::Noop => {}
            Command::Change(command) => {
                let (outcome, accepted) = self.state.apply(command);
                if accepted {
                    let change = command.change.clone();
                    let config = self.state.config.clone();
                    out.push(RaftOutput::ChangeCommitted { change, config });
                }
                for id in waiting {
                    let outcome = ProposalOutcome::Change(outcome.clone());
                    out.push(RaftOutput::Decided { id, outcome });
                }
            }
            Command::Routing(routing) => {
                if self.state.apply_routing(routing) {
                    out.push(RaftOutput::RoutingCommitted(routing.clone()));
                }
                let held = self.state.routing.version;
                for id in waiting {
                    let outcome = ProposalOutcome::TableInForce(held);
                    out.push(RaftOutput::Decided { id, outcome });
                }
            }
            Command::Members(members) => {
                let voters: Vec<&str> = members.voters.keys().map(|v| v.as_str()).collect();
                let voters = SmolStr::new(voters.join(", "));
                out.push(RaftOutput::Event(Event::VotersChanged { voters }));
                for id in waiting {
                    let outcome = ProposalOutcome::ReplacementStarted;
                    out.push(RaftOutput::Decided { id, outcome });
                }
            }
        }
    }

    /// Notes rounds that a majority has answered: nothing later was accepted elsewhere when they
    /// were sent.
    fn confirm_rounds(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        let voters = &self.members.voters;
        let Some(leading) = &self.leading else { return };
        if !leading.established {
            return;
        }
        let answered = |round: u64| {
            let progress = leading.progress.iter();
            let counted =
                progress.filter(|(v, p)| p.speaks_for(voters.get(*v)) && p.round >= round);
            counted.count()
        };
        let newest = leading.rounds.iter().rev().find(|(r, _)| self.is_majority(answered(*r)));
        let Some((round, at)) = newest.copied() else { return };
        debug_assert!(at <= now, "a round is sent before it is answered");
        out.push(RaftOutput::Confirmed(at));
        if let Some(leading) = &mut self.leading {
            leading.rounds.retain(|(r, _)| *r > round);
        }
    }
}
