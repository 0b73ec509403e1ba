//! Single-value files that are replaced atomically.

use std::io;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::folder::Folder;
use crate::record::{frame, unframe};

/// Writes `value` to the file `name`; after a crash the file holds the old or the new value.
///
/// # Errors
///
/// Returns the I/O error if the file cannot be written.
pub fn write<T: Serialize>(folder: &Folder, name: &str, value: &T) -> io::Result<()> {
    folder.replace(name, &frame(value))
}

/// Reads the value in the file `name`, or returns `None` if the file does not exist.
///
/// # Errors
///
/// Returns the I/O error if the file cannot be read, or [`io::ErrorKind::InvalidData`] if its
/// content is damaged.
pub fn read<T: DeserializeOwned>(folder: &Folder, name: &str) -> io::Result<Option<T>> {
    let data = match folder.read(name) {
        Ok(data) => data,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    match unframe(&data) {
        Some((value, length)) if length == data.len() => Ok(Some(value)),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}
