//! Parsing of JSON request bodies within limits of size and nesting.

use salvo::http::{Request, StatusCode};
use serde::de::DeserializeOwned;

use super::reply::Reply;

/// Maximum nesting depth of a JSON body.
pub const MAX_JSON_DEPTH: usize = 64;

/// Reads and parses a JSON body of at most `max_bytes`.
///
/// # Errors
///
/// Returns a reply with status 413 if the body is too long, or 400 if it is not valid.
pub async fn read_json<T: DeserializeOwned>(
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
    let Ok(body) = req.payload_with_max_size(max_bytes).await else { return Err(too_large()) };
    parse_json(body)
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
