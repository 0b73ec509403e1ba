//! Limits, budgets and load-balancing state that all queries of an instance share.
//!
//! - [`admission`]: queues and fairness between services, deadline-aware refusal
//! - [`limiter`]: concurrency limit that follows measured latency
//! - [`budget`]: retry budget that primary attempts earn
//! - [`latency`]: distribution of recent latencies
//! - [`share`]: this instance's share of a server's connections
//! - [`server`]: state of one backend server
//! - [`table`]: which servers hold which shards of which index version
//! - [`fleet`]: all servers and placement tables of one instance
//! - [`picker`]: replica selection

pub mod admission;
pub mod budget;
pub mod fleet;
pub mod latency;
pub mod limiter;
pub mod picker;
pub mod server;
pub mod share;
pub mod table;

pub use admission::{Admission, AdmissionDecision};
pub use budget::RetryBudget;
pub use fleet::{Fleet, FleetParams, ServerChange, ServiceState};
pub use latency::LatencyWindow;
pub use limiter::Limiter;
pub use picker::{PickOutcome, PlannedAttempts, ReplicaRequest, SchemaNeed};
pub use server::{ServerIdx, ServerRecord};
pub use share::{Roster, connection_share};
pub use table::{Replica, SchemaMask, ServiceTable, VersionTable, full_mask};
