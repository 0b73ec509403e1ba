//! Write-ahead log and snapshots under one data folder.
//!
//! - [`folder`]: files of one folder, on a disk or in memory with simulated crashes
//! - [`record`]: what is written, and its framing
//! - [`store`]: the log and snapshots of a voter
//! - [`document`]: single files that are replaced as a whole

pub mod document;
pub mod folder;
pub mod record;
pub mod store;

pub use folder::{Folder, MemoryFolder};
pub use record::{Boot, HardState, Record, SnapshotMeta};
pub use store::{Identity, RecoveredState, StorageError, Store};
