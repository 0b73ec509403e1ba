//! Requests that arrive before the first routing table.
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
/// Patience assumed of a caller that states none, while no route states a timeout.
const ASSUMED_PATIENCE: Duration = Duration::from_secs(1);

impl Engine {
    /// Lets a request wait for the first routing table, or refuses it if too many wait already.
    pub(super) fn await_table(&mut self, now: Mono, arrival: Arrival, out: &mut Vec<Output>) {
        if self.awaiting_table.len() >= self.params.max_in_flight {
            return self.refuse_on_arrival(now, arrival, None, RefusalKind::NoTable, None, out);
        }
        let wait = arrival.patience.unwrap_or(ASSUMED_PATIENCE) / MAX_WAIT_DIVISOR;
        self.timers.push(Reverse((now + wait, Timer::AwaitTable(arrival.key))));
        self.awaiting_table.insert(arrival.key, arrival);
    }

    /// Admits the requests that waited for the first routing table, in the order of their arrival.
    pub(super) fn admit_waiting(&mut self, now: Mono, out: &mut Vec<Output>) {
        for (_, mut arrival) in std::mem::take(&mut self.awaiting_table) {
            let waited = now.since(arrival.arrived);
            arrival.patience = arrival.patience.map(|p| p.saturating_sub(waited));
            self.on_request(now, arrival, out);
        }
    }

    /// Refuses a request that has waited too long for a routing table, if it still waits.
    pub(super) fn refuse_without_table(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        if let Some(arrival) = self.awaiting_table.shift_remove(&key) {
            self.refuse_on_arrival(now, arrival, None, RefusalKind::NoTable, None, out);
        }
    }
}
