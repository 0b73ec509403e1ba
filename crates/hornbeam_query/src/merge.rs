//! Merging of the hits of many shards into one ranking.

use std::collections::HashMap;

use hornbeam_model::Hit;
use smol_str::SmolStr;

/// Merges hits: keeps one hit per record, from its newest schema version and with its best score.
#[derive(Clone, Debug, Default)]
pub struct Merger {
    best: HashMap<SmolStr, Hit>,
}

impl Merger {
    /// Adds one hit.
    pub fn add(&mut self, hit: Hit) {
        let Some(kept) = self.best.get_mut(&hit.id) else {
            self.best.insert(hit.id.clone(), hit);
            return;
        };
        let newer = hit.schema > kept.schema;
        let better = hit.schema == kept.schema && hit.score > kept.score;
        if newer || better {
            *kept = hit;
        }
    }

    /// Discards all hits.
    pub fn clear(&mut self) {
        self.best.clear();
    }

    /// Returns the best `limit` hits, best first.
    pub fn finish(self, limit: usize) -> Vec<Hit> {
        let mut hits: Vec<Hit> = self.best.into_values().collect();
        if hits.len() > limit && limit > 0 {
            hits.select_nth_unstable_by(limit - 1, Hit::cmp_rank);
        }
        hits.truncate(limit);
        hits.sort_unstable_by(Hit::cmp_rank);
        hits
    }
}
