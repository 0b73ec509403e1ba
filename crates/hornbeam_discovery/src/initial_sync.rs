//! Whether an entry that has started knows what the controllers know.

use std::time::Duration;

use crate::isolation::FeedCounts;

/// Time after the start at which an entry helps others even if some controller was not heard.
const TIMEOUT: Duration = Duration::from_secs(3);

/// An entry from its start until it knows the table and the servers. Before that it would report groups
/// of shards short for want of servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct InitialSync {
    /// Stays true.
    settled: bool,
}

impl InitialSync {
    /// Takes how the controllers are heard `age` after the start; true if the entry has settled with
    /// this.
    pub fn update(&mut self, feeds: FeedCounts, has_table: bool, age: Duration) -> bool {
        let told = feeds.fresh > 0 && feeds.fresh == feeds.known;
        let settles = !self.settled && has_table && (told || age >= TIMEOUT);
        self.settled |= settles;
        settles
    }

    /// True once it knows the table and the servers.
    pub fn is_complete(self) -> bool {
        self.settled
    }
}
