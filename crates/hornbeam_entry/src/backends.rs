//! Connections to backend servers: each carries one request at a time, and only complete responses
//! count.
//!
//! A search is sent to dozens of servers at once. Requests are written to the sockets and responses
//! read from them directly, since a task and a channel per connection cost several times as much.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hornbeam_model::{RequestRate, ServerId};
use hornbeam_node::socket;
use hornbeam_route::{Attempt, AttemptOutcome, LoadNotice, PauseRequest, RateNotice, ServerNotice};
use hyper::StatusCode;
use hyper::header::{self, HeaderMap};
use smol_str::SmolStr;
use tokio::net::TcpStream;

use crate::core::{Core, ForwardedRequest};
use crate::dialect::Dialect;
use crate::integrity::{is_intact, is_response_to};
use crate::numbers::{decimal, whole};
use crate::response::{RawResponse, read_response};
use crate::server_statements::{parse_load, parse_warm_up};

/// Longest time to open a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which an idle connection can be reused if the server states no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(50);
/// Longest time for which an idle connection can be reused, whatever the server states.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Longest time to open a connection that only shows whether a server is reachable.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which such a connection has to stay open.
const PROBE_SETTLING_TIME: Duration = Duration::from_millis(10);
/// Time for which such a connection can be used for a request.
const PROBED_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time before the end of a stated keep-alive timeout from which an idle connection is no longer
/// reused.
const IDLE_MARGIN: Duration = Duration::from_millis(900);
/// Time after the deadline of a request for which its response is awaited, so that the connection can
/// be reused.
const READ_GRACE: Duration = Duration::from_secs(2);
/// Longest request body after which a connection is reused, in bytes: the server may respond to a
/// longer one before it has read all of it.
const MAX_REUSE_BODY_BYTES: usize = 8 << 10;

/// Time after a lost connection until its server is checked: a server that ends closes its connections
/// and its listener one after the other.
const END_CHECK_DELAY: Duration = Duration::from_millis(50);

struct IdleConnection {
    stream: TcpStream,
    expires_at: Instant,
    /// Id of the request that the connection carried last.
    last_request: SmolStr,
}

impl IdleConnection {
    /// Returns true if the connection is open and has no unexpected bytes to read.
    fn is_quiet(&self) -> bool {
        let mut byte = [0; 1];
        matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Pool of idle connections by backend server.
#[derive(Default)]
pub struct Backends {
    idle: RefCell<HashMap<ServerId, Vec<IdleConnection>>>,
}

impl Backends {
    /// Takes a connection for a request. One that carried the same request last is closed instead: a
    /// late second copy of its response would have the same id as the response to this attempt.
    fn take(&self, server: &ServerId, request: &SmolStr) -> Option<TcpStream> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(server)?;
        let now = Instant::now();
        while let Some(newest) = idle.pop() {
            let usable = newest.last_request != *request && newest.expires_at > now;
            if usable && newest.is_quiet() {
                return Some(newest.stream);
            }
        }
        None
    }

    fn put(&self, server: &ServerId, connection: IdleConnection, share: u32) {
        let mut all = self.idle.borrow_mut();
        let idle = all.entry(server.clone()).or_default();
        if idle.len() < share as usize {
            idle.push(connection);
        }
    }

    /// Closes all idle connections to a server.
    pub fn close(&self, server: &ServerId) {
        self.idle.borrow_mut().remove(server);
    }

    /// Returns true if nothing listens at the address of a server any more, some time after a
    /// connection to it was lost. If there are `witnesses`, other servers, and none of them accepts
    /// connections either, the links of this entry may be at fault.
    pub async fn has_ended(
        &self,
        server: &ServerId,
        address: SocketAddr,
        witnesses: &[(ServerId, SocketAddr)],
    ) -> bool {
        // The witnesses are asked meanwhile, since each further end counts before the check is done.
        let (witnessed, ()) =
            tokio::join!(accepts_any(witnesses), tokio::time::sleep(END_CHECK_DELAY));
        if !witnessed || self.has_open_connection(server) {
            return false;
        }
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        // An unreachable server may be running.
        matches!(connect.await, Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Opens a connection to a server and keeps it for a request; returns true if it stays open. A
    /// load balancer without a server may accept a connection and reset it.
    pub async fn probe(&self, server: &ServerId, address: SocketAddr) -> bool {
        let Ok(Some(stream)) = tokio::time::timeout(PROBE_TIMEOUT, connect(address)).await else {
            return false;
        };
        tokio::time::sleep(PROBE_SETTLING_TIME).await;
        let expires_at = Instant::now() + PROBED_IDLE_TIMEOUT;
        let probed = IdleConnection { stream, expires_at, last_request: SmolStr::default() };
        let is_open = probed.is_quiet();
        if is_open {
            self.put(server, probed, 1);
        }
        is_open
    }

    fn has_open_connection(&self, server: &ServerId) -> bool {
        let all = self.idle.borrow();
        all.get(server).is_some_and(|idle| idle.iter().any(IdleConnection::is_quiet))
    }

    /// Closes connections that have been idle for too long or that their servers have closed.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|i| i.expires_at > now && i.is_quiet());
            !idle.is_empty()
        });
    }
}

/// Returns true if one of the servers accepts a connection, or if there are none.
async fn accepts_any(servers: &[(ServerId, SocketAddr)]) -> bool {
    for (_, address) in servers {
        let connect = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address));
        if matches!(connect.await, Ok(Ok(_))) {
            return true;
        }
    }
    servers.is_empty()
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    socket::prepare(&stream, socket::SERVERS).ok()?;
    Some(stream)
}

/// The end of an attempt.
#[derive(Debug)]
pub struct Exchange {
    /// Result of the attempt.
    pub outcome: AttemptOutcome,
    /// What the server stated about itself in its response.
    pub notice: ServerNotice,
    /// The response, if it counts for the request.
    pub response: Option<RawResponse>,
}

impl Exchange {
    /// An attempt without a response that counts.
    fn without_response(outcome: AttemptOutcome) -> Self {
        Self { outcome, notice: ServerNotice::default(), response: None }
    }
}

/// Sends one attempt on an idle or a new connection and reads its response.
pub async fn exchange(core: &Rc<Core>, attempt: &Attempt, request: &ForwardedRequest) -> Exchange {
    let started_at = Instant::now();
    let mut reused = core.backends().take(&attempt.server, &request.id);
    loop {
        let was_idle = reused.is_some();
        let stream = match reused.take() {
            Some(stream) => Some(stream),
            None => {
                if !core.with_engine(|e| e.may_send(core.clock.now(), attempt.id)) {
                    return Exchange::without_response(AttemptOutcome::Withheld);
                }
                core.metrics.connects.inc();
                let opened_at = Instant::now();
                let stream = connect(attempt.address).await;
                if stream.is_some() {
                    let time = opened_at.elapsed();
                    core.with_engine_mut(|e| e.record_round_trip(&attempt.server, time));
                }
                stream
            }
        };
        let Some(stream) = stream else {
            return Exchange::without_response(AttemptOutcome::NotSent);
        };
        let remaining = attempt.remaining.saturating_sub(started_at.elapsed());
        if remaining.is_zero() {
            return Exchange::without_response(AttemptOutcome::NotSent);
        }
        // The server may have left or asked for a pause while the connection was being opened.
        if !core.with_engine(|e| e.may_send(core.clock.now(), attempt.id)) {
            return Exchange::without_response(AttemptOutcome::Withheld);
        }
        let outgoing = encode_request(&core.dialect, attempt, request, remaining);
        let written = match stream.try_write(outgoing.after(0)) {
            Ok(written) => written,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => 0,
            // Nothing was written because the idle connection had ended: uses a new one.
            Err(_) if was_idle => continue,
            Err(_) => return Exchange::without_response(AttemptOutcome::NotSent),
        };
        let response = exchange_on(core, &stream, &outgoing, written, request.is_head_request());
        let response = tokio::time::timeout(remaining + READ_GRACE, response);
        return match response.await {
            Ok(Ok(response)) => handle_response(core, attempt, request, stream, response),
            Ok(Err(e)) if is_connection_end(&e) => {
                Exchange::without_response(AttemptOutcome::ConnectionLost)
            }
            Ok(Err(e)) => {
                let is_malformed = e.kind() == io::ErrorKind::InvalidData;
                let reason = if is_malformed { "malformed" } else { "no_room" };
                core.record_discarded(attempt, &request.id, reason, &e.to_string());
                Exchange::without_response(AttemptOutcome::Lost)
            }
            Err(_) => Exchange::without_response(AttemptOutcome::Lost),
        };
    }
}

/// Returns true if reading failed because the connection has ended, and false if what was read is no
/// valid response or there was no memory for it.
fn is_connection_end(e: &io::Error) -> bool {
    !matches!(e.kind(), io::ErrorKind::InvalidData | io::ErrorKind::OutOfMemory)
}

/// Writes the rest of a request and reads the response. A server may respond before it has read a long body,
/// and read no further.
async fn exchange_on(
    core: &Core,
    stream: &TcpStream,
    outgoing: &Outgoing,
    written: usize,
    to_head_request: bool,
) -> io::Result<RawResponse> {
    let read = read_response(stream, to_head_request, &core.memory);
    if outgoing.after(written).is_empty() {
        return read.await;
    }
    let mut read = std::pin::pin!(read);
    tokio::select! {
        biased;
        response = &mut read => response.map(RawResponse::on_unfinished_request),
        // After a failure, the response may have arrived before the server closed the connection.
        _ = write_rest(stream, outgoing, written) => read.await,
    }
}

async fn write_rest(stream: &TcpStream, outgoing: &Outgoing, mut written: usize) -> io::Result<()> {
    loop {
        let rest = outgoing.after(written);
        if rest.is_empty() {
            return Ok(());
        }
        stream.writable().await?;
        match stream.try_write(rest) {
            Ok(more) => written += more,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
}

/// A request as it is written to a server.
struct Outgoing {
    /// Head and, if it is short, the body.
    start: Vec<u8>,
    /// A long body, which all attempts share.
    body: Bytes,
}

impl Outgoing {
    /// Returns bytes to write after the first `written` ones; empty at the end.
    fn after(&self, written: usize) -> &[u8] {
        match self.start.get(written..) {
            Some(rest) if !rest.is_empty() => rest,
            _ => self.body.get(written - self.start.len()..).unwrap_or_default(),
        }
    }
}

fn encode_request(
    dialect: &Dialect,
    attempt: &Attempt,
    request: &ForwardedRequest,
    remaining: Duration,
) -> Outgoing {
    let remaining_ms = remaining.as_millis().max(1);
    let own_fields = format!(
        "{}: {remaining_ms}\r\n{}: {}\r\n\r\n",
        dialect.deadline_ms, dialect.expected_server, attempt.server
    );
    let is_short = request.body.len() <= MAX_REUSE_BODY_BYTES;
    let short_body = if is_short { &request.body[..] } else { &[] };
    let start = [&request.head, own_fields.as_bytes(), short_body].concat();
    Outgoing { start, body: if is_short { Bytes::new() } else { request.body.clone() } }
}

/// Classifies a complete response and returns the connection to the pool if it can be reused.
fn handle_response(
    core: &Rc<Core>,
    attempt: &Attempt,
    request: &ForwardedRequest,
    stream: TcpStream,
    mut response: RawResponse,
) -> Exchange {
    let dialect = &core.dialect;
    let notice = server_notice(dialect, &response);
    if !is_response_to(dialect, &request.id, &response) {
        let problem = "the response to an earlier request on the connection";
        core.record_discarded(attempt, &request.id, "other_request", problem);
        return Exchange { outcome: AttemptOutcome::Lost, notice, response: None };
    }
    let merge_limit = core.with_engine(|e| e.merge_limit(attempt.request));
    let outcome = classify(dialect, request, &response, merge_limit.is_some());
    if outcome == AttemptOutcome::Lost {
        let problem = "no single signature, a part of the body, or a content coding";
        core.record_discarded(attempt, &request.id, "not_intact", problem);
    }
    let reusable = response.reusable
        && !notice.leaving
        && request.body.len() <= MAX_REUSE_BODY_BYTES
        && outcome != AttemptOutcome::WrongServer;
    if reusable && let Some(idle_timeout) = idle_timeout(&response) {
        let expires_at = Instant::now() + idle_timeout;
        let last_request = request.id.clone();
        let connection = IdleConnection { stream, expires_at, last_request };
        core.backends().put(&attempt.server, connection, attempt.share);
    }
    if let Some(limit) = merge_limit
        && outcome == AttemptOutcome::Answered
    {
        response.keep_greatest(limit, &core.memory);
    }
    Exchange { outcome, notice, response: outcome.has_run().then_some(response) }
}

/// Reads what a server states about itself in a response. The response of a server that the
/// request was not for states nothing about the one that it was for.
fn server_notice(dialect: &Dialect, response: &RawResponse) -> ServerNotice {
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        return ServerNotice::default();
    }
    let leaving = response.header(&dialect.leaving).is_some_and(|v| v.trim_ascii() != b"0");
    let refuses =
        matches!(response.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    let retry_after = response.header(&header::RETRY_AFTER).filter(|_| refuses);
    let rate = response.header(&dialect.rate_limit).map_or(RateNotice::Unstated, parse_rate);
    let warm_up = response.header(&dialect.warm_up_ms).and_then(parse_warm_up);
    let load = response.header(&dialect.load).map_or(LoadNotice::Unstated, parse_load);
    ServerNotice { leaving, pause: retry_after.map(parse_pause), rate, warm_up, load }
}

/// Parses the rate that a server states: requests per second, possibly with a fraction.
fn parse_rate(value: &[u8]) -> RateNotice {
    let rate = decimal(value).and_then(RequestRate::from_per_second);
    rate.map_or(RateNotice::Unreadable, RateNotice::Stated)
}

/// Parses the value of a server's `Retry-After`: seconds, possibly with a fraction.
fn parse_pause(value: &[u8]) -> PauseRequest {
    let Some(seconds) = decimal(value) else { return PauseRequest::Unreadable };
    PauseRequest::For(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

fn classify(
    dialect: &Dialect,
    request: &ForwardedRequest,
    response: &RawResponse,
    is_merged: bool,
) -> AttemptOutcome {
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptOutcome::WrongServer;
    }
    if response.header(&dialect.not_run).is_some() {
        return AttemptOutcome::NotRun;
    }
    if !is_intact(dialect, request, response, is_merged) {
        return AttemptOutcome::Lost;
    }
    outcome_of_run(response.status)
}

/// Returns the outcome of a request that a server ran and answered with this status.
pub fn outcome_of_run(status: StatusCode) -> AttemptOutcome {
    match status {
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::MISDIRECTED_REQUEST
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE => AttemptOutcome::FalseRefusal,
        status if status.is_success() => AttemptOutcome::Answered,
        _ => AttemptOutcome::Error,
    }
}

/// Returns how long a connection may be idle and still be reused, or `None` if the server closes
/// it.
fn idle_timeout(response: &RawResponse) -> Option<Duration> {
    let options = response.header_by_name("connection").unwrap_or_default().split(|b| *b == b',');
    if options.into_iter().any(|o| o.trim_ascii().eq_ignore_ascii_case(b"close")) {
        return None;
    }
    let keep_alive =
        response.header_by_name("keep-alive").and_then(|v| std::str::from_utf8(v).ok());
    let timeout =
        keep_alive.and_then(|v| v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")));
    let stated = timeout.and_then(|t| whole(t.as_bytes())).map(Duration::from_secs);
    let usable = stated.map_or(DEFAULT_IDLE_TIMEOUT, |s| s.saturating_sub(IDLE_MARGIN));
    Some(usable.min(MAX_IDLE_TIMEOUT))
}

/// Returns the header fields to forward: without hop-by-hop fields, `expect`, and `content-length`,
/// which is set from the complete body.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .into_iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|w| w.trim().to_ascii_lowercase()))
        .collect();
    for name in connection_options {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::CONTENT_LENGTH,
        header::EXPECT,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers
}

/// Encodes the head of a request as it is forwarded, without the fields that [`exchange`] adds and
/// without the empty line.
pub fn request_head(
    dialect: &Dialect,
    method: &hyper::Method,
    target: &str,
    headers: &HeaderMap,
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        if *name == dialect.deadline_ms || *name == dialect.expected_server {
            continue;
        }
        head.extend_from_slice(name.as_str().as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value.as_bytes());
        head.extend_from_slice(b"\r\n");
    }
    let states_length =
        !body.is_empty() || !matches!(*method, hyper::Method::GET | hyper::Method::HEAD);
    if states_length {
        head.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    head
}
