//! Inputs, outputs and writes of a voter.

use std::sync::Arc;

use hornbeam_events::Event;
use hornbeam_model::{Change, Config, InstanceId, Mono, Routing};
use hornbeam_protocol::control::{ChangeCommand, ControlMessage, Entry};
use hornbeam_storage::{Boot, HardState, Record, SnapshotMeta};
use indexmap::IndexMap;

use crate::state::ProposalOutcome;

/// Names a proposal towards the one who made it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ProposalId(pub u64);

/// What is proposed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Proposal {
    /// A change of the configuration.
    Change(ChangeCommand),
    /// A routing table, checked by the proposer.
    Routing(Arc<Routing>),
    /// Another instance in place of a voter.
    Replace {
        /// The voter that goes.
        outgoing: InstanceId,
        /// The instance that comes; it may have the same name, with another disk.
        incoming: InstanceId,
    },
}

/// What happens to a voter.
#[derive(Debug)]
pub enum RaftInput {
    /// A message of another voter or learner.
    Message {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: ControlMessage,
    },
    /// Something is proposed.
    Propose {
        /// Names the proposal.
        id: ProposalId,
        /// What is proposed.
        proposal: Proposal,
    },
    /// Others have a configuration later than the first: a blank disk must not found a new log.
    ConfigExists,
    /// Confirm the state now instead of with the next heartbeat.
    ConfirmLeadership,
    /// Instances that may take part in control, besides the voters.
    Contacts(Vec<InstanceId>),
    /// This instance is about to stop: hand over the lead.
    TransferLeadership,
    /// Time has passed.
    Tick,
}

/// A write that must be synced before any later output is carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Persist {
    /// Append records.
    Append(Vec<Record>),
    /// Begin a new generation.
    Compact(Box<Compaction>),
}

/// A snapshot and what the log begins with after it.
#[derive(Clone, Debug, PartialEq)]
pub struct Compaction {
    /// What the snapshot stands for.
    pub meta: SnapshotMeta,
    /// Its content.
    pub data: Arc<Vec<u8>>,
    /// Term and vote.
    pub hard: HardState,
    /// Entries after it.
    pub entries: Vec<Entry>,
    /// Starts of other voters.
    pub boots: IndexMap<InstanceId, Boot>,
}

/// What a voter wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum RaftOutput {
    /// Write and sync.
    Persist(Persist),
    /// Send a message.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: ControlMessage,
    },
    /// A change was accepted; the configuration it led to.
    ChangeCommitted {
        /// The change.
        change: Change,
        /// The configuration.
        config: Arc<Config>,
    },
    /// A routing table came into force, by an entry or by a snapshot.
    RoutingCommitted(Arc<Routing>),
    /// A snapshot replaced the state.
    SnapshotInstalled(Arc<Config>),
    /// This leader's configuration was confirmed by a majority as of this time.
    Confirmed(Mono),
    /// What became of a proposal.
    Decided {
        /// The proposal.
        id: ProposalId,
        /// What became of it.
        outcome: ProposalOutcome,
    },
    /// Note an event.
    Event(Event),
}
