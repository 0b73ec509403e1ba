//! Forwarding of requests to another instance. A request is forwarded at most once.

use std::net::SocketAddr;
use std::time::Duration;

use salvo::http::Request;

use super::app::App;
use super::body::RequestBody;
use super::reply::Reply;

/// Header of a forwarded request. Its value is the name of the instance that forwarded it.
const FORWARDED_BY_HEADER: &str = "hornbeam-forwarded-by";
/// Longest response body of another instance, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Parameters of [`forward`].
pub struct ForwardParams<'a> {
    /// HTTP address of the other instance.
    pub to: SocketAddr,
    /// Names of the request headers to copy.
    pub headers: &'a [&'a str],
    /// Limit for the whole exchange, including the response body.
    pub timeout: Duration,
}

/// Reason why a forwarded request has no complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardError {
    /// The request body could not be read. Nothing was sent.
    UnreadableBody,
    /// The connection could not be established. Nothing was sent.
    ConnectFailed,
    /// No response arrived, although the request may have been received.
    NoResponse,
    /// The connection failed while the response body was being received, or the body is too long.
    ResponseInterrupted,
}

/// Returns whether another instance forwarded this request.
pub fn is_forwarded(req: &Request) -> bool {
    req.headers().contains_key(FORWARDED_BY_HEADER)
}

/// Forwards a request with its path, its body and the headers in `params`. Returns status and body
/// of the response unchanged.
///
/// # Errors
///
/// Returns an error if no complete response arrives. Its kind says whether anything was sent.
pub async fn forward(
    app: &App,
    req: &Request,
    params: &ForwardParams<'_>,
) -> Result<Reply, ForwardError> {
    let url = format!("http://{}{}", params.to, req.uri().path());
    let mut call = app.forwarder.post(url).timeout(params.timeout);
    for name in params.headers {
        if let Some(value) = req.headers().get(*name) {
            call = call.header(*name, value.as_bytes());
        }
    }
    call = call.header(FORWARDED_BY_HEADER, app.settings.instance.as_str());
    call = call.header("content-type", "application/json");
    // It was read before it was known who has to serve the request.
    let body = req.extensions().get::<RequestBody>().map(|body| body.bytes.clone());
    let body = body.ok_or(ForwardError::UnreadableBody)?;
    let response = call.body(body).send().await.map_err(|e| match e.is_connect() {
        true => ForwardError::ConnectFailed,
        false => ForwardError::NoResponse,
    })?;
    let status = response.status().as_u16();
    let body = read_response(response).await.ok_or(ForwardError::ResponseInterrupted)?;
    Ok(Reply { status, body, retry_after: None, not_run: false })
}

/// Reads the body of another instance's response; `None` if it is incomplete or too long.
async fn read_response(mut response: reqwest::Response) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.ok()? {
        if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(body)
}
