//! Voters that are lost, and how many more may be before nothing can be decided.

use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::control::DiskId;

use super::Raft;
use super::repair::MAX_STANDBY_HELLO_AGE;

impl Raft {
    /// Returns the voters that have lost their disks: their latest hellos name other ones.
    pub fn lost_voters(&self, now: Mono) -> Vec<InstanceId> {
        let has_lost_disk = |name: &InstanceId, disk: &Option<DiskId>| {
            let seen = self.identity.non_voters.get(name);
            let recent = seen.filter(|s| now.since(s.seen_at) < MAX_STANDBY_HELLO_AGE);
            recent.is_some_and(|s| disk.is_some_and(|d| d != s.disk))
        };
        let voters = self.members.voters.iter().filter(|(name, disk)| has_lost_disk(name, disk));
        voters.map(|(name, _)| name.clone()).collect()
    }

    /// Returns how many further voters may be lost before nothing can be decided; `None` unless this
    /// instance leads.
    pub fn spare_voters(&self, now: Mono) -> Option<usize> {
        self.leader_state.as_ref()?;
        let voters = &self.members.voters;
        let live = voters.keys().filter(|v| self.replies(now, v)).count();
        Some(live.saturating_sub(voters.len() / 2 + 1))
    }
}
