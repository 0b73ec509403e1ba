//! Follows the controllers on a thread of its own.
//!
//! An entry follows every controller that it knows, since each hears a part of the servers. The seeds
//! come from the settings, the others from what the controllers say of each other.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_discovery::{Directory, FeedCounts, ServerUpdate};
use hornbeam_model::{InstanceId, Mono, Routing, TableVersion};
use hornbeam_node::clock::Clock;
use hornbeam_node::frames::{read_frame, write_frame};
use hornbeam_node::program::{SettingsWatch, SuspensionWatch};
use hornbeam_node::structured::StructuredLog;
use hornbeam_protocol::discovery::{
    EntryInfo, FEED_HEARTBEAT_INTERVAL_MS, FeedDown, FeedUp, FleetStatus, HealthReport,
};
use hornbeam_protocol::{FrameKey, MAX_STREAM_BYTES};
use hornbeam_route::{Peer, ServerChange, ServerHealthReport};
use hornbeam_settings::{FleetSettings, SettingsError};
use indexmap::IndexMap;
use serde_json::json;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Silence after which a feed is opened anew; three heartbeats.
const FEED_SILENCE: Duration = Duration::from_millis(3 * FEED_HEARTBEAT_INTERVAL_MS);
/// Longest time to open a feed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait before a feed is opened anew.
const RETRY_EVERY: Duration = Duration::from_millis(200);
/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(200);
/// Time after which a routing table that does not come is asked for elsewhere.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Silence after which a controller that no other one names is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// What the traffic thread is told.
#[derive(Debug)]
pub enum FeedEvent {
    /// Servers came, changed or went.
    Servers(Vec<ServerChange>),
    /// A routing table is in force.
    Table(Arc<Routing>),
    /// Entries that share budgets and connections.
    EntryCount(u32),
    /// The controllers, as they are heard.
    FeedCounts(FeedCounts),
    /// Servers that other entries have found not well.
    PeerReports(Vec<ServerHealthReport>),
    /// The other entries of the own zone.
    Peers(Vec<Peer>),
}

/// What the feeds need to know.
pub struct FeedParams {
    /// The settings.
    pub settings: FleetSettings,
    /// Where they came from; looked at again for other seeds.
    pub file: PathBuf,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub log: StructuredLog,
    /// The traffic thread.
    pub tx: mpsc::UnboundedSender<FeedEvent>,
}

struct Feed {
    up: mpsc::UnboundedSender<FeedUp>,
    task: AbortHandle,
    /// When it last said anything.
    heard: Mono,
    connected: bool,
    /// Entries that it hears.
    entries: u32,
    /// Those of the own zone.
    zone_entries: Vec<EntryInfo>,
}

struct Follower {
    params: FeedParams,
    key: FrameKey,
    me: InstanceId,
    directory: Directory,
    feeds: IndexMap<InstanceId, Feed>,
    table: Arc<Routing>,
    fetching: Option<Mono>,
    events: mpsc::UnboundedSender<(InstanceId, FeedNote)>,
    suspension: SuspensionWatch,
    watch: SettingsWatch,
}

/// What happens to one feed.
enum FeedNote {
    Connected,
    Down(Box<FeedDown>),
    Lost(std::io::Error),
}

/// Runs until the traffic thread is gone. `reload` tells that the settings file has changed.
pub async fn run(
    params: FeedParams,
    mut reload: mpsc::UnboundedReceiver<()>,
    mut troubles: mpsc::UnboundedReceiver<Vec<HealthReport>>,
) {
    let (events, mut rx) = mpsc::unbounded_channel();
    let mut follower = Follower {
        key: FrameKey::new(params.settings.key.as_bytes()),
        me: params.settings.instance.clone(),
        directory: Directory::default(),
        feeds: IndexMap::new(),
        table: Arc::new(Routing::default()),
        fetching: None,
        events,
        suspension: SuspensionWatch::default(),
        watch: SettingsWatch::new(params.file.clone()),
        params,
    };
    follower.follow_seeds();
    let mut tick = tokio::time::interval(TICK);
    loop {
        tokio::select! {
            Some((from, note)) = rx.recv() => follower.take(&from, note),
            Some(()) = reload.recv() => {
                let settings = follower.watch.reload();
                follower.take_settings(settings);
            }
            Some(troubles) = troubles.recv() => follower.report(&troubles),
            _ = tick.tick() => follower.tick(),
        }
        if follower.params.tx.is_closed() {
            return;
        }
    }
}

impl Follower {
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
        let (up, rx) = mpsc::unbounded_channel();
        let subscription = Subscription {
            controller: controller.clone(),
            me: self.offer(),
            address,
            key: self.key.clone(),
            events: self.events.clone(),
        };
        let task = tokio::task::spawn_local(subscription.keep(rx)).abort_handle();
        let heard = self.params.clock.now();
        let feed = Feed { up, task, heard, connected: false, entries: 0, zone_entries: Vec::new() };
        self.feeds.insert(controller.clone(), feed);
    }

    /// What this entry offers to others.
    fn offer(&self) -> EntryInfo {
        let settings = &self.params.settings;
        EntryInfo {
            entry: self.me.clone(),
            address: SocketAddr::new(settings.address, settings.inner_port),
            zone: settings.zone.clone(),
        }
    }

    fn note(&self, kind: &'static str, is_failure: bool, what: &serde_json::Value) {
        self.params.log.write(kind, is_failure, what);
    }

    fn tell(&self, event: FeedEvent) {
        // The traffic thread is gone only when the process ends.
        let _ = self.params.tx.send(event);
    }

    /// Tells the controllers which servers this entry has found not well.
    fn report(&self, troubles: &[HealthReport]) {
        for feed in self.feeds.values().filter(|f| f.connected) {
            // A feed that broke in this moment is opened anew.
            let _ = feed.up.send(FeedUp::HealthReports(troubles.to_vec()));
        }
    }

    fn take(&mut self, from: &InstanceId, note: FeedNote) {
        let now = self.params.clock.now();
        let Some(feed) = self.feeds.get_mut(from) else { return };
        match note {
            FeedNote::Connected => {
                feed.connected = true;
                feed.heard = now;
                self.note("feed", false, &json!({"belief": "feed_open", "controller": from}));
            }
            FeedNote::Lost(e) => {
                if std::mem::take(&mut feed.connected) {
                    let what = json!({
                        "belief": "feed_lost", "controller": from, "reason": e.to_string(),
                        "heard_ms_ago": now.since(feed.heard).as_millis() as u64,
                    });
                    self.note("feed_lost", true, &what);
                }
            }
            FeedNote::Down(message) => {
                feed.heard = now;
                self.directory.mark_feed_active(now, from);
                self.receive(now, from, *message);
            }
        }
    }

    fn receive(&mut self, now: Mono, from: &InstanceId, message: FeedDown) {
        match message {
            FeedDown::Servers(claims) => {
                let updates = self.directory.replace_feed(now, from, claims);
                self.tell_servers(updates);
            }
            FeedDown::Changes(changes) => {
                let updates = self.directory.update_feed(now, from, changes);
                self.tell_servers(updates);
            }
            FeedDown::FleetStatus(news) => self.take_news(now, from, &news),
            FeedDown::TableDelta(delta) => match self.table.apply(&delta) {
                Some(table) => self.take_table(table),
                None => self.fetch(now, from, TableVersion(0)),
            },
            FeedDown::Table(table) => self.take_table((*table).clone()),
            FeedDown::Entries(offers) => self.take_entries(from, offers),
            FeedDown::HealthReports(troubles) => {
                let told = troubles.into_iter();
                let told = told.map(|t| ServerHealthReport {
                    server: t.server,
                    slowness: f64::from(t.slowness_tenths) / 10.0,
                    unresponsive: t.unresponsive,
                });
                self.tell(FeedEvent::PeerReports(told.collect()));
            }
        }
    }

    fn tell_servers(&mut self, updates: Vec<ServerUpdate>) {
        if updates.is_empty() {
            return;
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
                let why = match stage {
                    hornbeam_protocol::discovery::LifeStage::Ready => "lapsed",
                    hornbeam_protocol::discovery::LifeStage::Draining => "draining",
                    hornbeam_protocol::discovery::LifeStage::Gone => "gone",
                };
                ServerChange::Unusable { server, reason: why }
            }
        });
        self.tell(FeedEvent::Servers(changes.collect()));
    }

    /// Takes the entries of the zone that one controller hears; all controllers together know them.
    fn take_entries(&mut self, from: &InstanceId, offers: Vec<EntryInfo>) {
        if let Some(feed) = self.feeds.get_mut(from) {
            feed.zone_entries = offers;
        }
        let offers = self.feeds.values().flat_map(|f| &f.zone_entries);
        let others = offers.filter(|o| o.entry != self.me);
        let peers: IndexMap<&InstanceId, &EntryInfo> = others.map(|o| (&o.entry, o)).collect();
        let peers = peers.into_values().map(|o| Peer {
            name: o.entry.clone(),
            address: o.address,
            zone: o.zone.clone(),
        });
        self.tell(FeedEvent::Peers(peers.collect()));
    }

    fn take_news(&mut self, now: Mono, from: &InstanceId, news: &FleetStatus) {
        for controller in &news.controllers {
            self.follow(controller);
        }
        if let Some(feed) = self.feeds.get_mut(from) {
            feed.entries = news.entries;
        }
        let entries = self.feeds.values().map(|f| f.entries).max().unwrap_or(0);
        if entries > 0 {
            self.tell(FeedEvent::EntryCount(entries));
        }
        let due = self.fetching.is_none_or(|at| now.since(at) >= FETCH_TIMEOUT);
        if news.table > self.table.version && due {
            self.fetch(now, from, self.table.version);
        }
    }

    fn fetch(&mut self, now: Mono, from: &InstanceId, have: TableVersion) {
        if let Some(feed) = self.feeds.get(from) {
            self.fetching = Some(now);
            // A feed that broke in this moment is asked again after the timeout.
            let _ = feed.up.send(FeedUp::FetchTable { have });
        }
    }

    fn take_table(&mut self, table: Routing) {
        self.fetching = None;
        if table.version <= self.table.version {
            return;
        }
        self.table = Arc::new(table);
        self.tell(FeedEvent::Table(self.table.clone()));
    }

    fn tick(&mut self) {
        let now = self.params.clock.now();
        let updates = self.directory.expire(now);
        self.tell_servers(updates);
        self.notice_suspension(now);
        let seeds = self.params.settings.seed_names();
        self.feeds.retain(|name, feed| {
            let keep = seeds.contains(name) || now.since(feed.heard) < FORGET_AFTER;
            if !keep {
                feed.task.abort();
            }
            keep
        });
        let fresh = self.directory.fresh_feeds(now);
        self.tell(FeedEvent::FeedCounts(FeedCounts { fresh, known: self.feeds.len() }));
        if let Some(settings) = self.watch.poll(now) {
            self.take_settings(settings);
        }
    }

    /// What was heard before a suspension is old: every feed is opened anew.
    fn notice_suspension(&mut self, now: Mono) {
        let Some(grown) = self.suspension.poll() else { return };
        let what = json!({"belief": "suspended", "for_ms": grown.as_millis() as u64});
        self.note("suspended", true, &what);
        for (_, feed) in std::mem::take(&mut self.feeds) {
            feed.task.abort();
        }
        self.fetching = None;
        self.follow_seeds();
        let updates = self.directory.expire(now);
        self.tell_servers(updates);
    }

    /// Takes changed settings; only the seeds can change while the program runs.
    fn take_settings(&mut self, settings: Result<FleetSettings, SettingsError>) {
        match settings {
            Ok(settings) => {
                self.params.settings.seeds = settings.seeds;
                let seeds = &self.params.settings.seeds;
                self.note("reload", false, &json!({"belief": "settings_reloaded", "seeds": seeds}));
                self.follow_seeds();
            }
            Err(e) => {
                let what = json!({"belief": "settings_kept", "reason": e.to_string()});
                self.note("reload_failed", true, &what);
            }
        }
    }
}

/// The connection to one controller.
struct Subscription {
    controller: InstanceId,
    me: EntryInfo,
    address: SocketAddr,
    key: FrameKey,
    events: mpsc::UnboundedSender<(InstanceId, FeedNote)>,
}

impl Subscription {
    /// Opens the feed again and again.
    async fn keep(self, mut rx: mpsc::UnboundedReceiver<FeedUp>) {
        let subscription = Rc::new(self);
        loop {
            let error = subscription.follow_once(&mut rx).await;
            subscription.tell(FeedNote::Lost(error));
            tokio::time::sleep(RETRY_EVERY).await;
        }
    }

    fn tell(&self, note: FeedNote) {
        // The receiver is gone only when the process ends.
        let _ = self.events.send((self.controller.clone(), note));
    }

    async fn follow_once(&self, rx: &mut mpsc::UnboundedReceiver<FeedUp>) -> std::io::Error {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return e,
            Err(_) => return std::io::ErrorKind::TimedOut.into(),
        };
        if let Err(e) = stream.set_nodelay(true) {
            return e;
        }
        self.tell(FeedNote::Connected);
        let (mut read, mut write) = stream.into_split();
        tokio::select! {
            e = self.listen(&mut read) => e,
            e = self.speak(&mut write, rx) => e,
        }
    }

    async fn listen<R: AsyncRead + Unpin>(&self, stream: &mut R) -> std::io::Error {
        loop {
            let frame = read_frame(stream, MAX_STREAM_BYTES, FEED_SILENCE);
            let frame = match tokio::time::timeout(FEED_SILENCE, frame).await {
                Ok(Ok(frame)) => frame,
                Ok(Err(e)) => return e,
                Err(_) => return std::io::ErrorKind::TimedOut.into(),
            };
            match self.key.open(&frame, MAX_STREAM_BYTES) {
                Ok(message) => self.tell(FeedNote::Down(Box::new(message))),
                Err(e) => return std::io::Error::other(e),
            }
        }
    }

    async fn speak<W: AsyncWrite + Unpin>(
        &self,
        stream: &mut W,
        rx: &mut mpsc::UnboundedReceiver<FeedUp>,
    ) -> std::io::Error {
        let mut message = FeedUp::Follow(self.me.clone());
        loop {
            let frame = match self.key.seal(&message, MAX_STREAM_BYTES) {
                Ok(frame) => frame,
                Err(e) => return std::io::Error::other(e),
            };
            if let Err(e) = write_frame(stream, &frame).await {
                return e;
            }
            let heartbeat = Duration::from_millis(FEED_HEARTBEAT_INTERVAL_MS);
            message = match tokio::time::timeout(heartbeat, rx.recv()).await {
                Ok(Some(message)) => message,
                Ok(None) => return std::io::ErrorKind::NotConnected.into(),
                Err(_) => FeedUp::Heartbeat,
            };
        }
    }
}
