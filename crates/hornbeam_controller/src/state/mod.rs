//! The loop that holds all state of a controller.
//!
//! - [`peers`]: other controllers
//! - [`servers`]: servers and entries
//! - [`control_log`]: tables proposed, committed and read

mod control_log;
mod peers;
mod servers;

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::Duration;

use hornbeam_control::{ProposalId, RaftInput, Voter};
use hornbeam_discovery::{HealthReports, Registry, RegistryParams};
use hornbeam_model::{InstanceId, Mono};
use hornbeam_node::clock::Clock;
use hornbeam_node::control::net::{Incoming, Net};
use hornbeam_node::journal::EventLog;
use hornbeam_node::program::{SettingsWatch, SuspensionWatch};
use hornbeam_node::structured::StructuredLog;
use hornbeam_protocol::discovery::{EntryInfo, FEED_HEARTBEAT_INTERVAL_MS, FeedDown, ServerClaim};
use hornbeam_protocol::{FrameKey, Message};
use hornbeam_settings::{FleetSettings, SettingsError};
use indexmap::IndexMap;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::api::{Answer, Ask};
use crate::feed::{FeedId, FeedIn, FeedSender};
use crate::metrics::Metrics;
use crate::tables::RecentTables;

/// Heartbeats that a server may miss before it lapses.
const LEASE_HEARTBEATS: u32 = 4;
/// Time that a heartbeat may be late, besides.
const LEASE_SLACK: Duration = Duration::from_secs(2);
/// Time between two messages to other controllers.
const CONTACT_EVERY: Duration = Duration::from_millis(500);
/// Time between two attempts to open the log on a disk that failed.
const REOPEN_EVERY: Duration = Duration::from_secs(1);

struct Follower {
    offer: EntryInfo,
    tx: FeedSender,
}

/// All state of a controller.
pub struct Controller {
    settings: FleetSettings,
    watch: SettingsWatch,
    suspension: SuspensionWatch,
    clock: Clock,
    key: FrameKey,
    me: InstanceId,
    net: Net,
    events: EventLog,
    log: StructuredLog,
    metrics: Metrics,
    registry: Registry,
    troubles: HealthReports,
    /// Nothing while the disk cannot be used.
    voter: Option<Voter>,
    reopen_at: Mono,
    tables: RecentTables,
    followers: IndexMap<FeedId, Follower>,
    /// True if followers came or went since they were last told of each other.
    followers_changed: bool,
    entries: IndexMap<InstanceId, Mono>,
    /// Other controllers and when they were last heard; never this one.
    contacts: IndexMap<InstanceId, Option<Mono>>,
    /// The controller that last said it leads, and when; for one that stands by.
    told_leader: Option<(InstanceId, Mono)>,
    recent_departures: Vec<(Mono, ServerClaim)>,
    proposals: HashMap<ProposalId, oneshot::Sender<Answer>>,
    next_proposal: u64,
    /// Reads that wait until the state is confirmed as of their arrival.
    reads: Vec<(Mono, oneshot::Sender<Answer>)>,
    next_news: Mono,
    next_contact: Mono,
}

/// What the loop listens to.
pub struct Inputs {
    /// Calls of servers and operators.
    pub asks: mpsc::UnboundedReceiver<Ask>,
    /// Connections of entries.
    pub feeds: mpsc::UnboundedReceiver<FeedIn>,
    /// Messages of other controllers.
    pub incoming: Incoming,
    /// The settings file has changed.
    pub reload: mpsc::UnboundedReceiver<()>,
    /// Asked once, before the process ends.
    pub leave: mpsc::UnboundedReceiver<oneshot::Sender<()>>,
}

/// What a controller is built from.
pub struct Parts {
    /// The settings.
    pub settings: FleetSettings,
    /// Where they came from.
    pub file: PathBuf,
    /// Name among controllers.
    pub me: InstanceId,
    /// The clock.
    pub clock: Clock,
    /// Sockets towards other controllers.
    pub net: Net,
    /// The event journal.
    pub events: EventLog,
    /// The log.
    pub log: StructuredLog,
    /// The metrics.
    pub metrics: Metrics,
}

impl Controller {
    /// A controller that knows its settings only.
    pub fn new(parts: Parts) -> Self {
        let now = parts.clock.now();
        let heartbeat = Duration::from_millis(parts.settings.heartbeat_ms);
        let lease = heartbeat * LEASE_HEARTBEATS + LEASE_SLACK;
        Self {
            key: FrameKey::new(parts.settings.key.as_bytes()),
            watch: SettingsWatch::new(parts.file),
            suspension: SuspensionWatch::default(),
            settings: parts.settings,
            clock: parts.clock,
            me: parts.me,
            net: parts.net,
            events: parts.events,
            log: parts.log,
            metrics: parts.metrics,
            registry: Registry::new(RegistryParams { lease }),
            troubles: HealthReports::default(),
            voter: None,
            reopen_at: now,
            tables: RecentTables::default(),
            followers: IndexMap::new(),
            followers_changed: false,
            entries: IndexMap::new(),
            contacts: IndexMap::new(),
            told_leader: None,
            recent_departures: Vec::new(),
            proposals: HashMap::new(),
            next_proposal: 1,
            reads: Vec::new(),
            next_news: now,
            next_contact: now,
        }
    }

    /// Runs until every sender of `inputs` is gone.
    pub async fn run(mut self, mut inputs: Inputs) {
        self.know_seeds();
        self.tick().await;
        loop {
            let wake = self.clock.instant(self.next_wake());
            tokio::select! {
                Some(received) = inputs.incoming.messages.recv() => self.receive(received).await,
                Some((peer, known)) = inputs.incoming.stale.recv() => {
                    self.net.send(&peer, Message::StaleSession { known }).await;
                }
                Some(feed) = inputs.feeds.recv() => self.take_feed(feed),
                ask = inputs.asks.recv() => match ask {
                    Some(ask) => self.take_ask(ask).await,
                    None => return,
                },
                Some(()) = inputs.reload.recv() => {
                    let settings = self.watch.reload();
                    self.take_settings(settings);
                }
                Some(done) = inputs.leave.recv() => {
                    self.step(RaftInput::TransferLeadership).await;
                    // The one who asked waits for no longer than it can.
                    let _ = done.send(());
                }
                () = tokio::time::sleep_until(wake) => self.tick().await,
            }
        }
    }

    fn next_wake(&self) -> Mono {
        let voter = self.voter.as_ref().map_or(self.reopen_at, Voter::next_wake);
        voter.min(self.next_news).min(self.next_contact).min(self.watch.next())
    }

    async fn tick(&mut self) {
        let now = self.clock.now();
        self.notice_suspension();
        if self.voter.as_ref().is_none_or(|v| v.raft().is_none()) && now >= self.reopen_at {
            self.reopen_at = now + REOPEN_EVERY;
            self.open_voter(now).await;
        }
        self.step(RaftInput::Tick).await;
        if now >= self.next_contact {
            self.next_contact = now + CONTACT_EVERY;
            self.greet(now).await;
        }
        if now >= self.next_news {
            self.next_news = now + Duration::from_millis(FEED_HEARTBEAT_INTERVAL_MS);
            let lapsed = self.registry.expire(now);
            for change in &lapsed {
                self.note(
                    "server_lapsed",
                    true,
                    &json!({"belief": "server_lapsed", "change": change}),
                );
            }
            self.publish(lapsed);
            self.publish_news();
            self.publish_entries();
            let troubles = self.troubles.summary(now);
            if !troubles.is_empty() {
                self.send_all(&FeedDown::HealthReports(troubles));
            }
            self.show_metrics(now);
        }
        if let Some(settings) = self.watch.poll(now) {
            self.take_settings(settings);
        }
    }

    fn note(&self, kind: &'static str, is_failure: bool, what: &serde_json::Value) {
        self.log.write(kind, is_failure, what);
    }

    fn show_metrics(&self, now: Mono) {
        self.metrics.servers.set(self.registry.claims().len() as i64);
        self.metrics.entries.set(i64::from(self.count_entries(now)));
        self.metrics.controllers.set(self.fresh_controllers(now).len() as i64);
        self.metrics.leads.set(i64::from(self.leads()));
        self.metrics.table_version.set(self.tables.version().0 as i64);
    }

    /// What was heard before a suspension is old: servers, entries and voters show themselves anew.
    fn notice_suspension(&mut self) {
        let Some(grown) = self.suspension.poll() else { return };
        let what = json!({"belief": "suspended", "for_ms": grown.as_millis() as u64});
        self.note("suspended", true, &what);
        self.registry.clear_ready();
        self.followers.clear();
        self.followers_changed = true;
    }

    /// Takes changed settings; only the seeds can change while the program runs.
    fn take_settings(&mut self, settings: Result<FleetSettings, SettingsError>) {
        match settings {
            Ok(settings) => {
                self.settings.seeds = settings.seeds;
                let what = json!({"belief": "settings_reloaded", "seeds": self.settings.seeds});
                self.note("reload", false, &what);
                self.know_seeds();
            }
            Err(e) => {
                let what = json!({"belief": "settings_kept", "reason": e.to_string()});
                self.note("reload_failed", true, &what);
            }
        }
    }
}
