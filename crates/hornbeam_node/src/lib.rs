//! The process shell of one instance: HTTP, sockets, clocks and threads.
//!
//! The decisions are in `hornbeam_query`, `hornbeam_traffic`, `hornbeam_membership` and
//! `hornbeam_control`; this package only carries messages, time and files to them.
//!
//! - [`clock`]: monotonic and wall time
//! - [`journal`]: the event journal, shared by the threads
//! - [`metrics`]: Prometheus metrics
//! - [`exposition`]: metrics as text
//! - [`backends`]: connections to backend servers
//! - [`traffic`]: runs the engine
//! - [`control`]: runs membership and configuration on a thread of its own
//! - [`frames`]: frames on a stream
//! - [`http`]: the HTTP side
//! - [`logging`]: log output
//! - [`pages`]: pages for the platform, such as readiness
//! - [`program`]: what entries and controllers have in common
//! - [`structured`]: structured log lines on standard output
//! - [`node`]: starts and stops all of it

pub mod backends;
pub mod clock;
pub mod control;
pub mod exposition;
pub mod frames;
pub mod http;
pub mod journal;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod pages;
pub mod program;
pub mod structured;
pub mod traffic;

pub use node::{Node, NodeError};
