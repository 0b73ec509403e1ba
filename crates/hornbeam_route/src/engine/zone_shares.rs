//! Attempts that this entry may have in flight at a server of its own zone and of another one.
//!
//! Load pattern: 45 entries in three zones share servers with two slots, and one entry of each zone
//! gathers a shard group for all of it. With an equal part of each server, that entry has one attempt
//! in flight at the copy at home, and the others leave the zone. Replayed in `tests/zone_spill`.

use std::time::Duration;

use hornbeam_model::{Mono, Route};

use super::Engine;
use super::servers::ATTEMPTS_PER_SLOT;
use crate::peers::CANDIDATES_PER_GROUP;

/// Time for which an entry counts as one that gathers a service for its zone.
const GATHERED_TTL: Duration = Duration::from_secs(2);

impl Engine {
    /// Records that this entry gathers services for other entries of its zone, which then send to them
    /// less or not at all.
    pub(super) fn record_gathered(&mut self, now: Mono, route: &Route, services: &[usize]) {
        if self.spill.is_none() {
            return;
        }
        let has_owners = self.is_crowded(route, services);
        let senders = if has_owners { 1 } else { CANDIDATES_PER_GROUP as u32 };
        let Some(spill) = &mut self.spill else { return };
        let mut changed = false;
        for service in services {
            let before = spill.gathered.insert(*service, (senders, now + GATHERED_TTL));
            changed |= before.is_none_or(|(known, until)| known != senders || now > until);
        }
        if changed {
            self.update_shares(now);
        }
    }

    /// Returns the share of a server that is `share` without regard to zones. Few attempts come from
    /// other zones, so half of the server's connections is for the entries of its zone.
    pub(super) fn share_by_zone(
        &self,
        now: Mono,
        service: usize,
        (share, slots): (u32, u32),
        same_zone: bool,
    ) -> u32 {
        let Some(spill) = &self.spill else { return share };
        let half = self.usable_connections(service) / 2;
        if !same_zone {
            return share.min(half / self.entries.max(1)).max(1);
        }
        let gathered = spill.gathered.get(&service).filter(|(_, until)| now <= *until);
        let senders = gathered.map_or(u32::MAX, |(senders, _)| *senders);
        let senders = senders.min(self.peers.zone_entries() as u32);
        share.max((half / senders.max(1)).min(slots.max(1).saturating_mul(ATTEMPTS_PER_SLOT)))
    }
}
