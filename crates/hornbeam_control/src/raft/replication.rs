//! Log replication, the commit index and confirmation of leadership by heartbeat rounds.

use hornbeam_events::Event;
use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::control::{Command, ControlBody, DiskId, Entry, LogIndex, LogPos, Term};
use hornbeam_storage::Record;
use smol_str::SmolStr;

use super::{ELECTION_TIMEOUT_MIN, HEARTBEAT_INTERVAL, Persist, Progress, Raft, RaftOutput, Role};
use crate::state::ProposalOutcome;

/// Maximum number of entries in one message.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;
/// Maximum encoded size of the entries in one message, in bytes. A single larger entry is still
/// sent.
const MAX_ENTRY_BYTES_PER_MESSAGE: usize = 1 << 20;

/// Returns the longest prefix of `entries` within [`MAX_ENTRY_BYTES_PER_MESSAGE`], but at least
/// one.
fn limit_entry_bytes(entries: &[Entry]) -> &[Entry] {
    let mut bytes = 0;
    for (i, entry) in entries.iter().enumerate() {
        bytes += postcard::to_allocvec(entry).map_or(0, |b| b.len());
        if bytes > MAX_ENTRY_BYTES_PER_MESSAGE {
            return &entries[..i.max(1)];
        }
    }
    entries
}

/// Time after which unacknowledged entries or snapshot chunks are sent again.
const RESEND_AFTER: std::time::Duration = HEARTBEAT_INTERVAL;

impl Raft {
    /// Starts the next heartbeat round when it is due, or steps down if no majority has replied
    /// within [`ELECTION_TIMEOUT_MIN`] (check-quorum).
    pub(super) fn leader_tick(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        let Some(leader_state) = &mut self.leader_state else { return };
        if now < leader_state.next_heartbeat_at {
            return;
        }
        leader_state.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        leader_state.round += 1;
        leader_state.unconfirmed_rounds.push((leader_state.round, now));
        let voters = &self.members.voters;
        let counts = |v: &InstanceId, p: &Progress| p.counts_for(voters.get(v));
        let recent = leader_state
            .progress
            .iter()
            .filter(|(v, p)| counts(v, p) && now.since(p.last_reply_at) < ELECTION_TIMEOUT_MIN);
        let recent = recent.count();
        if !self.is_majority(recent) {
            self.step_down("no majority of the voters replies", out);
            self.reset_election_timer(now);
            return;
        }
        self.confirm_rounds(now, out);
        self.repair_voters(now, out);
        self.replicate(now, true, out);
    }

    /// Sends entries to every instance that lacks some, and a heartbeat to the others if
    /// `heartbeat`.
    pub(super) fn replicate(&mut self, now: Mono, heartbeat: bool, out: &mut Vec<RaftOutput>) {
        let Some(leader_state) = &self.leader_state else { return };
        let targets: Vec<InstanceId> = leader_state.progress.keys().cloned().collect();
        for to in targets {
            self.replicate_to(now, &to, heartbeat, out);
        }
    }

    /// Sends the next entries or snapshot chunk to one instance, unless an earlier batch is still
    /// unacknowledged and not due for a resend; then at most a heartbeat.
    pub(super) fn replicate_to(
        &mut self,
        now: Mono,
        to: &InstanceId,
        heartbeat: bool,
        out: &mut Vec<RaftOutput>,
    ) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let round = leader_state.round;
        let Some(progress) = leader_state.progress.get_mut(to) else { return };
        let awaits_ack = progress.in_flight && now.since(progress.sent_at) < RESEND_AFTER;
        if progress.next_index <= self.log.base().index {
            if !awaits_ack {
                progress.in_flight = true;
                progress.sent_at = now;
                self.send_snapshot(to, round, out);
            }
            return;
        }
        let prev = LogIndex(progress.next_index.0 - 1);
        let entries = if awaits_ack {
            &[]
        } else {
            self.log.slice(progress.next_index, MAX_ENTRIES_PER_MESSAGE)
        };
        let entries = limit_entry_bytes(entries);
        if entries.is_empty() && !heartbeat {
            return;
        }
        if !entries.is_empty() {
            progress.in_flight = true;
            progress.sent_at = now;
        }
        let entries = entries.to_vec();
        let term = self.log.term_at(prev).unwrap_or_default();
        let prev = LogPos { term, index: prev };
        let body = ControlBody::Append { prev, entries, commit: self.commit_index, round };
        self.send(to, body, out);
    }

    /// Follows the sender if it leads the current term or a later one. Otherwise rejects the
    /// message, so that the sender learns the later term, and returns false.
    pub(super) fn accept_leader(
        &mut self,
        now: Mono,
        from: &InstanceId,
        term: Term,
        round: u64,
        out: &mut Vec<RaftOutput>,
    ) -> bool {
        if term < self.hard_state.term {
            let matched = LogIndex::default();
            let body = ControlBody::AppendReply { success: false, matched, round };
            self.send(from, body, out);
            return false;
        }
        if term > self.hard_state.term || matches!(self.role, Role::Candidate | Role::PreCandidate)
        {
            self.become_follower(now, term, out);
        }
        self.leader = Some(from.clone());
        self.last_leader = Some(from.clone());
        self.leader_heard_at = Some(now);
        self.reset_election_timer(now);
        true
    }

    /// Appends the entries if the log matches at `prev` (log matching). Otherwise replies with the
    /// index from which the leader is to search for the last matching entry.
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
        if prev.index < self.commit_index {
            // A leader of this log has its committed entries.
            if self.log.term_at(prev.index).is_some_and(|term| term != prev.term) {
                return;
            }
            // Everything up to the commit index is known to match, so a message that ends before it
            // is acknowledged without a comparison.
            let skipped = (self.commit_index.0 - prev.index.0) as usize;
            if skipped > entries.len() {
                return self.send(from, reply(true, self.commit_index), out);
            }
        } else if self.log.term_at(prev.index) != Some(prev.term) {
            let hint = self.log.last().index.0.min(prev.index.0.saturating_sub(1));
            let hint = LogIndex(hint.max(self.commit_index.0));
            return self.send(from, reply(false, hint), out);
        }
        let last_new = LogIndex(prev.index.0 + entries.len() as u64);
        self.append_new_entries(entries, out);
        let matched = last_new.max(self.commit_index);
        self.commit_to(commit.min(matched), out);
        self.record_caught_up(commit);
        self.send(from, reply(true, matched), out);
    }

    /// Appends the entries that are not in the log yet, and truncates entries that conflict with
    /// them.
    fn append_new_entries(&mut self, entries: Vec<Entry>, out: &mut Vec<RaftOutput>) {
        let known =
            |e: &Entry| e.index <= self.commit_index || self.log.term_at(e.index) == Some(e.term);
        let new: Vec<Entry> = entries.into_iter().skip_while(known).collect();
        let Some(first) = new.first() else { return };
        self.log.truncate(first.index);
        for entry in &new {
            self.log.push(entry.clone());
        }
        out.push(RaftOutput::Persist(Persist::Append(vec![Record::Entries(new)])));
        self.refresh_members();
        self.update_own_role();
    }

    /// Changes between learner and follower as the membership in the log requires.
    pub(super) fn update_own_role(&mut self) {
        let listed = self.members.voters.get(&self.params.me) == Some(&Some(self.disk));
        match self.role {
            Role::Learner if listed => {
                self.identity.refusal = None;
                self.role = Role::Follower;
            }
            Role::Follower if !listed && self.members_index != LogIndex::default() => {
                self.role = Role::Learner;
            }
            _ => {}
        }
    }

    /// Records the reply of a follower. Returns false if it belongs to another term, comes from an
    /// unexpected disk, or if this instance does not lead.
    pub(super) fn accept_reply(
        &mut self,
        now: Mono,
        from: &InstanceId,
        term: Term,
        disk: DiskId,
        round: u64,
        out: &mut Vec<RaftOutput>,
    ) -> bool {
        if term > self.hard_state.term {
            self.become_follower(now, term, out);
            return false;
        }
        if term < self.hard_state.term || !self.reply_counts(from, disk) {
            return false;
        }
        let Some(leader_state) = &mut self.leader_state else { return false };
        let Some(progress) = leader_state.progress.get_mut(from) else { return false };
        if progress.disk != Some(disk) {
            progress.disk = Some(disk);
            progress.match_index = LogIndex::default();
        }
        progress.last_reply_at = now;
        progress.acked_round = progress.acked_round.max(round);
        self.confirm_rounds(now, out);
        true
    }

    /// Returns true if replies of `from` are expected from this disk: that of the voter, or of the
    /// incoming instance while it catches up.
    fn reply_counts(&self, from: &InstanceId, disk: DiskId) -> bool {
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
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(progress) = leader_state.progress.get_mut(from) else { return };
        progress.in_flight = false;
        if success {
            progress.match_index = progress.match_index.max(matched.min(last));
            progress.next_index = LogIndex(progress.next_index.0.max(progress.match_index.0 + 1));
            let next_index = progress.next_index;
            progress.transfer.take_if(|t| t.snapshot.last.index < next_index);
            let (matched, disk) = (progress.match_index, progress.disk);
            self.record_acknowledged(disk, matched);
            self.advance_commit(now, out);
        } else {
            let next = matched.0.min(progress.next_index.0.saturating_sub(2)) + 1;
            progress.next_index = LogIndex(next.max(progress.match_index.0 + 1));
        }
        self.advance_replacement(now, out);
        self.replicate_to(now, from, false, out);
    }

    fn record_acknowledged(&mut self, disk: Option<DiskId>, matched: LogIndex) {
        let (Some(disk), Some(term)) = (disk, self.log.term_at(matched)) else { return };
        let start = self.identity.starts.get(&disk).copied();
        let known = self.acknowledged.entry(disk).or_default();
        known.record(start, LogPos { term, index: matched });
    }

    /// Returns the highest index that a majority of the voters has on their disks.
    fn majority_match_index(&self) -> LogIndex {
        let Some(leader_state) = &self.leader_state else { return LogIndex::default() };
        let mut matches: Vec<LogIndex> = self
            .members
            .voters
            .keys()
            .map(|v| match leader_state.progress.get(v) {
                Some(p) if !p.counts_for(self.members.voters.get(v)) => LogIndex::default(),
                Some(p) => p.match_index,
                None if *v == self.params.me => self.synced_index.unwrap_or(self.log.last().index),
                None => LogIndex::default(),
            })
            .collect();
        matches.sort_unstable_by(|a, b| b.cmp(a));
        matches.get(matches.len() / 2).copied().unwrap_or_default()
    }

    /// Advances the commit index to the last entry that a majority has, if it is of the current
    /// term.
    pub(super) fn advance_commit(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        let index = self.majority_match_index();
        // Entries of earlier terms are committed only indirectly, by an entry of the current term:
        // a majority alone does not keep a later leader from overwriting them (Raft, section
        // 5.4.2).
        if index <= self.commit_index || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit_to(index, out);
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.has_committed_in_term = true;
        }
        self.advance_replacement(now, out);
        self.step_down_if_removed(now, out);
    }

    /// Transfers leadership and becomes a learner once the removal of this instance is committed.
    fn step_down_if_removed(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        if self.role == Role::Leader && !self.is_voter() && self.members_index <= self.commit_index
        {
            self.transfer_leadership(out);
            self.step_down("this instance is no longer a voter", out);
            self.role = Role::Learner;
            self.reset_election_timer(now);
        }
    }

    /// Raises the commit index to `commit`, applies the entries up to it and compacts the log if
    /// due.
    pub(super) fn commit_to(&mut self, commit: LogIndex, out: &mut Vec<RaftOutput>) {
        if commit <= self.commit_index {
            return;
        }
        self.commit_index = commit;
        while self.applied_index < self.commit_index {
            let index = LogIndex(self.applied_index.0 + 1);
            let Some(entry) = self.log.get(index).cloned() else { return };
            self.applied_index = index;
            self.apply(&entry, out);
        }
        self.compact_if_due(out);
    }

    fn apply(&mut self, entry: &Entry, out: &mut Vec<RaftOutput>) {
        let proposals = match &mut self.leader_state {
            Some(leader_state) => {
                leader_state.pending_proposals.swap_remove(&entry.index).unwrap_or_default()
            }
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
                for id in proposals {
                    let outcome = ProposalOutcome::Change(outcome.clone());
                    out.push(RaftOutput::Decided { id, outcome });
                }
            }
            Command::Routing(routing) => {
                if self.state.apply_routing(routing) {
                    out.push(RaftOutput::RoutingCommitted(routing.clone()));
                }
                let in_force = self.state.routing.version;
                for id in proposals {
                    let outcome = ProposalOutcome::TableInForce(in_force);
                    out.push(RaftOutput::Decided { id, outcome });
                }
            }
            Command::ZoneOrder(order) => {
                self.apply_zone_order(entry.index, order, proposals, out);
            }
            Command::Members(members) => {
                let voters: Vec<&str> = members.voters.keys().map(|v| v.as_str()).collect();
                let voters = SmolStr::new(voters.join(", "));
                out.push(RaftOutput::Event(Event::VotersChanged { voters }));
                for id in proposals {
                    let outcome = ProposalOutcome::ReplacementStarted;
                    out.push(RaftOutput::Decided { id, outcome });
                }
            }
        }
    }

    /// Reports the time of the latest heartbeat round that a majority has acknowledged (read
    /// index): when that round was sent, no other leader had committed anything later.
    fn confirm_rounds(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        let voters = &self.members.voters;
        let Some(leader_state) = &self.leader_state else { return };
        if !leader_state.has_committed_in_term {
            return;
        }
        let ack_count = |round: u64| {
            let progress = leader_state.progress.iter();
            let counted =
                progress.filter(|(v, p)| p.counts_for(voters.get(*v)) && p.acked_round >= round);
            counted.count()
        };
        let latest = leader_state
            .unconfirmed_rounds
            .iter()
            .rev()
            .find(|(r, _)| self.is_majority(ack_count(*r)));
        let Some((round, at)) = latest.copied() else { return };
        debug_assert!(at <= now, "a round is sent before it is acknowledged");
        out.push(RaftOutput::Confirmed(at));
        self.caught_up_at = Some(at);
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.unconfirmed_rounds.retain(|(r, _)| *r > round);
        }
    }
}
