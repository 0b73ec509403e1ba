//! Request and reply bodies of backend servers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use smol_str::SmolStr;

use crate::hit::Hit;
use crate::ids::{IndexVersion, RequestId, SchemaVersion, ShardId};
use crate::server::IndexHolding;
use crate::shards::ShardRanges;

/// Header that a draining server sets to `true` on every reply.
pub const DRAINING_HEADER: &str = "Hornbeam-Draining";

/// Body of `POST /v1/search`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SearchRequest {
    /// Id of the attempt, unique across all instances and their starts.
    pub attempt: SmolStr,
    /// Request id of the caller.
    pub request: RequestId,
    /// Query of the caller, passed through without being parsed.
    pub query: Arc<RawValue>,
    /// Maximum number of hits per shard.
    pub limit: u32,
    /// Index version to search.
    pub index_version: IndexVersion,
    /// Schema versions to search.
    pub schemas: Vec<SchemaVersion>,
    /// Shards to search.
    pub shards: ShardRanges,
    /// Remaining time for the reply, in milliseconds.
    pub deadline_ms: u64,
    /// True if the search must not run more than once.
    pub non_idempotent: bool,
}

/// Hits of one shard.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ShardReply {
    /// Shard that was searched.
    pub shard: ShardId,
    /// Schema versions that were searched.
    pub schemas: Vec<SchemaVersion>,
    /// Best hits of the shard, best first.
    pub hits: Vec<Hit>,
}

/// Load that a server reports with a reply.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Number of running searches.
    pub busy: u32,
    /// Number of queued searches.
    pub queued: u32,
}

/// Body of a 200 reply to a search.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SearchReply {
    /// Attempt that this reply belongs to.
    pub attempt: SmolStr,
    /// Index version that was searched.
    pub index_version: IndexVersion,
    /// One reply for each shard that was searched.
    pub shards: Vec<ShardReply>,
    /// Load of the server, if it reports one.
    #[serde(default)]
    pub load: Option<LoadReport>,
}

/// Body of a 409 or 503 reply to a search, which may have run unless `ran` is `false`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct NotRunReply {
    /// `false` only if the search did not run.
    #[serde(default)]
    pub ran: Option<bool>,
    /// Index versions that the server holds now; part of a 409 reply.
    #[serde(default)]
    pub indexes: Option<Vec<IndexHolding>>,
}

/// Body of `POST /v1/cancel`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CancelRequest {
    /// Attempt whose reply is no longer needed.
    pub attempt: SmolStr,
}
