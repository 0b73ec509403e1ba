//! What a caller asks.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{QueryId, RequestId, ServiceId, ShardId};
use serde_json::value::RawValue;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

/// The shards a caller asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShardSelector {
    /// Every shard of the index version.
    All,
    /// These shards.
    Listed(Vec<ShardId>),
    /// The one shard that holds this key.
    Key(SmolStr),
}

impl ShardSelector {
    /// The shards in rising order, or the first that an index of `shard_count` shards lacks.
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

    /// True if exactly one shard is named.
    pub fn is_single(&self) -> bool {
        match self {
            Self::All => false,
            Self::Key(_) => true,
            Self::Listed(shards) => shards.len() == 1,
        }
    }
}

/// The shard that holds `key`: its XXH3 hash modulo the shard count.
pub fn shard_of_key(key: &str, shard_count: u32) -> ShardId {
    let shard = xxh3_64(key.as_bytes()) % u64::from(shard_count.max(1));
    ShardId(shard as u32)
}

/// One caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// This instance's number for it.
    pub id: QueryId,
    /// The caller's name for it.
    pub request_id: RequestId,
    /// The service asked.
    pub service: ServiceId,
    /// The shards asked for.
    pub shards: ShardSelector,
    /// Most hits wanted.
    pub limit: u32,
    /// How long the caller waits, if it said so.
    pub patience: Option<Duration>,
    /// Wall time of arrival in milliseconds since 1970, for the patience of the hour.
    pub unix_ms: i64,
    /// True if the request must not run twice.
    pub non_idempotent: bool,
    /// True if the request came with a valid token.
    pub has_token: bool,
    /// The query, unread.
    pub body: Arc<RawValue>,
}
