//! The entry program: callers' requests, connections to backend servers, feeds of controllers.
//!
//! `hornbeam_route` and `hornbeam_discovery` make the decisions; this crate does their I/O and
//! drives their timers. One thread, the control thread, follows the controllers; another one
//! carries the traffic.
//!
//! - [`dialect`]: names of headers and paths that an entry uses with callers and servers
//! - [`core`]: runs the routing engine and executes its outputs
//! - [`request`]: requests as they are read and forwarded
//! - `team_fields`: header fields about teams
//! - [`front`]: HTTP server for callers' connections
//! - [`response`]: reads a backend server's response
//! - `response_head`: status line and header fields of a response, and how they determine its body
//! - `chunks`: lines of the chunked transfer coding
//! - `integrity`: whether a response is the one that its server sent
//! - [`backends`]: connections to backend servers, attempts on them
//! - [`groups`]: shard groups in the core
//! - [`group_exchange`]: exchange of shard groups between entries
//! - [`peer_connection`]: a connection between two entries that carries messages
//! - [`feed_connection`]: the connection to one controller
//! - [`feed_event`]: messages between the control thread and the traffic thread
//! - [`contact`]: since when a majority of the controllers has stated its table version
//! - [`feeds`]: follows the feeds of all controllers on the control thread
//! - `zone_orders`: orders about zones, and servers that are not used before they are known
//! - [`metrics`]: Prometheus metrics
//! - [`server_statements`]: parses what servers state about load and warm-up
//! - `zone_traffic`: counts what is exchanged with the servers of each zone
//! - `numbers`: numbers in header fields
//! - [`mod@run`]: starts, runs and drains an entry

pub mod backends;
mod caller_stream;
mod chunks;
pub mod contact;
pub mod core;
mod decision_log;
pub mod dialect;
pub mod feed_connection;
pub mod feed_event;
pub mod feeds;
pub mod front;
pub mod group_exchange;
pub mod groups;
mod integrity;
pub mod metrics;
mod numbers;
pub mod peer_connection;
pub mod request;
pub mod response;
mod response_head;
pub mod run;
pub mod server_statements;
mod team_fields;
mod team_usage;
mod zone_orders;
mod zone_traffic;

pub use dialect::Dialect;
pub use run::run;
