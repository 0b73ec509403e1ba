//! Automatic addition and replacement of voters.
//!
//! The leader adds standby instances as voters up to the target of the policy, reinstates a voter
//! that returns with a new disk, and replaces a voter that has not replied for the timeout of the
//! policy by a standby instance. Only one replacement is under way at a time, and each of its steps
//! goes through the log, so that any two majorities share a voter. A replacement ends early if its
//! incoming instance falls silent or the voter that timed out replies again.

use std::time::Duration;

use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::control::{Command, Members, Membership, Replacement};

use super::{ELECTION_TIMEOUT_MIN, Raft, RaftOutput};

/// Maximum age of the last hello of a standby instance that may become a voter.
pub(super) const MAX_STANDBY_HELLO_AGE: Duration = Duration::from_millis(1_500);

/// Policy for adding and replacing voters without an operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RepairPolicy {
    /// Number of voters up to which standby instances are added.
    pub target_voters: usize,
    /// Time without a reply after which a voter is replaced by a standby instance.
    pub voter_timeout: Duration,
}

impl Raft {
    /// Starts the next replacement that is due, or cancels one that no longer is.
    pub(super) fn repair_voters(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        let Some(policy) = self.params.repair else { return };
        let has_committed_in_term =
            self.leader_state.as_ref().is_some_and(|l| l.has_committed_in_term);
        if !has_committed_in_term || self.members_index > self.commit_index {
            return;
        }
        if let Some(replacement) = self.members.replacement.clone() {
            if self.is_obsolete(now, &replacement) {
                self.give_up(now, replacement, out);
            }
            return;
        }
        if let Some(replacement) = self.next_replacement(now, policy) {
            self.start_replacement(now, replacement, out);
            self.advance_commit(now, out);
        }
    }

    /// Returns true if the incoming instance does not vote yet and is silent, although its hellos arrive,
    /// or if the voter that timed out replies again.
    fn is_obsolete(&self, now: Mono, replacement: &Replacement) -> bool {
        let Replacement { incoming, disk, outgoing } = replacement;
        if self.members.voters.get(incoming) == Some(&Some(*disk)) {
            return false;
        }
        let has_returned = incoming != outgoing
            && self.members.voters.contains_key(outgoing)
            && self.replies(now, outgoing);
        has_returned || self.has_timed_out(now, incoming, ELECTION_TIMEOUT_MIN)
    }

    fn give_up(&mut self, now: Mono, replacement: Replacement, out: &mut Vec<RaftOutput>) {
        let is_silent = !self.replies(now, &replacement.incoming);
        if let Some(leader_state) = self.leader_state.as_mut().filter(|_| is_silent) {
            leader_state.given_up.insert(replacement.incoming, now);
        }
        let voters = self.members.voters.clone();
        self.append(Command::Members(Membership { voters, replacement: None }), out);
        self.refresh_progress(now);
    }

    /// Returns the replacement that the policy requires next: a voter with a new disk first, then
    /// an additional voter, then a voter that has timed out. A standby instance that did not catch up
    /// comes after those that were not tried since.
    fn next_replacement(&self, now: Mono, policy: RepairPolicy) -> Option<Replacement> {
        let voters = &self.members.voters;
        let timed_out = voters.keys().find(|v| self.has_timed_out(now, v, policy.voter_timeout));
        let standby = self.identity.non_voters.iter().filter(|(name, s)| {
            now.since(s.seen_at) < MAX_STANDBY_HELLO_AGE && **name != self.params.me
        });
        let mut candidates = Vec::new();
        for (name, s) in standby {
            let given_up = self.leader_state.as_ref().and_then(|l| l.given_up.get(name)).copied();
            let (rank, outgoing) = match voters.get(name) {
                Some(disk) if *disk == Some(s.disk) => continue,
                Some(_) => (0, name),
                None if voters.len() < policy.target_voters => (1, name),
                None => match timed_out {
                    Some(voter) => (2, voter),
                    None => continue,
                },
            };
            let (incoming, outgoing) = (name.clone(), outgoing.clone());
            let replacement = Replacement { incoming, disk: s.disk, outgoing };
            candidates.push((given_up, rank, replacement));
        }
        let next = candidates.into_iter().min_by_key(|(given_up, rank, _)| (*given_up, *rank));
        next.map(|(_, _, replacement)| replacement)
    }

    /// Returns true if this leader has had no reply from an instance for `timeout`.
    fn has_timed_out(&self, now: Mono, name: &InstanceId, timeout: Duration) -> bool {
        let progress = self.leader_state.as_ref().and_then(|l| l.progress.get(name));
        *name != self.params.me && progress.is_some_and(|p| now.since(p.last_reply_at) >= timeout)
    }

    /// Returns true if a voter has replied to this leader recently with the disk in the membership, or
    /// is this leader.
    pub(super) fn replies(&self, now: Mono, name: &InstanceId) -> bool {
        if *name == self.params.me {
            return true;
        }
        let Some(progress) = self.leader_state.as_ref().and_then(|l| l.progress.get(name)) else {
            return false;
        };
        let listed = self.members.voters.get(name).copied().flatten();
        let replied_with_disk = match progress.disk {
            Some(disk) => listed.is_none_or(|d| d == disk),
            None => false,
        };
        replied_with_disk && now.since(progress.last_reply_at) < ELECTION_TIMEOUT_MIN
    }

    /// Returns true if a majority of a set of voters has replied to this leader recently, so that it can
    /// commit what comes next.
    pub(super) fn has_live_majority(&self, now: Mono, voters: &Members) -> bool {
        let live = voters.keys().filter(|v| self.replies(now, v)).count();
        2 * live > voters.len()
    }
}
