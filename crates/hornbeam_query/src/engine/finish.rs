//! Responses and refusals.

use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::{Mono, QueryId};
use smol_str::SmolStr;

use super::{Engine, Output};
use crate::query::Query;
use crate::response::{MissingReason, QueryResponse, Refusal, RefusalKind, RunStatus};

/// `retry_after` of a request that no server ran.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Engine {
    /// Ends a query: responds with the hits received so far and their coverage, or refuses the
    /// request if nothing is covered. A non-idempotent query must be covered completely.
    pub(super) fn finish(&mut self, now: Mono, id: QueryId, out: &mut Vec<Output>) {
        let Some(query) = self.queries.get(&id) else { return };
        let covered_any = query.progress.iter().any(|s| s.covered != 0);
        if covered_any && (!query.non_idempotent || query.open_shards == 0) {
            return self.respond(now, id, out);
        }
        if query.unconfirmed > 0 {
            let message = "servers received the request, but none replied in time: check whether \
                           it ran before sending it again";
            return self.refuse(now, id, RefusalKind::TimedOut, message, RunStatus::Unknown, out);
        }
        let message = "no server accepted the request: check the servers with hornbeamctl status";
        self.refuse(now, id, RefusalKind::NoCapacity, message, RunStatus::NotRun, out);
    }

    /// Responds to the caller with the hits received so far.
    fn respond(&mut self, now: Mono, id: QueryId, out: &mut Vec<Output>) {
        let Some(mut query) = self.remove_query(now, id, Ending::Completed, out) else { return };
        let coverage = query.coverage();
        let missing: u64 = coverage.missing.iter().map(|m| u64::from(m.shards.count())).sum();
        if missing > 0 {
            let service = query.service.clone();
            out.push(Output::Event(Event::AnswerShort { service, query: id, lacking: missing }));
        }
        let merger = std::mem::take(&mut query.merger);
        out.push(Output::Respond(Box::new(QueryResponse {
            query: id,
            complete: coverage.missing.is_empty(),
            hits: merger.finish(query.limit as usize),
            index_version: query.snapshot.table.version,
            schemas: query.snapshot.table.schemas.to_vec(),
            revision: query.snapshot.revision,
            confirmed_ago: self.confirmed_at.map(|at| now.since(at)),
            coverage,
            attempts: query.attempts_sent,
            took: now.since(query.arrived_at),
        })));
    }

    /// Ends a query with a refusal.
    ///
    /// If the request did not run and a shard has no replica, the message says so instead of
    /// `message`.
    pub(super) fn refuse(
        &mut self,
        now: Mono,
        id: QueryId,
        kind: RefusalKind,
        message: &'static str,
        ran: RunStatus,
        out: &mut Vec<Output>,
    ) {
        let Some(query) = self.remove_query(now, id, Ending::Completed, out) else { return };
        let missing = query.coverage().missing;
        let no_replica = missing.iter().any(|m| m.reason == MissingReason::NoReplica);
        let retry_after = if ran == RunStatus::NotRun { Some(NO_SERVER_RETRY_AFTER) } else { None };
        let message = if no_replica && ran == RunStatus::NotRun {
            "no server holds the shard in every live schema version: retry when one has started"
        } else {
            message
        };
        let message = SmolStr::new_static(message);
        let refusal = Refusal { query: id, kind, message, ran, retry_after };
        out.push(Output::Refuse(Box::new(refusal)));
    }

    /// Removes a query, cancels its in-flight attempts and frees its slot in the admission control.
    pub(super) fn remove_query(
        &mut self,
        now: Mono,
        id: QueryId,
        ending: Ending,
        out: &mut Vec<Output>,
    ) -> Option<Query> {
        let query = self.queries.remove(&id)?;
        for attempt in &query.in_flight {
            self.cancel(now, *attempt, out);
        }
        if let Some(set) = self.stalled.get_mut(&query.service) {
            set.shift_remove(&id);
        }
        let latency = match ending {
            Ending::Completed => Some(now.since(query.started_at)),
            Ending::CallerGone => None,
        };
        self.release(now, &query, latency, out);
        Some(query)
    }
}

/// Ways in which a query ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Ending {
    /// With a response or a refusal; its duration reflects the latency of the servers.
    Completed,
    /// The caller disconnected; its duration does not reflect the latency of the servers.
    CallerGone,
}
