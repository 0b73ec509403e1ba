//! Shard groups that an entry of another zone gathers, because that zone has the copies.
//!
//! Load pattern: a zone has no copies of most shards, and its entries fetch the response of each
//! shard from another zone. An entry over there merges the records of a group, which then cross once.
//! Replayed in `tests/zone_groups`.

use hornbeam_model::{Mono, QueryId, Zone};
use indexmap::IndexMap;
use smol_str::SmolStr;

use super::{Engine, Output, group_size};

/// Fewest shards of a group; for fewer, the hop costs more than their responses.
const MIN_GROUP_SHARDS: usize = 4;

impl Engine {
    /// Delegates the shards of a search that have no copy in this zone to entries of the nearest zone
    /// that has one. Returns these shards; the others are left to this zone.
    pub(super) fn delegate_by_zone(
        &mut self,
        now: Mono,
        key: QueryId,
        out: &mut Vec<Output>,
    ) -> Vec<usize> {
        let mut handed = Vec::new();
        let Some(running) = self.requests.get(&key) else { return handed };
        let regions = running.regions.clone();
        for (zone, shards) in self.shards_by_zone(now, key) {
            let size = group_size(shards.len()).max(MIN_GROUP_SHARDS);
            for group in shards.chunks(size) {
                if group.len() < MIN_GROUP_SHARDS {
                    continue;
                }
                let rules = &self.zone_rules;
                let may_handle = |z: &Zone| regions.allows(rules.region(z));
                let peer = self.peers.choose_in_zone(&zone, &mut self.rng, may_handle);
                let Some(peer) = peer else { break };
                self.delegate_group(now, key, &peer, group, out);
                handed.extend_from_slice(group);
            }
        }
        handed
    }

    /// Returns the shards without a copy in this zone, by the zone that they are handed to.
    fn shards_by_zone(&self, now: Mono, key: QueryId) -> IndexMap<SmolStr, Vec<usize>> {
        let mut zones: IndexMap<SmolStr, Vec<usize>> = IndexMap::new();
        let Some((running, spill)) = self.requests.get(&key).zip(self.spill.as_ref()) else {
            return zones;
        };
        for (shard, progress) in running.shards.iter().enumerate() {
            if self.has_copy_here(progress.service) {
                continue;
            }
            let nearest = self.home_zones(now, spill, progress.service);
            // Zones that are as near get the same number of shards.
            let fewest = nearest.into_iter().min_by_key(|z| zones.get(z).map_or(0, Vec::len));
            if let Some(zone) = fewest {
                zones.entry(zone).or_default().push(shard);
            }
        }
        zones
    }

    fn has_copy_here(&self, service: usize) -> bool {
        self.services[service].servers.iter().any(|i| self.servers[*i].same_zone)
    }
}
