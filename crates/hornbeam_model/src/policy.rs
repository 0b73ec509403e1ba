//! Rules of a routing table about teams, regions and cold servers.

use std::collections::HashMap;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{KeyDigest, Region, RequestRate, RouteId, ServiceId, Team, TeamId};

/// Rate that the servers of a service bear while they are cold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WarmUp {
    /// Time for which a server is cold after its start, in milliseconds.
    pub duration_ms: u32,
    /// Requests per second that a cold server accepts from all entries together; above zero.
    pub rate: RequestRate,
}

/// Rules of a routing table about teams, regions and cold servers. Without any, requests are served
/// as if these rules did not exist.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TrafficPolicy {
    /// Teams by name. If there are any, a request needs the key of one unless its route is public.
    pub teams: IndexMap<TeamId, Team>,
    /// Routes whose requests need no key.
    pub public_routes: IndexSet<RouteId>,
    /// Regions whose servers may handle requests of a route; routes for which all may are left out.
    pub route_regions: IndexMap<RouteId, Vec<Region>>,
    /// Warm-up of the services whose cold servers accept a limited rate.
    pub warm_ups: IndexMap<ServiceId, WarmUp>,
}

impl TrafficPolicy {
    /// Returns true if there are no rules.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the positions of the teams by the digests of their keys.
    pub fn keys(&self) -> HashMap<KeyDigest, usize> {
        let teams = self.teams.values().enumerate();
        teams.flat_map(|(i, team)| team.keys.iter().map(move |key| (*key, i))).collect()
    }

    /// Returns two teams that share a key, if there are any.
    pub fn teams_with_one_key(&self) -> Option<(&TeamId, &TeamId)> {
        let mut owners = HashMap::new();
        for (name, team) in &self.teams {
            for key in &team.keys {
                match owners.insert(key, name) {
                    Some(other) if other != name => return Some((other, name)),
                    _ => {}
                }
            }
        }
        None
    }
}
