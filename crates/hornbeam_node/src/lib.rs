//! The process shell of one instance: HTTP, sockets, clocks and threads.
//!
//! The decision logic is in `hornbeam_query`, `hornbeam_traffic`, `hornbeam_membership` and
//! `hornbeam_control`, which perform no I/O. This crate supplies them with messages, time and files
//! and applies their outputs.
//!
//! - [`clock`]: monotonic and wall-clock time
//! - [`journal`]: the event journal shared by all threads
//! - [`metrics`]: Prometheus metrics
//! - [`exposition`]: encoding of metrics in the Prometheus text format
//! - [`backends`]: connections to backend servers
//! - [`traffic`]: the task that runs the query engine
//! - [`control`]: the thread that runs membership and configuration
//! - [`frames`]: length-prefixed frames on a byte stream
//! - [`http`]: HTTP routes and handlers
//! - [`logging`]: setup of the process log
//! - [`memory`]: memory for what others send
//! - [`connections`]: open connections of clients, and which of them give way
//! - [`client_limits`]: how many connections clients may open, and how much memory what they send may take
//! - [`client_stream`]: the byte stream of a client's connection
//! - [`request_body`]: reading of request bodies within the memory for them
//! - [`pages`]: HTTP endpoints for the platform, such as readiness and metrics
//! - [`program`]: startup and monitoring code shared by entries and controllers
//! - [`structured`]: structured log lines on standard output
//! - [`node`]: starts and stops an instance

pub mod backends;
pub mod client_limits;
pub mod client_stream;
pub mod clock;
pub mod connections;
pub mod control;
pub mod exposition;
pub mod frames;
pub mod http;
pub mod journal;
pub mod logging;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod pages;
pub mod program;
pub mod request_body;
pub mod socket;
pub mod structured;
pub mod traffic;

pub use node::{Node, NodeError};
