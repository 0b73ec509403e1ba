//! HTTP endpoints for the platform, such as readiness and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::socket;

/// Maximum idle time of a platform connection, which also bounds reading of request headers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before accepting again after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Returns status and body for a request path, or `None` if the path does not exist.
pub type Pages = Rc<dyn Fn(&str) -> Option<(StatusCode, Vec<u8>)>>;

/// Binds `address` and serves `pages` on it in a task on the current thread. Unknown paths get 404.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve(address: SocketAddr, pages: Pages) -> std::io::Result<()> {
    let listener = socket::listen(address, socket::CALLERS).await?;
    tokio::task::spawn_local(accept(listener, IDLE_TIMEOUT, move |req| {
        let response = respond(&pages, &req);
        async move { response }
    }));
    Ok(())
}

/// Accepts connections and passes their requests to `handler` until the task is dropped. `idle` is
/// the header read timeout of each connection.
pub async fn accept<F, A>(listener: TcpListener, idle: Duration, handler: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + 'static,
    A: Future<Output = Response<Full<Bytes>>> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |req| {
                let response = handler(req);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(idle)
                .auto_date_header(false)
                .serve_connection(TokioIo::new(stream), service);
            // Errors are caused by the client: it disconnected or violated the protocol.
            let _ = connection.await;
        });
    }
}

fn respond(pages: &Pages, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, body) = pages(req.uri().path()).unwrap_or((StatusCode::NOT_FOUND, Vec::new()));
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
