//! Reading and parsing of JSON request bodies within limits of size, nesting and memory.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeam_query::RunStatus;
use salvo::http::{Request, StatusCode};
use serde::de::DeserializeOwned;

use super::app::App;
use super::reply::Reply;
use crate::memory::Reservation;
use crate::request_body::{BodyError, read_body};

/// When a request that found no memory may be sent again: connections without progress have given way then.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The body of a request, kept with it until it is answered.
#[derive(Clone)]
pub struct RequestBody {
    /// The body.
    pub bytes: Bytes,
    /// Memory for a parsed copy.
    _parsed: Arc<Reservation>,
}

/// Maximum nesting depth of a JSON body.
pub const MAX_JSON_DEPTH: usize = 64;

/// Reads and parses a JSON body of at most `max_bytes`, and keeps it with the request as a [`RequestBody`].
///
/// # Errors
///
/// Returns a reply with status 413 if the body is too long, 400 if it is not valid, 408 if it does not arrive in
/// time, or 503 if there is no memory for it.
pub async fn read_json<T: DeserializeOwned>(
    app: &App,
    req: &mut Request,
    max_bytes: usize,
) -> Result<T, Reply> {
    let too_large = || {
        let message = format!("the body exceeds {max_bytes} bytes: send a shorter one");
        Reply::refuse(StatusCode::PAYLOAD_TOO_LARGE, "too_large", &message)
    };
    let length = req.headers().get("content-length").and_then(|v| v.to_str().ok());
    if length.and_then(|l| l.parse::<usize>().ok()).is_some_and(|l| l > max_bytes) {
        return Err(too_large());
    }
    let connection = app.clients.connection_of(req).ok_or_else(no_room)?;
    let bytes = match read_body(&connection, req.take_body(), max_bytes).await {
        Ok(bytes) => bytes,
        Err(BodyError::TooLong) => return Err(too_large()),
        Err(BodyError::NoRoom) => return Err(no_room()),
        Err(BodyError::Invalid) => {
            let message = "the body is malformed or incomplete: send it again";
            return Err(Reply::refuse(StatusCode::BAD_REQUEST, "bad_request", message));
        }
        Err(BodyError::TimedOut) => {
            let message = "the body did not arrive within 10 seconds: send it faster";
            return Err(Reply::refuse(StatusCode::REQUEST_TIMEOUT, "timed_out", message));
        }
    };
    let mut parsed = connection.reservation();
    if !connection.reserve(&mut parsed, bytes.len()).await {
        return Err(no_room());
    }
    let body = RequestBody { bytes, _parsed: Arc::new(parsed) };
    let value = parse_json(&body.bytes);
    req.extensions_mut().insert(body);
    value
}

/// Returns the reply to a request for which there is no memory.
pub fn no_room() -> Reply {
    let message = "this instance holds too many large requests: send the request to another one";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let after = Some(NO_ROOM_RETRY_AFTER);
    Reply::error(status, "overloaded", message, RunStatus::NotRun, after)
}

/// Parses a JSON body after a check of its nesting depth.
///
/// # Errors
///
/// Returns a reply with status 400 if the body is nested too deeply or does not have the expected
/// form.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Reply> {
    if nesting_depth(body) > MAX_JSON_DEPTH {
        let message =
            format!("the body is nested more than {MAX_JSON_DEPTH} levels deep: flatten it");
        return Err(Reply::refuse(StatusCode::BAD_REQUEST, "bad_request", &message));
    }
    serde_json::from_slice(body).map_err(|e| {
        let message = format!("the body is invalid: {e}: see docs/API.md");
        Reply::refuse(StatusCode::BAD_REQUEST, "bad_request", &message)
    })
}

/// Returns the maximum nesting depth of brackets and braces outside strings.
pub fn nesting_depth(json: &[u8]) -> usize {
    let mut depth = 0usize;
    let mut max_depth = 0;
    let mut in_string = false;
    let mut escaped = false;
    for byte in json {
        if in_string {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_string = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        max_depth = max_depth.max(depth);
    }
    max_depth
}
