//! Startup and shutdown of a controller.

use std::collections::HashMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use hornbeam_model::Routing;
use hornbeam_node::client_limits::{ClientLimits, ClientShare};
use hornbeam_node::clock::{Clock, unix_us};
use hornbeam_node::connections::{ConnectionGroup, Connections};
use hornbeam_node::control::net::{Incoming, Net, NetParams};
use hornbeam_node::journal::EventLog;
use hornbeam_node::memory::MemoryBudget;
use hornbeam_node::program::{self, BindSnafu, ProgramError, StartSnafu};
use hornbeam_node::socket;
use hornbeam_node::structured::StructuredLog;
use hornbeam_protocol::FrameKey;
use hornbeam_settings::FleetSettings;
use serde_json::json;
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};

use crate::api::{Api, accept};
use crate::dialect::Dialect;
use crate::feed::FeedEvent;
use crate::metrics::Metrics;
use crate::state::{Controller, ControllerParams, Inputs};

/// The part of the process that servers, operators and strangers may take. Each server keeps a connection.
const CLIENT_SHARE: ClientShare = ClientShare { memory_percent: 25, clients_per_mb: 12 };
/// Time for which API calls are still served after SIGTERM.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(300);

/// Runs a controller until it receives SIGTERM.
///
/// # Errors
///
/// Fails if the settings are incomplete, an address cannot be bound, or the runtime cannot be
/// started.
pub fn run(file: &Path, dialect: Dialect) -> Result<(), ProgramError> {
    program::run(file, |settings, log| serve(settings, file, dialect, log))
}

async fn serve(
    settings: FleetSettings,
    file: &Path,
    dialect: Dialect,
    log: StructuredLog,
) -> Result<(), ProgramError> {
    let mut term = signal(SignalKind::terminate()).context(StartSnafu { what: "SIGTERM" })?;
    let mut hup = signal(SignalKind::hangup()).context(StartSnafu { what: "SIGHUP" })?;
    let me = settings.inner_name().ok_or(ProgramError::Missing { field: "address" })?;
    let api_address = settings.api.ok_or(ProgramError::Missing { field: "api" })?;
    let limits = ClientLimits::new(settings.memory_mb, settings.descriptors, CLIENT_SHARE);
    let connections = Connections::new(MemoryBudget::new(limits.memory));
    let listener = socket::listen_for_clients(api_address).await;
    let listener = listener.context(BindSnafu { field: "api", address: api_address })?;
    let metrics = Metrics::default();
    let exported = metrics.clone();
    let open = connections.clone();
    let pages = connections.group(limits.pages);
    program::serve_metrics(settings.metrics, pages, move || {
        exported.set_clients(&open);
        exported.text()
    })
    .await?;
    let fields = json!({"lifecycle": "started", "role": "controller", "zone": settings.zone});
    log.write("lifecycle", false, &fields);
    let (request_tx, requests) = mpsc::unbounded_channel();
    let (reload_tx, reload) = mpsc::unbounded_channel();
    let (shutdown_tx, shutdown) = mpsc::unbounded_channel();
    let strangers = || connections.group(limits.strangers);
    let (controller, incoming, feed_events) =
        build(&settings, file, &me, dialect.parse_table, &log, (&metrics, strangers)).await?;
    let inputs = Inputs { requests, feed_events, incoming, reload, shutdown };
    let address_of = Box::new(move |name: &_| settings.api_address(name));
    let api = Rc::new(Api::new(dialect, request_tx, address_of));
    tokio::task::spawn_local(accept(api, listener, connections.group(limits.clients)));
    tokio::task::spawn_local(controller.run(inputs));
    loop {
        tokio::select! {
            _ = hup.recv() => {
                // The controller loop ends only with the process.
                let _ = reload_tx.send(());
            }
            _ = term.recv() => break,
        }
    }
    log.write("lifecycle", false, &json!({"lifecycle": "draining"}));
    let (done_tx, done) = oneshot::channel();
    let _ = shutdown_tx.send(done_tx);
    let _ = tokio::time::timeout(SHUTDOWN_GRACE, done).await;
    tokio::time::sleep(SHUTDOWN_GRACE).await;
    log.write("lifecycle", false, &json!({"lifecycle": "stopped"}));
    tokio::time::sleep(SHUTDOWN_GRACE / 4).await;
    Ok(())
}

/// Opens the sockets of a controller. Returns it with the channels for messages of other
/// controllers and for feed events.
async fn build(
    settings: &FleetSettings,
    file: &Path,
    me: &hornbeam_model::InstanceId,
    parse_table: fn(&[u8]) -> Result<Routing, String>,
    log: &StructuredLog,
    (metrics, strangers): (&Metrics, impl Fn() -> ConnectionGroup),
) -> Result<(Controller, Incoming, mpsc::UnboundedReceiver<FeedEvent>), ProgramError> {
    let clock = Clock::start();
    let events = EventLog::new(settings.instance.clone());
    let key = FrameKey::new(settings.key.as_bytes());
    let control =
        settings.control_address(me).ok_or(ProgramError::Missing { field: "inner_port" })?;
    let feed = settings.feed_address(me).ok_or(ProgramError::Missing { field: "inner_port" })?;
    let (control, feed) = (settings.bind_address(control), settings.bind_address(feed));
    let net = NetParams {
        me: me.clone(),
        address: control,
        key: key.clone(),
        session: unix_us(),
        addresses: HashMap::new(),
        metrics: hornbeam_node::metrics::Metrics::default(),
        events: events.clone(),
        strangers: strangers(),
    };
    let opened = Net::open(net).await;
    let (net, incoming) = opened.context(BindSnafu { field: "inner_port", address: control })?;
    let (feed_tx, feed_events) = mpsc::unbounded_channel();
    let listening = crate::feed::listen(feed, strangers(), key, feed_tx).await;
    listening.context(BindSnafu { field: "inner_port", address: feed })?;
    let controller = Controller::new(ControllerParams {
        parse_table,
        settings: settings.clone(),
        file: file.to_owned(),
        me: me.clone(),
        clock,
        net,
        events,
        log: log.clone(),
        metrics: metrics.clone(),
    });
    Ok((controller, incoming, feed_events))
}
