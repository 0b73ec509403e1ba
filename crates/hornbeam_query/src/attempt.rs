//! What goes to a backend server and what comes back.

use std::net::SocketAddr;
use std::sync::Arc;

use hornbeam_model::{
    AttemptId, IndexHolding, IndexVersion, Mono, QueryId, RequestId, SchemaVersion, SearchReply,
    ServerId, ShardRanges,
};
use hornbeam_traffic::ServerIdx;
use serde_json::value::RawValue;

/// Why an attempt is sent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptKind {
    /// The first for its shards.
    Primary,
    /// A second one, while the first is late.
    Hedge,
    /// A further one, after another failed.
    Retry,
}

impl AttemptKind {
    /// The kind as a metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
        }
    }
}

/// One attempt to send to a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its number.
    pub id: AttemptId,
    /// The query it is for.
    pub query: QueryId,
    /// The caller's name for the request.
    pub request_id: RequestId,
    /// Why it is sent.
    pub kind: AttemptKind,
    /// The server.
    pub server: ServerIdx,
    /// Name of the server.
    pub server_id: ServerId,
    /// Where the server takes searches.
    pub address: SocketAddr,
    /// The query, unread.
    pub body: Arc<RawValue>,
    /// Most hits wanted for each shard.
    pub limit: u32,
    /// The index version to search.
    pub index_version: IndexVersion,
    /// The schema versions to search.
    pub schemas: Vec<SchemaVersion>,
    /// The shards to search.
    pub shards: ShardRanges,
    /// When the reply must be here.
    pub deadline: Mono,
    /// True if the search must not run twice.
    pub non_idempotent: bool,
}

/// What became of an attempt.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// The server replied with hits.
    Replied(SearchReply),
    /// The server confirmed that it did not run the search.
    NotRun,
    /// The server does not hold the index version and did not run the search.
    WrongIndex(Option<Vec<IndexHolding>>),
    /// No connection came about, so nothing was sent.
    NotSent,
    /// The search was sent and no usable reply came: it may have run.
    Unknown,
    /// The reply names another attempt.
    WrongAttempt,
}
