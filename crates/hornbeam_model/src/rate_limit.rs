//! Rates of requests that backend servers state that they accept.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, RequestRate, ServerId};

/// The rate that a server accepts from all entries together, as the fleet knows it.
///
/// Statements are ordered without clocks: an entry that observes a change increases the version, so
/// that late and duplicate reports of an earlier statement have no effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateStatement {
    /// Server that the statement is about.
    pub server: ServerId,
    /// Start of the server that the statement is about; a later start has stated nothing.
    pub incarnation: Incarnation,
    /// Number of changes observed within the incarnation.
    pub version: u64,
    /// `None` once the server no longer states a rate.
    pub rate: Option<RequestRate>,
}

impl RateStatement {
    /// Returns true if this statement replaces `other` about the same server. Of two statements with
    /// the same version, which two entries observed independently, the lower rate counts.
    pub fn supersedes(&self, other: &Self) -> bool {
        let position = (self.incarnation, self.version);
        let other_position = (other.incarnation, other.version);
        let is_lower = match (self.rate, other.rate) {
            (Some(rate), Some(other)) => rate < other,
            (rate, other) => rate.is_some() && other.is_none(),
        };
        position > other_position || (position == other_position && is_lower)
    }
}

/// A statement with the demand for the server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateReport {
    /// The latest statement that the sender knows.
    pub statement: RateStatement,
    /// Rate of the requests for the server's service: at the entry that sends the report, or, in a
    /// report of a controller, at all entries together.
    pub demand: RequestRate,
}
