//! What backend servers claim of themselves, and the feed of a controller to its entries.

use std::net::SocketAddr;
use std::sync::Arc;

use hornbeam_model::{
    Incarnation, InstanceId, Routing, RoutingDelta, ServerId, ServiceId, TableVersion, Zone,
};
use serde::{Deserialize, Serialize};

/// How far a server is in its life; within one incarnation it only rises.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LifeStage {
    /// Takes requests.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Has left.
    Gone,
}

/// Orders the claims of one server: the later incarnation, then the later stage, then the later
/// heartbeat.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimOrder {
    /// When the server started, in milliseconds since 1970.
    pub incarnation: Incarnation,
    /// How far it is.
    pub stage: LifeStage,
    /// Number of the heartbeat within the incarnation.
    pub seq: u64,
}

/// What a server says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerClaim {
    /// Its name.
    pub server: ServerId,
    /// Its place among other claims of the same server.
    pub order: ClaimOrder,
    /// What it offers; nothing in a claim that only says that it is gone.
    #[serde(rename = "offer")]
    pub info: Option<ServerInfo>,
}

/// What a server offers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerInfo {
    /// The service.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Time from this claim for which it is still slow after its start, in milliseconds.
    pub warm_up_ms: u32,
}

/// One change of what a controller knows of the servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FeedChange {
    /// A server claims something new.
    Claim(ServerClaim),
    /// No heartbeat of the server has come here for the whole lease; another controller may have it.
    Lapsed(ServerId),
}

/// The controllers and entries that a controller hears.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Controllers heard lately, the sender included.
    pub controllers: Vec<InstanceId>,
    /// Entries that follow the sender.
    pub entries: u32,
    /// Version of the routing table that the sender has.
    pub table: TableVersion,
}

/// An entry that collects groups of shards for others of its zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryInfo {
    /// Its name.
    pub entry: InstanceId,
    /// Where it takes groups.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
}

/// What an entry has found out about a server that is not well.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HealthReport {
    /// The server.
    pub server: ServerId,
    /// Its latency relative to the usual one, in tenths.
    pub slowness_tenths: u16,
    /// True if it gives no answers.
    pub unresponsive: bool,
}

/// From a controller to an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FeedDown {
    /// All that the controller knows of the servers; comes first.
    Servers(Vec<ServerClaim>),
    /// What changed since.
    Changes(Vec<FeedChange>),
    /// Comes at least every [`FEED_HEARTBEAT_INTERVAL_MS`] and with each new routing table.
    FleetStatus(FleetStatus),
    /// What leads from the entry's routing table to the controller's.
    TableDelta(Box<RoutingDelta>),
    /// The whole routing table.
    Table(Arc<Routing>),
    /// All entries of the follower's zone that the controller hears, the follower included.
    Entries(Vec<EntryInfo>),
    /// Servers that several entries have found not well, at the worst as most of them say.
    HealthReports(Vec<HealthReport>),
}

/// From an entry to a controller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FeedUp {
    /// Begins to follow.
    Follow(EntryInfo),
    /// Asks for the routing table, if later than this version.
    FetchTable {
        /// The version that the entry has.
        have: TableVersion,
    },
    /// Servers that the entry itself has found not well lately; all of them each time.
    HealthReports(Vec<HealthReport>),
    /// Shows that the entry lives; comes at least every [`FEED_HEARTBEAT_INTERVAL_MS`].
    Heartbeat,
}

/// Longest time between two messages of a feed, either way, in milliseconds.
pub const FEED_HEARTBEAT_INTERVAL_MS: u64 = 400;

/// Between controllers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ControllerMessage {
    /// Shows that the sender lives.
    Heartbeat {
        /// Controllers that it has heard lately.
        known: Vec<InstanceId>,
        /// True if it leads.
        leads: bool,
    },
    /// Servers that drain or have left, as the sender was told.
    Departures(Vec<ServerClaim>),
}
