//! Control traffic among voters and learners.

use std::sync::Arc;

use hornbeam_model::{Change, ChangeId, InstanceId, Revision, Routing};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Identity of a voter's disk; a lost disk is replaced by one with another identity.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct DiskId(pub u64);

/// Number of an election period.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Term(pub u64);

/// Position in the log; the first entry has 1.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LogIndex(pub u64);

/// The instances that vote, each with the identity of its disk once that is known.
pub type Members = IndexMap<InstanceId, Option<DiskId>>;

/// Who votes and who is being added.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Instances whose votes and acknowledgements count.
    pub voters: Members,
    /// Instance that is catching up in order to vote, and the voter that it will replace.
    pub replacement: Option<Replacement>,
}

/// A voter replacement under way.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replacement {
    /// The instance that comes.
    pub incoming: InstanceId,
    /// The identity of its disk.
    pub disk: DiskId,
    /// The instance that goes.
    pub outgoing: InstanceId,
}

/// What a log entry does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Nothing; a new leader begins its term with it.
    Noop,
    /// Changes the configuration.
    Change(ChangeCommand),
    /// Changes who votes; counts from the moment it is appended.
    Members(Membership),
    /// Puts a routing table in force unless a later version is.
    Routing(Arc<Routing>),
}

/// A configuration change on its way through the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeCommand {
    /// Names the change.
    pub id: ChangeId,
    /// The revision the operator saw.
    pub expect: Revision,
    /// The change.
    pub change: Change,
    /// Wall time of the proposal in milliseconds since 1970; for the history only.
    pub unix_ms: i64,
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Its position.
    pub index: LogIndex,
    /// The term in which it was appended.
    pub term: Term,
    /// What it does.
    pub command: Command,
}

/// What became of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// It was accepted and led to this revision.
    Accepted {
        /// The revision.
        revision: Revision,
    },
    /// Another change came first.
    Conflict {
        /// The revision in force.
        current: Revision,
    },
    /// It cannot apply.
    Invalid {
        /// Why, with the remedy.
        problem: SmolStr,
    },
}

/// Control traffic, with the sender's disk and term.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlMessage {
    /// Identity of the sender's disk.
    pub disk: DiskId,
    /// The sender's term.
    pub term: Term,
    /// The rest.
    pub body: ControlBody,
}

/// The kinds of control traffic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ControlBody {
    /// Asks whether a vote in `next_term` would be granted, without asking for it.
    PreVote {
        /// The term the candidate would begin.
        next_term: Term,
        /// The candidate's last entry.
        last: LogPos,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// The term asked about.
        next_term: Term,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote in the sender's term.
    Vote {
        /// The candidate's last entry.
        last: LogPos,
        /// True if the leader of the term before handed over, so that leases do not count.
        leadership_transfer: bool,
    },
    /// Answers a vote request.
    VoteReply {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Replicates entries; also the leader's heartbeat.
    Append {
        /// The entry before the first of these.
        prev: LogPos,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// Number of the heartbeat round, for the leader's lease.
        round: u64,
    },
    /// Answers an append.
    AppendReply {
        /// True if the log matches up to `matched`.
        success: bool,
        /// The last entry known to match, or where to look for one.
        matched: LogIndex,
        /// The round answered.
        round: u64,
    },
    /// Part of a snapshot.
    Snapshot {
        /// The last entry in the snapshot.
        last: LogPos,
        /// Size of the whole snapshot in bytes.
        total: u64,
        /// Where this part begins.
        offset: u64,
        /// The part.
        data: Vec<u8>,
        /// The round, as in [`ControlBody::Append`].
        round: u64,
    },
    /// Answers part of a snapshot.
    SnapshotReply {
        /// Bytes received so far.
        received: u64,
        /// The last entry of the snapshot.
        last: LogPos,
        /// The round answered.
        round: u64,
    },
    /// The leader asks a voter to begin an election now.
    TransferLeadership,
    /// A started voter shows its identity before it votes.
    Hello {
        /// Number of starts with this disk.
        boot: u64,
        /// Random number of this start.
        nonce: u64,
        /// Its last entry.
        last: LogPos,
    },
    /// Answers a hello.
    HelloReply {
        /// The start answered, by its random number.
        nonce: u64,
        /// What the receiver knows of the sender.
        verdict: HelloVerdict,
    },
}

/// What a voter knows of another one that has just started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HelloVerdict {
    /// The receiver has never been part of a control log either.
    Blank,
    /// The receiver knows no later state of the sender's disk.
    Known,
    /// The receiver knows a later state of the same disk: the sender's is an old copy.
    Outdated,
    /// The receiver knows another disk for the sender, or none.
    Foreign,
}

/// Position and term of an entry.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LogPos {
    /// Its term; compared first.
    pub term: Term,
    /// Its position.
    pub index: LogIndex,
}
