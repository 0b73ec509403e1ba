//! Gathering of shard groups for other entries.
//!
//! A group is a request without a minimum of responses. Its responses are reported to the origin
//! entry when no more are expected, when they are due, and one by one afterwards. The origin
//! decides whether they suffice.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{Fingerprint, Mono, QueryId, Route, Target, TeamId};
use smol_str::SmolStr;

use super::completion::{discard_all, discard_errors};
use super::{Engine, Output};
use crate::decision::Decision;
use crate::request::{
    GatherState, Refusal, RefusalKind, RunningRequest, ShardProgress, ShardStatus,
};

/// Reserve before the deadline for transferring the responses to the origin entry.
const DEADLINE_RESERVE: Duration = Duration::from_millis(5);

/// A shard group that another entry delegates to this one.
#[derive(Debug)]
pub struct GroupRequest {
    /// Identifies the group within this entry.
    pub key: QueryId,
    /// Request id, as sent by the caller.
    pub id: SmolStr,
    /// Route with only the shards of the group.
    pub route: Arc<Route>,
    /// Recognizes the request when the caller repeats it.
    pub fingerprint: Fingerprint,
    /// Team of the caller, as the origin entry stated it.
    pub team: Option<TeamId>,
    /// Time until the shard responses are due.
    pub due_in: Duration,
    /// Time until the deadline of the request.
    pub remaining: Duration,
    /// Part of the caller's request, in millionths, that counts as demand of this entry; zero if it
    /// counts at the origin entry, which then could send the shards itself.
    pub demand_ppm: u32,
}

impl Engine {
    pub(super) fn on_gather(&mut self, now: Mono, group: GroupRequest, out: &mut Vec<Output>) {
        let names = match &group.route.target {
            Target::Scatter(scatter) => scatter.shards.clone(),
            Target::Single(service) => vec![service.clone()],
            Target::Split(_) => return out.push(Output::DeclineGroup(group.key)),
        };
        let is_full = self.requests.len() >= self.params.max_in_flight;
        if is_full || self.table.is_none() || self.is_detached() || self.has_stopped(now) {
            return out.push(Output::DeclineGroup(group.key));
        }
        let services: Vec<usize> = names.iter().map(|name| self.service_position(name)).collect();
        for service in &services {
            self.services[*service].record_request(now);
        }
        self.record_gathered(now, &group.route, &services);
        let is_relay = group.demand_ppm > 0;
        self.demand.record(now, f64::from(group.demand_ppm) / 1e6);
        let key = group.key;
        let claim = self.claim_of_group(&group.route, group.team.as_ref(), group.remaining);
        let mut running = RunningRequest {
            arrived: now,
            claim,
            deadline: now + group.remaining.saturating_sub(DEADLINE_RESERVE),
            answer_by: now + group.due_in,
            fingerprint: group.fingerprint,
            gather: Some(GatherState::default()),
            regions: self.region_rule(&group.route.name, group.team.as_ref()),
            ..RunningRequest::new(key, group.id, group.route, services)
        };
        if is_relay && let Some(refusal) = self.relay_refusal(now, &running) {
            return out.push(Output::RefuseGroup { request: key, refusal });
        }
        self.plan_wait(now, &mut running);
        self.requests.insert(key, running);
        self.place_all(now, key, out);
        self.log_gathering(now, key, out);
        self.complete_if_decided(now, key, out);
        self.arm_timer(key);
    }

    /// Reports the responses of a group if they are due, and ends the group if no shard is worth
    /// waiting for.
    pub(super) fn report_or_end_group(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        let awaited = |s: &&ShardProgress| s.status == ShardStatus::Open && !s.not_awaited;
        if running.shards.iter().find(awaited).is_none() {
            return self.end_gathering(now, key, out);
        }
        let Some(gather) = running.gather.as_mut() else { return };
        // The first report is sent even without responses: it shows that this entry is alive.
        if now >= running.answer_by && !(gather.reported && gather.unreported.is_empty()) {
            gather.reported = true;
            let responses = std::mem::take(&mut gather.unreported);
            let leaving = std::mem::take(&mut gather.leaving);
            let limit = running.limit();
            let queue_waits = self.queue_waits(now, key);
            out.push(Output::GroupResponses {
                request: key,
                responses,
                queue_waits,
                leaving,
                limit,
                last: false,
                unsent: Vec::new(),
            });
        }
    }

    /// Ends a group and reports its last responses.
    pub(super) fn end_gathering(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let queue_waits = self.queue_waits(now, key);
        let unsent = self.unsent_shards(now, key);
        let Some(running) = self.remove_request(now, key, out) else { return };
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
        if !running.is_scatter() {
            return self.end_single(now, running, out);
        }
        discard_errors(&running, out);
        let limit = running.limit();
        let gather = running.gather.unwrap_or_default();
        out.push(Output::GroupResponses {
            request: key,
            responses: gather.unreported,
            queue_waits,
            leaving: gather.leaving,
            limit,
            last: true,
            unsent,
        });
    }

    /// Reports the end of a request for a single service that was gathered for another entry: the
    /// response of the server, a refusal if it has not run, or that there is no response.
    fn end_single(&mut self, now: Mono, mut running: RunningRequest, out: &mut Vec<Output>) {
        let gather = running.gather.take().unwrap_or_default();
        let request = running.key;
        let error = running.shards.first().and_then(|s| s.error_response);
        let response = gather.unreported.first().map(|(_, attempt)| *attempt);
        if let Some(attempt) = response.or(error) {
            if response.is_some() {
                discard_errors(&running, out);
            }
            let (is_error, leaving) = (response.is_none(), gather.leaving);
            return out.push(Output::ForwardToOrigin { request, attempt, is_error, leaving });
        }
        if running.may_have_run() {
            return out.push(Output::GroupResponses {
                request,
                responses: Vec::new(),
                queue_waits: Vec::new(),
                leaving: gather.leaving,
                limit: 0,
                last: true,
                unsent: Vec::new(),
            });
        }
        let refusal = self.relay_refusal(now, &running).unwrap_or_else(|| {
            let kind = RefusalKind::Overloaded;
            Refusal { kind, retry_after: self.retry_after(kind, None) }
        });
        out.push(Output::RefuseGroup { request, refusal });
    }

    /// Sends the hedges and retries that waited for the confirmation of the origin entry.
    pub(super) fn on_gather_confirmed(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        if let Some(gather) = &mut running.gather {
            gather.confirmed = true;
        }
        let shards = running.shards.iter().enumerate();
        let waiting =
            shards.filter(|(_, s)| s.awaits_confirmation).map(|(i, _)| i).collect::<Vec<_>>();
        for shard in waiting {
            if let Some(running) = self.requests.get_mut(&key) {
                running.shards[shard].awaits_confirmation = false;
            }
            self.retry_shard(now, key, shard, out);
        }
        self.hedge(now, key, out);
        self.complete_if_decided(now, key, out);
        self.arm_timer(key);
    }

    /// Ends a group that the origin entry cancelled, without a report.
    pub(super) fn on_gather_cancelled(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.remove_request(now, key, out) else { return };
        discard_all(&running, out);
    }

    /// Returns the shards of a group whose queue is not empty, and the expected wait.
    fn queue_waits(&self, now: Mono, key: QueryId) -> Vec<(usize, Duration)> {
        let Some(running) = self.requests.get(&key) else { return Vec::new() };
        let waits =
            running.shards.iter().enumerate().map(|(i, s)| {
                (i, self.expected_wait(now, s.service, running.claim, &running.regions))
            });
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
