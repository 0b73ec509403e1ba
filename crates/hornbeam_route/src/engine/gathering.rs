//! Groups of shards that this entry collects for others.
//!
//! A group is a request without a least share: its parts are told when all that can come are in, when
//! they are due, and one by one afterwards. Who asked decides whether they are enough.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{Mono, QueryId, Route, Target};
use smol_str::SmolStr;

use super::completion::{discard_all, discard_errors};
use super::{Engine, Output};
use crate::decision::Decision;
use crate::request::{GatherState, RunningRequest, ShardProgress, ShardStatus};

/// Time of the deadline kept back for the way to the entry that asked.
const DEADLINE_RESERVE: Duration = Duration::from_millis(5);

/// A group of shards that another entry asks for.
#[derive(Debug)]
pub struct GroupRequest {
    /// Names the group within this entry.
    pub key: QueryId,
    /// Id of the request, as the caller gave it.
    pub id: SmolStr,
    /// The route, with the shards of the group only.
    pub route: Arc<Route>,
    /// Time until the parts are due.
    pub due_in: Duration,
    /// Time left for the request.
    pub remaining: Duration,
}

impl Engine {
    pub(super) fn on_gather(&mut self, now: Mono, asked: GroupRequest, out: &mut Vec<Output>) {
        let Target::Scatter(scatter) = &asked.route.target else { return };
        if self.requests.len() >= self.params.max_in_flight || self.table.is_none() {
            return out.push(Output::DeclineGroup(asked.key));
        }
        let names = scatter.shards.clone();
        let services: Vec<usize> = names.iter().map(|name| self.service_position(name)).collect();
        for service in &services {
            self.services[*service].retry_budget.record_request(now);
        }
        let key = asked.key;
        let running = RunningRequest {
            arrived: now,
            deadline: now + asked.remaining.saturating_sub(DEADLINE_RESERVE),
            answer_by: now + asked.due_in,
            gather: Some(GatherState::default()),
            ..RunningRequest::new(key, asked.id, asked.route, services)
        };
        self.requests.insert(key, running);
        self.place_all(now, key, out);
        self.log_gathering(now, key, out);
        self.complete_if_decided(now, key, out);
        self.arm_timer(key);
    }

    /// Tells the parts of a group that are in, if nothing more is worth waiting for or they are due.
    pub(super) fn report_or_end_group(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        let sound = |s: &&ShardProgress| s.status == ShardStatus::Open && !s.not_awaited;
        if running.shards.iter().find(sound).is_none() {
            return self.end_gathering(now, key, out);
        }
        let Some(gather) = running.gather.as_mut() else { return };
        // Once also if nothing is in: it shows that this entry is at work.
        if now >= running.answer_by && !(gather.reported && gather.unreported.is_empty()) {
            gather.reported = true;
            let responses = std::mem::take(&mut gather.unreported);
            let limit = running.limit();
            let queue_waits = self.queue_waits(key);
            out.push(Output::GroupResponses {
                request: key,
                responses,
                queue_waits,
                limit,
                last: false,
            });
        }
    }

    /// Tells the last parts of a group.
    pub(super) fn end_gathering(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let queue_waits = self.queue_waits(key);
        let Some(running) = self.remove_request(now, key, out) else { return };
        discard_errors(&running, out);
        let counts = running.shard_counts();
        out.push(Output::Log(Decision::Gathered {
            request: running.id.clone(),
            took_ms: now.since(running.arrived).as_millis() as u64,
            parts: running.responses,
            missing: running.shards.len() - running.responses,
            waiting: counts.waiting,
            late: counts.late,
            sends: running.attempts,
        }));
        let limit = running.limit();
        let responses = running.gather.map_or_else(Vec::new, |g| g.unreported);
        out.push(Output::GroupResponses {
            request: key,
            responses,
            queue_waits,
            limit,
            last: true,
        });
    }

    /// Sends second attempts and retries that had to wait for the word of the entry that asked.
    pub(super) fn on_gather_confirmed(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        if let Some(gather) = &mut running.gather {
            gather.confirmed = true;
        }
        let shards = running.shards.iter().enumerate();
        let held =
            shards.filter(|(_, s)| s.awaits_confirmation).map(|(i, _)| i).collect::<Vec<_>>();
        for shard in held {
            if let Some(running) = self.requests.get_mut(&key) {
                running.shards[shard].awaits_confirmation = false;
            }
            self.retry_shard(now, key, shard, out);
        }
        self.hedge(now, key, out);
        self.complete_if_decided(now, key, out);
        self.arm_timer(key);
    }

    /// The entry that asked needs the group no longer.
    pub(super) fn on_gather_cancelled(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.remove_request(now, key, out) else { return };
        discard_all(&running, out);
    }

    /// Shards of a group whose queue is not empty, and the expected wait.
    fn queue_waits(&self, key: QueryId) -> Vec<(usize, Duration)> {
        let Some(running) = self.requests.get(&key) else { return Vec::new() };
        let waits = running
            .shards
            .iter()
            .enumerate()
            .map(|(i, s)| (i, self.expected_wait(s.service, running.route.priority)));
        waits.filter(|(_, wait)| !wait.is_zero()).collect()
    }

    fn log_gathering(&self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get(&key) else { return };
        let counts = running.shard_counts();
        out.push(Output::Log(Decision::Gathering {
            request: running.id.clone(),
            route: running.route.name.clone(),
            due_ms: running.answer_by.since(now).as_millis() as u64,
            shards: running.shards.len(),
            sent: counts.sent,
            waiting: counts.waiting,
            lacking: counts.missing,
        }));
    }
}
