//! Leases of the servers that announce to this instance.

use std::time::Duration;

use hornbeam_model::{Announcement, AnnouncementError, Incarnation, Mono, ServerId};
use hornbeam_protocol::ViewChange;
use indexmap::IndexMap;
use snafu::Snafu;

/// Maximum number of servers that may announce to one instance.
pub const MAX_SERVERS: usize = 20_000;

/// Error for an announcement that is not accepted.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum AnnounceError {
    /// A field of the announcement is invalid.
    #[snafu(transparent)]
    Invalid {
        /// Invalid field with its value.
        source: AnnouncementError,
    },
    /// A newer announcement of the server is known.
    #[snafu(display(
        "the announcement is older than the known one (incarnation {incarnation}, seq {seq}): \
         increase seq with each announcement and incarnation with each start"
    ))]
    Outdated {
        /// Incarnation of the newer announcement.
        incarnation: Incarnation,
        /// Sequence number of the newer announcement.
        seq: u64,
    },
    /// The registry has [`MAX_SERVERS`] servers.
    #[snafu(display(
        "the limit of {MAX_SERVERS} servers per instance is reached: announce to another instance"
    ))]
    TooManyServers,
}

#[derive(Debug)]
struct Lease {
    announced: Announcement,
    expires_at: Mono,
}

/// Leases of the servers that announce to this instance.
#[derive(Debug)]
pub struct Registry {
    lease: Duration,
    leases: IndexMap<ServerId, Lease>,
}

impl Registry {
    /// Creates an empty registry whose leases last for `lease` after each announcement.
    pub fn new(lease: Duration) -> Self {
        Self { lease, leases: IndexMap::new() }
    }

    /// Renews the lease of a server and returns the change to publish if the announcement is new or
    /// its content changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement is invalid, if it is older than the known one, or if
    /// the registry is full.
    pub fn announce(
        &mut self,
        now: Mono,
        a: &Announcement,
    ) -> Result<Option<ViewChange>, AnnounceError> {
        a.check()?;
        let expires_at = now + self.lease;
        let Some(lease) = self.leases.get_mut(&a.server) else {
            if self.leases.len() >= MAX_SERVERS {
                return Err(AnnounceError::TooManyServers);
            }
            self.leases.insert(a.server.clone(), Lease { announced: a.clone(), expires_at });
            return Ok(Some(ViewChange::Listed(a.clone())));
        };
        let known = &lease.announced;
        if a.order() < known.order() {
            let (incarnation, seq) = known.order();
            return Err(AnnounceError::Outdated { incarnation, seq });
        }
        // An equal number is a resend; it renews the lease, but its content is ignored.
        if a.order() == known.order() {
            lease.expires_at = expires_at;
            return Ok(None);
        }
        let changed = !same_content(known, a);
        lease.announced = a.clone();
        lease.expires_at = expires_at;
        Ok(changed.then(|| ViewChange::Listed(a.clone())))
    }

    /// Removes expired leases and returns the changes to publish.
    pub fn expire(&mut self, now: Mono) -> Vec<ViewChange> {
        let expired = self.leases.iter().filter(|(_, l)| l.expires_at <= now);
        let expired: Vec<ServerId> = expired.map(|(s, _)| s.clone()).collect();
        for server in &expired {
            self.leases.shift_remove(server);
        }
        expired.into_iter().map(ViewChange::Gone).collect()
    }

    /// Returns when the next lease expires; `None` without any lease.
    pub fn next_expiry(&self) -> Option<Mono> {
        self.leases.values().map(|l| l.expires_at).min()
    }
}

/// Returns true if two announcements differ at most in `seq`.
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
