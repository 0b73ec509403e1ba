//! The feeds of all controllers, merged at one entry.
//!
//! The highest claim of all feeds decides on a server. A departure is final for its incarnation,
//! even if a controller that missed it still claims the server. The claims of a lost feed, or of a
//! reopened one that no longer contains them, are kept for a while, and for as long as no feed is
//! fresh: an isolated entry keeps using the servers that it knows.

use std::time::Duration;

use hornbeam_model::{InstanceId, Mono, ServerId};
use hornbeam_protocol::discovery::{
    ClaimOrder, FEED_HEARTBEAT_INTERVAL_MS, FeedChange, LifeStage, ServerClaim, ServerInfo,
};
use indexmap::IndexMap;

use crate::isolation::FeedCounts;
use crate::registry::DEPARTURE_TTL;

/// Time for which the claims of a lost feed are kept while others are fresh: within it, its servers
/// send heartbeats to another controller.
const LOST_FEED_TTL: Duration = Duration::from_secs(6);
/// Time since the last message up to which a feed counts as fresh.
pub const MAX_FEED_AGE: Duration = Duration::from_millis(3 * FEED_HEARTBEAT_INTERVAL_MS);
/// Time since the last message up to which a feed counts as prompt: its next heartbeat is at most
/// half an interval late.
pub const MAX_PROMPT_AGE: Duration = Duration::from_millis(FEED_HEARTBEAT_INTERVAL_MS * 3 / 2);
/// Time since the last message up to which a feed counts as recent: half of its interval.
pub const MAX_RECENT_AGE: Duration = Duration::from_millis(FEED_HEARTBEAT_INTERVAL_MS / 2);

/// A change to the set of usable servers.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerUpdate {
    /// The server accepts requests, or its `info` or incarnation has changed.
    Usable {
        /// The server.
        server: ServerId,
        /// The order of the claim, for logs.
        order: ClaimOrder,
        /// Service, address and capacity of the server.
        info: ServerInfo,
    },
    /// The server accepts no new requests.
    Unusable {
        /// The server.
        server: ServerId,
        /// Draining, gone, or ready if its claims have expired.
        stage: LifeStage,
    },
}

#[derive(Debug, Default)]
struct Feed {
    claims: IndexMap<ServerId, ServerClaim>,
    /// Claims from before the feed was reopened, and when they expire: the controller may have
    /// restarted without its state while its servers still run.
    previous_claims: IndexMap<ServerId, (ServerClaim, Mono)>,
    /// When the last message was received.
    last_message: Mono,
}

impl Feed {
    fn claim(&self, server: &ServerId) -> Option<&ServerClaim> {
        self.claims.get(server).or_else(|| self.previous_claims.get(server).map(|(claim, _)| claim))
    }
}

/// The servers that one entry knows from the feeds of all controllers.
#[derive(Debug, Default)]
pub struct Directory {
    feeds: IndexMap<InstanceId, Feed>,
    /// The last published claim of each usable server.
    usable: IndexMap<ServerId, ServerClaim>,
    /// The highest departure of each server, and when it was received.
    departures: IndexMap<ServerId, (ClaimOrder, Mono)>,
}

impl Directory {
    /// Replaces the claims of a feed that was just opened.
    pub fn replace_feed(
        &mut self,
        now: Mono,
        from: &InstanceId,
        claims: Vec<ServerClaim>,
    ) -> Vec<ServerUpdate> {
        let feed = self.feeds.entry(from.clone()).or_default();
        feed.last_message = now;
        let old = std::mem::take(&mut feed.claims);
        feed.claims = claims.into_iter().map(|c| (c.server.clone(), c)).collect();
        for (server, claim) in old {
            feed.previous_claims.insert(server, (claim, now + LOST_FEED_TTL));
        }
        let touched = feed.claims.keys().cloned().collect();
        self.refresh(now, touched)
    }

    /// Applies changes of a feed.
    pub fn update_feed(
        &mut self,
        now: Mono,
        from: &InstanceId,
        changes: Vec<FeedChange>,
    ) -> Vec<ServerUpdate> {
        let feed = self.feeds.entry(from.clone()).or_default();
        feed.last_message = now;
        let mut touched = Vec::with_capacity(changes.len());
        for change in changes {
            match change {
                FeedChange::Claim(claim) => {
                    touched.push(claim.server.clone());
                    feed.claims.insert(claim.server.clone(), claim);
                }
                FeedChange::Lapsed(server) => {
                    feed.claims.shift_remove(&server);
                    feed.previous_claims.shift_remove(&server);
                    touched.push(server);
                }
            }
        }
        self.refresh(now, touched)
    }

    /// Records that a feed sent a message.
    pub fn mark_feed_active(&mut self, now: Mono, from: &InstanceId) {
        if let Some(feed) = self.feeds.get_mut(from) {
            feed.last_message = now;
        }
    }

    /// Removes departures older than [`DEPARTURE_TTL`] and, if any feed is fresh, expired claims
    /// and feeds that were lost long ago.
    pub fn expire(&mut self, now: Mono) -> Vec<ServerUpdate> {
        self.departures.retain(|_, (_, at)| now.since(*at) < DEPARTURE_TTL);
        if self.feed_counts(now, 0).fresh == 0 {
            return Vec::new();
        }
        let mut touched = Vec::new();
        self.feeds.retain(|_, feed| {
            feed.previous_claims.retain(|server, (_, until)| {
                let keep = now < *until;
                if !keep {
                    touched.push(server.clone());
                }
                keep
            });
            let keep = now.since(feed.last_message) < LOST_FEED_TTL;
            if !keep {
                touched.extend(feed.claims.keys().chain(feed.previous_claims.keys()).cloned());
            }
            keep
        });
        self.refresh(now, touched)
    }

    /// Returns true if a controller claims a server in its feed.
    pub fn is_claimed_by(&self, from: &InstanceId, server: &ServerId) -> bool {
        self.feeds.get(from).is_some_and(|f| f.claims.contains_key(server))
    }

    /// Counts the feeds by the age of their last message; `known` controllers have one.
    pub fn feed_counts(&self, now: Mono, known: usize) -> FeedCounts {
        let within = |age| self.feeds.values().filter(|f| now.since(f.last_message) < age).count();
        FeedCounts {
            fresh: within(MAX_FEED_AGE),
            prompt: within(MAX_PROMPT_AGE),
            recent: within(MAX_RECENT_AGE),
            known,
        }
    }

    /// Returns the number of usable servers.
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
                self.record_departure(now, &server, best.order);
            }
            let departed = self.departures.get(&server).map(|(order, _)| *order);
            let ready = best.filter(|c| {
                c.order.stage == LifeStage::Ready && departed.is_none_or(|d| c.order > d)
            });
            updates.extend(self.publish(server, ready, departed));
        }
        updates
    }

    fn record_departure(&mut self, now: Mono, server: &ServerId, order: ClaimOrder) {
        let known = self.departures.entry(server.clone()).or_insert((order, now));
        if order > known.0 {
            *known = (order, now);
        }
    }

    /// Returns the update to publish for a server whose highest valid claim is `ready`, if any.
    fn publish(
        &mut self,
        server: ServerId,
        ready: Option<ServerClaim>,
        departed: Option<ClaimOrder>,
    ) -> Option<ServerUpdate> {
        let published = self.usable.get(&server);
        let Some(claim) = ready else {
            self.usable.shift_remove(&server)?;
            let stage = departed.map_or(LifeStage::Ready, |d| d.stage);
            return Some(ServerUpdate::Unusable { server, stage });
        };
        let unchanged = published.is_some_and(|p| {
            let is_cold = claim.info.as_ref().is_some_and(|info| info.warm_up_ms > 0);
            // The same remaining warm-up in a later heartbeat is one that has started again.
            p.info == claim.info
                && p.order.incarnation == claim.order.incarnation
                && (!is_cold || p.order == claim.order)
        });
        if unchanged {
            return None;
        }
        let info = claim.info.clone()?;
        let order = claim.order;
        self.usable.insert(server.clone(), claim);
        Some(ServerUpdate::Usable { server, order, info })
    }
}
