//! Groups of shards that one entry collects for another.

use hornbeam_model::{InstanceId, Route};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A group of shards that the sender needs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GatherRequest {
    /// Names the group on this connection.
    pub group: u64,
    /// Id of the request, as the caller gave it.
    pub request: SmolStr,
    /// The route, with the shards of the group only.
    pub route: Route,
    /// Head of the request as servers get it, without the fields of an entry and the empty line.
    pub head: Vec<u8>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Time until the parts are due, in microseconds.
    pub due_us: u64,
    /// Time left for the request, in microseconds.
    pub left_us: u64,
}

/// From the entry that needs groups to the one that collects them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GatherUp {
    /// Comes first.
    Hello {
        /// The sender.
        entry: InstanceId,
    },
    /// Asks for a group.
    Gather(Box<GatherRequest>),
    /// The group is left to the receiver, which may send its shards as often as is allowed.
    Confirm {
        /// Its name.
        group: u64,
    },
    /// The group is not needed any more.
    Cancel {
        /// Its name.
        group: u64,
    },
    /// Asks whether the other entry is there.
    Heartbeat,
}

/// The part of one shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GatheredResponse {
    /// Position of the shard within the group.
    pub shard: u32,
    /// Signature of its server's answer.
    pub signature: Vec<u8>,
}

/// Parts of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GatheredResponses {
    /// The group.
    pub group: u64,
    /// Shards that are in with this message.
    pub responses: Vec<GatheredResponse>,
    /// The greatest records of these parts.
    pub records: Vec<u8>,
    /// Positions of shards whose queue is not empty, and the expected wait in milliseconds.
    pub waits: Vec<(u32, u32)>,
    /// True if nothing more comes of the group.
    pub last: bool,
}

/// From the entry that collects groups.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GatherDown {
    /// It has begun with a group.
    Begun {
        /// Its name.
        group: u64,
    },
    /// Parts of a group.
    Responses(GatheredResponses),
    /// It does not take a group; nothing ran.
    Declined {
        /// Its name.
        group: u64,
    },
    /// It is there; answers a probe.
    HeartbeatReply,
    /// It takes no more groups.
    Leaving,
}
