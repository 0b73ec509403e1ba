//! Second attempts for late shards.

use std::time::Duration;

use hornbeam_model::{AttemptId, Mono, QueryId};
use hornbeam_traffic::{
    PickOutcome, PlannedAttempts, ReplicaRequest, SchemaNeed, ServerIdx, ServiceState,
};

use super::placing::Group;
use super::{Engine, Flight, HedgePolicy, Output};
use crate::attempt::AttemptKind;
use crate::query::Query;

/// Shortest delay before a hedge.
const MIN_DELAY: Duration = Duration::from_millis(1);
/// Longest learned delay, in medians: a server that is slow all the time must not teach the others
/// to wait for it.
const MAX_DELAY_MEDIANS: u32 = 4;
/// Part of the time left after which a hedge is sent while nothing was measured, in hundredths.
const UNKNOWN_DELAY_PERCENT: u32 = 25;
/// Part of a query's time, in hundredths, after which a late shard gets a second attempt from the
/// budget of retries if that of hedges is used up.
const RESCUE_PERCENT: u32 = 50;
/// A query with at most one in this many of its attempts out waits for single servers.
const FEW_LEFT: u32 = 10;
/// A cancelled attempt this many hedge delays old counts as a failure of its server.
const SILENT_DELAYS: u32 = 4;

impl Engine {
    /// How long after an attempt a second one is sent.
    pub(super) fn hedge_delay(&self, state: &ServiceState, left: Duration) -> Duration {
        match self.params.hedge {
            HedgePolicy::Fixed(delay) => delay,
            HedgePolicy::Off => Duration::MAX,
            HedgePolicy::Learned => {
                let learned = state.attempt_latency.quantile().zip(state.attempt_latency.median());
                let delay = match learned {
                    Some((quantile, median)) => quantile.min(median * MAX_DELAY_MEDIANS),
                    None => left * UNKNOWN_DELAY_PERCENT / 100,
                };
                delay.max(MIN_DELAY)
            }
        }
    }

    /// Hedges the late attempts of a query as far as the budget goes.
    pub(super) fn hedge(&mut self, now: Mono, id: QueryId, out: &mut Vec<Output>) {
        let Some(query) = self.queries.get(&id) else { return };
        let Some(state) = self.fleet.service(&query.service) else { return };
        let delay = self.hedge_delay(state, query.finish_at.since(query.began));
        let mut next = now + delay;
        let mut late = Vec::new();
        for attempt in &query.flights {
            let Some(flight) = self.flights.get(attempt) else { continue };
            if flight.hedged || query.non_idempotent {
                continue;
            }
            let due = flight.sent_at + delay;
            if due <= now {
                late.push(*attempt);
            } else {
                next = next.min(due);
            }
        }
        self.note_late(id, &late);
        for attempt in late {
            if !self.hedge_attempt(now, id, attempt, out) {
                break;
            }
        }
        if let Some(query) = self.queries.get_mut(&id) {
            let time = query.finish_at.since(query.began);
            let rescue = query.began + time * RESCUE_PERCENT / 100;
            if rescue > now && !query.flights.is_empty() {
                next = next.min(rescue);
            }
            query.next_hedge = next.max(now + MIN_DELAY);
        }
    }

    /// Counts attempts that have become late.
    fn note_late(&mut self, id: QueryId, late: &[AttemptId]) {
        let Some(service) = self.queries.get(&id).map(|q| q.service.clone()) else { return };
        for attempt in late {
            let Some(flight) = self.flights.get_mut(attempt) else { continue };
            if std::mem::replace(&mut flight.late, true) {
                continue;
            }
            if let Some(state) = self.fleet.service_mut(&service) {
                state.late_ratio.record(true);
            }
        }
    }

    /// Sends hedges for one late attempt; false if the budget is used up.
    fn hedge_attempt(
        &mut self,
        now: Mono,
        id: QueryId,
        attempt: AttemptId,
        out: &mut Vec<Output>,
    ) -> bool {
        let mut planned = PlannedAttempts::default();
        let mut rest = match self.flights.get(&attempt) {
            Some(flight) => flight.cells.clone(),
            None => return true,
        };
        while let Some(group) = self.hedge_group(now, id, attempt, &mut rest, &planned) {
            let budgeted = self.params.hedge == HedgePolicy::Learned;
            let allowed = self.can_hedge(id, group.server) || self.can_rescue(now, id);
            if budgeted && !allowed {
                self.counters.budget_denied += 1;
                return self.service_can_hedge(id) || self.can_rescue(now, id);
            }
            planned.add(group.server);
            let hedge = AttemptId(self.next_attempt);
            self.send(now, id, group, vec![attempt], out);
            if let Some(flight) = self.flights.get_mut(&attempt) {
                flight.hedged = true;
                flight.partners.push(hedge);
            }
        }
        true
    }

    /// The next part of a late attempt that one other server can take over.
    fn hedge_group(
        &mut self,
        now: Mono,
        id: QueryId,
        attempt: AttemptId,
        rest: &mut Vec<u32>,
        planned: &PlannedAttempts,
    ) -> Option<Group> {
        let query = self.queries.get(&id)?;
        let flight = self.flights.get(&attempt)?;
        let state = self.fleet.service(&query.service)?;
        let avoid = [flight.server];
        while let Some(first) = rest.pop() {
            if !open_once(query, flight, first) {
                continue;
            }
            let replicas = query.pin.table.replicas_of(query.wanted[first as usize]);
            let need = SchemaNeed::All(flight.mask);
            let wanted = ReplicaRequest { replicas, need, avoid: &avoid, planned };
            let pick = self.fleet.pick(now, &mut self.rng, state, &wanted);
            let PickOutcome::Server(server) = pick else { continue };
            let mut cells = vec![first];
            rest.retain(|cell| {
                let fits =
                    open_once(query, flight, *cell) && holds(query, *cell, server, flight.mask);
                if fits {
                    cells.push(*cell);
                }
                !fits
            });
            return Some(Group { server, mask: flight.mask, kind: AttemptKind::Hedge, cells });
        }
        None
    }

    fn can_hedge(&self, id: QueryId, server: ServerIdx) -> bool {
        self.service_can_hedge(id) && self.fleet.server(server).retry_budget.can_hedge()
    }

    fn service_can_hedge(&self, id: QueryId) -> bool {
        let Some(query) = self.queries.get(&id) else { return false };
        let state = self.fleet.service(&query.service);
        state.is_some_and(|s| s.retry_budget.can_hedge() && helps(query, s))
    }

    /// True if so much of the query's time has passed that its late shards may use the budget of
    /// retries.
    fn can_rescue(&self, now: Mono, id: QueryId) -> bool {
        let Some(query) = self.queries.get(&id) else { return false };
        let time = query.finish_at.since(query.began);
        let late = now.since(query.began) >= time * RESCUE_PERCENT / 100;
        let state = self.fleet.service(&query.service);
        late && state.is_some_and(|s| s.retry_budget.available_retries() > 0 && helps(query, s))
    }

    /// Cancels those attempts whose shards others have covered.
    pub(super) fn cancel_covered(
        &mut self,
        now: Mono,
        attempts: &[AttemptId],
        out: &mut Vec<Output>,
    ) {
        for attempt in attempts {
            let Some(flight) = self.flights.get(attempt) else { continue };
            let Some(query) = flight.query.and_then(|id| self.queries.get(&id)) else { continue };
            let covered =
                |cell: &u32| query.states[*cell as usize].covered & flight.mask == flight.mask;
            if flight.cells.iter().all(covered) {
                self.cancel(now, *attempt, out);
            }
        }
    }

    /// Gives up on an attempt and tells its server.
    pub(super) fn cancel(&mut self, now: Mono, attempt: AttemptId, out: &mut Vec<Output>) {
        let Some(mut flight) = self.flights.remove(&attempt) else { return };
        self.land(&flight, attempt);
        flight.query = None;
        self.note_cancelled(now, &flight, out);
        out.push(Output::Cancel { attempt, server: flight.server });
        self.counters.cancels += 1;
        self.flights.insert(attempt, flight);
    }

    /// Learns from an attempt that did not come back in time: it took at least this long.
    fn note_cancelled(&mut self, now: Mono, flight: &Flight, out: &mut Vec<Output>) {
        let latency = now.since(flight.sent_at);
        let Some(state) = self.fleet.service_mut(&flight.service) else { return };
        let usual = state.attempt_latency.quantile();
        state.attempt_latency.record(now, latency);
        // One that had no time to be late says nothing of its server.
        if usual.is_some_and(|u| latency <= u) {
            return;
        }
        self.fleet.server_mut(flight.server).record_cancelled(now, latency);
        if usual.is_some_and(|u| latency > u * SILENT_DELAYS) {
            let event = self.fleet.record_failure(now, flight.server);
            out.extend(event.map(Output::Event));
        }
    }

    /// Gives up on every attempt of a query.
    pub(super) fn cancel_flights(&mut self, now: Mono, id: QueryId, out: &mut Vec<Output>) {
        let Some(query) = self.queries.get(&id) else { return };
        for attempt in query.flights.clone() {
            self.cancel(now, attempt, out);
        }
    }
}

/// True if a hedge may help: not everything is slow, or all but a few attempts of the query are back.
fn helps(query: &Query, state: &ServiceState) -> bool {
    let few_left = query.flights.len() as u32 * FEW_LEFT <= query.sent;
    few_left || !state.late_ratio.all_slow()
}

/// True if only this attempt is out for the shard.
fn open_once(query: &Query, flight: &Flight, cell: u32) -> bool {
    let state = &query.states[cell as usize];
    state.covered & flight.mask == 0 && state.double & flight.mask == 0
}

fn holds(query: &Query, cell: u32, server: ServerIdx, mask: u16) -> bool {
    let replicas = query.pin.table.replicas_of(query.wanted[cell as usize]);
    replicas.iter().any(|r| r.server == server && r.schemas & mask == mask)
}
