//! This entry's part of the request rate that a backend server accepts from all entries together.
//!
//! Load pattern: a server in need states a rate in its responses. Each entry may send a part of it
//! that follows the demand, as reported within the last second; without reports all parts are equal,
//! so that the sum stays within the rate. Replayed in `tests/server_rates`.

use std::time::Duration;

use hornbeam_model::{Incarnation, Mono, RateStatement, RequestRate, ServerId};
use indexmap::IndexMap;

use crate::cold_limit::{ColdBounds, ColdLimit};
use crate::fleet_size::FleetSize;

/// Age up to which the demand of all entries counts; it allows for two lost reports.
const MAX_DEMAND_AGE: Duration = Duration::from_millis(1_500);
/// Time for which the highest reported demand is used. Several controllers report it, and one that
/// does not hear all entries reports too little.
const DEMAND_TTL: Duration = Duration::from_millis(600);
/// Lowest rate that is used, in requests a second: a server that gets nothing cannot state that it
/// has recovered.
const MIN_RATE: f64 = 0.25;
/// Percentage of the rate that is divided equally, so that an entry without requests so far can send
/// its first ones.
const EQUAL_PERCENT: f64 = 10.0;
/// Time in which an idle entry saves up tokens.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Tokens that all idle entries together may save up: a number, and those of a time at the stated
/// rate. With more entries than this, each saves up less than one token.
const IDLE_TOKENS: f64 = 4.0;
const IDLE_TOKENS_TIME: Duration = Duration::from_secs(1);
/// Time after a request that found no token in which an entry may save up a whole one.
const WANTED_TIME: Duration = Duration::from_secs(1);
/// Time for which a withdrawn rate is reported, and one that another entry does not know yet.
const REPORT_TIME: Duration = Duration::from_secs(10);
/// Maximum number of servers with a statement; the one that was learned first is forgotten.
const MAX_SERVERS: usize = 16_384;

/// The latest statement of a server, and the tokens for requests to it.
#[derive(Clone, Debug)]
pub struct RateLimit {
    statement: RateStatement,
    adopted_at: Mono,
    /// Until when the statement is reported although it states no rate.
    report_until: Mono,
    /// Demand of all entries for the server's service, and when it was reported.
    fleet_demand: Option<(RequestRate, Mono)>,
    /// Demand of this entry as it was last reported.
    own_demand: RequestRate,
    /// Requests that may be sent now; negative after one that could not be postponed.
    tokens: f64,
    refilled_at: Mono,
    /// When a request last found no token.
    wanted_at: Option<Mono>,
    /// Time of the pending wake-up for queued requests.
    wake_at: Mono,
    /// Limit while the server is cold, whatever rate it states.
    cold: Option<ColdLimit>,
}

impl RateLimit {
    fn new(now: Mono, statement: RateStatement) -> Self {
        Self {
            statement,
            adopted_at: now,
            report_until: now + REPORT_TIME,
            fleet_demand: None,
            own_demand: RequestRate::default(),
            tokens: 0.0,
            refilled_at: now,
            wanted_at: None,
            wake_at: now,
            cold: None,
        }
    }

    /// Returns the rate that the server states.
    pub fn stated(&self) -> Option<RequestRate> {
        self.statement.rate
    }

    /// Returns this entry's part of the rate, between 0 and 1, with `entries` entries in the fleet.
    fn part(&self, now: Mono, entries: u32) -> f64 {
        let equal = 1.0 / f64::from(entries.max(1));
        let total = self.fleet_demand.filter(|(_, at)| now.since(*at) < MAX_DEMAND_AGE);
        let Some((total, _)) = total.filter(|(total, _)| total.0 > 0) else { return equal };
        let own = self.own_demand.0 as f64;
        let by_demand = own / own.max(total.0 as f64);
        (by_demand * (100.0 - EQUAL_PERCENT) + equal * EQUAL_PERCENT) / 100.0
    }

    /// Returns the requests per second that all entries together may send.
    fn rate(&self) -> f64 {
        self.statement.rate.map_or(f64::INFINITY, |rate| rate.per_second().max(MIN_RATE))
    }

    /// Returns the requests per second that this entry may send.
    fn allowed_rate(&self, now: Mono, entries: u32) -> f64 {
        self.rate() * self.part(now, entries)
    }

    fn refill(&mut self, now: Mono, entries: u32) {
        let allowed = self.allowed_rate(now, entries);
        let idle = IDLE_TOKENS + self.rate() * IDLE_TOKENS_TIME.as_secs_f64();
        let idle = (idle / f64::from(entries.max(1))).min(1.0);
        let is_wanted = self.wanted_at.is_some_and(|at| now.since(at) < WANTED_TIME);
        let cap = if is_wanted { 1.0 } else { idle };
        let cap = cap.max(allowed * BURST_TIME.as_secs_f64());
        let gained = allowed * now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + gained).min(cap.max(self.tokens));
    }

    /// Returns true if a request may be sent now. Otherwise records that one was wanted.
    pub fn has_token(&mut self, now: Mono, entries: u32) -> bool {
        if self.statement.rate.is_none() {
            return true;
        }
        self.refill(now, entries);
        if self.tokens < 1.0 {
            self.wanted_at = Some(now);
        }
        self.tokens >= 1.0
    }

    /// Returns true if the server is not cold or bears another request of this entry now. `phase` is the
    /// random number of this entry, from 0 to below 1.
    pub fn has_cold_token(&mut self, now: Mono, size: FleetSize, phase: f64) -> bool {
        let cold = self.cold.as_mut().filter(|c| c.is_active(now));
        cold.is_none_or(|c| c.has_token(now, size, phase))
    }

    /// Returns true while the server is cold.
    pub fn is_cold(&self, now: Mono) -> bool {
        self.cold.as_ref().is_some_and(|c| c.is_active(now))
    }

    /// Uses a token for a request that is sent.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
        if let Some(cold) = &mut self.cold {
            cold.take();
        }
    }

    /// Returns the token of a request that was not sent after all.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
        if let Some(cold) = &mut self.cold {
            cold.refund();
        }
    }

    /// Returns the time until the server bears `requests` requests although it is cold.
    pub fn cold_wait(&self, now: Mono, size: FleetSize, requests: f64) -> Duration {
        let cold = self.cold.as_ref().filter(|c| c.is_active(now));
        cold.map_or(Duration::ZERO, |c| c.wait_for(now, size, requests))
    }

    /// Returns the time until the stated rate allows `requests` requests.
    pub fn wait_for(&self, now: Mono, entries: u32, requests: f64) -> Duration {
        if self.stated().is_none() {
            return Duration::ZERO;
        }
        let allowed = self.allowed_rate(now, entries);
        let gained = allowed * now.since(self.refilled_at).as_secs_f64();
        let lacking = (requests - self.tokens - gained).max(0.0);
        Duration::try_from_secs_f64(lacking / allowed.max(f64::MIN_POSITIVE))
            .unwrap_or(Duration::MAX)
    }

    /// Returns the time of the next token if no wake-up is pending, and records one for then.
    pub fn schedule_wake(&mut self, now: Mono, entries: u32, size: FleetSize) -> Option<Mono> {
        if self.wake_at > now {
            return None;
        }
        let wait = self.wait_for(now, entries, 1.0).max(self.cold_wait(now, size, 1.0));
        let wait = wait.min(WANTED_TIME);
        self.wake_at = now + wait.max(Duration::from_millis(1));
        Some(self.wake_at)
    }
}

/// The stated rates of all servers, also of those that are not known meanwhile.
#[derive(Debug, Default)]
pub struct RateLimits {
    servers: IndexMap<ServerId, RateLimit>,
}

impl RateLimits {
    /// Returns the limit of a server, if this start of the server has stated a rate.
    pub fn get_mut(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
    ) -> Option<&mut RateLimit> {
        self.servers.get_mut(server).filter(|l| l.statement.incarnation == incarnation)
    }

    /// Returns the limit of a server, if this start of the server states a rate now or is cold.
    pub fn in_force(
        &self,
        now: Mono,
        server: &ServerId,
        incarnation: Incarnation,
    ) -> Option<&RateLimit> {
        let limit = self.servers.get(server)?;
        let is_limited = limit.stated().is_some() || limit.is_cold(now);
        (limit.statement.incarnation == incarnation && is_limited).then_some(limit)
    }

    /// Limits the requests to a server that is cold until `until`. Returns true if it was not cold.
    pub fn set_cold(
        &mut self,
        now: Mono,
        (server, incarnation): (&ServerId, Incarnation),
        (rate, bounds): (RequestRate, ColdBounds),
        until: Mono,
    ) -> bool {
        if self.get_mut(server, incarnation).is_none() {
            // Any statement of the server replaces this one, with which the demand for it is reported.
            let (server, version) = (server.clone(), 0);
            self.adopt(now, RateStatement { server, incarnation, version, rate: None });
        }
        let Some(limit) = self.get_mut(server, incarnation) else { return false };
        match limit.cold.as_mut().filter(|c| c.is_active(now)) {
            Some(cold) => {
                cold.renew(rate, until);
                false
            }
            None => {
                limit.cold = Some(ColdLimit::new(now, rate, bounds, until));
                true
            }
        }
    }

    /// Returns the end of the warm-up of this start of a server, as far as it is known.
    pub fn cold_until(&self, server: &ServerId, incarnation: Incarnation) -> Option<Mono> {
        let limit = self.servers.get(server)?;
        let cold = limit.cold.as_ref().filter(|_| limit.statement.incarnation == incarnation);
        cold.map(ColdLimit::until)
    }

    /// Ends the warm-up of a server.
    pub fn end_cold(&mut self, server: &ServerId) {
        if let Some(limit) = self.servers.get_mut(server) {
            limit.cold = None;
        }
    }

    /// Records what a server stated in the response to an attempt that was sent at `sent_at`. The
    /// response to an attempt sent before the latest statement was known may be older than that
    /// statement and changes nothing. Returns true if the statement has changed.
    pub fn observe(
        &mut self,
        now: Mono,
        (server, incarnation): (&ServerId, Incarnation),
        sent_at: Mono,
        rate: Option<RequestRate>,
    ) -> bool {
        let known = self.servers.get(server);
        let known = known.filter(|l| l.statement.incarnation >= incarnation);
        let is_current = known.is_none_or(|l| {
            l.statement.incarnation == incarnation && l.stated() != rate && sent_at >= l.adopted_at
        });
        if !is_current || (known.is_none() && rate.is_none()) {
            return false;
        }
        let version = known.map_or(0, |l| l.statement.version) + 1;
        self.adopt(now, RateStatement { server: server.clone(), incarnation, version, rate });
        true
    }

    /// Records a statement and the demand that other entries reported. Returns true if the statement
    /// has changed.
    pub fn record_report(
        &mut self,
        now: Mono,
        statement: RateStatement,
        demand: RequestRate,
    ) -> bool {
        let changed = match self.servers.get_mut(&statement.server) {
            Some(known) if !statement.supersedes(&known.statement) => {
                if known.statement.supersedes(&statement) {
                    known.report_until = now + REPORT_TIME;
                }
                false
            }
            _ => {
                self.adopt(now, statement.clone());
                true
            }
        };
        if let Some(limit) = self.servers.get_mut(&statement.server) {
            let replaced =
                limit.fleet_demand.is_none_or(|(d, at)| demand >= d || now.since(at) >= DEMAND_TTL);
            if replaced {
                limit.fleet_demand = Some((demand, now));
            }
            if let Some(cold) = &mut limit.cold {
                cold.record_total(now, demand);
            }
        }
        changed
    }

    fn adopt(&mut self, now: Mono, statement: RateStatement) {
        let server = statement.server.clone();
        match self.servers.get_mut(&server) {
            Some(known) if known.statement.incarnation == statement.incarnation => {
                known.statement = statement;
                known.adopted_at = now;
                known.report_until = now + REPORT_TIME;
            }
            Some(known) => *known = RateLimit::new(now, statement),
            None => {
                if self.servers.len() >= MAX_SERVERS {
                    self.servers.shift_remove_index(0);
                }
                self.servers.insert(server, RateLimit::new(now, statement));
            }
        }
    }

    /// Returns the statements to report, with the demand that `demand` returns for a server of this
    /// name and start; those of servers for which it returns `None` are left out.
    pub fn reports(
        &mut self,
        now: Mono,
        mut demand: impl FnMut(&ServerId, Incarnation) -> Option<RequestRate>,
    ) -> Vec<(RateStatement, RequestRate)> {
        let mut reports = Vec::new();
        for limit in self.servers.values_mut() {
            if limit.stated().is_none() && now >= limit.report_until && !limit.is_cold(now) {
                continue;
            }
            let Some(demand) = demand(&limit.statement.server, limit.statement.incarnation) else {
                continue;
            };
            limit.own_demand = demand;
            if let Some(cold) = &mut limit.cold {
                cold.record_own(demand);
            }
            reports.push((limit.statement.clone(), demand));
        }
        reports
    }
}
