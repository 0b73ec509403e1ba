//! Detects that this entry reaches no backend server, although others may.
//!
//! Load pattern: an entry loses its links to all servers, while callers, controllers and other
//! entries still reach it. It refuses its callers, and it looks idle to the entries that delegate
//! groups. One response of any server shows that it is not detached; servers that are down for all
//! entries look the same from here, and the other entries then decline what they are asked for.
//! Replayed in `tests/detached`.

use std::time::Duration;

use hornbeam_model::Mono;

use crate::silence::{MIN_SILENT_SERVERS, Silence};

/// Whether this entry reaches any of its backend servers.
#[derive(Debug, Default)]
pub(crate) struct ServerAccess {
    silence: Silence,
}

impl ServerAccess {
    /// Records a response of a server; returns for how long the entry was detached, if it was.
    pub(crate) fn record_response(&mut self, now: Mono) -> Option<Duration> {
        let since = self.silence.unreachable_since();
        self.silence.record_response(now);
        since.map(|at| now.since(at))
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
        self.silence.record_silence(now, server, sent_at, usual, min_servers)
    }

    /// Returns true if the entry is detached from now on.
    pub(crate) fn confirm(&mut self, now: Mono) -> bool {
        self.silence.confirm(now)
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
