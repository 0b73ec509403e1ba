//! Startup and shutdown of one instance.

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
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use smol_str::{SmolStr, format_smolstr};
use snafu::{ResultExt, Snafu};
use tokio::sync::{mpsc, oneshot};

use crate::backends::Backends;
use crate::client_limits::{ClientLimits, ClientShare};
use crate::clock::{Clock, unix_us};
use crate::connections::{ConnectionGroup, Connections};
use crate::control::net::{Incoming, Net, NetParams};
use crate::control::run::LocalStorage;
use crate::control::{ControlHandle, ControlThread};
use crate::http::app::{App, AppParams};
use crate::http::clients::{ClientAcceptor, Clients};
use crate::journal::EventLog;
use crate::memory::MemoryBudget;
use crate::metrics::Metrics;
use crate::socket;
use crate::traffic::{TrafficHandle, TrafficMessage, TrafficTask, init_attempt_labels};

/// The part of the process that clients and strangers may take.
const CLIENT_SHARE: ClientShare = ClientShare { memory_percent: 40, clients_per_mb: 6 };
/// Percentage of the memory that may hold replies of servers and requests to them.
const REPLY_MEMORY_PERCENT: usize = 25;
/// Longest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Number of control log entries after which a snapshot is taken.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 4_096;
/// Interval at which shutdown checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay between health turning to 503 and the refusal of new requests, so that load balancers can
/// stop sending first.
const DRAIN_NOTICE_DELAY: Duration = Duration::from_millis(300);
/// Time without a new request after which the listener closes. Closing it earlier would reset
/// connections that wait to be accepted and lose their requests.
const DRAIN_QUIET_PERIOD: Duration = Duration::from_millis(500);
/// Maximum time, with no request in flight, to wait for new requests to stop arriving.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason why an instance cannot start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// An address cannot be bound.
    #[snafu(display("cannot bind {address} ({source}): free the address or change {field}"))]
    Bind {
        /// Name of the setting that holds the address.
        field: &'static str,
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The data folder cannot be used.
    #[snafu(display("cannot use data folder {}: {source}", folder.display()))]
    Storage {
        /// The folder.
        folder: PathBuf,
        /// The cause.
        source: StorageError,
    },
    /// The control thread cannot start.
    #[snafu(display("cannot start the control thread ({source}): check the process limits"))]
    Thread {
        /// The cause.
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
    /// Returns an error if an address cannot be bound, the data folder cannot be used, or the
    /// control thread cannot start.
    pub async fn start(settings: Settings) -> Result<Self, NodeError> {
        Self::start_with_incarnation(settings, Incarnation(unix_us())).await
    }

    /// Starts an instance with the given incarnation, which is also its session number towards
    /// other instances. It may be lower than that of the previous start, as after a clock that
    /// jumped back.
    ///
    /// # Errors
    ///
    /// Returns an error under the same conditions as [`Node::start`].
    pub async fn start_with_incarnation(
        settings: Settings,
        incarnation: Incarnation,
    ) -> Result<Self, NodeError> {
        let settings = Arc::new(settings);
        let clock = Clock::start();
        let metrics = Metrics::default();
        init_attempt_labels(&metrics);
        let events = EventLog::new(settings.instance.clone());
        events.record(Event::ProcessStarted {
            instance: settings.instance.clone(),
            zone: SmolStr::new(settings.zone.as_str()),
            incarnation,
        });
        let traffic = start_traffic(&settings, clock, incarnation, &events, &metrics);
        let limits = ClientLimits::new(settings.memory_mb, settings.descriptors, CLIENT_SHARE);
        let connections = Connections::new(MemoryBudget::new(limits.memory));
        let clients = Clients::new(connections.group(limits.clients));
        let (control, rx) = ControlHandle::new();
        let ready = Arc::new(AtomicBool::new(false));
        let thread_params = ControlThreadParams {
            settings: settings.clone(),
            clock,
            incarnation,
            traffic: traffic.clone(),
            events: events.clone(),
            metrics: metrics.clone(),
            ready: ready.clone(),
            strangers: connections.group(limits.strangers),
        };
        let control_thread = start_control(thread_params, rx).await?;
        let params = AppParams {
            settings: settings.clone(),
            incarnation,
            clock,
            traffic,
            control,
            events,
            metrics,
            ready,
            clients: clients.clone(),
        };
        let app = App::new(params);
        let address = settings.http;
        let listener = socket::listen_for_clients(address).await;
        let acceptor = listener.and_then(TcpAcceptor::try_from);
        let acceptor = acceptor.context(BindSnafu { field: "http", address })?;
        let mut server = Server::new(ClientAcceptor { listener: acceptor, clients });
        server.http1_mut().max_buf_size(MAX_HEAD_BYTES);
        let handle = server.handle();
        let serving = tokio::spawn(server.serve(crate::http::router(&app)));
        Ok(Self { app, server: handle, serving, control_thread })
    }

    /// Returns the state that the HTTP handlers share.
    pub fn app(&self) -> &Arc<App> {
        &self.app
    }

    /// Shuts down: health turns to 503, new requests are refused, in-flight requests end, then all
    /// threads stop.
    ///
    /// The first signal on `repeated_signals` during the wait is only recorded as an event; the
    /// second abandons the in-flight requests.
    pub async fn shut_down(self, repeated_signals: &mut mpsc::UnboundedReceiver<()>) {
        let app = &self.app;
        app.set_draining();
        app.events.record(Event::DrainStarted { in_flight: app.in_flight_requests() as u64 });
        tokio::time::sleep(DRAIN_NOTICE_DELAY).await;
        // From here on, new requests are refused with 503 while in-flight ones run to their end.
        let _ = app.traffic.send(TrafficMessage::Drain);
        self.wait_for_requests(repeated_signals).await;
        app.control.leave().await;
        if app.in_flight_requests() == 0 {
            app.events.record(Event::ProcessStopped {});
        }
        self.server.stop_graceful(Duration::from_millis(200));
        let _ = self.serving.await;
        drop(self.app);
        let joined = tokio::task::spawn_blocking(move || self.control_thread.join());
        let _ = tokio::time::timeout(Duration::from_secs(2), joined).await;
    }
}

impl Node {
    /// Waits until no request is in flight and none has arrived for [`DRAIN_QUIET_PERIOD`], or none
    /// has been in flight for [`DRAIN_IDLE_TIMEOUT`]. The second repeated signal ends the wait.
    async fn wait_for_requests(&self, repeated_signals: &mut mpsc::UnboundedReceiver<()>) {
        let app = &self.app;
        let mut signal_count = 0;
        let mut idle_since = app.clock.now();
        loop {
            let now = app.clock.now();
            if app.in_flight_requests() > 0 {
                idle_since = now;
            }
            let quiet = now.since(app.last_request_at()) >= DRAIN_QUIET_PERIOD;
            let timed_out = now.since(idle_since) >= DRAIN_IDLE_TIMEOUT;
            if app.in_flight_requests() == 0 && (quiet || timed_out) {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(DRAIN_POLL_INTERVAL) => {}
                Some(()) = repeated_signals.recv() => {
                    signal_count += 1;
                    let in_flight = app.in_flight_requests() as u64;
                    if signal_count > 1 {
                        app.events.record(Event::RequestsAbandoned { in_flight });
                        return;
                    }
                    app.events.record(Event::SignalRepeated { in_flight });
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
    let memory = (settings.memory_mb as usize) << 20;
    let memory = MemoryBudget::new(memory / 100 * REPLY_MEMORY_PERCENT);
    let traffic = TrafficTask {
        engine: Engine::new(params, Roster::new(roster)),
        clock,
        backends: Backends::new(clock, prefix, results_tx).with_memory(memory),
        events: events.clone(),
        metrics: metrics.clone(),
        callers: HashMap::new(),
        exported: Counters::default(),
    };
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(traffic.run(rx, results_rx));
    tx
}

struct ControlThreadParams {
    settings: Arc<Settings>,
    clock: Clock,
    incarnation: Incarnation,
    traffic: TrafficHandle,
    events: EventLog,
    metrics: Metrics,
    ready: Arc<AtomicBool>,
    strangers: ConnectionGroup,
}

async fn start_control(
    params: ControlThreadParams,
    rx: mpsc::UnboundedReceiver<crate::control::ControlRequest>,
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
        Err(_) => Err(NodeError::Thread {
            source: std::io::Error::other("the thread ended before it reported a result"),
        }),
    }
}

async fn open_control(
    params: ControlThreadParams,
) -> Result<(ControlThread, Incoming, Vec<RaftOutput>), NodeError> {
    let s = &params.settings;
    let now = params.clock.now();
    let mut recovered = Vec::new();
    let storage = open_storage(s, now, &mut recovered)?;
    let saved_config = match &storage {
        LocalStorage::Voter(voter) => voter.saved_config(),
        LocalStorage::Folder(folder) => saved_config(folder),
        LocalStorage::None => None,
    };
    let net = NetParams {
        me: s.instance.clone(),
        address: s.inner,
        key: FrameKey::new(s.key.bytes()),
        session: params.incarnation.0,
        addresses: s.peers.iter().map(|p| (p.instance.clone(), p.inner)).collect(),
        metrics: params.metrics.clone(),
        events: params.events.clone(),
        strangers: params.strangers,
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
        storage,
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

/// Opens the data folder, if one is set, and the voter in it if this instance has the control role.
fn open_storage(
    s: &Settings,
    now: Mono,
    recovered: &mut Vec<RaftOutput>,
) -> Result<LocalStorage, NodeError> {
    let Some(path) = &s.data_dir else { return Ok(LocalStorage::None) };
    let folder = Folder::open(path).map_err(|source| match source.kind() {
        std::io::ErrorKind::WouldBlock => StorageError::Locked,
        _ => StorageError::Io { operation: "opening the data folder", source },
    });
    let folder = folder.context(StorageSnafu { folder: path })?;
    if !s.has_role(Role::Control) {
        return Ok(LocalStorage::Folder(folder));
    }
    let params = RaftParams {
        me: s.instance.clone(),
        initial_voters: s.voters.clone(),
        nonce: rand::random(),
        seed: s.seed.unwrap_or_else(rand::random),
        snapshot_interval_entries: SNAPSHOT_INTERVAL_ENTRIES,
        repair: None,
        founding_wait: Duration::ZERO,
    };
    let voter = Voter::open(now, folder, params, DiskId(rand::random()), recovered);
    Ok(LocalStorage::Voter(Box::new(voter.context(StorageSnafu { folder: path })?)))
}
