//! Inputs, outputs and disk writes of a [`Raft`](super::Raft) instance.

use std::sync::Arc;

use hornbeam_events::Event;
use hornbeam_model::{Change, Config, InstanceId, Mono, Routing, ZoneOrder, ZoneOrders};
use hornbeam_protocol::control::{ChangeCommand, ControlMessage, Entry};
use hornbeam_storage::{Boot, HardState, Record, SnapshotMeta};
use indexmap::IndexMap;

use crate::state::ProposalOutcome;

/// Identifies a proposal to the caller that made it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ProposalId(pub u64);

/// A request to the leader that is decided through the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Proposal {
    /// Changes the configuration.
    Change(ChangeCommand),
    /// Puts a routing table in force; the proposer has validated it.
    Routing(Arc<Routing>),
    /// Evacuates the servers of a zone or ends their evacuation; all controllers read such orders.
    ZoneOrder(ZoneOrder),
    /// Replaces a voter with another instance.
    Replace {
        /// Voter to remove.
        outgoing: InstanceId,
        /// Instance to add; may have the same name as `outgoing` if its disk is a new one.
        incoming: InstanceId,
    },
}

/// Input of [`Raft::step`](super::Raft::step).
#[derive(Debug)]
pub enum RaftInput {
    /// A message from another voter or learner.
    Message {
        /// Sender of the message.
        from: InstanceId,
        /// The message.
        message: ControlMessage,
    },
    /// A proposal; only the leader accepts it.
    Propose {
        /// Identifier that returns in [`RaftOutput::Decided`].
        id: ProposalId,
        /// The request itself.
        proposal: Proposal,
    },
    /// Another instance has a configuration or a routing table later than that of an empty log, so that
    /// an instance with a blank disk must not start a new log.
    ConfigExists,
    /// Starts a heartbeat round now, so that the state is confirmed without waiting for the next
    /// one (read index).
    ConfirmLeadership,
    /// Instances that may have the control role; hellos go to them as well as to the voters.
    Contacts(Vec<InstanceId>),
    /// Transfers leadership to another voter, if this instance leads; sent before it stops.
    TransferLeadership,
    /// A write was synced that was under way during earlier steps.
    Synced,
    /// Only processes the timers that are due.
    Tick,
}

/// A write that must be synced before any later output is carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Persist {
    /// Appends records to the log file.
    Append(Vec<Record>),
    /// Writes a snapshot and starts a new generation of the log file.
    Compact(Box<Compaction>),
}

/// A snapshot and the records with which the new log file starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Compaction {
    /// Last log position and membership that the snapshot includes.
    pub meta: SnapshotMeta,
    /// Encoded [`ControlState`](crate::state::ControlState).
    pub data: Arc<Vec<u8>>,
    /// Current term and vote.
    pub hard_state: HardState,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Latest known start of each other voter.
    pub boots: IndexMap<InstanceId, Boot>,
}

/// Output of [`Raft::step`](super::Raft::step), to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum RaftOutput {
    /// Writes to the disk and syncs.
    Persist(Persist),
    /// Sends a message.
    Send {
        /// Receiver of the message.
        to: InstanceId,
        /// The message.
        message: ControlMessage,
    },
    /// A change was committed and accepted.
    ChangeCommitted {
        /// The change.
        change: Change,
        /// Configuration after the change.
        config: Arc<Config>,
    },
    /// A routing table came into force, through a log entry or an installed snapshot.
    RoutingCommitted(Arc<Routing>),
    /// The set of evacuated zones changed, through a log entry or an installed snapshot.
    ZoneOrdersCommitted(Arc<ZoneOrders>),
    /// A snapshot from the leader replaced the state; holds the configuration in it.
    SnapshotInstalled(Arc<Config>),
    /// A majority confirmed that this instance led at this time and that its state was current.
    Confirmed(Mono),
    /// The outcome of a proposal is known.
    Decided {
        /// Identifier from [`RaftInput::Propose`].
        id: ProposalId,
        /// Outcome of the proposal.
        outcome: ProposalOutcome,
    },
    /// Records an event in the journal.
    Event(Event),
}
