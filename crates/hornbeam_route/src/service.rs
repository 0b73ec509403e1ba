//! Servers and request queue of one service.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use hornbeam_model::{Mono, QueryId, RequestRate, ServiceId};
use hornbeam_traffic::Limiter;

use crate::budget::{RetryBudget, RetryBudgetParams};
use crate::claim::{Claim, Rank, TeamSlot};
use crate::fair_share::FairShare;
use crate::rate_meter::RateMeter;

/// Weight of one latency sample in the moving average of the service.
const MEAN_LATENCY_WEIGHT: f64 = 0.05;
/// Upper bound on the in-flight attempts at all servers of a service.
const MAX_OUTSTANDING: u32 = 1_024;
/// Time for which the queue waits reported by gathering entries are used.
const REPORTED_WAIT_TTL: Duration = Duration::from_millis(300);
/// Time for which no other entry is asked for a service after one reached no server of it.
const UNSERVABLE_TTL: Duration = Duration::from_millis(500);
/// Dispatches of more urgent requests in a row after which a queued request of a lower rank has its turn,
/// so that none is starved: one in sixteen.
const MAX_PASSED_OVER: u32 = 15;
/// Teams and ranks after which expired queue waits that were reported for them are removed.
const MAX_REPORTED_WAITS: usize = 256;
/// Mean latency assumed before the first measurement.
const ASSUMED_MEAN_LATENCY: Duration = Duration::from_millis(20);

/// A queued shard of a request. The order is that of the queue: by rank, then by due time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Waiter {
    /// Rank of the request; zero is the most urgent.
    pub rank: Rank,
    /// Due time of the response.
    pub due: Mono,
    /// Request that the shard belongs to.
    pub request: QueryId,
    /// Position of the shard in the request.
    pub shard: usize,
    /// Team of the request.
    pub team: TeamSlot,
    /// True if the request is patient: it is served in turn also in a standing queue.
    pub is_patient: bool,
}

/// A service with its servers, its queue and its limits.
#[derive(Debug)]
pub struct Service {
    /// Identifies the service in routing tables.
    pub id: ServiceId,
    /// Positions of its usable servers in the engine.
    pub servers: Vec<usize>,
    /// Connections that each of its servers accepts from all clients together.
    pub max_connections: u32,
    /// Limits hedges and retries relative to the requests.
    pub retry_budget: RetryBudget,
    /// Rate of the requests for it at this entry, with those that are refused.
    demand: RateMeter,
    /// Shards that are queued for capacity at a server.
    pub waiters: BTreeSet<Waiter>,
    /// True from when a waiter was dropped as late until the queue is empty.
    pub standing_queue: bool,
    /// In-flight attempts at all its servers.
    pub outstanding: u32,
    /// Limits the in-flight attempts by their latency: more would only queue at the servers.
    limiter: Limiter,
    /// Mean of the queue waits that gathering entries reported, and when it expires.
    reported_wait: Option<(Duration, Mono)>,
    /// The same by team and rank, for requests of teams.
    team_waits: HashMap<(TeamSlot, Rank), (Duration, Mono)>,
    /// Work that each team was given.
    pub fair_share: FairShare,
    /// Dispatches of more urgent requests since a lower rank had its turn, while one is queued.
    passed_over: u32,
    /// The same by rank, so that all lower ranks have their turns.
    passed_over_by_rank: BTreeMap<Rank, u32>,
    mean: Option<Duration>,
    /// Until when its shards are not relayed, since another entry reaches no server of it either.
    unservable_until: Mono,
}

impl Service {
    /// Creates a service without servers.
    pub fn new(id: ServiceId, budget: RetryBudgetParams) -> Self {
        Self {
            id,
            servers: Vec::new(),
            max_connections: 0,
            retry_budget: RetryBudget::new(budget),
            demand: RateMeter::default(),
            waiters: BTreeSet::new(),
            standing_queue: false,
            outstanding: 0,
            limiter: Limiter::new(MAX_OUTSTANDING),
            reported_wait: None,
            team_waits: HashMap::new(),
            fair_share: FairShare::default(),
            passed_over: 0,
            passed_over_by_rank: BTreeMap::new(),
            mean: None,
            unservable_until: Mono::default(),
        }
    }

    /// Records a request for the service, which raises the demand and the retry budget.
    pub fn record_request(&mut self, now: Mono) {
        self.demand.record(now);
        self.retry_budget.record_request(now);
    }

    /// Records that another entry reaches no server of the service either.
    pub fn mark_unservable(&mut self, now: Mono) {
        self.unservable_until = now + UNSERVABLE_TTL;
    }

    /// Returns until when no other entry is asked for the service; in the past if one may be.
    pub fn unservable_until(&self) -> Mono {
        self.unservable_until
    }

    /// Returns the rate of the requests for the service at this entry.
    pub fn demand(&self, now: Mono) -> RequestRate {
        self.demand.rate(now)
    }

    /// Returns the mean latency of successful responses, or an assumed one before the first.
    pub fn mean_latency(&self) -> Duration {
        self.mean.unwrap_or(ASSUMED_MEAN_LATENCY)
    }

    /// Returns true if the limit allows another attempt; otherwise records that the limit was
    /// reached.
    pub fn has_capacity(&mut self) -> bool {
        self.has_capacity_for(self.outstanding)
    }

    /// Returns true if the limit allows more than this number of attempts; otherwise records that the
    /// limit was reached.
    pub fn has_capacity_for(&mut self, outstanding: u32) -> bool {
        let has_capacity = outstanding < self.limiter.limit();
        if !has_capacity {
            self.limiter.mark_limit_reached();
        }
        has_capacity
    }

    /// Returns the limit on in-flight attempts at all servers.
    pub fn limit(&self) -> u32 {
        self.limiter.limit()
    }

    /// Updates the limit and the mean latency with the latency of a successful response.
    pub fn record_latency(&mut self, now: Mono, latency: Duration) {
        self.limiter.record(now, latency);
        let Some(mean) = self.mean else {
            self.mean = Some(latency);
            return;
        };
        let change = (latency.as_secs_f64() - mean.as_secs_f64()) * MEAN_LATENCY_WEIGHT;
        self.mean = Some(Duration::from_secs_f64(mean.as_secs_f64() + change));
    }

    /// Updates the mean of the queue waits that gathering entries report; zero is an empty queue. Those of
    /// a team's requests say nothing about the others, since each team has its own turn.
    pub fn record_reported_wait(&mut self, now: Mono, claim: Claim, wait: Duration) {
        let mean = (self.reported_wait(now, claim) + wait) / 2;
        let reported = (mean, now + REPORTED_WAIT_TTL);
        if claim.team == TeamSlot::default() {
            self.reported_wait = Some(reported);
            return;
        }
        if self.team_waits.len() >= MAX_REPORTED_WAITS {
            self.team_waits.retain(|_, (_, until)| now < *until);
        }
        self.team_waits.insert((claim.team, claim.rank), reported);
    }

    /// Returns the mean of the recently reported queue waits, or zero if there are none.
    pub fn reported_wait(&self, now: Mono, claim: Claim) -> Duration {
        let reported = match claim.team == TeamSlot::default() {
            true => self.reported_wait,
            false => self.team_waits.get(&(claim.team, claim.rank)).copied(),
        };
        let valid = reported.filter(|(_, until)| now < *until);
        valid.map_or(Duration::ZERO, |(wait, _)| wait)
    }

    /// Returns the waiter that is dispatched next: the first one, or, in a standing queue, the one
    /// due last of the most urgent priority. In a standing queue the first waiter is always about
    /// to be late, so dispatching the newest keeps the responses that are sent fast.
    pub fn next_waiter(&self) -> Option<Waiter> {
        let first = *self.waiters.first()?;
        if self.fair_share.is_active() {
            return self.next_of_teams(first);
        }
        if !self.standing_queue {
            return Some(first);
        }
        let last =
            Waiter { due: Mono::MAX, request: QueryId(u64::MAX), shard: usize::MAX, ..first };
        self.waiters.range(..=last).next_back().copied()
    }

    /// Returns the next waiter of the team that was given the least work, of the most urgent rank or of
    /// the next one if it was passed over too often.
    fn next_of_teams(&self, first: Waiter) -> Option<Waiter> {
        let is_due = self.passed_over >= MAX_PASSED_OVER;
        let count = |rank: &Rank| self.passed_over_by_rank.get(rank).copied().unwrap_or_default();
        let lower = self.ranks().filter(|rank| is_due && *rank > first.rank);
        let rank = lower.max_by_key(|rank| (count(rank), Reverse(*rank))).unwrap_or(first.rank);
        let of_rank = || self.waiters.iter().filter(move |w| w.rank == rank);
        let team = of_rank().min_by_key(|w| self.fair_share.start(w.rank, w.team))?.team;
        let of_team = || of_rank().filter(move |w| w.team == team);
        let newest = || of_team().rfind(|w| !w.is_patient);
        let next = if self.standing_queue { newest() } else { None };
        next.or_else(|| of_team().next()).copied()
    }

    /// Removes a waiter that is dispatched from the queue.
    pub fn take_waiter(&mut self, waiter: &Waiter) {
        self.waiters.remove(waiter);
        self.passed_over_by_rank.remove(&waiter.rank);
        if !self.fair_share.is_active() {
            return;
        }
        let had_turn = self.waiters.first().is_some_and(|w| w.rank < waiter.rank);
        let lower: Vec<Rank> = self.ranks().filter(|rank| *rank > waiter.rank).collect();
        self.passed_over = if had_turn || lower.is_empty() { 0 } else { self.passed_over + 1 };
        self.passed_over_by_rank.retain(|rank, _| *rank < waiter.rank || lower.contains(rank));
        for rank in lower {
            *self.passed_over_by_rank.entry(rank).or_default() += 1;
        }
    }

    /// Returns the ranks of the queued requests, the most urgent first.
    fn ranks(&self) -> impl Iterator<Item = Rank> {
        let next = |rank: Option<Rank>| {
            self.waiters.iter().map(|w| w.rank).find(|r| rank.is_none_or(|rank| *r > rank))
        };
        std::iter::successors(next(None), move |rank| next(Some(*rank)))
    }

    /// Returns the number of waiters that are served before another request with this claim: those of a
    /// more urgent rank, and of the same one those whose team has its turn before.
    pub fn waiters_ahead(&self, claim: Claim) -> usize {
        if !self.fair_share.is_active() {
            return self.waiters.iter().take_while(|w| w.rank <= claim.rank).count();
        }
        let more_urgent = self.waiters.iter().take_while(|w| w.rank < claim.rank).count();
        let of_rank = self.waiters.iter().filter(|w| w.rank == claim.rank).map(|w| w.team);
        more_urgent
            + self.fair_share.ahead_of((claim.rank, claim.team), self.mean_latency(), of_rank)
    }

    /// Returns the expected wait of a request with this claim, with a limit of `max_in_flight` attempts.
    pub fn expected_wait(&self, claim: Claim, max_in_flight: u32) -> Duration {
        let ahead = self.waiters_ahead(claim);
        if ahead == 0 {
            return Duration::ZERO;
        }
        self.mean_latency().mul_f64((ahead + 1) as f64 / f64::from(max_in_flight.max(1)))
    }
}
