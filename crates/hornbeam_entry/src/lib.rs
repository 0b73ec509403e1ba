//! The entry program: callers' requests, connections to backend servers, feeds of controllers.
//!
//! The decisions are in `hornbeam_route` and `hornbeam_discovery`; this package carries bytes and time
//! to them. One thread follows the controllers, the other carries the traffic.
//!
//! - [`dialect`]: names of headers and paths towards callers and servers
//! - [`core`]: the engine with what waits for its outputs
//! - [`front`]: callers' connections
//! - [`response`]: reads a server's answer
//! - [`backends`]: connections to backend servers
//! - [`groups`]: groups of shards at the core
//! - [`group_exchange`]: groups of shards between entries
//! - [`peer_connection`]: a connection between two entries
//! - [`feeds`]: follows the controllers on a thread of its own
//! - [`metrics`]: Prometheus metrics
//! - [`mod@run`]: starts and stops all of it

pub mod backends;
pub mod core;
pub mod dialect;
pub mod feeds;
pub mod front;
pub mod group_exchange;
pub mod groups;
pub mod metrics;
pub mod peer_connection;
pub mod response;
pub mod run;

pub use dialect::Dialect;
pub use run::run;
