//! Log entries after the latest snapshot.

use hornbeam_protocol::control::{Command, Entry, LogIndex, LogPos, Membership, Term};

/// Log entries after the latest snapshot, in memory.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Position of the last entry that the snapshot includes.
    base: LogPos,
    /// Entries with consecutive indexes from `base.index + 1`.
    entries: Vec<Entry>,
}

impl Log {
    /// Creates a log that continues a snapshot up to `base`.
    pub fn new(base: LogPos, entries: Vec<Entry>) -> Self {
        Self { base, entries }
    }

    /// Returns the position of the last entry that the snapshot includes.
    pub fn base(&self) -> LogPos {
        self.base
    }

    /// Returns the position of the last entry, or the base if there is none.
    pub fn last(&self) -> LogPos {
        let last = self.entries.last();
        last.map_or(self.base, |e| LogPos { term: e.term, index: e.index })
    }

    /// Returns all entries after the snapshot.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    fn offset(&self, index: LogIndex) -> Option<usize> {
        index.0.checked_sub(self.base.index.0 + 1).map(|o| o as usize)
    }

    /// Returns the entry at `index`, unless a snapshot includes it or the log ends before.
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    /// Returns the term of the entry at `index`; known for the base and every later entry.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Returns at most `count` entries from `index` on; empty if `index` is outside the log.
    pub fn slice(&self, index: LogIndex, count: usize) -> &[Entry] {
        let Some(from) = self.offset(index).filter(|o| *o <= self.entries.len()) else {
            return &[];
        };
        let to = (from + count).min(self.entries.len());
        &self.entries[from..to]
    }

    /// Appends an entry, whose index must follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index.0, self.last().index.0 + 1, "indexes are consecutive");
        self.entries.push(entry);
    }

    /// Discards the entries from `index` on.
    pub fn truncate(&mut self, index: LogIndex) {
        if let Some(offset) = self.offset(index) {
            self.entries.truncate(offset);
        }
    }

    /// Discards the entries up to `base`, which a snapshot now includes.
    pub fn compact(&mut self, base: LogPos) {
        let Some(offset) = self.offset(base.index) else { return };
        self.entries.drain(..(offset + 1).min(self.entries.len()));
        self.base = base;
    }

    /// Returns the number of routes in all routing tables of the log.
    pub fn table_routes(&self) -> usize {
        let tables = self.entries.iter().filter_map(|e| match &e.command {
            Command::Routing(routing) => Some(routing.routes.len()),
            _ => None,
        });
        tables.sum()
    }

    /// Returns the latest membership in the log with the index of its entry.
    pub fn latest_members(&self) -> Option<(LogIndex, &Membership)> {
        self.entries.iter().rev().find_map(|e| match &e.command {
            Command::Members(members) => Some((e.index, members)),
            _ => None,
        })
    }
}
