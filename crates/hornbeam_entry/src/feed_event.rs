//! Messages between the control thread and the traffic thread.

use std::sync::Arc;

use hornbeam_discovery::FeedCounts;
use hornbeam_model::{
    CrashReport, FleetUsage, InstanceId, RateReport, RequestRate, Routing, ZoneOrders,
};
use hornbeam_protocol::discovery::HealthReport;
use hornbeam_route::{ControllerContact, Peer, ServerChange, ServerHealthReport};

/// An update for the traffic thread.
#[derive(Debug)]
pub enum FeedEvent {
    /// Servers became usable, changed or became unusable.
    Servers(Vec<ServerChange>),
    /// The set of evacuated zones changed.
    ZoneOrders(ZoneOrders),
    /// A new routing table is in force.
    Table(Arc<Routing>),
    /// Versions of the routing table that the controllers have stated.
    Contact(ControllerContact),
    /// Number of entries that share the retry budgets and the connections to servers.
    EntryCount(u32),
    /// Number of fresh and known feeds.
    FeedCounts(FeedCounts),
    /// Rate of the callers' requests at all entries together.
    FleetDemand(RequestRate),
    /// Health reports of other entries, summarized by a controller.
    PeerReports(Vec<ServerHealthReport>),
    /// Requests that were in flight at servers that ended.
    CrashReports(Vec<CrashReport>),
    /// Rates that servers state, summarized by a controller.
    RateReports(Vec<RateReport>),
    /// Use of the teams' quotas, reported by a controller.
    TeamUsage {
        /// The controller.
        controller: InstanceId,
        /// Its report.
        usage: FleetUsage,
    },
    /// All other entries of the same availability zone, and some of each other one.
    Peers(Vec<Peer>),
}

/// What an entry reports about itself and about the servers that it sends to.
#[derive(Debug)]
pub struct EntryReport {
    /// Rate of the callers' requests.
    pub demand: RequestRate,
    /// Servers that the entry found unhealthy; an empty list withdraws the previous one.
    pub health: Vec<HealthReport>,
    /// Rates that servers state, with the demand at the entry.
    pub rates: Vec<RateReport>,
    /// Requests that were in flight at servers that ended; adds to the previous reports.
    pub crashes: Vec<CrashReport>,
}
