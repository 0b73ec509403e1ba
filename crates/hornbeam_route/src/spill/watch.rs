//! Attempts that keep a zone measured to which nothing is sent otherwise.
//!
//! Load pattern: a zone is cut off while all its traffic stays at home. Without an attempt, an entry
//! does not notice that other zones are lost, which it needs to know to tell whether it is isolated,
//! and cannot tell whether another zone has capacity. Replayed in `tests/zone_spill`.

use std::time::Duration;

use hornbeam_model::Mono;
use indexmap::IndexMap;
use smol_str::SmolStr;

/// Time without a response of a zone after which it is tried.
const MAX_SILENCE: Duration = Duration::from_secs(1);
/// Interval between attempts while a zone stays silent. A zone is suspected when four servers are
/// silent, which takes four of them.
const INTERVAL: Duration = Duration::from_millis(100);

/// Services that are remembered as tried; afterwards each may be tried again.
const MAX_TRIED: usize = 8;

#[derive(Debug, Default)]
struct Watched {
    answered_at: Mono,
    tried_at: Mono,
    /// Services that were tried without a response of the zone since. A search starts with the same
    /// shard each time, and one silent server does not show that its zone is lost.
    tried: Vec<usize>,
}

/// When each zone responded and was tried last.
#[derive(Debug, Default)]
pub struct ZoneWatch {
    zones: IndexMap<SmolStr, Watched>,
}

impl ZoneWatch {
    /// Records a response of a server in `zone`.
    pub fn record_response(&mut self, now: Mono, zone: &SmolStr) {
        let watched = self.zones.entry(zone.clone()).or_default();
        watched.answered_at = now;
        watched.tried.clear();
    }

    /// Returns true if an attempt of a service is due at a server of `zone`, and counts it as sent.
    pub fn start_if_due(&mut self, now: Mono, zone: &SmolStr, service: usize) -> bool {
        let watched = self.zones.entry(zone.clone()).or_default();
        let due = now.since(watched.answered_at) >= MAX_SILENCE
            && now.since(watched.tried_at) >= INTERVAL
            && !watched.tried.contains(&service);
        if due {
            watched.tried_at = now;
            watched.tried.push(service);
        }
        if watched.tried.len() > MAX_TRIED {
            watched.tried.clear();
        }
        due
    }
}
