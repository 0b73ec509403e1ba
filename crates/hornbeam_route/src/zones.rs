//! Detects that the servers of an availability zone have become unreachable together.
//!
//! Load pattern: a zone is cut off at peak load. Each server takes several lost attempts until it is
//! ejected, and a zone has hundreds; until then searches spend their hedges on them. Servers of one
//! zone that all stay silent since the same moment show that the zone is the cause. Replayed in
//! `tests/lost_zone`.

use std::time::Duration;

use hornbeam_model::Mono;
use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::silence::{MIN_SILENT_SERVERS, Silence};

/// Interval between two probes of an unreachable zone.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time from which an unreachable zone counts as lost; two probes of it had no response.
const LOST_AFTER: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct ZoneState {
    silence: Silence,
    probed_at: Mono,
}

/// The reachability of each availability zone, as this entry sees it.
#[derive(Debug, Default)]
pub struct ZoneReachability {
    zones: IndexMap<SmolStr, ZoneState>,
}

impl ZoneReachability {
    /// Records a response of a server in `zone`; returns true if the zone was unreachable before.
    pub fn record_response(&mut self, now: Mono, zone: &SmolStr) -> bool {
        self.zones.entry(zone.clone()).or_default().silence.record_response(now)
    }

    /// Records that an attempt sent at `sent_at` to the server at this position is late or lost,
    /// where `usual` is the mean latency of its service. Returns when to call [`Self::confirm`] if
    /// this makes the zone suspected.
    pub fn record_silence(
        &mut self,
        now: Mono,
        zone: &SmolStr,
        server: usize,
        sent_at: Mono,
        usual: Duration,
    ) -> Option<Mono> {
        let state = self.zones.entry(zone.clone()).or_default();
        state.silence.record_silence(now, server, sent_at, usual, MIN_SILENT_SERVERS)
    }

    /// Returns true if the zone is unreachable from now on, because none of its servers has
    /// responded since it was suspected.
    pub fn confirm(&mut self, now: Mono, zone: &SmolStr) -> bool {
        let Some(state) = self.zones.get_mut(zone) else { return false };
        let confirmed = state.silence.confirm(now);
        if confirmed {
            state.probed_at = now;
        }
        confirmed
    }

    /// Returns the position of a zone, which stays the same.
    pub fn position(&self, zone: &SmolStr) -> Option<usize> {
        self.zones.get_index_of(zone)
    }

    /// Returns the name of the zone at a position.
    pub fn name(&self, position: usize) -> Option<&SmolStr> {
        self.zones.get_index(position).map(|(name, _)| name)
    }

    /// Returns true if no server of the zone is reachable.
    pub fn is_unreachable(&self, zone: &SmolStr) -> bool {
        self.zones.get(zone).is_some_and(|z| z.silence.is_unreachable())
    }

    /// Returns true if a zone is unreachable.
    pub fn any_unreachable(&self) -> bool {
        self.zones.values().any(|z| z.silence.is_unreachable())
    }

    /// Returns true if the zone has been unreachable for long enough to count as lost.
    pub fn is_lost(&self, now: Mono, zone: &SmolStr) -> bool {
        let since = self.zones.get(zone).and_then(|z| z.silence.unreachable_since());
        since.is_some_and(|at| now.since(at) >= LOST_AFTER)
    }

    /// Forgets which zones are unreachable.
    pub fn reset(&mut self) {
        for state in self.zones.values_mut() {
            state.silence.reset();
        }
    }

    /// Returns when an unreachable zone may be probed next; `None` if the zone is reachable.
    pub fn next_probe(&self, zone: &SmolStr) -> Option<Mono> {
        let state = self.zones.get(zone).filter(|z| z.silence.is_unreachable())?;
        Some(state.probed_at + PROBE_INTERVAL)
    }

    /// Returns true if a probe of the unreachable zone is due, and counts it as sent.
    pub fn start_probe_if_due(&mut self, now: Mono, zone: &SmolStr) -> bool {
        let due = self.next_probe(zone).is_some_and(|at| now >= at);
        if due && let Some(state) = self.zones.get_mut(zone) {
            state.probed_at = now;
        }
        due
    }
}
