//! Names of headers and paths that an entry uses with callers and backend servers.
//!
//! The default names are the product's own; a platform with other names supplies its own
//! [`Dialect`].

use hyper::header::HeaderName;

/// Names of the headers and paths that an entry uses with callers and backend servers.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Header with the request id that the caller assigns; servers echo it.
    pub request_id: HeaderName,
    /// Header with the remaining time in milliseconds, in requests from callers and to servers.
    pub deadline_ms: HeaderName,
    /// Header with the key of a team, in requests from callers; it is never forwarded if the routing
    /// table has teams.
    pub key: HeaderName,
    /// Header with the name of the team that holds the key, in requests to servers.
    pub team: HeaderName,
    /// Header that names the server that the request is for; any other server rejects the request.
    pub expected_server: HeaderName,
    /// Header by which a server states that it did not execute the request.
    pub not_run: HeaderName,
    /// Header by which a server states in its responses that it is leaving.
    pub leaving: HeaderName,
    /// Header by which a server states the requests a second that it accepts from all entries
    /// together: a decimal number.
    pub rate_limit: HeaderName,
    /// Header by which a server states for how many milliseconds it is still cold.
    pub warm_up_ms: HeaderName,
    /// Header by which a server states its load; see [`crate::server_statements`].
    pub load: HeaderName,
    /// Header with a server's signature of its response.
    pub signature: HeaderName,
    /// Header with the signatures of the shard responses that a merged response includes.
    pub shard_signatures: HeaderName,
    /// Header with the number of missing shards of a merged response.
    pub missing_shards: HeaderName,
    /// Path of the readiness check of an entry.
    pub ready_path: String,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("hornbeam-request-id"),
            deadline_ms: HeaderName::from_static("hornbeam-deadline-ms"),
            key: HeaderName::from_static("hornbeam-key"),
            team: HeaderName::from_static("hornbeam-team"),
            expected_server: HeaderName::from_static("hornbeam-expected-server"),
            not_run: HeaderName::from_static("hornbeam-not-run"),
            leaving: HeaderName::from_static("hornbeam-leaving"),
            rate_limit: HeaderName::from_static("hornbeam-rate-limit"),
            warm_up_ms: HeaderName::from_static("hornbeam-warmup-ms"),
            load: HeaderName::from_static("hornbeam-load"),
            signature: HeaderName::from_static("hornbeam-signature"),
            shard_signatures: HeaderName::from_static("hornbeam-part-signatures"),
            missing_shards: HeaderName::from_static("hornbeam-lacking-shards"),
            ready_path: "/v1/health".to_owned(),
        }
    }
}
