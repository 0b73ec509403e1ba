//! Requests that end the servers that run them.
//!
//! A lost connection makes the request in flight a suspect only once a check has shown that the
//! server has ended: it refuses connections, and another server accepts one. A quarantined request
//! reaches no server: not as a first attempt, from the queue, as a hedge, retry or probe, and not in
//! a group of another entry.

use std::cmp::Reverse;
use std::net::SocketAddr;

use hornbeam_model::{
    CrashReport, CrashedRun, Fingerprint, Incarnation, Mono, QueryId, RunSpan, ServerId,
};

use super::{Engine, InFlightAttempt, Output};
use crate::decision::Decision;
use crate::region_rule::RegionRule;
use crate::server::Server;

/// Other servers that a check connects to at most, one after the other.
const WITNESSES: usize = 3;

impl Engine {
    /// Returns the runs during which servers ended that this entry has observed or cleared since the
    /// last call, to report them to the other entries.
    pub fn take_crash_reports(&mut self, now: Mono) -> Vec<CrashReport> {
        self.crash_history.take_reports(now)
    }

    /// Returns true if a request or one shard of it is quarantined.
    pub(super) fn is_quarantined(&self, now: Mono, key: QueryId, shard: usize) -> bool {
        let Some(running) = self.requests.get(&key) else { return false };
        let service = running.shards[shard].service;
        self.quarantined_until(now, running.fingerprint, service).is_some()
    }

    /// Returns the end of the quarantine of a request, or of its shard at a service.
    pub(super) fn quarantined_until(
        &self,
        now: Mono,
        fingerprint: Fingerprint,
        service: usize,
    ) -> Option<Mono> {
        let history = &self.crash_history;
        if history.is_clear() {
            return None;
        }
        let shard = || fingerprint.at_service(&self.services[service].id);
        history
            .quarantined_until(now, fingerprint)
            .or_else(|| history.quarantined_until(now, shard()))
    }

    /// Returns the end of the quarantine of a request to these services, if fewer than `min_shards` of
    /// them may get it.
    pub(super) fn quarantined_below(
        &self,
        now: Mono,
        fingerprint: Fingerprint,
        services: &[usize],
        min_shards: usize,
    ) -> Option<Mono> {
        if self.crash_history.is_clear() {
            return None;
        }
        let until = |service: &usize| self.quarantined_until(now, fingerprint, *service);
        let mut ends: Vec<Mono> = services.iter().filter_map(until).collect();
        let lacking = min_shards.checked_sub(services.len() - ends.len() + 1)?;
        ends.sort_unstable();
        ends.get(lacking).copied()
    }

    /// Returns the fingerprint of what an attempt runs: a request, or a shard of a search.
    fn run_fingerprint(&self, in_flight: &InFlightAttempt) -> Fingerprint {
        let service = &self.services[self.servers[in_flight.server].service].id;
        match in_flight.is_scatter {
            true => in_flight.fingerprint.at_service(service),
            false => in_flight.fingerprint,
        }
    }

    /// Records a response: the request does not end its servers.
    pub(super) fn clear_suspect(&mut self, now: Mono, in_flight: &InFlightAttempt) {
        let fingerprint = self.run_fingerprint(in_flight);
        self.crash_history.clear(now, fingerprint);
    }

    /// Makes the request of an attempt whose connection was lost a suspect, and checks whether its
    /// server has ended.
    pub(super) fn check_server(
        &mut self,
        now: Mono,
        in_flight: &InFlightAttempt,
        out: &mut Vec<Output>,
    ) {
        if !self.may_use(in_flight.server, &RegionRule::default()) {
            return;
        }
        let fingerprint = self.run_fingerprint(in_flight);
        let span = RunSpan { began: in_flight.sent_at.0 as i64, ended: now.0 as i64 };
        let server = &self.servers[in_flight.server];
        let (id, incarnation, address) = (server.id.clone(), server.incarnation, server.address);
        let run = CrashedRun { fingerprint, server: id.clone(), incarnation, span, cleared: false };
        self.crash_history.record(now, run);
        self.record_search_end(in_flight, out);
        if self.pending_checks.insert(id.clone(), incarnation) != Some(incarnation) {
            let witnesses = self.witnesses(in_flight.server);
            out.push(Output::CheckServer { server: id, incarnation, address, witnesses });
        }
    }

    /// Returns other servers that should accept connections: those that responded last, before those
    /// that are ejected, since these may have ended as well. If none accepts one either, the links of
    /// this entry are at fault.
    fn witnesses(&self, checked: usize) -> Vec<(ServerId, SocketAddr)> {
        let others =
            self.servers.iter().enumerate().filter(|(i, s)| {
                *i != checked && s.usable && self.may_use(*i, &RegionRule::default())
            });
        let mut others: Vec<&Server> = others.map(|(_, s)| s).collect();
        others.sort_by_key(|s| (s.is_ejected(), Reverse(s.answered_at())));
        others.into_iter().take(WITNESSES).map(|s| (s.id.clone(), s.address)).collect()
    }

    pub(super) fn on_server_checked(
        &mut self,
        now: Mono,
        (server, incarnation): (&ServerId, Incarnation),
        has_ended: bool,
        out: &mut Vec<Output>,
    ) {
        if self.pending_checks.get(server) == Some(&incarnation) {
            self.pending_checks.swap_remove(server);
        }
        if !has_ended {
            self.crash_history.discard_unconfirmed(server, incarnation);
            return self.release_after_check(now, (server, incarnation), has_ended, out);
        }
        if let Some(idx) = self.server_names.get(server).copied()
            && self.servers[idx].incarnation == incarnation
        {
            self.servers[idx].eject(now);
            out.push(Output::CloseIdle(server.clone()));
        }
        for fingerprint in self.crash_history.confirm_end(now, server, incarnation) {
            let crashes = self.crash_history.crashes(fingerprint);
            let server = server.clone();
            out.push(Output::Log(Decision::ServerEnded { server, fingerprint, crashes }));
        }
        self.drop_quarantined(now, out);
        self.release_after_check(now, (server, incarnation), has_ended, out);
    }

    pub(super) fn on_crash_reports(
        &mut self,
        now: Mono,
        reports: Vec<CrashReport>,
        out: &mut Vec<Output>,
    ) {
        self.crash_history.record_reports(now, reports);
        self.drop_quarantined(now, out);
    }

    /// Ends the queued shards of quarantined requests, and logs each quarantine once.
    fn drop_quarantined(&mut self, now: Mono, out: &mut Vec<Output>) {
        let quarantined: Vec<Fingerprint> = self.crash_history.quarantined().collect();
        for fingerprint in &quarantined {
            if !self.logged_quarantines.contains(fingerprint) {
                let crashes = self.crash_history.crashes(*fingerprint);
                out.push(Output::Log(Decision::Quarantined { fingerprint: *fingerprint, crashes }));
            }
        }
        let is_known = self.logged_quarantines == quarantined;
        self.logged_quarantines = quarantined;
        if is_known {
            return;
        }
        let mut keys: Vec<QueryId> = self.requests.keys().copied().collect();
        keys.sort_unstable();
        for key in keys {
            let Some(running) = self.requests.get(&key) else { continue };
            let shards = running.shards.iter().enumerate();
            let waiting: Vec<usize> =
                shards.filter(|(_, s)| s.is_waiting()).map(|(i, _)| i).collect();
            for shard in waiting {
                if !self.is_quarantined(now, key, shard) {
                    continue;
                }
                self.dequeue(key, shard);
                self.mark_missing(key, shard);
            }
            self.complete_if_decided(now, key, out);
        }
    }
}
