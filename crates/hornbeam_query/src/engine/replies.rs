//! What attempts bring back.

use hornbeam_events::Event;
use hornbeam_model::{AttemptId, Mono, QueryId, SearchReply};
use smol_str::SmolStr;

use super::{Engine, Flight, Output};
use crate::attempt::AttemptOutcome;
use crate::query::Query;
use crate::response::{RefusalKind, RunStatus};

/// Why a reply cannot be used.
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
            Self::Attempt => "it names another attempt than asked",
            Self::Version => "it is of another index version than asked",
            Self::Shard => "it names a shard that was not asked for, or one twice",
            Self::Schema => "it names a schema version that was not asked for",
        }
    }
}

impl Engine {
    pub(super) fn on_reply(
        &mut self,
        now: Mono,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        draining: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(flight) = self.flights.remove(&attempt) else {
            self.counters.late_replies += 1;
            return;
        };
        let server = self.fleet.server_mut(flight.server);
        server.outstanding = server.outstanding.saturating_sub(1);
        let outcome = self.refuse_mismatch(&flight, outcome, out);
        self.note_server(now, &flight, &outcome, out);
        if draining {
            self.note_drain_mark(now, &flight, out);
        }
        match flight.query {
            Some(id) => {
                self.land(&flight, attempt);
                self.settle(now, id, &flight, outcome, out);
            }
            None => self.counters.late_replies += 1,
        }
        self.feed_starved(now, &flight.service, out);
    }

    /// Drops a reply that does not fit what was asked.
    fn refuse_mismatch(
        &mut self,
        flight: &Flight,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) -> AttemptOutcome {
        let query = flight.query.and_then(|id| self.queries.get(&id));
        let found = match (&outcome, query) {
            (AttemptOutcome::Replied(reply), Some(query)) => {
                check_reply(query, flight, reply).err()
            }
            (AttemptOutcome::WrongAttempt, _) => Some(Mismatch::Attempt),
            _ => None,
        };
        let Some(mismatch) = found else { return outcome };
        self.counters.mismatched_replies += 1;
        let server = self.fleet.server(flight.server).announced.server.clone();
        let reason = SmolStr::new_static(mismatch.text());
        out.push(Output::Event(Event::ReplyDropped { server, reason }));
        AttemptOutcome::Unknown
    }

    /// Updates what is known of the server.
    fn note_server(
        &mut self,
        now: Mono,
        flight: &Flight,
        outcome: &AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let latency = now.since(flight.sent_at);
        let idx = flight.server;
        // A reply to a cancelled attempt says how fast the server cancels, not how it searches.
        let counts = flight.query.is_some();
        let event = match outcome {
            AttemptOutcome::Replied(reply) if counts => {
                if let Some(state) = self.fleet.service_mut(&flight.service) {
                    state.attempt_latency.record(now, latency);
                    if !flight.late {
                        state.late_ratio.record(false);
                    }
                }
                self.fleet.record_success(now, idx, latency, reply.load)
            }
            AttemptOutcome::Replied(_) | AttemptOutcome::WrongIndex(_) => None,
            AttemptOutcome::NotRun => {
                if counts {
                    self.fleet.server_mut(idx).record_shed(now);
                }
                None
            }
            AttemptOutcome::NotSent | AttemptOutcome::Unknown | AttemptOutcome::WrongAttempt => {
                if counts {
                    self.fleet.record_failure(now, idx)
                } else {
                    None
                }
            }
        };
        out.extend(event.map(Output::Event));
        if matches!(outcome, AttemptOutcome::WrongIndex(_)) {
            let news = self.fleet.server_mut(idx).mark_version_refused(flight.index_version);
            if news {
                self.rebuild(now, flight, out);
            }
        }
    }

    fn note_drain_mark(&mut self, now: Mono, flight: &Flight, out: &mut Vec<Output>) {
        let server = self.fleet.server_mut(flight.server);
        if !server.mark_draining() {
            return;
        }
        let server = server.announced.server.clone();
        out.push(Output::Event(Event::ServerDraining { server }));
        self.rebuild(now, flight, out);
    }

    fn rebuild(&mut self, now: Mono, flight: &Flight, out: &mut Vec<Output>) {
        let mut events = Vec::new();
        self.fleet.rebuild(now, &flight.service, &mut events);
        out.extend(events.into_iter().map(Output::Event));
    }

    /// Takes an attempt out of its query.
    pub(super) fn land(&mut self, flight: &Flight, attempt: AttemptId) {
        let Some(query) = flight.query.and_then(|id| self.queries.get_mut(&id)) else { return };
        query.flights.swap_remove(&attempt);
        for cell in &flight.cells {
            query.states[*cell as usize].land(flight.mask);
        }
    }

    /// Brings the outcome of an attempt into its query.
    fn settle(
        &mut self,
        now: Mono,
        id: QueryId,
        flight: &Flight,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let mut lost = None;
        let mut incomplete = false;
        match outcome {
            AttemptOutcome::Replied(reply) => incomplete = take_hits(query, flight, reply),
            AttemptOutcome::NotRun => {
                query.unconfirmed -= 1;
                lost = Some(true);
            }
            AttemptOutcome::WrongIndex(_) | AttemptOutcome::NotSent => {
                query.unconfirmed -= 1;
                lost = Some(false);
            }
            AttemptOutcome::Unknown | AttemptOutcome::WrongAttempt => lost = Some(true),
        }
        if let Some(costs) = lost {
            note_lost(query, flight, costs);
        }
        if query.non_idempotent && query.unconfirmed > 0 && query.open > 0 {
            let message = "the server failed while it had the request: look whether it ran \
                           before sending it again";
            self.refuse(now, id, RefusalKind::Failed, message, RunStatus::Unknown, out);
            return;
        }
        if query.open == 0 {
            self.finish(now, id, out);
            return;
        }
        self.cancel_covered(now, &flight.partners, out);
        let idle = self.queries.get(&id).is_some_and(|q| q.flights.is_empty());
        if lost.is_some() || incomplete || idle {
            self.place(now, id, out);
        }
    }
}

/// Marks the shards of a lost attempt. `costs` says whether the attempt put load on the server.
fn note_lost(query: &mut Query, flight: &Flight, costs: bool) {
    for cell in &flight.cells {
        let state = &mut query.states[*cell as usize];
        state.failed = true;
        state.costs |= costs;
    }
}

fn check_reply(query: &Query, flight: &Flight, reply: &SearchReply) -> Result<(), Mismatch> {
    if reply.index_version != flight.index_version {
        return Err(Mismatch::Version);
    }
    let mut seen = Vec::with_capacity(reply.shards.len());
    for part in &reply.shards {
        let pos = query.wanted.binary_search(&part.shard).map_err(|_| Mismatch::Shard)?;
        if !flight.cells.contains(&(pos as u32)) || seen.contains(&part.shard) {
            return Err(Mismatch::Shard);
        }
        seen.push(part.shard);
        let mask = query.mask_of(&part.schemas).ok_or(Mismatch::Schema)?;
        if mask & !flight.mask != 0 {
            return Err(Mismatch::Schema);
        }
        if part.hits.iter().any(|h| !part.schemas.contains(&h.schema)) {
            return Err(Mismatch::Schema);
        }
    }
    Ok(())
}

/// Merges the hits of shards and schema versions that were not covered yet; true if the reply left
/// out shards that were asked for.
fn take_hits(query: &mut Query, flight: &Flight, reply: SearchReply) -> bool {
    for part in reply.shards {
        let Ok(pos) = query.wanted.binary_search(&part.shard) else { continue };
        let Some(mask) = query.mask_of(&part.schemas) else { continue };
        let new = query.cover(pos, mask);
        if new == 0 {
            continue;
        }
        let fresh = query.schemas_in(new);
        for hit in part.hits {
            if fresh.contains(&hit.schema) {
                query.merger.add(hit);
            }
        }
    }
    let mut incomplete = false;
    for cell in &flight.cells {
        let state = &mut query.states[*cell as usize];
        let left_out = flight.mask & !state.covered != 0;
        state.failed = left_out;
        state.costs |= left_out;
        incomplete |= left_out;
    }
    incomplete
}
