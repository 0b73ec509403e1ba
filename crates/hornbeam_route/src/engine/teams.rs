//! Teams of callers, recognized by their keys.

use std::collections::HashMap;

use hornbeam_model::{KeyDigest, Mono, Route, Routing, TeamId};

use super::admission::Arrival;
use super::{Engine, Output, TeamField};
use crate::contact::{ControllerContact, KeyState};
use crate::request::RefusalKind;

/// The teams of the routing table in force, by the digests of their keys.
#[derive(Debug, Default)]
pub(super) struct TeamKeys {
    keys: HashMap<KeyDigest, TeamId>,
}

impl TeamKeys {
    /// Returns the teams of a routing table.
    pub fn new(table: &Routing) -> Self {
        let teams = &table.policy.teams;
        let positions = table.policy.keys().into_iter();
        let named = positions.filter_map(|(key, i)| Some((key, teams.get_index(i)?.0.clone())));
        Self { keys: named.collect() }
    }

    /// Returns the team that holds a key.
    pub fn team(&self, credential: Option<KeyDigest>) -> Option<&TeamId> {
        self.keys.get(&credential?)
    }
}

/// Result of the check of a request's key.
#[derive(Debug)]
pub(super) enum KeyCheck {
    /// The request is admitted, for this team if there is one.
    Accepted(Option<TeamId>),
    /// The key may belong to a team of a table that is expected soon.
    AwaitTable,
    /// The request is refused.
    Refused(RefusalKind),
}

/// Returns true if a request on this route needs the key of a team.
pub(super) fn needs_key(table: &Routing, route: &Route) -> bool {
    !table.policy.teams.is_empty() && !table.policy.public_routes.contains(&route.name)
}

impl Engine {
    /// Checks the key of a request. On a public route it only determines the team, if there is one.
    pub(super) fn check_key(
        &self,
        now: Mono,
        table: &Routing,
        route: &Route,
        credential: Option<KeyDigest>,
    ) -> KeyCheck {
        if table.policy.teams.is_empty() {
            return KeyCheck::Accepted(None);
        }
        let team = self.team_keys.team(credential).cloned();
        if !needs_key(table, route) {
            return KeyCheck::Accepted(team);
        }
        if credential.is_none() {
            return KeyCheck::Refused(RefusalKind::UnknownKey);
        }
        let state = match &team {
            Some(_) => self.contact.for_known_key(now),
            None => self.contact.for_unknown_key(now, table.version),
        };
        match (state, team) {
            (KeyState::Current, Some(team)) => KeyCheck::Accepted(Some(team)),
            (KeyState::Current, None) => KeyCheck::Refused(RefusalKind::UnknownKey),
            (KeyState::Behind, _) => KeyCheck::AwaitTable,
            (KeyState::Unconfirmed, _) => KeyCheck::Refused(RefusalKind::Unverified),
        }
    }

    /// Outputs what a request's head states about its team. Nothing if it has no team, or if the table
    /// in force on its arrival had no teams, as its fields then were never removed.
    pub(super) fn state_team(&self, table: &Routing, arrival: &Arrival, out: &mut Vec<Output>) {
        let request = arrival.key;
        if let Some(team) = arrival.team.clone() {
            return out.push(Output::SetTeamField { request, field: TeamField::Team(team) });
        }
        if table.policy.teams.is_empty() && !arrival.waited.is_zero() {
            out.push(Output::SetTeamField { request, field: TeamField::AsReceived });
        }
    }

    /// Updates what the controllers have stated about their tables.
    pub(super) fn on_controller_contact(
        &mut self,
        now: Mono,
        contact: ControllerContact,
        out: &mut Vec<Output>,
    ) {
        let in_force = self.table.as_ref().map(|t| t.version);
        if self.contact.update(contact, in_force) {
            self.admit_waiting(now, out);
        }
    }
}
