//! Responses and refusals.

use hornbeam_model::{AttemptId, Mono, QueryId, Target};

use super::unsent::awaits_reports;
use super::{Completion, Engine, Output};
use crate::decision::Decision;
use crate::request::{Refusal, RefusalKind, RunningRequest, ShardStatus};

impl Engine {
    /// Completes a request if it has enough shard responses and either the response is due or no
    /// other shard is worth waiting for. Ends it as failed if it can no longer get enough of them.
    pub(super) fn complete_if_decided(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        self.release_copies(now, key, out);
        let Some(running) = self.requests.get(&key) else { return };
        if running.is_group() {
            return self.report_or_end_group(now, key, out);
        }
        let open = |not_awaited: bool| {
            let shards = running.shards.iter();
            shards.filter(|s| s.status == ShardStatus::Open && s.not_awaited == not_awaited).count()
        };
        let enough = running.responses >= running.min_shards;
        let awaited = open(false);
        let is_due = now >= running.answer_by;
        if enough && (awaited == 0 || is_due) {
            return self.complete(now, key, out);
        }
        let cannot_suffice = running.responses + awaited + open(true) < running.min_shards;
        if !enough && cannot_suffice && (is_due || !awaits_reports(running)) {
            self.fail(now, key, out);
        }
    }

    /// Handles the due time of a request: sends the response if it has enough shard responses, and
    /// refuses a request for which no attempt could be sent. Returns true if the request ended.
    pub(super) fn on_due_time(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) -> bool {
        let Some(running) = self.requests.get(&key) else { return true };
        if running.is_group() {
            self.report_or_end_group(now, key, out);
            return !self.requests.contains_key(&key);
        }
        if running.responses >= running.min_shards {
            self.complete(now, key, out);
            return true;
        }
        if running.attempts == 0 && now >= running.wait_until() {
            self.refuse(now, key, RefusalKind::Overloaded, out);
            return true;
        }
        self.complete_if_decided(now, key, out);
        !self.requests.contains_key(&key)
    }

    /// Ends a request now: with the shard responses received if they suffice, with `reason` if the
    /// request may have run, and as overloaded otherwise.
    pub(super) fn end_request(
        &mut self,
        now: Mono,
        key: QueryId,
        reason: RefusalKind,
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.requests.get(&key) else { return };
        if running.is_group() {
            return self.end_gathering(now, key, out);
        }
        if running.responses >= running.min_shards {
            return self.complete(now, key, out);
        }
        let kind = if running.may_have_run() { reason } else { RefusalKind::Overloaded };
        self.refuse(now, key, kind, out);
    }

    fn complete(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.remove_request(now, key, out) else { return };
        let attempts: Vec<AttemptId> = running.contributing_attempts().into_iter().collect();
        let missing = running.shards.len() - running.responses;
        discard_errors(&running, out);
        let counts = running.shard_counts();
        out.push(Output::Log(Decision::Answered {
            request: running.id.clone(),
            route: running.route.name.clone(),
            took_ms: now.since(running.arrived).as_millis() as u64,
            parts: running.responses,
            missing,
            waiting: counts.waiting,
            late: counts.late,
            sends: running.attempts,
        }));
        let completion = match &running.route.target {
            Target::Scatter(_) => Completion::Merge { attempts, missing, limit: running.limit() },
            Target::Single(_) | Target::Split(_) => match attempts.first() {
                Some(attempt) => Completion::Forward(*attempt),
                None => return,
            },
        };
        out.push(Output::Complete { request: key, completion });
    }

    /// Ends a request that cannot get enough responses: forwards the error response of the server
    /// if the request went to a single service, and refuses it otherwise.
    fn fail(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get(&key) else { return };
        let failure = running.shards.first().and_then(|s| s.error_response);
        if let Some(attempt) = failure.filter(|_| !running.is_scatter()) {
            let completion = Completion::Forward(attempt);
            if let Some(running) = self.remove_request(now, key, out) {
                self.log_refusal(now, &running, RefusalKind::Failed, None, out);
            }
            return out.push(Output::Complete { request: key, completion });
        }
        let quarantined = self.quarantine_of(now, running).is_some();
        let kind = match running.may_have_run() {
            true => RefusalKind::Failed,
            false if quarantined => RefusalKind::Quarantined,
            false => running.refusal.map_or(RefusalKind::NoServer, |r| r.kind),
        };
        self.refuse(now, key, kind, out);
    }

    pub(super) fn refuse(
        &mut self,
        now: Mono,
        key: QueryId,
        kind: RefusalKind,
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.remove_request(now, key, out) else { return };
        discard_all(&running, out);
        self.return_unrun_to_quota(kind, &running);
        // A request whose queued shards were dropped as late has no server.
        if matches!(kind, RefusalKind::NoServer | RefusalKind::Overloaded) {
            let first = running.shards.first().map(|s| s.service);
            self.record_kind_refused(now, first, running.claim);
        }
        let services: Vec<usize> = running.shards.iter().map(|s| s.service).collect();
        let delegates = !running.groups.is_empty();
        let claimed = (&*running.route, running.claim);
        let prospects = self.prospects(now, claimed, &services, delegates, &running.regions);
        let wait = self
            .quarantine_of(now, &running)
            .map(|until| until.since(now))
            .or_else(|| running.refusal.and_then(|r| r.retry_after))
            .or_else(|| prospects.time_until(running.min_shards));
        let refusal = Refusal { kind, retry_after: self.retry_after(kind, wait) };
        self.log_refusal(now, &running, kind, Some(refusal), out);
        out.push(Output::Complete { request: key, completion: Completion::Refuse(refusal) });
    }

    /// Returns the end of the quarantine that keeps a request from getting enough responses.
    fn quarantine_of(&self, now: Mono, running: &RunningRequest) -> Option<Mono> {
        let services: Vec<usize> = running.shards.iter().map(|s| s.service).collect();
        self.quarantined_below(now, running.fingerprint, &services, running.min_shards)
    }

    fn log_refusal(
        &self,
        now: Mono,
        running: &RunningRequest,
        reason: RefusalKind,
        refusal: Option<Refusal>,
        out: &mut Vec<Output>,
    ) {
        let retry_after = refusal.and_then(|r| r.retry_after);
        let services = running.shards.iter().map(|s| &self.services[s.service]);
        out.push(Output::Log(Decision::Refused {
            request: running.id.clone(),
            team: running.team.clone(),
            route: Some(running.route.name.clone()),
            reason,
            took_ms: now.since(running.arrived).as_millis() as u64,
            parts: running.responses,
            sends: running.attempts,
            retry_after_ms: retry_after.map(|d| d.as_millis() as u64),
            queue: services.clone().map(|s| s.waiters.len()).max().unwrap_or(0),
            usable: services.map(|s| s.servers.len()).sum(),
        }));
    }

    pub(super) fn on_caller_gone(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        self.awaiting_table.shift_remove(&key);
        let Some(running) = self.remove_request(now, key, out) else { return };
        discard_all(&running, out);
        out.push(Output::Log(Decision::CallerGone {
            request: running.id.clone(),
            took_ms: now.since(running.arrived).as_millis() as u64,
            sends: running.attempts,
        }));
    }

    /// Removes a request: dequeues its shards, cancels its groups and lets its attempts linger.
    pub(super) fn remove_request(
        &mut self,
        now: Mono,
        key: QueryId,
        out: &mut Vec<Output>,
    ) -> Option<RunningRequest> {
        for shard in 0..self.requests.get(&key)?.shards.len() {
            self.dequeue(key, shard);
        }
        let running = self.requests.remove(&key)?;
        self.cancel_groups(&running, out);
        for attempt in running.shards.iter().flat_map(|s| &s.in_flight) {
            self.linger(now, *attempt, running.route.idempotent);
        }
        Some(running)
    }
}

/// Discards all responses that the attempts of a request received.
pub(super) fn discard_all(running: &RunningRequest, out: &mut Vec<Output>) {
    out.extend(running.contributing_attempts().into_iter().map(Output::Discard));
    discard_errors(running, out);
}

/// Discards the error responses that a request received.
pub(super) fn discard_errors(running: &RunningRequest, out: &mut Vec<Output>) {
    out.extend(running.shards.iter().filter_map(|s| s.error_response).map(Output::Discard));
}
