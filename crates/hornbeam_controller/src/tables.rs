//! Recent routing tables, from which deltas for entries are computed.

use std::collections::VecDeque;
use std::sync::Arc;

use hornbeam_model::{Routing, TableVersion, TrafficPolicy};
use hornbeam_protocol::discovery::FeedDown;
use hornbeam_protocol::features::Features;

/// Number of tables kept; an entry with an older one gets the whole table.
const MAX_RECENT_TABLES: usize = 8;

/// Recent routing tables, oldest first, without the documents that operators sent.
#[derive(Debug, Default)]
pub struct RecentTables {
    tables: VecDeque<Arc<Routing>>,
}

impl RecentTables {
    /// Adds a table that came into force, unless a table of the same or a later version is known.
    pub fn push(&mut self, table: &Routing) {
        if self.version() >= Some(table.version) {
            return;
        }
        let table = Routing { document: Vec::new(), ..table.clone() };
        self.tables.push_back(Arc::new(table));
        if self.tables.len() > MAX_RECENT_TABLES {
            self.tables.pop_front();
        }
    }

    /// Returns the version of the latest table, if there is one.
    pub fn version(&self) -> Option<TableVersion> {
        self.tables.back().map(|t| t.version)
    }

    /// Returns the policy of the latest table.
    pub fn policy(&self) -> Arc<TrafficPolicy> {
        self.tables.back().map(|t| t.policy.clone()).unwrap_or_default()
    }

    /// Returns the message that updates an entry from version `have` to the latest table: a delta
    /// if that version is kept, otherwise the whole table; with the policy if the entry reads it.
    /// `None` if the entry is up to date. An entry without a table states version 0, so one that states it
    /// always gets the whole table.
    pub fn update_from(&self, have: TableVersion, features: Features) -> Option<FeedDown> {
        let base = Some(have).filter(|version| *version > TableVersion(0));
        let latest = self.tables.back().filter(|t| Some(t.version) > base)?;
        let base = self.tables.iter().find(|t| Some(t.version) == base);
        if features.includes(Features::POLICY) {
            return Some(match base {
                Some(base) => FeedDown::PolicyDelta {
                    delta: Box::new(latest.delta_from(base)),
                    policy: (latest.policy != base.policy).then(|| latest.policy.clone()),
                },
                None => {
                    FeedDown::PolicyTable { table: latest.clone(), policy: latest.policy.clone() }
                }
            });
        }
        Some(match base {
            Some(base) => FeedDown::TableDelta(Box::new(latest.delta_from(base))),
            None => FeedDown::Table(latest.clone()),
        })
    }
}
