//! Teams in the simulation: each route belongs to the callers of one team.

use std::sync::Arc;

use hornbeam_model::{KeyDigest, QueryId, Routing, TableVersion, Team, TeamId, TrafficPolicy};
use hornbeam_route::{Completion, Input};

use super::World;

impl World {
    /// Puts a table in force in which the callers of each route belong to this team, with this priority.
    pub fn set_teams(&mut self, teams: &[(&str, u8)]) {
        assert_eq!(teams.len(), self.routes.len());
        let mut policy = TrafficPolicy::default();
        for (name, priority) in teams {
            let keys = vec![KeyDigest::of(name.as_bytes())];
            let team = Team { keys, priority: Some(*priority), ..Team::default() };
            policy.teams.insert(name.parse().unwrap(), team);
        }
        self.teams = teams.iter().map(|(name, _)| name.parse().unwrap()).collect();
        let version = TableVersion(self.table.version.0 + 1);
        let table = Routing { version, policy: Arc::new(policy), ..Routing::clone(&self.table) };
        self.table = Arc::new(table);
        for entry in 0..self.engines.len() {
            self.step(entry, Input::Table(self.table.clone()));
        }
    }

    /// The key of the callers of a route.
    pub(super) fn key_of(&self, route: usize) -> Option<KeyDigest> {
        self.teams.get(route).map(|name| KeyDigest::of(name.as_str().as_bytes()))
    }

    /// The team of a request or of the group that it is a part of.
    pub(super) fn team_of(&self, request: QueryId) -> Option<TeamId> {
        let (route, _) = self.running.get(&request)?;
        self.teams.get(*route).cloned()
    }

    /// Part of the requests of these routes that were served, and their number.
    pub fn served(&self, routes: std::ops::Range<usize>) -> (f64, usize) {
        let of_routes = self.ended.iter().filter(|e| routes.contains(&e.route));
        let all = of_routes.clone().count();
        let is_served = |c: &Completion| !matches!(c, Completion::Refuse(_));
        let served = of_routes.filter(|e| is_served(&e.completion)).count();
        (served as f64 / all.max(1) as f64, all)
    }
}
