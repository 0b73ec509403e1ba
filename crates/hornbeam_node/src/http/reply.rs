//! Replies that the HTTP handlers build.

use std::time::Duration;

use hornbeam_model::{Hit, SchemaVersion};
use hornbeam_query::{Coverage, QueryResponse, Refusal, RefusalKind, RunStatus};
use salvo::http::header::{CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use salvo::http::{Response, StatusCode};
use serde::Serialize;

/// Header that carries the caller's request id.
pub const REQUEST_ID_HEADER: &str = "hornbeam-request-id";

/// A reply. Can be stored and sent again, as for a repeated request with a token.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Vec<u8>,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// True if the request certainly did not run.
    pub not_run: bool,
}

/// Body of an error reply.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    kind: &'a str,
    message: &'a str,
    ran: RunStatus,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct ResponseBody<'a> {
    request_id: &'a str,
    complete: bool,
    hits: &'a [Hit],
    snapshot: SnapshotBody<'a>,
    coverage: &'a Coverage,
    attempts: u32,
    took_ms: f64,
}

#[derive(Serialize)]
struct SnapshotBody<'a> {
    index_version: u64,
    schemas: &'a [SchemaVersion],
    config_revision: u64,
    config_confirmed_ms_ago: Option<u64>,
}

impl Reply {
    /// Creates a reply with a JSON body.
    pub fn json(status: StatusCode, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self { status: status.as_u16(), body, retry_after: None, not_run: false }
    }

    /// Creates an error reply to a request that was refused before any part of it ran.
    pub fn refuse(status: StatusCode, kind: &str, message: &str) -> Self {
        Self::error(status, kind, message, RunStatus::NotRun, None)
    }

    /// Creates an error reply that states in `ran` whether the request ran.
    pub fn error(
        status: StatusCode,
        kind: &str,
        message: &str,
        ran: RunStatus,
        retry_after: Option<Duration>,
    ) -> Self {
        let retry_after_ms = retry_after.map(|d| d.as_millis() as u64);
        let body = ErrorBody { error: ErrorDetail { kind, message, ran, retry_after_ms } };
        Self { retry_after, not_run: ran == RunStatus::NotRun, ..Self::json(status, &body) }
    }

    /// Creates the reply to an answered query.
    pub fn response(request_id: &str, response: &QueryResponse) -> Self {
        Self::json(
            StatusCode::OK,
            &ResponseBody {
                request_id,
                complete: response.complete,
                hits: &response.hits,
                snapshot: SnapshotBody {
                    index_version: response.index_version.0,
                    schemas: &response.schemas,
                    config_revision: response.revision.0,
                    config_confirmed_ms_ago: response.confirmed_ago.map(|d| d.as_millis() as u64),
                },
                coverage: &response.coverage,
                attempts: response.attempts,
                took_ms: response.took.as_secs_f64() * 1_000.0,
            },
        )
    }

    /// Creates the reply to a refused or failed query.
    pub fn refusal(refusal: &Refusal) -> Self {
        let status = status_of(refusal.kind);
        let kind = serde_json::to_value(refusal.kind).unwrap_or_default();
        let kind = kind.as_str().unwrap_or("refused");
        Self::error(status, kind, &refusal.message, refusal.ran, refusal.retry_after)
    }

    /// Writes the reply to an HTTP response.
    pub fn write(self, res: &mut Response) {
        res.status_code(StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY));
        let headers = res.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.status == StatusCode::PAYLOAD_TOO_LARGE.as_u16() {
            // The rest of the body is not read, so the connection cannot carry another request.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(after) = self.retry_after {
            // Retry-After is in whole seconds, the body in milliseconds.
            let seconds = after.as_millis().div_ceil(1_000).max(1) as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        let _ = res.write_body(self.body);
    }
}

/// Copies the caller's request id to a header of the response.
pub fn echo_request_id(res: &mut Response, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        res.headers_mut().insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
    }
}

fn status_of(kind: RefusalKind) -> StatusCode {
    match kind {
        RefusalKind::BadRequest => StatusCode::BAD_REQUEST,
        RefusalKind::UnknownService => StatusCode::NOT_FOUND,
        RefusalKind::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        RefusalKind::NoIndex
        | RefusalKind::NoCapacity
        | RefusalKind::Draining
        | RefusalKind::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        RefusalKind::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        RefusalKind::Failed => StatusCode::BAD_GATEWAY,
        RefusalKind::BadToken => StatusCode::CONFLICT,
    }
}
