//! What the handlers share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use hornbeam_model::{Incarnation, Mono, QueryId};
use hornbeam_protocol::FrameKey;
use hornbeam_query::tokens::TokenStore;
use hornbeam_settings::Settings;
use reqwest::Client;
use tokio::sync::Notify;

use super::reply::Reply;
use crate::clock::Clock;
use crate::control::ControlHandle;
use crate::journal::EventLog;
use crate::metrics::Metrics;
use crate::traffic::TrafficHandle;

/// State of one instance that its HTTP handlers share.
pub struct App {
    /// The settings.
    pub settings: Arc<Settings>,
    /// This start of the instance.
    pub incarnation: Incarnation,
    /// The clock.
    pub clock: Clock,
    /// The engine's task.
    pub traffic: TrafficHandle,
    /// The control thread.
    pub control: ControlHandle,
    /// The journal.
    pub events: EventLog,
    /// The metrics.
    pub metrics: Metrics,
    /// Tokens of this start.
    pub tokens: Mutex<TokenStore<Reply>>,
    /// Woken whenever a request with a token ends.
    pub token_done: Notify,
    /// Key of the tokens' tags.
    pub token_key: FrameKey,
    /// Client for requests passed on to other instances.
    pub forwarder: Client,
    /// Asks the process to shut down.
    pub stop: Notify,
    ready: Arc<AtomicBool>,
    draining: AtomicBool,
    next_query: AtomicU64,
    requests: AtomicUsize,
    /// When the latest request came, in microseconds of the clock.
    last_request: AtomicU64,
}

/// Counts one request as long as it lives.
pub struct RequestGuard(Arc<App>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Parts of an [`App`] that its creator gives.
pub struct AppParams {
    /// The settings.
    pub settings: Arc<Settings>,
    /// This start of the instance.
    pub incarnation: Incarnation,
    /// The clock.
    pub clock: Clock,
    /// The engine's task.
    pub traffic: TrafficHandle,
    /// The control thread.
    pub control: ControlHandle,
    /// The journal.
    pub events: EventLog,
    /// The metrics.
    pub metrics: Metrics,
    /// True once a configuration is served.
    pub ready: Arc<AtomicBool>,
}

/// Context from which the key of the tokens' tags is derived.
const TOKEN_CONTEXT: &str = "hornbeamrun tokens v1";

impl App {
    /// The shared state, with no request yet.
    pub fn new(parts: AppParams) -> Arc<Self> {
        let token_key = FrameKey::for_purpose(parts.settings.key.bytes(), TOKEN_CONTEXT);
        let forwarder = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .build()
            .unwrap_or_default();
        Arc::new(Self {
            settings: parts.settings,
            incarnation: parts.incarnation,
            clock: parts.clock,
            traffic: parts.traffic,
            control: parts.control,
            events: parts.events,
            metrics: parts.metrics,
            tokens: Mutex::new(TokenStore::default()),
            token_done: Notify::new(),
            token_key,
            forwarder,
            stop: Notify::new(),
            ready: parts.ready,
            draining: AtomicBool::new(false),
            next_query: AtomicU64::new(1),
            requests: AtomicUsize::new(0),
            last_request: AtomicU64::new(0),
        })
    }

    /// A number for a new query.
    pub fn next_query_id(&self) -> QueryId {
        QueryId(self.next_query.fetch_add(1, Ordering::Relaxed))
    }

    /// True once shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// True once a configuration is served; never false again.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Begins shutdown: health turns to 503.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Counts a request until the guard is dropped.
    pub fn count_request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.last_request.store(self.clock.now().0, Ordering::Relaxed);
        RequestGuard(self.clone())
    }

    /// When the latest caller's request came.
    pub fn last_request_at(&self) -> Mono {
        Mono(self.last_request.load(Ordering::Relaxed))
    }

    /// Callers' requests that are not answered yet.
    pub fn in_flight_requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}
