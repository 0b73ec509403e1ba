//! Numbered events, hybrid logical clock and the merged time line.
//!
//! - [`clock`]: hybrid logical clock that orders events over all instances
//! - [`event`]: the event kinds with number, level, text and remedy
//! - [`catalogue`]: the table of all kinds, as docs/EVENTS.md shows it
//! - [`journal`]: bounded store of the latest events of one instance
//! - [`output`]: output of commands
//! - [`timeline`]: the events of many instances merged into one order

pub mod catalogue;
pub mod clock;
pub mod event;
pub mod journal;
pub mod output;
pub mod timeline;

pub use clock::{Hlc, HybridClock};
pub use event::{Event, Level};
pub use journal::{Journal, Record};
