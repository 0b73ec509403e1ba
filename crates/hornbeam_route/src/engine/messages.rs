//! What happens to an engine and what it wants done.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{
    AttemptId, Incarnation, InstanceId, QueryId, Route, Routing, ServerId, ServiceId, Zone,
};
use smol_str::SmolStr;

use super::GroupRequest;
use crate::budget::RetryBudgetParams;
use crate::decision::{AttemptKind, Decision};
use crate::peers::Peer;
use crate::request::Refusal;

/// What an engine needs to know of its entry.
#[derive(Clone, Debug)]
pub struct EngineParams {
    /// Availability zone of this entry.
    pub zone: Zone,
    /// Extra requests of the whole fleet.
    pub budget: RetryBudgetParams,
    /// Requests taken in at once; bounds the memory.
    pub max_in_flight: usize,
    /// Time for which an attempt that nobody waits for may go on, so that its connection can be used
    /// again, before it is broken off.
    pub linger: Duration,
    /// Shards of a search above which other entries collect groups of them.
    pub delegate_above: usize,
    /// Seed of the random choices.
    pub seed: u64,
}

/// A change of the servers, as an entry learns it.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerChange {
    /// The server takes requests on these terms.
    Usable {
        /// Its name.
        server: ServerId,
        /// Its start.
        incarnation: Incarnation,
        /// Its service.
        service: ServiceId,
        /// Where it takes requests.
        address: SocketAddr,
        /// Its zone.
        zone: Zone,
        /// Requests that it works on at once.
        slots: u32,
        /// Time for which it is still slow after its start.
        warm_up: Duration,
    },
    /// The server takes no new requests, for this reason.
    Unusable {
        /// Its name.
        server: ServerId,
        /// Why.
        reason: &'static str,
    },
}

/// A server that is not well.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerHealthReport {
    /// Its name.
    pub server: ServerId,
    /// Its latency relative to the usual one.
    pub slowness: f64,
    /// True if it gives no answers.
    pub unresponsive: bool,
}

/// What happens to an engine.
#[derive(Debug)]
pub enum Input {
    /// A caller's request.
    Request {
        /// Names the request within this entry.
        key: QueryId,
        /// Its id, as the caller gave it.
        id: SmolStr,
        /// The host it names.
        host: SmolStr,
        /// Its path, without the query.
        path: SmolStr,
        /// How long the caller waits, if it said so.
        patience: Option<Duration>,
        /// True if it is the first on its caller's connection.
        opened_connection: bool,
    },
    /// The caller of a request is gone.
    CallerGone(QueryId),
    /// An attempt came back.
    AttemptFinished {
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        outcome: AttemptOutcome,
    },
    /// Servers came, changed or went.
    Servers(Vec<ServerChange>),
    /// A routing table is in force.
    Table(Arc<Routing>),
    /// Entries that share budgets and connections.
    EntryCount(u32),
    /// What other entries have found out.
    PeerHealthReports(Vec<ServerHealthReport>),
    /// The other entries of the own zone.
    Peers(Vec<Peer>),
    /// Another entry was heard.
    PeerAlive(InstanceId),
    /// Another entry takes no more groups.
    PeerLeaving(InstanceId),
    /// Something became of a group that another entry collects.
    GroupEvent {
        /// The group.
        group: AttemptId,
        /// What.
        event: GroupEvent,
    },
    /// Another entry asks for a group of shards.
    Gather(GroupRequest),
    /// The entry that asked for a group leaves it to this one.
    GatherConfirmed(QueryId),
    /// Another entry needs a group no longer.
    GatherCancelled(QueryId),
    /// The process ends: every request gets its final answer now.
    Stop,
    /// Time has passed.
    Tick,
}

/// What becomes of a group that another entry collects.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupEvent {
    /// The other entry has begun with it.
    Started,
    /// Parts of it.
    ShardResponses {
        /// Positions within the group of the shards that are in with this.
        shards: Vec<usize>,
        /// Positions of shards whose queue is not empty, and the expected wait.
        queue_waits: Vec<(usize, Duration)>,
        /// True if nothing more comes.
        last: bool,
    },
    /// The other entry does not take it; nothing ran.
    Declined,
    /// The other entry cannot be reached; nothing ran.
    NotSent,
    /// The connection broke; it may have run.
    ConnectionLost,
}

/// A group of shards given to another entry.
#[derive(Clone, Debug)]
pub struct Delegation {
    /// Names the group.
    pub group: AttemptId,
    /// The request.
    pub request: QueryId,
    /// The other entry.
    pub peer: InstanceId,
    /// Where it takes groups.
    pub address: SocketAddr,
    /// The route, with the shards of the group only.
    pub route: Route,
    /// Time until its parts are due.
    pub due_in: Duration,
    /// Time left for the request.
    pub remaining: Duration,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A whole successful answer to this very request.
    Answered,
    /// A whole answer of the server that is a failure; the request ran.
    Error,
    /// The server states that it did not run the request.
    NotRun,
    /// Another server has the address; the request did not run.
    WrongServer,
    /// Nothing reached the server.
    NotSent,
    /// The answer was lost or is not one; the request may have run.
    Lost,
}

impl AttemptOutcome {
    /// The outcome as words.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Error => "error",
            Self::NotRun => "not run",
            Self::WrongServer => "wrong server",
            Self::NotSent => "not sent",
            Self::Lost => "lost",
        }
    }
}

/// An attempt to send.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Names the attempt.
    pub id: AttemptId,
    /// Why it is sent.
    pub kind: AttemptKind,
    /// The request.
    pub request: QueryId,
    /// The server that must answer it.
    pub server: ServerId,
    /// Where it is.
    pub address: SocketAddr,
    /// Connections that this entry may have to it.
    pub share: u32,
    /// Time left for the answer.
    pub remaining: Duration,
}

/// How a request ends.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion {
    /// The answer of this attempt is handed on.
    Forward(AttemptId),
    /// The answers of these attempts are merged.
    Merge {
        /// The attempts and groups whose parts are in.
        attempts: Vec<AttemptId>,
        /// Shards that are left out.
        missing: usize,
        /// Records in the answer.
        limit: usize,
    },
    /// There is no answer.
    Refuse(Refusal),
}

/// What an engine wants done.
#[derive(Debug)]
pub enum Output {
    /// Send an attempt.
    SendAttempt(Attempt),
    /// Break off an attempt.
    Abort(AttemptId),
    /// Nobody needs what this attempt or group brought.
    Discard(AttemptId),
    /// Give a group of shards to another entry.
    Delegate(Delegation),
    /// Tell another entry that it may send the shards of a group as often as is allowed.
    ConfirmGroup(AttemptId),
    /// Tell another entry that a group is not needed any more.
    CancelGroup(AttemptId),
    /// Ask another entry whether it is back.
    ProbePeer {
        /// The entry.
        peer: InstanceId,
        /// Where it takes groups.
        address: SocketAddr,
    },
    /// Tell the entry that asked for a group what is in.
    GroupResponses {
        /// The group.
        request: QueryId,
        /// Positions within the group and the attempts that brought their parts.
        responses: Vec<(usize, AttemptId)>,
        /// Positions of shards whose queue is not empty, and the expected wait.
        queue_waits: Vec<(usize, Duration)>,
        /// Records in the merged answer.
        limit: usize,
        /// True if nothing more comes.
        last: bool,
    },
    /// Tell the entry that asked for a group that it is not taken.
    DeclineGroup(QueryId),
    /// Tell the caller.
    Complete {
        /// The request.
        request: QueryId,
        /// How it ends.
        completion: Completion,
    },
    /// Write to the log.
    Log(Decision),
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// First attempts, hedges, retries and probes sent.
    pub attempts: [u64; 4],
    /// Hedges that the budget did not allow.
    pub hedges_denied: u64,
    /// Attempts broken off.
    pub aborted: u64,
}
