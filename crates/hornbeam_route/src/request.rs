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
pub enum CellState {
    /// Waits for room, or attempts are out.
    Open,
    /// The answer of this attempt, or of this group, counts.
    In(AttemptId),
    /// Nothing can come any more.
    Lacking,
}

/// One shard of a request.
#[derive(Debug)]
pub struct Cell {
    /// Position of the service.
    pub service: usize,
    /// Where it stands.
    pub state: CellState,
    /// Servers that ran the request or may have.
    pub runs: u32,
    /// Attempts that reached a server or may have.
    pub arrivals: u32,
    /// Attempts sent in all.
    pub sends: u32,
    /// Positions of servers that it was sent to.
    pub used: Vec<usize>,
    /// Attempts out.
    pub flights: Vec<AttemptId>,
    /// When a second attempt is due.
    pub hedge_at: Option<Mono>,
    /// True if its servers have failed so that its answer is not waited for.
    pub doubtful: bool,
    /// True while another entry collects it.
    pub delegated: bool,
    /// True if it is sent again once the entry that asked for its group has confirmed it.
    pub held: bool,
    /// The last complete answer that does not count, handed on if none better comes.
    pub failure: Option<AttemptId>,
}

impl Cell {
    /// A shard that nothing was sent for.
    pub fn new(service: usize) -> Self {
        Self {
            service,
            state: CellState::Open,
            runs: 0,
            arrivals: 0,
            sends: 0,
            used: Vec::new(),
            flights: Vec::new(),
            hedge_at: None,
            doubtful: false,
            delegated: false,
            held: false,
            failure: None,
        }
    }

    /// True if it waits for room at a server.
    pub fn is_waiting(&self) -> bool {
        self.state == CellState::Open && self.flights.is_empty() && !self.delegated && !self.held
    }

    /// Notes that another entry collects it, and has sent it to a server for all that is known.
    pub fn delegate(&mut self) {
        self.delegated = true;
        self.runs += 1;
        self.arrivals += 1;
        self.sends += 1;
    }

    /// Notes that the other entry may send it to all servers that are allowed.
    pub fn confirm_group(&mut self, max_attempts: u32) {
        self.runs = max_attempts.max(1);
    }

    /// Notes that no other entry collects it any more.
    pub fn take_back(&mut self, has_not_run: bool) {
        self.delegated = false;
        if has_not_run {
            self.runs = 0;
            self.arrivals -= 1;
            self.sends -= 1;
        }
    }
}

/// A group of shards that this entry collects for another one.
#[derive(Debug, Default)]
pub struct Collecting {
    /// Shards that are in and not told yet, with their attempts.
    pub untold: Vec<(usize, AttemptId)>,
    /// True once the entry that asked was told what is in.
    pub told: bool,
    /// False until the entry that asked has confirmed that the group was not taken back: until then each
    /// shard goes to one server only, since that entry may send it to another.
    pub confirmed: bool,
}

/// Shards of a request by where they stand.
#[derive(Clone, Copy, Debug)]
pub struct Tally {
    /// Attempts are out.
    pub sent: usize,
    /// They wait for room at a server.
    pub waiting: usize,
    /// They are open otherwise.
    pub late: usize,
    /// Nothing can come any more.
    pub lacking: usize,
}

/// One running request.
#[derive(Debug)]
pub struct Running {
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
    pub cells: Vec<Cell>,
    /// Shards whose answer is in.
    pub parts: usize,
    /// Fewest shards that make an answer.
    pub min_parts: usize,
    /// Attempts sent in all.
    pub sends: u32,
    /// True once its answer was due.
    pub overdue: bool,
    /// When its timer is set.
    pub armed: Mono,
    /// Groups of its shards that other entries collect.
    pub groups: Vec<AttemptId>,
    /// When groups that nobody has begun are taken back.
    pub take_back_at: Option<Mono>,
    /// What else there is to know of a group that this entry collects for another one; nothing for a
    /// caller's request.
    pub collecting: Option<Collecting>,
}

impl Running {
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
            cells: services.into_iter().map(Cell::new).collect(),
            parts: 0,
            min_parts: 0,
            sends: 0,
            overdue: false,
            armed: Mono::MAX,
            groups: Vec::new(),
            take_back_at: None,
            collecting: None,
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
        self.collecting.is_some()
    }

    /// True unless it is a group that the entry that asked may still take back.
    pub fn is_confirmed(&self) -> bool {
        self.collecting.as_ref().is_none_or(|c| c.confirmed)
    }

    /// Attempts and groups whose answers count, each once: a group stands for all its shards that are in.
    pub fn counted(&self) -> IndexSet<AttemptId> {
        let counted = self.cells.iter().filter_map(|c| match c.state {
            CellState::In(attempt) => Some(attempt),
            CellState::Open | CellState::Lacking => None,
        });
        counted.collect()
    }

    /// Where its shards stand.
    pub fn tally(&self) -> Tally {
        let count = |what: fn(&Cell) -> bool| self.cells.iter().filter(|c| what(c)).count();
        Tally {
            sent: count(|c| !c.flights.is_empty()),
            waiting: count(Cell::is_waiting),
            late: count(|c| c.state == CellState::Open && !c.is_waiting()),
            lacking: count(|c| c.state == CellState::Lacking),
        }
    }

    /// True if some attempt ran or may have run.
    pub fn may_have_run(&self) -> bool {
        self.cells.iter().any(|c| c.runs > 0)
    }

    /// When the next decision is due without any event.
    pub fn next_wake(&self) -> Mono {
        let hedges = self.cells.iter().filter_map(|c| c.hedge_at).min();
        let mut wake = self.deadline.min(hedges.unwrap_or(Mono::MAX));
        wake = wake.min(self.take_back_at.unwrap_or(Mono::MAX));
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
