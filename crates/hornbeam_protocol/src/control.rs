//! Messages of the control log (Raft) between voters and learners, and the log entries.

use std::sync::Arc;

use hornbeam_model::{Change, ChangeId, InstanceId, Revision, Routing, ZoneOrder};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Identity of a voter's disk. A replacement for a lost disk has a different identity.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct DiskId(pub u64);

/// Raft term: number of an election period.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Term(pub u64);

/// Position in the log; the first entry has index 1.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LogIndex(pub u64);

/// Voters, each with the identity of its disk once that is known.
pub type Members = IndexMap<InstanceId, Option<DiskId>>;

/// Voters of the control log and the replacement in progress.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Instances whose votes and acknowledgments count toward a quorum.
    pub voters: Members,
    /// Instance that is catching up to become a voter, and the voter that it will replace.
    pub replacement: Option<Replacement>,
}

/// Voter replacement in progress.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replacement {
    /// Instance that becomes a voter.
    pub incoming: InstanceId,
    /// Identity of the disk of `incoming`.
    pub disk: DiskId,
    /// Voter that is removed; the same as `incoming` if only its disk changes.
    pub outgoing: InstanceId,
}

/// Effect of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// No effect; the first entry of a new leader's term.
    Noop,
    /// Changes the configuration if its expected revision is the current one.
    Change(ChangeCommand),
    /// Replaces the set of voters; takes effect when it is appended, before it is committed.
    Members(Membership),
    /// Puts a routing table in force unless one of the same or a later version is.
    Routing(Arc<Routing>),
    /// Evacuates the servers of a zone or ends their evacuation; proposed only if all controllers read
    /// it ([`Features::ZONE_ORDERS`](crate::features::Features::ZONE_ORDERS)).
    ZoneOrder(ZoneOrder),
}

/// Configuration change as a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeCommand {
    /// Identifier of the change; a resend with the same id gets the first outcome.
    pub id: ChangeId,
    /// Revision that the operator based the change on.
    pub expect: Revision,
    /// Change to apply.
    pub change: Change,
    /// Wall-clock time of the proposal in milliseconds since 1970; used for the history only.
    pub unix_ms: i64,
}

/// Log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Position of the entry.
    pub index: LogIndex,
    /// Term in which the leader appended the entry.
    pub term: Term,
    /// Effect of the entry.
    pub command: Command,
}

/// Outcome of a configuration change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change was accepted.
    Accepted {
        /// Revision that the change produced.
        revision: Revision,
    },
    /// The expected revision is not the current one: another change was accepted first.
    Conflict {
        /// Revision in force.
        current: Revision,
    },
    /// The change cannot be applied to the configuration in force.
    Invalid {
        /// Reason, with the remedy.
        problem: SmolStr,
    },
}

/// Message of the control log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlMessage {
    /// Identity of the sender's disk.
    pub disk: DiskId,
    /// Current term of the sender.
    pub term: Term,
    /// Content of the message.
    pub body: ControlBody,
}

/// Kinds of control messages.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ControlBody {
    /// Asks whether the receiver would vote for the sender in `next_term`, without requesting the
    /// vote.
    PreVote {
        /// Term that the candidate would start.
        next_term: Term,
        /// Last log entry of the candidate.
        last: LogPos,
    },
    /// Reply to [`ControlBody::PreVote`].
    PreVoteReply {
        /// Term that the request named.
        next_term: Term,
        /// True if the receiver would grant its vote.
        granted: bool,
    },
    /// Requests a vote in the sender's term.
    Vote {
        /// Last log entry of the candidate.
        last: LogPos,
        /// True if the previous leader transferred its leadership, so that the receiver votes even
        /// while it considers that leader alive.
        leadership_transfer: bool,
    },
    /// Reply to [`ControlBody::Vote`].
    VoteReply {
        /// True if the vote is granted.
        granted: bool,
    },
    /// Replicates log entries; also serves as the heartbeat of the leader.
    Append {
        /// Position and term of the entry that precedes `entries`.
        prev: LogPos,
        /// Entries to append, in log order.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: LogIndex,
        /// Heartbeat round, by which the leader confirms its lease.
        round: u64,
    },
    /// Reply to [`ControlBody::Append`].
    AppendReply {
        /// True if the log matches up to `matched`.
        success: bool,
        /// Last entry known to match; if `success` is false, a hint where to look for one.
        matched: LogIndex,
        /// Heartbeat round of the request.
        round: u64,
    },
    /// Chunk of a snapshot.
    Snapshot {
        /// Last log entry that the snapshot includes.
        last: LogPos,
        /// Size of the whole snapshot in bytes.
        total: u64,
        /// Offset of this chunk in bytes.
        offset: u64,
        /// Bytes of the chunk.
        data: Vec<u8>,
        /// Heartbeat round, as in [`ControlBody::Append`].
        round: u64,
    },
    /// Reply to [`ControlBody::Snapshot`]; the last chunk is acknowledged by an `AppendReply`.
    SnapshotReply {
        /// Number of bytes received so far, which is the offset of the next chunk.
        received: u64,
        /// Last log entry that the snapshot includes.
        last: LogPos,
        /// Heartbeat round of the request.
        round: u64,
    },
    /// Leadership transfer: asks the receiver to start an election immediately.
    TransferLeadership,
    /// Presents the identity of an instance that has started, before it may vote.
    Hello {
        /// Number of starts with this disk.
        boot: u64,
        /// Random number that identifies this start.
        nonce: u64,
        /// Last log entry of the sender.
        last: LogPos,
    },
    /// Reply to [`ControlBody::Hello`].
    HelloReply {
        /// `nonce` of the hello.
        nonce: u64,
        /// Result of the identity check.
        verdict: HelloVerdict,
    },
}

/// Result of checking the identity of an instance that has started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HelloVerdict {
    /// The checking voter has never been part of a control log itself.
    Blank,
    /// The disk belongs to the voter, and no later state of it is known.
    Known,
    /// A later state of the same disk is known: the disk is outdated, such as a restored copy.
    Outdated,
    /// A different disk, or none, is known for the instance.
    Foreign,
}

/// Term and position of a log entry; ordered by term first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LogPos {
    /// Term of the entry.
    pub term: Term,
    /// Position of the entry.
    pub index: LogIndex,
}
