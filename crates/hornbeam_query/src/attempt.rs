//! Attempts sent to backend servers and their outcomes.

use std::net::SocketAddr;
use std::sync::Arc;

use hornbeam_model::{
    AttemptId, IndexHolding, IndexVersion, Mono, QueryId, RequestId, SchemaVersion, SearchReply,
    ServerId, ShardRanges,
};
use hornbeam_traffic::ServerIdx;
use serde_json::value::RawValue;

/// Reason for sending an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptKind {
    /// First attempt for its shards, or a further one if the earlier ones put no load on a server.
    Primary,
    /// Additional attempt while another one is late.
    Hedge,
    /// Further attempt after a failed one that put load on a server.
    Retry,
}

impl AttemptKind {
    /// Returns the value of the metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
        }
    }
}

/// One request to one backend server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Identifier of the attempt within this instance.
    pub id: AttemptId,
    /// The query that it belongs to.
    pub query: QueryId,
    /// The caller's identifier of the request.
    pub request_id: RequestId,
    /// Reason for sending it.
    pub kind: AttemptKind,
    /// Index of the server.
    pub server: ServerIdx,
    /// Identifier of the server.
    pub server_id: ServerId,
    /// Address at which the server accepts searches.
    pub address: SocketAddr,
    /// The query as the caller sent it; not interpreted.
    pub body: Arc<RawValue>,
    /// Maximum number of hits for each shard.
    pub limit: u32,
    /// The index version to search.
    pub index_version: IndexVersion,
    /// The schema versions to search.
    pub schemas: Vec<SchemaVersion>,
    /// The shards to search.
    pub shards: ShardRanges,
    /// Time by which the reply must arrive.
    pub deadline: Mono,
    /// True if the search must not run more than once.
    pub non_idempotent: bool,
}

/// Result of an attempt.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// The server replied with hits.
    Replied(SearchReply),
    /// The server shed the attempt and confirmed that it did not run the search.
    NotRun,
    /// The server does not hold the index version and did not run the search; it may state what it
    /// holds.
    WrongIndex(Option<Vec<IndexHolding>>),
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The search was sent and no usable reply arrived; it may have run.
    Unknown,
    /// The reply belongs to a different attempt.
    WrongAttempt,
}
