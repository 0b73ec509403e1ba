//! Admission control: one concurrency limit and one queue per service, served round-robin.
//!
//! Queries that would miss their deadlines are refused early.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use hornbeam_model::{Limits, Mono, QueryId, ServiceId};
use indexmap::IndexMap;

use crate::limiter::Limiter;

/// `retry_after` of a refusal before any latency has been measured.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Upper bound of `retry_after`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Decision on a new query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The query starts now.
    Run,
    /// The query is queued; [`Admission::next_decision`] decides on it later.
    Wait,
    /// The query is refused: it would miss its deadline, the queue is full, or the service has no
    /// limits yet.
    Refuse {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Decision on a queued query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// The query starts now.
    Run(QueryId),
    /// The query can no longer be answered before its deadline.
    Refuse {
        /// The refused query.
        query: QueryId,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct QueuedQuery {
    query: QueryId,
    deadline: Mono,
}

#[derive(Debug)]
struct ServiceAdmission {
    limiter: Limiter,
    max_queue: usize,
    /// Number of running queries of this service.
    running: u32,
    /// Queued queries in order of arrival.
    queue: VecDeque<QueuedQuery>,
    /// The same queries ordered by deadline: callers differ in patience, so the order of arrival
    /// is not the order of the deadlines.
    by_deadline: BTreeSet<(Mono, QueryId)>,
}

impl ServiceAdmission {
    fn new(limits: &Limits) -> Self {
        Self {
            limiter: Limiter::new(limits.max_in_flight),
            max_queue: limits.max_queue as usize,
            running: 0,
            queue: VecDeque::new(),
            by_deadline: BTreeSet::new(),
        }
    }

    fn push(&mut self, queued: QueuedQuery) {
        self.by_deadline.insert((queued.deadline, queued.query));
        self.queue.push_back(queued);
    }

    fn pop(&mut self) -> Option<QueryId> {
        let first = self.queue.pop_front()?;
        self.by_deadline.remove(&(first.deadline, first.query));
        Some(first.query)
    }

    /// Removes a query; returns false if it is not queued.
    fn remove(&mut self, query: QueryId) -> bool {
        let Some(at) = self.queue.iter().position(|q| q.query == query) else { return false };
        if let Some(queued) = self.queue.remove(at) {
            self.by_deadline.remove(&(queued.deadline, query));
        }
        true
    }

    /// Removes and returns the query with the earliest deadline if one median latency no longer
    /// fits before that deadline.
    fn pop_overdue(&mut self, now: Mono) -> Option<QueryId> {
        let (deadline, query) = *self.by_deadline.first()?;
        if now + self.limiter.median() <= deadline {
            return None;
        }
        self.remove(query).then_some(query)
    }

    /// Estimates the time in the queue behind `ahead` queries, from the median latency and the
    /// concurrency limit.
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

/// Admission control over all services: starts, queues or refuses queries.
#[derive(Debug)]
pub struct Admission {
    /// Maximum number of concurrently running queries over all services.
    max_running: u32,
    /// Sum of `running` over all services.
    running: u32,
    services: IndexMap<ServiceId, ServiceAdmission>,
    /// Index of the service that is checked first next time (round-robin).
    next_service: usize,
}

impl Admission {
    /// Creates an admission control without services that runs at most `max_running` queries at
    /// once.
    pub fn new(max_running: u32) -> Self {
        Self { max_running, running: 0, services: IndexMap::new(), next_service: 0 }
    }

    /// Sets the limits of a service and adds the service if it is new.
    pub fn set_limits(&mut self, service: &ServiceId, limits: &Limits) {
        if let Some(state) = self.services.get_mut(service) {
            state.limiter.set_max(limits.max_in_flight);
            state.max_queue = limits.max_queue as usize;
            return;
        }
        self.services.insert(service.clone(), ServiceAdmission::new(limits));
    }

    /// Returns the number of running queries over all services.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of queued queries over all services.
    pub fn waiting(&self) -> usize {
        self.services.values().map(|s| s.queue.len()).sum()
    }

    /// Returns the current concurrency limit of a service, or 0 if the service is unknown.
    pub fn limit(&self, service: &ServiceId) -> u32 {
        self.services.get(service).map_or(0, |s| s.limiter.limit())
    }

    /// Decides on a new query, which must be answered by `deadline`.
    pub fn admit(
        &mut self,
        now: Mono,
        service: &ServiceId,
        query: QueryId,
        deadline: Mono,
    ) -> AdmissionDecision {
        let Some(state) = self.services.get_mut(service) else {
            return AdmissionDecision::Refuse { retry_after: DEFAULT_RETRY_AFTER };
        };
        let has_capacity = state.running < state.limiter.limit();
        if has_capacity && state.queue.is_empty() && self.running < self.max_running {
            state.running += 1;
            self.running += 1;
            return AdmissionDecision::Run;
        }
        state.limiter.mark_limit_reached();
        let wait = state.expected_wait(state.queue.len());
        let late = now + wait + state.limiter.median() > deadline;
        if late || state.queue.len() >= state.max_queue {
            return AdmissionDecision::Refuse { retry_after: state.retry_after() };
        }
        state.push(QueuedQuery { query, deadline });
        AdmissionDecision::Wait
    }

    /// Ends a running query; returns true if the concurrency limit of the service changed.
    ///
    /// `latency` adjusts that limit. Pass `None` if the duration does not reflect the backends, for
    /// example because the caller disconnected.
    pub fn finish(&mut self, now: Mono, service: &ServiceId, latency: Option<Duration>) -> bool {
        let Some(state) = self.services.get_mut(service) else { return false };
        state.running = state.running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
        latency.is_some_and(|l| state.limiter.record(now, l))
    }

    /// Removes a queued query whose caller disconnected; returns false if it was not queued.
    pub fn remove(&mut self, service: &ServiceId, query: QueryId) -> bool {
        let Some(state) = self.services.get_mut(service) else { return false };
        state.remove(query)
    }

    /// Returns the next queued query that can start or must be refused, round-robin over the
    /// services.
    pub fn next_decision(&mut self, now: Mono) -> Option<QueueDecision> {
        let count = self.services.len();
        for offset in 0..count {
            let i = (self.next_service + offset) % count;
            let state = &mut self.services[i];
            if let Some(query) = state.pop_overdue(now) {
                return Some(QueueDecision::Refuse { query, retry_after: state.retry_after() });
            }
            if state.running >= state.limiter.limit() || self.running >= self.max_running {
                continue;
            }
            let Some(query) = state.pop() else { continue };
            state.running += 1;
            self.running += 1;
            self.next_service = (i + 1) % count;
            return Some(QueueDecision::Run(query));
        }
        None
    }

    /// Returns the time at which the next queued query must be refused unless it starts before.
    pub fn next_wake(&self) -> Option<Mono> {
        let refusal_times = self.services.values().filter_map(|s| {
            let (deadline, _) = s.by_deadline.first()?;
            Some(deadline.before(s.limiter.median()) + Duration::from_micros(1))
        });
        refusal_times.min()
    }
}
