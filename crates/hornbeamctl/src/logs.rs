//! Reads and merges structured logs of entries and controllers.

use std::path::{Path, PathBuf};

use hornbeam_events::out;
use serde_json::Value;

use crate::client::CommandError;

/// One line of a structured log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Wall-clock time at which the line was written, in milliseconds since the Unix epoch
    /// (1970).
    pub unix_ms: i64,
    /// Instance that wrote the line.
    pub instance: String,
    /// All fields of the line, including `unix_ms` and `instance`.
    pub fields: Value,
}

impl LogLine {
    /// Renders the line with its time since `origin_ms` and without the fields in `excluded`.
    pub fn render(&self, origin_ms: i64, excluded: &[&str]) -> String {
        let mut fields = self.fields.clone();
        if let Some(fields) = fields.as_object_mut() {
            for name in ["unix_ms", "instance"].iter().chain(excluded) {
                fields.remove(*name);
            }
        }
        format!("{:+7} ms  {}  {fields}\n", self.unix_ms - origin_ms, self.instance)
    }
}

/// Parses the lines of a log. Ignores text before the JSON object of a line, and lines whose object
/// is invalid or lacks `unix_ms` or `instance`.
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

/// Reads the lines of all logs, file by file.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] if a file cannot be read.
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

/// Renders the lines of all logs in order of time, each with its time since the first line.
pub fn render_timeline(mut lines: Vec<LogLine>) -> String {
    // The sort is stable, so that lines of one log with equal times stay in order. The clocks of
    // instances differ by some milliseconds.
    lines.sort_by_key(|l| l.unix_ms);
    let origin_ms = lines.first().map_or(0, |l| l.unix_ms);
    lines.iter().map(|l| l.render(origin_ms, &[])).collect()
}

/// Runs `hornbeamctl timeline FILES`.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] if a file cannot be read.
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
