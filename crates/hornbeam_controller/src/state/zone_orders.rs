//! Orders of operators about availability zones: proposed by the leader, sent to entries by every
//! controller.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_control::{Proposal, Role};
use hornbeam_model::{InstanceId, Mono, OrderIndex, Zone, ZoneOrder, ZoneOrders};
use hornbeam_protocol::discovery::{ControllerStatement, FeedDown};
use hornbeam_protocol::features::Features;
use indexmap::{IndexMap, IndexSet};
use serde_json::json;
use tokio::sync::oneshot;

use super::Controller;
use super::control_log::reply;
use crate::api::ApiResponse;
use crate::feed::FeedId;
use crate::order_rules::{OrderContext, OrderRefusal, order_refusal};

/// Longest time since the state was confirmed to hold all committed orders for it to count as current.
/// Several heartbeats of the leader; a controller that was paused has a longer one.
const MAX_STATE_AGE: Duration = Duration::from_millis(1_500);
/// Most zones that a controller states as known; bounds the size of its heartbeats.
const MAX_STATED_ZONES: usize = 64;

/// What a controller knows about zones and about who reads orders.
#[derive(Debug, Default)]
pub(super) struct ZoneState {
    /// Orders with the highest index so far, which entries were sent.
    orders: Arc<ZoneOrders>,
    /// True if the local state held all committed orders after the last input of the log.
    is_current: bool,
    /// Zones in which servers, entries or controllers were seen.
    seen: IndexSet<Zone>,
    /// Messages that the other controllers stated to read, with their last heartbeat.
    features: IndexMap<InstanceId, Features>,
}

/// State of the orders that an entry was sent last: their index, and whether they were current.
pub(super) type SentOrders = Option<(OrderIndex, bool)>;

impl Controller {
    /// Returns true if the orders in force here are all that were committed until recently.
    fn knows_all_orders(&self, now: Mono) -> bool {
        if self.holds_commits() {
            return false;
        }
        let caught_up_at = self.raft().and_then(|r| r.caught_up_at());
        caught_up_at.is_some_and(|at| now.since(at) < MAX_STATE_AGE)
    }

    /// Updates the zones in which something was seen, and what this controller states to the others.
    pub(super) fn update_statement(&mut self) {
        let seen = &mut self.zones.seen;
        seen.insert(self.settings.zone.clone());
        let claims = self.registry.claims();
        seen.extend(claims.into_iter().filter_map(|c| c.info).map(|info| info.zone));
        seen.extend(self.feeds.values().map(|f| f.info.zone.clone()));
        let zones = seen.iter().take(MAX_STATED_ZONES).cloned().collect();
        self.net.set_statement(ControllerStatement { features: Features::OWN, zones });
    }

    /// Records what another controller states with its heartbeat; earlier builds state nothing.
    pub(super) fn record_statement(
        &mut self,
        from: InstanceId,
        statement: Option<ControllerStatement>,
    ) {
        let ControllerStatement { features, zones } = statement.unwrap_or_default();
        self.zones.features.insert(from, features);
        self.zones.seen.extend(zones.into_iter().take(MAX_STATED_ZONES));
    }

    /// Returns how many of the other controllers heard recently have not stated these features.
    pub(super) fn controllers_without(&self, now: Mono, features: Features) -> usize {
        let has = |c: &InstanceId| self.zones.features.get(c).is_some_and(|f| f.includes(features));
        let live = self.live_controllers(now);
        live.iter().filter(|c| **c != self.me && !has(c)).count()
    }

    fn known_zones(&self) -> Vec<Zone> {
        let listed = self.settings.zones.keys();
        let ordered = self.zones.orders.evacuated.iter();
        listed.chain(&self.zones.seen).chain(ordered).cloned().collect()
    }

    /// Proposes an order about a zone, at the leader.
    pub(super) async fn order_zone(
        &mut self,
        now: Mono,
        order: ZoneOrder,
        tx: oneshot::Sender<ApiResponse>,
    ) {
        if self.raft().is_none_or(|r| r.role() != Role::Leader) {
            return self.redirect_to_leader(tx);
        }
        self.update_statement();
        let reads = |f: &super::Feed| f.features.includes(Features::ZONE_ORDERS);
        let known_zones = self.known_zones();
        let context = OrderContext {
            known_zones: &known_zones,
            zones_listed: !self.settings.zones.is_empty(),
            uptime: now.since(self.started_at),
            unready_controllers: self.controllers_without(now, Features::ZONE_ORDERS),
            unready_entries: self.feeds.values().filter(|f| !reads(f)).count(),
        };
        match order_refusal(&order, context) {
            None => self.propose(Proposal::ZoneOrder(order), tx).await,
            Some(OrderRefusal::Unavailable(reason)) => self.reply_unavailable(tx, reason),
            Some(OrderRefusal::UnknownZone) => {
                let fields = json!({"decision": "zone_unknown", "zone": order.zone});
                self.write_log("zone_unknown", true, &fields);
                reply(tx, ApiResponse::UnknownZone(order.zone));
            }
        }
    }

    /// Takes over the orders of the local state, and sends them to the entries.
    pub(super) fn put_orders_in_force(&mut self, orders: &Arc<ZoneOrders>) {
        if orders.index <= self.zones.orders.index {
            return;
        }
        self.zones.orders = orders.clone();
        self.metrics.evacuated_zones.set(orders.evacuated.len() as i64);
        let fields = json!({
            "belief": "zone_orders", "index": orders.index, "evacuated": orders.evacuated,
        });
        self.write_log("zone_orders", false, &fields);
        self.publish_zone_orders();
    }

    /// Logs that an entry of an earlier build uses the servers of evacuated zones.
    pub(super) fn log_if_disobedient(&self, id: FeedId) {
        let Some(feed) = self.feeds.get(&id) else { return };
        let reads = feed.features.includes(Features::ZONE_ORDERS);
        if reads || self.zones.orders.evacuated.is_empty() {
            return;
        }
        let fields = json!({"belief": "entry_cannot_evacuate", "entry": feed.info.entry});
        self.write_log("entry_cannot_evacuate", true, &fields);
    }

    /// Sends the orders to the entries that wait for them, as soon as the local state holds all of them.
    pub(super) fn publish_orders_once_current(&mut self, now: Mono) {
        let is_current = self.knows_all_orders(now);
        let was_current = std::mem::replace(&mut self.zones.is_current, is_current);
        if is_current && !was_current {
            self.publish_zone_orders();
        }
    }

    /// Sends the orders to the entries that read them and have not been sent them yet.
    pub(super) fn publish_zone_orders(&mut self) {
        let ids: Vec<FeedId> = self.feeds.keys().copied().collect();
        for id in ids {
            self.send_zone_orders(id);
        }
    }

    /// Sends the orders to an entry, if it reads them and has not been sent them yet. An entry that has
    /// just started waits for orders that are current before it uses servers.
    pub(super) fn send_zone_orders(&mut self, id: FeedId) {
        let orders = self.zones.orders.clone();
        let is_current = self.knows_all_orders(self.clock.now());
        let Some(feed) = self.feeds.get_mut(&id) else { return };
        if !feed.features.includes(Features::ZONE_ORDERS) {
            return;
        }
        let (sent, was_current) = feed.orders_sent.unwrap_or_default();
        if orders.index <= sent && (was_current || !is_current) {
            return;
        }
        feed.orders_sent = Some((orders.index, is_current || was_current));
        let orders = ZoneOrders::clone(&orders);
        self.send_to(id, &FeedDown::ZoneOrders { orders, is_current });
    }
}
