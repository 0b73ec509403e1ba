//! Messages between instances.

use hornbeam_model::{Announcement, Change, Config, Incarnation, InstanceId, Revision, ServerId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::control::ControlMessage;
use crate::discovery::ControllerMessage;

/// Position in a view's sequence of changes, which are numbered within the registrar's incarnation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ViewPos {
    /// Incarnation of the registrar.
    pub incarnation: Incarnation,
    /// Number of the latest change; 0 before the first one.
    pub version: u64,
}

/// Identifies one incarnation of a registrar in digests: a hash of its name and incarnation.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ViewKey(pub u32);

impl ViewKey {
    /// Returns the key of one incarnation of a registrar.
    pub fn new(registrar: &InstanceId, incarnation: Incarnation) -> Self {
        let mut text = registrar.as_str().as_bytes().to_vec();
        text.extend_from_slice(&incarnation.0.to_le_bytes());
        Self(xxh3_64(&text) as u32)
    }
}

/// State of a registrar's view at the sender of a digest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DigestEntry {
    /// Key of the registrar's incarnation.
    pub view: ViewKey,
    /// Number of the latest change that the sender knows.
    pub version: u64,
    /// Time since the latest confirmation that the registrar had no later change, in milliseconds.
    pub age_ms: u32,
}

/// State of the configuration at one instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigState {
    /// Revision that the instance has.
    pub revision: Revision,
    /// Time since a quorum confirmed that no later revision was accepted, in milliseconds; `None`
    /// without any confirmation.
    pub confirmed_age_ms: Option<u32>,
    /// Leader of the control log, if known.
    pub leader: Option<InstanceId>,
}

/// Periodic message that confirms views and the configuration and reveals missing changes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Confirmed views of the sender, its own included.
    pub views: Vec<DigestEntry>,
    /// State of the sender's configuration.
    pub config: ConfigState,
}

/// One change to a view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ViewChange {
    /// A server is new, or the content of its announcement changed.
    Listed(Announcement),
    /// The lease of a server expired.
    Gone(ServerId),
}

/// Changes to one registrar's view: all after number `from`, up to and including `to`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewChanges {
    /// Registrar that numbers the changes.
    pub registrar: InstanceId,
    /// Incarnation of the registrar.
    pub incarnation: Incarnation,
    /// Number of the last change before these.
    pub from: u64,
    /// Number of the last of these changes.
    pub to: u64,
    /// Age of the sender's confirmation, as in [`DigestEntry::age_ms`]; set only if `to` is the
    /// latest change that the sender knows.
    pub age_ms: Option<u32>,
    /// Changes, oldest first; superseded ones are omitted.
    pub changes: Vec<ViewChange>,
}

/// Requests the changes to a view after number `have`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewFetch {
    /// Key of the registrar's incarnation.
    pub view: ViewKey,
    /// Number of the latest change that the requesting instance has.
    pub have: u64,
}

/// Message between two instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Periodic digest of views and configuration.
    Digest(Digest),
    /// Changes to a view, pushed or as the response to [`Message::Fetch`].
    Changes(ViewChanges),
    /// Request for changes to a view.
    Fetch(ViewFetch),
    /// The sender shuts down gracefully.
    Goodbye,
    /// The receiver used a session number lower than an earlier one; it must use a higher one.
    StaleSession {
        /// Highest session number that the sender has seen of the receiver.
        known: u64,
    },
    /// Request for the configuration if it is later than `have`.
    ConfigFetch {
        /// Revision that the requesting instance has.
        have: Revision,
    },
    /// Consecutive configuration changes, pushed or as the response to [`Message::ConfigFetch`].
    ConfigChanges {
        /// Revision that the first change applies to.
        base: Revision,
        /// Changes, oldest first; each one increases the revision by 1.
        changes: Vec<Change>,
        /// State of the sender's configuration.
        state: ConfigState,
    },
    /// Complete configuration, for a receiver that lacks more changes than the sender keeps.
    ConfigWhole {
        /// Configuration in force at the sender.
        config: Box<Config>,
        /// State of the sender's configuration.
        state: ConfigState,
    },
    /// Message of the control log between voters and learners.
    Control(Box<ControlMessage>),
    /// Message between controllers about themselves and about servers.
    Controller(ControllerMessage),
}
