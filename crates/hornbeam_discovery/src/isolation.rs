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
    /// Feeds with a message within [`MAX_RECENT_AGE`](crate::directory::MAX_RECENT_AGE).
    pub recent: usize,
    /// Feeds of all controllers that the entry knows.
    pub known: usize,
}

/// Which servers an entry can reach.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerReach {
    /// Servers that the entry knows.
    pub usable: usize,
    /// Servers of these that do not respond to it.
    pub unreachable: usize,
    /// True if the servers of all other zones have been silent together for some time, probes
    /// included.
    pub other_zones_lost: bool,
}

/// Detects isolation: fewer than half of the controller feeds are prompt and many servers are
/// unreachable. Either sign alone points to a fault of the controllers or of the servers; both
/// together point to this entry. Other entries then serve its callers better. If all other zones are
/// silent, fewer than half of the feeds with a recent message suffice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Isolation {
    isolated: bool,
}

impl Isolation {
    /// Updates the state with the current counts; returns true if the state changed.
    pub fn update(&mut self, feeds: FeedCounts, servers: ServerReach) -> bool {
        let before = self.isolated;
        let feeds_lost = 2 * feeds.prompt < feeds.known;
        let many_unreachable = servers.unreachable * 100 > servers.usable * UNREACHABLE_PERCENT;
        let feeds_silent = 2 * feeds.recent < feeds.known;
        if (feeds_lost && many_unreachable) || (feeds_silent && servers.other_zones_lost) {
            self.isolated = true;
        } else if !feeds_lost {
            // Not while feeds are lost: without callers no server is tried, so the number of
            // unreachable servers says nothing about the recovery.
            self.isolated = false;
        }
        before != self.isolated
    }

    /// Returns true while this entry is isolated.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }
}
