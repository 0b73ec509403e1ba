//! Names of headers and paths towards callers and servers.
//!
//! The default is the product's own; a platform that speaks otherwise gives its own names here.

use hyper::header::HeaderName;

/// Names of headers and paths.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Header of the caller's id of a request; echoed by servers.
    pub request_id: HeaderName,
    /// Header of the time left in milliseconds, from callers and to servers.
    pub deadline_ms: HeaderName,
    /// Header that names the server which must answer; any other refuses.
    pub expected_server: HeaderName,
    /// Header with which a server states that it did not run the request.
    pub not_run: HeaderName,
    /// Header of a server's signature on its answer.
    pub signature: HeaderName,
    /// Header of the signatures of the parts that a merged answer includes.
    pub shard_signatures: HeaderName,
    /// Header of the number of shards that a merged answer lacks.
    pub missing_shards: HeaderName,
    /// Path of the readiness check.
    pub ready_path: String,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("hornbeam-request-id"),
            deadline_ms: HeaderName::from_static("hornbeam-deadline-ms"),
            expected_server: HeaderName::from_static("hornbeam-expected-server"),
            not_run: HeaderName::from_static("hornbeam-not-run"),
            signature: HeaderName::from_static("hornbeam-signature"),
            shard_signatures: HeaderName::from_static("hornbeam-part-signatures"),
            missing_shards: HeaderName::from_static("hornbeam-lacking-shards"),
            ready_path: "/v1/health".to_owned(),
        }
    }
}
