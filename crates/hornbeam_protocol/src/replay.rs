//! Detection of replayed messages.

use hornbeam_model::InstanceId;
use indexmap::IndexMap;

/// Number of sequence numbers, up to the newest one of a session, that are checked for replays;
/// messages with lower numbers are refused.
const REPLAY_WINDOW: u64 = 128;
/// Maximum number of tracked senders; beyond it, the one that was added first is evicted.
const MAX_SENDERS: usize = 8_192;

/// Result of a replay check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplayVerdict {
    /// The message was not seen before.
    Fresh,
    /// The message was seen before, or is too old to be checked.
    Replayed,
    /// The session number is lower than one seen before.
    StaleSession {
        /// Highest session number seen.
        known: u64,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct SessionWindow {
    session: u64,
    /// Highest sequence number seen in the session.
    newest: u64,
    /// Bit `i` is set if sequence number `newest - i` was seen.
    seen: u128,
}

impl SessionWindow {
    fn accept(&mut self, seq: u64) -> bool {
        if seq > self.newest {
            let shift = seq - self.newest;
            self.seen = if shift >= REPLAY_WINDOW { 0 } else { self.seen << shift };
            self.seen |= 1;
            self.newest = seq;
            return true;
        }
        let behind = self.newest - seq;
        if behind >= REPLAY_WINDOW || self.seen & (1 << behind) != 0 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}

/// Tracks the sequence numbers of each sender to detect replays.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: IndexMap<InstanceId, SessionWindow>,
}

impl ReplayGuard {
    /// Checks message `seq` of `session` from `sender` and records it.
    pub fn check(&mut self, sender: &InstanceId, session: u64, seq: u64) -> ReplayVerdict {
        if !self.senders.contains_key(sender) {
            if self.senders.len() >= MAX_SENDERS {
                self.senders.shift_remove_index(0);
            }
            self.senders
                .insert(sender.clone(), SessionWindow { session, ..SessionWindow::default() });
        }
        let Some(window) = self.senders.get_mut(sender) else { return ReplayVerdict::Replayed };
        if session < window.session {
            return ReplayVerdict::StaleSession { known: window.session };
        }
        if session > window.session {
            *window = SessionWindow { session, ..SessionWindow::default() };
        }
        if window.accept(seq) { ReplayVerdict::Fresh } else { ReplayVerdict::Replayed }
    }
}
