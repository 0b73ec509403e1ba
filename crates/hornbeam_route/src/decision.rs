//! What was decided and why, for the log.

use hornbeam_model::{AttemptId, InstanceId, RouteId, ServerId, ServiceId, TableVersion};
use serde::Serialize;
use smol_str::SmolStr;

use crate::request::RefusalKind;

/// Why a request is sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptKind {
    /// For the first time.
    First,
    /// Once more, since the first server is late.
    Hedge,
    /// Once more, since the server before failed or refused.
    Retry,
    /// For the first time, to a server that failed lately.
    Probe,
}

impl AttemptKind {
    /// The kind as a word.
    pub fn label(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
            Self::Probe => "probe",
        }
    }
}

/// Why another entry did not collect a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupFailure {
    /// It takes no groups; nothing ran.
    Declined,
    /// There is no connection to it; nothing ran.
    Unreachable,
    /// It did not begin in time.
    NotBegun,
    /// The connection broke.
    Lost,
}

impl GroupFailure {
    /// True if nothing of the group has run.
    pub fn has_not_run(self) -> bool {
        matches!(self, Self::Declined | Self::Unreachable)
    }
}

/// What was decided and why. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Decision {
    /// A request was taken in; `waiting` of its shards wait for room, `lacking` have no server.
    Admitted {
        request: SmolStr,
        route: RouteId,
        table: TableVersion,
        deadline_ms: u64,
        shards: usize,
        sent: usize,
        waiting: usize,
        lacking: usize,
    },
    /// A request was sent to a server; `cost` is the estimate by which the server was chosen.
    Sent {
        request: SmolStr,
        attempt: AttemptId,
        kind: AttemptKind,
        service: ServiceId,
        server: ServerId,
        cost: f64,
        outstanding: usize,
        left_ms: u64,
    },
    /// No second request was sent to a late shard: the budget is used up.
    HedgeDenied { request: SmolStr, service: ServiceId, entries: u32 },
    /// The shards of a search were given to other entries in groups.
    Delegated { request: SmolStr, shards: usize, groups: usize, peers: usize },
    /// Another entry did not collect a group; `sent_from_here` of its shards are sent by this one.
    GroupFailed {
        request: SmolStr,
        peer: InstanceId,
        reason: GroupFailure,
        after_ms: u64,
        shards: usize,
        sent_from_here: usize,
    },
    /// This entry collects a group of shards for another one.
    Gathering {
        request: SmolStr,
        route: RouteId,
        due_ms: u64,
        shards: usize,
        sent: usize,
        waiting: usize,
        lacking: usize,
    },
    /// A group that this entry collects has ended; numbers as in `Answered`.
    Gathered {
        request: SmolStr,
        took_ms: u64,
        parts: usize,
        missing: usize,
        waiting: usize,
        late: usize,
        sends: u32,
    },
    /// Another entry is given no groups until it is heard again.
    PeerSuspected { peer: InstanceId },
    /// Another entry is given groups again.
    PeerRestored { peer: InstanceId },
    /// A server did not give an answer that counts.
    AttemptFailed {
        request: SmolStr,
        attempt: AttemptId,
        kind: AttemptKind,
        server: ServerId,
        outcome: &'static str,
        after_ms: u64,
        retried: bool,
    },
    /// A request ended with an answer. Of the shards that it lacks, `waiting` found no room at a server,
    /// `late` were out, and the rest had failed.
    Answered {
        request: SmolStr,
        route: RouteId,
        took_ms: u64,
        parts: usize,
        missing: usize,
        waiting: usize,
        late: usize,
        sends: u32,
    },
    /// A request ended without an answer.
    Refused {
        request: SmolStr,
        route: Option<RouteId>,
        reason: RefusalKind,
        took_ms: u64,
        parts: usize,
        sends: u32,
        retry_after_ms: Option<u64>,
        /// Requests that wait for the same service, and its usable servers.
        queue: usize,
        usable: usize,
    },
    /// The caller left before its answer.
    CallerGone { request: SmolStr, took_ms: u64, sends: u32 },
    /// A server is avoided after failures.
    Ejected { server: ServerId, service: ServiceId, failures: u32, for_ms: u64 },
    /// A server is used again.
    Restored { server: ServerId, service: ServiceId },
    /// A server is usable or not any more.
    ServerChanged { server: ServerId, service: ServiceId, usable: bool, why: &'static str },
    /// A routing table came into force.
    TableInForce { table: TableVersion, routes: usize },
}

impl Decision {
    /// True if it tells of something that went wrong; these go before the others when the log is
    /// bounded.
    pub fn is_failure(&self) -> bool {
        matches!(
            self,
            Self::HedgeDenied { .. }
                | Self::AttemptFailed { .. }
                | Self::Refused { .. }
                | Self::CallerGone { .. }
                | Self::Ejected { .. }
                | Self::GroupFailed { .. }
                | Self::PeerSuspected { .. }
        ) || matches!(self, Self::Answered { missing, .. } | Self::Gathered { missing, .. } if *missing > 0)
    }
}
