//! Detects that an entry is isolated from the rest of the fleet.

/// Percentage of unreachable servers above which an entry may be isolated: more servers than fail
/// together otherwise, but not all of them, since an isolated entry can still reach the servers of
/// its own zone.
const UNREACHABLE_PERCENT: usize = 30;

/// Number of controller feeds of an entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FeedCounts {
    /// Feeds with a message within [`MAX_FEED_AGE`](crate::directory::MAX_FEED_AGE).
    pub fresh: usize,
    /// Feeds with a message within [`MAX_PROMPT_AGE`](crate::directory::MAX_PROMPT_AGE).
    pub prompt: usize,
    /// Feeds of all controllers that the entry knows.
    pub known: usize,
}

/// Detects isolation: fewer than half of the controller feeds are prompt and many servers are
/// unreachable. Either sign alone points to a fault of the controllers or of the servers; both together
/// point to this entry. Other entries then serve its callers better.
#[derive(Clone, Copy, Debug, Default)]
pub struct Isolation {
    isolated: bool,
}

impl Isolation {
    /// Updates the state with the current counts; returns true if the state changed.
    pub fn update(&mut self, feeds: FeedCounts, unreachable: usize, usable: usize) -> bool {
        let before = self.isolated;
        if 2 * feeds.prompt >= feeds.known {
            self.isolated = false;
        } else if unreachable * 100 > usable * UNREACHABLE_PERCENT {
            // Lasts until half of the feeds are prompt again: without callers no server is tried,
            // so the number of unreachable servers says nothing about the recovery.
            self.isolated = true;
        }
        before != self.isolated
    }

    /// Returns true while this entry is isolated.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }
}
