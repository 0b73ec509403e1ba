//! Ids, shard ranges, configuration types and their validation.
//!
//! - [`ids`]: newtypes for names and numbers that cross process boundaries
//! - [`time`]: monotonic time of the state machines
//! - [`shards`]: sets of shards as sorted inclusive ranges
//! - [`server`]: announcements of backend servers
//! - [`crash`]: runs of requests during which their backend server ended
//! - [`fingerprint`]: recognizes a request that a caller repeats
//! - [`hit`]: search hits and their ranking
//! - [`rate`]: request rates
//! - [`rate_limit`]: rates that backend servers state that they accept
//! - [`routing`]: routing table, its validation and route lookup
//! - [`route_names`]: names of routes, each unique within its table
//! - [`policy`]: rules of a routing table about teams, regions and cold servers
//! - [`team`]: teams of callers, their keys and quotas
//! - [`team_usage`]: use of the teams' quotas
//! - [`search`]: request and reply bodies of backend servers
//! - [`config`]: replicated configuration and its validation
//! - [`change`]: configuration changes and their application
//! - [`patience`]: time that callers are willing to wait, by hour of the service's time zone

pub mod change;
pub mod config;
pub mod crash;
pub mod fingerprint;
pub mod hit;
pub mod ids;
pub mod patience;
pub mod policy;
pub mod rate;
pub mod rate_limit;
pub mod route_names;
pub mod routing;
pub mod search;
pub mod server;
pub mod shards;
pub mod team;
pub mod team_usage;
pub mod time;
pub mod zone_orders;

pub use change::{Change, ChangeError};
pub use config::{Budgets, Config, ConfigError, Limits, Prefer, Service};
pub use crash::{CrashReport, CrashedRun, RunSpan};
pub use fingerprint::Fingerprint;
pub use hit::Hit;
pub use ids::{
    AttemptId, ChangeId, IdError, Incarnation, IndexVersion, InstanceId, OrderIndex, QueryId,
    Region, RequestId, Revision, RouteId, SchemaVersion, ServerId, ServiceId, ShardId,
    TableVersion, TeamId, Zone,
};
pub use patience::{Patience, PatienceWindow};
pub use policy::{TrafficPolicy, WarmUp};
pub use rate::RequestRate;
pub use rate_limit::{RateReport, RateStatement};
pub use route_names::distinct_names;
pub use routing::{
    CallerLimits, Route, RouteIndex, RoutedService, Routing, RoutingDelta, RoutingError, Scatter,
    Target, WeightedService,
};
pub use search::{CancelRequest, LoadReport, NotRunReply, SearchReply, SearchRequest, ShardReply};
pub use server::{Announcement, AnnouncementError, IndexHolding, ServerState};
pub use shards::{ShardRange, ShardRanges};
pub use team::{KeyDigest, Team};
pub use team_usage::{FleetUsage, QuotaBalance, TeamTotal, TeamUsage, UsageReport};
pub use time::Mono;
pub use zone_orders::{ZoneOrder, ZoneOrders};
