//! Which messages a process reads beyond those that every build reads.
//!
//! Builds of two versions run side by side while instances are replaced. A process sends a message that
//! was added later only to one that has stated that it reads it.

use serde::{Deserialize, Serialize};

/// Set of the messages that a process reads, as a bit mask; unknown bits are ignored.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Features(pub u64);

impl Features {
    /// Routing tables with their policy.
    pub const POLICY: Self = Self(1);
    /// Usage of the teams' quotas.
    pub const TEAM_USAGE: Self = Self(1 << 1);
    /// Orders of operators about availability zones.
    pub const ZONE_ORDERS: Self = Self(1 << 2);
    /// Load of the servers of a zone.
    pub const ZONE_LOADS: Self = Self(1 << 3);
    /// [`FeedDown::FleetDemand`](crate::discovery::FeedDown::FleetDemand).
    pub const FLEET_DEMAND: Self = Self(1 << 4);
    /// Routing tables of version 0, which earlier builds take for none.
    pub const TABLE_ZERO: Self = Self(1 << 5);
    /// All messages that this build reads.
    pub const OWN: Self = Self(
        Self::POLICY.0
            | Self::TEAM_USAGE.0
            | Self::ZONE_ORDERS.0
            | Self::FLEET_DEMAND.0
            | Self::TABLE_ZERO.0,
    );

    /// Returns true if this set includes all of `other`.
    pub fn includes(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }
}
