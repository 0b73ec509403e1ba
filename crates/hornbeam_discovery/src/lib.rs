//! Discovery of backend servers, from their heartbeats to every entry.
//!
//! A controller records heartbeats in a [`registry`] and streams the changes to the entries. An
//! entry merges the feeds of all controllers in a [`directory`]. Nothing in this crate does I/O.
//!
//! - [`isolation`]: detects that an entry is isolated
//! - [`crash_reports`]: requests in flight at servers that ended, collected at a controller
//! - [`registry`]: the servers registered at one controller
//! - [`directory`]: the feeds of all controllers, merged at one entry
//! - [`entry_lists`]: the entries whose addresses an entry gets
//! - [`initial_sync`]: whether an entry has received the controllers' state after its start
//! - [`health_reports`]: health reports of entries about servers, aggregated at a controller
//! - [`zone_orders`]: evacuated zones, as the controllers state them to one entry
//! - [`rate_reports`]: rates that servers state, and the demand for them, aggregated at a controller
//! - [`team_usage`]: use of the teams' quotas, summed up at a controller

pub mod crash_reports;
pub mod directory;
pub mod entry_lists;
pub mod health_reports;
pub mod initial_sync;
pub mod isolation;
pub mod rate_reports;
pub mod registry;
pub mod saved_servers;
pub mod team_usage;
pub mod zone_orders;

pub use crash_reports::{CrashReports, SavedCrashes};
pub use directory::{Directory, ServerUpdate};
pub use entry_lists::entries_for;
pub use health_reports::HealthReports;
pub use initial_sync::InitialSync;
pub use isolation::{FeedCounts, Isolation, ServerReach};
pub use rate_reports::RateReports;
pub use registry::{Registry, RegistryParams};
pub use saved_servers::SavedServers;
pub use team_usage::TeamUsages;
pub use zone_orders::OrdersView;
