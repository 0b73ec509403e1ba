//! Finds lines of sources that refer to what sources outside tests may not refer to.
//!
//! - [`tree`]: which files of the repository are sources outside tests
//! - [`reference`]: the lines that break a rule
//!
//! The rules are in `tests/references.rs`, since sources may not even name what they forbid.

pub mod reference;
pub mod tree;
