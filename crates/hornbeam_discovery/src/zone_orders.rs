//! Evacuated zones, as the controllers state them to one entry.
//!
//! Load pattern: entries restart while a zone is evacuated. An entry that used servers before it knows
//! the orders would send to the evacuated zone, so it waits for a controller that knows all of them.
//! Replayed in `tests/zone_orders`.

use std::time::Duration;

use hornbeam_model::{Mono, ZoneOrders};

/// Longest wait for the orders before servers are used without them. Controllers that have all just
/// started elect a leader within it; without a majority of them, serving comes first.
pub const MAX_ORDERS_WAIT: Duration = Duration::from_secs(3);

/// The orders that one entry knows from the feeds of all controllers.
#[derive(Debug, Default)]
pub struct OrdersView {
    orders: ZoneOrders,
    /// True once servers may be used, which then holds for good.
    ready: bool,
    /// When the entry first had a table and servers but not the orders.
    waiting_since: Option<Mono>,
}

impl OrdersView {
    /// Creates a view that waits for the orders before servers are used, if operators of the deployment
    /// evacuate zones at all.
    pub fn new(evacuations: bool) -> Self {
        Self { ready: !evacuations, ..Self::default() }
    }

    /// Records what a controller states. Returns the orders if they are newer than those known: a
    /// controller that was paused or cut off states older ones.
    pub fn record(&mut self, orders: ZoneOrders, is_current: bool) -> Option<ZoneOrders> {
        self.ready |= is_current;
        if orders.index <= self.orders.index {
            return None;
        }
        self.orders = orders;
        Some(self.orders.clone())
    }

    /// Returns true if servers that a controller names may be used. `sends_orders` tells whether the
    /// controller sends orders; those of earlier builds do not. The wait for orders begins once the
    /// entry has a routing table: without one it serves nothing anyway.
    pub fn may_use_servers(&mut self, now: Mono, sends_orders: bool, has_table: bool) -> bool {
        if self.ready || !sends_orders {
            self.ready = true;
            return true;
        }
        if !has_table {
            return false;
        }
        let since = *self.waiting_since.get_or_insert(now);
        self.ready = now.since(since) >= MAX_ORDERS_WAIT;
        self.ready
    }
}
