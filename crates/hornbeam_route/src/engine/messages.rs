//! Inputs and outputs of the engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{
    AttemptId, CrashReport, Fingerprint, FleetUsage, Incarnation, InstanceId, KeyDigest, Mono,
    QueryId, RateReport, RequestRate, Route, Routing, ServerId, ServiceId, TeamId, Zone,
    ZoneOrders,
};
use smol_str::SmolStr;

use super::GroupRequest;
use crate::budget::RetryBudgetParams;
use crate::contact::ControllerContact;
use crate::decision::{AttemptKind, Decision};
use crate::notice::{LeavingServer, ServerNotice};
use crate::peers::{Peer, ProbePath};
use crate::quota::QuotaBounds;
use crate::request::Refusal;

/// Parameters of an engine.
#[derive(Clone, Debug)]
pub struct EngineParams {
    /// Instance name of this entry.
    pub name: InstanceId,
    /// Availability zone of this entry.
    pub zone: Zone,
    /// Retry budget of all entries together.
    pub budget: RetryBudgetParams,
    /// How far the requests in a window may exceed a team's quota.
    pub quota: QuotaBounds,
    /// Maximum number of concurrent requests and gathered groups; bounds the memory.
    pub max_in_flight: usize,
    /// Time that an attempt may continue after its response is no longer needed, so that its
    /// connection can be reused, before it is aborted.
    pub linger: Duration,
    /// Number of shards above which a search is delegated to other entries in groups.
    pub delegate_above: usize,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A change in the set of servers.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerChange {
    /// The server accepts requests, with these properties.
    Usable {
        /// Identifies the server across restarts.
        server: ServerId,
        /// Identifies one start of the server.
        incarnation: Incarnation,
        /// Service whose requests it handles.
        service: ServiceId,
        /// Address on which it accepts requests.
        address: SocketAddr,
        /// Availability zone of the server.
        zone: Zone,
        /// Number of requests that it processes concurrently.
        slots: u32,
        /// Time from now on during which it is still warming up.
        warm_up: Duration,
    },
    /// The server accepts no new requests.
    Unusable {
        /// Identifies the server.
        server: ServerId,
        /// Reason, as written to the decision log.
        reason: &'static str,
    },
}

/// Report on an unhealthy server, as exchanged between entries.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerHealthReport {
    /// Identifies the server.
    pub server: ServerId,
    /// Latency relative to the usual one, which is 1.0.
    pub slowness: f64,
    /// True if the server does not respond and is ejected.
    pub unresponsive: bool,
}

/// An event that the engine handles.
#[derive(Debug)]
pub enum Input {
    /// A request of a caller arrived.
    Request {
        /// Identifies the request within this entry.
        key: QueryId,
        /// Request id, as sent by the caller.
        id: SmolStr,
        /// Recognizes the request when the caller repeats it.
        fingerprint: Fingerprint,
        /// Digest of the key that the caller sent.
        credential: Option<KeyDigest>,
        /// Host that the request names.
        host: SmolStr,
        /// Path without the query string.
        path: SmolStr,
        /// How long the caller is willing to wait, if the request states it.
        patience: Option<Duration>,
        /// True if it is the first request on the caller's connection.
        opened_connection: bool,
    },
    /// The caller of a request disconnected.
    CallerGone(QueryId),
    /// An attempt ended.
    AttemptFinished {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Result of the attempt.
        outcome: AttemptOutcome,
        /// What the server stated about itself in the response.
        notice: ServerNotice,
    },
    /// Servers were added, changed or removed.
    Servers(Vec<ServerChange>),
    /// A new routing table is in force.
    Table(Arc<Routing>),
    /// The controllers stated the versions of their routing tables.
    ControllerContact(ControllerContact),
    /// The zones whose servers are evacuated, as one controller states them.
    ZoneOrders(ZoneOrders),
    /// Other entries learned that servers are leaving.
    ServersLeaving(Vec<LeavingServer>),
    /// This entry is isolated from the rest of the fleet, or no longer.
    Isolated(bool),
    /// Number of entries that share the retry budget and the connections to servers.
    EntryCount(u32),
    /// Whether this entry has no fresh feed of some controller.
    CutOff(bool),
    /// Request rate of all entries together.
    FleetDemand(RequestRate),
    /// Other entries reported unhealthy servers.
    PeerHealthReports(Vec<ServerHealthReport>),
    /// A controller reported the rates that servers state, with the demand at all entries together.
    RateReports(Vec<RateReport>),
    /// A controller reported the use of the teams' quotas.
    TeamUsage {
        /// The controller.
        controller: InstanceId,
        /// Its report.
        usage: FleetUsage,
    },
    /// A controller reported requests that were in flight at servers that ended.
    CrashReports(Vec<CrashReport>),
    /// The result of [`Output::CheckServer`].
    ServerChecked {
        /// Identifies the server.
        server: ServerId,
        /// Start of the server that was checked.
        incarnation: Incarnation,
        /// True if nothing listens at its address any more, while another server accepts
        /// connections.
        has_ended: bool,
    },
    /// The other entries of this entry's zone, as a complete list.
    Peers(Vec<Peer>),
    /// A message from another entry arrived.
    PeerAlive(InstanceId),
    /// Another entry states that it gathers groups.
    PeerAccepting(InstanceId),
    /// Another entry states that it gathers no more groups.
    PeerDeclining(InstanceId),
    /// The result of [`Output::ProbeServer`]: true if a connection to the server was opened.
    ServerProbed {
        /// Whether the server is reachable.
        reachable: bool,
    },
    /// The status of a delegated group changed.
    GroupEvent {
        /// Identifies the group.
        group: AttemptId,
        /// What happened to it.
        event: GroupEvent,
    },
    /// Another entry delegates a shard group to this one.
    Gather(GroupRequest),
    /// The origin entry confirmed that it does not reclaim a group.
    GatherConfirmed(QueryId),
    /// The origin entry cancelled a group.
    GatherCancelled(QueryId),
    /// The process is stopping: every request gets its final response now.
    Stop,
    /// This entry ends all its requests at this time. Requests whose response would be due later are
    /// refused from now on.
    StopAt(Mono),
    /// Time has passed; timers that are due run with every input.
    Tick,
}

/// Report on a group by the entry that gathers it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupReport {
    /// Positions within the group of the shards whose responses come with the report.
    pub shards: Vec<usize>,
    /// Positions within the group of shards whose queue is not empty, and the expected wait.
    pub queue_waits: Vec<(usize, Duration)>,
    /// True if this is the last report on the group.
    pub last: bool,
    /// Positions within the group of shards that were sent to no server, because the gathering entry
    /// reaches none of theirs; beyond the group for those that were not run for another reason. Set
    /// only in the last report.
    pub unsent: Vec<usize>,
}

/// An event of a group that is delegated to another entry.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupEvent {
    /// The gathering entry has started.
    Started,
    /// Shard responses arrived.
    ShardResponses(GroupReport),
    /// The response of a server to a request for a single service arrived; the group has ended.
    Forwarded {
        /// Result of the attempt: [`Answered`](AttemptOutcome::Answered) or a response of a server that
        /// failed.
        outcome: AttemptOutcome,
    },
    /// The other entry refused the group for this reason; nothing ran.
    Refused(Refusal),
    /// The other entry gathers no groups; nothing ran.
    Declined,
    /// No connection to the other entry could be opened; nothing ran.
    NotSent,
    /// The connection was lost; requests of the group may have run.
    ConnectionLost,
}

/// A shard group to delegate to another entry.
#[derive(Clone, Debug)]
pub struct Delegation {
    /// Identifies the group.
    pub group: AttemptId,
    /// Request that the shards belong to.
    pub request: QueryId,
    /// Entry that gathers the group.
    pub peer: InstanceId,
    /// Address on which it accepts groups.
    pub address: SocketAddr,
    /// Route with only the shards of the group.
    pub route: Route,
    /// Time until the shard responses are due.
    pub due_in: Duration,
    /// Time until the deadline of the request.
    pub remaining: Duration,
    /// Part of the request, in millionths, that counts as demand of the gathering entry.
    pub demand_ppm: u32,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A complete successful response to this request.
    Answered,
    /// A complete error response of the server; the request ran.
    Error,
    /// A complete error response whose status tells callers that the request has not run, without a
    /// statement of the server that it did not; the request ran.
    FalseRefusal,
    /// The server states that it did not run the request.
    NotRun,
    /// The address belongs to another server; the request did not run.
    WrongServer,
    /// Nothing reached the server.
    NotSent,
    /// The attempt was not sent, because [`Engine::may_send`](super::Engine::may_send) did not
    /// allow it any more.
    Withheld,
    /// The connection ended without a complete response; the request may have run.
    ConnectionLost,
    /// The response is invalid or belongs to another request; the request may have run.
    Lost,
}

impl AttemptOutcome {
    /// Returns true if the server at the address responded.
    pub fn is_response(self) -> bool {
        self.has_run() || matches!(self, Self::NotRun | Self::WrongServer)
    }

    /// Returns true if the server at the address ran the request and responded.
    pub fn has_run(self) -> bool {
        matches!(self, Self::Answered | Self::Error | Self::FalseRefusal)
    }

    /// Returns the label of the outcome in metrics and in the decision log.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Error => "error",
            Self::FalseRefusal => "false refusal",
            Self::NotRun => "not run",
            Self::WrongServer => "wrong server",
            Self::NotSent => "not sent",
            Self::Withheld => "withheld",
            Self::ConnectionLost => "connection lost",
            Self::Lost => "lost",
        }
    }
}

/// An attempt for the entry to send.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Identifies the attempt.
    pub id: AttemptId,
    /// Reason for which it is sent.
    pub kind: AttemptKind,
    /// Request to send.
    pub request: QueryId,
    /// Server that must respond; a response of another one is rejected.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Connections that this entry may open to the server.
    pub share: u32,
    /// True if the server is in another zone than this entry.
    pub leaves_zone: bool,
    /// Time until the deadline of the request.
    pub remaining: Duration,
}

/// How the response to the caller is produced.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion {
    /// The response of this attempt is forwarded.
    Forward(AttemptId),
    /// Shard responses are merged.
    Merge {
        /// Attempts and groups whose responses are merged.
        attempts: Vec<AttemptId>,
        /// Number of shards without a response.
        missing: usize,
        /// Maximum number of records in the response.
        limit: usize,
    },
    /// The request is refused.
    Refuse(Refusal),
}

/// What the head of a request states to servers about the team of its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TeamField {
    /// The team that holds the key of the request.
    Team(TeamId),
    /// What the caller sent: the routing table has no teams.
    AsReceived,
}

/// An action that the entry performs for the engine.
#[derive(Debug)]
pub enum Output {
    /// Send an attempt.
    SendAttempt(Attempt),
    /// Abort an attempt by closing its connection.
    Abort(AttemptId),
    /// Complete the head of a request, before its first attempt and group.
    SetTeamField {
        /// The request.
        request: QueryId,
        /// What its head states about the team.
        field: TeamField,
    },
    /// Discard the response of an attempt or group.
    Discard(AttemptId),
    /// Close the idle connections to a server.
    CloseIdle(ServerId),
    /// Check whether a server has ended, and report the result as [`Input::ServerChecked`].
    CheckServer {
        /// Identifies the server.
        server: ServerId,
        /// Start of the server.
        incarnation: Incarnation,
        /// Address on which it accepted requests.
        address: SocketAddr,
        /// Other servers; if there are some and none accepts a connection, the check shows nothing.
        witnesses: Vec<(ServerId, SocketAddr)>,
    },
    /// Delegate a shard group to another entry.
    Delegate(Delegation),
    /// Confirm to the gathering entry that a group is not reclaimed, so that it may hedge and
    /// retry.
    ConfirmGroup(AttemptId),
    /// Cancel a group at the gathering entry.
    CancelGroup(AttemptId),
    /// Probe an entry that gets no groups.
    ProbePeer {
        /// The entry.
        peer: InstanceId,
        /// Address on which it accepts groups.
        address: SocketAddr,
        /// Connection to probe it on.
        path: ProbePath,
    },
    /// Report shard responses of a gathered group to the origin entry.
    GroupResponses {
        /// Identifies the group within this entry.
        request: QueryId,
        /// Positions within the group and the attempts with their responses.
        responses: Vec<(usize, AttemptId)>,
        /// Positions within the group of shards whose queue is not empty, and the expected wait.
        queue_waits: Vec<(usize, Duration)>,
        /// Servers that are leaving, as they stated in these responses or earlier ones.
        leaving: Vec<LeavingServer>,
        /// Maximum number of records in the merged response.
        limit: usize,
        /// True if this is the last report of the group.
        last: bool,
        /// Positions within the group of shards that were sent to no server, because this entry
        /// reaches none of theirs; beyond the group for those that were not run for another reason.
        unsent: Vec<usize>,
    },
    /// Forward a server's response to the origin entry of a gathered request, which ends the group.
    ForwardToOrigin {
        /// Identifies the group within this entry.
        request: QueryId,
        /// Attempt with the response.
        attempt: AttemptId,
        /// True if it is an error response of the server.
        is_error: bool,
        /// Servers that are leaving, as they stated in their responses to this group.
        leaving: Vec<LeavingServer>,
    },
    /// Decline a group that another entry delegated, since this entry gathers none.
    DeclineGroup(QueryId),
    /// Refuse a group that another entry delegated; no server has run anything of it.
    RefuseGroup {
        /// Identifies the group within this entry.
        request: QueryId,
        /// Why, and when the caller may come back.
        refusal: Refusal,
    },
    /// Tell the connected entries whether this entry gathers groups.
    AnnounceAvailability,
    /// Open a connection to a server, and report the result as [`Input::ServerProbed`].
    ProbeServer {
        /// Identifies the server.
        server: ServerId,
        /// Address on which it accepts requests.
        address: SocketAddr,
    },
    /// Send the response to the caller.
    Complete {
        /// Request that has ended.
        request: QueryId,
        /// How its response is produced.
        completion: Completion,
    },
    /// Write a decision to the log.
    Log(Decision),
}

/// Counters since the start of the engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Attempts sent: first ones, hedges, retries and probes, in this order.
    pub attempts: [u64; 4],
    /// Hedges denied by the retry budget.
    pub hedges_denied: u64,
    /// Attempts aborted.
    pub aborted: u64,
}
