//! Responses and refusals that callers receive.

use std::time::Duration;

use hornbeam_model::{Hit, IndexVersion, QueryId, Revision, SchemaVersion, ShardRanges};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Reason why shards are missing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No usable server holds them.
    NoReplica,
    /// Servers that hold them had no capacity in time.
    NoCapacity,
    /// An attempt was in flight when the response was due.
    TimedOut,
    /// Servers failed or refused, and no further attempt was allowed or followed in time.
    Failed,
}

/// Shards without a response, with a common reason.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MissingShards {
    /// The shards.
    pub shards: ShardRanges,
    /// The live schema versions in which they are missing.
    pub schemas: Vec<SchemaVersion>,
    /// Why they are missing.
    pub reason: MissingReason,
}

/// Coverage of the requested shards by a response.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coverage {
    /// Number of requested shards.
    pub shards_total: u32,
    /// Shards covered in every live schema version.
    pub covered: ShardRanges,
    /// The other shards, grouped by schema versions and reason.
    #[serde(rename = "lacking")]
    pub missing: Vec<MissingShards>,
}

/// Response to a query, complete or partial.
#[derive(Clone, Debug)]
pub struct QueryResponse {
    /// The query.
    pub query: QueryId,
    /// True only if `coverage.missing` is empty.
    pub complete: bool,
    /// The best hits, best first; each record occurs once.
    pub hits: Vec<Hit>,
    /// Index version from which all hits come.
    pub index_version: IndexVersion,
    /// The live schema versions, lowest first.
    pub schemas: Vec<SchemaVersion>,
    /// Revision of the configuration that the query was pinned to.
    pub revision: Revision,
    /// Time since a quorum last confirmed the configuration in force; `None` if it never did.
    pub confirmed_ago: Option<Duration>,
    /// Covered and missing shards.
    pub coverage: Coverage,
    /// Number of attempts sent for the query.
    pub attempts: u32,
    /// Time from the arrival of the request to the response.
    pub took: Duration,
}

/// Reason why a request is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request is invalid.
    BadRequest,
    /// The service is not configured.
    UnknownService,
    /// The instance sheds load; retry later.
    Overloaded,
    /// The service has no usable index version.
    NoIndex,
    /// No server accepted the request.
    NoCapacity,
    /// Servers received the request and none replied in time.
    TimedOut,
    /// A server failed while it had the request.
    Failed,
    /// The instance is shutting down.
    Draining,
    /// The instance has no configuration yet.
    NotReady,
    /// The token is unknown or expired, or its issuer has restarted or is not reachable.
    BadToken,
}

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunStatus {
    /// It did not run on any server.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Serialize for RunStatus {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::NotRun => s.serialize_bool(false),
            Self::Unknown => s.serialize_str("unknown"),
        }
    }
}

/// Refusal of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// The query.
    pub query: QueryId,
    /// Reason of the refusal.
    pub kind: RefusalKind,
    /// Explanation and remedy for the caller.
    pub message: SmolStr,
    /// Whether the request ran; JSON has `false` or `"unknown"`.
    pub ran: RunStatus,
    /// Time after which the caller may retry, if a retry can help.
    pub retry_after: Option<Duration>,
}
