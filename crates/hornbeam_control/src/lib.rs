//! Replicated log of configuration changes.
//!
//! - [`state`]: replicated state, to which committed entries are applied
//! - [`encoding`]: encoding of the replicated state in snapshots
//! - [`log`]: log entries after the latest snapshot
//! - [`raft`]: consensus state machine: elections, replication and membership changes
//! - [`voter`]: the state machine together with its disk
//! - `unsynced`: writes that are under way, and the outputs that wait for them
//! - [`follower`]: distribution of the configuration to every instance, without ever going back

pub mod encoding;
pub mod follower;
pub mod log;
pub mod raft;
pub mod state;
mod unsynced;
pub mod voter;

pub use follower::{ConfigFollower, FollowerInput, FollowerOutput, FollowerParams};
pub use raft::{
    Persist, Proposal, ProposalId, Raft, RaftInput, RaftOutput, RaftParams, RepairPolicy, Role,
};
pub use state::{ControlState, HistoryItem, ProposalOutcome};
pub use voter::{Voter, initial_voters, write};
