//! Heartbeats of servers and feeds to entries.

use std::rc::Rc;
use std::time::Duration;

use hornbeam_discovery::{SavedServers, entries_for};
use hornbeam_model::{CrashReport, Mono, RequestRate, Zone};
use hornbeam_node::clock::unix_ms;
use hornbeam_protocol::discovery::{
    ControllerMessage, EntryInfo, FeedChange, FeedDown, FleetStatus, LifeStage,
};
use hornbeam_protocol::features::Features;
use hornbeam_protocol::{MAX_STREAM_BYTES, Message};
use indexmap::IndexMap;
use serde_json::json;

use super::{Controller, Feed};
use crate::api::ApiRequest;
use crate::feed::{FeedEvent, FeedId};
use crate::state_file::{self, CrashFile, ServerFile};

/// Maximum number of servers in one message about stated rates.
const MAX_RATE_REPORTS: usize = 500;
/// Maximum number of crashed runs in one message.
const MAX_CRASH_REPORTS: usize = 256;
/// Time since the last message after which an entry no longer counts; longer than a restart.
const ENTRY_EXPIRY: Duration = Duration::from_secs(15);

impl Controller {
    pub(super) async fn on_request(&mut self, request: ApiRequest) {
        let now = self.clock.now();
        let kind = match &request {
            ApiRequest::Heartbeat(_) => "heartbeat",
            ApiRequest::Depart(..) => "depart",
            ApiRequest::PutTable(..) => "put_table",
            ApiRequest::GetTable(_) => "get_table",
            ApiRequest::OrderZone(..) => "order_zone",
        };
        self.metrics.calls.with_label_values(&[kind]).inc();
        match request {
            ApiRequest::Heartbeat(claim) => {
                let change = self.registry.record_heartbeat(now, claim);
                self.on_server_change(now, change).await;
            }
            ApiRequest::Depart(server, incarnation) => {
                let change =
                    self.registry.record_departure(now, server, incarnation, unix_ms() as u64);
                self.on_server_change(now, change).await;
            }
            ApiRequest::PutTable(table, tx) => self.put_table(table, tx).await,
            ApiRequest::GetTable(tx) => self.get_table(now, tx).await,
            ApiRequest::OrderZone(order, tx) => self.order_zone(now, order, tx).await,
        }
    }

    /// Publishes a change that a server reported here, and sends a departure to the other
    /// controllers.
    pub(super) async fn on_server_change(&mut self, now: Mono, change: Option<FeedChange>) {
        let Some(change) = change else { return };
        self.write_log("server", false, &json!({"belief": "server_claim", "change": change}));
        if let FeedChange::Claim(claim) = &change
            && claim.order.stage != LifeStage::Ready
        {
            self.recent_departures.push((now, claim.clone()));
            let message = ControllerMessage::Departures(vec![claim.clone()]);
            for peer in self.contacts.keys().cloned().collect::<Vec<_>>() {
                self.net.send(&peer, Message::Controller(message.clone())).await;
            }
        }
        self.publish_changes(vec![change]);
    }

    /// Opens the file of known servers and recalls those that were saved recently.
    pub(super) fn recall_servers(&mut self, now: Mono) {
        let Some(data_dir) = &self.settings.data_dir else { return };
        match ServerFile::open(data_dir, state_file::SERVERS) {
            Ok((file, saved)) => {
                let claims = saved.recent(unix_ms() as u64);
                let fields = json!({"belief": "servers_recalled", "servers": claims.len()});
                self.write_log("servers_recalled", false, &fields);
                self.registry.recall(now, claims);
                self.server_file = Some(file);
            }
            Err(e) => {
                let fields = json!({"belief": "servers_not_recalled", "reason": e.to_string()});
                self.write_log("servers_recalled", true, &fields);
            }
        }
    }

    /// Opens the file of crashed runs and recalls those that were saved.
    pub(super) fn recall_crashes(&mut self, now: Mono) {
        let Some(data_dir) = &self.settings.data_dir else { return };
        match CrashFile::open(data_dir, state_file::CRASHES) {
            Ok((file, saved)) => {
                self.crash_reports.recall(now, unix_ms() as u64, saved);
                self.crash_file = Some(file);
            }
            Err(e) => {
                let fields = json!({"belief": "crashes_not_recalled", "reason": e.to_string()});
                self.write_log("crashes_recalled", true, &fields);
            }
        }
    }

    /// Records crashed runs that an entry reports, saves them and passes on what is new.
    fn on_crash_reports(&mut self, now: Mono, reports: Vec<CrashReport>) {
        let new = self.crash_reports.record(now, reports);
        if new.is_empty() {
            return;
        }
        if let Some(file) = &self.crash_file {
            file.save(self.crash_reports.to_save(now, unix_ms() as u64));
        }
        self.broadcast(&FeedDown::CrashReports(new));
    }

    /// Saves the known servers if they have changed since the last time.
    pub(super) fn save_servers(&mut self) {
        if let Some(file) = &self.server_file
            && std::mem::take(&mut self.servers_changed)
        {
            let (unix_ms, claims) = (unix_ms() as u64, self.registry.claims());
            file.save(SavedServers { unix_ms, claims });
        }
    }

    pub(super) fn publish_changes(&mut self, changes: Vec<FeedChange>) {
        if changes.is_empty() {
            return;
        }
        let is_departure =
            |c: &FeedChange| matches!(c, FeedChange::Claim(c) if c.order.stage != LifeStage::Ready);
        let any_departed = changes.iter().any(is_departure);
        self.servers_changed = true;
        self.broadcast(&FeedDown::Changes(changes));
        // A restart must not recall a server whose departure was acknowledged.
        if any_departed {
            self.save_servers();
        }
    }

    /// Sends the fleet status to all entries. An entry that has it already and reads the short message
    /// gets the demand only, which is what mostly changes.
    pub(super) fn publish_fleet_status(&mut self) {
        let status = self.fleet_status();
        let short = self.seal(&FeedDown::FleetDemand(status.demand));
        let whole = self.seal(&FeedDown::FleetStatus(status.clone()));
        let (Some(short), Some(whole)) = (short, whole) else { return };
        let known = Rc::new(FleetStatus { demand: RequestRate::default(), ..status });
        // A feed with a full queue is dropped; the entry opens a new one and gets the whole state.
        self.feeds.retain(|_, f| {
            let knows = f.sent_status.as_ref().is_some_and(|s| *s == known);
            if knows && f.features.includes(Features::FLEET_DEMAND) {
                return f.tx.try_send(short.clone()).is_ok();
            }
            f.sent_status = Some(known.clone());
            f.tx.try_send(whole.clone()).is_ok()
        });
    }

    /// Sends the entries of each zone the list of entries in their zone, with some of each other zone,
    /// if feeds were opened or closed.
    pub(super) fn publish_entries(&mut self) {
        if !std::mem::take(&mut self.feeds_changed) {
            return;
        }
        let mut zones: IndexMap<Zone, Vec<EntryInfo>> = IndexMap::new();
        for feed in self.feeds.values() {
            let zone = feed.info.zone.clone();
            zones.entry(zone).or_default().push(feed.info.clone());
        }
        for zone in zones.keys() {
            let entries = FeedDown::Entries(entries_for(zone, &zones));
            let Some(frame) = self.seal(&entries) else { continue };
            // A feed with a full queue is dropped; the entry opens a new one and gets the whole
            // state.
            self.feeds.retain(|_, f| f.info.zone != *zone || f.tx.try_send(frame.clone()).is_ok());
        }
    }

    /// Returns the controllers and entries heard, and the version of the routing table.
    pub(super) fn fleet_status(&self) -> FleetStatus {
        let now = self.clock.now();
        FleetStatus {
            controllers: self.live_controllers(now),
            entries: self.count_entries(now),
            table: self.tables.version().unwrap_or_default(),
            demand: self.feeds.values().map(|f| f.demand).sum(),
        }
    }

    /// Returns the messages about the rates that servers state; none if no server does.
    pub(super) fn rate_summary(&mut self, now: Mono) -> Vec<FeedDown> {
        let reports = self.rate_reports.summary(now);
        reports.chunks(MAX_RATE_REPORTS).map(|c| FeedDown::RateReports(c.to_vec())).collect()
    }

    pub(super) fn count_entries(&self, now: Mono) -> u32 {
        self.entry_heard_at.values().filter(|at| now.since(**at) < ENTRY_EXPIRY).count() as u32
    }

    pub(super) fn seal(&self, message: &FeedDown) -> Option<Rc<Vec<u8>>> {
        match self.key.seal(message, MAX_STREAM_BYTES) {
            Ok(frame) => Some(Rc::new(frame)),
            Err(e) => {
                log::error!("a feed message to entries cannot be encoded: {e}");
                None
            }
        }
    }

    pub(super) fn broadcast(&mut self, message: &FeedDown) {
        let Some(frame) = self.seal(message) else { return };
        // A feed with a full queue is dropped; the entry opens a new one and gets the whole state.
        self.feeds.retain(|_, f| f.tx.try_send(frame.clone()).is_ok());
    }

    pub(super) fn send_to(&mut self, id: FeedId, message: &FeedDown) {
        let Some(frame) = self.seal(message) else { return };
        let sent = self.feeds.get(&id).is_none_or(|f| f.tx.try_send(frame).is_ok());
        if !sent {
            self.feeds.shift_remove(&id);
        }
    }

    pub(super) async fn on_feed_event(&mut self, event: FeedEvent) {
        let now = self.clock.now();
        match event {
            FeedEvent::Follow(id, info, features, tx) => {
                let fields = json!({"belief": "entry_follows", "entry": info.entry, "feed": id});
                self.write_log("entry", false, &fields);
                self.entry_heard_at.insert(info.entry.clone(), now);
                let demand = RequestRate::default();
                let feed =
                    Feed { info, features, tx, demand, sent_status: None, orders_sent: None };
                self.feeds.insert(id, feed);
                self.feeds_changed = true;
                if features != Features::default() {
                    self.send_to(id, &FeedDown::Features(Features::OWN));
                }
                self.send_zone_orders(id);
                self.log_if_disobedient(id);
                let servers = FeedDown::Servers(self.registry.claims());
                self.send_to(id, &servers);
                let fleet_status = FeedDown::FleetStatus(self.fleet_status());
                self.send_to(id, &fleet_status);
                for reports in self.rate_summary(now) {
                    self.send_to(id, &reports);
                }
                self.send_team_usage(now, id);
                for reports in self.crash_reports.all(now).chunks(MAX_CRASH_REPORTS) {
                    self.send_to(id, &FeedDown::CrashReports(reports.to_vec()));
                }
            }
            FeedEvent::Heartbeat(id) => {
                if let Some(feed) = self.feeds.get(&id) {
                    self.entry_heard_at.insert(feed.info.entry.clone(), now);
                }
            }
            FeedEvent::Demand(id, rate) => {
                if let Some(feed) = self.feeds.get_mut(&id) {
                    self.entry_heard_at.insert(feed.info.entry.clone(), now);
                    feed.demand = rate;
                }
            }
            FeedEvent::HealthReports(id, reports) => {
                if let Some(feed) = self.feeds.get(&id) {
                    self.entry_heard_at.insert(feed.info.entry.clone(), now);
                    self.health_reports.record(now, feed.info.entry.clone(), reports);
                }
            }
            FeedEvent::RateReports(id, reports) => {
                if let Some(feed) = self.feeds.get(&id) {
                    self.entry_heard_at.insert(feed.info.entry.clone(), now);
                    self.rate_reports.record(now, &feed.info.entry, reports);
                }
            }
            FeedEvent::CrashReports(id, reports) => {
                if let Some(feed) = self.feeds.get(&id) {
                    self.entry_heard_at.insert(feed.info.entry.clone(), now);
                    self.on_crash_reports(now, reports);
                }
            }
            FeedEvent::TeamUsage(id, report) => self.on_team_usage(now, id, report),
            FeedEvent::FetchTable(id, have) => {
                let features = self.feeds.get(&id).map(|f| f.features).unwrap_or_default();
                if let Some(update) = self.tables.update_from(have, features) {
                    self.send_to(id, &update);
                }
                let entry = self.feeds.get(&id).map(|f| f.info.entry.clone());
                let is_later = have > self.tables.version().unwrap_or_default();
                if let Some(entry) = entry.filter(|_| is_later) {
                    self.on_later_table(entry, have).await;
                }
            }
            FeedEvent::Closed(id) => {
                self.feeds_changed = true;
                if let Some(feed) = self.feeds.shift_remove(&id) {
                    let fields =
                        json!({"belief": "entry_gone", "entry": feed.info.entry, "feed": id});
                    self.write_log("entry_gone", true, &fields);
                    self.on_usage_feed_closed(now, &feed.info.entry);
                }
            }
        }
    }
}
