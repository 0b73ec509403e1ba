//! Number of entries that share a limit, also right after a start and during a partition.
//!
//! Load pattern: controllers that are cut off from some entries, or were just started, count too few of
//! them. An entry that believed them at once would take the parts of the others. Replayed in
//! `tests/cold_servers`.

use std::time::Duration;

use hornbeam_model::Mono;

/// Time after the first count from which this entry takes a part: controllers that were started with it
/// have heard all entries by then, and its own demand is reported.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Time for which the highest count is remembered: longer than a partition usually lasts.
const PEAK_TTL: Duration = Duration::from_secs(600);

/// The latest count of entries and the highest recent one.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    first_at: Option<Mono>,
    count: u32,
    peak: u32,
    peak_at: Mono,
    is_cut_off: bool,
}

impl FleetSize {
    /// Records a count.
    pub fn record(&mut self, now: Mono, count: u32) {
        self.first_at.get_or_insert(now);
        self.count = count.max(1);
        if self.count >= self.peak || now.since(self.peak_at) >= PEAK_TTL {
            self.peak = self.count;
            self.peak_at = now;
        }
    }

    /// Sets whether this entry has no fresh feed of some controller.
    pub fn set_cut_off(&mut self, is_cut_off: bool) {
        self.is_cut_off = is_cut_off;
    }

    /// Returns true while some controller does not report to this entry: others may hear only a part of
    /// the entries.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Returns true once the count is known well enough to take a part of a limit.
    pub fn is_settled(&self, now: Mono) -> bool {
        self.first_at.is_some_and(|at| now.since(at) >= SETTLING_TIME)
    }

    /// Returns the highest recent count.
    pub fn peak(&self) -> f64 {
        f64::from(self.peak.max(1))
    }

    /// Returns the part of the entries that are counted now, between 0 and 1. The demand that is reported
    /// during a partition is that of these entries only.
    pub fn counted_part(&self) -> f64 {
        f64::from(self.count) / self.peak()
    }
}
