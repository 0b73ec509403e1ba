//! Settings of one process, read from YAML and checked.
//!
//! - [`settings`]: the checked settings and their defaults
//! - [`fleet`]: settings of entries and controllers
//! - [`raw`]: the file's fields as written, with their lines
//! - [`error`]: what is wrong in a file, where, and the remedy
//! - [`secret`]: keys and tokens read from files, never shown

pub mod error;
pub mod fleet;
pub mod raw;
pub mod secret;
pub mod settings;

pub use error::SettingsError;
pub use fleet::{FleetSettings, LogRates, RetryBudgetSettings};
pub use secret::Secret;
pub use settings::{Peer, Role, Settings};
