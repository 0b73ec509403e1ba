//! Outcomes of attempts, and retries.

use std::cmp::Reverse;

use hornbeam_model::{AttemptId, Mono, QueryId};

use super::{AttemptOutcome, Engine, InFlightAttempt, MAX_TIMER_DELAY, Output, Timer};
use crate::copy_hold::CopyVerdict;
use crate::decision::Decision;
use crate::notice::ServerNotice;
use crate::request::ShardStatus;

/// Age, in mean latencies of the service, from which an overdue attempt counts as one without a
/// response.
const OVERDUE_MEAN_LATENCIES: u32 = 2;

impl Engine {
    pub(super) fn on_attempt_finished(
        &mut self,
        now: Mono,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        notice: ServerNotice,
        out: &mut Vec<Output>,
    ) {
        let Some(in_flight) = self.attempts.remove(&attempt) else {
            out.push(Output::Discard(attempt));
            return;
        };
        self.record_attempt_end(in_flight.server, attempt);
        self.record_outcome(now, &in_flight, outcome, out);
        self.apply_notice(now, &in_flight, notice, out);
        self.record_stated_rate(now, &in_flight, outcome, notice.rate, out);
        self.record_stated_warm_up(now, &in_flight, notice.warm_up, out);
        self.record_stated_load(now, &in_flight, notice.load, out);
        match outcome {
            AttemptOutcome::Answered => self.clear_suspect(now, &in_flight),
            AttemptOutcome::ConnectionLost => self.check_server(now, &in_flight, out),
            _ => {}
        }
        let service = self.servers[in_flight.server].service;
        match in_flight.request {
            Some(key) => self.apply_outcome(now, key, &in_flight, attempt, outcome, out),
            None => out.push(Output::Discard(attempt)),
        }
        self.close_if_evacuated(in_flight.server, out);
        self.release_position(in_flight.server);
        self.dispatch_waiters(now, service, out);
    }

    /// Updates the measurements of the server, the service and the route.
    fn record_outcome(
        &mut self,
        now: Mono,
        in_flight: &InFlightAttempt,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let latency = now.since(in_flight.sent_at);
        if outcome.is_response() {
            self.servers[in_flight.server].record_connection(true);
            self.record_zone_response(now, in_flight.server, out);
            self.record_access(now, out);
        } else if outcome != AttemptOutcome::Withheld {
            self.record_zone_silence(now, in_flight.server, in_flight.sent_at);
        }
        self.record_zone_use(now, in_flight, outcome);
        match outcome {
            AttemptOutcome::Answered => {
                let window = self.latency_window(&in_flight.route);
                let usual = window.median();
                window.record(now, latency);
                let server = &mut self.servers[in_flight.server];
                let restored = server.record_success(now, latency, usual);
                let service = &mut self.services[server.service];
                service.record_latency(now, latency);
                if restored {
                    let (server, service) = (server.id.clone(), service.id.clone());
                    out.push(Output::Log(Decision::Restored { server, service }));
                }
            }
            AttemptOutcome::Error | AttemptOutcome::FalseRefusal => {
                self.servers[in_flight.server].record_error()
            }
            AttemptOutcome::NotRun => self.servers[in_flight.server].record_shed(),
            AttemptOutcome::WrongServer | AttemptOutcome::NotSent => {
                let opened = outcome == AttemptOutcome::WrongServer;
                self.servers[in_flight.server].record_connection(opened);
                let time = self.servers[in_flight.server].eject(now);
                self.log_ejection(in_flight, time, out);
            }
            AttemptOutcome::Withheld => {}
            AttemptOutcome::ConnectionLost | AttemptOutcome::Lost => {
                self.record_no_response(now, in_flight, out)
            }
        }
    }

    /// Records a response of any kind: its zone is reachable.
    fn record_zone_response(&mut self, now: Mono, server: usize, out: &mut Vec<Output>) {
        let zone = self.servers[server].zone.clone();
        if self.zones.record_response(now, &zone) {
            out.push(Output::Log(Decision::ZoneRestored { zone }));
        }
    }

    /// Records that an attempt is late: with those at other servers of the zone, it may show that
    /// the zone is unreachable.
    pub(super) fn record_late(&mut self, now: Mono, attempt: AttemptId) {
        let Some(in_flight) = self.attempts.get(&attempt) else { return };
        let (server, sent_at) = (in_flight.server, in_flight.sent_at);
        self.record_zone_silence(now, server, sent_at);
    }

    fn record_zone_silence(&mut self, now: Mono, server: usize, sent_at: Mono) {
        // The end of a server that was evacuated says nothing about the links to it.
        if self.servers[server].evacuated {
            return;
        }
        let usual = self.services[self.servers[server].service].mean_latency();
        let zone = self.servers[server].zone.clone();
        let confirm_at = self.zones.record_silence(now, &zone, server, sent_at, usual);
        if let Some((at, position)) = confirm_at.zip(self.zones.position(&zone)) {
            self.timers.push(Reverse((at, Timer::ConfirmZone(position))));
        }
        let known = self.server_names.len();
        if let Some(at) = self.access.record_silence(now, server, sent_at, usual, known) {
            self.next_server_probe = now;
            self.timers.push(Reverse((now, Timer::ProbeServers)));
            self.timers.push(Reverse((at, Timer::ConfirmDetached)));
        }
    }

    /// Treats a zone as unreachable if it is still silent.
    pub(super) fn confirm_zone(&mut self, now: Mono, position: usize, out: &mut Vec<Output>) {
        let Some(zone) = self.zones.name(position).cloned() else { return };
        if self.zones.confirm(now, &zone) {
            out.push(Output::Log(Decision::ZoneUnreachable { zone }));
        }
    }

    /// Records at the server and its service that an attempt is no longer in flight.
    pub(super) fn record_attempt_end(&mut self, server: usize, attempt: AttemptId) {
        self.servers[server].record_finished(attempt);
        let service = &mut self.services[self.servers[server].service];
        service.outstanding = service.outstanding.saturating_sub(1);
    }

    /// Handles the attempts that have no outcome by the due time of their request: those that were
    /// not sent too recently count as attempts without a response.
    pub(super) fn record_overdue(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get(&key) else { return };
        let overdue: Vec<AttemptId> =
            running.shards.iter().flat_map(|s| &s.in_flight).copied().collect();
        let timer_is_late = now.since(running.answer_by) >= MAX_TIMER_DELAY;
        for attempt in overdue {
            if !timer_is_late {
                self.record_late(now, attempt);
            }
            let Some(mut in_flight) = self.attempts.remove(&attempt) else { continue };
            let usual = self.services[self.servers[in_flight.server].service].mean_latency();
            if now.since(in_flight.sent_at) >= usual * OVERDUE_MEAN_LATENCIES {
                self.record_no_response(now, &in_flight, out);
                in_flight.marked_unresponsive = true;
            }
            self.attempts.insert(attempt, in_flight);
        }
    }

    /// Records that a server did not respond to an attempt, at most once for each attempt.
    pub(super) fn record_no_response(
        &mut self,
        now: Mono,
        in_flight: &InFlightAttempt,
        out: &mut Vec<Output>,
    ) {
        if in_flight.marked_unresponsive {
            return;
        }
        let time = self.servers[in_flight.server].record_no_response(now);
        self.log_ejection(in_flight, time, out);
    }

    fn log_ejection(
        &self,
        in_flight: &InFlightAttempt,
        time: Option<std::time::Duration>,
        out: &mut Vec<Output>,
    ) {
        let Some(time) = time else { return };
        let server = &self.servers[in_flight.server];
        out.push(Output::Log(Decision::Ejected {
            server: server.id.clone(),
            service: self.services[server.service].id.clone(),
            failures: server.consecutive_failures(),
            for_ms: time.as_millis() as u64,
        }));
    }

    /// Applies the outcome of an attempt to its request.
    fn apply_outcome(
        &mut self,
        now: Mono,
        key: QueryId,
        in_flight: &InFlightAttempt,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        let progress = &mut running.shards[in_flight.shard];
        progress.in_flight.retain(|a| *a != attempt);
        if outcome == AttemptOutcome::Answered {
            progress.status = ShardStatus::Received(attempt);
            progress.hedge_at = None;
            running.responses += 1;
            if let Some(gather) = &mut running.gather {
                gather.unreported.push((in_flight.shard, attempt));
            }
            let losers = std::mem::take(&mut progress.in_flight);
            let error = progress.error_response.take();
            let idempotent = running.route.idempotent;
            out.extend(error.map(Output::Discard));
            for loser in losers {
                self.linger(now, loser, idempotent);
            }
            return self.complete_if_decided(now, key, out);
        }
        out.extend(running.keep_error(in_flight.shard, attempt, outcome).map(Output::Discard));
        let progress = &mut running.shards[in_flight.shard];
        match outcome {
            AttemptOutcome::NotRun | AttemptOutcome::WrongServer => progress.possible_runs -= 1,
            AttemptOutcome::NotSent | AttemptOutcome::Withheld => {
                progress.possible_runs -= 1;
                if progress.deliveries > 1 {
                    self.services[progress.service].retry_budget.refund(now);
                }
                progress.deliveries -= 1;
                self.refund_rate(in_flight.server);
            }
            AttemptOutcome::Answered
            | AttemptOutcome::ConnectionLost
            | AttemptOutcome::Error
            | AttemptOutcome::FalseRefusal
            | AttemptOutcome::Lost => {}
        }
        let retried = self.retry_shard(now, key, in_flight.shard, out);
        out.push(Output::Log(Decision::AttemptFailed {
            request: in_flight.id.clone(),
            fingerprint: in_flight.fingerprint,
            attempt,
            kind: in_flight.kind,
            server: self.servers[in_flight.server].id.clone(),
            outcome: outcome.label(),
            after_ms: now.since(in_flight.sent_at).as_millis() as u64,
            retried,
        }));
        self.complete_if_decided(now, key, out);
        self.arm_timer(key);
    }

    /// Retries a shard after a failure if a retry is allowed and no other attempt is in flight.
    /// Marks it as missing if no response can arrive any more. Returns true if it was sent or
    /// queued.
    pub(super) fn retry_shard(
        &mut self,
        now: Mono,
        key: QueryId,
        shard: usize,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(running) = self.requests.get(&key) else { return false };
        let progress = &running.shards[shard];
        if progress.status != ShardStatus::Open
            || progress.delegated
            || !progress.in_flight.is_empty()
        {
            return false;
        }
        let may_run = running.may_run(shard);
        if !may_run && !running.is_confirmed() {
            if let Some(running) = self.requests.get_mut(&key) {
                running.shards[shard].awaits_confirmation = true;
            }
            return false;
        }
        let verdict = self.copy_verdict(key, shard);
        if may_run && verdict == CopyVerdict::Held {
            self.hold_copy(key, shard);
            return false;
        }
        let allowed = may_run
            && verdict == CopyVerdict::Allowed
            && progress.attempts < super::placement::MAX_ATTEMPTS_PER_SHARD
            && now < running.deadline;
        if allowed && self.should_relay(now, running, shard) {
            self.relay(now, key, &[shard], None, out);
            let Some(running) = self.requests.get(&key) else { return false };
            return running.shards[shard].delegated;
        }
        if allowed && !self.is_detached() && self.place_shard(now, key, shard, out) {
            return true;
        }
        self.mark_missing(key, shard);
        false
    }
}
