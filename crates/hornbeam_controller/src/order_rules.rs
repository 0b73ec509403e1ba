//! Whether an order about a zone may be proposed.
//!
//! Load pattern: an operator evacuates a zone while instances are being replaced by a newer build. An
//! order that a controller cannot read would end its log, and one that an entry cannot read would not
//! be obeyed. Replayed in `tests/order_rules`.

use std::time::Duration;

use hornbeam_model::{Zone, ZoneOrder};

/// Time after the start of a controller within which the other controllers and the servers have
/// reported to it. Until then a zone that it does not know may be known to others.
pub const LEARNING_TIME: Duration = Duration::from_secs(8);

/// What the leader knows when it decides on an order.
#[derive(Clone, Copy, Debug)]
pub struct OrderContext<'a> {
    /// Zones of the settings, and those in which servers, entries or controllers were seen.
    pub known_zones: &'a [Zone],
    /// True if the settings list the zones.
    pub zones_listed: bool,
    /// Time since the start of the controller.
    pub uptime: Duration,
    /// Controllers heard recently that have not stated that they read orders.
    pub unready_controllers: usize,
    /// Entries that follow this controller and do not read orders.
    pub unready_entries: usize,
}

/// Why an order is not proposed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderRefusal {
    /// Nothing of the zone has been seen.
    UnknownZone,
    /// The order can be sent again, for this reason.
    Unavailable(&'static str),
}

/// Returns why an order must not be proposed now; `None` if it may be.
pub fn order_refusal(order: &ZoneOrder, context: OrderContext<'_>) -> Option<OrderRefusal> {
    if !context.known_zones.contains(&order.zone) {
        if context.zones_listed || context.uptime >= LEARNING_TIME {
            return Some(OrderRefusal::UnknownZone);
        }
        return Some(OrderRefusal::Unavailable(
            "the leader has just started and does not know the zone yet: send the order again",
        ));
    }
    if context.unready_controllers > 0 {
        return Some(OrderRefusal::Unavailable(
            "a controller has not stated that it reads orders about zones: send the order again, or \
             replace the controllers of an earlier build first",
        ));
    }
    // An entry of an earlier build uses the servers of all zones, as the end of an evacuation asks for.
    if order.evacuate && context.unready_entries > 0 {
        return Some(OrderRefusal::Unavailable(
            "an entry of an earlier build is connected and cannot obey the order: replace it first",
        ));
    }
    None
}
