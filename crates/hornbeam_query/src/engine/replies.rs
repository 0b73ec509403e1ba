//! Outcomes of attempts: checks replies, updates server state, merges hits.

use hornbeam_events::Event;
use hornbeam_model::{AttemptId, Mono, QueryId, SearchReply};
use smol_str::SmolStr;

use super::{Engine, InFlightAttempt, Output};
use crate::attempt::AttemptOutcome;
use crate::query::Query;
use crate::response::{RefusalKind, RunStatus};

/// Reasons why a reply does not match its attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mismatch {
    Attempt,
    Version,
    Shard,
    Schema,
}

impl Mismatch {
    fn text(self) -> &'static str {
        match self {
            Self::Attempt => "it names a different attempt",
            Self::Version => "it is from a different index version",
            Self::Shard => "it names a shard that was not requested, or a shard twice",
            Self::Schema => "it names a schema version that was not requested",
        }
    }
}

impl Engine {
    /// Handles the end of an attempt, then resumes queries that wait for capacity.
    pub(super) fn on_reply(
        &mut self,
        now: Mono,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        draining: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(sent) = self.attempts.remove(&attempt) else {
            self.counters.late_replies += 1;
            return;
        };
        let server = self.fleet.server_mut(sent.server);
        server.outstanding = server.outstanding.saturating_sub(1);
        let outcome = self.discard_mismatch(&sent, outcome, out);
        self.update_server(now, &sent, &outcome, out);
        if draining {
            self.on_drain_mark(now, &sent, out);
        }
        match sent.query {
            Some(id) => {
                self.detach(&sent, attempt);
                self.apply_outcome(now, id, &sent, outcome, out);
            }
            None => self.counters.late_replies += 1,
        }
        self.resume_stalled(now, &sent.service, out);
    }

    /// Discards a reply that does not match its attempt; the outcome is then unknown.
    fn discard_mismatch(
        &mut self,
        sent: &InFlightAttempt,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) -> AttemptOutcome {
        let query = sent.query.and_then(|id| self.queries.get(&id));
        let found = match (&outcome, query) {
            (AttemptOutcome::Replied(reply), Some(query)) => check_reply(query, sent, reply).err(),
            (AttemptOutcome::WrongAttempt, _) => Some(Mismatch::Attempt),
            _ => None,
        };
        let Some(mismatch) = found else { return outcome };
        self.counters.mismatched_replies += 1;
        let server = self.fleet.server(sent.server).announced.server.clone();
        let reason = SmolStr::new_static(mismatch.text());
        out.push(Output::Event(Event::ReplyDropped { server, reason }));
        AttemptOutcome::Unknown
    }

    /// Updates the state of the server and the latencies of the service.
    fn update_server(
        &mut self,
        now: Mono,
        sent: &InFlightAttempt,
        outcome: &AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let latency = now.since(sent.sent_at);
        let idx = sent.server;
        // The latency of a cancelled attempt reflects how fast the server cancels, not how fast it
        // searches.
        let active = sent.query.is_some();
        let event = match outcome {
            AttemptOutcome::Replied(reply) if active => {
                if let Some(state) = self.fleet.service_mut(&sent.service) {
                    state.attempt_latency.record(now, latency);
                    if !sent.late {
                        state.late_ratio.record(false);
                    }
                }
                self.fleet.record_success(now, idx, latency, reply.load)
            }
            AttemptOutcome::Replied(_) | AttemptOutcome::WrongIndex(_) => None,
            AttemptOutcome::NotRun => {
                if active {
                    self.fleet.server_mut(idx).record_shed(now);
                }
                None
            }
            AttemptOutcome::NotSent | AttemptOutcome::Unknown | AttemptOutcome::WrongAttempt => {
                if active {
                    self.fleet.record_failure(now, idx)
                } else {
                    None
                }
            }
        };
        out.extend(event.map(Output::Event));
        if matches!(outcome, AttemptOutcome::WrongIndex(_)) {
            let is_new = self.fleet.server_mut(idx).mark_version_refused(sent.index_version);
            if is_new {
                self.rebuild(now, sent, out);
            }
        }
    }

    /// Takes a server out of the placement after a reply said that it is draining.
    fn on_drain_mark(&mut self, now: Mono, sent: &InFlightAttempt, out: &mut Vec<Output>) {
        let server = self.fleet.server_mut(sent.server);
        if !server.mark_draining() {
            return;
        }
        let server = server.announced.server.clone();
        out.push(Output::Event(Event::ServerDraining { server }));
        self.rebuild(now, sent, out);
    }

    /// Rebuilds the placement of the attempt's service.
    fn rebuild(&mut self, now: Mono, sent: &InFlightAttempt, out: &mut Vec<Output>) {
        let mut events = Vec::new();
        self.fleet.rebuild(now, &sent.service, &mut events);
        out.extend(events.into_iter().map(Output::Event));
    }

    /// Removes an attempt from the in-flight attempts of its query.
    pub(super) fn detach(&mut self, sent: &InFlightAttempt, attempt: AttemptId) {
        let Some(query) = sent.query.and_then(|id| self.queries.get_mut(&id)) else { return };
        query.in_flight.swap_remove(&attempt);
        for position in &sent.positions {
            query.progress[*position as usize].mark_returned(sent.mask);
        }
    }

    /// Applies the outcome of an attempt to its query: ends the query if it is complete or must not
    /// continue, else cancels covered attempts and sends new ones where needed.
    fn apply_outcome(
        &mut self,
        now: Mono,
        id: QueryId,
        sent: &InFlightAttempt,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        // Set if the attempt failed: whether it put load on the server.
        let mut failed_with_load = None;
        let mut incomplete = false;
        match outcome {
            AttemptOutcome::Replied(reply) => incomplete = merge_reply(query, sent, reply),
            AttemptOutcome::NotRun => {
                query.unconfirmed -= 1;
                failed_with_load = Some(true);
            }
            AttemptOutcome::WrongIndex(_) | AttemptOutcome::NotSent => {
                query.unconfirmed -= 1;
                failed_with_load = Some(false);
            }
            AttemptOutcome::Unknown | AttemptOutcome::WrongAttempt => failed_with_load = Some(true),
        }
        if let Some(load) = failed_with_load {
            mark_failed(query, sent, load);
        }
        if query.non_idempotent && query.unconfirmed > 0 && query.open_shards > 0 {
            let message = "the server failed while it had the request: check whether it ran \
                           before sending it again";
            self.refuse(now, id, RefusalKind::Failed, message, RunStatus::Unknown, out);
            return;
        }
        if query.open_shards == 0 {
            self.finish(now, id, out);
            return;
        }
        self.cancel_covered(now, &sent.overlapping, out);
        let idle = self.queries.get(&id).is_some_and(|q| q.in_flight.is_empty());
        if failed_with_load.is_some() || incomplete || idle {
            self.place(now, id, out);
        }
    }
}

/// Marks the shards of a failed attempt; `load` is true if the attempt put load on the server.
fn mark_failed(query: &mut Query, sent: &InFlightAttempt, load: bool) {
    for position in &sent.positions {
        let progress = &mut query.progress[*position as usize];
        progress.failed = true;
        progress.costs_budget |= load;
    }
}

/// Checks that a reply matches its attempt.
fn check_reply(query: &Query, sent: &InFlightAttempt, reply: &SearchReply) -> Result<(), Mismatch> {
    if reply.index_version != sent.index_version {
        return Err(Mismatch::Version);
    }
    let mut seen = Vec::with_capacity(reply.shards.len());
    for shard_reply in &reply.shards {
        let pos = query.requested.binary_search(&shard_reply.shard).map_err(|_| Mismatch::Shard)?;
        if !sent.positions.contains(&(pos as u32)) || seen.contains(&shard_reply.shard) {
            return Err(Mismatch::Shard);
        }
        seen.push(shard_reply.shard);
        let mask = query.mask_of(&shard_reply.schemas).ok_or(Mismatch::Schema)?;
        if mask & !sent.mask != 0 {
            return Err(Mismatch::Schema);
        }
        if shard_reply.hits.iter().any(|h| !shard_reply.schemas.contains(&h.schema)) {
            return Err(Mismatch::Schema);
        }
    }
    Ok(())
}

/// Merges the hits of shards and schema versions that were not covered yet; returns true if
/// shards of the attempt are still not covered in all its schema versions.
fn merge_reply(query: &mut Query, sent: &InFlightAttempt, reply: SearchReply) -> bool {
    for shard_reply in reply.shards {
        let Ok(pos) = query.requested.binary_search(&shard_reply.shard) else { continue };
        let Some(mask) = query.mask_of(&shard_reply.schemas) else { continue };
        let new = query.mark_covered(pos, mask);
        if new == 0 {
            continue;
        }
        let newly_covered = query.schemas_in(new);
        for hit in shard_reply.hits {
            if newly_covered.contains(&hit.schema) {
                query.merger.add(hit);
            }
        }
    }
    let mut incomplete = false;
    for position in &sent.positions {
        let progress = &mut query.progress[*position as usize];
        let missing = sent.mask & !progress.covered != 0;
        progress.failed = missing;
        progress.costs_budget |= missing;
        incomplete |= missing;
    }
    incomplete
}
