//! Tracks whether an entry has received the controllers' state after its start.

use std::time::Duration;

use crate::isolation::FeedCounts;

/// Time since the start after which an entry gathers groups for other entries even if not every
/// controller feed is fresh.
const MAX_SYNC_TIME: Duration = Duration::from_secs(3);

/// The initial synchronization of an entry with the controllers. Before it is complete, the entry
/// would report shards as missing in the groups that it gathers because it knows too few servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct InitialSync {
    /// Never becomes false again.
    complete: bool,
}

impl InitialSync {
    /// Updates the state with the feeds at `age` since the start; returns true once, when the
    /// synchronization completes.
    pub fn update(&mut self, feeds: FeedCounts, has_table: bool, age: Duration) -> bool {
        let all_fresh = feeds.fresh > 0 && feeds.fresh == feeds.known;
        let completes = !self.complete && has_table && (all_fresh || age >= MAX_SYNC_TIME);
        self.complete |= completes;
        completes
    }

    /// Returns true once the entry knows the routing table and the servers.
    pub fn is_complete(self) -> bool {
        self.complete
    }
}
