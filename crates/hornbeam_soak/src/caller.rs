//! Simulated callers and operators.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hornbeam_route::merge_records;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::ledger::{CompletedRequest, Ledger};
use hornbeam_standin::routed::records;

/// Host of every route.
pub const HOST: &str = "plots.example";
/// Maximum number of records in a merged response.
pub const LIMIT: usize = 10;

/// Sends one request on a new connection; returns status and body, or `None` on failure and after
/// `wait`.
pub async fn http(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    wait: Duration,
) -> Option<(u16, Vec<u8>)> {
    let call = async {
        let mut sender = open(address).await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", HOST)
            .body(Full::new(Bytes::copy_from_slice(body)))
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes().to_vec();
        Some((status, body))
    };
    tokio::time::timeout(wait, call).await.ok().flatten()
}

async fn open(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // Errors of the connection are also returned by the sender.
    tokio::spawn(async move { drop(connection.await) });
    Some(sender)
}

/// Caller that sends one request at a time and reuses its connection.
pub struct Caller {
    entry: SocketAddr,
    connection: Option<SendRequest<Full<Bytes>>>,
    ledger: Ledger,
    name: String,
    next_request: u64,
    /// Value of a header field that makes request heads longer; empty for none.
    filler: String,
}

impl Caller {
    /// Creates a caller of one entry; request ids start with `name`.
    pub fn new(name: String, entry: SocketAddr, ledger: Ledger) -> Self {
        Self { entry, connection: None, ledger, name, next_request: 0, filler: String::new() }
    }

    /// Makes the heads of later requests longer by this number of bytes.
    pub fn lengthen_heads(&mut self, bytes: usize) {
        self.filler = "7".repeat(bytes);
    }

    /// Closes the connection, so that the next request opens a new one.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Sends one request, records how it ends and checks its response. `shards` lists the sets of
    /// services that a scatter-gather response may consist of; it is empty for a single service.
    pub async fn ask(
        &mut self,
        path: &str,
        idempotent: bool,
        shards: &[Vec<String>],
    ) -> Option<u16> {
        self.next_request += 1;
        let id = format!("{}x{}", self.name, self.next_request);
        self.ledger.record_sent(&id);
        let sent = Instant::now();
        let response = self.exchange(path, idempotent, &id).await;
        let status = response.as_ref().map(|(status, _, _)| status.as_u16());
        if let Some((status, headers, body)) = &response
            && status.is_success()
        {
            let checked = if shards.is_empty() {
                check_single(&id, headers, body)
            } else {
                check_scatter(&id, headers, body, shards)
            };
            if let Err(e) = checked {
                self.ledger.record_violation(format!("{id}: {e}"));
            }
        }
        let took = sent.elapsed();
        self.ledger.record_completed(CompletedRequest { id, idempotent, status, sent, took });
        status
    }

    async fn exchange(
        &mut self,
        path: &str,
        idempotent: bool,
        id: &str,
    ) -> Option<(StatusCode, HeaderMap, Bytes)> {
        let ready = self.connection.take().filter(|c| c.is_ready());
        let mut sender = match ready {
            Some(sender) => sender,
            None => open(self.entry).await?,
        };
        let mut request =
            Request::builder().method(if idempotent { "GET" } else { "POST" }).uri(path);
        if !self.filler.is_empty() {
            request = request.header("x-filler", &self.filler);
        }
        let request = request
            .header("host", HOST)
            .header("hornbeam-request-id", id)
            .header("hornbeam-deadline-ms", "3000")
            .body(Full::new(Bytes::from_static(if idempotent { b"" } else { b"a record" })))
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        self.connection = Some(sender);
        Some((head.status, head.headers, body))
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
}

fn check_single(id: &str, headers: &HeaderMap, body: &[u8]) -> Result<(), String> {
    let signature = text(headers, "hornbeam-signature");
    let service = signature.strip_prefix(&format!("{id}."));
    let service =
        service.ok_or(format!("the signature {signature:?} belongs to another request"))?;
    if body != records(service, id) {
        return Err("the body differs from the records of the server".to_owned());
    }
    Ok(())
}

fn check_scatter(
    id: &str,
    headers: &HeaderMap,
    body: &[u8],
    shards: &[Vec<String>],
) -> Result<(), String> {
    let signatures = text(headers, "hornbeam-part-signatures");
    let missing: usize = text(headers, "hornbeam-lacking-shards").parse().unwrap_or(0);
    let mut services = Vec::new();
    for signature in signatures.split(", ") {
        let service = signature.strip_prefix(&format!("{id}."));
        services.push(
            service.ok_or(format!("the signature {signature:?} belongs to another request"))?,
        );
    }
    let valid = shards.iter().any(|set| {
        let known = services.iter().all(|s| set.iter().any(|k| k == s));
        known && services.len() + missing == set.len()
    });
    if !valid {
        return Err(format!(
            "{} shard responses and {missing} missing shards match no index",
            services.len()
        ));
    }
    let shard_records: Vec<Vec<u8>> = services.iter().map(|s| records(s, id)).collect();
    if body != merge_records(shard_records.iter().map(Vec::as_slice), LIMIT) {
        return Err("the body does not hold the greatest records of the shard responses".to_owned());
    }
    Ok(())
}

/// Sends a routing table to the controllers in turn, starting with `first`, until one accepts or
/// rejects it (200 or 400); follows redirects to the leader. Returns the status of the last
/// response.
pub async fn put_table(controllers: &[SocketAddr], table: &[u8], first: usize) -> Option<u16> {
    let mut last = None;
    for i in 0..controllers.len() {
        let mut target = controllers[(first + i) % controllers.len()];
        for _ in 0..3 {
            let wait = Duration::from_millis(1_200);
            let response = put_table_once(target, table, wait).await;
            last = response.as_ref().map(|(status, _)| *status);
            match response {
                Some((307, Some(leader))) => target = leader,
                Some((200 | 400, _)) => return last,
                _ => break,
            }
        }
    }
    last
}

async fn put_table_once(
    address: SocketAddr,
    table: &[u8],
    wait: Duration,
) -> Option<(u16, Option<SocketAddr>)> {
    let call = async {
        let mut sender = open(address).await?;
        let request = Request::builder()
            .method("PUT")
            .uri("/v1/routing")
            .header("host", HOST)
            .body(Full::new(Bytes::copy_from_slice(table)))
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let location = text(response.headers(), "location");
        let leader = location.strip_prefix("http://").and_then(|l| l.split('/').next());
        Some((response.status().as_u16(), leader.and_then(|l| l.parse().ok())))
    };
    tokio::time::timeout(wait, call).await.ok().flatten()
}
