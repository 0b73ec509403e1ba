//! Replicated log of configuration changes.
//!
//! - [`state`]: the configuration and the outcomes of changes, as the log leads to them
//! - [`log`]: the entries after the latest snapshot
//! - [`raft`]: elections, replication and voter replacement, `step(now, input) -> outputs`
//! - [`voter`]: a voter with its disk
//! - [`follower`]: how every instance follows the configuration, upward only

pub mod follower;
pub mod log;
pub mod raft;
pub mod state;
pub mod voter;

pub use follower::{ConfigFollower, FollowerInput, FollowerOutput, FollowerParams};
pub use raft::{
    Persist, Proposal, ProposalId, Raft, RaftInput, RaftOutput, RaftParams, RepairPolicy, Role,
};
pub use state::{ControlState, HistoryItem, ProposalOutcome};
pub use voter::Voter;
