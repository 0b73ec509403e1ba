//! Connections to backend servers.
//!
//! Each connection is a separate HTTP client that carries one request at a time. The number of
//! connections to a server therefore never exceeds this instance's share, and a cancelled attempt
//! keeps its connection: the server is asked to stop, replies early, and the open connection is
//! reused.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hornbeam_model::search::DRAINING_HEADER;
use hornbeam_model::{
    AttemptId, CancelRequest, Mono, NotRunReply, SearchReply, SearchRequest, ServerId,
};
use hornbeam_query::{Attempt, AttemptOutcome};
use reqwest::header::CONTENT_ENCODING;
use reqwest::{Client, Response, StatusCode};
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::memory::{MemoryBudget, SMALL_BYTES};
use crate::socket::SERVERS;

/// Maximum size of a reply body, in bytes.
const MAX_REPLY_BYTES: usize = 16 << 20;
/// Memory for replies that are being read and requests that are being sent unless stated otherwise, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 128 << 20;
/// Time after an attempt's deadline until the wait for its reply ends and its connection closes.
const REPLY_GRACE: Duration = Duration::from_millis(1_000);
/// Limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Limit for a cancellation request and its reply.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Result of an attempt, for the engine.
#[derive(Debug)]
pub struct AttemptResult {
    /// Attempt that this result belongs to.
    pub attempt: AttemptId,
    /// Reply or failure of the attempt.
    pub outcome: AttemptOutcome,
    /// True if the reply has the header that marks its server as draining.
    pub draining: bool,
}

/// Connections to one backend server.
#[derive(Debug)]
struct Backend {
    address: SocketAddr,
    /// Unused connections.
    idle: Vec<Client>,
    /// Number of connections, used or idle. At most the share, except after the share was lowered.
    open: u32,
}

/// Connections to all backend servers. Clones share them.
#[derive(Clone, Debug)]
pub struct Backends {
    clock: Clock,
    /// Prefix of attempt ids on the wire, unique to this start of this instance.
    prefix: SmolStr,
    servers: Arc<Mutex<HashMap<ServerId, Backend>>>,
    memory: MemoryBudget,
    results: mpsc::UnboundedSender<AttemptResult>,
}

/// Exclusive use of one connection. When dropped, returns it to the idle ones, or closes it if
/// `client` is `None` or the address of the server has changed.
struct ConnectionGuard {
    backends: Backends,
    server: ServerId,
    address: SocketAddr,
    client: Option<Client>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut servers = self.backends.servers.lock().unwrap_or_else(|e| e.into_inner());
        let Some(backend) = servers.get_mut(&self.server) else { return };
        match self.client.take() {
            Some(client) if backend.address == self.address => backend.idle.push(client),
            _ => backend.open = backend.open.saturating_sub(1),
        }
    }
}

fn new_client() -> Option<Client> {
    Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(1)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_user_timeout(SERVERS.user_timeout)
        .tcp_keepalive(SERVERS.keepalive_idle)
        .tcp_keepalive_interval(SERVERS.keepalive_interval)
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .build()
        .ok()
}

impl Backends {
    /// Creates an empty set of connections that sends the results of attempts to `results`.
    pub fn new(
        clock: Clock,
        prefix: SmolStr,
        results: mpsc::UnboundedSender<AttemptResult>,
    ) -> Self {
        let memory = MemoryBudget::new(DEFAULT_MEMORY_BYTES);
        Self { clock, prefix, servers: Arc::default(), memory, results }
    }

    /// Sets the memory for replies that are being read and requests that are being sent.
    #[must_use]
    pub fn with_memory(mut self, memory: MemoryBudget) -> Self {
        self.memory = memory;
        self
    }

    /// Returns the id of an attempt as sent to backend servers.
    pub fn wire_id(&self, attempt: AttemptId) -> SmolStr {
        format_smolstr!("{}.{attempt}", self.prefix)
    }

    fn acquire(
        &self,
        server: &ServerId,
        address: SocketAddr,
        share: u32,
    ) -> Option<ConnectionGuard> {
        let mut servers = self.servers.lock().unwrap_or_else(|e| e.into_inner());
        let backend = servers.entry(server.clone()).or_insert_with(|| Backend {
            address,
            idle: Vec::new(),
            open: 0,
        });
        if backend.address != address {
            backend.open = backend.open.saturating_sub(backend.idle.len() as u32);
            backend.idle.clear();
            backend.address = address;
        }
        while backend.open > share && backend.idle.pop().is_some() {
            backend.open -= 1;
        }
        let client = match backend.idle.pop() {
            Some(client) => client,
            None if backend.open < share => {
                backend.open += 1;
                new_client()?
            }
            None => return None,
        };
        let (backends, server) = (self.clone(), server.clone());
        Some(ConnectionGuard { backends, server, address, client: Some(client) })
    }

    /// Removes a server that is no longer listed. Its idle connections close at once, the used ones
    /// when their requests end.
    pub fn remove_server(&self, server: &ServerId) {
        let mut servers = self.servers.lock().unwrap_or_else(|e| e.into_inner());
        servers.remove(server);
    }

    /// Sends an attempt in a new task and reports its result on the channel.
    pub fn send(&self, attempt: Attempt, share: u32) {
        let backends = self.clone();
        tokio::spawn(async move {
            let id = attempt.id;
            let (outcome, draining) = backends.run(attempt, share).await;
            // The receiver is dropped only when the process stops.
            let _ = backends.results.send(AttemptResult { attempt: id, outcome, draining });
        });
    }

    async fn run(&self, attempt: Attempt, share: u32) -> (AttemptOutcome, bool) {
        let Some(mut guard) = self.acquire(&attempt.server_id, attempt.address, share) else {
            return (AttemptOutcome::NotSent, false);
        };
        // Each attempt encodes a copy of the query.
        let mut copy = self.memory.reservation();
        let size = attempt.body.get().len().min(copy.largest());
        let remaining = attempt.deadline.since(self.clock.now());
        if tokio::time::timeout(remaining, copy.extend(size)).await.is_err() {
            return (AttemptOutcome::NotSent, false);
        }
        let now = self.clock.now();
        let remaining = attempt.deadline.since(now);
        let wire_id = self.wire_id(attempt.id);
        let request = self.search_request(&attempt, wire_id.clone(), now);
        let Some(client) = guard.client.as_ref() else { return (AttemptOutcome::NotSent, false) };
        let url = format!("http://{}/v1/search", attempt.address);
        let call = client.post(url).json(&request).timeout(remaining + REPLY_GRACE).send();
        let sent = call.await;
        drop(copy);
        match sent {
            Ok(response) => {
                let draining = is_draining(&response);
                let remaining = attempt.deadline.since(self.clock.now());
                let outcome = read_outcome(response, &wire_id, &self.memory);
                // A reply may wait for memory.
                let outcome = tokio::time::timeout(remaining + REPLY_GRACE, outcome).await;
                (outcome.unwrap_or(AttemptOutcome::Unknown), draining)
            }
            Err(e) if e.is_connect() || e.is_builder() => (AttemptOutcome::NotSent, false),
            Err(_) => {
                guard.client = None;
                (AttemptOutcome::Unknown, false)
            }
        }
    }

    fn search_request(&self, attempt: &Attempt, wire_id: SmolStr, now: Mono) -> SearchRequest {
        SearchRequest {
            attempt: wire_id,
            request: attempt.request_id.clone(),
            query: attempt.body.clone(),
            limit: attempt.limit,
            index_version: attempt.index_version,
            schemas: attempt.schemas.clone(),
            shards: attempt.shards.clone(),
            deadline_ms: attempt.deadline.since(now).as_millis() as u64,
            non_idempotent: attempt.non_idempotent,
        }
    }

    /// Asks a server to stop an attempt. Does nothing if the share is below 2 or no connection is
    /// free.
    pub fn cancel(&self, attempt: AttemptId, server: &ServerId, address: SocketAddr, share: u32) {
        if share < 2 {
            return;
        }
        let Some(guard) = self.acquire(server, address, share) else { return };
        let attempt = self.wire_id(attempt);
        tokio::spawn(async move {
            let Some(client) = guard.client.as_ref() else { return };
            let url = format!("http://{address}/v1/cancel");
            let call = client.post(url).json(&CancelRequest { attempt }).timeout(CANCEL_TIMEOUT);
            // If the cancellation is lost, the server works on the attempt until its deadline.
            if let Ok(response) = call.send().await {
                let _ = response.bytes().await;
            }
        });
    }
}

fn is_draining(response: &Response) -> bool {
    response.headers().get(DRAINING_HEADER).is_some_and(|v| v.as_bytes() == b"true")
}

async fn read_outcome(
    response: Response,
    wire_id: &SmolStr,
    memory: &MemoryBudget,
) -> AttemptOutcome {
    let status = response.status();
    let Some(body) = read_body(response, memory).await else { return AttemptOutcome::Unknown };
    match status {
        StatusCode::OK => match serde_json::from_slice::<SearchReply>(&body) {
            Ok(reply) if reply.attempt == *wire_id => AttemptOutcome::Replied(reply),
            Ok(_) => AttemptOutcome::WrongAttempt,
            Err(_) => AttemptOutcome::Unknown,
        },
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT => {
            let not_run: NotRunReply = serde_json::from_slice(&body).unwrap_or_default();
            match (not_run.ran, status) {
                (Some(false), StatusCode::CONFLICT) => AttemptOutcome::WrongIndex(not_run.indexes),
                (Some(false), _) => AttemptOutcome::NotRun,
                _ => AttemptOutcome::Unknown,
            }
        }
        _ => AttemptOutcome::Unknown,
    }
}

/// Reads a reply body. A large one waits for the memory for all of it, or for the longest one if its length is
/// not stated. Returns `None` if it is too long, incomplete or in a content coding, which was not asked for.
async fn read_body(mut response: Response, memory: &MemoryBudget) -> Option<Bytes> {
    if response.headers().contains_key(CONTENT_ENCODING) {
        return None;
    }
    let stated = response.content_length().unwrap_or(0);
    if stated > MAX_REPLY_BYTES as u64 {
        return None;
    }
    let mut reservation = memory.reservation();
    reservation.extend(stated as usize).await;
    let mut body = Vec::with_capacity(stated as usize);
    while let Some(chunk) = response.chunk().await.ok()? {
        let length = body.len() + chunk.len();
        if length > MAX_REPLY_BYTES {
            return None;
        }
        if length > SMALL_BYTES && length as u64 > stated {
            reservation.extend(MAX_REPLY_BYTES).await;
            body.reserve_exact(MAX_REPLY_BYTES - body.len());
        }
        body.extend_from_slice(&chunk);
    }
    Some(reservation.hold(Bytes::from_owner(body)))
}
