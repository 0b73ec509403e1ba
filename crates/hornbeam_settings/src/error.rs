//! Errors of settings files: what is wrong, in which line, and the remedy.

use std::path::PathBuf;

use snafu::Snafu;

/// Reasons why a settings file cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: cannot be read ({source}): check the path and its permissions", file.display()))]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid YAML or has an unknown, missing or mistyped field.
    #[snafu(display("{}:{line}: {problem}: see docs/SETTINGS.md for the fields and their types", file.display()))]
    Syntax {
        /// Path of the file.
        file: PathBuf,
        /// Line, counted from 1; 0 if unknown.
        line: u64,
        /// Message of the YAML parser.
        problem: String,
    },
    /// A field has an invalid value, or one that contradicts another field.
    #[snafu(display("{}:{line}: {field}: {problem}: {remedy}", file.display()))]
    Value {
        /// Path of the file.
        file: PathBuf,
        /// Line, counted from 1; 0 if unknown.
        line: u64,
        /// Name of the field as it is written in the file.
        field: &'static str,
        /// What is wrong with the value.
        problem: String,
        /// How the operator corrects it.
        remedy: &'static str,
    },
}
