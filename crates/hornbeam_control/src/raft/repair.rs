//! Voters found and replaced without an operator.
//!
//! A leader adds voters until there are as many as the policy wants, puts a returned instance with a
//! new disk in the place of its old self, and puts an instance that stands by in the place of a voter
//! that has been silent for long. One replacement is under way at a time, each through the log, so
//! that any two majorities share a voter.

use std::time::Duration;

use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::control::{Command, Membership, Replacement};

use super::{Raft, RaftOutput};

/// Age of a hello up to which an instance that stands by counts as there.
const STANDBY_FRESH: Duration = Duration::from_millis(1_500);

/// How voters are found and replaced without an operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RepairPolicy {
    /// Voters wanted; as many join as show themselves.
    pub target_voters: usize,
    /// Silence after which a voter gives its place to an instance that stands by.
    pub voter_timeout: Duration,
}

impl Raft {
    /// Begins the next replacement that is due, or gives up one whose incoming instance is gone.
    pub(super) fn repair(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        let Some(policy) = self.params.repair else { return };
        let established = self.leading.as_ref().is_some_and(|l| l.established);
        if !established || self.members_at > self.commit {
            return;
        }
        if let Some(replacement) = &self.members.replacement {
            if self.is_silent(now, &replacement.incoming, policy.voter_timeout) {
                let voters = self.members.voters.clone();
                self.append(Command::Members(Membership { voters, replacement: None }), out);
                self.track_progress(now);
            }
            return;
        }
        if let Some(replacement) = self.due_replacement(now, policy) {
            self.begin_replacement(now, replacement, out);
            self.advance_commit(now, out);
        }
    }

    fn due_replacement(&self, now: Mono, policy: RepairPolicy) -> Option<Replacement> {
        let strangers = self.identity.strangers.iter();
        let standby = strangers
            .filter(|(name, s)| now.since(s.seen) < STANDBY_FRESH && **name != self.params.me);
        let standby: Vec<_> = standby.collect();
        let voters = &self.members.voters;
        let new_disk = |name: &InstanceId, disk| voters.get(name).is_some_and(|d| *d != Some(disk));
        if let Some((name, s)) = standby.iter().find(|(name, s)| new_disk(name, s.disk)) {
            let (incoming, outgoing) = ((*name).clone(), (*name).clone());
            return Some(Replacement { incoming, disk: s.disk, outgoing });
        }
        let (name, s) = standby.into_iter().find(|(name, _)| !voters.contains_key(*name))?;
        let incoming = name.clone();
        if voters.len() < policy.target_voters {
            return Some(Replacement { outgoing: incoming.clone(), incoming, disk: s.disk });
        }
        let silent = voters.keys().find(|v| self.is_silent(now, v, policy.voter_timeout))?;
        Some(Replacement { incoming, disk: s.disk, outgoing: silent.clone() })
    }

    /// True if this leader has not heard an instance for `limit`.
    fn is_silent(&self, now: Mono, name: &InstanceId, limit: Duration) -> bool {
        let progress = self.leading.as_ref().and_then(|l| l.progress.get(name));
        *name != self.params.me && progress.is_some_and(|p| now.since(p.heard) >= limit)
    }
}
