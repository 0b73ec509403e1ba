//! Structured logs of entries and controllers.

use std::path::{Path, PathBuf};

use hornbeam_events::out;
use serde_json::Value;

use crate::client::CommandError;

/// One line of a log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// When it was written, in milliseconds since 1970.
    pub unix_ms: i64,
    /// Who wrote it.
    pub instance: String,
    /// All its fields.
    pub fields: Value,
}

impl LogLine {
    /// The line as text, with its time since `began` and without the fields named.
    pub fn render(&self, began: i64, without: &[&str]) -> String {
        let mut fields = self.fields.clone();
        if let Some(fields) = fields.as_object_mut() {
            for name in ["unix_ms", "instance"].iter().chain(without) {
                fields.remove(*name);
            }
        }
        format!("{:+7} ms  {}  {fields}\n", self.unix_ms - began, self.instance)
    }
}

/// Reads the lines of a log; text before the object of a line is passed over.
pub fn parse(text: &str) -> Vec<LogLine> {
    let objects = text.lines().filter_map(|line| {
        let fields: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
        Some(LogLine {
            unix_ms: fields.get("unix_ms")?.as_i64()?,
            instance: fields.get("instance")?.as_str()?.to_owned(),
            fields,
        })
    });
    objects.collect()
}

/// Reads the lines of all logs.
///
/// # Errors
///
/// A file cannot be read.
pub fn read_all(files: &[PathBuf]) -> Result<Vec<LogLine>, CommandError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(parse(&read(file)?));
    }
    Ok(lines)
}

fn read(file: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(file).map_err(|e| {
        CommandError::Usage(format!("{} cannot be read ({e}): check the path", file.display()))
    })
}

/// The lines of all logs in one order, each with its time since the first.
pub fn render_timeline(mut lines: Vec<LogLine>) -> String {
    // Lines of one log stay in their order; clocks of others differ by some milliseconds.
    lines.sort_by_key(|l| l.unix_ms);
    let began = lines.first().map_or(0, |l| l.unix_ms);
    lines.iter().map(|l| l.render(began, &[])).collect()
}

/// `hornbeamctl timeline FILES`
///
/// # Errors
///
/// A file cannot be read.
pub fn timeline(files: &[PathBuf], json: bool) -> Result<(), CommandError> {
    let mut lines = read_all(files)?;
    if json {
        lines.sort_by_key(|l| l.unix_ms);
        let text: String = lines.iter().map(|l| format!("{}\n", l.fields)).collect();
        out!("{text}");
        return Ok(());
    }
    out!("{}", render_timeline(lines));
    Ok(())
}
