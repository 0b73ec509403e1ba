//! Which backend servers there are, from their heartbeats to every entry.
//!
//! A controller keeps what it hears in a [`registry`] and feeds it to the entries. An entry merges the
//! feeds of all controllers in a [`directory`]. Neither does I/O.
//!
//! - [`reach`]: whether an entry is cut off
//! - [`registry`]: heartbeats of servers at one controller
//! - [`directory`]: the feeds of all controllers at one entry
//! - [`troubles`]: what entries have found out about servers

pub mod directory;
pub mod reach;
pub mod registry;
pub mod troubles;

pub use directory::{Directory, ServerUpdate};
pub use reach::{Feeds, Reach};
pub use registry::{Registry, RegistryParams};
pub use troubles::TroubleBoard;
