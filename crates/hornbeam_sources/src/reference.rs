//! The lines that break a rule.

use std::fmt;
use std::path::{Path, PathBuf};
use std::{fs, io};

use crate::tree::sources;

/// What a line of a source may not refer to.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// What is forbidden, as shown in a [`Finding`].
    pub subject: &'static str,
    /// Returns true if a line in lower case refers to it.
    pub matches: fn(&str) -> bool,
}

/// A line that breaks a rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Path of the source.
    pub path: PathBuf,
    /// Number of the line, from 1.
    pub line: usize,
    /// [`Rule::subject`] of the rule.
    pub subject: &'static str,
    /// The line, without the blanks around it.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { path, line, subject, text } = self;
        write!(f, "{}:{line}: refers to {subject}: {text}", path.display())
    }
}

/// Returns the lines of all sources outside tests below `root` that break a rule, in the order of their files.
///
/// # Errors
///
/// Returns the I/O error if a folder or a file cannot be read.
pub fn findings(root: &Path, rules: &[Rule]) -> io::Result<Vec<Finding>> {
    let mut findings = Vec::new();
    for path in sources(root)? {
        let text = String::from_utf8_lossy(&fs::read(&path)?).into_owned();
        for (i, line) in text.lines().enumerate() {
            let lower = line.to_ascii_lowercase();
            for rule in rules {
                if (rule.matches)(&lower) {
                    findings.push(Finding {
                        path: path.strip_prefix(root).unwrap_or(&path).to_owned(),
                        line: i + 1,
                        subject: rule.subject,
                        text: line.trim().to_owned(),
                    });
                }
            }
        }
    }
    Ok(findings)
}
