//! Replica selection: zone-aware power of two choices by expected cost.

use std::collections::HashMap;

use hornbeam_model::Mono;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::fleet::{Fleet, ServiceState};
use crate::server::{ServerIdx, ServerRecord};
use crate::table::{Replica, SchemaMask};

/// Factor by which the cost of a server in another availability zone is raised.
const REMOTE_COST_FACTOR: f64 = 2.0;
/// Amount added to the cost of a server in another availability zone, in microseconds.
const REMOTE_COST_OFFSET_US: f64 = 1_000.0;

impl Fleet {
    /// Selects a replica that meets `request` and has capacity.
    ///
    /// Draws two replicas at random from the own availability zone and two from all others, and
    /// takes the cheaper one of each pair. The one of the own zone is preferred unless the other
    /// one is much cheaper. Servers that are ejected or backed off from are selected only if no
    /// other is left.
    pub fn pick(
        &self,
        now: Mono,
        rng: &mut SmallRng,
        service: &ServiceState,
        request: &ReplicaRequest<'_>,
    ) -> PickOutcome {
        let usual_us = service.usual_us();
        let mut at_limit = false;
        let mut best: Option<ServerIdx> = None;
        for pass in [Pass::Local, Pass::Remote, Pass::Excluded] {
            if pass == Pass::Excluded && best.is_some() {
                break;
            }
            let found = self.sample(now, rng, request, pass, &mut at_limit);
            let candidate = match found {
                [Some(a), Some(b)] => self.cheaper(now, a, b, usual_us),
                [Some(a), None] => a,
                _ => continue,
            };
            best = match best {
                Some(local) if !self.prefers_remote(now, local, candidate, usual_us) => Some(local),
                _ => Some(candidate),
            };
        }
        match best {
            Some(server) => PickOutcome::Server(server),
            None if at_limit => PickOutcome::NoCapacity,
            None => PickOutcome::NoReplica,
        }
    }

    /// Draws up to two replicas of one pass that have capacity.
    ///
    /// Sets `at_limit` if a replica has no capacity now, unless this instance has no connections to
    /// it.
    fn sample(
        &self,
        now: Mono,
        rng: &mut SmallRng,
        request: &ReplicaRequest<'_>,
        pass: Pass,
        at_limit: &mut bool,
    ) -> [Option<ServerIdx>; 2] {
        let mut found: [Option<ServerIdx>; 2] = [None, None];
        let mut seen = 0u32;
        for replica in request.replicas {
            let fits = request.need.met_by(replica.schemas);
            if !fits || request.avoid.contains(&replica.server) {
                continue;
            }
            let server = self.server(replica.server);
            if !server.takes_work() || !pass.includes(server, now) {
                continue;
            }
            if server.outstanding + request.planned.count(replica.server) >= server.limit(now) {
                *at_limit |= server.share > 0;
                continue;
            }
            seen += 1;
            sample_two(rng, &mut found, seen, replica.server);
        }
        found
    }

    /// Returns true if a server of another zone is so much cheaper that it is preferred to the
    /// local one.
    fn prefers_remote(
        &self,
        now: Mono,
        local: ServerIdx,
        remote: ServerIdx,
        usual_us: f64,
    ) -> bool {
        if self.params.random_pick {
            return false;
        }
        let remote_cost =
            self.server(remote).cost(now, usual_us) * REMOTE_COST_FACTOR + REMOTE_COST_OFFSET_US;
        remote_cost < self.server(local).cost(now, usual_us)
    }

    fn cheaper(&self, now: Mono, a: ServerIdx, b: ServerIdx, usual_us: f64) -> ServerIdx {
        if self.params.random_pick {
            return a;
        }
        let cost_a = self.server(a).cost(now, usual_us);
        let cost_b = self.server(b).cost(now, usual_us);
        if cost_b < cost_a { b } else { a }
    }
}

/// Attempts per server that are planned and not yet sent.
#[derive(Debug, Default)]
pub struct PlannedAttempts(HashMap<ServerIdx, u32>);

impl PlannedAttempts {
    /// Adds one planned attempt to a server.
    pub fn add(&mut self, server: ServerIdx) {
        *self.0.entry(server).or_default() += 1;
    }

    /// Returns the number of attempts planned to a server.
    pub fn count(&self, server: ServerIdx) -> u32 {
        self.0.get(&server).copied().unwrap_or(0)
    }
}

/// Replicas that one pass of the selection considers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pass {
    /// Replicas in this instance's availability zone.
    Local,
    /// Replicas in other availability zones.
    Remote,
    /// Replicas in any zone that are ejected or backed off from.
    Excluded,
}

impl Pass {
    fn includes(self, server: &ServerRecord, now: Mono) -> bool {
        let excluded = server.is_excluded(now);
        match self {
            Self::Local => server.local && !excluded,
            Self::Remote => !server.local && !excluded,
            Self::Excluded => excluded,
        }
    }
}

/// Schema versions that a replica must hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SchemaNeed {
    /// At least one of these.
    Any(SchemaMask),
    /// All of these.
    All(SchemaMask),
}

impl SchemaNeed {
    fn met_by(self, held: SchemaMask) -> bool {
        match self {
            Self::Any(mask) => held & mask != 0,
            Self::All(mask) => held & mask == mask,
        }
    }
}

/// Requirements on the replica to select.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaRequest<'a> {
    /// Replicas of the shard.
    pub replicas: &'a [Replica],
    /// Schema versions that it must hold.
    pub need: SchemaNeed,
    /// Servers that must not be selected.
    pub avoid: &'a [ServerIdx],
    /// Attempts that count toward the limits of their servers although they are not sent yet.
    pub planned: &'a PlannedAttempts,
}

/// Result of a replica selection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickOutcome {
    /// The selected server.
    Server(ServerIdx),
    /// Suitable replicas exist, but none has capacity now.
    NoCapacity,
    /// No suitable replica exists.
    NoReplica,
}

/// Keeps a uniform sample of two servers out of a stream, in random order (reservoir sampling).
///
/// `seen` counts the servers of the stream, this one included.
fn sample_two(
    rng: &mut SmallRng,
    found: &mut [Option<ServerIdx>; 2],
    seen: u32,
    server: ServerIdx,
) {
    match seen {
        1 => found[0] = Some(server),
        2 => {
            found[1] = Some(server);
            if rng.random::<bool>() {
                found.swap(0, 1);
            }
        }
        _ => {
            let position = rng.random_range(0..seen) as usize;
            if position < 2 {
                found[position] = Some(server);
            }
        }
    }
}
