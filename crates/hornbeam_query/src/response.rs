//! What a caller is told.

use std::time::Duration;

use hornbeam_model::{Hit, IndexVersion, QueryId, Revision, SchemaVersion, ShardRanges};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Why shards are lacking.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No server holds them.
    NoReplica,
    /// Servers that hold them had no room in time.
    NoCapacity,
    /// A server was asked and did not reply in time.
    TimedOut,
    /// Servers failed or refused and no further attempt was allowed.
    Failed,
}

/// Shards that an answer lacks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MissingShards {
    /// The shards.
    pub shards: ShardRanges,
    /// The schema versions in which they are lacking.
    pub schemas: Vec<SchemaVersion>,
    /// Why.
    pub reason: MissingReason,
}

/// Which of the shards asked for an answer covers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coverage {
    /// Number of shards asked for.
    pub shards_total: u32,
    /// Shards covered in every live schema version.
    pub covered: ShardRanges,
    /// The others.
    #[serde(rename = "lacking")]
    pub missing: Vec<MissingShards>,
}

/// An answer, complete or not.
#[derive(Clone, Debug)]
pub struct QueryResponse {
    /// The query.
    pub query: QueryId,
    /// True only if `coverage.missing` is empty.
    pub complete: bool,
    /// The best hits, best first; each record once.
    pub hits: Vec<Hit>,
    /// The one index version that all hits come from.
    pub index_version: IndexVersion,
    /// The live schema versions, lowest first.
    pub schemas: Vec<SchemaVersion>,
    /// The configuration used.
    pub revision: Revision,
    /// Time since a quorum confirmed that configuration, if one ever did.
    pub confirmed_ago: Option<Duration>,
    /// Which shards are covered.
    pub coverage: Coverage,
    /// Attempts sent for it.
    pub attempts: u32,
    /// Time from arrival to answer.
    pub took: Duration,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request cannot be right as it is.
    BadRequest,
    /// The service is not configured.
    UnknownService,
    /// Too much load; come back later.
    Overloaded,
    /// No usable index version.
    NoIndex,
    /// No server took the request.
    NoCapacity,
    /// Servers were asked and none replied in time.
    TimedOut,
    /// A server failed while it had the request.
    Failed,
    /// The instance is shutting down.
    Draining,
    /// The instance does not know a configuration yet.
    NotReady,
    /// The token is unknown, expired or was issued by an instance that is gone.
    BadToken,
}

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunStatus {
    /// It did not run anywhere.
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

/// A refusal of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// The query.
    pub query: QueryId,
    /// Why.
    pub kind: RefusalKind,
    /// Why in words, with the remedy.
    pub message: SmolStr,
    /// Whether it ran.
    pub ran: RunStatus,
    /// When the caller may come back, if that helps.
    pub retry_after: Option<Duration>,
}
