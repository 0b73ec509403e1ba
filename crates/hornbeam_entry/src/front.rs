//! HTTP server for callers' connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hornbeam_model::{Fingerprint, QueryId};
use hornbeam_node::client_stream::ClientStream;
use hornbeam_node::connections::{Connection, ConnectionGroup};
use hornbeam_node::pages::discard;
use hornbeam_node::program::next_connection;
use hornbeam_node::request_body::{self, BodyError};
use hornbeam_route::{Refusal, RefusalKind};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::backends::{end_to_end, request_head};
use crate::caller_stream::{CallerStream, MAX_HEAD_BYTES, RequestHead};
use crate::core::{Core, ForwardedRequest, ReceivedRequest, Reply};
use crate::numbers::decimal;
use crate::team_fields;

/// Lifecycle stage of the entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Accepts requests.
    Serving,
    /// Accepts requests and closes each connection after its response.
    Draining,
    /// Accepts no connections and closes idle ones; requests in flight complete.
    Closing,
    /// Refuses the requests that are still being read; all others have their responses.
    Stopped,
}

/// Accepts caller connections until [`Stage::Closing`].
pub async fn accept(
    core: Rc<Core>,
    listener: TcpListener,
    mut stage: watch::Receiver<Stage>,
    callers: ConnectionGroup,
) {
    loop {
        let stream = tokio::select! {
            stream = next_connection(&listener) => stream,
            closing = stage.wait_for(|s| *s >= Stage::Closing) => {
                drop(closing);
                return;
            }
        };
        let Some(connection) = callers.admit().await else {
            let limit = callers.limit();
            log::warn!(
                "closing a new caller connection because the requests of {limit} are in flight: add entries"
            );
            continue;
        };
        let (core, stage) = (core.clone(), stage.clone());
        tokio::task::spawn_local(serve(core, stream, Arc::new(connection), stage));
    }
}

async fn serve(
    core: Rc<Core>,
    stream: TcpStream,
    connection: Arc<Connection>,
    mut stage: watch::Receiver<Stage>,
) {
    // With Nagle's algorithm a short response may wait for the acknowledgment of the previous one.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let head = Rc::new(RequestHead::new(core.caller_limits.clone()));
    let current_stage = stage.clone();
    let current_head = head.clone();
    let is_first = Cell::new(true);
    let (serving_core, own) = (core.clone(), connection.clone());
    let service = service_fn(move |req: Request<Incoming>| {
        let (core, stage, opened) =
            (serving_core.clone(), current_stage.clone(), is_first.replace(false));
        let (head, connection) = (current_head.clone(), own.clone());
        head.complete();
        connection.begin_request(req.body().is_end_stream());
        async move {
            let mut response = handle_request(core, req, &connection, opened, stage).await;
            connection.begin_response(response.body().size_hint().lower() as usize);
            connection.await_request();
            let is_unread = connection.is_unread();
            if is_unread {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            head.await_next(!is_unread);
            Ok::<_, Infallible>(response)
        }
    });
    let stream = ClientStream::new(stream, connection);
    // The limits on heads are those of the stream, which may change.
    let mut http = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(CallerStream::new(stream, head.clone())), service);
    let mut head_timeout = std::pin::pin!(tokio::time::sleep_until(head.deadline()));
    let (mut closing, mut refused) = (false, false);
    loop {
        let progress = poll_fn(|cx| match Pin::new(&mut http).poll(cx) {
            // An error means that the caller violated the protocol or disconnected.
            Poll::Ready(_) => Poll::Ready(ConnectionEnd::Closed),
            Poll::Pending if head.is_too_long() => Poll::Ready(ConnectionEnd::HeadTooLong),
            Poll::Pending if head.is_unread() && !refused => Poll::Ready(ConnectionEnd::Unread),
            Poll::Pending => Poll::Pending,
        });
        tokio::select! {
            end = progress => {
                match end {
                    ConnectionEnd::Unread => {
                        refused = true;
                        head_timeout.as_mut().reset(head.deadline());
                        continue;
                    }
                    ConnectionEnd::HeadTooLong => {
                        core.record_refused_head();
                        // The caller may have disconnected.
                        let _ = http.into_parts().io.into_inner().refuse_head().await;
                    }
                    ConnectionEnd::Closed if head.is_unread() => {
                        discard(http.into_parts().io.into_inner()).await;
                    }
                    ConnectionEnd::Closed => {}
                }
                return;
            }
            changed = stage.changed(), if !closing => {
                if changed.is_err() || *stage.borrow() >= Stage::Closing {
                    Pin::new(&mut http).graceful_shutdown();
                    closing = true;
                }
            }
            () = head_timeout.as_mut() => {
                let deadline = head.deadline();
                if deadline <= Instant::now() {
                    return;
                }
                head_timeout.as_mut().reset(deadline);
            }
        }
    }
}

/// Why a connection is served no longer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionEnd {
    Closed,
    /// The caller is not answered yet.
    HeadTooLong,
    /// The last request was refused before its end. The response may still have to be written.
    Unread,
}

/// Informs the core on drop; the core ignores it if the caller already has its reply.
struct CallerGuard {
    core: Rc<Core>,
    key: QueryId,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.core.on_caller_gone(self.key);
    }
}

/// Handles a request and returns its response.
async fn handle_request(
    core: Rc<Core>,
    req: Request<Incoming>,
    connection: &Connection,
    opened_connection: bool,
    mut stage: watch::Receiver<Stage>,
) -> Response<Full<Bytes>> {
    let is_head_request = req.method() == hyper::Method::HEAD;
    let received = tokio::select! {
        biased;
        received = read_request(&core, req, connection, opened_connection) => received,
        _ = stage.wait_for(|s| *s == Stage::Stopped) => Err(refuse_unread(RefusalKind::Draining)),
    };
    let mut response = match received {
        Ok(received) => {
            let (key, rx) = core.start_request(received);
            let guard = CallerGuard { core: core.clone(), key };
            let reply = rx.await;
            drop(guard);
            match reply {
                Ok(reply) => reply_response(&core, reply, is_head_request),
                Err(_) => text_response(
                    StatusCode::BAD_GATEWAY,
                    "the response was lost in this entry; the request may have been executed",
                ),
            }
        }
        Err(response) => response,
    };
    if *stage.borrow() != Stage::Serving || core.is_isolated() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Reads a complete request, or returns the response that reports the error in it.
async fn read_request(
    core: &Rc<Core>,
    req: Request<Incoming>,
    connection: &Connection,
    opened_connection: bool,
) -> Result<ReceivedRequest, Response<Full<Bytes>>> {
    let (mut head, body) = req.into_parts();
    let text = |name| head.headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
    let host = head.uri.host().or_else(|| text(&header::HOST)).map(SmolStr::new);
    let Some(host) = host else {
        return Err(text_response(
            StatusCode::BAD_REQUEST,
            "the request has no host: send the Host header",
        ));
    };
    let Some(id) = text(&core.dialect.request_id).filter(|id| !id.is_empty()) else {
        return Err(text_response(
            StatusCode::BAD_REQUEST,
            "the request has no request id: send the request id header",
        ));
    };
    let id = SmolStr::new(id);
    let patience = match text(&core.dialect.deadline_ms) {
        None => None,
        Some(ms) => match decimal(ms.as_bytes()) {
            // The routing table bounds the time as well.
            Some(ms) => Some(Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX)),
            None => {
                let problem = "the deadline header is not a number: send milliseconds";
                return Err(text_response(StatusCode::BAD_REQUEST, problem));
            }
        },
    };
    let body = read_body(core, connection, body).await?;
    let target = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let path = SmolStr::new(head.uri.path());
    let target = target.to_owned();
    let credentials =
        head.headers.get(header::AUTHORIZATION).map_or(&b""[..], HeaderValue::as_bytes);
    let (method, query) = (head.method.as_str(), head.uri.query().unwrap_or_default());
    let fingerprint = Fingerprint::new(credentials, method, &host, &path, query).with_body(&body);
    // The engine checks the key in the same step, so the table is the same.
    let (credential, set_aside) = core.with_engine(|e| {
        team_fields::take(&core.dialect, &mut head.headers, e.table().map(AsRef::as_ref))
    });
    let headers = end_to_end(head.headers);
    let head = request_head(&core.dialect, &head.method, &target, &headers, &body);
    let forwarded = ForwardedRequest { id, fingerprint, head, body };
    Ok(ReceivedRequest {
        forwarded,
        credential,
        set_aside,
        host,
        path,
        patience,
        opened_connection,
    })
}

/// Reads a request body within the limits of the table in force, if there is one, and within the memory of
/// this entry.
async fn read_body(
    core: &Core,
    connection: &Connection,
    body: Incoming,
) -> Result<Bytes, Response<Full<Bytes>>> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limits = core.caller_limits.get();
    let max = limits.unwrap_or_default().max_body_bytes as usize;
    let error = match request_body::read_body(connection, body, max).await {
        Ok(body) => return Ok(body),
        Err(error) => error,
    };
    Err(match error {
        BodyError::TooLong if limits.is_some() => text_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the request body is longer than the limit of this entry: shorten it",
        ),
        // The first table may allow it.
        BodyError::TooLong => refuse_unread(RefusalKind::NoTable),
        BodyError::NoRoom => {
            core.record_refused_body();
            let problem = "this entry holds too many large messages: retry at another entry";
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, problem);
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static("0"));
            response
        }
        BodyError::Invalid => text_response(
            StatusCode::BAD_REQUEST,
            "the request body is malformed or incomplete: send it again",
        ),
        BodyError::TimedOut => text_response(
            StatusCode::REQUEST_TIMEOUT,
            "the request body did not arrive within 10 seconds: send it faster",
        ),
    })
}

fn reply_response(core: &Core, reply: Reply, is_head_request: bool) -> Response<Full<Bytes>> {
    match reply {
        Reply::Forward(forwarded) => {
            let received = forwarded.headers();
            // The length of the body that a GET request would get.
            let length = received.get(header::CONTENT_LENGTH).filter(|_| is_head_request).cloned();
            let mut headers = end_to_end(received);
            headers.extend(length.map(|length| (header::CONTENT_LENGTH, length)));
            let mut response = Response::new(Full::new(forwarded.body));
            *response.status_mut() = forwarded.status;
            *response.headers_mut() = headers;
            response
        }
        Reply::Merged { signatures, missing, body } => {
            let mut response = Response::new(Full::new(body));
            let headers = response.headers_mut();
            // Each signature was a valid header value; joining them with commas keeps the value
            // valid.
            if let Ok(joined) = HeaderValue::from_bytes(&signatures.join(&b", "[..])) {
                headers.insert(core.dialect.shard_signatures.clone(), joined);
            }
            headers.insert(core.dialect.missing_shards.clone(), HeaderValue::from(missing));
            response
        }
        Reply::Refuse(refusal) => refusal_response(refusal),
    }
}

fn refusal_response(refusal: Refusal) -> Response<Full<Bytes>> {
    let (status, problem) = match refusal.kind {
        RefusalKind::NoTable => (
            StatusCode::SERVICE_UNAVAILABLE,
            "this entry has no routing table yet: retry at another entry",
        ),
        RefusalKind::NoRoute => (StatusCode::NOT_FOUND, "no route matches the host and path"),
        RefusalKind::UnknownKey => {
            (StatusCode::UNAUTHORIZED, "the key is missing or belongs to no team")
        }
        RefusalKind::Unverified => (
            StatusCode::SERVICE_UNAVAILABLE,
            "this entry does not know which keys are in force: retry at another entry",
        ),
        RefusalKind::OverQuota => {
            (StatusCode::TOO_MANY_REQUESTS, "the team has used up its quota: retry later")
        }
        RefusalKind::NoServer => {
            (StatusCode::SERVICE_UNAVAILABLE, "too few backend servers are available")
        }
        RefusalKind::Overloaded => {
            (StatusCode::SERVICE_UNAVAILABLE, "the backend servers are overloaded: retry later")
        }
        RefusalKind::Quarantined => (
            StatusCode::SERVICE_UNAVAILABLE,
            "backend servers have ended while they ran this request: it is not sent to others",
        ),
        RefusalKind::Draining => {
            (StatusCode::SERVICE_UNAVAILABLE, "this entry is shutting down: retry at another entry")
        }
        RefusalKind::Failed => (
            StatusCode::BAD_GATEWAY,
            "the backend servers failed; the request may have been executed",
        ),
        RefusalKind::Stopping => (
            StatusCode::BAD_GATEWAY,
            "this entry is shutting down; the request may have been executed",
        ),
        RefusalKind::TimedOut => (
            StatusCode::GATEWAY_TIMEOUT,
            "no response before the deadline; the request may have been executed",
        ),
    };
    let mut response = text_response(status, problem);
    if let Some(after) = refusal.retry_after {
        let text = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Refuses a request that was not read to its end; another entry may serve it at once.
fn refuse_unread(kind: RefusalKind) -> Response<Full<Bytes>> {
    let mut response = refusal_response(Refusal { kind, retry_after: Some(Duration::ZERO) });
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn text_response(status: StatusCode, problem: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(problem.as_bytes())));
    *response.status_mut() = status;
    response
}
