//! Load that a server states in its responses, and what it adds to the cost of the server.
//!
//! Load pattern: 87 entries share servers of two slots each, so that an entry sees a small part of what a
//! server does, and demand moves many times a second. Replayed in `tests/stated_load`.
//!
//! - A statement counts for tens of milliseconds; then the entry's own measurement is better.
//! - Requests of this entry itself are left out, since its cost includes them already.
//! - The effect is bounded, and weighted at random for every choice, so that entries with the same
//!   statements do not all choose the same server.
//! - A statement is ignored if this entry measures several times the latency that it explains.

use std::time::Duration;

use hornbeam_model::Mono;

/// Time in which the weight of a statement falls to one half.
const HALF_LIFE: Duration = Duration::from_millis(80);
/// Age from which a statement has no effect any more.
const MAX_AGE: Duration = Duration::from_millis(400);
/// Lower and upper bound of the factor on the cost.
const FACTOR_RANGE: (f64, f64) = (0.6, 2.5);
/// A statement is ignored if the measured slowness is this many times the one that it explains.
const CONTRADICTION_RATIO: f64 = 3.0;
/// Usual slowness in percent.
const USUAL_PERCENT: f64 = 100.0;

/// The load that a server states in a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it runs concurrently; at least 1.
    pub slots: u32,
    /// Time that work takes now, in percent of the usual one; at least 1.
    pub slowness_percent: u32,
}

/// What a response states about the load of its server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LoadNotice {
    /// The response states no load.
    #[default]
    Unstated,
    /// The load at the time of the response.
    Stated(StatedLoad),
    /// The stated load cannot be read and is left out.
    Unreadable,
}

/// The latest statement of a server.
#[derive(Clone, Copy, Debug)]
pub struct LoadEstimate {
    /// Requests of other entries for each slot.
    others_per_slot: f64,
    /// Time that work takes, relative to the usual one.
    slowness: f64,
    /// Slowness of a response that the statement explains, with the wait for a slot.
    explained_slowness: f64,
    stated_at: Mono,
}

impl LoadEstimate {
    /// Records a statement while `own` requests of this entry are in flight at the server.
    pub fn new(now: Mono, load: StatedLoad, own: usize) -> Self {
        let slots = f64::from(load.slots.max(1));
        let requests = f64::from(load.running) + f64::from(load.waiting);
        let slowness = f64::from(load.slowness_percent.max(1)) / USUAL_PERCENT;
        Self {
            others_per_slot: (requests - own as f64).max(0.0) / slots,
            slowness,
            explained_slowness: slowness.max(1.0) * (1.0 + requests / slots),
            stated_at: now,
        }
    }

    /// Returns the factor on the cost of a server with this queue, 1 and more, and this slowness as this
    /// entry measures them. `weight` is a random number from 0 to below 1.
    pub fn cost_factor(
        &self,
        now: Mono,
        (queue, slowness): (f64, f64),
        weight: impl FnOnce() -> f64,
    ) -> f64 {
        let age = now.since(self.stated_at);
        if age >= MAX_AGE || slowness > self.explained_slowness * CONTRADICTION_RATIO {
            return 1.0;
        }
        let freshness = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let factor = (1.0 + self.others_per_slot / queue) * (self.slowness / slowness);
        let (least, most) = FACTOR_RANGE;
        1.0 + (factor.clamp(least, most) - 1.0) * freshness * weight()
    }
}
