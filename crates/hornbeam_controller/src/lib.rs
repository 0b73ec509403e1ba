//! Controller program: receives heartbeats and routing tables, and feeds both to the entries.
//!
//! The logic without I/O is in `hornbeam_control` and `hornbeam_discovery`; this crate connects it
//! to the network, the clock and the disk.
//!
//! - [`dialect`]: encoding of API calls, heartbeats and routing tables
//! - [`api`]: HTTP API for backend servers and operators
//! - [`feed`]: connections on which entries receive servers and routing tables
//! - [`log_disk`]: writes of the control log
//! - [`order_rules`]: whether an order about a zone may be proposed
//! - [`state`]: the loop that holds all state
//! - [`state_file`]: state that is saved each time it changes
//! - [`tables`]: recent routing tables, from which deltas are computed
//! - [`metrics`]: Prometheus metrics
//! - [`run`](mod@run): startup and shutdown

pub mod api;
pub mod dialect;
pub mod feed;
pub mod log_disk;
pub mod metrics;
pub mod order_rules;
pub mod run;
pub mod state;
pub mod state_file;
pub mod tables;

pub use dialect::{Call, Dialect};
pub use run::run;
