//! Numbered events, a hybrid logical clock and the merged timeline of all instances.
//!
//! - [`clock`]: hybrid logical clock that orders the events of all instances
//! - [`event`]: event kinds with number, level, message and remedy
//! - [`catalogue`]: table of all event kinds, as shown in docs/EVENTS.md
//! - [`journal`]: bounded journal of the latest events of one instance
//! - [`output`]: standard output of commands, with handling of closed pipes
//! - [`timeline`]: events of several instances merged into one order

pub mod catalogue;
pub mod clock;
pub mod event;
pub mod journal;
pub mod output;
pub mod timeline;

pub use clock::{Hlc, HybridClock};
pub use event::{Event, Level};
pub use journal::{Journal, Record};
