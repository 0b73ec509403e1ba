//! Keeps a less urgent kind of request from being served more often than a more urgent one.
//!
//! Load pattern: a patient kind fills the slots of the servers for longer than an urgent one can wait, so
//! that the urgent kind goes first in the queue and is refused nevertheless. The refused part of the
//! urgent kind then is the least refused part of the patient one of the same team. Replayed in
//! `tests/team_load`.

use std::collections::HashMap;
use std::time::Duration;

use hornbeam_model::Mono;

use crate::claim::{Claim, Rank, TeamSlot};

/// Time in which a count falls to half.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Refused requests from which the refused part of a kind says something.
const MIN_REFUSED: f64 = 3.0;
/// Kinds after which those without recent requests are removed.
const MAX_KINDS: usize = 512;
/// Count below which a kind has no recent requests.
const MIN_RECENT: f64 = 0.05;

/// Recent requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    offered: f64,
    refused: f64,
    at: Mono,
}

impl Kind {
    fn at(mut self, now: Mono) -> Self {
        let left = 0.5_f64.powf(now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.offered *= left;
        self.refused *= left;
        self.at = now;
        self
    }

    fn refused_part(&self) -> f64 {
        if self.offered > 0.0 { self.refused / self.offered } else { 0.0 }
    }
}

/// Recent requests by service, team and rank.
#[derive(Debug, Default)]
pub struct KindShares {
    kinds: HashMap<(usize, TeamSlot, Rank), Kind>,
}

impl KindShares {
    /// Counts a request that has arrived.
    pub fn record_offered(&mut self, now: Mono, service: usize, claim: Claim) {
        if self.kinds.len() >= MAX_KINDS {
            self.kinds.retain(|_, kind| kind.at(now).offered >= MIN_RECENT);
        }
        let kind = self.kinds.entry((service, claim.team, claim.rank)).or_default();
        *kind = kind.at(now);
        kind.offered += 1.0;
    }

    /// Counts a request that was refused for lack of capacity.
    pub fn record_refused(&mut self, now: Mono, service: usize, claim: Claim) {
        let kind = self.kinds.entry((service, claim.team, claim.rank)).or_default();
        *kind = kind.at(now);
        kind.refused += 1.0;
    }

    /// Returns true if a request is to be refused, because more urgent ones of its team are refused more
    /// often.
    pub fn holds_back(&self, now: Mono, service: usize, claim: Claim) -> bool {
        let key = (service, claim.team, claim.rank);
        let own = self.kinds.get(&key).map_or(0.0, |kind| kind.at(now).refused_part());
        let more_urgent = self.kinds.iter().filter(|((at, team, rank), _)| {
            (*at, *team) == (service, claim.team) && *rank < claim.rank
        });
        let mut kinds = more_urgent.map(|(_, kind)| kind.at(now));
        kinds.any(|kind| kind.refused >= MIN_REFUSED && kind.refused_part() > own)
    }
}
