//! Share of the first attempts of a service that leaves for another zone.
//!
//! Load pattern: callers of one zone send 2.5 times their usual load for 7 s, on a deployment in
//! which each zone has one copy of every shard. Entries that all compare the latencies of home and
//! away send everything away at once and back again. Each entry instead moves its share in small
//! steps. All entries of a zone measure the same servers, so their shares follow the load of the
//! zone. Replayed in `tests/zone_spill`.

/// Part of the time allowed that responses at home use, above which their objective is not safe: a
/// search needs the slowest of many shards.
pub const UNSAFE_USE: f64 = 0.30;
/// Part of the time allowed up to which another zone has room.
const ROOM_USE: f64 = 0.28;
/// Part of the time allowed below which requests return home.
const RETURN_USE: f64 = 0.20;
/// The same bounds as multiples of the usual use, for objectives that are short relative to the
/// work; the higher one applies.
const UNSAFE_FACTOR: f64 = 2.0;
const ROOM_FACTOR: f64 = 1.5;
const RETURN_FACTOR: f64 = 1.35;
/// Least gain for which requests leave when their objective is not safe at home, as part of the time
/// allowed; above the noise of the measurements.
const MIN_UNSAFE_GAIN: f64 = 0.06;
/// Increase of a share in one step.
const LEAVE_STEP: f64 = 0.09;
/// Decrease in one step when home has room, or the other zone has none.
const RETURN_STEP: f64 = 0.06;
/// Decrease in one step while neither applies, so that no share stays without need.
const DRIFT_STEP: f64 = 0.005;
/// Largest share for one zone; some attempts always stay and measure the servers at home.
const MAX_SHARE: f64 = 0.45;

/// Load of the home servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HomeLoad {
    /// Part of the time allowed that responses use, with the wait for capacity; `None` if nothing
    /// is known.
    pub used: Option<f64>,
    /// The same when the zone is not short of capacity.
    pub usual: f64,
    /// Gain for which requests leave although their objective is safe.
    pub min_gain: f64,
}

impl HomeLoad {
    /// Returns true if the objective of requests that stay is not safe.
    pub fn is_unsafe(&self) -> bool {
        self.used.is_some_and(|u| u > UNSAFE_USE.max(self.usual * UNSAFE_FACTOR))
    }

    fn may_return(&self) -> bool {
        let bound = RETURN_USE.max(self.usual * RETURN_FACTOR);
        self.used.is_none_or(|u| u < bound)
    }
}

/// Load of the servers of a service in another zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AwayLoad {
    /// Part of the time allowed that responses use, the distance included; `None` if not known.
    pub used: Option<f64>,
    /// The same when the zone is not short of capacity.
    pub usual: f64,
    /// True if the zone has a server that can be sent to.
    pub is_usable: bool,
}

impl AwayLoad {
    /// Returns true if the zone is known to have room beside its own callers.
    pub fn has_room(&self) -> bool {
        let bound = ROOM_USE.max(self.usual * ROOM_FACTOR);
        self.is_usable && self.used.is_some_and(|u| u < bound)
    }
}

/// Returns the share that leaves for a zone after a share of `share`.
pub fn next_share(share: f64, home: &HomeLoad, away: &AwayLoad) -> f64 {
    if !away.is_usable {
        return 0.0;
    }
    // A zone that is not known to have room gets nothing; its own callers come first.
    if !away.has_room() {
        return (share - RETURN_STEP).max(0.0);
    }
    let gain = home.used.unwrap_or(0.0) - away.used.unwrap_or(0.0);
    if gain > home.min_gain || (home.is_unsafe() && gain > MIN_UNSAFE_GAIN) {
        return (share + LEAVE_STEP).min(MAX_SHARE);
    }
    let step = if home.may_return() { RETURN_STEP } else { DRIFT_STEP };
    (share - step).max(0.0)
}
