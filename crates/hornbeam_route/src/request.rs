//! State of one running request.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{
    AttemptId, Fingerprint, KeyDigest, Mono, QueryId, Route, TableVersion, Target, TeamId,
};
use indexmap::IndexSet;
use serde::Serialize;
use smol_str::SmolStr;

use crate::claim::Claim;
use crate::copy_hold::CopyHold;
use crate::engine::AttemptOutcome;
use crate::notice::LeavingServer;
use crate::region_rule::RegionRule;

/// Reserve for the network round trip between the caller and this entry.
const ROUND_TRIP_RESERVE: Duration = Duration::from_millis(6);
/// Divisor of the objective that gives the reserve kept in addition to the round trips.
const OBJECTIVE_RESERVE_DIVISOR: u32 = 10;

/// Reason for which a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// No routing table has been received yet; the request has not run.
    NoTable,
    /// No route matches the host and path; the request has not run.
    NoRoute,
    /// The key is missing or belongs to no team; the request has not run.
    UnknownKey,
    /// It is not known here which keys are in force; the request has not run.
    Unverified,
    /// The team's quota is used up; the request has not run.
    OverQuota,
    /// Too few servers are usable; the request has not run.
    NoServer,
    /// The expected wait is too long or the entry is at its limit; the request has not run.
    Overloaded,
    /// Servers have ended under the same request before; it has not run this time.
    Quarantined,
    /// The entry is shutting down and could not finish it; the request has not run.
    Draining,
    /// Servers failed; the request may have run.
    Failed,
    /// The deadline has passed; the request may have run.
    TimedOut,
    /// The entry is stopping; the request may have run.
    Stopping,
}

impl RefusalKind {
    /// Returns true if the request has not run and will not run.
    pub fn has_not_run(self) -> bool {
        matches!(
            self,
            Self::NoTable
                | Self::NoRoute
                | Self::UnknownKey
                | Self::Unverified
                | Self::OverQuota
                | Self::NoServer
                | Self::Overloaded
                | Self::Quarantined
                | Self::Draining
        )
    }
}

/// A refusal, as it is reported to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub kind: RefusalKind,
    /// Time after which the caller may retry; set only if the request has not run.
    pub retry_after: Option<Duration>,
}

/// Status of one shard of a request; a request to a single service has one shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShardStatus {
    /// The shard is queued for capacity, in flight, delegated or awaits confirmation of its group.
    Open,
    /// The response of this attempt or delegated group is used.
    Received(AttemptId),
    /// No response can arrive any more.
    Missing,
}

/// Progress of one shard of a request.
#[derive(Debug)]
pub struct ShardProgress {
    /// Position of its service in the engine.
    pub service: usize,
    /// Whether a response was received or can still arrive.
    pub status: ShardStatus,
    /// Attempts that ran the request or may have run it.
    pub possible_runs: u32,
    /// `possible_runs` before the shard was delegated last.
    runs_before_delegation: u32,
    /// Attempts that reached a server or may have reached one.
    pub deliveries: u32,
    /// Attempts sent, whatever their outcome.
    pub attempts: u32,
    /// Positions of the servers that it was sent to.
    pub tried: Vec<usize>,
    /// In-flight attempts.
    pub in_flight: Vec<AttemptId>,
    /// When a hedge is due; `None` if none is planned.
    pub hedge_at: Option<Mono>,
    /// True if all its servers are ejected and the other shards suffice for a response, which then
    /// does not wait for this one.
    pub not_awaited: bool,
    /// True while another entry gathers it.
    pub delegated: bool,
    /// Number of times that it was relayed to another entry.
    pub relays: u32,
    /// True while its second copy is held back, because servers have just ended under the search.
    pub held: bool,
    /// True if its retry waits until the origin entry has confirmed the group.
    pub awaits_confirmation: bool,
    /// The last error response, forwarded to the caller if no successful one arrives.
    pub error_response: Option<AttemptId>,
}

impl ShardProgress {
    /// Creates a shard without attempts.
    pub fn new(service: usize) -> Self {
        Self {
            service,
            status: ShardStatus::Open,
            possible_runs: 0,
            runs_before_delegation: 0,
            deliveries: 0,
            attempts: 0,
            tried: Vec::new(),
            in_flight: Vec::new(),
            hedge_at: None,
            not_awaited: false,
            delegated: false,
            relays: 0,
            held: false,
            awaits_confirmation: false,
            error_response: None,
        }
    }

    /// Returns true if the shard is queued for capacity at a server.
    pub fn is_waiting(&self) -> bool {
        self.status == ShardStatus::Open
            && self.in_flight.is_empty()
            && !self.delegated
            && !self.awaits_confirmation
    }

    /// Marks the shard as delegated. It counts as sent to one server, as this entry must assume.
    pub fn delegate(&mut self) {
        self.delegated = true;
        self.runs_before_delegation = self.possible_runs;
        self.possible_runs += 1;
        self.deliveries += 1;
        self.attempts += 1;
    }

    /// Records that the gathering entry may now send it to as many servers as the route allows.
    pub fn confirm_group(&mut self, max_attempts: u32) {
        self.possible_runs = max_attempts.max(1);
    }

    /// Marks the shard as no longer delegated; `has_not_run` undoes the attempt counted for it.
    pub fn reclaim(&mut self, has_not_run: bool) {
        self.delegated = false;
        if has_not_run {
            self.possible_runs = self.runs_before_delegation;
            self.deliveries -= 1;
            self.attempts -= 1;
        }
    }
}

/// State of a shard group that this entry gathers for an origin entry.
#[derive(Debug, Default)]
pub struct GatherState {
    /// Shards whose responses are not reported to the origin yet, with their attempts.
    pub unreported: Vec<(usize, AttemptId)>,
    /// True once a first report was sent to the origin, even an empty one.
    pub reported: bool,
    /// False until the origin has confirmed that it does not reclaim the group. Until then each
    /// shard is sent to one server only, since the origin may reclaim it and send it to another.
    pub confirmed: bool,
    /// Servers that stated in their responses to this group that they are leaving, and that are
    /// not reported to the origin yet.
    pub leaving: Vec<LeavingServer>,
}

/// Number of shards of a request by status.
#[derive(Clone, Copy, Debug)]
pub struct ShardCounts {
    /// Shards with in-flight attempts.
    pub sent: usize,
    /// Shards that are queued for capacity.
    pub waiting: usize,
    /// Open shards that are not queued: in flight, delegated or awaiting confirmation.
    pub late: usize,
    /// Shards for which no response can arrive any more.
    pub missing: usize,
}

/// A running request of a caller, or a group that is gathered for an origin entry.
#[derive(Debug)]
pub struct RunningRequest {
    /// Identifies the request within this entry.
    pub key: QueryId,
    /// Request id, as sent by the caller.
    pub id: SmolStr,
    /// Recognizes the request when the caller repeats it.
    pub fingerprint: Fingerprint,
    /// Team of the caller; `None` without teams and for gathered groups.
    pub team: Option<TeamId>,
    /// Digest of the key by which the team was determined.
    pub credential: Option<KeyDigest>,
    /// True once the key was revoked: what runs is completed, and nothing new is sent.
    pub is_revoked: bool,
    /// What it may claim of capacity that is short.
    pub claim: Claim,
    /// Until when a patient request may be queued; `None` for others, which wait until their due time.
    pub patient_until: Option<Mono>,
    /// True if a patient request is not expected to be served within its objective.
    pub yields: bool,
    /// Matched route, from the table version in force on arrival.
    pub route: Arc<Route>,
    /// Regions whose servers and entries may handle it.
    pub regions: RegionRule,
    /// Table version of the route; the whole request uses this version.
    pub table: TableVersion,
    /// Arrival time.
    pub arrived: Mono,
    /// Time by which the request ends, with a response or a refusal.
    pub deadline: Mono,
    /// Due time: when the response must leave to be within the objective.
    pub answer_by: Mono,
    /// Progress of each shard, in the order of the route.
    pub shards: Vec<ShardProgress>,
    /// Number of shards whose response was received.
    pub responses: usize,
    /// Minimum number of shard responses for a response to the caller.
    pub min_shards: usize,
    /// Attempts sent, with one for each delegated shard.
    pub attempts: u32,
    /// True once the due time has passed.
    pub overdue: bool,
    /// Time that the timer of the request is set to; `Mono::MAX` without a timer.
    pub timer_at: Mono,
    /// Groups of its shards that are delegated to other entries.
    pub groups: Vec<AttemptId>,
    /// When groups that no entry has started to gather are reclaimed.
    pub reclaim_at: Option<Mono>,
    /// Why another entry refused to gather shards of it; nothing of these ran.
    pub refusal: Option<Refusal>,
    /// Servers that ended under it, if it is a search.
    pub copy_hold: CopyHold,
    /// Additional state of a group that is gathered for an origin entry; `None` for a caller's
    /// request.
    pub gather: Option<GatherState>,
}

impl RunningRequest {
    /// Creates a request without attempts; times, table version, fingerprint and `min_shards` are
    /// not set.
    pub fn new(key: QueryId, id: SmolStr, route: Arc<Route>, services: Vec<usize>) -> Self {
        Self {
            key,
            id,
            fingerprint: Fingerprint::default(),
            team: None,
            credential: None,
            is_revoked: false,
            claim: Claim::of_route(&route),
            patient_until: None,
            yields: false,
            route,
            regions: RegionRule::default(),
            table: TableVersion(0),
            arrived: Mono::default(),
            deadline: Mono::default(),
            answer_by: Mono::default(),
            shards: services.into_iter().map(ShardProgress::new).collect(),
            responses: 0,
            min_shards: 0,
            attempts: 0,
            overdue: false,
            timer_at: Mono::MAX,
            groups: Vec::new(),
            reclaim_at: None,
            refusal: None,
            copy_hold: CopyHold::default(),
            gather: None,
        }
    }

    /// Returns true if the request goes to one server of each shard of an index.
    pub fn is_scatter(&self) -> bool {
        matches!(self.route.target, Target::Scatter(_))
    }

    /// Returns the number of servers that may run each shard now: one until a group is confirmed.
    pub fn allowed_attempts(&self) -> u32 {
        if self.is_confirmed() { self.route.max_attempts } else { 1.min(self.route.max_attempts) }
    }

    /// Returns true if a shard may be sent to another server.
    pub fn may_run(&self, shard: usize) -> bool {
        let possible_runs = self.shards[shard].possible_runs;
        if self.route.idempotent {
            possible_runs < self.allowed_attempts()
        } else {
            possible_runs == 0
        }
    }

    /// Keeps the response of a failed attempt if it can be forwarded when no server succeeds; returns
    /// the attempt whose response is not needed.
    pub fn keep_error(
        &mut self,
        shard: usize,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) -> Option<AttemptId> {
        let forwards = match outcome {
            AttemptOutcome::Error => true,
            // Its status makes the caller send the request again.
            AttemptOutcome::FalseRefusal => self.route.idempotent,
            _ => false,
        };
        if !forwards {
            return Some(attempt);
        }
        self.shards[shard].error_response.replace(attempt)
    }

    /// Returns the maximum number of records in the merged response.
    pub fn limit(&self) -> usize {
        match &self.route.target {
            Target::Scatter(scatter) => scatter.limit as usize,
            Target::Single(_) | Target::Split(_) => 0,
        }
    }

    /// Returns true if this is a group that is gathered for an origin entry.
    pub fn is_group(&self) -> bool {
        self.gather.is_some()
    }

    /// Returns false for a group that the origin entry may still reclaim, and true otherwise.
    pub fn is_confirmed(&self) -> bool {
        self.gather.as_ref().is_none_or(|g| g.confirmed)
    }

    /// Returns the attempts and groups whose responses are used, each once: a group stands for all
    /// its shards that were received.
    pub fn contributing_attempts(&self) -> IndexSet<AttemptId> {
        let attempts = self.shards.iter().filter_map(|s| match s.status {
            ShardStatus::Received(attempt) => Some(attempt),
            ShardStatus::Open | ShardStatus::Missing => None,
        });
        attempts.collect()
    }

    /// Counts the shards by status.
    pub fn shard_counts(&self) -> ShardCounts {
        let count = |is: fn(&ShardProgress) -> bool| self.shards.iter().filter(|s| is(s)).count();
        ShardCounts {
            sent: count(|s| !s.in_flight.is_empty()),
            waiting: count(ShardProgress::is_waiting),
            late: count(|s| s.status == ShardStatus::Open && !s.is_waiting()),
            missing: count(|s| s.status == ShardStatus::Missing),
        }
    }

    /// Returns true if an attempt ran or may have run.
    pub fn may_have_run(&self) -> bool {
        self.shards.iter().any(|s| s.possible_runs > 0)
    }

    /// Returns until when it may be queued for capacity.
    pub fn wait_until(&self) -> Mono {
        self.patient_until.unwrap_or(self.answer_by)
    }

    /// Returns the time by which it is ordered among the queued requests of its rank.
    pub fn queue_due(&self) -> Mono {
        if self.yields { self.wait_until() } else { self.answer_by }
    }

    /// Returns the time of the next decision that no event triggers.
    pub fn next_wake(&self) -> Mono {
        let hedges = self.shards.iter().filter_map(|s| s.hedge_at).min();
        let mut wake = self.deadline.min(hedges.unwrap_or(Mono::MAX));
        wake = wake.min(self.reclaim_at.unwrap_or(Mono::MAX));
        if !self.overdue {
            wake = wake.min(self.answer_by);
        } else if let Some(until) =
            self.patient_until.filter(|_| self.attempts == 0 && !self.is_group())
        {
            // A group is queued until its deadline: `Engine::end_wait` leaves it to its origin.
            wake = wake.min(until);
        }
        wake
    }
}

/// Returns when the response must leave to be within the objective of a request that arrived at
/// `arrived`. A caller that had to open a connection has already waited for one more round trip.
pub fn answer_by(arrived: Mono, objective: Duration, opened_connection: bool) -> Mono {
    let round_trips = if opened_connection { 2 } else { 1 };
    let margin = ROUND_TRIP_RESERVE * round_trips + objective / OBJECTIVE_RESERVE_DIVISOR;
    arrived + objective.saturating_sub(margin)
}
