//! Other entries, and the choice of a gathering entry for each shard group.
//!
//! All entries of a zone rank their peers identically for a group. A server therefore gets
//! connections from a few entries only, each of which sends to it often enough to measure it.
//! Groups of crowded servers have one owner in each zone, so the number of entries that send to such
//! a server is that of the zones.
//!
//! Entries of other zones gather only what this entry cannot reach. An entry is chosen because it can
//! gather, not because it can be reached: one that says that it gathers nothing is left out until it
//! says otherwise, whatever else arrives from it.

use std::net::SocketAddr;

use hornbeam_model::{InstanceId, Mono, Zone};
use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Highest-ranked entries that the work of one group is spread over, as some may be busy or
/// unreachable.
pub(crate) const CANDIDATES_PER_GROUP: usize = 4;
/// Interval between probes of an entry that gets no groups.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Probes at most in one such interval.
const MAX_PROBES: usize = 8;
/// Consecutive groups without a report by the due time after which an entry is suspected.
const SUSPECT_AFTER_MISSED_REPORTS: u32 = 2;

/// Another entry that can gather shard groups.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Instance name of the entry.
    pub name: InstanceId,
    /// Address on which it accepts groups of other entries.
    pub address: SocketAddr,
    /// Availability zone of the entry.
    pub zone: Zone,
}

/// Whether another entry gets groups.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Availability {
    /// It gathers groups, as far as is known.
    Usable,
    /// It did not respond; any message from it shows that it is alive.
    Suspected,
    /// It states that it gathers no groups, until it states the opposite.
    Declining,
}

/// How another entry is probed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbePath {
    /// On the connection to it, if one is open.
    OpenConnection,
    /// On a new connection: a broken one looks like an entry that has stopped.
    NewConnection,
}

#[derive(Debug)]
struct PeerState {
    peer: Peer,
    availability: Availability,
    probed_at: Mono,
    /// Groups that it currently gathers for this entry.
    groups: u32,
    /// Consecutive groups that it did not report on by the time the response was due.
    missed_reports: u32,
}

impl PeerState {
    fn is_usable(&self) -> bool {
        self.availability == Availability::Usable
    }
}

/// Who gathers a shard group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Gatherer {
    /// Another entry of the zone.
    Peer(Peer),
    /// The entry that the request arrived at.
    This,
}

/// The other entries of this entry's zone, and some entries of each other zone.
#[derive(Debug)]
pub struct Peers {
    /// Instance name of this entry.
    me: InstanceId,
    /// Availability zone of this entry.
    zone: Zone,
    peers: IndexMap<InstanceId, PeerState>,
    /// Positions in `peers` of the entries of this zone, in the order of their hashes, the same at
    /// all entries of the zone; `None` is this entry.
    order: Vec<Option<usize>>,
    /// Start of the interval in which `probes` were sent.
    probing_since: Mono,
    probes: usize,
}

impl Peers {
    /// Creates an empty list for the entry with this name and zone.
    pub fn new(me: InstanceId, zone: Zone) -> Self {
        Self {
            me,
            zone,
            peers: IndexMap::new(),
            order: vec![None],
            probing_since: Mono::default(),
            probes: 0,
        }
    }

    /// Replaces the list of entries; those that are unchanged keep their state.
    pub fn replace(&mut self, peers: Vec<Peer>) {
        let mut before = std::mem::take(&mut self.peers);
        for peer in peers {
            let state = before.swap_remove(&peer.name).filter(|p| p.peer == peer);
            let new = PeerState {
                peer: peer.clone(),
                availability: Availability::Usable,
                probed_at: Mono::default(),
                groups: 0,
                missed_reports: 0,
            };
            self.peers.insert(peer.name, state.unwrap_or(new));
        }
        let of_zone = (0..self.peers.len()).filter(|i| self.peers[*i].peer.zone == self.zone);
        self.order = of_zone.map(Some).chain([None]).collect();
        let name = |i: &Option<usize>| i.map_or(&self.me, |i| &self.peers[i].peer.name);
        self.order.sort_by_cached_key(|i| xxh3_64(name(i).as_str().as_bytes()));
    }

    /// Returns the number of entries of the zone, this one included.
    pub fn zone_entries(&self) -> usize {
        self.order.len()
    }

    /// Returns the number of entries of the zone that groups can be delegated to.
    pub fn usable(&self) -> usize {
        self.usable_in_zone().count()
    }

    fn usable_in_zone(&self) -> impl Iterator<Item = usize> {
        self.order.iter().flatten().copied().filter(|i| self.peers[*i].is_usable())
    }

    /// Returns true if an entry of any zone can gather what this entry cannot reach.
    pub fn can_relay(&self) -> bool {
        self.peers.values().any(PeerState::is_usable)
    }

    /// Chooses the entry that gathers what this entry cannot reach, and counts the group as delegated
    /// to it: the one with the fewest groups of this entry, if possible in this zone. `tried` could
    /// not gather the group, so an entry of another zone than its own is more likely to; the same holds for
    /// zones of which an entry declines. Only entries of zones that `may_handle` allows are chosen.
    pub fn choose_relay(
        &mut self,
        tried: Option<&InstanceId>,
        rng: &mut SmallRng,
        may_handle: impl Fn(&Zone) -> bool,
    ) -> Option<Peer> {
        let usable = (0..self.peers.len()).filter(|i| self.peers[*i].is_usable());
        let usable = usable.filter(|i| may_handle(&self.peers[*i].peer.zone));
        let tried = tried.and_then(|name| self.peers.get(name)).map(|p| &p.peer);
        let declining = self.peers.values().filter(|p| p.availability == Availability::Declining);
        let declining: IndexSet<&Zone> = declining.map(|p| &p.peer.zone).collect();
        let least = usable.min_by_key(|i| {
            let state = &self.peers[*i];
            let was_tried = tried.is_some_and(|t| t.name == state.peer.name);
            let zone_was_tried = tried.is_some_and(|t| t.zone == state.peer.zone);
            let other_zone = state.peer.zone != self.zone;
            let draw = rng.random_range(0..u32::MAX);
            let zone_declines = declining.contains(&state.peer.zone);
            (was_tried, zone_was_tried, zone_declines, state.groups, other_zone, draw)
        })?;
        Some(self.count_group(least))
    }

    /// Chooses the entry of another zone with the fewest groups of this entry, and counts a group as
    /// delegated to it.
    pub fn choose_in_zone(
        &mut self,
        zone: &str,
        rng: &mut SmallRng,
        may_handle: impl Fn(&Zone) -> bool,
    ) -> Option<Peer> {
        let of_zone = (0..self.peers.len()).filter(|i| {
            let state = &self.peers[*i];
            state.is_usable() && state.peer.zone.as_str() == zone && may_handle(&state.peer.zone)
        });
        let least =
            of_zone.min_by_key(|i| (self.peers[*i].groups, rng.random_range(0..u32::MAX)))?;
        Some(self.count_group(least))
    }

    /// Chooses the least loaded of the highest-ranked entries for the group with this number, and
    /// counts the group as delegated to it.
    pub fn choose(&mut self, group: usize, rng: &mut SmallRng) -> Option<Peer> {
        let rank = |p: &PeerState| xxh3_64_with_seed(p.peer.name.as_str().as_bytes(), group as u64);
        let mut usable: Vec<usize> = self.usable_in_zone().collect();
        usable.sort_by_cached_key(|i| rank(&self.peers[*i]));
        usable.truncate(CANDIDATES_PER_GROUP);
        let least = usable
            .into_iter()
            .min_by_key(|i| (self.peers[*i].groups, rng.random_range(0..u32::MAX)))?;
        Some(self.count_group(least))
    }

    /// Returns the one entry of the zone that gathers the group with this number out of `groups`, or
    /// the next one in order while it gets no groups. Counts the group as delegated to it.
    pub fn owner(&mut self, group: usize, groups: usize) -> Gatherer {
        let entries = self.order.len();
        let first = group * entries / groups;
        let mut in_order = (0..entries).map(|n| self.order[(first + n) % entries]);
        let usable = |i: &Option<usize>| i.is_none_or(|i| self.peers[i].is_usable());
        match in_order.find(usable).flatten() {
            Some(owner) => Gatherer::Peer(self.count_group(owner)),
            None => Gatherer::This,
        }
    }

    /// Returns true if an entry gathers groups, as far as is known.
    pub fn is_usable(&self, name: &InstanceId) -> bool {
        self.peers.get(name).is_some_and(PeerState::is_usable)
    }

    fn count_group(&mut self, position: usize) -> Peer {
        let state = &mut self.peers[position];
        state.groups += 1;
        state.peer.clone()
    }

    /// Records that an entry no longer gathers a group.
    pub fn release_group(&mut self, name: &InstanceId) {
        if let Some(state) = self.peers.get_mut(name) {
            state.groups = state.groups.saturating_sub(1);
        }
    }

    /// Records that an entry did not report on a group by the time the response was due. Returns
    /// true if it should be suspected; a single missed report may only be late.
    pub fn record_missed_report(&mut self, name: &InstanceId) -> bool {
        let Some(state) = self.peers.get_mut(name) else { return false };
        state.missed_reports += 1;
        state.missed_reports >= SUSPECT_AFTER_MISSED_REPORTS
    }

    /// Records that an entry reported on a group.
    pub fn record_report(&mut self, name: &InstanceId) {
        if let Some(state) = self.peers.get_mut(name) {
            state.missed_reports = 0;
        }
    }

    /// Marks an entry as suspected, unless it is declining; returns true if it got groups before.
    pub fn suspect(&mut self, now: Mono, name: &InstanceId) -> bool {
        self.exclude(now, name, Availability::Suspected)
    }

    /// Marks an entry as one that gathers no groups; returns true if it got some before.
    pub fn mark_declining(&mut self, now: Mono, name: &InstanceId) -> bool {
        self.exclude(now, name, Availability::Declining)
    }

    fn exclude(&mut self, now: Mono, name: &InstanceId, as_now: Availability) -> bool {
        let Some(state) = self.peers.get_mut(name) else { return false };
        state.probed_at = now;
        let was_usable = state.is_usable();
        if state.availability != Availability::Declining {
            state.availability = as_now;
        }
        was_usable
    }

    /// Marks an entry as alive after a message from it; returns true if it was suspected.
    pub fn mark_alive(&mut self, name: &InstanceId) -> bool {
        let suspected = |p: &&mut PeerState| p.availability == Availability::Suspected;
        self.peers.get_mut(name).filter(suspected).map(restore).is_some()
    }

    /// Marks an entry as one that gathers groups; returns true if it got none before.
    pub fn mark_accepting(&mut self, name: &InstanceId) -> bool {
        self.peers.get_mut(name).filter(|p| !p.is_usable()).map(restore).is_some()
    }

    /// Returns entries that get no groups and whose next probe is due, and counts these probes as
    /// sent.
    pub fn start_due_probes(&mut self, now: Mono) -> Vec<(Peer, ProbePath)> {
        if now.since(self.probing_since) >= PROBE_INTERVAL {
            self.probing_since = now;
            self.probes = 0;
        }
        let mut due: Vec<&mut PeerState> = self
            .peers
            .values_mut()
            .filter(|p| !p.is_usable() && now.since(p.probed_at) >= PROBE_INTERVAL)
            .collect();
        due.sort_by_key(|p| p.probed_at);
        due.truncate(MAX_PROBES - self.probes);
        self.probes += due.len();
        let probed = due.into_iter().map(|p| {
            p.probed_at = now;
            let path = match p.availability {
                Availability::Suspected => ProbePath::NewConnection,
                Availability::Usable | Availability::Declining => ProbePath::OpenConnection,
            };
            (p.peer.clone(), path)
        });
        probed.collect()
    }
}

fn restore(state: &mut PeerState) {
    state.availability = Availability::Usable;
    state.missed_reports = 0;
}
