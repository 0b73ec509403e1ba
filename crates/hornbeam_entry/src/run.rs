//! Starts and stops an entry.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use hornbeam_node::clock::Clock;
use hornbeam_node::pages::{Pages, serve};
use hornbeam_node::program::{self, BindSnafu, ProgramError, StartSnafu};
use hornbeam_node::structured::StructuredLog;
use hornbeam_protocol::FrameKey;
use hornbeam_protocol::discovery::HealthReport;
use hornbeam_route::{Engine, EngineParams, Input, RetryBudgetParams, ServerChange};
use hornbeam_settings::FleetSettings;
use hyper::StatusCode;
use serde_json::json;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::core::{Core, run_timer};
use crate::dialect::Dialect;
use crate::feeds::{FeedEvent, FeedParams};
use crate::front::{Stage, accept};
use crate::group_exchange::{self, GroupExchange};
use crate::metrics::Metrics;

/// Time for which an attempt that nobody waits for may go on: work that ends sooner than a new
/// connection is worth keeping, and a caller that left wants its work stopped within half a second.
const LINGER: Duration = Duration::from_millis(300);
/// Part of the grace period, in hundredths, for which new connections are served after SIGTERM: callers
/// have looked away by then, and what comes has the other half to end.
const NOTICE_PERCENT: u32 = 50;
/// Time before the end of the grace period at which what is still in flight gets its final answer.
const LAST_ANSWERS: Duration = Duration::from_millis(800);
/// Time before the end of the grace period at which the process ends.
const LAST_MOMENT: Duration = Duration::from_millis(500);
/// Requests in flight for each megabyte of memory; a request with its parts takes some 100 KB.
const REQUESTS_PER_MB: usize = 4;
/// Time between two looks whether everything has ended.
const DRAIN_POLL: Duration = Duration::from_millis(25);
/// Time between two reports of servers that are not well.
const REPORT_EVERY: Duration = Duration::from_millis(400);
/// Time between two sweeps of idle connections.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// Runs an entry until it is told to stop.
///
/// # Errors
///
/// The settings, an address or a thread is missing.
pub fn run(file: &Path, dialect: Dialect) -> Result<(), ProgramError> {
    program::run(file, |settings, log| serve_entry(settings, file, dialect, log))
}

fn engine_params(settings: &FleetSettings) -> EngineParams {
    EngineParams {
        zone: settings.zone.clone(),
        budget: RetryBudgetParams {
            percent: (settings.budget.ratio * 100.0).round() as u32,
            window: Duration::from_secs(u64::from(settings.budget.window_s)),
            allowance: settings.budget.allowance,
        },
        delegate_above: settings.delegate_above,
        max_in_flight: settings.memory_mb as usize * REQUESTS_PER_MB,
        linger: LINGER,
        seed: rand::random(),
    }
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
    let engine = Engine::new(engine_params(&settings));
    let ready_path = dialect.ready_path.clone();
    let key = FrameKey::new(settings.key.as_bytes());
    let group_exchange = GroupExchange::new(settings.instance.clone(), key);
    let core = Core::new(engine, clock, dialect, metrics, log.clone(), group_exchange);
    let (stage_tx, stage) = watch::channel(Stage::Serving);

    let callers = settings.callers.ok_or(ProgramError::Missing { field: "callers" })?;
    let listener = TcpListener::bind(callers).await;
    let listener = listener.context(BindSnafu { field: "callers", address: callers })?;
    if let Some(address) = settings.ready {
        let pages = ready_pages(&core, stage.clone(), ready_path);
        serve(address, pages).await.context(BindSnafu { field: "ready", address })?;
    }
    let shown = core.metrics.clone();
    program::serve_metrics(settings.metrics, move || shown.text()).await?;
    let inner = settings.bound(SocketAddr::new(settings.address, settings.inner_port));
    let groups = TcpListener::bind(inner).await;
    let groups = groups.context(BindSnafu { field: "inner_port", address: inner })?;
    tokio::task::spawn_local(group_exchange::accept(core.clone(), groups));
    let (reload_tx, reload) = mpsc::unbounded_channel();
    let (trouble_tx, troubles) = mpsc::unbounded_channel();
    let (tx, mut events) = mpsc::unbounded_channel();
    let grace = settings.grace();
    let what = json!({"lifecycle": "started", "role": "entry", "zone": settings.zone});
    log.write("lifecycle", false, &what);
    let params = FeedParams { settings, file: file.to_owned(), clock, log: log.clone(), tx };
    start_feeds(params, reload, troubles)?;
    let open = Rc::new(Cell::new(0));
    tokio::task::spawn_local(accept(core.clone(), listener, stage, open.clone()));
    tokio::task::spawn_local(run_timer(core.clone()));
    tokio::task::spawn_local(report_troubles(core.clone(), trouble_tx));
    let sweeper = core.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(SWEEP_EVERY).await;
            sweeper.backends().sweep();
        }
    });
    loop {
        tokio::select! {
            Some(event) = events.recv() => take_event(&core, event),
            _ = hup.recv() => {
                // The feeds thread lives as long as the process.
                let _ = reload_tx.send(());
            }
            _ = term.recv() => break,
        }
    }
    log.write("lifecycle", false, &json!({"lifecycle": "draining"}));
    core.leave();
    let drain = drain(&core, &open, &stage_tx, grace);
    let mut drain = std::pin::pin!(drain);
    loop {
        tokio::select! {
            Some(event) = events.recv() => take_event(&core, event),
            () = drain.as_mut() => break,
        }
    }
    let in_flight = core.with_engine(Engine::in_flight);
    log.write("lifecycle", false, &json!({"lifecycle": "stopped", "in_flight": in_flight}));
    tokio::time::sleep(2 * DRAIN_POLL).await;
    Ok(())
}

fn start_feeds(
    params: FeedParams,
    reload: mpsc::UnboundedReceiver<()>,
    troubles: mpsc::UnboundedReceiver<Vec<HealthReport>>,
) -> Result<(), ProgramError> {
    let body = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        match runtime {
            Ok(runtime) => {
                let local = tokio::task::LocalSet::new();
                local.block_on(&runtime, crate::feeds::run(params, reload, troubles));
            }
            Err(e) => log::error!("the control thread cannot start ({e}): check the limits"),
        }
    };
    let thread = std::thread::Builder::new().name("control".to_owned()).spawn(body);
    thread.map(drop).context(StartSnafu { what: "the control thread" })
}

/// Tells the control thread again and again which servers this entry has found not well.
async fn report_troubles(core: Rc<Core>, tx: mpsc::UnboundedSender<Vec<HealthReport>>) {
    let mut told = false;
    loop {
        tokio::time::sleep(REPORT_EVERY).await;
        let troubles = core.with_engine(|e| e.health_reports(core.clock.now()));
        // An empty report takes back the one before.
        if troubles.is_empty() && !told {
            continue;
        }
        told = !troubles.is_empty();
        let troubles = troubles.into_iter().map(|t| {
            let slowness_tenths = (t.slowness * 10.0).min(f64::from(u16::MAX)) as u16;
            HealthReport { server: t.server, slowness_tenths, unresponsive: t.unresponsive }
        });
        if tx.send(troubles.collect()).is_err() {
            return;
        }
    }
}

fn take_event(core: &Rc<Core>, event: FeedEvent) {
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
        FeedEvent::Table(table) => {
            core.metrics.table_version.set(table.version.0 as i64);
            core.step(Input::Table(table));
        }
        FeedEvent::Peers(peers) => {
            let names: Vec<_> = peers.iter().map(|p| p.name.clone()).collect();
            core.group_exchange.keep_only(&names);
            core.step(Input::Peers(peers));
        }
        FeedEvent::PeerReports(told) => core.step(Input::PeerHealthReports(told)),
        FeedEvent::EntryCount(entries) => core.step(Input::EntryCount(entries)),
        FeedEvent::FeedCounts(feeds) => core.note_feeds(feeds),
    }
}

fn ready_pages(core: &Rc<Core>, stage: watch::Receiver<Stage>, path: String) -> Pages {
    let core = core.clone();
    Rc::new(move |asked| {
        if asked != path {
            return None;
        }
        let serving = *stage.borrow() == Stage::Serving && !core.is_isolated();
        let able = core.with_engine(|e| e.table().is_some() && e.usable_servers() > 0);
        let status = if serving && able { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Some((status, Vec::new()))
    })
}

/// Tells callers to go elsewhere, then takes no more connections, closes idle ones, and waits until the
/// others have ended with their answers.
async fn drain(core: &Rc<Core>, open: &Cell<usize>, stage: &watch::Sender<Stage>, grace: Duration) {
    stage.send_replace(Stage::Draining);
    let began = tokio::time::Instant::now();
    tokio::time::sleep(grace * NOTICE_PERCENT / 100).await;
    stage.send_replace(Stage::Closing);
    let in_flight = || open.get() + core.group_exchange.collecting() > 0;
    let wait_until = async |end| {
        while in_flight() && tokio::time::Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    };
    wait_until(began + grace.saturating_sub(LAST_ANSWERS)).await;
    core.step(Input::Stop);
    wait_until(began + grace.saturating_sub(LAST_MOMENT)).await;
    // The last answers are on their way through the sockets.
    tokio::time::sleep(DRAIN_POLL).await;
}
