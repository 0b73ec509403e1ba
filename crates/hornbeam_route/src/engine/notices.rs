//! Servers that leave or ask for a pause in their responses.
//!
//! Both take effect with the response that states them, for every way in which a request reaches a
//! server: first attempts, queued shards, hedges, retries and probes, and attempts whose connection
//! is still being opened.

use hornbeam_model::{AttemptId, Mono};
use rand::Rng;

use super::{Engine, InFlightAttempt, Output, Timer};
use crate::decision::Decision;
use crate::notice::{LeavingServer, MAX_PAUSE, PauseRequest, ServerNotice};
use crate::region_rule::RegionRule;
use crate::stated_load::LoadNotice;

/// Random increase of a pause in percent, so that the entries do not all return at its end.
const PAUSE_SPREAD_PERCENT: f64 = 25.0;

impl Engine {
    /// Returns true if an attempt may be written to its server now: its response is still needed,
    /// the server has neither left, asked for a pause nor been evacuated since the attempt was planned,
    /// and the request is not quarantined.
    pub fn may_send(&self, now: Mono, attempt: AttemptId) -> bool {
        let Some(in_flight) = self.attempts.get(&attempt) else { return false };
        let server = &self.servers[in_flight.server];
        let quarantined = self.quarantined_until(now, in_flight.fingerprint, server.service);
        in_flight.request.is_some()
            && server.usable
            && self.may_use(in_flight.server, &RegionRule::default())
            && !server.is_paused(now)
            && quarantined.is_none()
    }

    /// Applies what a server stated in the response to an attempt.
    pub(super) fn apply_notice(
        &mut self,
        now: Mono,
        in_flight: &InFlightAttempt,
        notice: ServerNotice,
        out: &mut Vec<Output>,
    ) {
        if notice.leaving {
            let server = &self.servers[in_flight.server];
            let leaving =
                LeavingServer { server: server.id.clone(), incarnation: server.incarnation };
            let request = in_flight.request.and_then(|key| self.requests.get_mut(&key));
            if let Some(gather) = request.and_then(|r| r.gather.as_mut())
                && !gather.leaving.contains(&leaving)
            {
                gather.leaving.push(leaving.clone());
            }
            self.on_server_leaving(now, leaving, out);
        }
        match notice.pause {
            Some(PauseRequest::For(time)) => self.pause_server(now, in_flight, time, out),
            Some(PauseRequest::Unreadable) => out.push(Output::Log(Decision::PauseIgnored {
                request: in_flight.id.clone(),
                server: self.servers[in_flight.server].id.clone(),
            })),
            None => {}
        }
    }

    /// Records the load that a server stated in the response to an attempt.
    pub(super) fn record_stated_load(
        &mut self,
        now: Mono,
        in_flight: &InFlightAttempt,
        load: LoadNotice,
        out: &mut Vec<Output>,
    ) {
        let server = &mut self.servers[in_flight.server];
        match load {
            LoadNotice::Unstated => {}
            LoadNotice::Stated(load) => server.record_stated_load(now, load),
            LoadNotice::Unreadable => out.push(Output::Log(Decision::LoadIgnored {
                request: in_flight.id.clone(),
                server: server.id.clone(),
            })),
        }
    }

    /// Stops sending requests to a server that is leaving. Its attempts in flight continue.
    pub(super) fn on_server_leaving(
        &mut self,
        now: Mono,
        leaving: LeavingServer,
        out: &mut Vec<Output>,
    ) {
        if !self.leaving.insert(leaving.clone()) {
            return;
        }
        let Some(idx) = self.server_names.get(&leaving.server).copied() else { return };
        if self.servers[idx].incarnation > leaving.incarnation {
            return;
        }
        let service = self.servers[idx].service;
        self.remove_server(&leaving.server, "leaving", out);
        out.push(Output::CloseIdle(leaving.server));
        self.dispatch_waiters(now, service, out);
    }

    /// Sends nothing to a server for the time that it asked for.
    fn pause_server(
        &mut self,
        now: Mono,
        in_flight: &InFlightAttempt,
        time: std::time::Duration,
        out: &mut Vec<Output>,
    ) {
        let spread = self.rng.random_range(0.0..PAUSE_SPREAD_PERCENT);
        let time = time.min(MAX_PAUSE).mul_f64(1.0 + spread / 100.0);
        if time.is_zero() {
            return;
        }
        let server = &mut self.servers[in_flight.server];
        server.pause(now + time);
        self.pauses.retain(|_, (_, until)| *until > now);
        self.pauses.insert(server.id.clone(), (server.incarnation, now + time));
        let (server, service) = (server.id.clone(), server.service);
        self.timers.push(std::cmp::Reverse((now + time, Timer::ServerAvailable(service))));
        out.push(Output::Log(Decision::ServerPaused {
            request: in_flight.id.clone(),
            server,
            service: self.services[service].id.clone(),
            for_ms: time.as_millis() as u64,
        }));
    }
}
