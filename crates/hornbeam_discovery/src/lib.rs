//! Which backend servers there are, from their heartbeats to every entry.
//!
//! A controller keeps what it hears in a [`registry`] and feeds it to the entries. An entry merges the
//! feeds of all controllers in a [`directory`]. Neither does I/O.
//!
//! - [`reach`]: whether an entry is cut off
//! - [`registry`]: heartbeats of servers at one controller
//! - [`directory`]: the feeds of all controllers at one entry
//! - [`settling`]: whether an entry that has started knows what the controllers know
//! - [`troubles`]: what entries have found out about servers

pub mod directory;
pub mod reach;
pub mod registry;
pub mod settling;
pub mod troubles;

pub use directory::{Directory, ServerUpdate};
pub use reach::{Feeds, Reach};
pub use registry::{Registry, RegistryParams};
pub use settling::Settling;
pub use troubles::TroubleBoard;
