//! What a request may claim of capacity that is short: its rank, its team and how long it can wait.

use std::time::Duration;

use hornbeam_model::{Route, Team};

/// Most urgent value that a priority below it is counted as, so that a rank fits into one byte.
const MAX_COMBINED: u8 = 15;
/// Time between the objective and the end of a request's time from which it is patient: it is queued
/// beyond its objective rather than refused.
const MIN_PATIENT_SPARE: Duration = Duration::from_secs(1);

/// Position of a request among all others when capacity is short; 0 is the most urgent. It fits into the
/// priority of a route, in which it is carried to gathering entries.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank(pub u8);

impl Rank {
    /// Returns the rank of a route's requests without teams, and that of a gathered group.
    pub fn of_route(route: &Route) -> Self {
        Self(route.priority)
    }

    /// Returns the rank of a team's requests: by the team's priority, then by the route's. Priorities
    /// from 15 on are equal. A team without a priority has the most urgent one.
    pub fn of_team(team: Option<&Team>, route: &Route) -> Self {
        let team = team.and_then(|t| t.priority).unwrap_or_default();
        Self((team.min(MAX_COMBINED) << 4) | route.priority.min(MAX_COMBINED))
    }
}

/// Position of a team in the engine; 0 stands for requests without a team.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TeamSlot(pub u16);

/// What a request may claim of capacity that is short.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Claim {
    /// Rank of the request.
    pub rank: Rank,
    /// Team of the request.
    pub team: TeamSlot,
    /// Time that a patient request has in all; `None` for others.
    pub patience: Option<Duration>,
}

impl Claim {
    /// Returns the claim of a request without teams.
    pub fn of_route(route: &Route) -> Self {
        Self { rank: Rank::of_route(route), ..Self::default() }
    }

    /// Returns the claim of a request of a table with teams that has this time in all.
    pub fn of_team(rank: Rank, team: TeamSlot, route: &Route, time: Duration) -> Self {
        let is_patient = time >= route.objective() + MIN_PATIENT_SPARE;
        Self { rank, team, patience: is_patient.then_some(time) }
    }
}
