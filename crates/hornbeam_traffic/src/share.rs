//! This instance's share of a server's connections.
//!
//! A server limits its connections over all instances. Each instance takes an equal share; the
//! remainder goes to the instances that rank first for that server by rendezvous hashing. The
//! shares add up to the limit exactly, without messages between the instances. With more instances
//! than connections, the same rule assigns each server to a subset of the instances.

use hornbeam_model::{InstanceId, ServerId};
use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64;

/// The instances among which the connections of each server are shared.
///
/// An unresponsive instance stays in the roster, because it may be alive behind a partition and
/// still hold its connections. Only an instance that shut down cleanly or was removed by an
/// operator leaves the roster.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    instances: IndexSet<InstanceId>,
}

impl Roster {
    /// Creates a roster of `instances`; duplicates count once.
    pub fn new(instances: impl IntoIterator<Item = InstanceId>) -> Self {
        Self { instances: instances.into_iter().collect() }
    }

    /// Adds an instance; returns true if it is new.
    pub fn add(&mut self, instance: InstanceId) -> bool {
        self.instances.insert(instance)
    }

    /// Removes an instance; returns true if it was in the roster.
    pub fn remove(&mut self, instance: &InstanceId) -> bool {
        self.instances.swap_remove(instance)
    }

    /// Returns the number of instances.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Returns true if the roster has no instances.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }
}

fn rank(instance: &InstanceId, server: &ServerId) -> u64 {
    let mut key = Vec::with_capacity(128);
    key.extend_from_slice(instance.as_str().as_bytes());
    key.push(b'/');
    key.extend_from_slice(server.as_str().as_bytes());
    xxh3_64(&key)
}

/// Returns the number of connections that `me` may hold to `server`, which accepts `cap`
/// connections from all instances together.
///
/// The shares of all members of `roster` add up to `cap`.
pub fn connection_share(cap: u32, roster: &Roster, me: &InstanceId, server: &ServerId) -> u32 {
    let count = u32::try_from(roster.len().max(1)).unwrap_or(u32::MAX);
    let equal = cap / count;
    let remainder = (cap % count) as usize;
    if remainder == 0 {
        return equal;
    }
    let my_rank = (rank(me, server), me);
    let ahead = roster.instances.iter().filter(|i| (rank(i, server), *i) < my_rank).count();
    equal + u32::from(ahead < remainder)
}
