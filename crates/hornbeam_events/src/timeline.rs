//! Events of several instances merged into one order.

use std::fmt::Write;

use crate::journal::Record;

/// Sorts records of several instances by clock reading, then instance, then sequence number, and
/// removes duplicates.
pub fn merge(mut records: Vec<Record>) -> Vec<Record> {
    records.sort_by(|a, b| {
        let by_clock = a.at.cmp(&b.at);
        by_clock.then_with(|| a.instance.cmp(&b.instance)).then_with(|| a.seq.cmp(&b.seq))
    });
    records.dedup_by(|a, b| a.at == b.at && a.instance == b.instance && a.seq == b.seq);
    records
}

/// Formats merged records as text, one line per record, with the milliseconds since the first record.
pub fn render(records: &[Record]) -> String {
    let start = records.first().map_or(0, |r| r.at.wall_us);
    let width = records.iter().map(|r| r.instance.as_str().len()).max().unwrap_or(0);
    let mut text = String::new();
    for r in records {
        let ms = r.at.wall_us.saturating_sub(start) as f64 / 1_000.0;
        let level = match r.level {
            crate::Level::Info => "info ",
            crate::Level::Warn => "warn ",
            crate::Level::Error => "error",
        };
        let _ = writeln!(
            text,
            "+{ms:>10.1} ms  {:width$}  {level} {}  {}",
            r.instance.as_str(),
            r.number,
            r.message
        );
    }
    text
}
