//! Leases of backend servers and the views that instances exchange.
//!
//! - [`registry`]: leases of the servers that announce to this instance
//! - [`view`]: one registrar's list of servers with numbered changes
//! - [`peers`]: the other instances, and when this instance last heard from them
//! - [`node`]: state machine over the three, `step(now, input) -> outputs`

pub mod node;
pub mod peers;
pub mod registry;
pub mod view;

pub use node::{Input, Membership, MembershipParams, Output};
pub use peers::PeerInfo;
pub use registry::AnnounceError;
