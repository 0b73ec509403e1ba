//! The choice of a replica.

use std::collections::HashMap;

use hornbeam_model::Mono;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::fleet::{Fleet, ServiceState};
use crate::server::{ServerIdx, ServerRecord};
use crate::table::{Replica, SchemaMask};

/// Factor on the cost of a server of another zone.
const REMOTE_FACTOR: f64 = 2.0;
/// Added to the cost of a server of another zone, in microseconds.
const REMOTE_EXTRA_US: f64 = 1_000.0;
impl Fleet {
    /// Chooses a replica with room among those that fit.
    ///
    /// Of two drawn at random in each zone, the own one and all others, the cheaper one is taken. The
    /// own zone goes first unless the other server is much cheaper; avoided servers are used only
    /// when no other is left.
    pub fn pick(
        &self,
        now: Mono,
        rng: &mut SmallRng,
        service: &ServiceState,
        wanted: &ReplicaRequest<'_>,
    ) -> PickOutcome {
        let usual_us = service.usual_us();
        let mut full = false;
        let mut best: Option<ServerIdx> = None;
        for pass in [Pass::Local, Pass::Remote, Pass::Avoided] {
            if pass == Pass::Avoided && best.is_some() {
                break;
            }
            let found = self.sample(now, rng, wanted, pass, &mut full);
            let candidate = match found {
                [Some(a), Some(b)] => self.cheaper(now, a, b, usual_us),
                [Some(a), None] => a,
                _ => continue,
            };
            best = match best {
                Some(local) if !self.worth_leaving(now, local, candidate, usual_us) => Some(local),
                _ => Some(candidate),
            };
        }
        match best {
            Some(server) => PickOutcome::Server(server),
            None if full => PickOutcome::NoCapacity,
            None => PickOutcome::NoReplica,
        }
    }

    /// Draws up to two replicas of one pass that have room; notes if one had none.
    fn sample(
        &self,
        now: Mono,
        rng: &mut SmallRng,
        wanted: &ReplicaRequest<'_>,
        pass: Pass,
        full: &mut bool,
    ) -> [Option<ServerIdx>; 2] {
        let mut found: [Option<ServerIdx>; 2] = [None, None];
        let mut seen = 0u32;
        for replica in wanted.replicas {
            let fits = wanted.need.met_by(replica.schemas);
            if !fits || wanted.avoid.contains(&replica.server) {
                continue;
            }
            let server = self.server(replica.server);
            if !server.takes_work() || !pass.includes(server, now) {
                continue;
            }
            if server.outstanding + wanted.reserved.of(replica.server) >= server.limit(now) {
                *full |= server.share > 0;
                continue;
            }
            seen += 1;
            sample_two(rng, &mut found, seen, replica.server);
        }
        found
    }

    /// True if a server of another zone is so much cheaper than the local one that it is worth the
    /// way.
    fn worth_leaving(&self, now: Mono, local: ServerIdx, remote: ServerIdx, usual_us: f64) -> bool {
        if self.params.random_pick {
            return false;
        }
        let there = self.server(remote).cost(now, usual_us) * REMOTE_FACTOR + REMOTE_EXTRA_US;
        there < self.server(local).cost(now, usual_us)
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

/// Attempts planned and not yet sent.
#[derive(Debug, Default)]
pub struct PlannedAttempts(HashMap<ServerIdx, u32>);

impl PlannedAttempts {
    /// Plans one more attempt for a server.
    pub fn add(&mut self, server: ServerIdx) {
        *self.0.entry(server).or_default() += 1;
    }

    /// Attempts planned for a server.
    pub fn of(&self, server: ServerIdx) -> u32 {
        self.0.get(&server).copied().unwrap_or(0)
    }
}

/// Which replicas one pass over them looks at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pass {
    Local,
    Remote,
    Avoided,
}

impl Pass {
    fn includes(self, server: &ServerRecord, now: Mono) -> bool {
        let avoided = server.is_excluded(now);
        match self {
            Self::Local => server.local && !avoided,
            Self::Remote => !server.local && !avoided,
            Self::Avoided => avoided,
        }
    }
}

/// Schema versions that a replica is wanted for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SchemaNeed {
    /// Any of these.
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

/// The replica that is wanted.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaRequest<'a> {
    /// Replicas of the shard.
    pub replicas: &'a [Replica],
    /// Schema versions it is wanted for.
    pub need: SchemaNeed,
    /// Servers left out.
    pub avoid: &'a [ServerIdx],
    /// Attempts that count as sent.
    pub reserved: &'a PlannedAttempts,
}

/// What a choice of replica came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickOutcome {
    /// This server.
    Server(ServerIdx),
    /// There are replicas, but none has room now.
    NoCapacity,
    /// There is no replica.
    NoReplica,
}

/// Keeps a uniform sample of two out of a stream, in random order.
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
            let place = rng.random_range(0..seen) as usize;
            if place < 2 {
                found[place] = Some(server);
            }
        }
    }
}
