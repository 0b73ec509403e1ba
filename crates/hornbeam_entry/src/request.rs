//! Requests as they are read from callers and forwarded to servers and other entries.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use hornbeam_model::{Fingerprint, KeyDigest, TeamId};
use hyper::header::HeaderName;
use smol_str::SmolStr;

use crate::team_fields::SetAside;

/// A request as it is forwarded to backend servers and other entries. Its `Debug` output hides the
/// header fields, which may contain credentials.
#[derive(Clone)]
pub struct ForwardedRequest {
    /// Request id that the caller assigned.
    pub id: SmolStr,
    /// Recognizes the request when the caller repeats it.
    pub fingerprint: Fingerprint,
    /// Request line and header fields, without the fields that each attempt adds and without the
    /// empty line.
    pub head: Vec<u8>,
    /// Complete body.
    pub body: Bytes,
}

impl ForwardedRequest {
    /// Returns true if a response to the request has no body (RFC 9110, section 9.3.2).
    pub fn is_head_request(&self) -> bool {
        self.head.starts_with(b"HEAD ")
    }

    /// Adds the name of the caller's team to the head and to the fingerprint.
    pub(crate) fn set_team(&mut self, field: &HeaderName, team: &TeamId) {
        self.fingerprint = self.fingerprint.of_team(team);
        self.head.extend_from_slice(format!("{field}: {team}\r\n").as_bytes());
    }
}

impl fmt::Debug for ForwardedRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ForwardedRequest")
            .field("id", &self.id)
            .field("fingerprint", &self.fingerprint)
            .field("head_bytes", &self.head.len())
            .field("body_bytes", &self.body.len())
            .finish()
    }
}

/// A request as it was read from a caller's connection.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The request as it is forwarded.
    pub forwarded: ForwardedRequest,
    /// Digest of the key that the caller sent.
    pub credential: Option<KeyDigest>,
    /// Fields about teams that the caller sent before it was known whether the table has teams.
    pub set_aside: SetAside,
    /// Host that the request names.
    pub host: SmolStr,
    /// Path without the query.
    pub path: SmolStr,
    /// How long the caller is willing to wait, if it states that.
    pub patience: Option<Duration>,
    /// True if it is the first request on its connection.
    pub opened_connection: bool,
}
