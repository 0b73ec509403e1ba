//! Search hits and their ranking.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use smol_str::SmolStr;

use crate::ids::SchemaVersion;

/// Record found by a search. The record itself is passed through without being parsed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hit {
    /// Id of the record; the same in each schema version.
    pub id: SmolStr,
    /// Schema version of this copy of the record.
    pub schema: SchemaVersion,
    /// Relevance of the record; higher is better.
    pub score: f64,
    /// Record as the backend server sent it.
    pub record: Box<RawValue>,
}

impl Hit {
    /// Compares two hits: higher scores first, equal scores by id, so that the order is
    /// deterministic.
    pub fn cmp_rank(&self, other: &Self) -> Ordering {
        other.score.total_cmp(&self.score).then_with(|| self.id.cmp(&other.id))
    }
}
