//! Limits, budgets and balancing state that queries share.
//!
//! - [`admission`]: queues and fairness over services, deadline-aware refusal
//! - [`limiter`]: concurrency limit that follows measured latency
//! - [`budget`]: extra attempts earned by primary attempts
//! - [`latency`]: recent latency distribution
//! - [`share`]: this instance's part of a server's connections
//! - [`server`]: what is known of one backend server
//! - [`table`]: which servers hold which shards of which index version
//! - [`fleet`]: all servers and tables
//! - [`picker`]: the choice of a replica

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
