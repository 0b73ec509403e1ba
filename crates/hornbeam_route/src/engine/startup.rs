//! Requests that arrive before the routing table that they need.
//!
//! Load pattern: all entries are restarted at peak load. An entry accepts connections before it has
//! heard a controller, and callers whose connections were lost arrive with the last retry that they
//! have. A table is a few round trips away, so these requests wait for it, each for a part of its
//! time that still lets the caller go elsewhere. Replayed in `tests/restarts`.

use std::cmp::Reverse;
use std::time::Duration;

use hornbeam_model::{Mono, QueryId};

use super::admission::Arrival;
use super::{Engine, Output, Timer};
use crate::request::RefusalKind;

/// Part of a caller's patience for which its request waits for a routing table, as a divisor.
const MAX_WAIT_DIVISOR: u32 = 4;
/// Part of a caller's patience for which its request waits for a table that may have its key, as a
/// divisor.
const MAX_KEY_WAIT_DIVISOR: u32 = 2;
/// Longest time that a request waits for a table that may have its key: an entry requests an announced
/// table from a second controller after 600 ms.
const MAX_KEY_WAIT: Duration = Duration::from_secs(1);
/// Patience assumed of a caller that states none, while no route states a timeout.
const ASSUMED_PATIENCE: Duration = Duration::from_secs(1);

impl Engine {
    /// Lets a request wait for the first routing table, or refuses it if too many wait already.
    pub(super) fn await_table(&mut self, now: Mono, arrival: Arrival, out: &mut Vec<Output>) {
        if self.awaiting_table.len() >= self.params.max_in_flight {
            return self.refuse_on_arrival(now, arrival, None, RefusalKind::NoTable, None, out);
        }
        let wait = arrival.patience.unwrap_or(ASSUMED_PATIENCE) / MAX_WAIT_DIVISOR;
        self.wait_for_table(now, wait, arrival);
    }

    /// Lets a request wait for a table that may have its key. One that has waited long enough is refused:
    /// its key may be valid.
    pub(super) fn await_newer_table(&mut self, now: Mono, arrival: Arrival, out: &mut Vec<Output>) {
        let patience = arrival.patience.unwrap_or(ASSUMED_PATIENCE) / MAX_KEY_WAIT_DIVISOR;
        let wait = patience.min(MAX_KEY_WAIT.saturating_sub(arrival.waited));
        if wait.is_zero() || self.awaiting_table.len() >= self.params.max_in_flight {
            let kind = RefusalKind::Unverified;
            return self.refuse_on_arrival(now, arrival, None, kind, None, out);
        }
        self.wait_for_table(now, wait, arrival);
    }

    fn wait_for_table(&mut self, now: Mono, wait: Duration, mut arrival: Arrival) {
        arrival.waits_until = now + wait;
        self.timers.push(Reverse((arrival.waits_until, Timer::AwaitTable(arrival.key))));
        self.awaiting_table.insert(arrival.key, arrival);
    }

    /// Admits the requests that waited for a routing table, in the order of their arrival.
    pub(super) fn admit_waiting(&mut self, now: Mono, out: &mut Vec<Output>) {
        for (_, mut arrival) in std::mem::take(&mut self.awaiting_table) {
            let waited = now.since(arrival.arrived);
            let since = waited.saturating_sub(arrival.waited);
            arrival.patience = arrival.patience.map(|p| p.saturating_sub(since));
            arrival.waited = waited;
            self.on_request(now, arrival, out);
        }
    }

    /// Handles the end of the time that a request may wait. It may wait a second time, for longer.
    pub(super) fn on_wait_end(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        if self.awaiting_table.get(&key).is_some_and(|a| a.waits_until <= now) {
            self.refuse_without_table(now, key, out);
        }
    }

    /// Refuses a request that has waited too long for a routing table, if it still waits.
    pub(super) fn refuse_without_table(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        if let Some(arrival) = self.awaiting_table.shift_remove(&key) {
            let has_table = self.table.is_some();
            let kind = if has_table { RefusalKind::Unverified } else { RefusalKind::NoTable };
            self.refuse_on_arrival(now, arrival, None, kind, None, out);
        }
    }
}
