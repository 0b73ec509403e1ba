//! The decisions of routed requests: matching, placing, hedging, retries, finishing.
//!
//! A routed request is opaque: it goes to one server of a service, or to one server of every shard of
//! an index, whose parts are merged. Nothing here does I/O.
//!
//! - [`budget`]: extra requests that a service may get
//! - [`server`]: what an entry knows of one backend server
//! - [`service`]: the servers of one service and the requests that wait for them
//! - [`request`]: state of one running request
//! - [`split`]: requests in proportion to weights
//! - [`merge`]: records of many parts into one ranking
//! - [`decision`]: what was decided and why, for the log
//! - [`peers`]: other entries, and which of them collects which group of shards
//! - [`engine`]: all requests of one entry, `step(now, input) -> outputs`

pub mod budget;
pub mod decision;
pub mod engine;
pub mod merge;
pub mod peers;
pub mod request;
pub mod server;
pub mod service;
pub mod split;

pub use budget::{RetryBudget, RetryBudgetParams};
pub use decision::{AttemptKind, Decision, GroupFailure};
pub use engine::{
    Attempt, AttemptOutcome, Completion, Counters, Delegation, Engine, EngineParams, GroupEvent,
    GroupRequest, Input, Output, ServerChange, ServerHealthReport, group_size,
};
pub use merge::merge_records;
pub use peers::{Peer, Peers};
pub use request::{Refusal, RefusalKind};
