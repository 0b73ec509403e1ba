//! Hedged requests for late shards, and cancellation of attempts.

use std::time::Duration;

use hornbeam_model::{AttemptId, Mono, QueryId};
use hornbeam_traffic::{
    PickOutcome, PlannedAttempts, ReplicaRequest, SchemaNeed, ServerIdx, ServiceState,
};

use super::placement::PlannedAttempt;
use super::{Engine, HedgePolicy, InFlightAttempt, Output};
use crate::attempt::AttemptKind;
use crate::query::Query;

/// Lower bound of the hedge delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);
/// Upper bound of the learned hedge delay, as a multiple of the median latency: a server that is
/// always slow must not raise the delay for all servers.
const MAX_HEDGE_DELAY_MEDIANS: u32 = 4;
/// Hedge delay while there are too few latency samples, as a percentage of the query's total time.
const DEFAULT_HEDGE_DELAY_PERCENT: u32 = 25;
/// Percentage of a query's total time after which hedges for late shards may use the reserve and
/// the overdraft of retries, once the budget for hedges is exhausted.
const LATE_HEDGE_PERCENT: u32 = 50;
/// A query waits for single servers if at most one in this many of its attempts is in flight.
const FEW_IN_FLIGHT_DIVISOR: u32 = 10;
/// A cancelled attempt counts as a failure of its server if it took longer than this multiple of
/// the latency quantile for hedging.
const FAILURE_LATENCY_QUANTILES: u32 = 4;

impl Engine {
    /// Returns the delay from an attempt to its hedge; `total` is the time from the start of the
    /// query to its due time.
    pub(super) fn hedge_delay(&self, state: &ServiceState, total: Duration) -> Duration {
        match self.params.hedge {
            HedgePolicy::Fixed(delay) => delay,
            HedgePolicy::Off => Duration::MAX,
            HedgePolicy::Learned => {
                let learned = state.attempt_latency.quantile().zip(state.attempt_latency.median());
                let delay = match learned {
                    Some((quantile, median)) => quantile.min(median * MAX_HEDGE_DELAY_MEDIANS),
                    None => total * DEFAULT_HEDGE_DELAY_PERCENT / 100,
                };
                delay.max(MIN_HEDGE_DELAY)
            }
        }
    }

    /// Sends hedges for the late attempts of a query as far as the retry budget allows, and sets
    /// the time of the next check.
    pub(super) fn hedge(&mut self, now: Mono, id: QueryId, out: &mut Vec<Output>) {
        let Some(query) = self.queries.get(&id) else { return };
        let Some(state) = self.fleet.service(&query.service) else { return };
        let delay = self.hedge_delay(state, query.due_at.since(query.started_at));
        let mut next = now + delay;
        let mut late = Vec::new();
        for attempt in &query.in_flight {
            let Some(sent) = self.attempts.get(attempt) else { continue };
            if sent.hedged || query.non_idempotent {
                continue;
            }
            let due = sent.sent_at + delay;
            if due <= now {
                late.push(*attempt);
            } else {
                next = next.min(due);
            }
        }
        self.record_late(id, &late);
        for attempt in late {
            if !self.hedge_attempt(now, id, attempt, out) {
                break;
            }
        }
        if let Some(query) = self.queries.get_mut(&id) {
            let time = query.due_at.since(query.started_at);
            let late_hedge_at = query.started_at + time * LATE_HEDGE_PERCENT / 100;
            if late_hedge_at > now && !query.in_flight.is_empty() {
                next = next.min(late_hedge_at);
            }
            query.next_hedge_at = next.max(now + MIN_HEDGE_DELAY);
        }
    }

    /// Marks attempts as late and counts each of them once in the late ratio of the service.
    fn record_late(&mut self, id: QueryId, late: &[AttemptId]) {
        let Some(service) = self.queries.get(&id).map(|q| q.service.clone()) else { return };
        for attempt in late {
            let Some(sent) = self.attempts.get_mut(attempt) else { continue };
            if std::mem::replace(&mut sent.late, true) {
                continue;
            }
            if let Some(state) = self.fleet.service_mut(&service) {
                state.late_ratio.record(true);
            }
        }
    }

    /// Sends hedges for one late attempt; returns false if the service allows no further hedges of
    /// the query.
    fn hedge_attempt(
        &mut self,
        now: Mono,
        id: QueryId,
        attempt: AttemptId,
        out: &mut Vec<Output>,
    ) -> bool {
        let mut planned = PlannedAttempts::default();
        let mut rest = match self.attempts.get(&attempt) {
            Some(sent) => sent.positions.clone(),
            None => return true,
        };
        while let Some(hedge) = self.next_hedge(now, id, attempt, &mut rest, &planned) {
            let budgeted = self.params.hedge == HedgePolicy::Learned;
            let allowed = self.can_hedge(id, hedge.server) || self.can_hedge_late(now, id);
            if budgeted && !allowed {
                self.counters.budget_denied += 1;
                return self.service_can_hedge(id) || self.can_hedge_late(now, id);
            }
            planned.add(hedge.server);
            let hedge_id = AttemptId(self.next_attempt);
            self.send(now, id, hedge, vec![attempt], out);
            if let Some(sent) = self.attempts.get_mut(&attempt) {
                sent.hedged = true;
                sent.overlapping.push(hedge_id);
            }
        }
        true
    }

    /// Returns the next hedge for a late attempt: as many of the shards in `rest` as one other
    /// server can search.
    fn next_hedge(
        &mut self,
        now: Mono,
        id: QueryId,
        attempt: AttemptId,
        rest: &mut Vec<u32>,
        planned: &PlannedAttempts,
    ) -> Option<PlannedAttempt> {
        let query = self.queries.get(&id)?;
        let sent = self.attempts.get(&attempt)?;
        let state = self.fleet.service(&query.service)?;
        let avoid = [sent.server];
        while let Some(first) = rest.pop() {
            if !needs_hedge(query, sent, first) {
                continue;
            }
            let replicas = query.snapshot.table.replicas_of(query.requested[first as usize]);
            let need = SchemaNeed::All(sent.mask);
            let request = ReplicaRequest { replicas, need, avoid: &avoid, planned };
            let pick = self.fleet.pick(now, &mut self.rng, state, &request);
            let PickOutcome::Server(server) = pick else { continue };
            let mut positions = vec![first];
            rest.retain(|position| {
                let fits = needs_hedge(query, sent, *position)
                    && holds(query, *position, server, sent.mask);
                if fits {
                    positions.push(*position);
                }
                !fits
            });
            return Some(PlannedAttempt {
                server,
                mask: sent.mask,
                kind: AttemptKind::Hedge,
                positions,
            });
        }
        None
    }

    /// Returns true if the retry budgets of the service and of the server allow a hedge that can
    /// help.
    fn can_hedge(&self, id: QueryId, server: ServerIdx) -> bool {
        self.service_can_hedge(id) && self.fleet.server(server).retry_budget.can_hedge()
    }

    /// Returns true if the retry budget of the service allows a hedge that can help.
    fn service_can_hedge(&self, id: QueryId) -> bool {
        let Some(query) = self.queries.get(&id) else { return false };
        let state = self.fleet.service(&query.service);
        state.is_some_and(|s| s.retry_budget.can_hedge() && hedge_can_help(query, s))
    }

    /// Returns true if enough of the query's time has passed for its hedges to use the budget of
    /// retries, see [`LATE_HEDGE_PERCENT`].
    fn can_hedge_late(&self, now: Mono, id: QueryId) -> bool {
        let Some(query) = self.queries.get(&id) else { return false };
        let time = query.due_at.since(query.started_at);
        let late = now.since(query.started_at) >= time * LATE_HEDGE_PERCENT / 100;
        let state = self.fleet.service(&query.service);
        late && state
            .is_some_and(|s| s.retry_budget.available_retries() > 0 && hedge_can_help(query, s))
    }

    /// Cancels those of `attempts` whose shards are all covered.
    pub(super) fn cancel_covered(
        &mut self,
        now: Mono,
        attempts: &[AttemptId],
        out: &mut Vec<Output>,
    ) {
        for attempt in attempts {
            let Some(sent) = self.attempts.get(attempt) else { continue };
            let Some(query) = sent.query.and_then(|id| self.queries.get(&id)) else {
                continue;
            };
            let covered = |position: &u32| {
                query.progress[*position as usize].covered & sent.mask == sent.mask
            };
            if sent.positions.iter().all(covered) {
                self.cancel(now, *attempt, out);
            }
        }
    }

    /// Detaches an attempt from its query and cancels it at its server.
    pub(super) fn cancel(&mut self, now: Mono, attempt: AttemptId, out: &mut Vec<Output>) {
        let Some(mut sent) = self.attempts.remove(&attempt) else { return };
        self.detach(&sent, attempt);
        sent.query = None;
        self.record_cancelled(now, &sent, out);
        out.push(Output::Cancel { attempt, server: sent.server });
        self.counters.cancels += 1;
        self.attempts.insert(attempt, sent);
    }

    /// Updates the latencies after a cancellation: the attempt would have taken at least this long.
    fn record_cancelled(&mut self, now: Mono, sent: &InFlightAttempt, out: &mut Vec<Output>) {
        let latency = now.since(sent.sent_at);
        let Some(state) = self.fleet.service_mut(&sent.service) else { return };
        let quantile = state.attempt_latency.quantile();
        state.attempt_latency.record(now, latency);
        // An attempt cancelled before it was late is no evidence of a slow server.
        if quantile.is_some_and(|q| latency <= q) {
            return;
        }
        self.fleet.server_mut(sent.server).record_cancelled(now, latency);
        if quantile.is_some_and(|q| latency > q * FAILURE_LATENCY_QUANTILES) {
            let event = self.fleet.record_failure(now, sent.server);
            out.extend(event.map(Output::Event));
        }
    }

    /// Cancels all in-flight attempts of a query.
    pub(super) fn cancel_attempts(&mut self, now: Mono, id: QueryId, out: &mut Vec<Output>) {
        let Some(query) = self.queries.get(&id) else { return };
        for attempt in query.in_flight.clone() {
            self.cancel(now, attempt, out);
        }
    }
}

/// Returns true if a hedge can help: the service as a whole is not slow, or only few attempts of
/// the query are still in flight.
fn hedge_can_help(query: &Query, state: &ServiceState) -> bool {
    let few_in_flight = query.in_flight.len() as u32 * FEW_IN_FLIGHT_DIVISOR <= query.attempts_sent;
    few_in_flight || !state.late_ratio.all_slow()
}

/// Returns true if `sent` is the only attempt for the shard: none of its schema versions is covered
/// or in flight twice.
fn needs_hedge(query: &Query, sent: &InFlightAttempt, position: u32) -> bool {
    let progress = &query.progress[position as usize];
    progress.covered & sent.mask == 0 && progress.in_flight_twice & sent.mask == 0
}

/// Returns true if `server` holds the shard in all schema versions of `mask`.
fn holds(query: &Query, position: u32, server: ServerIdx, mask: u16) -> bool {
    let replicas = query.snapshot.table.replicas_of(query.requested[position as usize]);
    replicas.iter().any(|r| r.server == server && r.schemas & mask == mask)
}
