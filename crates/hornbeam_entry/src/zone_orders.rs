//! Servers and orders about zones on the control thread: servers are not used before the orders are
//! known.

use std::time::Duration;

use hornbeam_discovery::ServerUpdate;
use hornbeam_model::{InstanceId, Mono, ZoneOrders};
use hornbeam_protocol::discovery::LifeStage;
use hornbeam_protocol::features::Features;
use hornbeam_route::ServerChange;

use crate::feed_event::FeedEvent;
use crate::feeds::ControllerFeeds;

impl ControllerFeeds {
    /// Publishes servers that a controller names, or holds them back until the orders are known.
    pub(crate) fn use_servers(&mut self, now: Mono, from: &InstanceId, updates: Vec<ServerUpdate>) {
        let features = self.feeds.get(from).map(|f| f.features).unwrap_or_default();
        let sends_orders = features.includes(Features::ZONE_ORDERS);
        if updates.is_empty() {
            return;
        }
        if self.zone_orders.may_use_servers(now, sends_orders, self.has_table()) {
            self.release_held_servers(now);
            return self.publish_servers(updates);
        }
        self.held_servers.extend(updates);
    }

    /// Puts the orders that a controller states in force, before any servers that were held back.
    pub(crate) fn on_zone_orders(&mut self, now: Mono, orders: ZoneOrders, is_current: bool) {
        if let Some(orders) = self.zone_orders.record(orders, is_current) {
            self.publish(FeedEvent::ZoneOrders(orders));
        }
        self.release_held_servers(now);
    }

    /// Publishes the servers that were held back once they may be used.
    pub(crate) fn release_held_servers(&mut self, now: Mono) {
        if self.held_servers.is_empty() {
            return;
        }
        if self.zone_orders.may_use_servers(now, true, self.has_table()) {
            let held = std::mem::take(&mut self.held_servers);
            self.publish_servers(held);
        }
    }

    /// Sends changes of servers to the traffic thread, unless earlier ones are held back.
    pub(crate) fn publish_servers(&mut self, updates: Vec<ServerUpdate>) {
        if updates.is_empty() {
            return;
        }
        if !self.held_servers.is_empty() {
            return self.held_servers.extend(updates);
        }
        let changes = updates.into_iter().map(|update| match update {
            ServerUpdate::Usable { server, order, info } => ServerChange::Usable {
                server,
                incarnation: order.incarnation,
                service: info.service,
                address: info.address,
                zone: info.zone,
                slots: info.slots,
                warm_up: Duration::from_millis(u64::from(info.warm_up_ms)),
            },
            ServerUpdate::Unusable { server, stage } => {
                let reason = match stage {
                    LifeStage::Ready => "lapsed",
                    LifeStage::Draining => "draining",
                    LifeStage::Gone => "gone",
                };
                ServerChange::Unusable { server, reason }
            }
        });
        self.publish(FeedEvent::Servers(changes.collect()));
    }
}
