//! What an entry knows of one backend server.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_model::{AttemptId, Incarnation, Mono, ServerId};
use smol_str::SmolStr;

/// Weight of one latency in the estimate of a server's slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;
/// Time in which the estimate of an unused server falls halfway back to normal.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(3);
/// Bounds of the estimate.
const SLOWNESS_RANGE: (f64, f64) = (0.3, 50.0);
/// Age up to which the own measure of a server goes before what others say.
const MAX_OWN_MEASUREMENT_AGE: Duration = Duration::from_millis(400);
/// Time for which the word of others counts; it is repeated more often.
const PEER_REPORT_TTL: Duration = Duration::from_millis(1_200);
/// Slowness assumed of a server that others find unresponsive.
const UNRESPONSIVE_SLOWNESS: f64 = 10.0;
/// Slowness from which a server is reported.
const MIN_REPORTED_SLOWNESS: f64 = 5.0;
/// Time since the last answer up to which a server is reported.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(2);
/// Weight of one answer in the share of failures.
const FAILURE_RATE_WEIGHT: f64 = 0.1;
/// Failures in a row after which a server is avoided.
const EJECT_AFTER_FAILURES: u32 = 2;
/// Shortest time for which a server is avoided; doubles with each further failure.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(250);
/// Doublings at most.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Time after which one request tries an avoided server again, if others serve meanwhile.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Cost factor of a server in another zone: a longer way, and traffic between zones.
const OTHER_ZONE_COST_FACTOR: f64 = 1.35;
/// Cost factor of a server that is still slow after its start.
const WARM_UP_COST_FACTOR: f64 = 1.5;
/// Cost factor of a server that holds a request for much longer than usual: it may be pausing.
const STALLED_COST_FACTOR: f64 = 6.0;
/// Cost added for a server that fails every request, in times its own; less in proportion.
const FAILURE_RATE_COST_FACTOR: f64 = 8.0;
/// Cost factor of a server to which no connection is open: a new one takes a round trip, time of the
/// server and time of this entry.
const NEW_CONNECTION_COST_FACTOR: f64 = 1.1;
/// Time after an answer for which the connection is taken to be open.
const CONNECTION_IDLE_TIME: Duration = Duration::from_secs(5);
/// Usual latencies after which a request held by a server shows that it is stuck.
const STALLED_AFTER_LATENCIES: f64 = 3.0;
/// Cut of the limit after a shed request.
const SHED_LIMIT_FACTOR: f64 = 0.7;
/// Growth of the limit with each answer.
const LIMIT_INCREMENT: f64 = 0.2;

/// One backend server.
#[derive(Debug)]
pub struct Server {
    /// Its name.
    pub id: ServerId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Position of its service.
    pub service: usize,
    /// Its zone, as text.
    pub zone: SmolStr,
    /// True if it is in the zone of this entry.
    pub same_zone: bool,
    /// Requests that it works on at once.
    pub slots: u32,
    /// True while it takes new requests.
    pub usable: bool,
    /// Until when it is slow after its start.
    pub warm_up_until: Mono,
    /// Attempts out, oldest first.
    pub outstanding: Vec<(AttemptId, Mono)>,
    /// Connections of this entry; at least one.
    pub share: u32,
    /// Attempts that may be out; between 1 and `share`.
    limit: f64,
    slowness: f64,
    slowness_at: Mono,
    /// When it last answered; its connection is open then.
    answered_at: Mono,
    /// Slowness that other entries tell, and until when it counts.
    peer_report: Option<(f64, Mono)>,
    failure_rate: f64,
    consecutive_failures: u32,
    ejected_until: Option<Mono>,
    probed_at: Mono,
}

impl Server {
    /// A server of which nothing is known yet.
    pub fn new(id: ServerId, address: SocketAddr, service: usize, share: u32) -> Self {
        Self {
            id,
            incarnation: Incarnation(0),
            address,
            service,
            zone: SmolStr::default(),
            same_zone: false,
            slots: 1,
            usable: true,
            warm_up_until: Mono::default(),
            outstanding: Vec::new(),
            share,
            limit: f64::from(share),
            slowness: 1.0,
            slowness_at: Mono::default(),
            answered_at: Mono::default(),
            peer_report: None,
            failure_rate: 0.0,
            consecutive_failures: 0,
            ejected_until: None,
            probed_at: Mono::default(),
        }
    }

    /// Sets the connections of this entry.
    pub fn set_share(&mut self, share: u32) {
        let share = share.max(1);
        if self.share != share {
            self.share = share;
            self.limit = f64::from(share);
        }
    }

    /// True if another attempt may be sent.
    pub fn has_capacity(&self) -> bool {
        (self.outstanding.len() as f64) < self.limit.floor()
    }

    /// Attempts that may be out.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// True while it is avoided for its failures.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// When an avoided server may be tried again.
    pub fn ejected_until(&self) -> Option<Mono> {
        self.ejected_until
    }

    /// True if one request should try an avoided server now; notes that it does.
    pub fn start_probe_if_due(&mut self, now: Mono) -> bool {
        let due = self.ejected_until.is_some_and(|until| now >= until)
            && now.since(self.probed_at) >= PROBE_INTERVAL;
        if due {
            self.probed_at = now;
            self.ejected_until = Some(now + self.ejection_time());
        }
        due
    }

    /// How long an answer of this server takes, relative to a usual one of an idle server nearby.
    /// `usual` is the usual latency of its service.
    pub fn cost(&self, now: Mono, usual: Duration) -> f64 {
        let queue = 1.0 + self.outstanding.len() as f64 / f64::from(self.slots.max(1));
        let mut cost =
            self.slowness(now) * queue * (1.0 + FAILURE_RATE_COST_FACTOR * self.failure_rate);
        if !self.same_zone {
            cost *= OTHER_ZONE_COST_FACTOR;
        }
        if now < self.warm_up_until {
            cost *= WARM_UP_COST_FACTOR;
        }
        if now.since(self.answered_at) >= CONNECTION_IDLE_TIME {
            cost *= NEW_CONNECTION_COST_FACTOR;
        }
        if self.is_stalled(now, usual) {
            cost *= STALLED_COST_FACTOR;
        }
        cost
    }

    /// How long an answer of this server takes if nothing waits there.
    pub fn expected_latency(&self, now: Mono, usual: Duration) -> Duration {
        usual.mul_f64(self.slowness(now))
    }

    fn is_stalled(&self, now: Mono, usual: Duration) -> bool {
        let oldest = self.outstanding.first();
        oldest.is_some_and(|(_, at)| {
            now.since(*at) > usual.mul_f64(STALLED_AFTER_LATENCIES * self.slowness)
        })
    }

    fn slowness(&self, now: Mono) -> f64 {
        let reported = self
            .peer_report
            .filter(|(_, until)| now < *until)
            .map_or(0.0, |(reported, _)| reported);
        self.own_slowness(now).max(reported)
    }

    /// Slowness as this entry has measured it.
    fn own_slowness(&self, now: Mono) -> f64 {
        let idle = now.since(self.slowness_at).as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64();
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(idle)
    }

    /// Takes what other entries say of it. What this entry has just measured itself goes before.
    pub fn record_peer_report(&mut self, now: Mono, slowness: f64, unresponsive: bool) {
        let own_is_fresh = now.since(self.slowness_at) < MAX_OWN_MEASUREMENT_AGE;
        if own_is_fresh && !unresponsive {
            return;
        }
        let reported = if unresponsive { slowness.max(UNRESPONSIVE_SLOWNESS) } else { slowness };
        self.peer_report = Some((reported.min(SLOWNESS_RANGE.1), now + PEER_REPORT_TTL));
    }

    /// What to tell other entries: slowness, and whether it is unresponsive. Nothing if it is well, or if
    /// this entry has not measured it lately.
    pub fn health_report(&self, now: Mono) -> Option<(f64, bool)> {
        let unresponsive = self.is_ejected();
        let slowness =
            self.own_slowness(now) * (1.0 + FAILURE_RATE_COST_FACTOR * self.failure_rate);
        let measured = now.since(self.slowness_at) < MAX_REPORTED_AGE || unresponsive;
        (measured && (unresponsive || slowness >= MIN_REPORTED_SLOWNESS))
            .then_some((slowness, unresponsive))
    }

    /// Notes that an attempt is out.
    pub fn record_sent(&mut self, now: Mono, attempt: AttemptId) {
        self.outstanding.push((attempt, now));
    }

    /// Notes that an attempt is not out any more.
    pub fn record_finished(&mut self, attempt: AttemptId) {
        self.outstanding.retain(|(a, _)| *a != attempt);
    }

    /// Learns from an answer that took `latency` where `usual` is usual; true if the server was
    /// avoided until now.
    pub fn record_success(
        &mut self,
        now: Mono,
        latency: Duration,
        usual: Option<Duration>,
    ) -> bool {
        if let Some(usual) = usual {
            let ratio = latency.as_secs_f64() / usual.as_secs_f64().max(1e-4);
            let known = self.own_slowness(now);
            let slowness = known + (ratio - known) * SLOWNESS_WEIGHT;
            self.slowness = slowness.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
            self.slowness_at = now;
        }
        self.answered_at = now;
        self.failure_rate -= self.failure_rate * FAILURE_RATE_WEIGHT;
        self.consecutive_failures = 0;
        self.limit = (self.limit + LIMIT_INCREMENT).min(f64::from(self.share));
        self.ejected_until.take().is_some()
    }

    /// Learns that the server did not run a request for want of room.
    pub fn record_shed(&mut self) {
        let out = (self.outstanding.len() + 1) as f64;
        self.limit = (self.limit.min(out) * SHED_LIMIT_FACTOR).max(1.0);
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT;
    }

    /// Learns that the server answered with a failure of its own.
    pub fn record_error(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT;
    }

    /// Learns that the server gave no answer; for how long it is avoided now, if that is news.
    pub fn record_no_response(&mut self, now: Mono) -> Option<Duration> {
        self.consecutive_failures += 1;
        self.record_error();
        if self.consecutive_failures < EJECT_AFTER_FAILURES {
            return None;
        }
        let time = self.ejection_time();
        let until = now + time;
        let news = self.ejected_until.is_none();
        self.ejected_until = Some(until);
        news.then_some(time)
    }

    /// How long it is avoided after as many failures.
    fn ejection_time(&self) -> Duration {
        let doublings = self
            .consecutive_failures
            .saturating_sub(EJECT_AFTER_FAILURES)
            .min(MAX_EJECTION_DOUBLINGS);
        MIN_EJECTION_TIME * 2_u32.pow(doublings)
    }

    /// Failures in a row.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Avoids the server at once: nobody is there, or another server has its address.
    pub fn eject(&mut self, now: Mono) -> Option<Duration> {
        self.consecutive_failures = self.consecutive_failures.max(EJECT_AFTER_FAILURES - 1);
        self.record_no_response(now)
    }
}
