//! Servers and entries: heartbeats in, feeds out.

use std::rc::Rc;
use std::time::Duration;

use hornbeam_model::{Mono, Zone};
use hornbeam_node::clock::unix_ms;
use hornbeam_protocol::discovery::{
    ControllerMessage, EntryInfo, FeedChange, FeedDown, FleetStatus, LifeStage,
};
use hornbeam_protocol::{MAX_STREAM_BYTES, Message};
use indexmap::IndexMap;
use serde_json::json;

use super::{Controller, Follower};
use crate::api::Ask;
use crate::feed::{FeedId, FeedIn};

/// Time for which an entry counts after it was heard; restarts are shorter.
const ENTRY_COUNTED: Duration = Duration::from_secs(15);

impl Controller {
    pub(super) async fn take_ask(&mut self, ask: Ask) {
        let now = self.clock.now();
        let kind = match &ask {
            Ask::Heartbeat(_) => "heartbeat",
            Ask::Depart(..) => "depart",
            Ask::PutTable(..) => "put_table",
            Ask::GetTable(_) => "get_table",
        };
        self.metrics.calls.with_label_values(&[kind]).inc();
        match ask {
            Ask::Heartbeat(claim) => {
                let change = self.registry.record_heartbeat(now, claim);
                self.take_change(now, change).await;
            }
            Ask::Depart(server, incarnation) => {
                let change =
                    self.registry.record_departure(now, server, incarnation, unix_ms() as u64);
                self.take_change(now, change).await;
            }
            Ask::PutTable(table, tx) => self.put_table(table, tx).await,
            Ask::GetTable(tx) => self.get_table(now, tx).await,
        }
    }

    /// Publishes a change that a server told here, and tells other controllers of a departure.
    pub(super) async fn take_change(&mut self, now: Mono, change: Option<FeedChange>) {
        let Some(change) = change else { return };
        self.note("server", false, &json!({"belief": "server_claim", "change": change}));
        if let FeedChange::Claim(claim) = &change
            && claim.order.stage != LifeStage::Ready
        {
            self.recent_departures.push((now, claim.clone()));
            let message = ControllerMessage::Departures(vec![claim.clone()]);
            for peer in self.contacts.keys().cloned().collect::<Vec<_>>() {
                self.net.send(&peer, Message::Controller(message.clone())).await;
            }
        }
        self.publish(vec![change]);
    }

    pub(super) fn publish(&mut self, changes: Vec<FeedChange>) {
        if !changes.is_empty() {
            self.send_all(&FeedDown::Changes(changes));
        }
    }

    pub(super) fn publish_news(&mut self) {
        let news = FeedDown::FleetStatus(self.news());
        self.send_all(&news);
    }

    /// Tells the entries of each zone of one another, if any came or went.
    pub(super) fn publish_entries(&mut self) {
        if !std::mem::take(&mut self.followers_changed) {
            return;
        }
        let mut zones: IndexMap<Zone, Vec<EntryInfo>> = IndexMap::new();
        for follower in self.followers.values() {
            let zone = follower.offer.zone.clone();
            zones.entry(zone).or_default().push(follower.offer.clone());
        }
        for (zone, offers) in zones {
            let Some(frame) = self.seal(&FeedDown::Entries(offers)) else { continue };
            // An entry that does not keep up follows anew and gets everything.
            self.followers
                .retain(|_, f| f.offer.zone != zone || f.tx.try_send(frame.clone()).is_ok());
        }
    }

    pub(super) fn news(&self) -> FleetStatus {
        let now = self.clock.now();
        FleetStatus {
            controllers: self.fresh_controllers(now),
            entries: self.count_entries(now),
            table: self.tables.version(),
        }
    }

    pub(super) fn count_entries(&self, now: Mono) -> u32 {
        self.entries.values().filter(|at| now.since(**at) < ENTRY_COUNTED).count() as u32
    }

    pub(super) fn seal(&self, message: &FeedDown) -> Option<Rc<Vec<u8>>> {
        match self.key.seal(message, MAX_STREAM_BYTES) {
            Ok(frame) => Some(Rc::new(frame)),
            Err(e) => {
                log::error!("a message to entries cannot be encoded: {e}");
                None
            }
        }
    }

    pub(super) fn send_all(&mut self, message: &FeedDown) {
        let Some(frame) = self.seal(message) else { return };
        // An entry that does not keep up follows anew and gets everything.
        self.followers.retain(|_, f| f.tx.try_send(frame.clone()).is_ok());
    }

    pub(super) fn send_one(&mut self, id: FeedId, message: &FeedDown) {
        let Some(frame) = self.seal(message) else { return };
        let sent = self.followers.get(&id).is_none_or(|f| f.tx.try_send(frame).is_ok());
        if !sent {
            self.followers.shift_remove(&id);
        }
    }

    pub(super) fn take_feed(&mut self, feed: FeedIn) {
        let now = self.clock.now();
        match feed {
            FeedIn::Follow(id, offer, tx) => {
                let what = json!({"belief": "entry_follows", "entry": offer.entry, "feed": id});
                self.note("entry", false, &what);
                self.entries.insert(offer.entry.clone(), now);
                self.followers.insert(id, Follower { offer, tx });
                self.followers_changed = true;
                let servers = FeedDown::Servers(self.registry.claims());
                self.send_one(id, &servers);
                let news = FeedDown::FleetStatus(self.news());
                self.send_one(id, &news);
            }
            FeedIn::Heard(id) => {
                if let Some(follower) = self.followers.get(&id) {
                    self.entries.insert(follower.offer.entry.clone(), now);
                }
            }
            FeedIn::Troubles(id, troubles) => {
                if let Some(follower) = self.followers.get(&id) {
                    self.entries.insert(follower.offer.entry.clone(), now);
                    self.troubles.record(now, follower.offer.entry.clone(), troubles);
                }
            }
            FeedIn::FetchTable(id, have) => {
                if let Some(update) = self.tables.update_from(have) {
                    self.send_one(id, &update);
                }
            }
            FeedIn::Gone(id) => {
                self.followers_changed = true;
                if let Some(follower) = self.followers.shift_remove(&id) {
                    let what =
                        json!({"belief": "entry_gone", "entry": follower.offer.entry, "feed": id});
                    self.note("entry_gone", true, &what);
                }
            }
        }
    }
}
