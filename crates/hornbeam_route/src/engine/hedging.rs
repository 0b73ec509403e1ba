//! Hedged requests for late shards.

use std::time::Duration;

use hornbeam_model::{Mono, QueryId};

use super::placement::{PlannedAttempt, ServerChoice};
use super::{Engine, MAX_TIMER_DELAY, Output};
use crate::copy_hold::CopyVerdict;
use crate::decision::{AttemptKind, Decision};
use crate::request::ShardStatus;

/// Shortest delay before a hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);
/// Longest delay before a hedge, as a percentage of the time until the response is due, so that the
/// response of the hedge still arrives in time.
const MAX_HEDGE_DELAY_PERCENT: u32 = 45;
/// Longest delay before a hedge in median latencies, so that servers that are always slow do not
/// raise the delay through the measured quantile.
const MAX_HEDGE_DELAY_MEDIANS: u32 = 4;
/// At most one more than the shards divided by this number are hedged at once.
const MAX_HEDGED_DIVISOR: usize = 2;
/// Time until the next check of a hedge that was not sent, because too many shards are late, no
/// server is available or no further run is allowed.
const HEDGE_RECHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Engine {
    /// Returns the delay after which an attempt of this request is hedged.
    pub(super) fn hedge_delay(&self, now: Mono, key: QueryId) -> Option<Duration> {
        let running = self.requests.get(&key)?;
        let objective = running.route.objective();
        let latest = if now < running.answer_by {
            running.answer_by.since(now) * MAX_HEDGE_DELAY_PERCENT / 100
        } else {
            objective * MAX_HEDGE_DELAY_PERCENT / 100
        };
        let window = self.latencies.get(&running.route.name);
        let learned = window.and_then(|w| w.quantile().zip(w.median()));
        let delay = learned.map_or(latest, |(quantile, median)| {
            quantile.min(median * MAX_HEDGE_DELAY_MEDIANS).min(latest)
        });
        Some(delay.max(MIN_HEDGE_DELAY))
    }

    /// Hedges the late shards of a request, as far as servers and retry budget allow.
    pub(super) fn hedge(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        // If most shards are late at once, this entry or its network is the cause, and more
        // attempts would only add to the load.
        let max_hedges = 1 + running.shards.len() / MAX_HEDGED_DIVISOR;
        let mut late = Vec::new();
        let mut late_attempts = Vec::new();
        for (i, progress) in running.shards.iter_mut().enumerate() {
            let Some(at) = progress.hedge_at.filter(|at| *at <= now) else { continue };
            if progress.status != ShardStatus::Open {
                continue;
            }
            if now.since(at) >= MAX_TIMER_DELAY {
                progress.hedge_at = Some(now + MAX_TIMER_DELAY);
                continue;
            }
            late_attempts.extend_from_slice(&progress.in_flight);
            if late.len() == max_hedges {
                progress.hedge_at = Some(now + HEDGE_RECHECK_INTERVAL);
                continue;
            }
            progress.hedge_at = None;
            if progress.in_flight.len() == 1 {
                late.push(i);
            }
        }
        for attempt in late_attempts {
            self.record_late(now, attempt);
        }
        for shard in late {
            if !self.hedge_shard(now, key, shard, out)
                && let Some(running) = self.requests.get_mut(&key)
            {
                running.shards[shard].hedge_at = Some(now + HEDGE_RECHECK_INTERVAL);
            }
        }
    }

    /// Hedges one shard; returns false if the hedge should be checked again soon.
    fn hedge_shard(
        &mut self,
        now: Mono,
        key: QueryId,
        shard: usize,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(running) = self.requests.get(&key) else { return true };
        let progress = &running.shards[shard];
        if progress.possible_runs >= running.allowed_attempts()
            || self.may_not_start(now, key, shard)
            || self.copy_verdict(key, shard) != CopyVerdict::Allowed
        {
            return false;
        }
        let (service, tried) = (progress.service, progress.tried.clone());
        let (request, due) = (running.id.clone(), running.answer_by);
        let regions = running.regions.clone();
        let choice = self.choose_server(now, service, &tried, due, &regions);
        let ServerChoice::Server(server, cost) = choice else {
            return false;
        };
        if !self.services[service].retry_budget.allows_hedge(now, self.entries) {
            self.counters.hedges_denied += 1;
            let service = self.services[service].id.clone();
            let entries = self.entries;
            out.push(Output::Log(Decision::HedgeDenied { request, service, entries }));
            return true;
        }
        let kind = AttemptKind::Hedge;
        self.send_attempt(now, PlannedAttempt { key, shard, server, kind, cost }, out);
        true
    }
}
