//! Which backend servers there are, from their heartbeats to every entry.
//!
//! A controller keeps what it hears in a [`registry`] and feeds it to the entries. An entry merges the
//! feeds of all controllers in a [`directory`]. Neither does I/O.
//!
//! - [`isolation`]: whether an entry is cut off
//! - [`registry`]: heartbeats of servers at one controller
//! - [`directory`]: the feeds of all controllers at one entry
//! - [`initial_sync`]: whether an entry that has started knows what the controllers know
//! - [`health_reports`]: what entries have found out about servers

pub mod directory;
pub mod health_reports;
pub mod initial_sync;
pub mod isolation;
pub mod registry;

pub use directory::{Directory, ServerUpdate};
pub use health_reports::HealthReports;
pub use initial_sync::InitialSync;
pub use isolation::{FeedCounts, Isolation};
pub use registry::{Registry, RegistryParams};
