//! Shard groups that one entry (the gathering entry) handles for another (the origin entry).

use hornbeam_model::{Fingerprint, Incarnation, InstanceId, Route, ServerId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Shard group that the origin entry delegates.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GatherRequest {
    /// Identifier of the group, unique on this connection.
    pub group: u64,
    /// Request id as the caller sent it.
    pub request: SmolStr,
    /// Route of the request, restricted to the shards of the group.
    pub route: Route,
    /// Request head for the servers, without the fields that the gathering entry adds and without
    /// the empty line at the end.
    pub head: Vec<u8>,
    /// Request body.
    pub body: Vec<u8>,
    /// Time until the shard responses are due, in microseconds.
    pub due_us: u64,
    /// Remaining time of the request, in microseconds.
    pub left_us: u64,
    /// Recognizes the request when the caller repeats it.
    pub fingerprint: Fingerprint,
    /// Part of the caller's request, in millionths, that counts as demand of the gathering entry;
    /// zero if it counts at the origin entry.
    pub demand_ppm: u32,
}

/// Messages from the origin entry to the gathering entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GatherUp {
    /// Names the sender; the first message of a connection.
    Hello {
        /// Origin entry.
        entry: InstanceId,
    },
    /// Delegates a group.
    Gather(Box<GatherRequest>),
    /// Leaves the group to the receiver, which from now on may also send hedged requests and
    /// retries within the usual limits.
    Confirm {
        /// Identifier of the group.
        group: u64,
    },
    /// Cancels a group, whose responses are no longer needed.
    Cancel {
        /// Identifier of the group.
        group: u64,
    },
    /// Asks for a [`GatherDown::HeartbeatReply`], to check that the receiver is alive.
    Heartbeat,
}

/// Response of one shard; its records are in [`GatheredResponses::records`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GatheredResponse {
    /// Position of the shard within the group.
    pub shard: u32,
    /// Signature of the server's response.
    pub signature: Vec<u8>,
}

/// Shard responses of a group, merged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GatheredResponses {
    /// Identifier of the group.
    pub group: u64,
    /// Shards whose responses this message adds.
    pub responses: Vec<GatheredResponse>,
    /// Greatest records of these responses, merged up to the result limit of the route.
    pub records: Vec<u8>,
    /// Positions of shards whose request queue is not empty, with the expected wait in
    /// milliseconds.
    pub waits: Vec<(u32, u32)>,
    /// True if this is the last message about the group.
    pub last: bool,
    /// Positions of shards that were sent to no server, because the gathering entry reaches none of
    /// theirs; only in the last message. A position increased by the number of shards of the group
    /// stands for a shard that no server ran for another reason; older builds ignore such positions.
    pub unsent: Vec<u32>,
}

/// Response of a server to a request for a single service; the last message about its group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardedResponse {
    /// Identifier of the group.
    pub group: u64,
    /// HTTP status.
    pub status: u16,
    /// Status line and header fields as the server sent them.
    pub head: Vec<u8>,
    /// Complete body.
    pub body: Vec<u8>,
    /// True if it is an error response of the server.
    pub is_error: bool,
}

/// Reason for which an entry refuses a group of which nothing has run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GroupRefusal {
    /// Too few servers are usable.
    NoServer,
    /// The servers or the entry have no capacity.
    Overloaded,
    /// Servers have ended under the request before.
    Quarantined,
}

/// Messages from the gathering entry to the origin entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GatherDown {
    /// The sender has started to handle a group.
    Begun {
        /// Identifier of the group.
        group: u64,
    },
    /// Shard responses of a group.
    Responses(GatheredResponses),
    /// The sender does not handle a group; no request was sent to its servers.
    Declined {
        /// Identifier of the group.
        group: u64,
    },
    /// The sender accepts groups; also the reply of such an entry to [`GatherUp::Heartbeat`].
    HeartbeatReply,
    /// The sender accepts no more groups; also the reply of such an entry to
    /// [`GatherUp::Heartbeat`].
    Leaving,
    /// Servers that stated in responses of a group that they are leaving, with their incarnations.
    ServersLeaving(Vec<(ServerId, Incarnation)>),
    /// Response of a server to a request for a single service.
    Forwarded(ForwardedResponse),
    /// The sender refuses a group; no request was sent to its servers, or none of them ran it.
    Refused {
        /// Identifier of the group.
        group: u64,
        /// Why it is refused.
        reason: GroupRefusal,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: Option<u32>,
    },
}
