//! Follows the feeds of all controllers on the control thread.
//!
//! An entry follows every controller that it knows, since each receives the heartbeats of only a
//! part of the servers. The seeds come from the settings, the others from the controllers
//! themselves.

mod pause;
mod reload;
mod team_usage;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_discovery::{CrashReports, Directory, FeedCounts, OrdersView, ServerUpdate};
use hornbeam_model::{
    CrashReport, InstanceId, Mono, RateReport, Routing, RoutingDelta, ServerId, TableVersion,
    TeamUsage,
};
use hornbeam_node::clock::Clock;
use hornbeam_node::program::{SettingsWatch, SuspensionWatch};
use hornbeam_node::structured::StructuredLog;
use hornbeam_protocol::FrameKey;
use hornbeam_protocol::discovery::{EntryInfo, FeedDown, FeedUp, FleetStatus, HealthReport};
use hornbeam_protocol::features::Features;
use hornbeam_route::{ControllerContact, Peer, ServerHealthReport};
use hornbeam_settings::FleetSettings;
use indexmap::IndexMap;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::contact::majority_at;
use crate::feed_connection::{ConnectionEvent, Subscription};
pub use crate::feed_event::{EntryReport, FeedEvent};

/// Interval of the checks for expired claims, lost controllers, suspension and changed settings.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a routing table that has not arrived is requested again, possibly from another
/// controller.
const TABLE_REQUEST_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without a message after which an entry no longer follows a controller that is neither a
/// seed nor named by another controller.
const CONTROLLER_TTL: Duration = Duration::from_secs(30);
/// Maximum number of servers in one message about stated rates.
const MAX_RATE_REPORTS: usize = 500;
/// Maximum number of crashed runs in one message.
const MAX_CRASH_REPORTS: usize = 256;

/// Parameters of [`run`].
pub struct FeedParams {
    /// Settings of the entry.
    pub settings: FleetSettings,
    /// Settings file, which is watched for changed seeds.
    pub file: PathBuf,
    /// Clock shared with the traffic thread.
    pub clock: Clock,
    /// Log of the entry.
    pub log: StructuredLog,
    /// Updates to the traffic thread.
    pub tx: mpsc::UnboundedSender<FeedEvent>,
}

pub(crate) struct Feed {
    tx: mpsc::UnboundedSender<FeedUp>,
    task: AbortHandle,
    /// When the last message was received or, without one, when the feed was last connected or
    /// created.
    last_message: Mono,
    connected: bool,
    /// Messages that the controller reads.
    pub(crate) features: Features,
    /// True if the health reports sent last were not empty.
    reported: bool,
    /// What the controller reported about the fleet.
    status: FleetStatus,
    /// When the controller last stated its table version.
    stated_at: Option<Mono>,
    /// Entries that follow the controller: all of this zone, this one included, and some of each other
    /// zone.
    entry_infos: Vec<EntryInfo>,
}

impl Feed {
    fn send_crash_reports(&self, reports: &[CrashReport]) {
        for reports in reports.chunks(MAX_CRASH_REPORTS) {
            // A feed that has just been lost gets all reports once it is reopened.
            let _ = self.tx.send(FeedUp::CrashReports(reports.to_vec()));
        }
    }
}

/// All feeds of an entry and the state that they provide.
pub(crate) struct ControllerFeeds {
    pub(crate) params: FeedParams,
    key: FrameKey,
    me: InstanceId,
    directory: Directory,
    pub(crate) zone_orders: OrdersView,
    /// Servers that are not used before the orders about zones are known.
    pub(crate) held_servers: Vec<ServerUpdate>,
    pub(crate) feeds: IndexMap<InstanceId, Feed>,
    table: Option<Arc<Routing>>,
    /// What this entry has reported of requests in flight at servers that ended, for controllers that
    /// have been restarted.
    crash_reports: CrashReports,
    /// Use of the teams' quotas at this entry, for controllers whose feed is opened.
    team_usage: team_usage::LatestUsage,
    /// Counts that were published last.
    feed_counts: FeedCounts,
    /// Latest table version that a controller has stated.
    announced: TableVersion,
    /// When the latest table was requested, while it has not arrived.
    table_requested_at: Option<Mono>,
    events: mpsc::UnboundedSender<(InstanceId, ConnectionEvent)>,
    suspension: SuspensionWatch,
    /// When the control thread last ran, to detect that the process was paused.
    ran_at: Mono,
    watch: SettingsWatch,
}

/// Follows the controllers until the traffic thread has ended. Each message of `reload` causes the
/// settings file to be read, and each of `reports` and `usage` is sent to all connected controllers.
pub async fn run(
    params: FeedParams,
    mut reload: mpsc::UnboundedReceiver<()>,
    mut reports: mpsc::UnboundedReceiver<EntryReport>,
    mut usage: mpsc::UnboundedReceiver<Vec<TeamUsage>>,
) {
    let (events, mut rx) = mpsc::unbounded_channel();
    let mut feeds = ControllerFeeds {
        key: FrameKey::new(params.settings.key.as_bytes()),
        me: params.settings.instance.clone(),
        directory: Directory::default(),
        zone_orders: OrdersView::new(params.settings.evacuations),
        held_servers: Vec::new(),
        feeds: IndexMap::new(),
        table: None,
        crash_reports: CrashReports::default(),
        team_usage: team_usage::LatestUsage::default(),
        feed_counts: FeedCounts::default(),
        announced: TableVersion(0),
        table_requested_at: None,
        events,
        suspension: SuspensionWatch::default(),
        ran_at: params.clock.now(),
        watch: SettingsWatch::new(params.file.clone()),
        params,
    };
    feeds.follow_seeds();
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            Some((from, event)) = rx.recv() => feeds.on_connection_event(&from, event),
            Some(()) = reload.recv() => {
                let settings = feeds.watch.reload();
                feeds.apply_settings(settings);
            }
            Some(report) = reports.recv() => feeds.send_report(report),
            Some(teams) = usage.recv() => feeds.send_team_usage(teams),
            _ = tick.tick() => feeds.tick(),
        }
        if feeds.params.tx.is_closed() {
            return;
        }
    }
}

impl ControllerFeeds {
    fn follow_seeds(&mut self) {
        for seed in self.params.settings.seed_names() {
            self.follow(&seed);
        }
    }

    fn follow(&mut self, controller: &InstanceId) {
        if self.feeds.contains_key(controller) {
            return;
        }
        let Some(address) = self.params.settings.feed_address(controller) else { return };
        let (tx, rx) = mpsc::unbounded_channel();
        let subscription = Subscription {
            controller: controller.clone(),
            me: self.entry_info(),
            address,
            key: self.key.clone(),
            events: self.events.clone(),
        };
        let task = tokio::task::spawn_local(subscription.run(rx)).abort_handle();
        let last_message = self.params.clock.now();
        let feed = Feed {
            tx,
            task,
            last_message,
            connected: false,
            features: Features::default(),
            reported: false,
            status: FleetStatus::default(),
            stated_at: None,
            entry_infos: Vec::new(),
        };
        self.feeds.insert(controller.clone(), feed);
    }

    /// Returns what this entry states about itself to controllers and other entries.
    fn entry_info(&self) -> EntryInfo {
        let settings = &self.params.settings;
        EntryInfo {
            entry: self.me.clone(),
            address: SocketAddr::new(settings.address, settings.inner_port),
            zone: settings.zone.clone(),
        }
    }

    fn log(&self, kind: &'static str, is_failure: bool, fields: &serde_json::Value) {
        self.params.log.write(kind, is_failure, fields);
    }

    /// Sends an update to the traffic thread.
    pub(crate) fn publish(&self, event: FeedEvent) {
        // The traffic thread ends only with the process.
        let _ = self.params.tx.send(event);
    }

    /// Sends each connected controller the demand, and the reports on the servers that it claims.
    fn send_report(&mut self, report: EntryReport) {
        let now = self.params.clock.now();
        let crashes = self.crash_reports.record(now, report.crashes);
        let connected: Vec<InstanceId> =
            self.feeds.iter().filter(|(_, f)| f.connected).map(|(name, _)| name.clone()).collect();
        let directory = &self.directory;
        let claimed_anywhere =
            |server: &ServerId| connected.iter().any(|c| directory.is_claimed_by(c, server));
        for (controller, feed) in self.feeds.iter_mut().filter(|(_, f)| f.connected) {
            // A feed that has just been lost sends the next report once it is reopened.
            let _ = feed.tx.send(FeedUp::Demand(report.demand));
            let claimed = |r: &&HealthReport| self.directory.is_claimed_by(controller, &r.server);
            let reports: Vec<HealthReport> =
                report.health.iter().filter(claimed).cloned().collect();
            // An empty list withdraws the previous reports.
            let reported = std::mem::replace(&mut feed.reported, !reports.is_empty());
            if !reports.is_empty() || reported {
                // A feed that has just been lost sends them once it is reopened.
                let _ = feed.tx.send(FeedUp::HealthReports(reports));
            }
            let concerned = crashes.iter().filter(|r| {
                let server = r.server();
                !claimed_anywhere(server) || self.directory.is_claimed_by(controller, server)
            });
            feed.send_crash_reports(&concerned.cloned().collect::<Vec<_>>());
            let claimed =
                |r: &&RateReport| self.directory.is_claimed_by(controller, &r.statement.server);
            let rates: Vec<RateReport> = report.rates.iter().filter(claimed).cloned().collect();
            for rates in rates.chunks(MAX_RATE_REPORTS) {
                // A feed that has just been lost sends them once it is reopened.
                let _ = feed.tx.send(FeedUp::RateReports(rates.to_vec()));
            }
        }
    }

    fn on_connection_event(&mut self, from: &InstanceId, event: ConnectionEvent) {
        let now = self.params.clock.now();
        self.check_pause(now);
        let Some(feed) = self.feeds.get_mut(from) else { return };
        match event {
            ConnectionEvent::Connected => {
                feed.connected = true;
                feed.features = Features::default();
                feed.last_message = now;
                feed.send_crash_reports(&self.crash_reports.all(now));
                self.log("feed", false, &json!({"belief": "feed_open", "controller": from}));
            }
            ConnectionEvent::Lost(e) => {
                if std::mem::take(&mut feed.connected) {
                    let fields = json!({
                        "belief": "feed_lost", "controller": from, "reason": e.to_string(),
                        "heard_ms_ago": now.since(feed.last_message).as_millis() as u64,
                    });
                    self.log("feed_lost", true, &fields);
                }
            }
            // Read before the feeds were reopened, and outdated.
            ConnectionEvent::Message(_) if !feed.connected => {}
            ConnectionEvent::Message(message) => {
                feed.last_message = now;
                self.directory.mark_feed_active(now, from);
                self.on_message(now, from, *message);
                // Ends the initial synchronization or an isolation without waiting for the tick.
                let counts = self.directory.feed_counts(now, self.feeds.len());
                let before = self.feed_counts;
                if (counts.fresh, counts.prompt) != (before.fresh, before.prompt) {
                    self.publish_feed_counts(now);
                }
            }
        }
    }

    fn on_message(&mut self, now: Mono, from: &InstanceId, message: FeedDown) {
        match message {
            FeedDown::Servers(claims) => {
                let updates = self.directory.replace_feed(now, from, claims);
                self.use_servers(now, from, updates);
            }
            FeedDown::Changes(changes) => {
                let updates = self.directory.update_feed(now, from, changes);
                self.use_servers(now, from, updates);
            }
            FeedDown::FleetStatus(status) => self.on_fleet_status(now, from, status),
            FeedDown::FleetDemand(demand) => {
                let status = self.feeds.get_mut(from).map(|f| std::mem::take(&mut f.status));
                if let Some(status) = status {
                    self.on_fleet_status(now, from, FleetStatus { demand, ..status });
                }
            }
            // A controller of an earlier build sends no policy: its table would keep the keys of the old
            // version, or need none. The table is requested again with the next fleet status.
            FeedDown::TableDelta(_) | FeedDown::Table(_) if self.has_teams() => {
                self.table_requested_at = None;
                let fields = json!({"decision": "table_without_policy", "controller": from});
                self.log("table_without_policy", true, &fields);
            }
            FeedDown::TableDelta(delta) => match self.apply_delta(&delta) {
                Some(table) => self.on_table(table),
                None => self.request_table(now, from, TableVersion(0)),
            },
            FeedDown::Table(table) => self.on_table((*table).clone()),
            FeedDown::PolicyDelta { delta, policy } => match self.apply_delta(&delta) {
                Some(table) => {
                    let policy = policy.unwrap_or_else(|| table.policy.clone());
                    self.on_table(Routing { policy, ..table });
                }
                None => self.request_table(now, from, TableVersion(0)),
            },
            FeedDown::PolicyTable { table, policy } => {
                self.on_table(Routing { policy, ..Routing::clone(&table) });
            }
            FeedDown::Features(features) => {
                if let Some(feed) = self.feeds.get_mut(from) {
                    feed.features = features;
                }
                self.send_team_usage_baseline(from);
            }
            FeedDown::ZoneOrders { orders, is_current } => {
                self.on_zone_orders(now, orders, is_current);
            }
            FeedDown::CrashReports(reports) => {
                self.publish(FeedEvent::CrashReports(reports));
            }
            FeedDown::TeamUsage(usage) => {
                let controller = from.clone();
                self.publish(FeedEvent::TeamUsage { controller, usage });
            }
            FeedDown::RateReports(reports) => self.publish(FeedEvent::RateReports(reports)),
            FeedDown::Entries(entries) => self.on_entries(from, entries),
            FeedDown::HealthReports(reports) => {
                let reports = reports.into_iter();
                let reports = reports.map(|r| ServerHealthReport {
                    server: r.server,
                    slowness: f64::from(r.slowness_tenths) / 10.0,
                    unresponsive: r.unresponsive,
                });
                self.publish(FeedEvent::PeerReports(reports.collect()));
            }
        }
    }

    /// Updates the entries that follow one controller; all controllers together know
    /// all of them.
    fn on_entries(&mut self, from: &InstanceId, entries: Vec<EntryInfo>) {
        if let Some(feed) = self.feeds.get_mut(from) {
            feed.entry_infos = entries;
        }
        let entries = self.feeds.values().flat_map(|f| &f.entry_infos);
        let others = entries.filter(|e| e.entry != self.me);
        let peers: IndexMap<&InstanceId, &EntryInfo> = others.map(|e| (&e.entry, e)).collect();
        let peers = peers.into_values().map(|e| Peer {
            name: e.entry.clone(),
            address: e.address,
            zone: e.zone.clone(),
        });
        self.publish(FeedEvent::Peers(peers.collect()));
    }

    fn on_fleet_status(&mut self, now: Mono, from: &InstanceId, status: FleetStatus) {
        for controller in &status.controllers {
            self.follow(controller);
        }
        let table = status.table;
        if let Some(feed) = self.feeds.get_mut(from) {
            feed.status = status;
            feed.stated_at = Some(now);
        }
        self.announced = self.announced.max(table);
        self.publish_contact();
        let entries = self.feeds.values().map(|f| f.status.entries).max().unwrap_or(0);
        if entries > 0 {
            self.publish(FeedEvent::EntryCount(entries));
        }
        // Too high a rate, as a lost feed may have reported, only lowers this entry's part.
        let demand = self.feeds.values().map(|f| f.status.demand).max().unwrap_or_default();
        self.publish(FeedEvent::FleetDemand(demand));
        let have = self.table.as_ref().map(|t| t.version).unwrap_or_default();
        // A controller with a table of version 0 states the same as one without a table.
        let may_have_first = self.table.is_none() && table == TableVersion(0);
        if (table < have || may_have_first)
            && let Some(feed) = self.feeds.get(from)
        {
            // States that a later table is in force, so that controllers that have lost their disks do not
            // start a log in which versions begin again. Without a later table the message has no reply.
            let _ = feed.tx.send(FeedUp::FetchTable { have });
        }
        let due = self.table_requested_at.is_none_or(|at| now.since(at) >= TABLE_REQUEST_TIMEOUT);
        if table > have && due {
            self.request_table(now, from, have);
        }
    }

    /// Tells the traffic thread how current its table is.
    fn publish_contact(&self) {
        self.publish(FeedEvent::Contact(ControllerContact {
            announced: self.announced,
            majority_at: majority_at(self.feeds.values().map(|f| f.stated_at)),
            strict_window: self.params.settings.revocation.strict_window(),
        }));
    }

    fn has_teams(&self) -> bool {
        self.table.as_ref().is_some_and(|t| !t.policy.teams.is_empty())
    }

    pub(crate) fn has_table(&self) -> bool {
        self.table.is_some()
    }

    fn apply_delta(&self, delta: &RoutingDelta) -> Option<Routing> {
        self.table.as_ref()?.apply(delta)
    }

    fn publish_feed_counts(&mut self, now: Mono) {
        self.feed_counts = self.directory.feed_counts(now, self.feeds.len());
        self.publish(FeedEvent::FeedCounts(self.feed_counts));
    }

    fn request_table(&mut self, now: Mono, from: &InstanceId, have: TableVersion) {
        if let Some(feed) = self.feeds.get(from) {
            self.table_requested_at = Some(now);
            // A feed that has just been lost sends the request once it is reopened; after the
            // timeout another feed may send it.
            let _ = feed.tx.send(FeedUp::FetchTable { have });
        }
    }

    fn on_table(&mut self, table: Routing) {
        self.table_requested_at = None;
        if self.table.as_ref().is_some_and(|t| table.version <= t.version) {
            return;
        }
        let table = Arc::new(table);
        self.table = Some(table.clone());
        self.publish(FeedEvent::Table(table));
    }

    fn tick(&mut self) {
        let now = self.params.clock.now();
        self.release_held_servers(now);
        let updates = self.directory.expire(now);
        self.publish_servers(updates);
        self.check_suspension(now);
        self.check_pause(now);
        let seeds = self.params.settings.seed_names();
        self.feeds.retain(|name, feed| {
            let keep = seeds.contains(name) || now.since(feed.last_message) < CONTROLLER_TTL;
            if !keep {
                feed.task.abort();
            }
            keep
        });
        self.publish_feed_counts(now);
        self.publish_contact();
        if let Some(settings) = self.watch.poll(now) {
            self.apply_settings(settings);
        }
    }
}
