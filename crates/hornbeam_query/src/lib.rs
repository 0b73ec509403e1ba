//! Query engine: pins snapshots, plans and hedges attempts, merges hits.
//!
//! - [`request`]: requests of callers
//! - [`response`]: responses and refusals that callers receive
//! - [`attempt`]: attempts sent to backend servers and their outcomes
//! - [`merge`]: merging of the hits of many shards into one ranking
//! - [`query`]: state of one running query
//! - [`engine`]: state machine of all queries of one instance, `step(now, input) -> outputs`
//! - [`tokens`]: tokens that make it safe to resend a non-idempotent request

pub mod attempt;
pub mod engine;
pub mod merge;
pub mod query;
pub mod request;
pub mod response;
pub mod tokens;

pub use attempt::{Attempt, AttemptKind, AttemptOutcome};
pub use engine::{Counters, Engine, EngineParams, HedgePolicy, Input, Output};
pub use merge::Merger;
pub use request::{Request, ShardSelector};
pub use response::{
    Coverage, MissingReason, MissingShards, QueryResponse, Refusal, RefusalKind, RunStatus,
};
