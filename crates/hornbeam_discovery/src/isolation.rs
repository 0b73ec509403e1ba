//! Whether an entry is cut off from the rest of the fleet.

/// Share of the servers, in hundredths, that are avoided at an entry that is cut off: more than fail
/// together otherwise. An entry with servers in its own zone goes on reaching these.
const AVOIDED_PERCENT: usize = 30;

/// The controllers as an entry hears them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FeedCounts {
    /// Heard lately.
    pub fresh: usize,
    /// Known.
    pub known: usize,
}

/// Whether an entry is cut off: it hears less than half of the controllers and cannot reach many of the servers. Either alone says
/// something of the others; both together say something of this entry. Callers are then served better
/// elsewhere.
#[derive(Clone, Copy, Debug, Default)]
pub struct Isolation {
    cut_off: bool,
}

impl Isolation {
    /// Takes what is known now; true if the answer changed.
    pub fn update(&mut self, feeds: FeedCounts, avoided: usize, usable: usize) -> bool {
        let before = self.cut_off;
        if 2 * feeds.fresh >= feeds.known {
            self.cut_off = false;
        } else if avoided * 100 > usable * AVOIDED_PERCENT {
            // It stays until controllers are heard again: without callers no server is tried.
            self.cut_off = true;
        }
        before != self.cut_off
    }

    /// True if this entry is cut off.
    pub fn is_isolated(&self) -> bool {
        self.cut_off
    }
}
