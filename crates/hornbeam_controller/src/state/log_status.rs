//! Role, leader and voters of the control log, for the structured log and the metrics.

use hornbeam_control::Raft;
use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::control::Membership;
use serde_json::json;

use super::Controller;

/// What a controller knows about the control log. A change of it is written to the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct LogStatus {
    role: &'static str,
    leader: Option<InstanceId>,
    members: Membership,
    refusal: Option<&'static str>,
    /// Voters whose disks are known to be lost.
    lost: Vec<InstanceId>,
}

impl LogStatus {
    fn of(raft: &Raft, now: Mono) -> Self {
        Self {
            role: raft.role().label(),
            leader: raft.leader().cloned(),
            members: raft.membership().clone(),
            refusal: raft.refusal(),
            lost: raft.lost_voters(now),
        }
    }

    fn is_current(&self, raft: &Raft, now: Mono) -> bool {
        self.role == raft.role().label()
            && self.leader.as_ref() == raft.leader()
            && self.members == *raft.membership()
            && self.refusal == raft.refusal()
            && self.lost == raft.lost_voters(now)
    }

    /// True without a leader, if a voter has lost its disk, or if this controller may not vote with its own.
    fn is_failure(&self) -> bool {
        self.leader.is_none() || self.refusal.is_some() || !self.lost.is_empty()
    }
}

impl Controller {
    /// Writes a line if the role, the leader, the voters or a replacement under way has changed.
    pub(super) fn log_status(&mut self) {
        let now = self.clock.now();
        let Some(raft) = self.raft() else {
            self.logged_status = None;
            return;
        };
        if self.logged_status.as_ref().is_some_and(|s| s.is_current(raft, now)) {
            return;
        }
        let status = LogStatus::of(raft, now);
        let voters: Vec<&InstanceId> = status.members.voters.keys().collect();
        let replacement = status.members.replacement.as_ref();
        let replacing = replacement.map(|r| json!({"out": r.outgoing, "in": r.incoming}));
        let fields = json!({
            "belief": "control_log", "role": status.role, "term": raft.term(),
            "leader": status.leader, "voters": voters, "replacing": replacing,
            "refusal": status.refusal, "lost": status.lost, "last": raft.last_position().index,
            "committed": raft.commit_index(), "snapshot": raft.snapshot_index(),
        });
        self.write_log("control_log", status.is_failure(), &fields);
        self.logged_status = Some(status);
    }
}
