//! Announcements of backend servers and their validation.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ids::{Incarnation, IndexVersion, SchemaVersion, ServerId, ServiceId, Zone};
use crate::shards::ShardRanges;

/// Maximum number of index versions per announcement.
pub const MAX_INDEXES: usize = 8;
/// Maximum number of schema versions per index version.
pub const MAX_SCHEMAS: usize = 16;
/// Maximum number of shards per index version.
pub const MAX_SHARDS: u32 = 65_536;
/// Maximum number of slots, and of connections, per announcement.
pub const MAX_CAPACITY: u32 = 100_000;

/// Readiness of a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// Loads its data and accepts no searches yet.
    Starting,
    /// Accepts searches.
    Ready,
    /// Shuts down: completes its running searches and accepts no new ones.
    Draining,
}

/// Part of one index version that a server holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct IndexHolding {
    /// Index version that is held.
    pub version: IndexVersion,
    /// Total number of shards of the index version.
    pub shard_count: u32,
    /// Shards held by the server; all below `shard_count`.
    pub shards: ShardRanges,
    /// Schema versions held by the server, for each of these shards.
    pub schemas: Vec<SchemaVersion>,
}

/// Announcement of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Name of the server.
    pub server: ServerId,
    /// Incarnation of the server.
    pub incarnation: Incarnation,
    /// Number of the announcement within the incarnation; increases.
    pub seq: u64,
    /// Address at which the server accepts searches.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub zone: Zone,
    /// Service whose records the server holds.
    pub service: ServiceId,
    /// Readiness of the server.
    pub state: ServerState,
    /// Number of searches that the server runs concurrently.
    pub slots: u32,
    /// Number of connections that the server accepts from all instances together.
    pub connections: u32,
    /// Index versions that the server holds.
    pub indexes: Vec<IndexHolding>,
}

/// Error for an announcement with invalid values.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum AnnouncementError {
    /// A capacity is zero or too high.
    #[snafu(display(
        "{field} must be 1 to {MAX_CAPACITY}, not {value}: announce the actual number"
    ))]
    Capacity {
        /// Name of the invalid field.
        field: &'static str,
        /// Value of the field.
        value: u32,
    },
    /// The announcement has too many index versions.
    #[snafu(display(
        "indexes must have at most {MAX_INDEXES} index versions, not {count}: remove old ones first"
    ))]
    TooManyIndexes {
        /// Number of index versions in the announcement.
        count: usize,
    },
    /// An index version is listed more than once.
    #[snafu(display("index version {version} is listed more than once: list each version once"))]
    DuplicateIndexVersion {
        /// Repeated index version.
        version: IndexVersion,
    },
    /// The shard count of an index version is out of range.
    #[snafu(display("shard_count must be 1 to {MAX_SHARDS}, not {count}: correct it"))]
    ShardCount {
        /// Shard count in the announcement.
        count: u32,
    },
    /// An index version has no shard, or a shard at or above its shard count.
    #[snafu(display(
        "index version {version} must have 1 or more shards below {count}, not {shards}: correct them"
    ))]
    Shards {
        /// Index version with the invalid shards.
        version: IndexVersion,
        /// Shard count of the index version.
        count: u32,
        /// Shards in the announcement.
        shards: ShardRanges,
    },
    /// An index version has no schema version, too many, or a repeated one.
    #[snafu(display(
        "index version {version} must list 1 to {MAX_SCHEMAS} different schemas: correct the list"
    ))]
    Schemas {
        /// Index version with the invalid schema versions.
        version: IndexVersion,
    },
    /// The address is unspecified or multicast, or its port is 0.
    #[snafu(display(
        "address {address} is not reachable: announce a unicast IP address and a port"
    ))]
    Address {
        /// Address in the announcement.
        address: SocketAddr,
    },
}

impl Announcement {
    /// Returns the order of the announcement among those of one server; later ones compare greater.
    pub fn order(&self) -> (Incarnation, u64) {
        (self.incarnation, self.seq)
    }

    /// Validates the announcement.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field, with its remedy.
    pub fn check(&self) -> Result<(), AnnouncementError> {
        let ip = self.address.ip();
        if ip.is_unspecified() || ip.is_multicast() || self.address.port() == 0 {
            return Err(AnnouncementError::Address { address: self.address });
        }
        for (field, value) in [("slots", self.slots), ("connections", self.connections)] {
            if value == 0 || value > MAX_CAPACITY {
                return Err(AnnouncementError::Capacity { field, value });
            }
        }
        if self.indexes.len() > MAX_INDEXES {
            return Err(AnnouncementError::TooManyIndexes { count: self.indexes.len() });
        }
        for (i, holding) in self.indexes.iter().enumerate() {
            if self.indexes[..i].iter().any(|h| h.version == holding.version) {
                return Err(AnnouncementError::DuplicateIndexVersion { version: holding.version });
            }
            holding.check()?;
        }
        Ok(())
    }
}

impl IndexHolding {
    /// Validates the shards and schema versions of the holding.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field, with its remedy.
    pub fn check(&self) -> Result<(), AnnouncementError> {
        if self.shard_count == 0 || self.shard_count > MAX_SHARDS {
            return Err(AnnouncementError::ShardCount { count: self.shard_count });
        }
        if self.shards.last().is_none_or(|s| s.0 >= self.shard_count) {
            return Err(AnnouncementError::Shards {
                version: self.version,
                count: self.shard_count,
                shards: self.shards.clone(),
            });
        }
        let mut schemas = self.schemas.clone();
        schemas.sort_unstable();
        schemas.dedup();
        let repeated = schemas.len() != self.schemas.len();
        if schemas.is_empty() || schemas.len() > MAX_SCHEMAS || repeated {
            return Err(AnnouncementError::Schemas { version: self.version });
        }
        Ok(())
    }
}
