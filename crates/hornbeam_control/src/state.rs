//! The configuration and the outcomes of changes, as the log leads to them.

use std::sync::Arc;

use hornbeam_model::{Change, ChangeError, ChangeId, Config, Revision, Routing, TableVersion};
use hornbeam_protocol::control::{ChangeCommand, ChangeOutcome};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Outcomes remembered, so that a resend gets the first one: two days at 50,000 changes a day.
pub const MAX_OUTCOMES: usize = 100_000;
/// Outcomes forgotten at once when there are too many.
const FORGET_AT_ONCE: usize = 10_000;
/// Accepted changes remembered for followers and for operators.
pub const MAX_HISTORY: usize = 512;

/// An accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryItem {
    /// The revision it led to.
    pub revision: Revision,
    /// Its name.
    pub id: ChangeId,
    /// Wall time of the proposal in milliseconds since 1970.
    pub unix_ms: i64,
    /// The change.
    pub change: Change,
}

/// What the log has led to.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlState {
    /// The configuration.
    pub config: Arc<Config>,
    /// What became of each change, oldest first; at most [`MAX_OUTCOMES`].
    outcomes: IndexMap<ChangeId, ChangeOutcome>,
    /// Accepted changes, oldest first; at most [`MAX_HISTORY`].
    history: Vec<HistoryItem>,
    /// The routing table; its version never falls.
    pub routing: Arc<Routing>,
}

/// What became of a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalOutcome {
    /// The change has this outcome.
    Change(ChangeOutcome),
    /// This instance does not lead: nothing was appended.
    NotLeader,
    /// This instance lost the lead: the change may yet be accepted.
    Unknown,
    /// The routing table of this version is in force: the proposed one, or one not older.
    TableInForce(TableVersion),
    /// A replacement was begun.
    ReplacementStarted,
    /// The request cannot be met now, for this reason.
    Refused(SmolStr),
}

impl ControlState {
    /// The first outcome of a change, if it is remembered.
    pub fn outcome(&self, id: &ChangeId) -> Option<&ChangeOutcome> {
        self.outcomes.get(id)
    }

    /// Accepted changes, oldest first.
    pub fn history(&self) -> &[HistoryItem] {
        &self.history
    }

    /// What a change would come to now, without applying it; nothing if it would be accepted.
    pub fn objection(&self, command: &ChangeCommand) -> Option<ChangeOutcome> {
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

    /// Applies a committed change; the change if it was accepted just now.
    pub fn apply(&mut self, command: &ChangeCommand) -> (ChangeOutcome, bool) {
        if let Some(first) = self.outcomes.get(&command.id) {
            return (first.clone(), false);
        }
        let outcome = self.decide(command);
        self.outcomes.insert(command.id.clone(), outcome.clone());
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.drain(..FORGET_AT_ONCE);
        }
        let accepted = matches!(outcome, ChangeOutcome::Accepted { .. });
        (outcome, accepted)
    }

    /// Puts a committed routing table in force; false if one not older is.
    pub fn apply_routing(&mut self, routing: &Arc<Routing>) -> bool {
        let newer = routing.version > self.routing.version;
        if newer {
            self.routing = routing.clone();
        }
        newer
    }

    fn decide(&mut self, command: &ChangeCommand) -> ChangeOutcome {
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
