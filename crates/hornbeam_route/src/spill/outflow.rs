//! Measurements of one service by zone, and the shares that leave for each zone.

use std::time::Duration;

use hornbeam_model::Mono;
use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use super::SpillParams;
use super::baseline::Baseline;
use super::meter::QuantileMeter;
use super::share::{AwayLoad, HomeLoad, next_share};

/// Time between two steps of the shares.
const STEP_INTERVAL: Duration = Duration::from_millis(150);
/// Share from which a spill counts as begun, until the share is zero again. Shares of a step or two come
/// and go with every short queue.
const BEGUN_SHARE: f64 = 0.15;
/// Weight of a sample in the mean time allowed and the mean of bytes.
const MEAN_WEIGHT: f64 = 0.05;
/// Part of the time allowed that a response must gain if the operator states no time.
const DEFAULT_MIN_GAIN: f64 = 0.2;

/// A spill that began or ended, with the loads that it was decided by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareChange {
    /// The share; zero if nothing leaves any more.
    pub share: f64,
    /// Load of the home servers.
    pub home: HomeLoad,
    /// Load in the other zone.
    pub away: AwayLoad,
}

/// Measurements and shares of one service. Latencies are measured as the excess over the usual work
/// of the route, which is the same for all routes that queue at the same servers.
#[derive(Debug, Default)]
pub struct Outflow {
    excess: IndexMap<SmolStr, QuantileMeter>,
    usual: IndexMap<SmolStr, Baseline>,
    shares: IndexMap<SmolStr, f64>,
    /// Zones for which a spill has begun.
    begun: IndexSet<SmolStr>,
    /// Mean work and mean time allowed, in seconds.
    work: Option<f64>,
    allowed: Option<f64>,
    bytes: Option<f64>,
    stepped_at: Mono,
}

impl Outflow {
    /// Records the excess latency of a response of a server in `zone`, in seconds, with the usual work
    /// of the route and the time allowed.
    pub fn record_excess(
        &mut self,
        now: Mono,
        zone: &SmolStr,
        excess: f64,
        (work, allowed): (f64, f64),
    ) {
        self.excess.entry(zone.clone()).or_default().record(now, excess);
        update_mean(&mut self.work, work);
        update_mean(&mut self.allowed, allowed);
    }

    /// Records the bytes of a request and its response.
    pub fn record_bytes(&mut self, bytes: usize) {
        update_mean(&mut self.bytes, bytes as f64);
    }

    /// Returns the excess latency in `zone`, if enough recent responses show it.
    pub fn excess_in(&self, now: Mono, zone: &SmolStr) -> Option<f64> {
        self.excess.get(zone)?.known(now)
    }

    /// Returns the usual excess latency in `zone`, or that of a zone where it is known.
    pub fn usual_excess(&self, zone: &SmolStr) -> Option<f64> {
        let own = self.usual.get(zone).and_then(Baseline::get);
        own.or_else(|| self.usual.values().find_map(Baseline::get))
    }

    /// Returns the part of the time allowed that a request with this excess latency uses.
    pub fn part_of_allowed(&self, excess: f64) -> f64 {
        let (work, allowed) = (self.work.unwrap_or(0.0), self.allowed.unwrap_or(f64::INFINITY));
        (excess + work) / allowed
    }

    /// Returns the part of the time allowed that requests in `zone` usually use.
    pub fn usual_use(&self, zone: &SmolStr) -> f64 {
        self.usual_excess(zone).map_or(0.0, |excess| self.part_of_allowed(excess))
    }

    /// Returns the share that leaves for a zone.
    pub fn share(&self, zone: &SmolStr) -> f64 {
        self.shares.get(zone).copied().unwrap_or(0.0)
    }

    /// Returns the sum of the shares.
    pub fn total_share(&self) -> f64 {
        self.shares.values().sum()
    }

    /// Returns the zone that `draw`, between 0 and 1, falls to; `None` if the attempt stays.
    pub fn zone_of_draw(&self, mut draw: f64) -> Option<&SmolStr> {
        for (zone, share) in &self.shares {
            if draw < *share {
                return Some(zone);
            }
            draw -= share;
        }
        None
    }

    /// Returns true if a step is due, and counts it as done.
    pub fn start_step_if_due(&mut self, now: Mono) -> bool {
        let due = now.since(self.stepped_at) >= STEP_INTERVAL;
        if due {
            self.stepped_at = now;
            self.update_usual(now);
        }
        due
    }

    fn update_usual(&mut self, now: Mono) {
        for (zone, meter) in &self.excess {
            let Some(excess) = meter.known(now) else { continue };
            self.usual.entry(zone.clone()).or_default().update(now, excess);
        }
    }

    /// Returns the gain, as part of the time allowed, for which requests leave although their
    /// objective is safe.
    pub fn min_gain(&self, params: &SpillParams) -> f64 {
        let allowed = self.allowed.unwrap_or(f64::INFINITY);
        let kilobytes = self.bytes.unwrap_or(0.0) / 1_000.0;
        let price = params.gain_per_kb.as_secs_f64() * kilobytes / allowed;
        price + params.min_gain.map_or(DEFAULT_MIN_GAIN, |g| g.as_secs_f64() / allowed)
    }

    /// Moves the share for `zone` by one step; returns the change if a spill began or ended.
    pub fn step(&mut self, zone: &SmolStr, home: HomeLoad, away: AwayLoad) -> Option<ShareChange> {
        let share = next_share(self.share(zone), &home, &away);
        if share > 0.0 {
            self.shares.insert(zone.clone(), share);
        } else {
            self.shares.shift_remove(zone);
        }
        let changed = if share >= BEGUN_SHARE {
            self.begun.insert(zone.clone())
        } else {
            share == 0.0 && self.begun.shift_remove(zone)
        };
        changed.then_some(ShareChange { share, home, away })
    }

    /// Removes the shares of zones that have no servers of the service any more.
    pub fn retain_zones(&mut self, keep: impl Fn(&SmolStr) -> bool) {
        self.shares.retain(|zone, _| keep(zone));
        self.begun.retain(|zone| keep(zone));
    }
}

fn update_mean(mean: &mut Option<f64>, sample: f64) {
    let before = mean.unwrap_or(sample);
    *mean = Some(before + (sample - before) * MEAN_WEIGHT);
}
