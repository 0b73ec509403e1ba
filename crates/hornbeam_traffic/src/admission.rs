//! Queues and fairness over services, deadline-aware refusal.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use hornbeam_model::{Limits, Mono, QueryId, ServiceId};
use indexmap::IndexMap;

use crate::limiter::Limiter;

/// Wait told to a refused caller when nothing is known yet.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest wait told to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// What admission says to a new query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// It runs now.
    Run,
    /// It waits; [`Admission::next_decision`] gives it back.
    Wait,
    /// It is refused, since it could not finish in time or the queue is full.
    Refuse {
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// What becomes of a query that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// It runs now.
    Run(QueryId),
    /// Too little of its time is left.
    Refuse {
        /// The query.
        query: QueryId,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Waiting {
    query: QueryId,
    deadline: Mono,
}

#[derive(Debug)]
struct Gate {
    limiter: Limiter,
    max_queue: usize,
    /// Queries of this service that run now.
    running: u32,
    /// Queries that wait, in the order of arrival.
    queue: VecDeque<Waiting>,
    /// The same queries in the order of their deadlines: callers wait for different times.
    due: BTreeSet<(Mono, QueryId)>,
}

impl Gate {
    fn new(limits: &Limits) -> Self {
        Self {
            limiter: Limiter::new(limits.max_in_flight),
            max_queue: limits.max_queue as usize,
            running: 0,
            queue: VecDeque::new(),
            due: BTreeSet::new(),
        }
    }

    fn push(&mut self, waiting: Waiting) {
        self.due.insert((waiting.deadline, waiting.query));
        self.queue.push_back(waiting);
    }

    fn pop(&mut self) -> Option<QueryId> {
        let first = self.queue.pop_front()?;
        self.due.remove(&(first.deadline, first.query));
        Some(first.query)
    }

    /// Takes a query out; false if it does not wait.
    fn remove(&mut self, query: QueryId) -> bool {
        let Some(at) = self.queue.iter().position(|w| w.query == query) else { return false };
        if let Some(waiting) = self.queue.remove(at) {
            self.due.remove(&(waiting.deadline, query));
        }
        true
    }

    /// A query that can no longer be answered in time, taken out.
    fn pop_hopeless(&mut self, now: Mono) -> Option<QueryId> {
        let (deadline, query) = *self.due.first()?;
        if now + self.limiter.median() <= deadline {
            return None;
        }
        self.remove(query).then_some(query)
    }

    /// Expected wait of a query behind `ahead` others.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let rounds = (ahead + 1) as f64 / f64::from(self.limiter.limit().max(1));
        self.limiter.median().mul_f64(rounds)
    }

    fn retry_after(&self) -> Duration {
        let wait = self.expected_wait(self.queue.len());
        if wait.is_zero() {
            return DEFAULT_RETRY_AFTER;
        }
        wait.min(MAX_RETRY_AFTER)
    }
}

/// Decides which queries run, wait or are refused.
#[derive(Debug)]
pub struct Admission {
    /// Queries that may run at once over all services.
    max_running: u32,
    /// Sum of `running` over all gates.
    running: u32,
    gates: IndexMap<ServiceId, Gate>,
    /// Gate whose queue is looked at first next time, for fairness.
    turn: usize,
}

impl Admission {
    /// Admission of at most `max_running` queries at once.
    pub fn new(max_running: u32) -> Self {
        Self { max_running, running: 0, gates: IndexMap::new(), turn: 0 }
    }

    /// Sets the limits of a service.
    pub fn set_limits(&mut self, service: &ServiceId, limits: &Limits) {
        if let Some(gate) = self.gates.get_mut(service) {
            gate.limiter.set_max(limits.max_in_flight);
            gate.max_queue = limits.max_queue as usize;
            return;
        }
        self.gates.insert(service.clone(), Gate::new(limits));
    }

    /// Queries that run now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Queries that wait now.
    pub fn waiting(&self) -> usize {
        self.gates.values().map(|g| g.queue.len()).sum()
    }

    /// The concurrency limit of a service, or zero if it is unknown.
    pub fn limit(&self, service: &ServiceId) -> u32 {
        self.gates.get(service).map_or(0, |g| g.limiter.limit())
    }

    /// Offers a new query, which must be answered by `deadline`.
    pub fn admit(
        &mut self,
        now: Mono,
        service: &ServiceId,
        query: QueryId,
        deadline: Mono,
    ) -> AdmissionDecision {
        let Some(gate) = self.gates.get_mut(service) else {
            return AdmissionDecision::Refuse { retry_after: DEFAULT_RETRY_AFTER };
        };
        let has_room = gate.running < gate.limiter.limit();
        if has_room && gate.queue.is_empty() && self.running < self.max_running {
            gate.running += 1;
            self.running += 1;
            return AdmissionDecision::Run;
        }
        gate.limiter.mark_limit_reached();
        let wait = gate.expected_wait(gate.queue.len());
        let late = now + wait + gate.limiter.median() > deadline;
        if late || gate.queue.len() >= gate.max_queue {
            return AdmissionDecision::Refuse { retry_after: gate.retry_after() };
        }
        gate.push(Waiting { query, deadline });
        AdmissionDecision::Wait
    }

    /// Notes that a running query ended. Pass a latency only if it says something of the backends.
    pub fn finish(&mut self, now: Mono, service: &ServiceId, latency: Option<Duration>) -> bool {
        let Some(gate) = self.gates.get_mut(service) else { return false };
        gate.running = gate.running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
        latency.is_some_and(|l| gate.limiter.record(now, l))
    }

    /// Takes a waiting query out whose caller left; false if it did not wait.
    pub fn remove(&mut self, service: &ServiceId, query: QueryId) -> bool {
        let Some(gate) = self.gates.get_mut(service) else { return false };
        gate.remove(query)
    }

    /// The next waiting query that can be decided, services in turn.
    pub fn next_decision(&mut self, now: Mono) -> Option<QueueDecision> {
        let count = self.gates.len();
        for step in 0..count {
            let i = (self.turn + step) % count;
            let gate = &mut self.gates[i];
            if let Some(query) = gate.pop_hopeless(now) {
                return Some(QueueDecision::Refuse { query, retry_after: gate.retry_after() });
            }
            if gate.running >= gate.limiter.limit() || self.running >= self.max_running {
                continue;
            }
            let Some(query) = gate.pop() else { continue };
            gate.running += 1;
            self.running += 1;
            self.turn = (i + 1) % count;
            return Some(QueueDecision::Run(query));
        }
        None
    }

    /// When the first waiting query must be refused, if none runs before.
    pub fn next_wake(&self) -> Option<Mono> {
        let firsts = self.gates.values().filter_map(|g| {
            let (deadline, _) = g.due.first()?;
            Some(deadline.before(g.limiter.median()) + Duration::from_micros(1))
        });
        firsts.min()
    }
}
