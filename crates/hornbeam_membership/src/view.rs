//! Replicated view: one registrar's list of servers with numbered changes.

use std::time::Duration;

use hornbeam_model::{Announcement, Incarnation, InstanceId, Mono, ServerId};
use hornbeam_protocol::{ViewChange, ViewChanges, ViewKey, ViewPos};
use indexmap::IndexMap;

/// Maximum number of changes in one message, so that it fits into a datagram.
const MAX_CHANGES_PER_MESSAGE: usize = 16;
/// Maximum estimated size of the changes in one message, in bytes; a single change may exceed it.
const MAX_MESSAGE_BYTES: usize = 1_100;
/// Maximum number of removed servers kept, so that receivers with an older view learn of the
/// removal.
const MAX_TOMBSTONES: usize = 4_096;

/// State of one server in a view.
#[derive(Clone, Debug)]
struct ViewItem {
    /// Number of the change that led to this state.
    changed_in: u64,
    /// Announcement of the server; `None` (a tombstone) after its removal.
    announcement: Option<Announcement>,
}

/// One registrar's list of servers, up to the latest change that this instance knows.
#[derive(Clone, Debug)]
pub struct View {
    /// Registrar that owns the view.
    pub registrar: InstanceId,
    /// Identifies this incarnation of the registrar in digests.
    pub key: ViewKey,
    /// Incarnation of the registrar and number of the latest known change.
    pub pos: ViewPos,
    /// Latest time at which the registrar was known to have no later change; `None` until the view
    /// is complete. Only a confirmed view is used and sent to other instances: an assumed time
    /// would return through them as a recent confirmation, and a view that no instance can confirm
    /// would never expire.
    pub confirmed: Option<Mono>,
    /// Time at which this instance first received the view.
    pub created: Mono,
    /// State by server, in ascending order of `changed_in`.
    items: IndexMap<ServerId, ViewItem>,
}

impl View {
    /// Creates an empty, unconfirmed view of one incarnation of a registrar.
    pub fn new(now: Mono, registrar: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            key: ViewKey::new(&registrar, incarnation),
            registrar,
            pos: ViewPos { incarnation, version: 0 },
            confirmed: None,
            created: now,
            items: IndexMap::new(),
        }
    }

    /// Returns when the view expires unless it is confirmed again.
    pub fn expires_at(&self, ttl: Duration) -> Mono {
        self.confirmed.unwrap_or(self.created) + ttl
    }

    /// Returns the announcement of a listed server.
    pub fn get(&self, server: &ServerId) -> Option<&Announcement> {
        self.items.get(server)?.announcement.as_ref()
    }

    /// Returns all listed servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerId> {
        self.items.iter().filter(|(_, i)| i.announcement.is_some()).map(|(s, _)| s)
    }

    /// Returns the number of listed servers.
    pub fn len(&self) -> usize {
        self.items.values().filter(|i| i.announcement.is_some()).count()
    }

    /// Returns true if no server is listed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records the next change; only the registrar itself numbers changes.
    pub fn record(&mut self, change: ViewChange) {
        self.pos.version += 1;
        self.apply_change(self.pos.version, change);
        self.drop_old_tombstones();
    }

    fn apply_change(&mut self, changed_in: u64, change: ViewChange) {
        let (server, announcement) = match change {
            ViewChange::Listed(a) => (a.server.clone(), Some(a)),
            ViewChange::Gone(server) => (server, None),
        };
        self.items.shift_remove(&server);
        self.items.insert(server, ViewItem { changed_in, announcement });
    }

    fn drop_old_tombstones(&mut self) {
        let tombstones = self.items.values().filter(|i| i.announcement.is_none()).count();
        if tombstones <= MAX_TOMBSTONES {
            return;
        }
        let oldest =
            self.items.iter().find(|(_, i)| i.announcement.is_none()).map(|(s, _)| s.clone());
        if let Some(server) = oldest {
            self.items.shift_remove(&server);
        }
    }

    /// Returns messages with all changes after number `from`; only the last message carries
    /// `age_ms`.
    pub fn changes_after(&self, from: u64, age_ms: u32) -> Vec<ViewChanges> {
        let mut messages = Vec::new();
        let mut begin = from;
        let mut bytes = 0;
        let mut changes: Vec<ViewChange> = Vec::new();
        let mut last = from;
        for (server, item) in &self.items {
            if item.changed_in <= from {
                continue;
            }
            let change = match &item.announcement {
                Some(a) => ViewChange::Listed(a.clone()),
                None => ViewChange::Gone(server.clone()),
            };
            let size = estimate_bytes(&change);
            let full = changes.len() >= MAX_CHANGES_PER_MESSAGE || bytes + size > MAX_MESSAGE_BYTES;
            if full && !changes.is_empty() {
                messages.push(self.changes_message(
                    begin,
                    last,
                    None,
                    std::mem::take(&mut changes),
                ));
                begin = last;
                bytes = 0;
            }
            bytes += size;
            last = item.changed_in;
            changes.push(change);
        }
        messages.push(self.changes_message(begin, self.pos.version, Some(age_ms), changes));
        messages
    }

    fn changes_message(
        &self,
        from: u64,
        to: u64,
        age_ms: Option<u32>,
        changes: Vec<ViewChange>,
    ) -> ViewChanges {
        let registrar = self.registrar.clone();
        let incarnation = self.pos.incarnation;
        ViewChanges { registrar, incarnation, from, to, age_ms, changes }
    }

    /// Applies changes that continue the view and returns the servers that they affect.
    ///
    /// Changes after a gap and known changes have no effect.
    pub fn apply(&mut self, message: &ViewChanges) -> Vec<ServerId> {
        let continues = message.incarnation == self.pos.incarnation
            && message.from <= self.pos.version
            && message.to > self.pos.version;
        if !continues {
            return Vec::new();
        }
        let mut affected = Vec::new();
        for change in &message.changes {
            let server = match change {
                ViewChange::Listed(a) => &a.server,
                ViewChange::Gone(server) => server,
            };
            affected.push(server.clone());
            self.apply_change(message.to, change.clone());
        }
        self.pos.version = message.to;
        affected
    }
}

fn estimate_bytes(change: &ViewChange) -> usize {
    match change {
        ViewChange::Gone(server) => server.as_str().len() + 4,
        ViewChange::Listed(a) => {
            let names = a.server.as_str().len() + a.zone.as_str().len() + a.service.as_str().len();
            let holdings = a.indexes.iter();
            let indexes: usize =
                holdings.map(|h| 16 + h.shards.ranges().len() * 6 + h.schemas.len() * 3).sum();
            names + 48 + indexes
        }
    }
}
