//! Callers' connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hornbeam_model::QueryId;
use hornbeam_node::program::next_connection;
use hornbeam_route::{Refusal, RefusalKind};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::backends::{end_to_end, request_head};
use crate::core::{Core, ForwardedRequest, ReceivedRequest, Reply};

/// Callers' connections open at once.
const MAX_CONNECTIONS: usize = 3_000;
/// Longest time for a request body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Smallest read buffer that the HTTP library takes, in bytes.
const MIN_BUFFER: usize = 8 << 10;

/// How far the entry is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Takes requests.
    Serving,
    /// Takes requests and closes each connection behind its answer.
    Draining,
    /// Closes idle connections; what is in flight ends.
    Closing,
}

/// Takes callers' connections until the entry closes. `open` counts those that have not ended.
pub async fn accept(
    core: Rc<Core>,
    listener: TcpListener,
    mut stage: watch::Receiver<Stage>,
    open: Rc<Cell<usize>>,
) {
    loop {
        let stream = tokio::select! {
            stream = next_connection(&listener) => stream,
            closing = stage.wait_for(|s| *s == Stage::Closing) => {
                drop(closing);
                return;
            }
        };
        if open.get() >= MAX_CONNECTIONS {
            log::warn!("a connection was closed: {MAX_CONNECTIONS} are open; add entries");
            continue;
        }
        open.set(open.get() + 1);
        let (core, stage, open) = (core.clone(), stage.clone(), open.clone());
        tokio::task::spawn_local(async move {
            serve(core, stream, stage).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve(core: Rc<Core>, stream: TcpStream, mut stage: watch::Receiver<Stage>) {
    // Without it a short answer may wait for the acknowledgement of the one before.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = core.with_engine(|e| e.table().map(|t| t.limits.clone())).unwrap_or_default();
    let patience = Duration::from_millis(u64::from(limits.idle_timeout_ms))
        + Duration::from_millis(u64::from(limits.header_timeout_ms));
    let looks = stage.clone();
    let is_first = Cell::new(true);
    let service = service_fn(move |req| {
        let (core, stage, opened) = (core.clone(), *looks.borrow(), is_first.replace(false));
        async move { Ok::<_, Infallible>(answer(core, req, opened, stage).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(patience)
        .max_buf_size((limits.max_header_bytes as usize).max(MIN_BUFFER))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        tokio::select! {
            // An error is the caller's: it broke the protocol or left.
            _ = connection.as_mut() => return,
            changed = stage.changed() => {
                if changed.is_err() || *stage.borrow() == Stage::Closing {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.as_mut().await;
                    return;
                }
            }
        }
    }
}

/// Tells the core when the caller leaves before its reply.
struct Caller {
    core: Rc<Core>,
    key: QueryId,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.core.caller_gone(self.key);
    }
}

async fn answer(
    core: Rc<Core>,
    req: Request<Incoming>,
    opened_connection: bool,
    stage: Stage,
) -> Response<Full<Bytes>> {
    let mut response = match take_in(&core, req, opened_connection).await {
        Ok(taken) => {
            let (key, rx) = core.begin(taken);
            let caller = Caller { core: core.clone(), key };
            let reply = rx.await;
            drop(caller);
            match reply {
                Ok(reply) => respond(&core, reply),
                Err(_) => plain(StatusCode::BAD_GATEWAY, "the answer was lost on the way"),
            }
        }
        Err(response) => response,
    };
    if stage != Stage::Serving || core.is_isolated() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Reads a whole request, or says what is wrong with it.
async fn take_in(
    core: &Rc<Core>,
    req: Request<Incoming>,
    opened_connection: bool,
) -> Result<ReceivedRequest, Response<Full<Bytes>>> {
    let (head, body) = req.into_parts();
    let text = |name| head.headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
    let host = head.uri.host().or_else(|| text(&header::HOST)).map(SmolStr::new);
    let Some(host) = host else {
        return Err(plain(StatusCode::BAD_REQUEST, "the request names no host: send Host"));
    };
    let Some(id) = text(&core.dialect.request_id).filter(|id| !id.is_empty()) else {
        return Err(plain(StatusCode::BAD_REQUEST, "the request has no id: send its header"));
    };
    let id = SmolStr::new(id);
    let wait = match text(&core.dialect.deadline_ms) {
        None => None,
        Some(ms) => match ms.trim().parse() {
            Ok(ms) => Some(Duration::from_millis(ms)),
            Err(_) => {
                let problem = "the deadline is not a number: send whole milliseconds";
                return Err(plain(StatusCode::BAD_REQUEST, problem));
            }
        },
    };
    let max_body = core.with_engine(|e| e.table().map(|t| t.limits.max_body_bytes));
    let max_body =
        max_body.unwrap_or_else(|| hornbeam_model::CallerLimits::default().max_body_bytes);
    let body = read_body(body, max_body as usize).await?;
    let target = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let path = SmolStr::new(head.uri.path());
    let target = target.to_owned();
    let headers = end_to_end(head.headers);
    let head = request_head(&core.dialect, &head.method, &target, &headers, &body);
    let parts = ForwardedRequest { id, head, body };
    Ok(ReceivedRequest { parts, host, path, wait, opened_connection })
}

async fn read_body(body: Incoming, max: usize) -> Result<Bytes, Response<Full<Bytes>>> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let too_long = || plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long: shorten it");
    if body.size_hint().lower() > max as u64 {
        return Err(too_long());
    }
    match tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, max).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_long()),
        Ok(Err(_)) => Err(plain(StatusCode::BAD_REQUEST, "the body cannot be read")),
        Err(_) => Err(plain(StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time")),
    }
}

fn respond(core: &Core, reply: Reply) -> Response<Full<Bytes>> {
    match reply {
        Reply::Forward(answer) => {
            let headers = end_to_end(answer.headers());
            let mut response = Response::new(Full::new(answer.body));
            *response.status_mut() = answer.status;
            *response.headers_mut() = headers;
            response
        }
        Reply::Merged { signatures, missing, body } => {
            let mut response = Response::new(Full::new(Bytes::from(body)));
            let headers = response.headers_mut();
            // Each came as a header value, and a comma is allowed in one.
            if let Ok(joined) = HeaderValue::from_bytes(&signatures.join(&b", "[..])) {
                headers.insert(core.dialect.shard_signatures.clone(), joined);
            }
            headers.insert(core.dialect.missing_shards.clone(), HeaderValue::from(missing));
            response
        }
        Reply::Refuse(refusal) => refuse(refusal),
    }
}

fn refuse(refusal: Refusal) -> Response<Full<Bytes>> {
    let (status, problem) = match refusal.kind {
        RefusalKind::NoTable => {
            (StatusCode::SERVICE_UNAVAILABLE, "this entry has no routing table yet")
        }
        RefusalKind::NoRoute => (StatusCode::NOT_FOUND, "no route matches the host and path"),
        RefusalKind::NoServer => (StatusCode::SERVICE_UNAVAILABLE, "too few servers are there"),
        RefusalKind::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, "the servers are full"),
        RefusalKind::Failed => (StatusCode::BAD_GATEWAY, "servers failed; it may have run"),
        RefusalKind::Stopping => (StatusCode::BAD_GATEWAY, "this entry ends; it may have run"),
        RefusalKind::TimedOut => {
            (StatusCode::GATEWAY_TIMEOUT, "no answer in time; it may have run")
        }
    };
    let mut response = plain(status, problem);
    if let Some(after) = refusal.retry_after {
        let text = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

fn plain(status: StatusCode, problem: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(problem.as_bytes())));
    *response.status_mut() = status;
    response
}
