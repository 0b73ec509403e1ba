//! Other instances of the roster, and when this instance last heard from them.

use std::time::Duration;

use hornbeam_model::{InstanceId, Mono, Zone};
use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

/// Minimum time without a message after which a peer is reported as silent.
const MIN_SILENCE: Duration = Duration::from_secs(3);

/// State of another instance.
#[derive(Clone, Debug)]
pub struct PeerInfo {
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Time of its latest message; `None` before the first one.
    pub last_heard: Option<Mono>,
    /// True after the instance was reported as silent, until its next message.
    pub silent: bool,
    /// True after the instance announced its shutdown, until its next message.
    pub left: bool,
}

/// Set of the other instances.
#[derive(Debug)]
pub struct Peers {
    peers: IndexMap<InstanceId, PeerInfo>,
    /// Random order in which instances are selected, drawn once: each instance has the same
    /// position in every round, so two selections of it are never two rounds apart.
    order: Vec<usize>,
    /// Index in `order` of the next instance.
    next: usize,
}

impl Peers {
    /// Creates the set from the instances that the settings name.
    pub fn new(peers: impl IntoIterator<Item = (InstanceId, Zone)>) -> Self {
        let known = |zone| PeerInfo { zone, last_heard: None, silent: false, left: false };
        let peers = peers.into_iter().map(|(name, zone)| (name, known(zone))).collect();
        Self { peers, order: Vec::new(), next: 0 }
    }

    /// Returns the state of one instance for modification.
    pub fn get_mut(&mut self, peer: &InstanceId) -> Option<&mut PeerInfo> {
        self.peers.get_mut(peer)
    }

    /// Returns all instances with their state.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &PeerInfo)> {
        self.peers.iter()
    }

    /// Returns all instances with their state for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&InstanceId, &mut PeerInfo)> {
        self.peers.iter_mut()
    }

    /// Returns the time without a message after which an instance is reported as silent: two and a
    /// half rounds in which each instance sends to `fanout` others per `interval`, but at least
    /// `MIN_SILENCE`.
    pub fn silent_after(&self, fanout: usize, interval: Duration) -> Duration {
        let round = interval * self.peers.len().div_ceil(fanout.max(1)) as u32;
        (round * 5 / 2).max(MIN_SILENCE)
    }

    /// Returns the number of other instances.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns true if there is no other instance.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the next `count` instances; each instance is selected once per round.
    pub fn next_partners(&mut self, rng: &mut SmallRng, count: usize) -> Vec<InstanceId> {
        if self.order.is_empty() {
            self.order = (0..self.peers.len()).collect();
            shuffle(rng, &mut self.order);
        }
        let count = count.min(self.order.len());
        let mut partners = Vec::with_capacity(count);
        for _ in 0..count {
            let i = self.order[self.next];
            self.next = (self.next + 1) % self.order.len();
            partners.extend(self.peers.get_index(i).map(|(name, _)| name.clone()));
        }
        partners
    }
}

impl Peers {
    /// Returns `count` instances selected at random, independently of earlier selections.
    pub fn sample(&self, rng: &mut SmallRng, count: usize) -> Vec<InstanceId> {
        let names: Vec<&InstanceId> = self.peers.keys().collect();
        names.choose_multiple(rng, count).map(|name| (*name).clone()).collect()
    }
}

fn shuffle(rng: &mut SmallRng, order: &mut [usize]) {
    for i in (1..order.len()).rev() {
        let j = rng.random_range(0..=i);
        order.swap(i, j);
    }
}
