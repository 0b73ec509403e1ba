//! The entry program: callers' requests, connections to backend servers, feeds of controllers.
//!
//! The decisions are in `hornbeam_route` and `hornbeam_discovery`; this package carries bytes and time
//! to them. One thread follows the controllers, the other carries the traffic.
//!
//! - [`dialect`]: names of headers and paths towards callers and servers
//! - [`core`]: the engine with what waits for its outputs
//! - [`front`]: callers' connections
//! - [`answer`]: reads a server's answer
//! - [`backends`]: connections to backend servers
//! - [`groups`]: groups of shards at the core
//! - [`mergers`]: groups of shards between entries
//! - [`line`]: a connection between two entries
//! - [`feeds`]: follows the controllers on a thread of its own
//! - [`metrics`]: Prometheus metrics
//! - [`run`]: starts and stops all of it

pub mod answer;
pub mod backends;
pub mod core;
pub mod dialect;
pub mod feeds;
pub mod front;
pub mod groups;
pub mod line;
pub mod mergers;
pub mod metrics;
pub mod run;

pub use dialect::Dialect;
pub use run::run;
