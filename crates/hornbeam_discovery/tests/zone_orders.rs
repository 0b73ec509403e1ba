//! Which orders about zones an entry puts in force, and when it may use servers.

use hornbeam_discovery::OrdersView;
use hornbeam_discovery::zone_orders::MAX_ORDERS_WAIT;
use hornbeam_model::{Mono, OrderIndex, ZoneOrders};

const T: Mono = Mono::from_millis(60_000);

fn orders(index: u64, zones: &[&str]) -> ZoneOrders {
    let evacuated = zones.iter().map(|z| z.parse().unwrap()).collect();
    ZoneOrders { index: OrderIndex(index), evacuated }
}

#[test]
fn highest_index_wins() {
    let mut view = OrdersView::default();
    assert_eq!(view.record(orders(0, &[]), true), None);
    assert!(view.record(orders(9, &["tabor"]), true).is_some());
    assert_eq!(view.record(orders(4, &[]), true), None, "a controller that was paused");
    assert_eq!(view.record(orders(9, &["tabor"]), true), None, "another controller");
    assert!(view.record(orders(12, &[]), false).is_some());
}

/// An entry that has just started uses no server before a controller states that it knows all orders.
#[test]
fn waits_for_orders() {
    let mut view = OrdersView::default();
    assert!(!view.may_use_servers(T, true, true));
    view.record(orders(3, &["pisek"]), false);
    assert!(!view.may_use_servers(T, true, true), "this controller may not know the latest orders");
    view.record(orders(9, &["tabor"]), true);
    assert!(view.may_use_servers(T, true, true));
}

#[test]
fn serves_without_orders() {
    let mut view = OrdersView::default();
    assert!(view.may_use_servers(T, false, true), "the build before sends none");

    let mut view = OrdersView::default();
    let later = T + MAX_ORDERS_WAIT;
    assert!(!view.may_use_servers(T, true, false) && !view.may_use_servers(later, true, false));
    assert!(!view.may_use_servers(later, true, true), "the wait begins with the table");
    let no_majority = "no majority of the controllers";
    assert!(view.may_use_servers(later + MAX_ORDERS_WAIT, true, true), "{no_majority}");
}
