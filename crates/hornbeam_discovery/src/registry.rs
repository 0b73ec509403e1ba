//! The registry of one controller: the latest claim of each server that sends it heartbeats.

use std::time::Duration;

use hornbeam_model::{Incarnation, Mono, ServerId};
use hornbeam_protocol::discovery::{ClaimOrder, FeedChange, LifeStage, ServerClaim};
use indexmap::IndexMap;

/// Time for which a departure is kept: longer than a network partition delays a heartbeat and
/// longer than a restarted entry takes to open its feeds.
pub const DEPARTURE_TTL: Duration = Duration::from_secs(60);
/// Maximum number of registered servers; further ones are rejected so that forged names cannot
/// exhaust memory.
const MAX_SERVERS: usize = 20_000;

/// Configuration of a registry.
#[derive(Clone, Copy, Debug)]
pub struct RegistryParams {
    /// Time without a heartbeat after which a server lapses.
    pub lease: Duration,
}

#[derive(Clone, Debug)]
struct Registration {
    claim: ServerClaim,
    /// When this controller last received a heartbeat or departure of this incarnation.
    last_heartbeat: Mono,
}

/// The servers registered at one controller.
#[derive(Debug)]
pub struct Registry {
    params: RegistryParams,
    servers: IndexMap<ServerId, Registration>,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new(params: RegistryParams) -> Self {
        Self { params, servers: IndexMap::new() }
    }

    /// Adds the servers that were known before a restart, each with a new lease.
    pub fn recall(&mut self, now: Mono, claims: Vec<ServerClaim>) {
        for claim in claims {
            // Nothing is published: a controller that has just started has no feeds.
            let _ = self.record_heartbeat(now, claim);
        }
    }

    /// Records a heartbeat and returns the change to publish, if the claim differs from the known
    /// one.
    pub fn record_heartbeat(&mut self, now: Mono, claim: ServerClaim) -> Option<FeedChange> {
        let Some(known) = self.servers.get_mut(&claim.server) else {
            if self.servers.len() >= MAX_SERVERS {
                return None;
            }
            let server = claim.server.clone();
            self.servers.insert(server, Registration { claim: claim.clone(), last_heartbeat: now });
            return Some(FeedChange::Claim(claim));
        };
        if claim.order.incarnation == known.claim.order.incarnation {
            // A reordered heartbeat also shows that this incarnation was alive recently.
            known.last_heartbeat = now;
        }
        if claim.order <= known.claim.order {
            return None;
        }
        known.last_heartbeat = now;
        let differs = differs_for_entries(&known.claim, &claim);
        known.claim = claim.clone();
        differs.then_some(FeedChange::Claim(claim))
    }

    /// Records that a server has left and returns the change to publish. Without `incarnation`, the
    /// registered incarnation has left or, for an unknown server, any that started before
    /// `unix_ms`.
    pub fn record_departure(
        &mut self,
        now: Mono,
        server: ServerId,
        incarnation: Option<Incarnation>,
        unix_ms: u64,
    ) -> Option<FeedChange> {
        let registered = self.servers.get(&server).map(|r| r.claim.order.incarnation);
        let incarnation = incarnation.or(registered).unwrap_or(Incarnation(unix_ms));
        let order = ClaimOrder { incarnation, stage: LifeStage::Gone, seq: u64::MAX };
        let info = self.servers.get(&server).and_then(|r| r.claim.info.clone());
        self.record_heartbeat(now, ServerClaim { server, order, info })
    }

    /// Records a departure that another controller reports and returns the change to publish, if
    /// any.
    pub fn record_peer_departure(&mut self, now: Mono, claim: ServerClaim) -> Option<FeedChange> {
        if claim.order.stage == LifeStage::Ready {
            return None;
        }
        self.record_heartbeat(now, claim)
    }

    /// Removes servers whose lease has expired and departures older than [`DEPARTURE_TTL`]; returns
    /// the changes to publish.
    pub fn expire(&mut self, now: Mono) -> Vec<FeedChange> {
        let mut lapsed = Vec::new();
        let lease = self.params.lease;
        self.servers.retain(|server, known| {
            let ttl = match known.claim.order.stage {
                LifeStage::Ready => lease,
                LifeStage::Draining | LifeStage::Gone => DEPARTURE_TTL,
            };
            let keep = now.since(known.last_heartbeat) < ttl;
            if !keep {
                lapsed.push(FeedChange::Lapsed(server.clone()));
            }
            keep
        });
        lapsed
    }

    /// Removes all servers except draining and departed ones, after a time in which no heartbeat
    /// could be received.
    pub fn clear_ready(&mut self) {
        self.servers.retain(|_, r| r.claim.order.stage != LifeStage::Ready);
    }

    /// Returns all claims, including those of departed servers.
    pub fn claims(&self) -> Vec<ServerClaim> {
        self.servers.values().map(|r| r.claim.clone()).collect()
    }

    /// Returns the latest claim of a server.
    pub fn claim(&self, server: &ServerId) -> Option<&ServerClaim> {
        self.servers.get(server).map(|r| &r.claim)
    }

    /// Returns the claims of servers that are draining or have left.
    pub fn departures(&self) -> Vec<ServerClaim> {
        let departed = |r: &&Registration| r.claim.order.stage != LifeStage::Ready;
        self.servers.values().filter(departed).map(|r| r.claim.clone()).collect()
    }
}

/// Returns true if the claims differ in anything that entries use. The sequence number of the
/// heartbeat does not matter to them.
fn differs_for_entries(old: &ServerClaim, new: &ServerClaim) -> bool {
    let same_stage =
        old.order.incarnation == new.order.incarnation && old.order.stage == new.order.stage;
    if !same_stage {
        return true;
    }
    // The remaining warm-up time falls with each heartbeat; its end matters, and that it starts again or
    // is prolonged.
    let left = |c: &ServerClaim| c.info.as_ref().map_or(0, |o| o.warm_up_ms);
    if left(new) > left(old) {
        return true;
    }
    let published = |c: &ServerClaim| {
        c.info
            .as_ref()
            .map(|o| (o.service.clone(), o.address, o.zone.clone(), o.slots, o.warm_up_ms == 0))
    };
    published(old) != published(new)
}
