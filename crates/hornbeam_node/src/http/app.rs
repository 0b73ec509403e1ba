//! State that the HTTP handlers share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use hornbeam_model::{Incarnation, Mono, QueryId};
use hornbeam_protocol::FrameKey;
use hornbeam_query::tokens::TokenStore;
use hornbeam_settings::Settings;
use reqwest::Client;
use tokio::sync::Notify;

use super::clients::Clients;
use super::reply::Reply;
use crate::clock::Clock;
use crate::control::ControlHandle;
use crate::journal::EventLog;
use crate::metrics::Metrics;
use crate::socket::PEERS;
use crate::traffic::TrafficHandle;

/// State of one instance that its HTTP handlers share.
pub struct App {
    /// Settings of this instance.
    pub settings: Arc<Settings>,
    /// Incarnation, which identifies this start of the instance.
    pub incarnation: Incarnation,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Channel to the task that runs the engine.
    pub traffic: TrafficHandle,
    /// Handle to the control thread.
    pub control: ControlHandle,
    /// Event journal of the process.
    pub events: EventLog,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Tokens that this incarnation issued, with the replies to their requests.
    pub tokens: Mutex<TokenStore<Reply>>,
    /// Notified whenever a request with a token ends.
    pub token_done: Notify,
    /// Key of the authentication tags of tokens.
    pub token_key: FrameKey,
    /// HTTP client for requests that are forwarded to other instances.
    pub forwarder: Client,
    /// Notified when an operator requests a shutdown.
    pub stop: Notify,
    /// Connections of clients.
    pub clients: Clients,
    ready: Arc<AtomicBool>,
    draining: AtomicBool,
    next_query_id: AtomicU64,
    in_flight_requests: AtomicUsize,
    /// Arrival time of the latest request, in microseconds of `clock`.
    last_request_at: AtomicU64,
}

/// Counts a request as in flight until dropped.
pub struct RequestGuard(Arc<App>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.in_flight_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Parameters of [`App::new`].
pub struct AppParams {
    /// Settings of this instance.
    pub settings: Arc<Settings>,
    /// Incarnation, which identifies this start of the instance.
    pub incarnation: Incarnation,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Channel to the task that runs the engine.
    pub traffic: TrafficHandle,
    /// Handle to the control thread.
    pub control: ControlHandle,
    /// Event journal of the process.
    pub events: EventLog,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// True once a configuration is served.
    pub ready: Arc<AtomicBool>,
    /// Connections of clients.
    pub clients: Clients,
}

/// Context for deriving the key of token tags from the key in the settings.
const TOKEN_CONTEXT: &str = "hornbeamrun tokens v1";

impl App {
    /// Creates the shared state, with no request in flight.
    pub fn new(params: AppParams) -> Arc<Self> {
        let token_key = FrameKey::for_purpose(params.settings.key.bytes(), TOKEN_CONTEXT);
        let forwarder = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .tcp_user_timeout(PEERS.user_timeout)
            .tcp_keepalive(PEERS.keepalive_idle)
            .tcp_keepalive_interval(PEERS.keepalive_interval)
            .build()
            .unwrap_or_default();
        Arc::new(Self {
            settings: params.settings,
            incarnation: params.incarnation,
            clock: params.clock,
            traffic: params.traffic,
            control: params.control,
            events: params.events,
            metrics: params.metrics,
            tokens: Mutex::new(TokenStore::default()),
            token_done: Notify::new(),
            token_key,
            forwarder,
            stop: Notify::new(),
            clients: params.clients,
            ready: params.ready,
            draining: AtomicBool::new(false),
            next_query_id: AtomicU64::new(1),
            in_flight_requests: AtomicUsize::new(0),
            last_request_at: AtomicU64::new(0),
        })
    }

    /// Returns a new query id, unique within this incarnation.
    pub fn next_query_id(&self) -> QueryId {
        QueryId(self.next_query_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns whether shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns whether a configuration is served. Once true, it stays true.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Marks the instance as shutting down, so that health turns to 503.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Records the arrival of a request and counts it as in flight until the guard is dropped.
    pub fn count_request(self: &Arc<Self>) -> RequestGuard {
        self.in_flight_requests.fetch_add(1, Ordering::Relaxed);
        self.last_request_at.store(self.clock.now().0, Ordering::Relaxed);
        RequestGuard(self.clone())
    }

    /// Returns the arrival time of the latest request of a caller, or zero if there was none.
    pub fn last_request_at(&self) -> Mono {
        Mono(self.last_request_at.load(Ordering::Relaxed))
    }

    /// Returns the number of in-flight requests of callers. A request that runs with a token
    /// counts twice while its caller is connected.
    pub fn in_flight_requests(&self) -> usize {
        self.in_flight_requests.load(Ordering::Relaxed)
    }
}
