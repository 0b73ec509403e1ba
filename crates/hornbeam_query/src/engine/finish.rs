//! Answers and refusals.

use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::{Mono, QueryId};
use smol_str::SmolStr;

use super::{Engine, Output};
use crate::query::Query;
use crate::response::{MissingReason, QueryResponse, Refusal, RefusalKind, RunStatus};

/// Wait told to a caller whose request found no server.
const RETRY_NO_SERVER: Duration = Duration::from_secs(1);

impl Engine {
    /// Ends a query with what is there: an answer that states its coverage, or a refusal if
    /// nothing is covered.
    pub(super) fn finish(&mut self, now: Mono, id: QueryId, out: &mut Vec<Output>) {
        let Some(query) = self.queries.get(&id) else { return };
        let covered_any = query.states.iter().any(|s| s.covered != 0);
        if covered_any && (!query.non_idempotent || query.open == 0) {
            return self.answer(now, id, out);
        }
        if query.unconfirmed > 0 {
            let message = "servers have the request and none replied in time";
            return self.refuse(now, id, RefusalKind::TimedOut, message, RunStatus::Unknown, out);
        }
        let message = "no server took the request: look at the servers with hornbeamctl status";
        self.refuse(now, id, RefusalKind::NoCapacity, message, RunStatus::NotRun, out);
    }

    fn answer(&mut self, now: Mono, id: QueryId, out: &mut Vec<Output>) {
        let Some(mut query) = self.drop_query(now, id, Ending::Verdict, out) else { return };
        let coverage = query.coverage();
        let lacking: u64 = coverage.missing.iter().map(|l| u64::from(l.shards.count())).sum();
        if lacking > 0 {
            let service = query.service.clone();
            out.push(Output::Event(Event::AnswerShort { service, query: id, lacking }));
        }
        let merger = std::mem::take(&mut query.merger);
        out.push(Output::Respond(Box::new(QueryResponse {
            query: id,
            complete: coverage.missing.is_empty(),
            hits: merger.finish(query.limit as usize),
            index_version: query.pin.table.version,
            schemas: query.pin.table.schemas.to_vec(),
            revision: query.pin.revision,
            confirmed_ago: self.confirmed.map(|at| now.since(at)),
            coverage,
            attempts: query.sent,
            took: now.since(query.arrived),
        })));
    }

    pub(super) fn refuse(
        &mut self,
        now: Mono,
        id: QueryId,
        kind: RefusalKind,
        message: &'static str,
        ran: RunStatus,
        out: &mut Vec<Output>,
    ) {
        let Some(query) = self.drop_query(now, id, Ending::Verdict, out) else { return };
        let reasons = query.coverage().missing;
        let no_server = reasons.iter().any(|l| l.reason == MissingReason::NoReplica);
        let retry_after = if ran == RunStatus::NotRun { Some(RETRY_NO_SERVER) } else { None };
        let message = if no_server && ran == RunStatus::NotRun {
            "no server holds the shard in every live schema version: come back when one has started"
        } else {
            message
        };
        let message = SmolStr::new_static(message);
        let refusal = Refusal { query: id, kind, message, ran, retry_after };
        out.push(Output::Refuse(Box::new(refusal)));
    }

    /// Takes a query out: cancels its attempts and gives its place to others.
    pub(super) fn drop_query(
        &mut self,
        now: Mono,
        id: QueryId,
        ending: Ending,
        out: &mut Vec<Output>,
    ) -> Option<Query> {
        let query = self.queries.remove(&id)?;
        for attempt in &query.flights {
            self.cancel(now, *attempt, out);
        }
        if let Some(set) = self.starved.get_mut(&query.service) {
            set.shift_remove(&id);
        }
        let latency = match ending {
            Ending::Verdict => Some(now.since(query.began)),
            Ending::CallerGone => None,
        };
        self.release(now, &query, latency, out);
        Some(query)
    }
}

/// How a query ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Ending {
    /// With a verdict; the time it took says something of the backends.
    Verdict,
    /// Its caller left; the time it took says nothing.
    CallerGone,
}
