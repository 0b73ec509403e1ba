//! Which orders about zones the leader proposes.

use std::time::Duration;

use hornbeam_controller::order_rules::{LEARNING_TIME, OrderContext, OrderRefusal, order_refusal};
use hornbeam_model::{Zone, ZoneOrder};
use yare::parameterized;

fn refusal(zone: &str, evacuate: bool, change: fn(&mut OrderContext<'_>)) -> Option<OrderRefusal> {
    let known_zones: [Zone; 1] = ["tabor".parse().unwrap()];
    let mut context = OrderContext {
        known_zones: &known_zones,
        zones_listed: false,
        uptime: LEARNING_TIME,
        unready_controllers: 0,
        unready_entries: 0,
    };
    change(&mut context);
    order_refusal(&ZoneOrder { zone: zone.parse().unwrap(), evacuate }, context)
}

#[parameterized(
    known = { "tabor", true, |_| {}, "" },
    unknown = { "pisek", true, |_| {}, "unknown" },
    unknown_finish = { "pisek", false, |_| {}, "unknown" },
    unknown_after_start = { "pisek", true, |c| c.uptime = Duration::from_secs(1), "later" },
    unlisted_after_start = {
        "pisek", true, |c| (c.uptime, c.zones_listed) = (Duration::ZERO, true), "unknown"
    },
    old_controller = { "tabor", true, |c| c.unready_controllers = 1, "later" },
    old_controller_finish = { "tabor", false, |c| c.unready_controllers = 1, "later" },
    old_entry = { "tabor", true, |c| c.unready_entries = 1, "later" },
    old_entry_finish = { "tabor", false, |c| c.unready_entries = 1, "" },
)]
fn decisions(zone: &str, evacuate: bool, change: fn(&mut OrderContext<'_>), expected: &str) {
    let found = match refusal(zone, evacuate, change) {
        None => "",
        Some(OrderRefusal::UnknownZone) => "unknown",
        Some(OrderRefusal::Unavailable(_)) => "later",
    };
    assert_eq!(found, expected);
}
