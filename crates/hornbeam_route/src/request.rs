//! State of one running request.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{AttemptId, Mono, QueryId, Route, TableVersion, Target};
use indexmap::IndexSet;
use serde::Serialize;
use smol_str::SmolStr;

/// Time kept back for the way of a request from its caller and of the answer back.
const ROUND_TRIP: Duration = Duration::from_millis(6);
/// Part of the objective kept back beside it, as a divisor.
const MARGIN_DIVISOR: u32 = 10;

/// Why a request ends without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// No routing table is known yet; it has not run.
    NoTable,
    /// No route matches.
    NoRoute,
    /// Too few servers are there; it has not run.
    NoServer,
    /// It would wait too long; it has not run.
    Overloaded,
    /// Servers failed; it may have run.
    Failed,
    /// Its time is up; it may have run.
    TimedOut,
    /// The entry ends; it may have run.
    Stopping,
}

impl RefusalKind {
    /// True if the request has not run and will not.
    pub fn has_not_run(self) -> bool {
        matches!(self, Self::NoTable | Self::NoRoute | Self::NoServer | Self::Overloaded)
    }
}

/// How a request ends without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// When the caller may come back; only if the request has not run.
    pub retry_after: Option<Duration>,
}

/// Where one shard of a request stands; a request to one service has one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShardStatus {
    /// Waits for room, or attempts are out.
    Open,
    /// The answer of this attempt, or of this group, counts.
    Received(AttemptId),
    /// Nothing can come any more.
    Missing,
}

/// One shard of a request.
#[derive(Debug)]
pub struct ShardProgress {
    /// Position of the service.
    pub service: usize,
    /// Where it stands.
    pub status: ShardStatus,
    /// Servers that ran the request or may have.
    pub possible_runs: u32,
    /// Attempts that reached a server or may have.
    pub deliveries: u32,
    /// Attempts sent in all.
    pub attempts: u32,
    /// Positions of servers that it was sent to.
    pub tried: Vec<usize>,
    /// Attempts out.
    pub in_flight: Vec<AttemptId>,
    /// When a second attempt is due.
    pub hedge_at: Option<Mono>,
    /// True if its servers have failed so that its answer is not waited for.
    pub not_awaited: bool,
    /// True while another entry collects it.
    pub delegated: bool,
    /// True if it is sent again once the entry that asked for its group has confirmed it.
    pub awaits_confirmation: bool,
    /// The last complete answer that does not count, handed on if none better comes.
    pub error_response: Option<AttemptId>,
}

impl ShardProgress {
    /// A shard that nothing was sent for.
    pub fn new(service: usize) -> Self {
        Self {
            service,
            status: ShardStatus::Open,
            possible_runs: 0,
            deliveries: 0,
            attempts: 0,
            tried: Vec::new(),
            in_flight: Vec::new(),
            hedge_at: None,
            not_awaited: false,
            delegated: false,
            awaits_confirmation: false,
            error_response: None,
        }
    }

    /// True if it waits for room at a server.
    pub fn is_waiting(&self) -> bool {
        self.status == ShardStatus::Open
            && self.in_flight.is_empty()
            && !self.delegated
            && !self.awaits_confirmation
    }

    /// Notes that another entry collects it, and has sent it to a server for all that is known.
    pub fn delegate(&mut self) {
        self.delegated = true;
        self.possible_runs += 1;
        self.deliveries += 1;
        self.attempts += 1;
    }

    /// Notes that the other entry may send it to all servers that are allowed.
    pub fn confirm_group(&mut self, max_attempts: u32) {
        self.possible_runs = max_attempts.max(1);
    }

    /// Notes that no other entry collects it any more.
    pub fn reclaim(&mut self, has_not_run: bool) {
        self.delegated = false;
        if has_not_run {
            self.possible_runs = 0;
            self.deliveries -= 1;
            self.attempts -= 1;
        }
    }
}

/// A group of shards that this entry collects for another one.
#[derive(Debug, Default)]
pub struct GatherState {
    /// Shards that are in and not told yet, with their attempts.
    pub unreported: Vec<(usize, AttemptId)>,
    /// True once the entry that asked was told what is in.
    pub reported: bool,
    /// False until the entry that asked has confirmed that the group was not taken back: until then each
    /// shard goes to one server only, since that entry may send it to another.
    pub confirmed: bool,
}

/// Shards of a request by where they stand.
#[derive(Clone, Copy, Debug)]
pub struct ShardCounts {
    /// Attempts are out.
    pub sent: usize,
    /// They wait for room at a server.
    pub waiting: usize,
    /// They are open otherwise.
    pub late: usize,
    /// Nothing can come any more.
    pub missing: usize,
}

/// One running request.
#[derive(Debug)]
pub struct RunningRequest {
    /// Names the request within this entry.
    pub key: QueryId,
    /// Its id, as the caller gave it.
    pub id: SmolStr,
    /// Its route, of the table version in force when it arrived.
    pub route: Arc<Route>,
    /// That version; the whole request stays with it.
    pub table: TableVersion,
    /// When it arrived.
    pub arrived: Mono,
    /// When its caller must have a final answer.
    pub deadline: Mono,
    /// When an answer must leave to be within the objective.
    pub answer_by: Mono,
    /// Its shards.
    pub shards: Vec<ShardProgress>,
    /// Shards whose answer is in.
    pub responses: usize,
    /// Fewest shards that make an answer.
    pub min_responses: usize,
    /// Attempts sent in all.
    pub attempts: u32,
    /// True once its answer was due.
    pub overdue: bool,
    /// When its timer is set.
    pub timer_at: Mono,
    /// Groups of its shards that other entries collect.
    pub groups: Vec<AttemptId>,
    /// When groups that nobody has begun are taken back.
    pub reclaim_at: Option<Mono>,
    /// What else there is to know of a group that this entry collects for another one; nothing for a
    /// caller's request.
    pub gather: Option<GatherState>,
}

impl RunningRequest {
    /// A request that nothing was sent for, without its times, its table and its fewest parts.
    pub fn new(key: QueryId, id: SmolStr, route: Arc<Route>, services: Vec<usize>) -> Self {
        Self {
            key,
            id,
            route,
            table: TableVersion(0),
            arrived: Mono::default(),
            deadline: Mono::default(),
            answer_by: Mono::default(),
            shards: services.into_iter().map(ShardProgress::new).collect(),
            responses: 0,
            min_responses: 0,
            attempts: 0,
            overdue: false,
            timer_at: Mono::MAX,
            groups: Vec::new(),
            reclaim_at: None,
            gather: None,
        }
    }

    /// True if every shard is needed from one server of a service only.
    pub fn is_scatter(&self) -> bool {
        matches!(self.route.target, Target::Scatter(_))
    }

    /// Servers that each shard may be sent to now.
    pub fn allowed_attempts(&self) -> u32 {
        if self.is_confirmed() { self.route.max_attempts } else { 1.min(self.route.max_attempts) }
    }

    /// Records in its merged answer.
    pub fn limit(&self) -> usize {
        match &self.route.target {
            Target::Scatter(scatter) => scatter.limit as usize,
            Target::Single(_) | Target::Split(_) => 0,
        }
    }

    /// True if it is a group that this entry collects for another one.
    pub fn is_group(&self) -> bool {
        self.gather.is_some()
    }

    /// True unless it is a group that the entry that asked may still take back.
    pub fn is_confirmed(&self) -> bool {
        self.gather.as_ref().is_none_or(|g| g.confirmed)
    }

    /// Attempts and groups whose answers count, each once: a group stands for all its shards that are in.
    pub fn contributing_attempts(&self) -> IndexSet<AttemptId> {
        let attempts = self.shards.iter().filter_map(|s| match s.status {
            ShardStatus::Received(attempt) => Some(attempt),
            ShardStatus::Open | ShardStatus::Missing => None,
        });
        attempts.collect()
    }

    /// Where its shards stand.
    pub fn shard_counts(&self) -> ShardCounts {
        let count = |is: fn(&ShardProgress) -> bool| self.shards.iter().filter(|s| is(s)).count();
        ShardCounts {
            sent: count(|s| !s.in_flight.is_empty()),
            waiting: count(ShardProgress::is_waiting),
            late: count(|s| s.status == ShardStatus::Open && !s.is_waiting()),
            missing: count(|s| s.status == ShardStatus::Missing),
        }
    }

    /// True if some attempt ran or may have run.
    pub fn may_have_run(&self) -> bool {
        self.shards.iter().any(|s| s.possible_runs > 0)
    }

    /// When the next decision is due without any event.
    pub fn next_wake(&self) -> Mono {
        let hedges = self.shards.iter().filter_map(|s| s.hedge_at).min();
        let mut wake = self.deadline.min(hedges.unwrap_or(Mono::MAX));
        wake = wake.min(self.reclaim_at.unwrap_or(Mono::MAX));
        if !self.overdue {
            wake = wake.min(self.answer_by);
        }
        wake
    }
}

/// When an answer must leave to be within the objective of a request that arrived at `arrived`. A caller
/// that had to open a connection has waited for one more round trip.
pub fn answer_by(arrived: Mono, objective: Duration, opened_connection: bool) -> Mono {
    let round_trips = if opened_connection { 2 } else { 1 };
    let margin = ROUND_TRIP * round_trips + objective / MARGIN_DIVISOR;
    arrived + objective.saturating_sub(margin)
}
