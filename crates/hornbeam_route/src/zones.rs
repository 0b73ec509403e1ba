//! Detects that the servers of an availability zone have become unreachable together.
//!
//! Load pattern: a zone is cut off at peak load. Each server takes several lost attempts until it is
//! ejected, and a zone has hundreds; until then searches spend their hedges on them. Servers of one
//! zone that all stay silent since the same moment show that the zone is the cause. Replayed in
//! `tests/lost_zone`.

use std::time::Duration;

use hornbeam_model::Mono;
use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

/// Silent servers from which a zone counts as unreachable, provided that none of its servers has
/// responded meanwhile. Zones with fewer servers rely on the ejection of each.
const MIN_SILENT_SERVERS: usize = 4;
/// Interval between two probes of an unreachable zone.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time from which an unreachable zone counts as lost; two probes of it had no response.
const LOST_AFTER: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct ZoneState {
    /// Servers with a late attempt that was sent after the last response of any server of the zone.
    silent: IndexSet<usize>,
    last_response: Mono,
    /// When the zone became unreachable, if it is.
    unreachable_since: Mono,
    probed_at: Mono,
}

impl ZoneState {
    fn is_unreachable(&self) -> bool {
        self.silent.len() >= MIN_SILENT_SERVERS
    }
}

/// The reachability of each availability zone, as this entry sees it.
#[derive(Debug, Default)]
pub struct ZoneReachability {
    zones: IndexMap<SmolStr, ZoneState>,
}

impl ZoneReachability {
    /// Records a response of a server in `zone`; returns true if the zone was unreachable before.
    pub fn record_response(&mut self, now: Mono, zone: &SmolStr) -> bool {
        let state = self.zones.entry(zone.clone()).or_default();
        state.last_response = now;
        let was_unreachable = state.is_unreachable();
        state.silent.clear();
        was_unreachable
    }

    /// Records that an attempt sent at `sent_at` to the server at this position is late; returns
    /// true if the zone is unreachable from now on.
    pub fn record_silence(
        &mut self,
        now: Mono,
        zone: &SmolStr,
        server: usize,
        sent_at: Mono,
    ) -> bool {
        let state = self.zones.entry(zone.clone()).or_default();
        if sent_at <= state.last_response || state.is_unreachable() {
            return false;
        }
        state.silent.insert(server);
        if state.is_unreachable() {
            state.probed_at = now;
            state.unreachable_since = now;
        }
        state.is_unreachable()
    }

    /// Returns true if no server of the zone is reachable.
    pub fn is_unreachable(&self, zone: &SmolStr) -> bool {
        self.zones.get(zone).is_some_and(ZoneState::is_unreachable)
    }

    /// Returns true if the zone has been unreachable for long enough to count as lost.
    pub fn is_lost(&self, now: Mono, zone: &SmolStr) -> bool {
        let state = self.zones.get(zone).filter(|z| z.is_unreachable());
        state.is_some_and(|z| now.since(z.unreachable_since) >= LOST_AFTER)
    }

    /// Forgets which zones are unreachable.
    pub fn reset(&mut self) {
        for state in self.zones.values_mut() {
            state.silent.clear();
        }
    }

    /// Returns when an unreachable zone may be probed next, and `None` if the zone is reachable.
    pub fn next_probe(&self, zone: &SmolStr) -> Option<Mono> {
        let state = self.zones.get(zone).filter(|z| z.is_unreachable())?;
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
