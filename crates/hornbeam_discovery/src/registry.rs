//! Heartbeats of servers at one controller.

use std::time::Duration;

use hornbeam_model::{Incarnation, Mono, ServerId};
use hornbeam_protocol::discovery::{ClaimOrder, FeedChange, LifeStage, ServerClaim};
use indexmap::IndexMap;

/// Time for which a departure is remembered: longer than a heartbeat may be held up by a network
/// partition and longer than a restarted entry takes to follow.
pub const DEPARTURE_TTL: Duration = Duration::from_secs(60);
/// Servers kept at once; a further one is refused so that forged names cannot fill the memory.
const MAX_SERVERS: usize = 20_000;

/// What a registry needs to know.
#[derive(Clone, Copy, Debug)]
pub struct RegistryParams {
    /// Silence after which a server lapses.
    pub lease: Duration,
}

#[derive(Clone, Debug)]
struct Known {
    claim: ServerClaim,
    /// When a heartbeat last came here.
    heard: Mono,
}

/// The servers that one controller hears of.
#[derive(Debug)]
pub struct Registry {
    params: RegistryParams,
    servers: IndexMap<ServerId, Known>,
}

impl Registry {
    /// An empty registry.
    pub fn new(params: RegistryParams) -> Self {
        Self { params, servers: IndexMap::new() }
    }

    /// Takes a heartbeat; the change to publish, if it says something new.
    pub fn record_heartbeat(&mut self, now: Mono, claim: ServerClaim) -> Option<FeedChange> {
        let Some(known) = self.servers.get_mut(&claim.server) else {
            if self.servers.len() >= MAX_SERVERS {
                return None;
            }
            let name = claim.server.clone();
            self.servers.insert(name, Known { claim: claim.clone(), heard: now });
            return Some(FeedChange::Claim(claim));
        };
        if claim.order.incarnation == known.claim.order.incarnation {
            // Also a late one shows that this incarnation lived a moment ago.
            known.heard = now;
        }
        if claim.order <= known.claim.order {
            return None;
        }
        known.heard = now;
        let news = says_something_new(&known.claim, &claim);
        known.claim = claim.clone();
        news.then_some(FeedChange::Claim(claim))
    }

    /// Notes that a server has left. Without an incarnation the one known here is meant, or, if none
    /// is, any that began before `unix_ms`.
    pub fn record_departure(
        &mut self,
        now: Mono,
        server: ServerId,
        incarnation: Option<Incarnation>,
        unix_ms: u64,
    ) -> Option<FeedChange> {
        let known = self.servers.get(&server).map(|k| k.claim.order.incarnation);
        let incarnation = incarnation.or(known).unwrap_or(Incarnation(unix_ms));
        let order = ClaimOrder { incarnation, stage: LifeStage::Gone, seq: u64::MAX };
        let info = self.servers.get(&server).and_then(|k| k.claim.info.clone());
        self.record_heartbeat(now, ServerClaim { server, order, info })
    }

    /// Takes a departure that another controller was told of; the change to publish, if it is news.
    pub fn record_peer_departure(&mut self, now: Mono, claim: ServerClaim) -> Option<FeedChange> {
        if claim.order.stage == LifeStage::Ready {
            return None;
        }
        self.record_heartbeat(now, claim)
    }

    /// Drops servers that were silent for the lease and departures that are old.
    pub fn expire(&mut self, now: Mono) -> Vec<FeedChange> {
        let mut lapsed = Vec::new();
        let lease = self.params.lease;
        self.servers.retain(|name, known| {
            let kept = match known.claim.order.stage {
                LifeStage::Ready => lease,
                LifeStage::Draining | LifeStage::Gone => DEPARTURE_TTL,
            };
            let keep = now.since(known.heard) < kept;
            if !keep {
                lapsed.push(FeedChange::Lapsed(name.clone()));
            }
            keep
        });
        lapsed
    }

    /// Forgets all but departures, after a time in which nothing could be heard.
    pub fn clear_ready(&mut self) {
        self.servers.retain(|_, k| k.claim.order.stage != LifeStage::Ready);
    }

    /// All claims, departures included.
    pub fn claims(&self) -> Vec<ServerClaim> {
        self.servers.values().map(|k| k.claim.clone()).collect()
    }

    /// The claim of one server.
    pub fn claim(&self, server: &ServerId) -> Option<&ServerClaim> {
        self.servers.get(server).map(|k| &k.claim)
    }

    /// Departures that are remembered.
    pub fn departures(&self) -> Vec<ServerClaim> {
        let gone = |k: &&Known| k.claim.order.stage != LifeStage::Ready;
        self.servers.values().filter(gone).map(|k| k.claim.clone()).collect()
    }
}

fn says_something_new(old: &ServerClaim, new: &ServerClaim) -> bool {
    let same_life =
        old.order.incarnation == new.order.incarnation && old.order.stage == new.order.stage;
    if !same_life {
        return true;
    }
    // The time left to warm up falls with each heartbeat; only its end is news.
    let essence = |c: &ServerClaim| {
        c.info
            .as_ref()
            .map(|o| (o.service.clone(), o.address, o.zone.clone(), o.slots, o.warm_up_ms == 0))
    };
    essence(old) != essence(new)
}
