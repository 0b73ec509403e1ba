//! Other entries, and which of them collects which group of shards.
//!
//! Every entry ranks the others alike for a group, so that a server sees connections of a few entries
//! only and each of them meets it often.

use std::collections::HashMap;
use std::net::SocketAddr;

use hornbeam_model::{InstanceId, Mono, Zone};
use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Entries among which the work of one group is spread: one may be busy and one lost.
const PEERS_PER_GROUP: usize = 4;
/// Time between two looks whether a suspected entry is back.
const PROBE_EVERY: Duration = Duration::from_millis(250);
/// Time for which another zone gets no groups after one of its entries could not be reached: about as
/// long as it takes to find out which servers are cut off with it.
const ZONE_AVOIDED: Duration = Duration::from_secs(1);

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
}

/// The other entries: all of the own zone, some of the others.
#[derive(Debug)]
pub struct Peers {
    own_zone: Zone,
    known: IndexMap<InstanceId, Known>,
    /// Other zones that are given nothing, and until when.
    avoided: HashMap<Zone, Mono>,
}

impl Peers {
    /// Nobody is known yet.
    pub fn new(own_zone: Zone) -> Self {
        Self { own_zone, known: IndexMap::new(), avoided: HashMap::new() }
    }

    /// Takes all other entries.
    pub fn replace(&mut self, peers: Vec<Peer>) {
        let mut before = std::mem::take(&mut self.known);
        for peer in peers {
            let known = before.swap_remove(&peer.name).filter(|k| k.peer == peer);
            let new = Known {
                peer: peer.clone(),
                suspected: false,
                probed_at: Mono::default(),
                groups: 0,
            };
            self.known.insert(peer.name, known.unwrap_or(new));
        }
    }

    /// Entries of a zone that groups can be given to now.
    pub fn usable_in(&self, now: Mono, zone: &str) -> usize {
        if self.avoided.iter().any(|(z, until)| z.as_str() == zone && now < *until) {
            return 0;
        }
        let of_zone = self.known.values().filter(|k| k.peer.zone.as_str() == zone);
        of_zone.filter(|k| !k.suspected).count()
    }

    /// Chooses an entry of a zone for a group and notes that it has one more. `seed` stands for the
    /// group: it is the same at all entries.
    pub fn choose(&mut self, zone: &str, seed: u64, rng: &mut SmallRng) -> Option<Peer> {
        let rank = |k: &Known| xxh3_64_with_seed(k.peer.name.as_str().as_bytes(), seed);
        let can = |k: &Known| !k.suspected && k.peer.zone.as_str() == zone;
        let mut usable: Vec<usize> =
            (0..self.known.len()).filter(|i| can(&self.known[*i])).collect();
        usable.sort_by_key(|i| rank(&self.known[*i]));
        usable.truncate(PEERS_PER_GROUP);
        let least = usable
            .into_iter()
            .min_by_key(|i| (self.known[*i].groups, rng.random_range(0..u32::MAX)))?;
        let known = &mut self.known[least];
        known.groups += 1;
        Some(known.peer.clone())
    }

    /// Gives nothing to the zone of an entry that cannot be reached, if it is another zone: it may be
    /// cut off as a whole.
    pub fn avoid_zone_of(&mut self, now: Mono, name: &InstanceId) {
        let Some(known) = self.known.get(name) else { return };
        if known.peer.zone != self.own_zone {
            self.avoided.insert(known.peer.zone.clone(), now + ZONE_AVOIDED);
        }
    }

    /// Notes that a group is not with this entry any more.
    pub fn note_back(&mut self, name: &InstanceId) {
        if let Some(known) = self.known.get_mut(name) {
            known.groups = known.groups.saturating_sub(1);
        }
    }

    /// Suspects an entry; true if that is news.
    pub fn suspect(&mut self, now: Mono, name: &InstanceId) -> bool {
        let Some(known) = self.known.get_mut(name) else { return false };
        known.probed_at = now;
        !std::mem::replace(&mut known.suspected, true)
    }

    /// Notes that an entry was heard; true if it was suspected.
    pub fn hear(&mut self, name: &InstanceId) -> bool {
        self.known.get_mut(name).is_some_and(|k| std::mem::take(&mut k.suspected))
    }

    /// Suspected entries that should be asked now whether they are back.
    pub fn take_probes(&mut self, now: Mono) -> Vec<Peer> {
        let due = |k: &&mut Known| k.suspected && now.since(k.probed_at) >= PROBE_EVERY;
        let due = self.known.values_mut().filter(due);
        due.map(|k| {
            k.probed_at = now;
            k.peer.clone()
        })
        .collect()
    }
}
