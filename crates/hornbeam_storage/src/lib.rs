//! Write-ahead log and snapshots under one data folder.
//!
//! - [`folder`]: durable files in one folder, on a disk or in memory with simulated crashes
//! - [`record`]: log records and their framing
//! - [`store`]: the log and snapshots of a voter
//! - [`document`]: single-value files that are replaced atomically

pub mod document;
pub mod folder;
pub mod record;
pub mod store;

pub use folder::{Folder, MemoryFolder};
pub use record::{Boot, HardState, Record, SnapshotMeta};
pub use store::{Identity, RecoveredState, StorageError, Store};
