//! Checks on request bodies before they are read further.

use salvo::http::{Request, StatusCode};
use serde::de::DeserializeOwned;

use super::reply::Reply;

/// Deepest nesting accepted in a JSON body.
pub const MAX_JSON_DEPTH: usize = 64;

/// Reads a JSON body of at most `max_bytes`.
///
/// # Errors
///
/// A 413 or 400 reply that says what is wrong.
pub async fn read_json<T: DeserializeOwned>(
    req: &mut Request,
    max_bytes: usize,
) -> Result<T, Reply> {
    let too_large = || {
        let message = format!("the body is longer than {max_bytes} bytes: send a shorter one");
        Reply::refuse(StatusCode::PAYLOAD_TOO_LARGE, "too_large", &message)
    };
    let length = req.headers().get("content-length").and_then(|v| v.to_str().ok());
    if length.and_then(|l| l.parse::<usize>().ok()).is_some_and(|l| l > max_bytes) {
        return Err(too_large());
    }
    let Ok(body) = req.payload_with_max_size(max_bytes).await else { return Err(too_large()) };
    parse_json(body)
}

/// Parses a JSON body.
///
/// # Errors
///
/// A 400 reply that says what is wrong.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Reply> {
    if nesting_depth(body) > MAX_JSON_DEPTH {
        let message = format!("the body is nested deeper than {MAX_JSON_DEPTH} levels: flatten it");
        return Err(Reply::refuse(StatusCode::BAD_REQUEST, "bad_request", &message));
    }
    serde_json::from_slice(body).map_err(|e| {
        let message = format!("the body is not as expected: {e}: see docs/API.md");
        Reply::refuse(StatusCode::BAD_REQUEST, "bad_request", &message)
    })
}

/// Deepest nesting of brackets outside strings.
pub fn nesting_depth(json: &[u8]) -> usize {
    let mut depth = 0usize;
    let mut deepest = 0;
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
        deepest = deepest.max(depth);
    }
    deepest
}
