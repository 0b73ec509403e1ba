//! Invariants of the query path, and totals over queries.
//!
//! Every response, refusal and attempt is checked against these invariants:
//!
//! - A response holds hits of one index version only.
//! - Its coverage names exactly the shards that contributed.
//! - Its hits belong to the query that it answers.
//! - A request that is refused as not run has not run and does not run later.
//! - A non-idempotent request runs at most once.
//! - A server gets no new work more than 3 s after it began to drain.
//! - Each request gets exactly one outcome, by its deadline.

use std::collections::BTreeSet;
use std::time::Duration;

use hornbeam_model::{IndexVersion, Mono, SchemaVersion, ShardId};
use hornbeam_query::{Coverage, QueryResponse, Refusal, RefusalKind, Request, RunStatus};

use super::{AttemptAtServer, InstanceIdx, World};

/// Time after the start of its drain from which on a server must get no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// How a query ended.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    /// The instance has neither answered nor refused the query yet.
    Pending,
    /// The instance sent a response.
    Answered {
        /// Whether the response covers every shard.
        complete: bool,
        /// Index version of the pinned snapshot.
        version: IndexVersion,
        /// Covered and missing shards.
        coverage: Coverage,
        /// Number of attempts that the response reports.
        attempts: u32,
    },
    /// The instance refused the query.
    Refused {
        /// Reason of the refusal.
        kind: RefusalKind,
        /// Whether the query ran, as the refusal states it.
        ran: RunStatus,
    },
    /// The instance crashed before the query had an outcome.
    Lost,
}

/// Query that a caller sent, and what has been recorded about it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Time at which the caller sent it.
    pub at: Mono,
    /// Time by which it must have an outcome.
    pub deadline: Mono,
    /// Outcome so far.
    pub outcome: QueryOutcome,
    /// Time of the outcome.
    pub decided: Option<Mono>,
    /// Whether the caller closed its connection.
    pub abandoned: bool,
    non_idempotent: bool,
    /// Index version, shard and schema version of every search that ran for it.
    ran: BTreeSet<(IndexVersion, ShardId, SchemaVersion)>,
    runs: u32,
    sent: u32,
}

impl SentRequest {
    pub(crate) fn new(at: Mono, deadline: Mono, request: &Request) -> Self {
        Self {
            at,
            deadline,
            outcome: QueryOutcome::Pending,
            decided: None,
            abandoned: false,
            non_idempotent: request.non_idempotent,
            ran: BTreeSet::new(),
            runs: 0,
            sent: 0,
        }
    }

    /// Returns whether the query got a complete response.
    pub fn is_complete(&self) -> bool {
        matches!(self.outcome, QueryOutcome::Answered { complete: true, .. })
    }

    /// Returns the time from the request to its outcome.
    pub fn took(&self) -> Option<Duration> {
        self.decided.map(|at| at.since(self.at))
    }

    /// Returns how often servers ran the query, canceled runs included.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Returns the number of attempts sent for the query.
    pub fn sent(&self) -> u32 {
        self.sent
    }
}

/// Totals over the queries since the last reset.
#[derive(Clone, Debug, Default)]
pub struct QuerySums {
    /// Latency of each response, in microseconds.
    pub latencies_us: Vec<u64>,
    /// Number of complete responses.
    pub complete: u64,
    /// Number of responses with missing shards.
    pub partial: u64,
    /// Number of refusals.
    pub refused: u64,
    /// Number of shards that the answered queries asked for.
    pub shards_asked: u64,
    /// Number of shards that the responses cover.
    pub shards_covered: u64,
    /// Number of attempts sent, extra requests included.
    pub attempts: u64,
    /// Number of attempts that are the first for their shards.
    pub primaries: u64,
}

impl QuerySums {
    /// Returns the latency at `quantile` (0 to 1), or zero without responses.
    pub fn latency(&self, quantile: f64) -> Duration {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * quantile).ceil() as usize;
        let us = sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0);
        Duration::from_micros(us)
    }

    /// Returns the covered shards as a fraction of those asked for.
    pub fn coverage(&self) -> f64 {
        self.shards_covered as f64 / (self.shards_asked as f64).max(1.0)
    }

    /// Returns the extra requests as a fraction of the first attempts.
    pub fn extra(&self) -> f64 {
        (self.attempts - self.primaries) as f64 / (self.primaries as f64).max(1.0)
    }
}

impl World {
    fn record_violation(&mut self, text: String) {
        self.violations.push(format!("at {}: {text}", self.now));
    }

    fn query_number(&self, i: InstanceIdx, query: hornbeam_model::QueryId) -> Option<u64> {
        self.query_numbers.get(&(i, self.instances[i].incarnation, query)).copied()
    }

    fn record_outcome(&mut self, number: u64, outcome: QueryOutcome) {
        let now = self.now;
        let Some(asked) = self.asked.get_mut(&number) else { return };
        let twice = asked.outcome != QueryOutcome::Pending;
        let late = now > asked.deadline;
        asked.outcome = outcome;
        asked.decided = Some(now);
        if twice {
            self.record_violation(format!("query {number} got two outcomes"));
        }
        if late {
            self.record_violation(format!("query {number} got its outcome after its deadline"));
        }
    }

    pub(crate) fn check_response(&mut self, i: InstanceIdx, response: &QueryResponse) {
        let Some(number) = self.query_number(i, response.query) else {
            return self.record_violation(format!("response to unknown query {}", response.query));
        };
        let Some(asked) = self.asked.get(&number).cloned() else { return };
        let coverage = &response.coverage;
        for hit in &response.hits {
            let record: (u64, u32, u64) =
                serde_json::from_str(hit.record.get()).unwrap_or_default();
            let (version, shard, query) = record;
            if version != response.index_version.0 {
                let text = format!("query {number}: a hit of version {version} in a response of");
                self.record_violation(format!("{text} version {}", response.index_version));
            }
            if query != number {
                self.record_violation(format!("query {number}: a hit of query {query}"));
            }
            let partially_missing = coverage.missing.iter().any(|l| {
                l.shards.contains(ShardId(shard)) && l.schemas.len() < response.schemas.len()
            });
            if !coverage.covered.contains(ShardId(shard)) && !partially_missing {
                self.record_violation(format!(
                    "query {number}: a hit of the missing shard {shard}"
                ));
            }
        }
        for shard in coverage.covered.iter() {
            for schema in &response.schemas {
                if !asked.ran.contains(&(response.index_version, shard, *schema)) {
                    self.record_violation(format!(
                        "query {number}: covered shard {shard} did not run"
                    ));
                }
            }
            let id = format!("plot-{shard}");
            if !response.hits.iter().any(|h| h.id == id) {
                self.record_violation(format!(
                    "query {number}: the response has no hit of covered shard {shard}"
                ));
            }
        }
        let missing: u32 = coverage.missing.iter().map(|l| l.shards.count()).sum();
        if coverage.covered.count() + missing != coverage.shards_total {
            self.record_violation(format!(
                "query {number}: covered and missing shards do not add up to the total"
            ));
        }
        if response.complete != (missing == 0) {
            self.record_violation(format!(
                "query {number}: `complete` does not match {missing} missing shards"
            ));
        }
        self.record_response(response);
        let outcome = QueryOutcome::Answered {
            complete: response.complete,
            version: response.index_version,
            coverage: coverage.clone(),
            attempts: response.attempts,
        };
        self.record_outcome(number, outcome);
    }

    fn record_response(&mut self, response: &QueryResponse) {
        let sums = &mut self.sums;
        sums.latencies_us.push(response.took.as_micros() as u64);
        if response.complete {
            sums.complete += 1;
        } else {
            sums.partial += 1;
        }
        sums.shards_asked += u64::from(response.coverage.shards_total);
        sums.shards_covered += u64::from(response.coverage.covered.count());
    }

    pub(crate) fn check_refusal(&mut self, i: InstanceIdx, refusal: &Refusal) {
        let Some(number) = self.query_number(i, refusal.query) else { return };
        let runs = self.asked.get(&number).map_or(0, |a| a.runs);
        if refusal.ran == RunStatus::NotRun && runs > 0 {
            self.record_violation(format!(
                "query {number} was refused as not run and ran {runs} times"
            ));
        }
        self.sums.refused += 1;
        self.record_outcome(number, QueryOutcome::Refused { kind: refusal.kind, ran: refusal.ran });
    }

    pub(crate) fn record_sent(&mut self, a: &AttemptAtServer) {
        self.sums.attempts += 1;
        if a.attempt.kind == hornbeam_query::AttemptKind::Primary {
            self.sums.primaries += 1;
        }
        if let Some(asked) = self.asked.get_mut(&a.query_number) {
            asked.sent += 1;
        }
        let server = &self.servers[a.server];
        let past_limit = server.drained_at.is_some_and(|at| self.now.since(at) > DRAIN_LIMIT);
        if past_limit {
            let name = server.announced.server.clone();
            self.record_violation(format!(
                "{name} got new work more than 3 s after it began to drain"
            ));
        }
    }

    /// Checks that no attempt reaches a server after its query was refused as not run.
    pub(crate) fn check_new_work(&mut self, a: &AttemptAtServer) {
        let Some(asked) = self.asked.get(&a.query_number) else { return };
        if matches!(asked.outcome, QueryOutcome::Refused { ran: RunStatus::NotRun, .. }) {
            self.record_violation(format!(
                "an attempt of query {} arrived after the query was refused as not run",
                a.query_number
            ));
        }
    }

    pub(crate) fn record_run(&mut self, job: &AttemptAtServer) {
        let number = job.query_number;
        let Some(asked) = self.asked.get_mut(&number) else { return };
        asked.runs += 1;
        for shard in job.attempt.shards.iter() {
            for schema in &job.attempt.schemas {
                asked.ran.insert((job.attempt.index_version, shard, *schema));
            }
        }
        let refused = matches!(asked.outcome, QueryOutcome::Refused { ran: RunStatus::NotRun, .. });
        let twice = asked.non_idempotent && asked.runs > 1;
        if refused {
            self.record_violation(format!("query {number} ran after it was refused as not run"));
        }
        if twice {
            self.record_violation(format!("non-idempotent query {number} ran twice"));
        }
    }

    pub(crate) fn mark_lost(&mut self, i: InstanceIdx) {
        let incarnation = self.instances[i].incarnation;
        let lost =
            self.query_numbers.iter().filter(|((x, start, _), _)| (*x, *start) == (i, incarnation));
        let lost: Vec<u64> = lost.map(|(_, n)| *n).collect();
        for number in lost {
            if let Some(asked) = self.asked.get_mut(&number)
                && asked.outcome == QueryOutcome::Pending
            {
                asked.outcome = QueryOutcome::Lost;
            }
        }
    }

    /// Checks that every query has an outcome if its deadline has passed and its caller still
    /// waits.
    pub fn check_outcomes(&mut self) {
        let now = self.now;
        let open = |a: &SentRequest| {
            a.outcome == QueryOutcome::Pending && !a.abandoned && a.deadline < now
        };
        let overdue: Vec<u64> =
            self.asked.iter().filter(|(_, a)| open(a)).map(|(n, _)| *n).collect();
        for number in overdue {
            self.record_violation(format!("query {number} got no outcome"));
        }
    }
}
