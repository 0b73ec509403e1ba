//! Orders about availability zones, and how current the state is that holds them.

use std::sync::Arc;

use hornbeam_model::{Mono, OrderIndex, ZoneOrder};
use hornbeam_protocol::control::{Command, LogIndex};
use smol_str::SmolStr;

use super::proposal::MAX_PENDING_PROPOSALS;
use super::{ProposalId, Raft, RaftOutput};
use crate::state::ProposalOutcome;

impl Raft {
    /// Appends an order. Each order gets a log entry, also one that changes nothing: a leader that has
    /// been replaced without knowing it must not acknowledge an order from its outdated state.
    pub(super) fn propose_zone_order(
        &mut self,
        now: Mono,
        id: ProposalId,
        order: ZoneOrder,
        out: &mut Vec<RaftOutput>,
    ) -> Option<ProposalOutcome> {
        let leader_state = self.leader_state.as_ref()?;
        if !leader_state.has_committed_in_term
            || leader_state.pending_proposals.len() >= MAX_PENDING_PROPOSALS
        {
            let problem = "the leader is not ready: send the order again in a second";
            return Some(ProposalOutcome::Refused(SmolStr::new_static(problem)));
        }
        let index = match self.pending_zone_order(&order) {
            Some(index) => index,
            None => self.append(Command::ZoneOrder(order), out),
        };
        self.track_proposal(index, id);
        self.replicate(now, false, out);
        self.advance_commit(now, out);
        None
    }

    /// Returns the index of the last uncommitted order about the same zone, if it is the same order.
    fn pending_zone_order(&self, order: &ZoneOrder) -> Option<LogIndex> {
        let pending = self.log.entries().iter().rev().take_while(|e| e.index > self.commit_index);
        let latest = pending.into_iter().find_map(|e| match &e.command {
            Command::ZoneOrder(known) if known.zone == order.zone => Some((e.index, known)),
            _ => None,
        });
        latest.filter(|(_, known)| *known == order).map(|(index, _)| index)
    }

    /// Applies a committed order and reports its outcome to those who proposed it.
    pub(super) fn apply_zone_order(
        &mut self,
        index: LogIndex,
        order: &ZoneOrder,
        proposals: Vec<ProposalId>,
        out: &mut Vec<RaftOutput>,
    ) {
        let orders = Arc::make_mut(&mut self.state.zone_orders);
        if orders.apply(OrderIndex(index.0), order) {
            out.push(RaftOutput::ZoneOrdersCommitted(self.state.zone_orders.clone()));
        }
        for id in proposals {
            let outcome = ProposalOutcome::ZoneOrdered(order.clone());
            out.push(RaftOutput::Decided { id, outcome });
        }
    }

    /// Records that the leader's commit index was reached when the leader was last heard. Before an
    /// entry of its term is committed, the leader itself may not know what was committed earlier.
    pub(super) fn record_caught_up(&mut self, leader_commit: LogIndex) {
        let in_term = self.log.term_at(self.commit_index) == Some(self.hard_state.term);
        if in_term && self.commit_index >= leader_commit {
            self.caught_up_at = self.leader_heard_at;
        }
    }

    /// Returns when the state last held everything that was committed, as far as the leader or, at the
    /// leader, a majority has confirmed; `None` if that has not happened since the start.
    pub fn caught_up_at(&self) -> Option<Mono> {
        self.caught_up_at
    }
}
