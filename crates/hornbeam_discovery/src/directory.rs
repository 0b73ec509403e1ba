//! The feeds of all controllers at one entry.
//!
//! A server counts by the highest claim of all feeds. A departure is final for its incarnation, also
//! when a controller that missed it goes on claiming the server. What a lost feed said, or one that
//! begins anew without it, stays for a while, and for as long as no other feed is fresh: an entry that is cut off goes on with the servers
//! that it knows.

use std::time::Duration;

use hornbeam_model::{InstanceId, Mono, ServerId};
use hornbeam_protocol::discovery::{
    ClaimOrder, FEED_HEARTBEAT_INTERVAL_MS, FeedChange, LifeStage, ServerClaim, ServerInfo,
};
use indexmap::IndexMap;

use crate::registry::DEPARTURE_TTL;

/// Time for which the claims of a lost feed stay while others are fresh: its servers have then sent
/// heartbeats to another controller.
const LOST_FEED_KEPT: Duration = Duration::from_secs(6);
/// Silence up to which a feed counts as fresh.
pub const MAX_FEED_AGE: Duration = Duration::from_millis(3 * FEED_HEARTBEAT_INTERVAL_MS);

/// A change of the servers that may be used.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerUpdate {
    /// The server takes requests on these terms.
    Usable {
        /// The server.
        server: ServerId,
        /// The claim's place, for logs.
        order: ClaimOrder,
        /// What it offers.
        offer: ServerInfo,
    },
    /// The server takes no new requests.
    Unusable {
        /// The server.
        server: ServerId,
        /// How far it is: draining, gone, or still ready but no longer heard.
        stage: LifeStage,
    },
}

#[derive(Debug, Default)]
struct Feed {
    claims: IndexMap<ServerId, ServerClaim>,
    /// Claims that the controller made before it began anew, and until when they stay: it may have
    /// lost its memory and not its servers.
    fading: IndexMap<ServerId, (ServerClaim, Mono)>,
    /// When it last said anything.
    heard: Mono,
}

impl Feed {
    fn claim(&self, server: &ServerId) -> Option<&ServerClaim> {
        self.claims.get(server).or_else(|| self.fading.get(server).map(|(claim, _)| claim))
    }
}

/// The servers as one entry knows them.
#[derive(Debug, Default)]
pub struct Directory {
    feeds: IndexMap<InstanceId, Feed>,
    /// What was last told of each server that is usable.
    usable: IndexMap<ServerId, ServerClaim>,
    /// The highest departure of each server, and when it was learnt.
    departures: IndexMap<ServerId, (ClaimOrder, Mono)>,
}

impl Directory {
    /// Takes all claims of a feed that has just begun.
    pub fn replace_feed(
        &mut self,
        now: Mono,
        from: &InstanceId,
        claims: Vec<ServerClaim>,
    ) -> Vec<ServerUpdate> {
        let feed = self.feeds.entry(from.clone()).or_default();
        feed.heard = now;
        let old = std::mem::take(&mut feed.claims);
        feed.claims = claims.into_iter().map(|c| (c.server.clone(), c)).collect();
        for (server, claim) in old {
            feed.fading.insert(server, (claim, now + LOST_FEED_KEPT));
        }
        let touched = feed.claims.keys().cloned().collect();
        self.refresh(now, touched)
    }

    /// Takes changes of a feed.
    pub fn update_feed(
        &mut self,
        now: Mono,
        from: &InstanceId,
        changes: Vec<FeedChange>,
    ) -> Vec<ServerUpdate> {
        let feed = self.feeds.entry(from.clone()).or_default();
        feed.heard = now;
        let mut touched = Vec::with_capacity(changes.len());
        for change in changes {
            match change {
                FeedChange::Claim(claim) => {
                    touched.push(claim.server.clone());
                    feed.claims.insert(claim.server.clone(), claim);
                }
                FeedChange::Lapsed(server) => {
                    feed.claims.shift_remove(&server);
                    feed.fading.shift_remove(&server);
                    touched.push(server);
                }
            }
        }
        self.refresh(now, touched)
    }

    /// Notes that a feed said something.
    pub fn mark_feed_active(&mut self, now: Mono, from: &InstanceId) {
        if let Some(feed) = self.feeds.get_mut(from) {
            feed.heard = now;
        }
    }

    /// Drops feeds that were lost long ago, if others are fresh, and old departures.
    pub fn expire(&mut self, now: Mono) -> Vec<ServerUpdate> {
        self.departures.retain(|_, (_, at)| now.since(*at) < DEPARTURE_TTL);
        if self.fresh_feeds(now) == 0 {
            return Vec::new();
        }
        let mut touched = Vec::new();
        self.feeds.retain(|_, feed| {
            feed.fading.retain(|server, (_, until)| {
                let keep = now < *until;
                if !keep {
                    touched.push(server.clone());
                }
                keep
            });
            let keep = now.since(feed.heard) < LOST_FEED_KEPT;
            if !keep {
                touched.extend(feed.claims.keys().chain(feed.fading.keys()).cloned());
            }
            keep
        });
        self.refresh(now, touched)
    }

    /// Feeds that were heard lately.
    pub fn fresh_feeds(&self, now: Mono) -> usize {
        self.feeds.values().filter(|f| now.since(f.heard) < MAX_FEED_AGE).count()
    }

    /// Servers that may be used.
    pub fn usable(&self) -> usize {
        self.usable.len()
    }

    fn refresh(&mut self, now: Mono, touched: Vec<ServerId>) -> Vec<ServerUpdate> {
        let mut updates = Vec::new();
        for server in touched {
            let claims = self.feeds.values().filter_map(|f| f.claim(&server));
            let best = claims.max_by_key(|c| c.order).cloned();
            if let Some(best) = &best
                && best.order.stage != LifeStage::Ready
            {
                self.note_departure(now, &server, best.order);
            }
            let departed = self.departures.get(&server).map(|(order, _)| *order);
            let ready = best.filter(|c| {
                c.order.stage == LifeStage::Ready && departed.is_none_or(|d| c.order > d)
            });
            updates.extend(self.publish(server, ready, departed));
        }
        updates
    }

    fn note_departure(&mut self, now: Mono, server: &ServerId, order: ClaimOrder) {
        let known = self.departures.entry(server.clone()).or_insert((order, now));
        if order > known.0 {
            *known = (order, now);
        }
    }

    /// What must be told of a server whose highest claim is `ready`, or that has none.
    fn publish(
        &mut self,
        server: ServerId,
        ready: Option<ServerClaim>,
        departed: Option<ClaimOrder>,
    ) -> Option<ServerUpdate> {
        let told = self.usable.get(&server);
        let Some(claim) = ready else {
            self.usable.shift_remove(&server)?;
            let stage = departed.map_or(LifeStage::Ready, |d| d.stage);
            return Some(ServerUpdate::Unusable { server, stage });
        };
        let same = told.is_some_and(|t| {
            t.info == claim.info && t.order.incarnation == claim.order.incarnation
        });
        if same {
            return None;
        }
        let offer = claim.info.clone()?;
        let order = claim.order;
        self.usable.insert(server.clone(), claim);
        Some(ServerUpdate::Usable { server, order, offer })
    }
}
