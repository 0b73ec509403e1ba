//! Teams of callers, recognized by their keys.

use std::collections::HashMap;

use hornbeam_model::{KeyDigest, Route, Routing, TeamId};

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

/// Returns true if a request on this route needs the key of a team.
pub(super) fn needs_key(table: &Routing, route: &Route) -> bool {
    !table.policy.teams.is_empty() && !table.policy.public_routes.contains(&route.name)
}
