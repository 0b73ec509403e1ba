//! What backend servers state about themselves in responses: that they are leaving, that they want
//! no requests for some time, how many requests a second they accept, that they are cold, or their load.

use std::time::Duration;

use hornbeam_model::{Incarnation, RequestRate, ServerId};
use indexmap::IndexMap;

use crate::stated_load::LoadNotice;

/// Longest pause that a server can ask for. A longer one is cut to this, so that a wrong value does
/// not exclude a server until its restart.
pub const MAX_PAUSE: Duration = Duration::from_secs(300);
/// Number of leaving servers that are remembered; the one that has been known longest is forgotten
/// first. Bounds the memory to about a megabyte.
const MAX_LEAVING_SERVERS: usize = 16_384;

/// What a server states about itself in a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerNotice {
    /// True if the server is leaving and wants no new requests.
    pub leaving: bool,
    /// Pause that the server asks for; stated only in a refusal.
    pub pause: Option<PauseRequest>,
    /// Rate that the server accepts.
    pub rate: RateNotice,
    /// Remaining time for which the server is cold, if it states one.
    pub warm_up: Option<Duration>,
    /// Load of the server.
    pub load: LoadNotice,
}

/// The request rate that a server states in a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RateNotice {
    /// The response states no rate.
    #[default]
    Unstated,
    /// The server accepts this rate from all entries together.
    Stated(RequestRate),
    /// The stated rate cannot be read; what the server stated before holds.
    Unreadable,
}

/// A pause that a server asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PauseRequest {
    /// The server wants no requests of this entry for this time.
    For(Duration),
    /// The stated time cannot be read.
    Unreadable,
}

/// A server that has stated that it is leaving, and the start in which it did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeavingServer {
    /// Identifies the server across restarts.
    pub server: ServerId,
    /// Identifies the start of the server.
    pub incarnation: Incarnation,
}

/// The servers that have stated that they are leaving. Heartbeats and controllers may report such
/// a server as ready for some time; only a later incarnation of it may get requests.
#[derive(Debug, Default)]
pub struct LeavingServers {
    incarnations: IndexMap<ServerId, Incarnation>,
}

impl LeavingServers {
    /// Adds a server; returns false if this incarnation or a later one was known already.
    pub fn insert(&mut self, leaving: LeavingServer) -> bool {
        if self.includes(&leaving.server, leaving.incarnation) {
            return false;
        }
        if self.incarnations.len() >= MAX_LEAVING_SERVERS {
            self.incarnations.shift_remove_index(0);
        }
        self.incarnations.insert(leaving.server, leaving.incarnation);
        true
    }

    /// Returns true if this incarnation of a server or a later one is leaving.
    pub fn includes(&self, server: &ServerId, incarnation: Incarnation) -> bool {
        self.incarnations.get(server).is_some_and(|left| *left >= incarnation)
    }
}
