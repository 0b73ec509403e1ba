//! Claims of backend servers, the feed from a controller to its entries, and messages between
//! controllers.

use std::net::SocketAddr;
use std::sync::Arc;

use hornbeam_model::{
    CrashReport, FleetUsage, Incarnation, InstanceId, RateReport, RequestRate, Routing,
    RoutingDelta, ServerId, ServiceId, TableVersion, TrafficPolicy, UsageReport, Zone, ZoneOrders,
};
use serde::{Deserialize, Serialize};

use crate::features::Features;

/// Lifecycle stage of a server; within one incarnation it never goes back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LifeStage {
    /// Accepts requests.
    Ready,
    /// Completes running requests and accepts no new ones.
    Draining,
    /// Has left the system.
    Gone,
}

/// Order of the claims of one server: by incarnation, then stage, then heartbeat number.
///
/// The derived comparison depends on the order of the fields.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimOrder {
    /// Start time of the server in milliseconds since 1970.
    pub incarnation: Incarnation,
    /// Lifecycle stage of the server.
    pub stage: LifeStage,
    /// Number of the heartbeat within the incarnation; increases.
    pub seq: u64,
}

/// Versioned statement of a server about its own state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerClaim {
    /// Name of the server.
    pub server: ServerId,
    /// Position among the claims of the same server; the highest one counts.
    pub order: ClaimOrder,
    /// Service, address and capacity of the server; `None` in a claim that states only that the
    /// server is gone.
    #[serde(rename = "offer")]
    pub info: Option<ServerInfo>,
}

/// Service, address and capacity of a server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerInfo {
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub zone: Zone,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Remaining warm-up time after the server's start, counted from this claim, in milliseconds.
    pub warm_up_ms: u32,
}

/// One change to the set of servers that a controller knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FeedChange {
    /// A server made a claim that differs from its previous one.
    Claim(ServerClaim),
    /// The controller dropped the server: it received no heartbeat for the whole lease (another
    /// controller may still receive them), or the retention time of a departure ended.
    Lapsed(ServerId),
}

/// Controllers and entries that a controller hears from, and its routing table version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Controllers that the sender heard from recently, and the sender itself.
    pub controllers: Vec<InstanceId>,
    /// Number of entries that follow the sender or did so until recently.
    pub entries: u32,
    /// Version of the sender's routing table; 0 also if it has none.
    pub table: TableVersion,
    /// Rate of the callers' requests at these entries together.
    pub demand: RequestRate,
}

/// Name, address and zone of an entry; entries delegate groups to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryInfo {
    /// Name of the entry.
    pub entry: InstanceId,
    /// Address at which the entry accepts shard groups.
    pub address: SocketAddr,
    /// Availability zone of the entry.
    pub zone: Zone,
}

/// Report about a server that is slow or unresponsive.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HealthReport {
    /// Server that the report is about.
    pub server: ServerId,
    /// Slowness of the server (latency relative to the usual one) in tenths; 10 is the usual
    /// latency.
    pub slowness_tenths: u16,
    /// True if the server does not respond.
    pub unresponsive: bool,
}

/// Messages of a feed from a controller to an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FeedDown {
    /// Claims of all servers that the controller knows; the first message of a feed.
    Servers(Vec<ServerClaim>),
    /// Changes since the previous message about servers.
    Changes(Vec<FeedChange>),
    /// Fleet status; sent at least every [`FEED_HEARTBEAT_INTERVAL_MS`] and with each new routing
    /// table.
    FleetStatus(FleetStatus),
    /// Difference between the entry's routing table and the controller's.
    TableDelta(Box<RoutingDelta>),
    /// Complete routing table; sent if the controller no longer holds the entry's version.
    Table(Arc<Routing>),
    /// All entries that follow the controller in the receiver's zone, the receiver included, and some
    /// of each other zone.
    Entries(Vec<EntryInfo>),
    /// Servers that several entries report as unhealthy, with one summarized report per server. At
    /// least half of these entries report the same slowness or a higher one.
    HealthReports(Vec<HealthReport>),
    /// Rates that servers state, with the demand at all entries together; sent at each
    /// [`FEED_HEARTBEAT_INTERVAL_MS`] and at the start of a feed.
    RateReports(Vec<RateReport>),
    /// Requests that were in flight at servers that ended: all at the start of a feed, then those
    /// that change.
    CrashReports(Vec<CrashReport>),
    /// Messages that the controller reads; the first message to an entry that has stated its own.
    Features(Features),
    /// Complete routing table with its policy, for entries with [`Features::POLICY`].
    PolicyTable {
        /// The table.
        table: Arc<Routing>,
        /// The policy of the same version.
        policy: Arc<TrafficPolicy>,
    },
    /// Difference between the entry's routing table and the controller's, for entries with
    /// [`Features::POLICY`].
    PolicyDelta {
        /// Difference of the tables.
        delta: Box<RoutingDelta>,
        /// Policy of the new version; `None` if it is that of the old one.
        policy: Option<Arc<TrafficPolicy>>,
    },
    /// The fleet status is as it was sent last but for this demand, for entries with
    /// [`Features::FLEET_DEMAND`].
    FleetDemand(RequestRate),
    /// Evacuated zones, for entries with [`Features::ZONE_ORDERS`]: at the start of a feed, before the
    /// servers, and with each change.
    ZoneOrders {
        /// All evacuated zones; the highest index of all controllers is in force.
        orders: ZoneOrders,
        /// True if the controller has recently heard from a majority that it knows all orders.
        is_current: bool,
    },
    /// Use of the teams' quotas, for entries with [`Features::TEAM_USAGE`]; sent at each
    /// [`FEED_HEARTBEAT_INTERVAL_MS`] while teams have quotas, and sooner if one is nearly used up.
    TeamUsage(FleetUsage),
}

/// Messages of a feed from an entry to a controller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FeedUp {
    /// Starts the feed; the first message. It is followed by the [`Features`] of the entry, which older
    /// builds neither send nor read.
    Follow(EntryInfo),
    /// Requests the routing table if it is later than `have`, or in any case if that is 0.
    FetchTable {
        /// Version of the entry's routing table; 0 also if it has none.
        have: TableVersion,
    },
    /// All servers that the entry itself found unhealthy recently; replaces the previous list,
    /// which an empty one withdraws.
    HealthReports(Vec<HealthReport>),
    /// Shows that the entry is alive; sent at least every [`FEED_HEARTBEAT_INTERVAL_MS`].
    Heartbeat,
    /// Rate of the callers' requests at the entry; sent instead of heartbeats.
    Demand(RequestRate),
    /// Rates that servers state, with the demand at the entry. Replaces its previous report on each of
    /// these servers.
    RateReports(Vec<RateReport>),
    /// Requests that were in flight at servers that ended; adds to the previous reports.
    CrashReports(Vec<CrashReport>),
    /// Use of the teams' quotas, for controllers with [`Features::TEAM_USAGE`]. Replaces the previous
    /// report on each of these teams.
    TeamUsage(UsageReport),
}

/// Longest time between two messages of a feed in either direction, in milliseconds.
pub const FEED_HEARTBEAT_INTERVAL_MS: u64 = 400;

/// What a controller states about itself after the frame of its heartbeats to other controllers; older
/// builds neither send nor read it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControllerStatement {
    /// Messages and log entries that the controller reads.
    pub features: Features,
    /// Zones in which it has seen servers, entries or itself.
    pub zones: Vec<Zone>,
}

/// Messages between controllers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ControllerMessage {
    /// Shows that the sender is alive.
    Heartbeat {
        /// Controllers that the sender heard from recently, and the sender itself.
        known: Vec<InstanceId>,
        /// True if the sender is the leader.
        leads: bool,
    },
    /// Servers that reported to the sender, directly or through other controllers, that they drain
    /// or have left.
    Departures(Vec<ServerClaim>),
}
