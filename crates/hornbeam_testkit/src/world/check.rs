//! Invariants and sums over answers.
//!
//! Checked at every answer, refusal and piece of new work: one snapshot; truthful coverage; the
//! own answer only; what is said not to have run did not run; at most one run of a non-idempotent
//! request; no new work 3 s after a server began to drain; one verdict for each request, in time.

use std::collections::BTreeSet;
use std::time::Duration;

use hornbeam_model::{IndexVersion, Mono, SchemaVersion, ShardId};
use hornbeam_query::{Coverage, QueryResponse, Refusal, RefusalKind, Request, RunStatus};

use super::{AttemptAtServer, InstanceIdx, World};

/// Time after which a draining server must get no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// What became of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    /// No verdict yet.
    Pending,
    /// Answered.
    Answered {
        /// True if complete.
        complete: bool,
        /// The index version.
        version: IndexVersion,
        /// Which shards are covered.
        coverage: Coverage,
        /// Attempts sent.
        attempts: u32,
    },
    /// Refused.
    Refused {
        /// Why.
        kind: RefusalKind,
        /// Whether it ran.
        ran: RunStatus,
    },
    /// Its instance crashed.
    Lost,
}

/// A query that was asked.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// When it was asked.
    pub at: Mono,
    /// When it must have a verdict.
    pub deadline: Mono,
    /// What became of it, and when.
    pub outcome: QueryOutcome,
    /// When it had its verdict.
    pub decided: Option<Mono>,
    /// True if its caller left.
    pub left: bool,
    non_idempotent: bool,
    /// What ran for it.
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
            left: false,
            non_idempotent: request.non_idempotent,
            ran: BTreeSet::new(),
            runs: 0,
            sent: 0,
        }
    }

    /// True if it was answered completely.
    pub fn is_complete(&self) -> bool {
        matches!(self.outcome, QueryOutcome::Answered { complete: true, .. })
    }

    /// Time from question to verdict.
    pub fn took(&self) -> Option<Duration> {
        self.decided.map(|at| at.since(self.at))
    }

    /// How often servers ran it.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Attempts that left for it.
    pub fn sent(&self) -> u32 {
        self.sent
    }
}

/// Sums over the answers since they were last taken.
#[derive(Clone, Debug, Default)]
pub struct QuerySums {
    /// Latencies of answers, in microseconds.
    pub latencies_us: Vec<u64>,
    /// Complete answers.
    pub complete: u64,
    /// Answers that lack shards.
    pub partial: u64,
    /// Refusals.
    pub refused: u64,
    /// Shards asked for in answered queries.
    pub shards_asked: u64,
    /// Shards covered.
    pub shards_covered: u64,
    /// Attempts that left.
    pub attempts: u64,
    /// Of them the first for their shards.
    pub primaries: u64,
}

impl QuerySums {
    /// The latency at `quantile` (0 to 1).
    pub fn latency(&self, quantile: f64) -> Duration {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * quantile).ceil() as usize;
        let us = sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0);
        Duration::from_micros(us)
    }

    /// Shards covered as a part of those asked for.
    pub fn coverage(&self) -> f64 {
        self.shards_covered as f64 / (self.shards_asked as f64).max(1.0)
    }

    /// Attempts beyond the first for their shards, as a part of those.
    pub fn extra(&self) -> f64 {
        (self.attempts - self.primaries) as f64 / (self.primaries as f64).max(1.0)
    }
}

impl World {
    fn violate(&mut self, text: String) {
        self.violations.push(format!("at {}: {text}", self.now));
    }

    fn number_of(&self, i: InstanceIdx, query: hornbeam_model::QueryId) -> Option<u64> {
        self.asked_of.get(&(i, self.instances[i].incarnation, query)).copied()
    }

    fn decide(&mut self, number: u64, fate: QueryOutcome) {
        let now = self.now;
        let Some(asked) = self.asked.get_mut(&number) else { return };
        let twice = asked.outcome != QueryOutcome::Pending;
        let late = now > asked.deadline;
        asked.outcome = fate;
        asked.decided = Some(now);
        if twice {
            self.violate(format!("query {number} got two verdicts"));
        }
        if late {
            self.violate(format!("query {number} got its verdict after its deadline"));
        }
    }

    pub(crate) fn check_answer(&mut self, i: InstanceIdx, answer: &QueryResponse) {
        let Some(number) = self.number_of(i, answer.query) else {
            return self.violate(format!("an answer to unknown query {}", answer.query));
        };
        let Some(asked) = self.asked.get(&number).cloned() else { return };
        let coverage = &answer.coverage;
        for hit in &answer.hits {
            let record: (u64, u32, u64) =
                serde_json::from_str(hit.record.get()).unwrap_or_default();
            let (version, shard, query) = record;
            if version != answer.index_version.0 {
                let text = format!("query {number}: a hit of version {version} in an answer of");
                self.violate(format!("{text} version {}", answer.index_version));
            }
            if query != number {
                self.violate(format!("query {number}: a hit of query {query}"));
            }
            let partly = coverage.missing.iter().any(|l| {
                l.shards.contains(ShardId(shard)) && l.schemas.len() < answer.schemas.len()
            });
            if !coverage.covered.contains(ShardId(shard)) && !partly {
                self.violate(format!("query {number}: a hit of shard {shard}, which is lacking"));
            }
        }
        for shard in coverage.covered.iter() {
            for schema in &answer.schemas {
                if !asked.ran.contains(&(answer.index_version, shard, *schema)) {
                    self.violate(format!("query {number}: shard {shard} did not run"));
                }
            }
            let id = format!("plot-{shard}");
            if !answer.hits.iter().any(|h| h.id == id) {
                self.violate(format!("query {number}: the hits of shard {shard} are missing"));
            }
        }
        let lacking: u32 = coverage.missing.iter().map(|l| l.shards.count()).sum();
        if coverage.covered.count() + lacking != coverage.shards_total {
            self.violate(format!("query {number}: covered and lacking do not add up"));
        }
        if answer.complete != (lacking == 0) {
            self.violate(format!("query {number}: complete although {lacking} shards are lacking"));
        }
        self.sum_up(answer);
        let fate = QueryOutcome::Answered {
            complete: answer.complete,
            version: answer.index_version,
            coverage: coverage.clone(),
            attempts: answer.attempts,
        };
        self.decide(number, fate);
    }

    fn sum_up(&mut self, answer: &QueryResponse) {
        let sums = &mut self.sums;
        sums.latencies_us.push(answer.took.as_micros() as u64);
        if answer.complete {
            sums.complete += 1;
        } else {
            sums.partial += 1;
        }
        sums.shards_asked += u64::from(answer.coverage.shards_total);
        sums.shards_covered += u64::from(answer.coverage.covered.count());
    }

    pub(crate) fn check_refusal(&mut self, i: InstanceIdx, refusal: &Refusal) {
        let Some(number) = self.number_of(i, refusal.query) else { return };
        let runs = self.asked.get(&number).map_or(0, |a| a.runs);
        if refusal.ran == RunStatus::NotRun && runs > 0 {
            self.violate(format!("query {number} was said not to have run and ran {runs} times"));
        }
        self.sums.refused += 1;
        self.decide(number, QueryOutcome::Refused { kind: refusal.kind, ran: refusal.ran });
    }

    pub(crate) fn note_sent(&mut self, a: &AttemptAtServer) {
        self.sums.attempts += 1;
        if a.attempt.kind == hornbeam_query::AttemptKind::Primary {
            self.sums.primaries += 1;
        }
        if let Some(asked) = self.asked.get_mut(&a.asked) {
            asked.sent += 1;
        }
        let server = &self.servers[a.server];
        let overdue = server.drained_at.is_some_and(|at| self.now.since(at) > DRAIN_LIMIT);
        if overdue {
            let name = server.announced.server.clone();
            self.violate(format!("{name} got new work more than 3 s after it began to drain"));
        }
    }

    /// An attempt that reaches a server after its query was refused as not run must not run.
    pub(crate) fn check_new_work(&mut self, a: &AttemptAtServer) {
        let Some(asked) = self.asked.get(&a.asked) else { return };
        if matches!(asked.outcome, QueryOutcome::Refused { ran: RunStatus::NotRun, .. }) {
            self.violate(format!("query {} was refused as not run and is sent", a.asked));
        }
    }

    pub(crate) fn note_ran(&mut self, job: &AttemptAtServer) {
        let number = job.asked;
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
            self.violate(format!("query {number} was refused as not run and ran"));
        }
        if twice {
            self.violate(format!("non-idempotent query {number} ran twice"));
        }
    }

    pub(crate) fn forget_asked(&mut self, i: InstanceIdx) {
        let incarnation = self.instances[i].incarnation;
        let lost =
            self.asked_of.iter().filter(|((x, start, _), _)| (*x, *start) == (i, incarnation));
        let lost: Vec<u64> = lost.map(|(_, n)| *n).collect();
        for number in lost {
            if let Some(asked) = self.asked.get_mut(&number)
                && asked.outcome == QueryOutcome::Pending
            {
                asked.outcome = QueryOutcome::Lost;
            }
        }
    }

    /// Checks that every query whose deadline has passed and whose caller stayed has a verdict.
    pub fn check_verdicts(&mut self) {
        let now = self.now;
        let open =
            |a: &SentRequest| a.outcome == QueryOutcome::Pending && !a.left && a.deadline < now;
        let silent: Vec<u64> =
            self.asked.iter().filter(|(_, a)| open(a)).map(|(n, _)| *n).collect();
        for number in silent {
            self.violate(format!("query {number} got no verdict"));
        }
    }
}
