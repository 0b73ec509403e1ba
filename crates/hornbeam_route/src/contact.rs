//! Whether the keys that this entry knows can be relied on.
//!
//! Load pattern: new table versions add and revoke keys while entries restart, are paused or lose
//! controllers. A key that is not known yet must not be refused as unknown, and a restarted entry must
//! not accept a key from the older table of a controller that lags behind. Replayed in `tests/teams`.

use std::time::Duration;

use hornbeam_model::{Mono, TableVersion};

/// Time since a majority of the controllers last stated its table version up to which an unknown key
/// is certain to be unknown: their status is sent every 400 ms, and one may be lost with its feed.
const MAX_STATUS_AGE: Duration = Duration::from_millis(1_200);

/// What the controllers have stated about their routing tables.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ControllerContact {
    /// Latest table version that a controller has stated.
    pub announced: TableVersion,
    /// Latest time since which more than half of the known controllers have stated their version;
    /// `None` if they have not yet.
    pub majority_at: Option<Mono>,
    /// Time without such a majority after which keys are no longer accepted; `None` for no limit.
    pub strict_window: Option<Duration>,
}

/// Whether keys can be checked against the table in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum KeyState {
    /// The table is the latest that the controllers have stated.
    Current,
    /// A later table is expected soon.
    Behind,
    /// The contact with the controllers was lost too long ago.
    Unconfirmed,
}

/// Contact with the controllers, as far as the check of keys needs it.
#[derive(Debug, Default)]
pub(crate) struct TableContact {
    /// `None` in an engine without this input: its table counts as current.
    contact: Option<ControllerContact>,
    /// True once the table in force was the latest that a majority of the controllers had stated.
    confirmed: bool,
}

impl TableContact {
    /// Updates the contact; returns true if the table in force is confirmed by it for the first time.
    pub(crate) fn update(
        &mut self,
        contact: ControllerContact,
        in_force: Option<TableVersion>,
    ) -> bool {
        self.contact = Some(contact);
        self.confirm(in_force)
    }

    /// Returns true if the table in force is confirmed for the first time.
    pub(crate) fn confirm(&mut self, in_force: Option<TableVersion>) -> bool {
        let Some(contact) = self.contact else { return false };
        let is_latest = in_force >= Some(contact.announced);
        let confirms = !self.confirmed && is_latest && contact.majority_at.is_some();
        self.confirmed |= confirms;
        confirms
    }

    /// Returns whether a key of the table in force can be accepted.
    pub(crate) fn for_known_key(&self, now: Mono) -> KeyState {
        let Some(contact) = self.contact else { return KeyState::Current };
        if !self.confirmed {
            return KeyState::Behind;
        }
        let age = contact.majority_at.map(|at| now.since(at));
        let expired = |window| age.is_none_or(|age| age > window);
        if contact.strict_window.is_some_and(expired) {
            return KeyState::Unconfirmed;
        }
        KeyState::Current
    }

    /// Returns whether a key that the table in force does not have is certain to be unknown.
    pub(crate) fn for_unknown_key(&self, now: Mono, in_force: TableVersion) -> KeyState {
        let Some(contact) = self.contact else { return KeyState::Current };
        if !self.confirmed || contact.announced > in_force {
            return KeyState::Behind;
        }
        match contact.majority_at {
            Some(at) if now.since(at) <= MAX_STATUS_AGE => KeyState::Current,
            _ => KeyState::Unconfirmed,
        }
    }
}
