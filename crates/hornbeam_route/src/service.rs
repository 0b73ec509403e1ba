//! The servers of one service and the requests that wait for them.

use std::collections::BTreeSet;
use std::time::Duration;

use hornbeam_model::{Mono, QueryId, ServiceId};
use hornbeam_traffic::Limiter;

use crate::budget::{RetryBudget, RetryBudgetParams};

/// Weight of one latency in the mean.
const MEAN_LATENCY_WEIGHT: f64 = 0.05;
/// Attempts out at all servers of a service at most.
const MAX_OUTSTANDING: u32 = 1_024;
/// Mean latency assumed while none was measured.
const ASSUMED_MEAN_LATENCY: Duration = Duration::from_millis(20);

/// A place in the queue of a service: the most urgent first, then the one whose answer is due first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Waiter {
    /// Rank of the route; zero is the most urgent.
    pub priority: u8,
    /// When its answer is due.
    pub due: Mono,
    /// The request.
    pub request: QueryId,
    /// Position of the shard in the request.
    pub shard: usize,
}

/// One service.
#[derive(Debug)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// Positions of its servers that are usable.
    pub servers: Vec<usize>,
    /// Connections that each of its servers accepts from all callers.
    pub max_connections: u32,
    /// Requests and extra requests.
    pub retry_budget: RetryBudget,
    /// Requests that wait for room at a server.
    pub waiters: BTreeSet<Waiter>,
    /// True from when a waiter was given up as late until the queue is empty.
    pub standing_queue: bool,
    /// Attempts out at all its servers.
    pub outstanding: u32,
    /// Limits the attempts out by their latency: more would only wait at the servers.
    limiter: Limiter,
    /// Wait that another entry tells, and until when it counts.
    pub reported_wait: Option<(Duration, Mono)>,
    mean: Option<Duration>,
}

impl Service {
    /// A service without servers.
    pub fn new(id: ServiceId, budget: RetryBudgetParams) -> Self {
        Self {
            id,
            servers: Vec::new(),
            max_connections: 0,
            retry_budget: RetryBudget::new(budget),
            waiters: BTreeSet::new(),
            standing_queue: false,
            outstanding: 0,
            limiter: Limiter::new(MAX_OUTSTANDING),
            reported_wait: None,
            mean: None,
        }
    }

    /// Mean latency of its answers.
    pub fn mean_latency(&self) -> Duration {
        self.mean.unwrap_or(ASSUMED_MEAN_LATENCY)
    }

    /// True if another attempt may be out; notes that the limit is reached if not.
    pub fn has_capacity(&mut self) -> bool {
        let room = self.outstanding < self.limiter.limit();
        if !room {
            self.limiter.mark_limit_reached();
        }
        room
    }

    /// Attempts that may be out.
    pub fn limit(&self) -> u32 {
        self.limiter.limit()
    }

    /// Learns from the latency of an answer.
    pub fn record_latency(&mut self, now: Mono, latency: Duration) {
        self.limiter.record(now, latency);
        let Some(mean) = self.mean else {
            self.mean = Some(latency);
            return;
        };
        let change = (latency.as_secs_f64() - mean.as_secs_f64()) * MEAN_LATENCY_WEIGHT;
        self.mean = Some(Duration::from_secs_f64(mean.as_secs_f64() + change));
    }

    /// The waiter that is served next: the one due first, or, once waiters have come to be late here,
    /// the one due last of the most urgent. In a standing queue the first is always at the edge of
    /// being late; serving the newest makes the answers that are given quick ones.
    pub fn next_waiter(&self) -> Option<Waiter> {
        let first = *self.waiters.first()?;
        if !self.standing_queue {
            return Some(first);
        }
        let last =
            Waiter { due: Mono::MAX, request: QueryId(u64::MAX), shard: usize::MAX, ..first };
        self.waiters.range(..=last).next_back().copied()
    }

    /// Expected wait behind the waiters of this priority or a more urgent one, with `places` attempts
    /// that may be out at once.
    pub fn expected_wait(&self, priority: u8, places: u32) -> Duration {
        let ahead = self.waiters.iter().take_while(|w| w.priority <= priority).count();
        if ahead == 0 {
            return Duration::ZERO;
        }
        self.mean_latency().mul_f64((ahead + 1) as f64 / f64::from(places.max(1)))
    }
}
