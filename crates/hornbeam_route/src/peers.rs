//! Other entries, and which of them collects which group of shards.
//!
//! Every entry of a zone ranks the others alike for a group, so that a server sees connections of a few
//! entries only and each of them meets it often.

use std::net::SocketAddr;

use hornbeam_model::{InstanceId, Mono, Zone};
use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Entries among which the work of one group is spread: one may be busy and one lost.
const CANDIDATES_PER_GROUP: usize = 4;
/// Time between two looks whether a suspected entry is back.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Groups in a row without a word after which an entry is suspected.
const SUSPECT_AFTER_MISSED_REPORTS: u32 = 2;

/// Another entry of the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Its name.
    pub name: InstanceId,
    /// Where it takes the groups of others.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
}

#[derive(Debug)]
struct Known {
    peer: Peer,
    /// True from a failure until it is heard again.
    suspected: bool,
    probed_at: Mono,
    /// Groups that it collects for this entry.
    groups: u32,
    /// Groups in a row of which it has told nothing by the time the answer was due.
    missed_reports: u32,
}

/// The other entries of the own zone.
#[derive(Debug, Default)]
pub struct Peers {
    known: IndexMap<InstanceId, Known>,
}

impl Peers {
    /// Takes all other entries of the zone.
    pub fn replace(&mut self, peers: Vec<Peer>) {
        let mut before = std::mem::take(&mut self.known);
        for peer in peers {
            let known = before.swap_remove(&peer.name).filter(|k| k.peer == peer);
            let new = Known {
                peer: peer.clone(),
                suspected: false,
                probed_at: Mono::default(),
                groups: 0,
                missed_reports: 0,
            };
            self.known.insert(peer.name, known.unwrap_or(new));
        }
    }

    /// Entries that groups can be given to.
    pub fn usable(&self) -> usize {
        self.known.values().filter(|k| !k.suspected).count()
    }

    /// Chooses an entry for the group of this number and notes that it has one more.
    pub fn choose(&mut self, group: usize, rng: &mut SmallRng) -> Option<Peer> {
        let rank = |k: &Known| xxh3_64_with_seed(k.peer.name.as_str().as_bytes(), group as u64);
        let mut usable: Vec<usize> =
            (0..self.known.len()).filter(|i| !self.known[*i].suspected).collect();
        usable.sort_by_cached_key(|i| rank(&self.known[*i]));
        usable.truncate(CANDIDATES_PER_GROUP);
        let least = usable
            .into_iter()
            .min_by_key(|i| (self.known[*i].groups, rng.random_range(0..u32::MAX)))?;
        let known = &mut self.known[least];
        known.groups += 1;
        Some(known.peer.clone())
    }

    /// Notes that a group is not with this entry any more.
    pub fn release_group(&mut self, name: &InstanceId) {
        if let Some(known) = self.known.get_mut(name) {
            known.groups = known.groups.saturating_sub(1);
        }
    }

    /// Notes that an entry has told nothing of a group by the time the answer was due; true if it should
    /// be suspected: once it may just have been late.
    pub fn record_missed_report(&mut self, name: &InstanceId) -> bool {
        let Some(known) = self.known.get_mut(name) else { return false };
        known.missed_reports += 1;
        known.missed_reports >= SUSPECT_AFTER_MISSED_REPORTS
    }

    /// Notes that an entry has told of a group.
    pub fn record_report(&mut self, name: &InstanceId) {
        if let Some(known) = self.known.get_mut(name) {
            known.missed_reports = 0;
        }
    }

    /// Suspects an entry; true if that is news.
    pub fn suspect(&mut self, now: Mono, name: &InstanceId) -> bool {
        let Some(known) = self.known.get_mut(name) else { return false };
        known.probed_at = now;
        !std::mem::replace(&mut known.suspected, true)
    }

    /// Notes that an entry was heard; true if it was suspected.
    pub fn mark_alive(&mut self, name: &InstanceId) -> bool {
        self.known.get_mut(name).is_some_and(|k| std::mem::take(&mut k.suspected))
    }

    /// Suspected entries that should be asked now whether they are back.
    pub fn start_due_probes(&mut self, now: Mono) -> Vec<Peer> {
        let due = |k: &&mut Known| k.suspected && now.since(k.probed_at) >= PROBE_INTERVAL;
        let due = self.known.values_mut().filter(due);
        due.map(|k| {
            k.probed_at = now;
            k.peer.clone()
        })
        .collect()
    }
}
