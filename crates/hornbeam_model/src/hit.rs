//! One search hit and its place in the ranking.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use smol_str::SmolStr;

use crate::ids::SchemaVersion;

/// One record found by a search. The record itself is carried unread.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hit {
    /// Id of the record; the same in each schema version.
    pub id: SmolStr,
    /// Schema version of this copy of the record.
    pub schema: SchemaVersion,
    /// Rank of the record; higher is better.
    pub score: f64,
    /// The record as the backend server sent it.
    pub record: Box<RawValue>,
}

impl Hit {
    /// Orders better hits first; equal scores go by id so that the order is stable.
    pub fn cmp_rank(&self, other: &Self) -> Ordering {
        other.score.total_cmp(&self.score).then_with(|| self.id.cmp(&other.id))
    }
}
