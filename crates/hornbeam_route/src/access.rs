//! Detects that this entry reaches no backend server, although others may.
//!
//! Load pattern: an entry loses its links to all servers, while callers, controllers and other
//! entries still reach it. It refuses its callers, and it looks idle to the entries that delegate
//! groups. Several silent servers make it suspected; one response, or one server that accepts a new
//! connection, shows that it is not detached and that the servers are at fault. Servers that are down
//! for all entries look the same from here, and the other entries then decline what they are asked
//! for. Replayed in `tests/detached`.

use std::time::Duration;

use hornbeam_model::Mono;

use crate::silence::{MIN_SILENT_SERVERS, Silence};

/// Interval between the probes of a detached entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time that a suspected entry has for a probe to succeed.
const MIN_CONFIRMATION_TIME: Duration = Duration::from_millis(100);
/// Doublings of the interval at most, while servers accept connections without ever responding.
const MAX_INTERVAL_DOUBLINGS: u32 = 4;

/// Whether this entry reaches any of its backend servers.
#[derive(Debug, Default)]
pub(crate) struct ServerAccess {
    silence: Silence,
    /// When the entry counts as detached if nothing shows the opposite; set while it is suspected.
    confirm_at: Mono,
    /// Probes that succeeded since the last response of a server.
    successful_probes: u32,
}

impl ServerAccess {
    /// Records a response of a server; returns for how long the entry was detached, if it was.
    pub(crate) fn record_response(&mut self, now: Mono) -> Option<Duration> {
        self.successful_probes = 0;
        self.end_silence(now)
    }

    /// Records that a server accepted a connection, which ends a suspicion; returns for how long the
    /// entry was detached, if it was.
    pub(crate) fn record_probe(&mut self, now: Mono) -> Option<Duration> {
        if !self.silence.is_suspected() {
            return None;
        }
        self.successful_probes += 1;
        self.end_silence(now)
    }

    fn end_silence(&mut self, now: Mono) -> Option<Duration> {
        let since = self.silence.unreachable_since();
        self.silence.record_response(now);
        since.map(|at| now.since(at))
    }

    /// Returns the interval between probes; longer while probes succeed and requests do not.
    pub(crate) fn probe_interval(&self) -> Duration {
        PROBE_INTERVAL * 2_u32.pow(self.successful_probes.min(MAX_INTERVAL_DOUBLINGS))
    }

    /// Records that an attempt sent at `sent_at` to one of `known` servers is late or lost. Returns
    /// when to call [`Self::confirm`] if this makes the entry suspected to be detached.
    pub(crate) fn record_silence(
        &mut self,
        now: Mono,
        server: usize,
        sent_at: Mono,
        usual: Duration,
        known: usize,
    ) -> Option<Mono> {
        let min_servers = known.clamp(1, MIN_SILENT_SERVERS);
        let at = self.silence.record_silence(now, server, sent_at, usual, min_servers)?;
        self.confirm_at = at.max(now + MIN_CONFIRMATION_TIME);
        Some(self.confirm_at)
    }

    /// Returns true if the entry is detached from now on.
    pub(crate) fn confirm(&mut self, now: Mono) -> bool {
        now >= self.confirm_at && self.silence.confirm(now)
    }

    /// Returns true while the entry is suspected to be detached, or is.
    pub(crate) fn is_suspected(&self) -> bool {
        self.silence.is_suspected()
    }

    /// Returns true while the entry reaches no server.
    pub(crate) fn is_detached(&self) -> bool {
        self.silence.is_unreachable()
    }

    /// Returns the number of silent servers.
    pub(crate) fn silent_servers(&self) -> usize {
        self.silence.silent_servers()
    }
}
