//! What attempts bring back.

use hornbeam_model::{AttemptId, Mono, QueryId};

use super::{AttemptOutcome, Engine, Flight, Output};
use crate::decision::Decision;
use crate::request::ShardStatus;

/// Mean latencies after which an attempt that is due is taken for silence.
const OVERDUE_MEANS: u32 = 2;

impl Engine {
    pub(super) fn on_reply(
        &mut self,
        now: Mono,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let Some(flight) = self.flights.remove(&attempt) else {
            out.push(Output::Discard(attempt));
            return;
        };
        self.note_back(flight.server, attempt);
        self.learn(now, &flight, outcome, out);
        let service = self.servers[flight.server].service;
        match flight.request {
            Some(key) => self.take_outcome(now, key, &flight, attempt, outcome, out),
            None => out.push(Output::Discard(attempt)),
        }
        self.release_place(flight.server);
        self.feed(now, service, out);
    }

    /// Updates what is known of the server.
    fn learn(
        &mut self,
        now: Mono,
        flight: &Flight,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let latency = now.since(flight.sent_at);
        match outcome {
            AttemptOutcome::Answered => {
                let stats = self.stats(&flight.route);
                let usual = stats.median();
                stats.record(now, latency);
                let server = &mut self.servers[flight.server];
                let restored = server.record_success(now, latency, usual);
                let service = &mut self.services[server.service];
                service.record_latency(now, latency);
                if restored {
                    let (server, service) = (server.id.clone(), service.id.clone());
                    out.push(Output::Log(Decision::Restored { server, service }));
                }
            }
            AttemptOutcome::Error => self.servers[flight.server].record_error(),
            AttemptOutcome::NotRun => self.servers[flight.server].record_shed(),
            AttemptOutcome::WrongServer | AttemptOutcome::NotSent => {
                let time = self.servers[flight.server].eject(now);
                self.log_ejection(flight, time, out);
            }
            AttemptOutcome::Lost => self.note_silence(now, flight, out),
        }
    }

    /// An attempt is not out any more.
    pub(super) fn note_back(&mut self, server: usize, attempt: AttemptId) {
        self.servers[server].record_finished(attempt);
        let service = &mut self.services[self.servers[server].service];
        service.outstanding = service.outstanding.saturating_sub(1);
    }

    /// Learns of the servers that have not answered a request by the time its answer is due.
    pub(super) fn note_overdue(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get(&key) else { return };
        let overdue: Vec<AttemptId> =
            running.shards.iter().flat_map(|s| &s.in_flight).copied().collect();
        for attempt in overdue {
            let Some(mut flight) = self.flights.remove(&attempt) else { continue };
            let usual = self.services[self.servers[flight.server].service].mean_latency();
            if now.since(flight.sent_at) >= usual * OVERDUE_MEANS {
                self.note_silence(now, &flight, out);
                flight.silent = true;
            }
            self.flights.insert(attempt, flight);
        }
    }

    /// Learns that a server gave no answer.
    pub(super) fn note_silence(&mut self, now: Mono, flight: &Flight, out: &mut Vec<Output>) {
        if flight.silent {
            return;
        }
        let time = self.servers[flight.server].record_no_response(now);
        self.log_ejection(flight, time, out);
    }

    fn log_ejection(
        &self,
        flight: &Flight,
        time: Option<std::time::Duration>,
        out: &mut Vec<Output>,
    ) {
        let Some(time) = time else { return };
        let server = &self.servers[flight.server];
        out.push(Output::Log(Decision::Ejected {
            server: server.id.clone(),
            service: self.services[server.service].id.clone(),
            failures: server.consecutive_failures(),
            for_ms: time.as_millis() as u64,
        }));
    }

    /// Brings the outcome of an attempt into its request.
    fn take_outcome(
        &mut self,
        now: Mono,
        key: QueryId,
        flight: &Flight,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        let progress = &mut running.shards[flight.shard];
        progress.in_flight.retain(|a| *a != attempt);
        if outcome == AttemptOutcome::Answered {
            progress.status = ShardStatus::Received(attempt);
            progress.hedge_at = None;
            running.responses += 1;
            if let Some(gather) = &mut running.gather {
                gather.unreported.push((flight.shard, attempt));
            }
            let losers = std::mem::take(&mut progress.in_flight);
            let failure = progress.error_response.take();
            let idempotent = running.route.idempotent;
            out.extend(failure.map(Output::Discard));
            for loser in losers {
                self.let_linger(now, loser, idempotent);
            }
            return self.settle(now, key, out);
        }
        match outcome {
            AttemptOutcome::NotRun | AttemptOutcome::WrongServer => progress.possible_runs -= 1,
            AttemptOutcome::NotSent => {
                progress.possible_runs -= 1;
                if progress.deliveries > 1 {
                    self.services[progress.service].retry_budget.refund(now);
                }
                progress.deliveries -= 1;
            }
            AttemptOutcome::Error => {
                out.extend(progress.error_response.replace(attempt).map(Output::Discard))
            }
            AttemptOutcome::Lost | AttemptOutcome::Answered => {}
        }
        if outcome != AttemptOutcome::Error {
            out.push(Output::Discard(attempt));
        }
        let retried = self.try_again(now, key, flight.shard, out);
        out.push(Output::Log(Decision::AttemptFailed {
            request: flight.id.clone(),
            attempt,
            kind: flight.kind,
            server: self.servers[flight.server].id.clone(),
            outcome: outcome.label(),
            after_ms: now.since(flight.sent_at).as_millis() as u64,
            retried,
        }));
        self.settle(now, key, out);
        self.arm(key);
    }

    /// Sends a shard once more after a failure, if that is allowed and no other attempt is out; marks
    /// it as lacking if nothing can come any more.
    pub(super) fn try_again(
        &mut self,
        now: Mono,
        key: QueryId,
        shard: usize,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(running) = self.requests.get(&key) else { return false };
        let progress = &running.shards[shard];
        if progress.status != ShardStatus::Open || !progress.in_flight.is_empty() {
            return false;
        }
        let may_run = if running.route.idempotent {
            progress.possible_runs < running.allowed_attempts()
        } else {
            progress.possible_runs == 0
        };
        if !may_run && !running.is_confirmed() {
            if let Some(running) = self.requests.get_mut(&key) {
                running.shards[shard].awaits_confirmation = true;
            }
            return false;
        }
        let allowed =
            may_run && progress.attempts < super::placing::MAX_SENDS && now < running.deadline;
        if allowed && self.place(now, key, shard, out) {
            return true;
        }
        self.set_lacking(key, shard);
        false
    }
}
