//! Table of all event kinds, as shown in docs/EVENTS.md.

use std::fmt::Write;

use crate::event::{EVENT_KINDS, Level};

/// One kind of event.
#[derive(Clone, Copy, Debug)]
pub struct EventKind {
    /// Number of the kind, which never changes.
    pub number: u16,
    /// Name of the kind; the variant of [`Event`](crate::Event).
    pub name: &'static str,
    /// Severity.
    pub level: Level,
    /// Message template with the names of the fields in braces.
    pub text: &'static str,
    /// What the operator should do; "none" if nothing.
    pub remedy: &'static str,
}

/// Returns all event kinds in ascending order of their numbers.
pub fn kinds() -> &'static [EventKind] {
    EVENT_KINDS
}

/// Renders all event kinds as a Markdown table.
pub fn markdown() -> String {
    let mut page =
        String::from("| number | name | level | text | remedy |\n|---|---|---|---|---|\n");
    for kind in EVENT_KINDS {
        let level = format!("{:?}", kind.level).to_lowercase();
        let _ = writeln!(
            page,
            "| {} | {} | {level} | {} | {} |",
            kind.number, kind.name, kind.text, kind.remedy
        );
    }
    page
}
