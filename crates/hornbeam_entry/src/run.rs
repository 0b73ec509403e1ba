//! Starts, runs and drains an entry.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use hornbeam_model::{Mono, TeamUsage};
use hornbeam_node::client_limits::{ClientLimits, ClientShare};
use hornbeam_node::clock::Clock;
use hornbeam_node::connections::{ConnectionGroup, Connections};
use hornbeam_node::memory::MemoryBudget;
use hornbeam_node::pages::{Pages, serve};
use hornbeam_node::program::{self, BindSnafu, ProgramError, StartSnafu};
use hornbeam_node::socket;
use hornbeam_node::structured::StructuredLog;
use hornbeam_protocol::FrameKey;
use hornbeam_protocol::discovery::HealthReport;
use hornbeam_route::{
    ColdBounds, ControllerContact, Engine, EngineParams, Input, QuotaBounds, RetryBudgetParams,
    ServerChange, SpillParams,
};
use hornbeam_settings::{FleetSettings, WarmUpSettings};
use hyper::StatusCode;
use serde_json::json;
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::core::{Core, run_timer};
use crate::dialect::Dialect;
use crate::feeds::{EntryReport, FeedEvent, FeedParams};
use crate::front::{Stage, accept};
use crate::group_exchange::{self, GroupExchange};
use crate::metrics::Metrics;
use crate::team_usage::send_team_usage;

/// Time for which an attempt that is no longer needed may finish so that its connection can be
/// reused: work that finishes sooner than a new connection opens is worth keeping, but work for a
/// disconnected caller has to stop within half a second.
const LINGER: Duration = Duration::from_millis(300);
/// Percentage of the grace period for which new connections are accepted after SIGTERM: at its
/// end callers have moved to other entries, and requests that arrived before it have the other half
/// to finish.
const ACCEPT_PERCENT: u32 = 50;
/// Time before the end of the grace period at which requests still in flight get their final
/// response.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(800);
/// Time before the end of the grace period at which the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of requests in flight per megabyte of memory; a request with its shard responses
/// takes about 100 KB.
const MAX_REQUESTS_PER_MB: usize = 4;
/// Percentage of the memory that may hold what servers and other entries send. Merging and encoding hold
/// copies besides.
const MESSAGE_MEMORY_PERCENT: usize = 40;
/// The part of the process that callers and strangers may take.
const CLIENT_SHARE: ClientShare = ClientShare { memory_percent: 20, clients_per_mb: 6 };
/// Interval at which a draining entry checks whether all requests and connections have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Interval of the health reports about backend servers.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs an entry until SIGTERM and then drains it; SIGHUP reloads the settings.
///
/// # Errors
///
/// Returns an error if the settings cannot be used, an address cannot be bound, or a thread or
/// signal handler cannot be started.
pub fn run(file: &Path, dialect: Dialect) -> Result<(), ProgramError> {
    program::run(file, |settings, log| serve_entry(settings, file, dialect, log))
}

fn engine_params(settings: &FleetSettings) -> EngineParams {
    EngineParams {
        name: settings.instance.clone(),
        zone: settings.zone.clone(),
        budget: RetryBudgetParams {
            percent: (settings.budget.ratio * 100.0).round() as u32,
            window: Duration::from_secs(u64::from(settings.budget.window_s)),
            allowance: settings.budget.allowance,
        },
        quota: QuotaBounds {
            window: Duration::from_secs_f64(settings.quota.window_s),
            overshoot: settings.quota.overshoot,
            tolerance: settings.quota.tolerance,
        },
        delegate_above: settings.delegate_above,
        max_in_flight: settings.memory_mb as usize * MAX_REQUESTS_PER_MB,
        linger: LINGER,
        seed: rand::random(),
    }
}

/// Returns the engine of an entry, without a routing table or servers.
fn engine(settings: &FleetSettings, now: Mono) -> Engine {
    let mut engine = Engine::new(engine_params(settings)).with_regions(settings.zone_regions());
    let WarmUpSettings { overshoot, tolerance } = settings.warm_up;
    engine.set_cold_bounds(ColdBounds { overshoot, tolerance });
    if let Some(spill) = settings.zone_spill {
        let time = |ms: f64| Duration::from_secs_f64(ms / 1e3);
        let params = SpillParams {
            min_gain: spill.min_gain_ms.map(time),
            gain_per_kb: time(spill.byte_cost),
        };
        engine.enable_zone_spill(now, params);
    }
    engine
}

async fn serve_entry(
    settings: FleetSettings,
    file: &Path,
    dialect: Dialect,
    log: StructuredLog,
) -> Result<(), ProgramError> {
    let mut term = signal(SignalKind::terminate()).context(StartSnafu { what: "SIGTERM" })?;
    let mut hup = signal(SignalKind::hangup()).context(StartSnafu { what: "SIGHUP" })?;
    let clock = Clock::start();
    let metrics = Metrics::default();
    let engine = engine(&settings, clock.now());
    let ready_path = dialect.ready_path.clone();
    let key = FrameKey::new(settings.key.as_bytes());
    let group_exchange = GroupExchange::new(settings.instance.clone(), key);
    let budget = (settings.memory_mb as usize) << 20;
    let memory = MemoryBudget::new(budget / 100 * MESSAGE_MEMORY_PERCENT);
    let core = Core::new(engine, clock, dialect, metrics, log.clone(), group_exchange, memory);
    let strict_window = settings.revocation.strict_window();
    let contact = ControllerContact { strict_window, ..ControllerContact::default() };
    core.step(Input::ControllerContact(contact));
    let (stage_tx, stage) = watch::channel(Stage::Serving);

    let callers = settings.callers.ok_or(ProgramError::Missing { field: "callers" })?;
    let limits = ClientLimits::new(settings.memory_mb, settings.descriptors, CLIENT_SHARE);
    let connections = Connections::new(MemoryBudget::new(limits.memory));
    let caller_group = connections.group(limits.clients);
    // Responses that callers do not take hold the memory for others.
    let reclaimed = connections.clone();
    core.memory.reclaim_by(move || {
        reclaimed.displace_unsent();
    });
    let listener = socket::listen_for_clients(callers).await;
    let listener = listener.context(BindSnafu { field: "callers", address: callers })?;
    if let Some(address) = settings.ready {
        let pages = ready_pages(&core, stage.clone(), ready_path);
        let group = connections.group(limits.pages);
        serve(address, group, pages).await.context(BindSnafu { field: "ready", address })?;
    }
    let (metrics, open) = (core.metrics.clone(), connections.clone());
    program::serve_metrics(settings.metrics, connections.group(limits.pages), move || {
        metrics.set_clients(&open);
        metrics.text()
    })
    .await?;
    let inner = settings.bind_address(SocketAddr::new(settings.address, settings.inner_port));
    let group_listener = socket::listen(inner, socket::PEERS).await;
    let group_listener =
        group_listener.context(BindSnafu { field: "inner_port", address: inner })?;
    let strangers = connections.group(limits.strangers);
    tokio::task::spawn_local(group_exchange::accept(core.clone(), group_listener, strangers));
    let (reload_tx, reload) = mpsc::unbounded_channel();
    let (reports_tx, reports) = mpsc::unbounded_channel();
    let (usage_tx, usage) = mpsc::unbounded_channel();
    let (tx, mut events) = mpsc::unbounded_channel();
    let grace = settings.grace();
    let fields = json!({"lifecycle": "started", "role": "entry", "zone": settings.zone});
    log.write("lifecycle", false, &fields);
    let params = FeedParams { settings, file: file.to_owned(), clock, log: log.clone(), tx };
    start_feeds(params, reload, reports, usage)?;
    tokio::task::spawn_local(accept(core.clone(), listener, stage, caller_group.clone()));
    tokio::task::spawn_local(run_timer(core.clone()));
    tokio::task::spawn_local(send_reports(core.clone(), reports_tx));
    tokio::task::spawn_local(send_team_usage(core.clone(), usage_tx));
    let sweeper = core.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            sweeper.backends().sweep();
        }
    });
    loop {
        tokio::select! {
            Some(event) = events.recv() => on_feed_event(&core, event),
            _ = hup.recv() => {
                // The control thread ends only with the process.
                let _ = reload_tx.send(());
            }
            _ = term.recv() => break,
        }
    }
    log.write("lifecycle", false, &json!({"lifecycle": "draining"}));
    core.stop_accepting_groups();
    let drain = drain(&core, &caller_group, &stage_tx, grace);
    let mut drain = std::pin::pin!(drain);
    loop {
        tokio::select! {
            Some(event) = events.recv() => on_feed_event(&core, event),
            () = drain.as_mut() => break,
        }
    }
    let in_flight = core.with_engine(Engine::in_flight);
    log.write("lifecycle", false, &json!({"lifecycle": "stopped", "in_flight": in_flight}));
    tokio::time::sleep(2 * DRAIN_POLL_INTERVAL).await;
    Ok(())
}

fn start_feeds(
    params: FeedParams,
    reload: mpsc::UnboundedReceiver<()>,
    reports: mpsc::UnboundedReceiver<EntryReport>,
    usage: mpsc::UnboundedReceiver<Vec<TeamUsage>>,
) -> Result<(), ProgramError> {
    let body = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        match runtime {
            Ok(runtime) => {
                let local = tokio::task::LocalSet::new();
                local.block_on(&runtime, crate::feeds::run(params, reload, reports, usage));
            }
            Err(e) => log::error!(
                "the runtime of the control thread cannot start ({e}): check the process limits"
            ),
        }
    };
    let thread = std::thread::Builder::new().name("control".to_owned()).spawn(body);
    thread.map(drop).context(StartSnafu { what: "the control thread" })
}

/// Sends the engine's demand and its health reports about servers to the control thread at
/// intervals.
async fn send_reports(core: Rc<Core>, tx: mpsc::UnboundedSender<EntryReport>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let now = core.clock.now();
        let (demand, reports) = core.with_engine(|e| (e.request_rate(now), e.health_reports(now)));
        let rates = core.rate_reports();
        let crashes = core.take_crash_reports();
        let health = reports.into_iter().map(|r| {
            let slowness_tenths = (r.slowness * 10.0).min(f64::from(u16::MAX)) as u16;
            HealthReport { server: r.server, slowness_tenths, unresponsive: r.unresponsive }
        });
        if tx.send(EntryReport { demand, health: health.collect(), rates, crashes }).is_err() {
            return;
        }
    }
}

fn on_feed_event(core: &Rc<Core>, event: FeedEvent) {
    match event {
        FeedEvent::Servers(changes) => {
            for change in &changes {
                if let ServerChange::Unusable { server, .. } = change {
                    core.backends().close(server);
                }
            }
            core.step(Input::Servers(changes));
            let usable = core.with_engine(Engine::usable_servers);
            core.metrics.usable_servers.set(usable as i64);
        }
        FeedEvent::ZoneOrders(orders) => {
            core.step(Input::ZoneOrders(orders));
            let zones = core.with_engine(Engine::evacuated_zones);
            core.metrics.evacuated_zones.set(zones as i64);
        }
        FeedEvent::Table(table) => {
            core.metrics.table_version.set(table.version.0 as i64);
            core.step(Input::Table(table));
        }
        FeedEvent::Contact(contact) => core.step(Input::ControllerContact(contact)),
        FeedEvent::Peers(peers) => {
            let names: Vec<_> = peers.iter().map(|p| p.name.clone()).collect();
            core.group_exchange.retain_peers(&names);
            core.step(Input::Peers(peers));
        }
        FeedEvent::PeerReports(reports) => core.step(Input::PeerHealthReports(reports)),
        FeedEvent::CrashReports(reports) => core.step(Input::CrashReports(reports)),
        FeedEvent::TeamUsage { controller, usage } => {
            core.step(Input::TeamUsage { controller, usage });
        }
        FeedEvent::RateReports(reports) => core.step(Input::RateReports(reports)),
        FeedEvent::FleetDemand(rate) => core.step(Input::FleetDemand(rate)),
        FeedEvent::EntryCount(entries) => core.step(Input::EntryCount(entries)),
        FeedEvent::FeedCounts(feeds) => {
            core.step(Input::CutOff(feeds.fresh < feeds.known));
            core.on_feed_counts(feeds);
        }
    }
}

fn ready_pages(core: &Rc<Core>, stage: watch::Receiver<Stage>, path: String) -> Pages {
    let core = core.clone();
    Rc::new(move |requested| {
        if requested != path {
            return None;
        }
        let serving = *stage.borrow() == Stage::Serving && !core.is_isolated();
        let has_servers = core.with_engine(|e| e.table().is_some() && e.usable_servers() > 0);
        let status =
            if serving && has_servers { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Some((status, Vec::new()))
    })
}

/// Fails the readiness check and closes each connection after its response, so that callers move to
/// other entries; then accepts no more connections, closes idle ones, and waits until the requests
/// in flight have their responses.
async fn drain(
    core: &Rc<Core>,
    callers: &ConnectionGroup,
    stage: &watch::Sender<Stage>,
    grace: Duration,
) {
    stage.send_replace(Stage::Draining);
    let started_at = tokio::time::Instant::now();
    let stops_after = grace.saturating_sub(FINAL_RESPONSE_MARGIN);
    core.step(Input::StopAt(core.clock.now() + stops_after));
    tokio::time::sleep(grace * ACCEPT_PERCENT / 100).await;
    stage.send_replace(Stage::Closing);
    let in_flight = || callers.open() + core.group_exchange.gathering_count() > 0;
    let wait_until = async |end| {
        while in_flight() && tokio::time::Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    wait_until(started_at + stops_after).await;
    core.step(Input::Stop);
    stage.send_replace(Stage::Stopped);
    wait_until(started_at + grace.saturating_sub(EXIT_MARGIN)).await;
    // Leaves time for the last responses to be written to the sockets.
    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
}
