//! The servers of a controller as they are kept on its disk.
//!
//! Load pattern: all controllers restart at peak load. Each server is heard again only with its
//! next heartbeat, and until then searches lack its shards. A restarted controller therefore starts
//! with the servers that it knew; those that have gone meanwhile lapse like any silent server.

use std::time::Duration;

use hornbeam_protocol::discovery::ServerClaim;
use serde::{Deserialize, Serialize};

use crate::registry::DEPARTURE_TTL;

/// Age from which saved servers are no longer used: departures may have expired since.
pub const MAX_SAVED_AGE: Duration = DEPARTURE_TTL;

/// The claims of a controller at one time.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SavedServers {
    /// Time of day at which they were saved, in milliseconds since 1970.
    pub unix_ms: u64,
    /// The latest claim of each server, departed ones included.
    pub claims: Vec<ServerClaim>,
}

impl SavedServers {
    /// Returns the claims if they were saved within [`MAX_SAVED_AGE`] before `unix_ms`. The time of
    /// day may have been set back since by as much.
    pub fn recent(self, unix_ms: u64) -> Vec<ServerClaim> {
        let age = Duration::from_millis(unix_ms.abs_diff(self.unix_ms));
        if age < MAX_SAVED_AGE { self.claims } else { Vec::new() }
    }
}
