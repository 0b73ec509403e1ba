//! Event loop that owns all state of a controller.
//!
//! - [`peers`]: messages between controllers
//! - [`servers`]: heartbeats of servers and feeds to entries
//! - [`team_usage`]: use of the teams' quotas at the entries
//! - [`zone_orders`]: orders of operators about availability zones
//! - [`control_log`]: the replicated log, and routing tables that are proposed, committed and read
//! - [`log_status`]: role, leader and voters of that log, for the structured log and the metrics

mod control_log;
mod log_status;
mod peers;
mod servers;
mod team_usage;
mod zone_orders;

use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use hornbeam_control::{ProposalId, RaftInput, Voter};
use hornbeam_discovery::{
    CrashReports, HealthReports, RateReports, Registry, RegistryParams, TeamUsages,
};
use hornbeam_model::{InstanceId, Mono, RequestRate, Routing, TableVersion};
use hornbeam_node::clock::Clock;
use hornbeam_node::control::net::{Incoming, Net};
use hornbeam_node::journal::EventLog;
use hornbeam_node::program::{SettingsWatch, SuspensionWatch};
use hornbeam_node::structured::StructuredLog;
use hornbeam_protocol::discovery::{
    EntryInfo, FEED_HEARTBEAT_INTERVAL_MS, FeedDown, FleetStatus, ServerClaim,
};
use hornbeam_protocol::features::Features;
use hornbeam_protocol::{FrameKey, Message};
use hornbeam_settings::{FleetSettings, SettingsError};
use hornbeam_storage::StorageError;
use indexmap::IndexMap;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::api::{ApiRequest, ApiResponse};
use crate::feed::{FeedEvent, FeedId, FeedSender};
use crate::log_disk::LogDisk;
use crate::metrics::Metrics;
use crate::state_file::{CrashFile, ServerFile};
use crate::tables::RecentTables;

/// Number of heartbeats that a server may miss before its lease expires.
const LEASE_HEARTBEATS: u32 = 4;
/// Time added to the lease for heartbeats that are late.
const LEASE_SLACK: Duration = Duration::from_secs(2);
/// Interval of the heartbeats to other controllers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the attempts to open the log on a disk that has failed.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);

/// Feed to one entry.
struct Feed {
    info: EntryInfo,
    /// Messages that the entry reads.
    features: Features,
    tx: FeedSender,
    /// Rate of the callers' requests at the entry.
    demand: RequestRate,
    /// Fleet status that was sent last, without the demand.
    sent_status: Option<Rc<FleetStatus>>,
    /// Orders about zones that the entry was sent last.
    orders_sent: zone_orders::SentOrders,
}

/// All state of a controller.
pub struct Controller {
    settings: FleetSettings,
    settings_watch: SettingsWatch,
    suspension_watch: SuspensionWatch,
    clock: Clock,
    key: FrameKey,
    me: InstanceId,
    parse_table: fn(&[u8]) -> Result<Routing, String>,
    net: Net,
    events: EventLog,
    log: StructuredLog,
    metrics: Metrics,
    registry: Registry,
    /// `None` without a data folder, or if it cannot be written.
    server_file: Option<ServerFile>,
    /// True if the registry has changed since it was saved.
    servers_changed: bool,
    health_reports: HealthReports,
    rate_reports: RateReports,
    team_usages: TeamUsages,
    next_team_usage_at: Mono,
    /// Use of the quotas as it was encoded last, and when.
    latest_team_usage: Option<(Mono, Rc<Vec<u8>>)>,
    team_usage_sent_at: Mono,
    crash_reports: CrashReports,
    /// `None` without a data folder, or if it cannot be written.
    crash_file: Option<CrashFile>,
    /// `None` without a data folder and while the disk cannot be used.
    voter: Option<Voter>,
    /// Present while there is a voter.
    log_disk: Option<LogDisk>,
    reopen_at: Mono,
    /// State of the control log that was written to the log last; `None` while there is no voter.
    logged_status: Option<log_status::LogStatus>,
    tables: RecentTables,
    /// Highest version of a routing table that an entry holds and that was not in force here.
    entries_table: TableVersion,
    /// True if this controller helps to start a new log, as long as its disk is empty and no table is known
    /// to be used.
    may_found: bool,
    zones: zone_orders::ZoneState,
    started_at: Mono,
    feeds: IndexMap<FeedId, Feed>,
    /// True if feeds were opened or closed since the lists of entries were last sent.
    feeds_changed: bool,
    entry_heard_at: IndexMap<InstanceId, Mono>,
    /// Other controllers with the time they were last heard, if ever; excludes this one.
    contacts: IndexMap<InstanceId, Option<Mono>>,
    /// The controller that last reported that it leads, and when; used while the local voter knows
    /// no leader.
    reported_leader: Option<(InstanceId, Mono)>,
    recent_departures: Vec<(Mono, ServerClaim)>,
    proposals: HashMap<ProposalId, oneshot::Sender<ApiResponse>>,
    next_proposal: u64,
    /// Reads with their arrival time; answered once the state is confirmed as of that time (read
    /// index).
    pending_reads: Vec<(Mono, oneshot::Sender<ApiResponse>)>,
    next_feed_heartbeat_at: Mono,
    next_heartbeat_at: Mono,
}

/// Channels from which the event loop receives.
pub struct Inputs {
    /// API calls of servers and operators.
    pub requests: mpsc::UnboundedReceiver<ApiRequest>,
    /// Events on the feeds of entries.
    pub feed_events: mpsc::UnboundedReceiver<FeedEvent>,
    /// Messages from other controllers.
    pub incoming: Incoming,
    /// Requests to reload the settings file.
    pub reload: mpsc::UnboundedReceiver<()>,
    /// Sent once before the process ends; the contained sender acknowledges that leadership
    /// transfer has been requested.
    pub shutdown: mpsc::UnboundedReceiver<oneshot::Sender<()>>,
}

/// Parameters of a [`Controller`].
pub struct ControllerParams {
    /// Settings of this controller.
    pub settings: FleetSettings,
    /// File from which the settings were read; watched for changes.
    pub file: PathBuf,
    /// Identifier of this controller.
    pub me: InstanceId,
    /// Parses the document of a routing table.
    pub parse_table: fn(&[u8]) -> Result<Routing, String>,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Connections to other controllers.
    pub net: Net,
    /// Journal for events.
    pub events: EventLog,
    /// Structured log.
    pub log: StructuredLog,
    /// Metrics of this controller.
    pub metrics: Metrics,
}

impl Controller {
    /// Creates a controller with an empty state; its disk is opened by [`Controller::run`].
    pub fn new(params: ControllerParams) -> Self {
        let now = params.clock.now();
        let heartbeat = Duration::from_millis(params.settings.heartbeat_ms);
        let lease = heartbeat * LEASE_HEARTBEATS + LEASE_SLACK;
        Self {
            key: FrameKey::new(params.settings.key.as_bytes()),
            settings_watch: SettingsWatch::new(params.file),
            suspension_watch: SuspensionWatch::default(),
            settings: params.settings,
            clock: params.clock,
            me: params.me,
            parse_table: params.parse_table,
            net: params.net,
            events: params.events,
            log: params.log,
            metrics: params.metrics,
            registry: Registry::new(RegistryParams { lease }),
            server_file: None,
            servers_changed: false,
            health_reports: HealthReports::default(),
            rate_reports: RateReports::default(),
            team_usages: TeamUsages::new(now),
            next_team_usage_at: now,
            latest_team_usage: None,
            team_usage_sent_at: now,
            crash_reports: CrashReports::default(),
            crash_file: None,
            voter: None,
            log_disk: None,
            reopen_at: now,
            logged_status: None,
            tables: RecentTables::default(),
            entries_table: TableVersion(0),
            may_found: false,
            zones: zone_orders::ZoneState::default(),
            started_at: now,
            feeds: IndexMap::new(),
            feeds_changed: false,
            entry_heard_at: IndexMap::new(),
            contacts: IndexMap::new(),
            reported_leader: None,
            recent_departures: Vec::new(),
            proposals: HashMap::new(),
            next_proposal: 1,
            pending_reads: Vec::new(),
            next_feed_heartbeat_at: now,
            next_heartbeat_at: now,
        }
    }

    /// Runs the event loop until the senders of `inputs` are dropped.
    pub async fn run(mut self, mut inputs: Inputs) {
        self.add_seeds();
        self.recall_servers(self.clock.now());
        self.recall_crashes(self.clock.now());
        self.tick().await;
        loop {
            let wake = self.clock.instant(self.next_wake());
            tokio::select! {
                Some(received) = inputs.incoming.messages.recv() => self.receive(received).await,
                Some((peer, known)) = inputs.incoming.stale_sessions.recv() => {
                    self.net.send(&peer, Message::StaleSession { known }).await;
                }
                written = next_written(&mut self.log_disk) => self.on_written(written).await,
                Some(event) = inputs.feed_events.recv() => self.on_feed_event(event).await,
                request = inputs.requests.recv() => match request {
                    Some(request) => self.on_request(request).await,
                    None => return,
                },
                Some(()) = inputs.reload.recv() => {
                    let settings = self.settings_watch.reload();
                    self.apply_settings(settings);
                }
                Some(done) = inputs.shutdown.recv() => {
                    self.step(RaftInput::TransferLeadership).await;
                    // The receiver may have stopped waiting.
                    let _ = done.send(());
                }
                () = tokio::time::sleep_until(wake) => self.tick().await,
            }
        }
    }

    fn next_wake(&self) -> Mono {
        let voter = self.voter.as_ref().map_or(self.reopen_at, Voter::next_wake);
        voter
            .min(self.next_feed_heartbeat_at)
            .min(self.next_heartbeat_at)
            .min(self.next_team_usage_at)
            .min(self.settings_watch.next_poll())
    }

    async fn tick(&mut self) {
        let now = self.clock.now();
        self.check_suspension();
        if self.voter.as_ref().is_none_or(|v| v.raft().is_none()) && now >= self.reopen_at {
            self.reopen_at = now + REOPEN_INTERVAL;
            self.open_voter(now).await;
        }
        self.step(RaftInput::Tick).await;
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(now).await;
        }
        if now >= self.next_feed_heartbeat_at {
            self.next_feed_heartbeat_at = now + Duration::from_millis(FEED_HEARTBEAT_INTERVAL_MS);
            let lapsed = self.registry.expire(now);
            for change in &lapsed {
                self.write_log(
                    "server_lapsed",
                    true,
                    &json!({"belief": "server_lapsed", "change": change}),
                );
            }
            self.publish_changes(lapsed);
            self.save_servers();
            self.publish_fleet_status();
            self.publish_entries();
            self.publish_zone_orders();
            // Each server is reported by the controllers that hear it, not by all of them.
            let registry = &self.registry;
            let reports = self.health_reports.summary(now, |s| registry.claim(s).is_some());
            if !reports.is_empty() {
                self.broadcast(&FeedDown::HealthReports(reports));
            }
            for reports in self.rate_summary(now) {
                self.broadcast(&reports);
            }
            self.update_metrics(now);
        }
        self.publish_team_usage(now);
        if let Some(settings) = self.settings_watch.poll(now) {
            self.apply_settings(settings);
        }
    }

    fn write_log(&self, kind: &'static str, is_failure: bool, what: &serde_json::Value) {
        self.log.write(kind, is_failure, what);
    }

    fn update_metrics(&self, now: Mono) {
        self.metrics.servers.set(self.registry.claims().len() as i64);
        self.metrics.entries.set(i64::from(self.count_entries(now)));
        self.metrics.controllers.set(self.live_controllers(now).len() as i64);
        self.metrics.leads.set(i64::from(self.is_leader()));
        self.metrics.table_version.set(self.tables.version().unwrap_or_default().0 as i64);
        let raft = self.raft();
        let voters = raft.map_or(0, |r| r.membership().voters.len());
        self.metrics.voters.set(voters as i64);
        let lost = raft.map_or(0, |r| r.lost_voters(now).len());
        self.metrics.lost_voters.set(lost as i64);
        let spare = raft.and_then(|r| r.spare_voters(now));
        self.metrics.spare_voters.set(spare.map_or(0, |n| n as i64));
        self.metrics.leader_known.set(i64::from(self.leader().is_some()));
        self.metrics.entries_table.set(self.entries_table.0 as i64);
        let replacing = raft.is_some_and(|r| r.membership().replacement.is_some());
        self.metrics.replacing_voter.set(i64::from(replacing));
        self.metrics.committed_index.set(raft.map_or(0, |r| r.commit_index().0) as i64);
        let unsynced = self.voter.as_ref().map_or(0, Voter::unsynced_writes);
        self.metrics.unsynced_writes.set(unsynced as i64);
    }

    /// Discards the servers that are ready and all feeds after a suspension of the machine, because
    /// they are outdated. Servers and entries report again.
    fn check_suspension(&mut self) {
        let Some(duration) = self.suspension_watch.poll() else { return };
        let fields = json!({"belief": "suspended", "for_ms": duration.as_millis() as u64});
        self.write_log("suspended", true, &fields);
        self.registry.clear_ready();
        self.feeds.clear();
        self.latest_team_usage = None;
        self.feeds_changed = true;
    }

    /// Applies changed settings. Only the seeds can change while the program runs.
    fn apply_settings(&mut self, settings: Result<FleetSettings, SettingsError>) {
        match settings {
            Ok(settings) => {
                self.settings.seeds = settings.seeds;
                let fields = json!({"belief": "settings_reloaded", "seeds": self.settings.seeds});
                self.write_log("reload", false, &fields);
                self.add_seeds();
            }
            Err(e) => {
                let fields = json!({"belief": "settings_kept", "reason": e.to_string()});
                self.write_log("reload_failed", true, &fields);
            }
        }
    }
}

/// Waits for the result of the next write of the control log; waits forever without one.
async fn next_written(disk: &mut Option<LogDisk>) -> Result<(), StorageError> {
    match disk {
        Some(disk) => disk.next_result().await,
        None => std::future::pending().await,
    }
}
