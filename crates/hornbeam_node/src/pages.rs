//! HTTP endpoints for the platform, such as readiness and metrics, and the server that they share with the API of
//! the controllers.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::client_stream::{ClientStream, READ_BYTES};
use crate::connections::{Connection, ConnectionGroup};
use crate::program::next_connection;
use crate::socket;

/// Limits on the connections to the pages of the platform, which ask for no more than a path.
const PAGE_LIMITS: ServerLimits =
    ServerLimits { idle: Duration::from_secs(30), head_bytes: 16 << 10 };
/// Longest time for which a client may go on sending a body that was refused, so that closing the connection
/// does not discard the response.
pub const REFUSAL_LINGER: Duration = Duration::from_millis(500);

/// Returns status and body for a request path, or `None` if the path does not exist.
pub type Pages = Rc<dyn Fn(&str) -> Option<(StatusCode, Vec<u8>)>>;

/// Limits on each connection of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimits {
    /// Longest time between two requests, and until a request head is complete.
    pub idle: Duration,
    /// Longest request head, in bytes; at least 8 KiB.
    pub head_bytes: usize,
}

/// Binds `address` and serves `pages` on it in a task on the current thread. Unknown paths get 404.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    group: ConnectionGroup,
    pages: Pages,
) -> std::io::Result<()> {
    let listener = socket::listen_for_clients(address).await?;
    tokio::task::spawn_local(accept(listener, group, PAGE_LIMITS, move |req, _| {
        let response = respond(&pages, &req);
        async move { response }
    }));
    Ok(())
}

/// Accepts connections of a group and passes their requests to `handler` until the task is dropped. A connection
/// closes after a response to a request that was not read to its end.
pub async fn accept<F, A>(
    listener: TcpListener,
    group: ConnectionGroup,
    limits: ServerLimits,
    handler: F,
) where
    F: Fn(Request<Incoming>, Arc<Connection>) -> A + Clone + 'static,
    A: Future<Output = Response<Full<Bytes>>> + 'static,
{
    loop {
        let stream = next_connection(&listener).await;
        let Some(connection) = group.admit().await else {
            log::warn!("closing a new connection because all others are being served");
            continue;
        };
        tokio::task::spawn_local(serve_connection(
            stream,
            Arc::new(connection),
            limits,
            handler.clone(),
        ));
    }
}

async fn serve_connection<F, A>(
    stream: TcpStream,
    connection: Arc<Connection>,
    limits: ServerLimits,
    handler: F,
) where
    F: Fn(Request<Incoming>, Arc<Connection>) -> A + Clone + 'static,
    A: Future<Output = Response<Full<Bytes>>> + 'static,
{
    // Notified once a request was refused before its end.
    let refused = Rc::new((Notify::new(), Cell::new(false)));
    let (own, refuse) = (connection.clone(), refused.clone());
    let service = service_fn(move |req: Request<Incoming>| {
        own.begin_request(req.body().is_end_stream());
        let response = handler(req, own.clone());
        let (connection, refuse) = (own.clone(), refuse.clone());
        async move {
            let mut response = response.await;
            connection.begin_response(response.body().size_hint().lower() as usize);
            connection.await_request();
            if connection.is_unread() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
                refuse.1.set(true);
                refuse.0.notify_one();
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut http = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head_bytes)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(ClientStream::new(stream, connection)), service);
    let linger = async {
        refused.0.notified().await;
        tokio::time::sleep(REFUSAL_LINGER).await;
    };
    let ended = tokio::select! {
        // Errors are caused by the client: it disconnected or violated the protocol.
        _ = &mut http => true,
        () = linger => false,
    };
    if ended && refused.1.get() {
        discard(http.into_parts().io.into_inner()).await;
    }
}

/// Reads and discards what a client still sends of a refused request, for at most [`REFUSAL_LINGER`].
pub async fn discard<S: AsyncRead + Unpin>(mut stream: S) {
    let read_all = async {
        let mut buf = vec![0; READ_BYTES];
        while stream.read(&mut buf).await.is_ok_and(|read| read > 0) {}
    };
    // The connection is closed in either case.
    let _ = tokio::time::timeout(REFUSAL_LINGER, read_all).await;
}

fn respond(pages: &Pages, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, body) = pages(req.uri().path()).unwrap_or((StatusCode::NOT_FOUND, Vec::new()));
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
