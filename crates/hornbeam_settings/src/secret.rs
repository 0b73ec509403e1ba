//! Keys and tokens that are read from files and never logged.

use std::fmt;
use std::path::Path;

/// Minimum length of a secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;
/// Maximum length of a secret, in bytes.
pub const MAX_SECRET_BYTES: usize = 4_096;

/// A secret whose `Debug` output hides its bytes.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Creates a secret from `bytes` without a check of their length.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }

    /// Reads a secret from `file` and trims ASCII whitespace from both ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or if the secret is shorter than
    /// [`MIN_SECRET_BYTES`] or longer than [`MAX_SECRET_BYTES`].
    pub fn read(file: &Path) -> std::io::Result<Self> {
        let bytes = std::fs::read(file)?;
        let trimmed = bytes.trim_ascii();
        if !(MIN_SECRET_BYTES..=MAX_SECRET_BYTES).contains(&trimmed.len()) {
            return Err(std::io::Error::other("the secret must have 16 to 4096 bytes"));
        }
        Ok(Self::new(trimmed))
    }

    /// Returns the bytes of the secret, which must not be logged.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
