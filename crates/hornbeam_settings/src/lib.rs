//! Settings of one process, parsed from YAML and checked.
//!
//! - [`settings`]: checked settings of an instance and their defaults
//! - [`fleet`]: checked settings of entries and controllers
//! - [`raw`]: fields of a settings file as written, with their lines
//! - [`error`]: errors of settings files, with line and remedy
//! - [`secret`]: keys and tokens that are read from files and never logged

pub mod error;
pub mod fleet;
pub mod raw;
pub mod secret;
pub mod settings;

pub use error::SettingsError;
pub use fleet::{
    FleetSettings, LogRates, QuotaSettings, RetryBudgetSettings, RevocationSettings,
    WarmUpSettings, ZoneSpillSettings,
};
pub use secret::Secret;
pub use settings::{Peer, Role, Settings};
