//! Routing decisions and their reasons, as written to the decision log.

use std::fmt::Display;

use hornbeam_model::{
    AttemptId, Fingerprint, InstanceId, OrderIndex, RequestRate, RouteId, ServerId, ServiceId,
    TableVersion, TeamId, Zone,
};
use serde::{Serialize, Serializer};
use smol_str::SmolStr;

use crate::request::RefusalKind;

/// Reason for which an attempt is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptKind {
    /// First attempt for the shard.
    First,
    /// Second attempt, because the first server is late.
    Hedge,
    /// Attempt after the previous server failed or refused the request.
    Retry,
    /// First attempt for the shard, at an ejected server.
    Probe,
}

impl AttemptKind {
    /// Returns the label of the kind in metrics and in the decision log.
    pub fn label(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
            Self::Probe => "probe",
        }
    }
}

/// Reason for which another entry did not gather a delegated group.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupFailure {
    /// The entry accepts no groups; nothing ran.
    Declined,
    /// No connection to the entry could be opened; nothing ran.
    Unreachable,
    /// The entry did not start gathering in time; requests may have run.
    NotBegun,
    /// The connection to the entry was lost; requests may have run.
    Lost,
}

impl GroupFailure {
    /// Returns true if no request of the group has run.
    pub fn has_not_run(self) -> bool {
        matches!(self, Self::Declined | Self::Unreachable)
    }
}

/// A decision with its reasons. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Decision {
    /// A request was admitted. `waiting` of its shards are queued for capacity, `lacking` have no
    /// server.
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
    /// An attempt was sent to a server; `cost` is the estimate by which the server was chosen.
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
    /// The key of a running request was revoked; `dropped` shards that were queued are not sent.
    KeyRevoked { request: SmolStr, dropped: usize, in_flight: usize, groups: usize },
    /// No hedge was sent for a late shard, because the retry budget is exhausted.
    HedgeDenied { request: SmolStr, service: ServiceId, entries: u32 },
    /// The shards of a search were delegated to other entries in groups.
    Delegated { request: SmolStr, shards: usize, groups: usize, peers: usize },
    /// Another entry did not gather a group; this entry handles `sent_from_here` of its shards
    /// itself.
    GroupFailed {
        request: SmolStr,
        peer: InstanceId,
        reason: GroupFailure,
        after_ms: u64,
        shards: usize,
        sent_from_here: usize,
    },
    /// Shards that this entry cannot reach are gathered by another entry; `before` counts how often
    /// they were relayed already.
    Relayed { request: SmolStr, peer: InstanceId, shards: usize, before: u32 },
    /// Another entry refused to gather a group; nothing of it ran.
    GroupRefused {
        request: SmolStr,
        peer: InstanceId,
        reason: RefusalKind,
        after_ms: u64,
        shards: usize,
    },
    /// This entry gathers a shard group for another entry.
    Gathering {
        request: SmolStr,
        route: RouteId,
        due_ms: u64,
        shards: usize,
        sent: usize,
        waiting: usize,
        lacking: usize,
    },
    /// Gathering a group has ended; the counts are those of `Answered`.
    Gathered {
        request: SmolStr,
        took_ms: u64,
        parts: usize,
        missing: usize,
        waiting: usize,
        late: usize,
        sends: u32,
    },
    /// Another entry gets no groups: it did not respond, until a message from it arrives, or it states
    /// that it gathers none, until it states the opposite.
    PeerSuspected { peer: InstanceId },
    /// Another entry gets groups again.
    PeerRestored { peer: InstanceId },
    /// An attempt ended without a successful response.
    AttemptFailed {
        request: SmolStr,
        #[serde(serialize_with = "serialize_text")]
        fingerprint: Fingerprint,
        attempt: AttemptId,
        kind: AttemptKind,
        server: ServerId,
        outcome: &'static str,
        after_ms: u64,
        retried: bool,
    },
    /// A request ended with a response. Of its missing shards, `waiting` were still queued for
    /// capacity, `late` were sent or delegated without a response yet, and the rest had failed.
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
    /// A request was refused, on arrival or later.
    Refused {
        request: SmolStr,
        route: Option<RouteId>,
        #[serde(skip_serializing_if = "Option::is_none")]
        team: Option<TeamId>,
        reason: RefusalKind,
        took_ms: u64,
        parts: usize,
        sends: u32,
        retry_after_ms: Option<u64>,
        /// Longest queue of the services of the route, and the sum of their usable servers. On
        /// arrival: all running requests and all usable servers.
        queue: usize,
        usable: usize,
    },
    /// The caller disconnected before its response was ready.
    CallerGone { request: SmolStr, took_ms: u64, sends: u32 },
    /// A server was ejected after failures.
    Ejected { server: ServerId, service: ServiceId, failures: u32, for_ms: u64 },
    /// An ejected server responded and is used again.
    Restored { server: ServerId, service: ServiceId },
    /// The servers of a zone have become silent together; the zone is probed at intervals.
    ZoneUnreachable { zone: SmolStr },
    /// A server of an unreachable zone responded.
    ZoneRestored { zone: SmolStr },
    /// An operator ordered that nothing is sent to the `servers` of a zone any more.
    ZoneEvacuated { zone: Zone, index: OrderIndex, servers: usize },
    /// The evacuation of a zone has ended: its `servers` are used again.
    ZoneReturned { zone: Zone, index: OrderIndex, servers: usize },
    /// This entry reaches no server: `silent` of the `usable` ones have not responded to it, and no
    /// other one has responded meanwhile.
    ServersLost { silent: usize, usable: usize },
    /// A server is reachable again after this entry reached none.
    ServersReached { after_ms: u64 },
    /// A server asked for a pause in its refusal; it gets nothing for this time.
    ServerPaused { request: SmolStr, server: ServerId, service: ServiceId, for_ms: u64 },
    /// A server asked for a pause of a time that cannot be read; the refusal counts as load
    /// shedding only.
    PauseIgnored { request: SmolStr, server: ServerId },
    /// A server has ended while a request was in flight there. The request has now ended `crashes`
    /// servers one after the other, as far as no response has cleared it.
    ServerEnded {
        server: ServerId,
        #[serde(serialize_with = "serialize_text")]
        fingerprint: Fingerprint,
        crashes: usize,
    },
    /// Several servers have ended under a search. Its second copies wait until the servers are checked
    /// or one responds.
    CopiesHeld {
        request: SmolStr,
        #[serde(serialize_with = "serialize_text")]
        fingerprint: Fingerprint,
    },
    /// A request is not sent to servers any more, because it has ended `crashes` servers.
    Quarantined {
        #[serde(serialize_with = "serialize_text")]
        fingerprint: Fingerprint,
        crashes: usize,
    },
    /// A server states another rate of requests that it accepts from all entries together, or none
    /// any more. `entries` share it.
    ServerRate { server: ServerId, service: ServiceId, rate: Option<RequestRate>, entries: u32 },
    /// A server is cold for `left_ms` and bears this rate of requests of all `entries` together.
    ServerCold {
        server: ServerId,
        service: ServiceId,
        rate: RequestRate,
        left_ms: u64,
        entries: u32,
    },
    /// A shard waits because `cold` servers of its service bear no other request of this entry yet; the
    /// next one of them does in `wait_ms`.
    ColdWait { request: SmolStr, service: ServiceId, cold: usize, wait_ms: u64 },
    /// A server stated a rate that cannot be read; what it stated before holds.
    RateIgnored { request: SmolStr, server: ServerId },
    /// Requests of a service begin to leave for another zone, or no longer do if `share` is zero. The
    /// uses are parts of the time allowed: at home, there and when no zone is short of capacity.
    ZoneSpill {
        service: ServiceId,
        zone: SmolStr,
        share: f64,
        home_use: Option<f64>,
        away_use: Option<f64>,
        usual_use: f64,
        min_gain: f64,
        waiting: usize,
    },
    /// A server stated a load that cannot be read; it is left out.
    LoadIgnored { request: SmolStr, server: ServerId },
    /// A server became usable, changed or became unusable.
    ServerChanged { server: ServerId, service: ServiceId, usable: bool, why: &'static str },
    /// A team exceeds its quota, from now on if it was within it for a second; `alone` is true if this
    /// entry hears no controller and uses an equal part of the quota.
    TeamOverQuota { team: TeamId, asked: RequestRate, retry_after_ms: u64, alone: bool },
    /// A routing table is in force.
    TableInForce { table: TableVersion, routes: usize },
}

/// Writes a value as its text.
fn serialize_text<S: Serializer>(value: &impl Display, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

impl Decision {
    /// Returns true if the decision reports a failure; these take precedence when the log is
    /// bounded.
    pub fn is_failure(&self) -> bool {
        matches!(
            self,
            Self::HedgeDenied { .. }
                | Self::AttemptFailed { .. }
                | Self::Refused { .. }
                | Self::CallerGone { .. }
                | Self::Ejected { .. }
                | Self::ServerPaused { .. }
                | Self::ZoneUnreachable { .. }
                | Self::ServersLost { .. }
                | Self::PauseIgnored { .. }
                | Self::RateIgnored { .. }
                | Self::LoadIgnored { .. }
                | Self::TeamOverQuota { .. }
                | Self::ServerEnded { .. }
                | Self::Quarantined { .. }
                | Self::CopiesHeld { .. }
                | Self::GroupFailed { .. }
                | Self::GroupRefused { .. }
                | Self::PeerSuspected { .. }
        ) || matches!(self, Self::Answered { missing, .. } | Self::Gathered { missing, .. } if *missing > 0)
    }
}
