//! Leases of the servers that announce to this instance.

use std::time::Duration;

use hornbeam_model::{Announcement, AnnouncementError, Incarnation, Mono, ServerId};
use hornbeam_protocol::ViewChange;
use indexmap::IndexMap;
use snafu::Snafu;

/// Most servers that may announce to one instance.
pub const MAX_SERVERS: usize = 20_000;

/// An announcement that is not taken.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum AnnounceError {
    /// It cannot be true.
    #[snafu(transparent)]
    Invalid {
        /// The field at fault.
        source: AnnouncementError,
    },
    /// A newer one is known.
    #[snafu(display(
        "a newer announcement ({incarnation}, {seq}) is known: raise seq with each announcement, \
         incarnation with each start"
    ))]
    Outdated {
        /// Incarnation of the newer one.
        incarnation: Incarnation,
        /// Number of the newer one.
        seq: u64,
    },
    /// Too many servers.
    #[snafu(display("{MAX_SERVERS} servers announce here already: use another instance"))]
    TooManyServers,
}

#[derive(Debug)]
struct Lease {
    announced: Announcement,
    until: Mono,
}

/// Leases of the servers that announce to this instance.
#[derive(Debug)]
pub struct Registry {
    lease: Duration,
    leases: IndexMap<ServerId, Lease>,
}

impl Registry {
    /// A registry whose leases last for `lease`.
    pub fn new(lease: Duration) -> Self {
        Self { lease, leases: IndexMap::new() }
    }

    /// Takes an announcement; the change to publish if it says something new.
    ///
    /// # Errors
    ///
    /// The announcement cannot be true, is older than one known, or there are too many servers.
    pub fn announce(
        &mut self,
        now: Mono,
        a: &Announcement,
    ) -> Result<Option<ViewChange>, AnnounceError> {
        a.check()?;
        let until = now + self.lease;
        let Some(lease) = self.leases.get_mut(&a.server) else {
            if self.leases.len() >= MAX_SERVERS {
                return Err(AnnounceError::TooManyServers);
            }
            self.leases.insert(a.server.clone(), Lease { announced: a.clone(), until });
            return Ok(Some(ViewChange::Listed(a.clone())));
        };
        let known = &lease.announced;
        if a.order() < known.order() {
            let (incarnation, seq) = known.order();
            return Err(AnnounceError::Outdated { incarnation, seq });
        }
        // The same number again is a resend; it must not bring other content.
        if a.order() == known.order() {
            lease.until = until;
            return Ok(None);
        }
        let news = !same_content(known, a);
        lease.announced = a.clone();
        lease.until = until;
        Ok(news.then(|| ViewChange::Listed(a.clone())))
    }

    /// Drops leases that ran out; the changes to publish.
    pub fn expire(&mut self, now: Mono) -> Vec<ViewChange> {
        let lapsed = self.leases.iter().filter(|(_, l)| l.until <= now);
        let lapsed: Vec<ServerId> = lapsed.map(|(s, _)| s.clone()).collect();
        for server in &lapsed {
            self.leases.shift_remove(server);
        }
        lapsed.into_iter().map(ViewChange::Gone).collect()
    }

    /// When the next lease runs out.
    pub fn next_expiry(&self) -> Option<Mono> {
        self.leases.values().map(|l| l.until).min()
    }
}

/// True if two announcements differ in nothing but their number.
fn same_content(a: &Announcement, b: &Announcement) -> bool {
    a.incarnation == b.incarnation
        && a.address == b.address
        && a.zone == b.zone
        && a.service == b.service
        && a.state == b.state
        && a.slots == b.slots
        && a.connections == b.connections
        && a.indexes == b.indexes
}
