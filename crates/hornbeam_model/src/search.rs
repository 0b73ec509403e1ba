//! The bodies exchanged with backend servers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use smol_str::SmolStr;

use crate::hit::Hit;
use crate::ids::{IndexVersion, RequestId, SchemaVersion, ShardId};
use crate::server::IndexHolding;
use crate::shards::ShardRanges;

/// Header that a leaving server sets to `true` on every reply.
pub const DRAINING_HEADER: &str = "Hornbeam-Draining";

/// Body of `POST /v1/search`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SearchRequest {
    /// Names the attempt, unique over all instances and starts.
    pub attempt: SmolStr,
    /// The caller's request id.
    pub request: RequestId,
    /// The caller's query, unread.
    pub query: Arc<RawValue>,
    /// Most hits wanted for each shard.
    pub limit: u32,
    /// The index version to search.
    pub index_version: IndexVersion,
    /// The schema versions to search.
    pub schemas: Vec<SchemaVersion>,
    /// The shards to search.
    pub shards: ShardRanges,
    /// Time left for the reply, in milliseconds.
    pub deadline_ms: u64,
    /// True if the search must not run twice.
    pub non_idempotent: bool,
}

/// Hits of one shard.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ShardReply {
    /// The shard.
    pub shard: ShardId,
    /// The schema versions searched.
    pub schemas: Vec<SchemaVersion>,
    /// Its best hits, best first.
    pub hits: Vec<Hit>,
}

/// Load as a server reports it on a reply.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Searches that run.
    pub busy: u32,
    /// Searches that wait.
    pub queued: u32,
}

/// Body of a 200 reply to a search.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SearchReply {
    /// The attempt that this answers.
    pub attempt: SmolStr,
    /// The index version searched.
    pub index_version: IndexVersion,
    /// One entry for each shard searched.
    pub shards: Vec<ShardReply>,
    /// Load of the server.
    #[serde(default)]
    pub load: Option<LoadReport>,
}

/// Body of a 409 or 503 reply to a search.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct NotRunReply {
    /// `false` only if the search was not run.
    #[serde(default)]
    pub ran: Option<bool>,
    /// What the server holds now, with 409.
    #[serde(default)]
    pub indexes: Option<Vec<IndexHolding>>,
}

/// Body of `POST /v1/cancel`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CancelRequest {
    /// The attempt that is no longer wanted.
    pub attempt: SmolStr,
}
