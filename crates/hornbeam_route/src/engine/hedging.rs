//! Second attempts for late shards.

use std::time::Duration;

use hornbeam_model::{Mono, QueryId};

use super::placement::{PlannedAttempt, ServerChoice};
use super::{Engine, Output};
use crate::decision::{AttemptKind, Decision};
use crate::request::ShardStatus;

/// Shortest delay before a hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);
/// Part of the time until the answer is due, in hundredths, after which a hedge is sent at the latest,
/// so that its answer still comes in time.
const MAX_HEDGE_DELAY_PERCENT: u32 = 45;
/// Usual latencies after which a hedge is sent at the latest: servers that are slow all the time must
/// not teach the entry to wait for them.
const MAX_HEDGE_DELAY_MEDIANS: u32 = 4;
/// Part of the shards, as a divisor, that are hedged at one look.
const MAX_HEDGED_DIVISOR: usize = 2;
/// Time until another look at a hedge that found no server or no budget.
const HEDGE_RECHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Engine {
    /// How long after an attempt of this request a second one is sent.
    pub(super) fn hedge_delay(&self, now: Mono, key: QueryId) -> Option<Duration> {
        let running = self.requests.get(&key)?;
        let objective = running.route.objective();
        let latest = if now < running.answer_by {
            running.answer_by.since(now) * MAX_HEDGE_DELAY_PERCENT / 100
        } else {
            objective * MAX_HEDGE_DELAY_PERCENT / 100
        };
        let stats = self.stats.get(&running.route.name);
        let learned = stats.and_then(|s| s.quantile().zip(s.median()));
        let delay = learned.map_or(latest, |(quantile, median)| {
            quantile.min(median * MAX_HEDGE_DELAY_MEDIANS).min(latest)
        });
        Some(delay.max(MIN_HEDGE_DELAY))
    }

    /// Sends second attempts for the late shards of a request, as far as servers and budget allow.
    pub(super) fn hedge(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        // When most are late at once, this entry is, or the way to all servers: more sends would only
        // add to it.
        let most = 1 + running.shards.len() / MAX_HEDGED_DIVISOR;
        let mut late = Vec::new();
        for (i, progress) in running.shards.iter_mut().enumerate() {
            if progress.hedge_at.is_none_or(|at| at > now) || progress.status != ShardStatus::Open {
                continue;
            }
            if late.len() == most {
                progress.hedge_at = Some(now + HEDGE_RECHECK_INTERVAL);
                continue;
            }
            progress.hedge_at = None;
            if progress.in_flight.len() == 1 {
                late.push(i);
            }
        }
        for shard in late {
            if !self.hedge_shard(now, key, shard, out)
                && let Some(running) = self.requests.get_mut(&key)
            {
                running.shards[shard].hedge_at = Some(now + HEDGE_RECHECK_INTERVAL);
            }
        }
    }

    /// False if the hedge should be tried again soon.
    fn hedge_shard(
        &mut self,
        now: Mono,
        key: QueryId,
        shard: usize,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(running) = self.requests.get(&key) else { return true };
        let progress = &running.shards[shard];
        if progress.possible_runs >= running.allowed_attempts() {
            return false;
        }
        let (service, used) = (progress.service, progress.tried.clone());
        let (request, due) = (running.id.clone(), running.answer_by);
        let ServerChoice::Server(server, cost) = self.choose_server(now, service, &used, due)
        else {
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
