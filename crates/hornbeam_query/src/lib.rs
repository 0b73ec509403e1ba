//! The decisions of queries: pinning, planning, hedging, merging.
//!
//! - [`request`]: what a caller asks
//! - [`response`]: what a caller is told
//! - [`attempt`]: what goes to a backend server and what comes back
//! - [`merge`]: hits of many shards into one ranking
//! - [`query`]: state of one running query
//! - [`engine`]: all queries of one instance, `step(now, input) -> outputs`
//! - [`tokens`]: tokens that let a non-idempotent request be resent

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
