//! Stand-in backend servers and a load tool.
//!
//! - [`behaviour`]: how a stand-in replies, and how it misbehaves on demand
//! - [`records`]: the records a stand-in makes up
//! - [`server`]: one stand-in with its HTTP side and announcements
//! - [`routed`]: stand-ins of routed requests
//! - [`load`]: sends queries at a steady rate and sums up the answers

pub mod behaviour;
pub mod load;
pub mod records;
pub mod routed;
pub mod server;

pub use behaviour::{Behaviour, Fault};
pub use load::{LoadPlan, LoadReport, RequestTemplate};
pub use server::{StandIn, StandInError, StandInParams, StandInReport};
