//! The other instances and when they were heard.

use std::time::Duration;

use hornbeam_model::{InstanceId, Mono, Zone};
use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

/// Shortest silence after which an instance is reported.
const MIN_SILENCE: Duration = Duration::from_secs(3);

/// What is known of another instance.
#[derive(Clone, Debug)]
pub struct PeerInfo {
    /// Its availability zone.
    pub zone: Zone,
    /// When it was last heard.
    pub last_heard: Option<Mono>,
    /// True while it is silent and that was reported.
    pub silent: bool,
    /// True once it left in good order, until it is heard again.
    pub left: bool,
}

/// The other instances.
#[derive(Debug)]
pub struct Peers {
    peers: IndexMap<InstanceId, PeerInfo>,
    /// Order in which instances come up, drawn once: so each one comes up in every round at the same
    /// place, and never two rounds apart.
    order: Vec<usize>,
    /// Place in `order` of the next one.
    next: usize,
}

impl Peers {
    /// The instances that the settings name.
    pub fn new(peers: impl IntoIterator<Item = (InstanceId, Zone)>) -> Self {
        let known = |zone| PeerInfo { zone, last_heard: None, silent: false, left: false };
        let peers = peers.into_iter().map(|(name, zone)| (name, known(zone))).collect();
        Self { peers, order: Vec::new(), next: 0 }
    }

    /// What is known of one instance.
    pub fn get_mut(&mut self, peer: &InstanceId) -> Option<&mut PeerInfo> {
        self.peers.get_mut(peer)
    }

    /// All instances.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &PeerInfo)> {
        self.peers.iter()
    }

    /// All instances, to change.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&InstanceId, &mut PeerInfo)> {
        self.peers.iter_mut()
    }

    /// Silence after which an instance is reported, if each one hears `fanout` others every
    /// `every`: two whole rounds and a half.
    pub fn silent_after(&self, fanout: usize, every: Duration) -> Duration {
        let round = every * self.peers.len().div_ceil(fanout.max(1)) as u32;
        (round * 5 / 2).max(MIN_SILENCE)
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// True if there is no other instance.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The next `count` instances; each one comes up once a round.
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
    /// Some `count` instances, drawn anew each time.
    pub fn some(&self, rng: &mut SmallRng, count: usize) -> Vec<InstanceId> {
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
