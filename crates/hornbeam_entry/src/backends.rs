//! Connections to backend servers: one request at a time on each, and only whole answers count.
//!
//! A search is sent to dozens of servers at once. Requests are written and answers read right on the
//! sockets, since a task and a channel for each connection cost several times as much.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hornbeam_model::ServerId;
use hornbeam_route::{Attempt, AttemptOutcome};
use hyper::StatusCode;
use hyper::header::{self, HeaderMap};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::core::{Core, ForwardedRequest};
use crate::dialect::Dialect;
use crate::response::{RawResponse, read_response};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which an idle connection is used again where the server states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(50);
/// Time before the end of the stated one at which an idle connection is not used any more.
const IDLE_MARGIN: Duration = Duration::from_millis(900);
/// Longest request body after which a connection is used again: behind a longer one the server may
/// have answered before it has read everything.
const MAX_REUSE_BODY: usize = 8 << 10;

struct Idle {
    stream: TcpStream,
    until: Instant,
}

impl Idle {
    /// True if the connection is open and nothing has come on it that nobody asked for.
    fn is_quiet(&self) -> bool {
        let mut byte = [0; 1];
        matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Idle connections by server.
#[derive(Default)]
pub struct Backends {
    idle: RefCell<HashMap<ServerId, Vec<Idle>>>,
}

impl Backends {
    fn take(&self, server: &ServerId) -> Option<TcpStream> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(server)?;
        let now = Instant::now();
        while let Some(newest) = idle.pop() {
            if newest.until > now && newest.is_quiet() {
                return Some(newest.stream);
            }
        }
        None
    }

    fn put(&self, server: &ServerId, stream: TcpStream, idle_for: Duration, share: u32) {
        let mut all = self.idle.borrow_mut();
        let idle = all.entry(server.clone()).or_default();
        if idle.len() < share as usize {
            idle.push(Idle { stream, until: Instant::now() + idle_for });
        }
    }

    /// Closes the idle connections of a server.
    pub fn close(&self, server: &ServerId) {
        self.idle.borrow_mut().remove(server);
    }

    /// Closes connections that were idle for too long or that their servers have closed.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|i| i.until > now && i.is_quiet());
            !idle.is_empty()
        });
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    // Without it a short request may wait for the acknowledgement of the one before.
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Sends one attempt and takes its answer.
pub async fn exchange(
    core: &Rc<Core>,
    send: &Attempt,
    parts: &ForwardedRequest,
) -> (AttemptOutcome, Option<RawResponse>) {
    let began = Instant::now();
    let mut reused = core.backends().take(&send.server);
    loop {
        let was_idle = reused.is_some();
        let stream = match reused.take() {
            Some(stream) => Some(stream),
            None => {
                core.metrics.connects.inc();
                connect(send.address).await
            }
        };
        let Some(mut stream) = stream else { return (AttemptOutcome::NotSent, None) };
        let left = send.remaining.saturating_sub(began.elapsed());
        if left.is_zero() {
            return (AttemptOutcome::NotSent, None);
        }
        let request = build_request(&core.dialect, send, parts, left);
        match write_request(&mut stream, &request).await {
            Ok(()) => {}
            // Nothing of it was written: an idle connection had ended.
            Err(Unsent::Whole) if was_idle => continue,
            Err(Unsent::Whole) => return (AttemptOutcome::NotSent, None),
            Err(Unsent::Rest) => return (AttemptOutcome::Lost, None),
        }
        return match read_response(&stream).await {
            Ok(answer) => take_answer(core, send, parts, stream, answer),
            Err(_) => (AttemptOutcome::Lost, None),
        };
    }
}

fn build_request(
    dialect: &Dialect,
    send: &Attempt,
    parts: &ForwardedRequest,
    left: Duration,
) -> Vec<u8> {
    let left = left.as_millis().max(1);
    let own = format!(
        "{}: {left}\r\n{}: {}\r\n\r\n",
        dialect.deadline_ms, dialect.expected_server, send.server
    );
    let mut request = Vec::with_capacity(parts.head.len() + own.len() + parts.body.len());
    request.extend_from_slice(&parts.head);
    request.extend_from_slice(own.as_bytes());
    request.extend_from_slice(&parts.body);
    request
}

/// How much of a request was not written.
enum Unsent {
    Whole,
    Rest,
}

async fn write_request(stream: &mut TcpStream, request: &[u8]) -> Result<(), Unsent> {
    let written = match stream.try_write(request) {
        Ok(written) => written,
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => 0,
        Err(_) => return Err(Unsent::Whole),
    };
    if written == request.len() {
        return Ok(());
    }
    stream.write_all(&request[written..]).await.map_err(|_| Unsent::Rest)
}

/// Says what a whole answer means; the connection is used again only behind one.
fn take_answer(
    core: &Rc<Core>,
    send: &Attempt,
    parts: &ForwardedRequest,
    stream: TcpStream,
    answer: RawResponse,
) -> (AttemptOutcome, Option<RawResponse>) {
    let dialect = &core.dialect;
    let echoed = answer.header(&dialect.request_id);
    if echoed.is_some_and(|id| id != parts.id.as_bytes()) {
        // An answer to an earlier request of this connection.
        return (AttemptOutcome::Lost, None);
    }
    let outcome = classify(dialect, &answer);
    let keeps = answer.reusable
        && parts.body.len() <= MAX_REUSE_BODY
        && outcome != AttemptOutcome::WrongServer;
    if keeps && let Some(idle_for) = idle_time(&answer) {
        core.backends().put(&send.server, stream, idle_for, send.share);
    }
    let counts = matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Error);
    (outcome, counts.then_some(answer))
}

fn classify(dialect: &Dialect, answer: &RawResponse) -> AttemptOutcome {
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptOutcome::WrongServer;
    }
    if answer.header(&dialect.not_run).is_some() {
        return AttemptOutcome::NotRun;
    }
    if answer.header(&dialect.signature).is_none() {
        return AttemptOutcome::Lost;
    }
    if answer.status.is_success() { AttemptOutcome::Answered } else { AttemptOutcome::Error }
}

/// How long a connection may be idle before it is used again; nothing if it closes.
fn idle_time(answer: &RawResponse) -> Option<Duration> {
    let words = answer.header_by_name("connection").unwrap_or_default().split(|b| *b == b',');
    if words.into_iter().any(|w| w.trim_ascii().eq_ignore_ascii_case(b"close")) {
        return None;
    }
    let stated = answer.header_by_name("keep-alive").and_then(|v| std::str::from_utf8(v).ok());
    let timeout = stated.and_then(|v| v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")));
    let stated = timeout.and_then(|t| t.trim().parse().ok()).map(Duration::from_secs);
    Some(stated.map_or(DEFAULT_IDLE, |s| s.saturating_sub(IDLE_MARGIN)))
}

/// Headers that concern more than one connection.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .into_iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|w| w.trim().to_ascii_lowercase()))
        .collect();
    for name in named {
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

/// The head of a request as it is sent on, without the fields of this entry and the empty line.
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
