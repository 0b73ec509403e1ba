//! An entry's view of one backend server: latency, failures, ejection and capacity.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_model::{AttemptId, Incarnation, Mono, Region, ServerId};
use smol_str::SmolStr;

use crate::stated_load::{LoadEstimate, StatedLoad};

/// Weight of one latency sample in the moving average of a server's slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;
/// Time in which the slowness of a server without responses decays halfway back to 1.0.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(3);
/// Lower and upper bound of the measured slowness; the upper one also bounds peer reports.
const SLOWNESS_RANGE: (f64, f64) = (0.3, 50.0);
/// Age up to which this entry's own measurement takes precedence over peer reports of slowness.
const MAX_OWN_MEASUREMENT_AGE: Duration = Duration::from_millis(400);
/// Time for which a peer report is used; entries repeat their reports more often than this.
const PEER_REPORT_TTL: Duration = Duration::from_millis(1_200);
/// Lowest slowness assumed of a server that peers report as unresponsive.
const UNRESPONSIVE_SLOWNESS: f64 = 10.0;
/// Slowness from which a server is included in health reports.
const MIN_REPORTED_SLOWNESS: f64 = 5.0;
/// Age of the last slowness measurement up to which a slow server is reported.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(2);
/// Ratio to the usual latency from which a response counts as slow.
const SLOW_RESPONSE_RATIO: f64 = 5.0;
/// Failure rate from which failures count as lasting: three in a row, or as many among ten.
const LASTING_FAILURE_RATE: f64 = 0.25;
/// Weight of one response in the moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.1;
/// Consecutive attempts without a response after which a server is ejected.
const EJECTION_FAILURES: u32 = 2;
/// Shortest ejection; the time doubles with each further failure.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(250);
/// Upper bound on the doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Minimum interval between two probes of an ejected server while other servers take the requests.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Cost factor of a server in another zone, for the longer round trip and the cross-zone traffic.
const OTHER_ZONE_COST_FACTOR: f64 = 1.35;
/// Cost factor of a server that is still warming up after its start.
const WARM_UP_COST_FACTOR: f64 = 1.5;
/// Cost factor of a server with an attempt in flight for much longer than usual; it may be pausing.
const STALLED_COST_FACTOR: f64 = 6.0;
/// Cost added at a failure rate of 1.0, as a multiple of the cost; proportional below that.
const FAILURE_RATE_COST_FACTOR: f64 = 8.0;
/// Cost factor of a server without an open connection: opening one takes a round trip and CPU time
/// at the server and at this entry.
const NEW_CONNECTION_COST_FACTOR: f64 = 1.1;
/// Time after a response for which the connection is assumed to be open.
const CONNECTION_IDLE_TIME: Duration = Duration::from_secs(5);
/// A server counts as stalled when its oldest attempt is in flight for this many usual latencies
/// times its slowness.
const STALLED_AFTER_LATENCIES: f64 = 3.0;
/// Factor that the concurrency limit is multiplied by when the server sheds a request.
const SHED_LIMIT_FACTOR: f64 = 0.7;
/// Increase of the concurrency limit with each successful response.
const LIMIT_INCREMENT: f64 = 0.2;

/// A backend server with its measured latency, failures and in-flight attempts.
#[derive(Debug)]
pub struct Server {
    /// Identifies the server across restarts.
    pub id: ServerId,
    /// Identifies one start of the server.
    pub incarnation: Incarnation,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Position of its service in the engine.
    pub service: usize,
    /// Name of its availability zone.
    pub zone: SmolStr,
    /// Region of its zone, if it is known.
    pub region: Option<Region>,
    /// True while an operator has ordered that nothing is sent to the servers of its zone.
    pub evacuated: bool,
    /// True if the server is in the zone of this entry.
    pub same_zone: bool,
    /// Number of requests that it processes concurrently; at least 1.
    pub slots: u32,
    /// True while it accepts new requests.
    pub usable: bool,
    /// True while it states the rate of requests that it accepts.
    pub rate_limited: bool,
    /// End of the warm-up after its start.
    pub warm_up_until: Mono,
    /// In-flight attempts with their send times, oldest first.
    pub outstanding: Vec<(AttemptId, Mono)>,
    /// Connections that this entry may open to it; at least 1.
    pub share: u32,
    /// Limit on in-flight attempts; between 1 and `share`.
    limit: f64,
    slowness: f64,
    slowness_at: Mono,
    /// Time of the last successful response; a connection is open at that time.
    answered_at: Mono,
    /// Slowness that other entries reported, and when the report expires.
    peer_report: Option<(f64, Mono)>,
    /// When the first slow response since the last one in time arrived.
    slow_since: Option<Mono>,
    /// True if a request that was sent after a slow response got a slow one as well. The requests that a
    /// pause of the server delays are all sent before the first of their responses.
    is_lastingly_slow: bool,
    /// Latency of the last response relative to the usual one.
    last_ratio: f64,
    failure_rate: f64,
    consecutive_failures: u32,
    /// True from a connection that could not be opened until the next response.
    refuses_connections: bool,
    ejected_until: Option<Mono>,
    probed_at: Mono,
    /// End of the pause that the server asked for; in the past if there is none.
    paused_until: Mono,
    /// Load that the server stated last.
    stated_load: Option<LoadEstimate>,
}

impl Server {
    /// Creates a server without measurements.
    pub fn new(id: ServerId, address: SocketAddr, service: usize, share: u32) -> Self {
        Self {
            id,
            incarnation: Incarnation(0),
            address,
            service,
            zone: SmolStr::default(),
            region: None,
            evacuated: false,
            same_zone: false,
            slots: 1,
            usable: true,
            rate_limited: false,
            warm_up_until: Mono::default(),
            outstanding: Vec::new(),
            share,
            limit: f64::from(share),
            slowness: 1.0,
            slowness_at: Mono::default(),
            answered_at: Mono::default(),
            peer_report: None,
            slow_since: None,
            is_lastingly_slow: false,
            last_ratio: 1.0,
            failure_rate: 0.0,
            consecutive_failures: 0,
            refuses_connections: false,
            ejected_until: None,
            probed_at: Mono::default(),
            paused_until: Mono::default(),
            stated_load: None,
        }
    }

    /// Sets the number of connections that this entry may open, and resets the concurrency limit to
    /// it when it changes.
    pub fn set_share(&mut self, share: u32) {
        let share = share.max(1);
        if self.share != share {
            self.share = share;
            self.limit = f64::from(share);
        }
    }

    /// Returns true if the concurrency limit allows another attempt.
    pub fn has_capacity(&self) -> bool {
        (self.outstanding.len() as f64) < self.limit.floor()
    }

    /// Returns the limit on in-flight attempts, rounded down.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns true from an ejection until the next successful response, also while a probe is due
    /// or in flight.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records whether a connection to the server could be opened.
    pub fn record_connection(&mut self, opened: bool) {
        self.refuses_connections = !opened;
    }

    /// Returns true if no connection could be opened and no response has arrived since. An ejection
    /// without it shows that the server is slow or at its limit rather than out of reach.
    pub fn refuses_connections(&self) -> bool {
        self.refuses_connections
    }

    /// Ends an ejection whose cause was not the server.
    pub fn end_ejection(&mut self) {
        self.refuses_connections = false;
        self.ejected_until = None;
        self.consecutive_failures = 0;
    }

    /// Uses the server again after an evacuation, like one that has just started: it may be another
    /// process by now, and its concurrency limit grows from one.
    pub fn return_from_evacuation(&mut self) {
        self.end_ejection();
        self.limit = 1.0;
    }

    /// Returns the time of the last successful response.
    pub fn answered_at(&self) -> Mono {
        self.answered_at
    }

    /// Returns the end of the ejection, from which on the server may be probed.
    pub fn ejected_until(&self) -> Option<Mono> {
        self.ejected_until
    }

    /// Sends nothing to the server until this time. Afterwards its concurrency limit grows from one
    /// again, so that the entries do not send it everything that has queued meanwhile.
    pub fn pause(&mut self, until: Mono) {
        self.paused_until = self.paused_until.max(until);
        self.limit = 1.0;
    }

    /// Returns true during a pause that the server asked for.
    pub fn is_paused(&self, now: Mono) -> bool {
        now < self.paused_until
    }

    /// Returns the end of the pause or ejection, whichever is later, or `None` if the server has
    /// neither. An ejected server may be probed from that time on.
    pub fn unavailable_until(&self, now: Mono) -> Option<Mono> {
        if self.is_paused(now) {
            return Some(self.paused_until.max(self.ejected_until.unwrap_or_default()));
        }
        self.ejected_until
    }

    /// Returns true if a probe of the ejected server is due. Counts the probe as started and
    /// extends the ejection, so that no other request probes it meanwhile.
    pub fn start_probe_if_due(&mut self, now: Mono) -> bool {
        let due = self.ejected_until.is_some_and(|until| now >= until)
            && now.since(self.probed_at) >= PROBE_INTERVAL;
        if due {
            self.probed_at = now;
            self.ejected_until = Some(now + self.ejection_time());
        }
        due
    }

    /// Estimates the latency of a response of this server, relative to the usual one of an idle
    /// server in the same zone. `usual` is the usual latency of its service.
    pub fn cost(&self, now: Mono, usual: Duration) -> f64 {
        let queue = self.queue();
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

    fn queue(&self) -> f64 {
        1.0 + self.outstanding.len() as f64 / f64::from(self.slots.max(1))
    }

    /// Records the load that the server states in a response.
    pub fn record_stated_load(&mut self, now: Mono, load: StatedLoad) {
        self.stated_load = Some(LoadEstimate::new(now, load, self.outstanding.len()));
    }

    /// Returns the factor on the cost for the load that the server stated, 1 if it stated none. `weight`
    /// is a random number from 0 to below 1.
    pub fn stated_load_factor(&self, now: Mono, weight: impl FnOnce() -> f64) -> f64 {
        let measured = (self.queue(), self.slowness(now));
        self.stated_load.map_or(1.0, |load| load.cost_factor(now, measured, weight))
    }

    /// Estimates the cost of a request without its queue, from what is not a single pause of the server:
    /// failures, and slow responses one after the other. The last response counts rather than the mean, which a
    /// few responses hardly raise.
    pub fn lasting_cost(&self, now: Mono) -> f64 {
        let ratio =
            if self.is_lastingly_slow { self.last_ratio.min(SLOWNESS_RANGE.1) } else { 1.0 };
        let slowness = 1.0 + (ratio - 1.0) * self.decay(now);
        let failure_rate = self.failure_rate;
        let failures = if failure_rate >= LASTING_FAILURE_RATE { failure_rate } else { 0.0 };
        slowness * (1.0 + FAILURE_RATE_COST_FACTOR * failures)
    }

    /// Returns the expected latency of this server with an empty queue.
    pub fn expected_latency(&self, now: Mono, usual: Duration) -> Duration {
        usual.mul_f64(self.slowness(now))
    }

    /// Returns true if an attempt is in flight for much longer than usual.
    pub fn is_stalled(&self, now: Mono, usual: Duration) -> bool {
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

    /// Slowness measured by this entry, decayed toward 1.0 since the last measurement.
    fn own_slowness(&self, now: Mono) -> f64 {
        1.0 + (self.slowness - 1.0) * self.decay(now)
    }

    /// Part of a measured slowness that still counts.
    fn decay(&self, now: Mono) -> f64 {
        let idle = now.since(self.slowness_at).as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64();
        0.5_f64.powf(idle)
    }

    /// Records a health report of another entry. A recent measurement of this entry takes
    /// precedence unless the peer reports the server as unresponsive.
    pub fn record_peer_report(&mut self, now: Mono, slowness: f64, unresponsive: bool) {
        let measured_recently = now.since(self.slowness_at) < MAX_OWN_MEASUREMENT_AGE;
        if measured_recently && !unresponsive {
            return;
        }
        let reported = if unresponsive { slowness.max(UNRESPONSIVE_SLOWNESS) } else { slowness };
        self.peer_report = Some((reported.min(SLOWNESS_RANGE.1), now + PEER_REPORT_TTL));
    }

    /// Returns the slowness to report to other entries and whether the server is unresponsive.
    /// Returns `None` for a healthy server, and for one that is not ejected and was not measured
    /// recently.
    pub fn health_report(&self, now: Mono) -> Option<(f64, bool)> {
        let unresponsive = self.is_ejected();
        let slowness =
            self.own_slowness(now) * (1.0 + FAILURE_RATE_COST_FACTOR * self.failure_rate);
        let reportable = now.since(self.slowness_at) < MAX_REPORTED_AGE || unresponsive;
        (reportable && (unresponsive || slowness >= MIN_REPORTED_SLOWNESS))
            .then_some((slowness, unresponsive))
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, now: Mono, attempt: AttemptId) {
        self.outstanding.push((attempt, now));
    }

    /// Records that an attempt is no longer in flight.
    pub fn record_finished(&mut self, attempt: AttemptId) {
        self.outstanding.retain(|(a, _)| *a != attempt);
    }

    /// Records a successful response that took `latency`, where `usual` is the median of the route.
    /// Ends an ejection; returns true if there was one.
    pub fn record_success(
        &mut self,
        now: Mono,
        latency: Duration,
        usual: Option<Duration>,
    ) -> bool {
        if let Some(usual) = usual {
            let ratio = latency.as_secs_f64() / usual.as_secs_f64().max(1e-4);
            self.last_ratio = ratio;
            if ratio < SLOW_RESPONSE_RATIO {
                self.slow_since = None;
                self.is_lastingly_slow = false;
            } else {
                let first = *self.slow_since.get_or_insert(now);
                self.is_lastingly_slow |= now.before(latency) >= first;
            }
            let previous = self.own_slowness(now);
            let slowness = previous + (ratio - previous) * SLOWNESS_WEIGHT;
            self.slowness = slowness.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
            self.slowness_at = now;
        }
        self.answered_at = now;
        self.failure_rate -= self.failure_rate * FAILURE_RATE_WEIGHT;
        self.consecutive_failures = 0;
        self.limit = (self.limit + LIMIT_INCREMENT).min(f64::from(self.share));
        self.ejected_until.take().is_some()
    }

    /// Records that the server shed a request for lack of capacity; lowers the concurrency limit.
    pub fn record_shed(&mut self) {
        let in_flight = (self.outstanding.len() + 1) as f64;
        self.limit = (self.limit.min(in_flight) * SHED_LIMIT_FACTOR).max(1.0);
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT;
    }

    /// Records an error response of the server.
    pub fn record_error(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT;
    }

    /// Records an attempt without a response. Returns the ejection time if this ejects the server,
    /// and `None` if it is not ejected or was ejected before.
    pub fn record_no_response(&mut self, now: Mono) -> Option<Duration> {
        self.consecutive_failures += 1;
        self.record_error();
        if self.consecutive_failures < EJECTION_FAILURES {
            return None;
        }
        let time = self.ejection_time();
        let until = now + time;
        let newly_ejected = self.ejected_until.is_none();
        self.ejected_until = Some(until);
        newly_ejected.then_some(time)
    }

    /// Returns the ejection time for the current number of consecutive failures.
    fn ejection_time(&self) -> Duration {
        let doublings =
            self.consecutive_failures.saturating_sub(EJECTION_FAILURES).min(MAX_EJECTION_DOUBLINGS);
        BASE_EJECTION_TIME * 2_u32.pow(doublings)
    }

    /// Returns the failures since the last successful response that determine the ejection time.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Ejects the server immediately, because nothing can be sent to its address or the address
    /// belongs to another server. Returns the ejection time if it was not ejected before.
    pub fn eject(&mut self, now: Mono) -> Option<Duration> {
        self.consecutive_failures = self.consecutive_failures.max(EJECTION_FAILURES - 1);
        self.record_no_response(now)
    }
}
