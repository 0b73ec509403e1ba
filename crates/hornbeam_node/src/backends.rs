//! Connections to backend servers.
//!
//! Each connection is a client of its own that serves one request at a time, so the number of
//! connections to a server never passes this instance's share, and a cancelled attempt keeps its
//! connection: the server is told, replies early, and the connection is warm for the next one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hornbeam_model::search::DRAINING_HEADER;
use hornbeam_model::{
    AttemptId, CancelRequest, Mono, NotRunReply, SearchReply, SearchRequest, ServerId,
};
use hornbeam_query::{Attempt, AttemptOutcome};
use reqwest::{Client, Response, StatusCode};
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::mpsc;

use crate::clock::Clock;

/// Longest reply read, in bytes.
const MAX_REPLY_BYTES: usize = 16 << 20;
/// Time after an attempt's deadline until its connection is given up.
const OVERTIME: Duration = Duration::from_millis(1_000);
/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time for a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an unused connection stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// What became of an attempt, for the engine.
#[derive(Debug)]
pub struct AttemptResult {
    /// The attempt.
    pub attempt: AttemptId,
    /// What became of it.
    pub outcome: AttemptOutcome,
    /// True if the reply carried a drain mark.
    pub draining: bool,
}

/// Connections to one server.
#[derive(Debug)]
struct Backend {
    address: SocketAddr,
    /// Connections not in use.
    idle: Vec<Client>,
    /// Connections in use or idle; at most the share.
    open: u32,
}

/// Connections to all servers.
#[derive(Clone, Debug)]
pub struct Backends {
    clock: Clock,
    /// Prefix of attempt names, unique to this start of this instance.
    prefix: SmolStr,
    servers: Arc<Mutex<HashMap<ServerId, Backend>>>,
    results: mpsc::UnboundedSender<AttemptResult>,
}

/// One connection, given back when dropped.
struct Lease {
    backends: Backends,
    server: ServerId,
    address: SocketAddr,
    client: Option<Client>,
}

impl Drop for Lease {
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
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .build()
        .ok()
}

impl Backends {
    /// No connections yet; results go to `results`.
    pub fn new(
        clock: Clock,
        prefix: SmolStr,
        results: mpsc::UnboundedSender<AttemptResult>,
    ) -> Self {
        Self { clock, prefix, servers: Arc::default(), results }
    }

    /// Name of an attempt towards backend servers.
    pub fn wire_id(&self, attempt: AttemptId) -> SmolStr {
        format_smolstr!("{}.{attempt}", self.prefix)
    }

    fn lease(&self, server: &ServerId, address: SocketAddr, share: u32) -> Option<Lease> {
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
        Some(Lease { backends, server, address, client: Some(client) })
    }

    /// Forgets a server that left; its idle connections close.
    pub fn remove_server(&self, server: &ServerId) {
        let mut servers = self.servers.lock().unwrap_or_else(|e| e.into_inner());
        servers.remove(server);
    }

    /// Sends an attempt in a task of its own.
    pub fn send(&self, attempt: Attempt, share: u32) {
        let backends = self.clone();
        tokio::spawn(async move {
            let id = attempt.id;
            let (outcome, draining) = backends.run(attempt, share).await;
            // The receiver is gone only when the process stops.
            let _ = backends.results.send(AttemptResult { attempt: id, outcome, draining });
        });
    }

    async fn run(&self, attempt: Attempt, share: u32) -> (AttemptOutcome, bool) {
        let Some(mut lease) = self.lease(&attempt.server_id, attempt.address, share) else {
            return (AttemptOutcome::NotSent, false);
        };
        let now = self.clock.now();
        let left = attempt.deadline.since(now);
        let name = self.wire_id(attempt.id);
        let request = self.request(&attempt, name.clone(), now);
        let Some(client) = lease.client.as_ref() else { return (AttemptOutcome::NotSent, false) };
        let url = format!("http://{}/v1/search", attempt.address);
        let call = client.post(url).json(&request).timeout(left + OVERTIME).send();
        match call.await {
            Ok(response) => {
                let draining = is_draining(&response);
                (read_outcome(response, &name).await, draining)
            }
            Err(e) if e.is_connect() || e.is_builder() => (AttemptOutcome::NotSent, false),
            Err(_) => {
                lease.client = None;
                (AttemptOutcome::Unknown, false)
            }
        }
    }

    fn request(&self, attempt: &Attempt, name: SmolStr, now: Mono) -> SearchRequest {
        SearchRequest {
            attempt: name,
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

    /// Tells a server that an attempt is no longer wanted, if a connection is free.
    pub fn cancel(&self, attempt: AttemptId, server: &ServerId, address: SocketAddr, share: u32) {
        if share < 2 {
            return;
        }
        let Some(lease) = self.lease(server, address, share) else { return };
        let attempt = self.wire_id(attempt);
        tokio::spawn(async move {
            let Some(client) = lease.client.as_ref() else { return };
            let url = format!("http://{address}/v1/cancel");
            let call = client.post(url).json(&CancelRequest { attempt }).timeout(CANCEL_TIMEOUT);
            // A lost cancellation only costs the server work; the deadline ends it as well.
            if let Ok(response) = call.send().await {
                let _ = response.bytes().await;
            }
        });
    }
}

fn is_draining(response: &Response) -> bool {
    response.headers().get(DRAINING_HEADER).is_some_and(|v| v.as_bytes() == b"true")
}

async fn read_outcome(response: Response, name: &SmolStr) -> AttemptOutcome {
    let status = response.status();
    let Some(body) = read_body(response).await else { return AttemptOutcome::Unknown };
    match status {
        StatusCode::OK => match serde_json::from_slice::<SearchReply>(&body) {
            Ok(reply) if reply.attempt == *name => AttemptOutcome::Replied(reply),
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

async fn read_body(mut response: Response) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.ok()? {
        if body.len() + chunk.len() > MAX_REPLY_BYTES {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(body)
}
