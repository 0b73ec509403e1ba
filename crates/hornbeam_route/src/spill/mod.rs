//! Decides when requests leave the availability zone of this entry, and how many.
//!
//! - [`meter`]: quantile of the excess latencies of a set of servers
//! - [`baseline`]: usual value of a measurement
//! - [`distance`]: round trips to the zones, and the nearest ones
//! - [`share`]: share of the first attempts that leaves for another zone
//! - [`choice`]: where a single attempt may go
//! - [`watch`]: attempts that keep a zone measured to which nothing is sent
//! - [`outflow`]: measurements and shares of one service
//!
//! Design note: `docs/design/13-zone-spill.md`.

pub mod baseline;
pub mod choice;
pub mod distance;
pub mod meter;
pub mod outflow;
pub mod share;
pub mod watch;

use std::time::Duration;

use hornbeam_model::{Mono, RouteId};
use indexmap::IndexMap;
use smol_str::SmolStr;

use self::baseline::Baseline;
use self::distance::Distances;
use self::meter::QuantileMeter;
use self::outflow::Outflow;
use self::share::{AwayLoad, HomeLoad};
use self::watch::ZoneWatch;
use crate::decision::Decision;

/// Least usual excess that others are compared with, in seconds; below it a comparison is noise.
const MIN_USUAL_EXCESS: f64 = 5e-4;

/// What the operator states about traffic between zones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpillParams {
    /// Time that a response must gain for its request to leave the zone although its objective is
    /// safe there; a part of the objective if `None`.
    pub min_gain: Option<Duration>,
    /// Time that it must gain in addition for each kilobyte that crosses.
    pub gain_per_kb: Duration,
}

/// State of the decisions about leaving the zone.
#[derive(Debug, Default)]
pub struct ZoneSpill {
    /// What the operator states.
    pub params: SpillParams,
    /// Round trips to the zones.
    pub distances: Distances,
    /// Excess latencies in each zone relative to the usual ones of the service, over all services.
    pub zones: IndexMap<SmolStr, QuantileMeter>,
    /// Usual work of the requests of each route, in seconds.
    pub work: IndexMap<RouteId, Baseline>,
    /// Attempts that keep zones measured.
    pub watch: ZoneWatch,
    /// Measurements and shares by the position of the service.
    pub services: IndexMap<usize, Outflow>,
    /// Services that this entry gathers for its zone: how many entries send to them, and until when
    /// that is known.
    pub gathered: IndexMap<usize, (u32, Mono)>,
    /// When the queue of a service is looked at again, by the position of the service.
    pub rechecks: IndexMap<usize, Mono>,
    /// Decisions that have not been logged yet.
    pub decisions: Vec<Decision>,
}

impl ZoneSpill {
    /// Creates the state without measurements.
    pub fn new(params: SpillParams) -> Self {
        Self { params, ..Self::default() }
    }

    /// Records the latency of a response of a server in `zone`. `low` is a latency of the route with
    /// little or no queueing; `allowed` is the time from the arrival of the request until its response
    /// is due.
    pub fn record_response(
        &mut self,
        now: Mono,
        (service, zone): (usize, &SmolStr),
        (route, low): (&RouteId, Duration),
        (latency, allowed): (Duration, Duration),
    ) {
        if !self.work.contains_key(route) {
            self.work.insert(route.clone(), Baseline::default());
        }
        let Some(baseline) = self.work.get_mut(route) else { return };
        baseline.update(now, low.as_secs_f64());
        let work = baseline.get().unwrap_or(0.0);
        let excess = (latency.as_secs_f64() - work).max(0.0);
        let outflow = self.services.entry(service).or_default();
        outflow.record_excess(now, zone, excess, (work, allowed.as_secs_f64()));
        self.watch.record_response(now, zone);
        let relative = excess / outflow.usual_excess(zone).unwrap_or(excess).max(MIN_USUAL_EXCESS);
        self.zones.entry(zone.clone()).or_default().record(now, relative);
    }

    /// Records the bytes of a request and its response.
    pub fn record_bytes(&mut self, service: usize, bytes: usize) {
        self.services.entry(service).or_default().record_bytes(bytes);
    }

    /// Returns the part of the time allowed that requests of a service use in a zone, if it is known:
    /// from its own responses, or else from those of all services there.
    pub fn use_in(&self, now: Mono, service: usize, zone: &SmolStr) -> Option<f64> {
        let outflow = self.services.get(&service)?;
        let relative = || Some(self.zones.get(zone)?.known(now)? * outflow.usual_excess(zone)?);
        let excess = outflow.excess_in(now, zone).or_else(relative)?;
        Some(outflow.part_of_allowed(excess))
    }

    /// Returns the load of a service in its home zones, where attempts wait for capacity for `wait`.
    pub fn home_load(
        &self,
        now: Mono,
        service: usize,
        home: &[SmolStr],
        wait: Duration,
    ) -> HomeLoad {
        let Some(outflow) = self.services.get(&service) else { return HomeLoad::default() };
        let answered = home.iter().filter_map(|z| self.use_in(now, service, z));
        let waited = outflow.part_of_allowed(wait.as_secs_f64()) - outflow.part_of_allowed(0.0);
        let used = answered.min_by(f64::total_cmp).map(|a| a + waited);
        let usual = home.iter().map(|z| outflow.usual_use(z)).min_by(f64::total_cmp);
        let usual = usual.unwrap_or(0.0);
        HomeLoad { used, usual, min_gain: outflow.min_gain(&self.params) }
    }

    /// Returns the load of a service in another zone.
    pub fn away_load(
        &self,
        now: Mono,
        service: usize,
        zone: &SmolStr,
        is_usable: bool,
    ) -> AwayLoad {
        let used = self.use_in(now, service, zone);
        let usual = self.services.get(&service).map_or(0.0, |o| o.usual_use(zone));
        AwayLoad { used, usual, is_usable }
    }
}
