//! Requests of callers.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{QueryId, RequestId, ServiceId, ShardId};
use serde_json::value::RawValue;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

/// Selection of the shards to search.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShardSelector {
    /// Every shard of the index version.
    All,
    /// These shards.
    Listed(Vec<ShardId>),
    /// The shard that holds this key.
    Key(SmolStr),
}

impl ShardSelector {
    /// Returns the selected shards in ascending order, without duplicates.
    ///
    /// # Errors
    ///
    /// Returns the highest listed shard if an index of `shard_count` shards does not have it.
    pub fn resolve(&self, shard_count: u32) -> Result<Vec<ShardId>, ShardId> {
        match self {
            Self::All => Ok((0..shard_count).map(ShardId).collect()),
            Self::Key(key) => Ok(vec![shard_of_key(key, shard_count)]),
            Self::Listed(shards) => {
                let mut shards = shards.clone();
                shards.sort_unstable();
                shards.dedup();
                match shards.last() {
                    Some(last) if last.0 >= shard_count => Err(*last),
                    _ => Ok(shards),
                }
            }
        }
    }

    /// Returns true if exactly one shard is selected by key or number; a list with a repeated
    /// number counts as several.
    pub fn is_single(&self) -> bool {
        match self {
            Self::All => false,
            Self::Key(_) => true,
            Self::Listed(shards) => shards.len() == 1,
        }
    }
}

/// Returns the shard that holds `key`: the XXH3 hash of the key modulo the shard count.
pub fn shard_of_key(key: &str, shard_count: u32) -> ShardId {
    let shard = xxh3_64(key.as_bytes()) % u64::from(shard_count.max(1));
    ShardId(shard as u32)
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier of the query within this instance.
    pub id: QueryId,
    /// The caller's identifier of the request.
    pub request_id: RequestId,
    /// The requested service.
    pub service: ServiceId,
    /// The shards to search.
    pub shards: ShardSelector,
    /// Maximum number of hits in the response.
    pub limit: u32,
    /// Patience that the caller stated; the configured patience is the upper bound and the default.
    pub patience: Option<Duration>,
    /// Wall-clock time of arrival in milliseconds since 1970-01-01 UTC; the configured patience
    /// depends on the time of day.
    pub unix_ms: i64,
    /// True if the request must not run more than once.
    pub non_idempotent: bool,
    /// True if the request came with a valid token.
    pub has_token: bool,
    /// The query as the caller sent it; not interpreted.
    pub body: Arc<RawValue>,
}
