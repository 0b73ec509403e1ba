//! Simulated backend servers ("stand-ins") with fault injection, and a load generator.
//!
//! - [`behaviour`]: response times and injected faults of a stand-in
//! - [`records`]: generated records of a stand-in
//! - [`server`]: stand-in of the query path, with its HTTP server and announcements
//! - [`routed`]: stand-ins for routed requests
//! - [`load`]: sends requests at a constant rate and summarizes the responses

pub mod behaviour;
pub mod load;
pub mod records;
pub mod routed;
pub mod server;

pub use behaviour::{Behaviour, Fault};
pub use load::{LoadPlan, LoadReport, RequestTemplate};
pub use server::{StandIn, StandInError, StandInParams, StandInReport};
