//! Replicated state, to which committed log entries are applied.

use std::sync::Arc;

use hornbeam_model::{
    Change, ChangeError, ChangeId, Config, Revision, Routing, TableVersion, ZoneOrder, ZoneOrders,
};
use hornbeam_protocol::control::{ChangeCommand, ChangeOutcome};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Maximum number of change outcomes kept, so that a change that is sent again gets its first
/// outcome. Lasts for two days at 50,000 changes a day.
pub const MAX_OUTCOMES: usize = 100_000;
/// Number of outcomes, the oldest ones, that are removed together when there are too many.
const OUTCOME_EVICTION_BATCH: usize = 10_000;
/// Number of accepted changes that are kept at least for operators; up to twice as many are kept
/// between two removals.
pub const MAX_HISTORY: usize = 512;

/// An accepted configuration change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryItem {
    /// Configuration revision after the change.
    pub revision: Revision,
    /// Identifier of the change.
    pub id: ChangeId,
    /// Wall-clock time of the proposal, in milliseconds since 1970.
    pub unix_ms: i64,
    /// The change.
    pub change: Change,
}

/// State after all applied log entries; encoded in snapshots.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlState {
    /// Latest committed configuration.
    pub config: Arc<Config>,
    /// First outcome of each change, oldest first; at most [`MAX_OUTCOMES`].
    outcomes: IndexMap<ChangeId, ChangeOutcome>,
    /// Accepted changes, oldest first; at most twice [`MAX_HISTORY`].
    history: Vec<HistoryItem>,
    /// Latest committed routing table; its version never decreases. The default value before the first
    /// one, see [`ControlState::table`].
    pub routing: Arc<Routing>,
    /// Evacuated zones. Encoded after the other fields, see [`crate::encoding`].
    #[serde(skip)]
    pub zone_orders: Arc<ZoneOrders>,
}

/// Outcome of a [`Proposal`](crate::raft::Proposal).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalOutcome {
    /// A configuration change was decided with this outcome.
    Change(ChangeOutcome),
    /// This instance does not lead; nothing was appended.
    NotLeader,
    /// This instance stopped leading or its disk failed; the proposal may still be committed.
    Unknown,
    /// The routing table of this version is in force: the proposed one or a later one.
    TableInForce(TableVersion),
    /// This order about a zone is committed.
    ZoneOrdered(ZoneOrder),
    /// The first step of a voter replacement is committed.
    ReplacementStarted,
    /// The proposal was not accepted, for this reason; the text names the remedy.
    Refused(SmolStr),
}

impl ControlState {
    /// Returns the latest committed routing table, if there is one.
    pub fn table(&self) -> Option<&Arc<Routing>> {
        Some(&self.routing).filter(|t| t.exists())
    }

    /// Returns the version in force that makes `routing` superfluous: the same or a later one.
    pub fn superseded_by(&self, routing: &Routing) -> Option<TableVersion> {
        self.table().map(|t| t.version).filter(|held| routing.version <= *held)
    }

    /// Returns the first outcome of a change, if it is still kept.
    pub fn outcome(&self, id: &ChangeId) -> Option<&ChangeOutcome> {
        self.outcomes.get(id)
    }

    /// Returns the accepted changes that are kept, oldest first.
    pub fn history(&self) -> &[HistoryItem] {
        &self.history
    }

    /// Returns the outcome of a change that needs no log entry: its first outcome if it was decided
    /// before, a conflict if it expects an earlier revision, or a validation error. Applies
    /// nothing.
    pub fn early_outcome(&self, command: &ChangeCommand) -> Option<ChangeOutcome> {
        if let Some(first) = self.outcomes.get(&command.id) {
            return Some(first.clone());
        }
        if command.expect < self.config.revision {
            return Some(ChangeOutcome::Conflict { current: self.config.revision });
        }
        match command.change.apply(&self.config) {
            Err(e) if command.expect == self.config.revision => Some(invalid(&e)),
            _ => None,
        }
    }

    /// Applies a committed change. Returns its outcome, and true if the change was accepted by this
    /// call. A change that was decided before is not applied again.
    pub fn apply(&mut self, command: &ChangeCommand) -> (ChangeOutcome, bool) {
        if let Some(first) = self.outcomes.get(&command.id) {
            return (first.clone(), false);
        }
        let outcome = self.apply_new(command);
        self.outcomes.insert(command.id.clone(), outcome.clone());
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.drain(..OUTCOME_EVICTION_BATCH);
        }
        let accepted = matches!(outcome, ChangeOutcome::Accepted { .. });
        (outcome, accepted)
    }

    /// Puts a committed routing table in force. Returns false if the same or a later version
    /// already is.
    pub fn apply_routing(&mut self, routing: &Arc<Routing>) -> bool {
        let newer = self.superseded_by(routing).is_none();
        if newer {
            self.routing = routing.clone();
        }
        newer
    }

    fn apply_new(&mut self, command: &ChangeCommand) -> ChangeOutcome {
        if command.expect != self.config.revision {
            return ChangeOutcome::Conflict { current: self.config.revision };
        }
        let next = match command.change.apply(&self.config) {
            Ok(next) => next,
            Err(e) => return invalid(&e),
        };
        let revision = next.revision;
        self.config = Arc::new(next);
        self.history.push(HistoryItem {
            revision,
            id: command.id.clone(),
            unix_ms: command.unix_ms,
            change: command.change.clone(),
        });
        if self.history.len() > 2 * MAX_HISTORY {
            self.history.drain(..MAX_HISTORY);
        }
        ChangeOutcome::Accepted { revision }
    }
}

fn invalid(e: &ChangeError) -> ChangeOutcome {
    ChangeOutcome::Invalid { problem: SmolStr::new(e.to_string()) }
}
