//! Detects that a set of servers has become silent together.

use std::time::Duration;

use hornbeam_model::Mono;
use indexmap::IndexMap;

/// Silent servers from which the set counts as unreachable, provided that none of its servers has
/// responded meanwhile. Smaller sets rely on the ejection of each server.
pub(crate) const MIN_SILENT_SERVERS: usize = 4;
/// Time of silence from which the set counts as unreachable, in mean latencies: servers that refuse
/// connections fail before the others can respond.
const MIN_SILENT_LATENCIES: u32 = 2;
/// Shortest time after which silence is confirmed. An entry that was late itself reads the responses
/// that have arrived meanwhile within it.
const MIN_CONFIRMATION_TIME: Duration = Duration::from_millis(10);

/// Which servers of a set are silent, and since when.
#[derive(Debug, Default)]
pub(crate) struct Silence {
    /// Servers with a late or lost attempt that was sent after the last response of any server of
    /// the set, and when the attempt was sent.
    silent: IndexMap<usize, Mono>,
    last_response: Mono,
    /// True from when the set is suspected to be unreachable until its next response.
    suspected: bool,
    /// When the set became unreachable; `None` while it is reachable.
    unreachable_since: Option<Mono>,
}

impl Silence {
    /// Records a response of a server; returns true if the set was unreachable before.
    pub(crate) fn record_response(&mut self, now: Mono) -> bool {
        self.last_response = now;
        self.reset()
    }

    /// Records that an attempt sent at `sent_at` to a server is late or lost, where `usual` is the
    /// mean latency of its service. Returns when to call [`Self::confirm`] if `min_servers` are
    /// silent, which makes the set suspected.
    pub(crate) fn record_silence(
        &mut self,
        now: Mono,
        server: usize,
        sent_at: Mono,
        usual: Duration,
        min_servers: usize,
    ) -> Option<Mono> {
        if sent_at <= self.last_response || self.suspected {
            return None;
        }
        self.silent.entry(server).or_insert(sent_at);
        let first = self.silent.values().min().copied().unwrap_or(now);
        let silent_for = now.since(first);
        if self.silent.len() < min_servers || silent_for < usual * MIN_SILENT_LATENCIES {
            return None;
        }
        self.suspected = true;
        Some(now + usual.max(MIN_CONFIRMATION_TIME))
    }

    /// Returns true if the set is unreachable from now on, because none of its servers has responded
    /// since it was suspected.
    pub(crate) fn confirm(&mut self, now: Mono) -> bool {
        if !self.suspected || self.is_unreachable() {
            return false;
        }
        self.unreachable_since = Some(now);
        true
    }

    /// Returns true from when the set is suspected to be unreachable until its next response.
    pub(crate) fn is_suspected(&self) -> bool {
        self.suspected
    }

    /// Returns true if no server of the set is reachable.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// Returns when the set became unreachable; `None` while it is reachable.
    pub(crate) fn unreachable_since(&self) -> Option<Mono> {
        self.unreachable_since
    }

    /// Returns the number of silent servers.
    pub(crate) fn silent_servers(&self) -> usize {
        self.silent.len()
    }

    /// Forgets all silent servers; returns true if the set was unreachable.
    pub(crate) fn reset(&mut self) -> bool {
        self.silent.clear();
        self.suspected = false;
        self.unreachable_since.take().is_some()
    }
}
