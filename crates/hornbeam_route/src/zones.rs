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

/// Silent servers from which a zone counts as unreachable, provided that none of its servers has
/// responded meanwhile. Zones with fewer servers rely on the ejection of each.
const MIN_SILENT_SERVERS: usize = 4;
/// Time of silence from which a zone counts as unreachable, in mean latencies: servers that refuse
/// connections fail before the others can respond.
const MIN_SILENT_LATENCIES: u32 = 2;
/// Shortest time after which silence is confirmed. An entry that was late itself reads the responses
/// that have arrived meanwhile within it.
const MIN_CONFIRMATION_TIME: Duration = Duration::from_millis(10);
/// Interval between two probes of an unreachable zone.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time from which an unreachable zone counts as lost; two probes of it had no response.
const LOST_AFTER: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct ZoneState {
    /// Servers with a late or lost attempt that was sent after the last response of any server of
    /// the zone, and when the attempt was sent.
    silent: IndexMap<usize, Mono>,
    last_response: Mono,
    /// True from when the zone is suspected to be unreachable until its next response.
    suspected: bool,
    /// When the zone became unreachable; `None` while it is reachable.
    unreachable_since: Option<Mono>,
    probed_at: Mono,
}

impl ZoneState {
    fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// Forgets all silent servers; returns true if the zone was unreachable.
    fn reset(&mut self) -> bool {
        self.silent.clear();
        self.suspected = false;
        self.unreachable_since.take().is_some()
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
        state.reset()
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
        if sent_at <= state.last_response || state.suspected {
            return None;
        }
        state.silent.entry(server).or_insert(sent_at);
        let first = state.silent.values().min().copied().unwrap_or(now);
        let silent_for = now.since(first);
        if state.silent.len() < MIN_SILENT_SERVERS || silent_for < usual * MIN_SILENT_LATENCIES {
            return None;
        }
        state.suspected = true;
        Some(now + usual.max(MIN_CONFIRMATION_TIME))
    }

    /// Returns true if the zone is unreachable from now on, because none of its servers has
    /// responded since it was suspected.
    pub fn confirm(&mut self, now: Mono, zone: &SmolStr) -> bool {
        let suspected = |z: &&mut ZoneState| z.suspected && !z.is_unreachable();
        let Some(state) = self.zones.get_mut(zone).filter(suspected) else { return false };
        state.probed_at = now;
        state.unreachable_since = Some(now);
        true
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
        self.zones.get(zone).is_some_and(ZoneState::is_unreachable)
    }

    /// Returns true if the zone has been unreachable for long enough to count as lost.
    pub fn is_lost(&self, now: Mono, zone: &SmolStr) -> bool {
        let since = self.zones.get(zone).and_then(|z| z.unreachable_since);
        since.is_some_and(|at| now.since(at) >= LOST_AFTER)
    }

    /// Forgets which zones are unreachable.
    pub fn reset(&mut self) {
        for state in self.zones.values_mut() {
            state.reset();
        }
    }

    /// Returns when an unreachable zone may be probed next; `None` if the zone is reachable.
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
