//! Requests passed on to another instance, once.

use std::net::SocketAddr;
use std::time::Duration;

use salvo::http::Request;

use super::app::App;
use super::reply::Reply;

/// Header on a request that another instance passed on.
const FORWARDED: &str = "hornbeam-forwarded-by";

/// How a request is passed on.
pub struct ForwardParams<'a> {
    /// Where to.
    pub to: SocketAddr,
    /// Headers that go with it.
    pub headers: &'a [&'a str],
    /// Longest body, in bytes.
    pub max_body: usize,
    /// Longest time until the answer is there.
    pub timeout: Duration,
}

/// Why a request that was passed on brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardError {
    /// The body could not be read; nothing was sent.
    UnreadableBody,
    /// No connection came about; nothing was sent.
    ConnectFailed,
    /// It was sent and not answered.
    NoResponse,
    /// The answer broke off.
    ResponseInterrupted,
}

/// True if another instance passed the request on.
pub fn is_forwarded(req: &Request) -> bool {
    req.headers().contains_key(FORWARDED)
}

/// Passes a request on with its path, body and the headers named; the answer as it came.
///
/// # Errors
///
/// No answer came back; the kind says whether anything was sent.
pub async fn forward(
    app: &App,
    req: &mut Request,
    way: &ForwardParams<'_>,
) -> Result<Reply, ForwardError> {
    let url = format!("http://{}{}", way.to, req.uri().path());
    let mut call = app.forwarder.post(url).timeout(way.timeout);
    for name in way.headers {
        if let Some(value) = req.headers().get(*name) {
            call = call.header(*name, value.as_bytes());
        }
    }
    call = call.header(FORWARDED, app.settings.instance.as_str());
    call = call.header("content-type", "application/json");
    let body = req.payload_with_max_size(way.max_body).await;
    let body = body.map_err(|_| ForwardError::UnreadableBody)?.to_vec();
    let answer = call.body(body).send().await.map_err(|e| match e.is_connect() {
        true => ForwardError::ConnectFailed,
        false => ForwardError::NoResponse,
    })?;
    let status = answer.status().as_u16();
    let body = answer.bytes().await.map_err(|_| ForwardError::ResponseInterrupted)?.to_vec();
    Ok(Reply { status, body, retry_after: None, not_run: false })
}
