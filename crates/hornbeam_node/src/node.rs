//! Starts and stops one instance.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use hornbeam_control::voter::saved_config;
use hornbeam_control::{ConfigFollower, FollowerParams, RaftOutput, RaftParams, Voter};
use hornbeam_events::Event;
use hornbeam_membership::{Membership, MembershipParams};
use hornbeam_model::{Incarnation, Mono};
use hornbeam_protocol::FrameKey;
use hornbeam_protocol::control::DiskId;
use hornbeam_query::{Counters, Engine, EngineParams, HedgePolicy};
use hornbeam_settings::{Role, Settings};
use hornbeam_storage::{Folder, StorageError};
use hornbeam_traffic::Roster;
use salvo::Server;
use salvo::conn::{Acceptor, Listener, TcpListener};
use salvo::server::ServerHandle;
use smol_str::{SmolStr, format_smolstr};
use snafu::{ResultExt, Snafu};
use tokio::sync::{mpsc, oneshot};

use crate::backends::Backends;
use crate::clock::{Clock, unix_us};
use crate::control::net::{Incoming, Net, NetParams};
use crate::control::run::Disk;
use crate::control::{ControlHandle, ControlThread};
use crate::http::app::{App, AppParts};
use crate::journal::EventLog;
use crate::metrics::Metrics;
use crate::traffic::{Traffic, TrafficHandle, TrafficMessage, touch_labels};

/// HTTP connections accepted at once.
const MAX_CONNECTIONS: usize = 16_384;
/// Entries of the control log after which a snapshot is taken.
const SNAPSHOT_EVERY: u64 = 4_096;
/// Time between two looks at whether shutdown is complete.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time between health turning to 503 and new requests being refused, so that balancers notice.
const DRAIN_NOTICE: Duration = Duration::from_millis(300);
/// Time without a new request after which the listener closes. Closing it earlier would reset
/// connections that wait to be accepted, with their requests.
const DRAIN_QUIET: Duration = Duration::from_millis(500);
/// Longest time for which new requests are refused, once none is in flight.
const DRAIN_LINGER: Duration = Duration::from_secs(5);

/// An instance that cannot start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// An address cannot be bound.
    #[snafu(display("{address} cannot be bound ({source}): free it or change {field}"))]
    Bind {
        /// The setting.
        field: &'static str,
        /// The address.
        address: std::net::SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// The data folder cannot be used.
    #[snafu(display("data folder {}: {source}", folder.display()))]
    Storage {
        /// The folder.
        folder: PathBuf,
        /// Why not.
        source: StorageError,
    },
    /// The control thread cannot start.
    #[snafu(display("the control thread cannot start ({source}): check the process limits"))]
    Thread {
        /// Why not.
        source: std::io::Error,
    },
}

/// A running instance.
pub struct Node {
    app: Arc<App>,
    server: ServerHandle,
    serving: tokio::task::JoinHandle<()>,
    control_thread: std::thread::JoinHandle<()>,
}

impl Node {
    /// Starts an instance on the current runtime.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or the data folder cannot be used.
    pub async fn start(settings: Settings) -> Result<Self, NodeError> {
        Self::start_as(settings, Incarnation(unix_us())).await
    }

    /// Starts an instance under a given incarnation, which also numbers its session towards others.
    /// It need not be higher than that of the start before: the clock may have jumped back.
    ///
    /// # Errors
    ///
    /// As for [`Node::start`].
    pub async fn start_as(settings: Settings, incarnation: Incarnation) -> Result<Self, NodeError> {
        let settings = Arc::new(settings);
        let clock = Clock::start();
        let metrics = Metrics::default();
        touch_labels(&metrics);
        let events = EventLog::new(settings.instance.clone());
        events.note(Event::ProcessStarted {
            instance: settings.instance.clone(),
            zone: SmolStr::new(settings.zone.as_str()),
            incarnation,
        });
        let traffic = start_traffic(&settings, clock, incarnation, &events, &metrics);
        let (control, rx) = ControlHandle::new();
        let ready = Arc::new(AtomicBool::new(false));
        let thread = ThreadParams {
            settings: settings.clone(),
            clock,
            incarnation,
            traffic: traffic.clone(),
            events: events.clone(),
            metrics: metrics.clone(),
            ready: ready.clone(),
        };
        let control_thread = start_control(thread, rx).await?;
        let parts = AppParts {
            settings: settings.clone(),
            incarnation,
            clock,
            traffic,
            control,
            events,
            metrics,
            ready,
        };
        let app = App::new(parts);
        let address = settings.http;
        let acceptor = TcpListener::new(address).try_bind().await.map_err(|e| NodeError::Bind {
            field: "http",
            address,
            source: std::io::Error::other(e),
        })?;
        debug_assert!(!acceptor.holdings().is_empty());
        let server = Server::new(acceptor).max_connections(MAX_CONNECTIONS);
        let handle = server.handle();
        let serving = tokio::spawn(server.serve(crate::http::router(&app)));
        Ok(Self { app, server: handle, serving, control_thread })
    }

    /// What the handlers share.
    pub fn app(&self) -> &Arc<App> {
        &self.app
    }

    /// Shuts down: health 503, no new requests, requests in flight end, then everything stops.
    ///
    /// A signal on `again` is noted while it waits; a second one gives up on what is in flight.
    pub async fn shut_down(self, again: &mut mpsc::UnboundedReceiver<()>) {
        let app = &self.app;
        app.set_draining();
        app.events.note(Event::DrainStarted { in_flight: app.requests() as u64 });
        tokio::time::sleep(DRAIN_NOTICE).await;
        // From here on new requests are refused with 503; those in flight end.
        let _ = app.traffic.send(TrafficMessage::Drain);
        self.wait_for_requests(again).await;
        app.control.leave().await;
        if app.requests() == 0 {
            app.events.note(Event::ProcessStopped {});
        }
        self.server.stop_graceful(Duration::from_millis(200));
        let _ = self.serving.await;
        drop(self.app);
        let joined = tokio::task::spawn_blocking(move || self.control_thread.join());
        let _ = tokio::time::timeout(Duration::from_secs(2), joined).await;
    }
}

impl Node {
    /// Waits until no request is in flight and none has come for a while. Further signals are noted;
    /// the second one of them ends the wait.
    async fn wait_for_requests(&self, again: &mut mpsc::UnboundedReceiver<()>) {
        let app = &self.app;
        let mut signals = 0;
        let mut idle_since = app.clock.now();
        loop {
            let now = app.clock.now();
            if app.requests() > 0 {
                idle_since = now;
            }
            let quiet = now.since(app.last_request()) >= DRAIN_QUIET;
            let lingered = now.since(idle_since) >= DRAIN_LINGER;
            if app.requests() == 0 && (quiet || lingered) {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(DRAIN_POLL) => {}
                Some(()) = again.recv() => {
                    signals += 1;
                    let in_flight = app.requests() as u64;
                    if signals > 1 {
                        app.events.note(Event::RequestsAbandoned { in_flight });
                        return;
                    }
                    app.events.note(Event::SignalRepeated { in_flight });
                }
            }
        }
    }
}

fn start_traffic(
    settings: &Settings,
    clock: Clock,
    incarnation: Incarnation,
    events: &EventLog,
    metrics: &Metrics,
) -> TrafficHandle {
    let roster = std::iter::once(settings.instance.clone())
        .chain(settings.peers.iter().map(|p| p.instance.clone()));
    let params = EngineParams {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        max_running: settings.max_in_flight,
        hedge: HedgePolicy::Learned,
        random_pick: false,
        seed: settings.seed.unwrap_or_else(rand::random),
    };
    let (results_tx, results_rx) = mpsc::unbounded_channel();
    let prefix = format_smolstr!("{}.{incarnation}", settings.instance);
    let traffic = Traffic {
        engine: Engine::new(params, Roster::new(roster)),
        clock,
        backends: Backends::new(clock, prefix, results_tx),
        events: events.clone(),
        metrics: metrics.clone(),
        callers: HashMap::new(),
        counted: Counters::default(),
    };
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(traffic.run(rx, results_rx));
    tx
}

struct ThreadParams {
    settings: Arc<Settings>,
    clock: Clock,
    incarnation: Incarnation,
    traffic: TrafficHandle,
    events: EventLog,
    metrics: Metrics,
    ready: Arc<AtomicBool>,
}

async fn start_control(
    params: ThreadParams,
    rx: mpsc::UnboundedReceiver<crate::control::ControlMessageIn>,
) -> Result<std::thread::JoinHandle<()>, NodeError> {
    let (ready_tx, ready_rx) = oneshot::channel();
    let body = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(source) => return drop(ready_tx.send(Err(NodeError::Thread { source }))),
        };
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async move {
            match open_control(params).await {
                Ok((thread, incoming, recovered)) => {
                    let _ = ready_tx.send(Ok(()));
                    thread.run(rx, incoming, recovered).await;
                }
                Err(e) => drop(ready_tx.send(Err(e))),
            }
        });
    };
    let thread =
        std::thread::Builder::new().name("control".to_owned()).spawn(body).context(ThreadSnafu)?;
    match ready_rx.await {
        Ok(Ok(())) => Ok(thread),
        Ok(Err(e)) => Err(e),
        Err(_) => Err(NodeError::Thread { source: std::io::Error::other("it ended early") }),
    }
}

async fn open_control(
    params: ThreadParams,
) -> Result<(ControlThread, Incoming, Vec<RaftOutput>), NodeError> {
    let s = &params.settings;
    let now = params.clock.now();
    let mut recovered = Vec::new();
    let disk = open_disk(s, now, &mut recovered)?;
    let saved_config = match &disk {
        Disk::Voter(voter) => voter.saved_config(),
        Disk::Folder(folder) => saved_config(folder),
        Disk::None => None,
    };
    let net = NetParams {
        me: s.instance.clone(),
        address: s.inner,
        key: FrameKey::new(s.key.bytes()),
        session: params.incarnation.0,
        addresses: s.peers.iter().map(|p| (p.instance.clone(), p.inner)).collect(),
        metrics: params.metrics.clone(),
        events: params.events.clone(),
    };
    let address = s.inner;
    let opened = Net::open(net).await;
    let (net, incoming) = opened.context(BindSnafu { field: "inner", address })?;
    let membership = Membership::new(MembershipParams {
        instance: s.instance.clone(),
        zone: s.zone.clone(),
        incarnation: params.incarnation,
        lease: s.lease,
        peers: s.peers.iter().map(|p| (p.instance.clone(), p.zone.clone())).collect(),
        seed: s.seed.unwrap_or_else(rand::random),
    });
    let follower = FollowerParams {
        peers: s.peers.iter().map(|p| p.instance.clone()).collect(),
        confirmation_timeout: s.config_wait,
        saved_config,
        seed: s.seed.unwrap_or_else(rand::random),
    };
    let thread = ControlThread {
        membership,
        follower: ConfigFollower::new(now, follower),
        disk,
        net,
        clock: params.clock,
        traffic: params.traffic,
        events: params.events,
        metrics: params.metrics,
        ready: params.ready,
        peer_revisions: HashMap::new(),
        proposals: HashMap::new(),
        next_proposal: 1,
    };
    Ok((thread, incoming, recovered))
}

/// Opens the data folder, if there is one, and the voter in it, if this instance votes.
fn open_disk(s: &Settings, now: Mono, recovered: &mut Vec<RaftOutput>) -> Result<Disk, NodeError> {
    let Some(path) = &s.data_dir else { return Ok(Disk::None) };
    let folder = Folder::open(path).map_err(|source| match source.kind() {
        std::io::ErrorKind::WouldBlock => StorageError::Locked,
        _ => StorageError::Io { operation: "opening the data folder", source },
    });
    let folder = folder.context(StorageSnafu { folder: path })?;
    if !s.has_role(Role::Control) {
        return Ok(Disk::Folder(folder));
    }
    let params = RaftParams {
        me: s.instance.clone(),
        initial_voters: s.voters.clone(),
        nonce: rand::random(),
        seed: s.seed.unwrap_or_else(rand::random),
        snapshot_interval_entries: SNAPSHOT_EVERY,
        repair: None,
    };
    let voter = Voter::open(now, folder, params, DiskId(rand::random()), recovered);
    Ok(Disk::Voter(Box::new(voter.context(StorageSnafu { folder: path })?)))
}
