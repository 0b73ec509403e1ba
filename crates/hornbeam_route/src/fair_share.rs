//! Fair queueing between the teams that share a service, by work.
//!
//! Load pattern: one team sends seven times its usual rate, or three teams do so at once, while most
//! others send one request in ten seconds. A first-come queue gives each team a part by its number of
//! requests. Here each team has a virtual time: the work that it was given. The team that is least far
//! goes first, and a team that was idle starts at the virtual time of the service, so that unused shares
//! go to whoever wants them (start-time fair queueing). Replayed in `tests/team_load`.

use std::collections::HashMap;
use std::time::Duration;

use crate::claim::{Rank, TeamSlot};

/// Teams, counted in each rank, after which those that are not ahead of the virtual time are removed.
const MAX_FINISH_TIMES: usize = 256;

/// Virtual times of the teams of one service, in microseconds of work.
#[derive(Debug, Default)]
pub struct FairShare {
    /// Start of the work that was given last, by rank: a rank that is served more often must not move the
    /// others past what their teams were given.
    virtual_time: HashMap<Rank, u64>,
    /// End of the work that each team was given in a rank.
    finish: HashMap<(Rank, TeamSlot), u64>,
    /// True once work was given to a team.
    active: bool,
}

impl FairShare {
    /// Returns true if the service has requests of teams.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Returns the virtual time at which the next work of a team starts.
    pub fn start(&self, rank: Rank, team: TeamSlot) -> u64 {
        let now = self.virtual_time.get(&rank).copied().unwrap_or_default();
        self.finish.get(&(rank, team)).copied().unwrap_or_default().max(now)
    }

    /// Counts work that a team is given.
    pub fn charge(&mut self, rank: Rank, team: TeamSlot, work: Duration) {
        self.active |= team != TeamSlot::default();
        if !self.active {
            return;
        }
        let start = self.start(rank, team);
        self.virtual_time.insert(rank, start);
        self.finish.insert((rank, team), start + as_micros(work));
        if self.finish.len() > MAX_FINISH_TIMES {
            let times = &self.virtual_time;
            self.finish.retain(|(rank, _), finish| times.get(rank).is_some_and(|t| *finish > *t));
        }
    }

    /// Returns the number of queued requests that are served before another one of a team, if each takes
    /// this work. `queued` holds the team of each.
    pub fn ahead_of(
        &self,
        (rank, team): (Rank, TeamSlot),
        work: Duration,
        queued: impl Iterator<Item = TeamSlot>,
    ) -> usize {
        let mut lengths: HashMap<TeamSlot, usize> = HashMap::new();
        for queued in queued {
            *lengths.entry(queued).or_default() += 1;
        }
        let work = as_micros(work);
        let own = lengths.remove(&team).unwrap_or_default();
        let start = self.start(rank, team) + own as u64 * work;
        let before = |(other, length): (TeamSlot, usize)| {
            let gap = start.saturating_sub(self.start(rank, other));
            length.min(gap.div_ceil(work) as usize)
        };
        own + lengths.into_iter().map(before).sum::<usize>()
    }
}

fn as_micros(work: Duration) -> u64 {
    (work.as_micros() as u64).max(1)
}
