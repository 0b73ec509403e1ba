//! Ids, shard ranges, configuration types and their checks.
//!
//! - [`ids`]: newtypes for names and numbers that cross process boundaries
//! - [`time`]: monotonic time as the state machines see it
//! - [`shards`]: sets of shards as sorted inclusive ranges
//! - [`server`]: what a backend server announces
//! - [`hit`]: one search hit and its place in the ranking
//! - [`routing`]: the routing table and its checks
//! - [`search`]: the bodies exchanged with backend servers
//! - [`config`]: the replicated configuration and its checks
//! - [`change`]: one configuration change and how it applies
//! - [`patience`]: how long callers wait, by hour of the service's time zone

pub mod change;
pub mod config;
pub mod hit;
pub mod ids;
pub mod patience;
pub mod routing;
pub mod search;
pub mod server;
pub mod shards;
pub mod time;

pub use change::{Change, ChangeError};
pub use config::{Budgets, Config, ConfigError, Limits, Prefer, Service};
pub use hit::Hit;
pub use ids::{
    AttemptId, ChangeId, IdError, Incarnation, IndexVersion, InstanceId, QueryId, RequestId,
    Revision, RouteId, SchemaVersion, ServerId, ServiceId, ShardId, TableVersion, Zone,
};
pub use patience::{Patience, PatienceWindow};
pub use routing::{
    CallerLimits, Route, RouteIndex, RoutedService, Routing, RoutingDelta, RoutingError, Scatter,
    Target, WeightedService,
};
pub use search::{CancelRequest, LoadReport, NotRunReply, SearchReply, SearchRequest, ShardReply};
pub use server::{Announcement, AnnouncementError, IndexHolding, ServerState};
pub use shards::{ShardRange, ShardRanges};
pub use time::Mono;
