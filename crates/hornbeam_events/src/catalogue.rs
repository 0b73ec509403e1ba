//! The table of all kinds, as docs/EVENTS.md shows it.

use std::fmt::Write;

use crate::event::{EVENT_KINDS, Level};

/// One kind of event.
#[derive(Clone, Copy, Debug)]
pub struct EventKind {
    /// The stable number.
    pub number: u16,
    /// The name.
    pub name: &'static str,
    /// How urgent it is.
    pub level: Level,
    /// The text with its fields in braces.
    pub text: &'static str,
    /// What an operator does about it.
    pub remedy: &'static str,
}

/// All kinds in the order of their numbers.
pub fn kinds() -> &'static [EventKind] {
    EVENT_KINDS
}

/// The catalogue as a Markdown table.
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
