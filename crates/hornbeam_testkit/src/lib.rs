//! Simulated servers, virtual time and scenario files for tests and benchmarks.
//!
//! - [`capacity`]: computes the table of docs/CAPACITY.md
//! - [`control`]: voters and followers over a simulated network with loss, delay and partitions
//! - [`world`]: entry instances, simulated backend servers and callers
//! - [`layouts`]: deployments of named sizes that a [`world`] is built from
//! - [`scenario`]: parser and runner of scenario files
//! - [`queue`]: event queue in virtual time
//! - [`samples`]: valid configurations and announcements that tests start from

pub mod capacity;
pub mod control;
pub mod layouts;
pub mod queue;
pub mod samples;
pub mod scenario;
pub mod world;
