//! Hits of many shards into one ranking.

use std::collections::HashMap;

use hornbeam_model::Hit;
use smol_str::SmolStr;

/// Collects hits; each record counts once, in its newest schema version.
#[derive(Clone, Debug, Default)]
pub struct Merger {
    best: HashMap<SmolStr, Hit>,
}

impl Merger {
    /// Adds one hit.
    pub fn add(&mut self, hit: Hit) {
        let Some(known) = self.best.get_mut(&hit.id) else {
            self.best.insert(hit.id.clone(), hit);
            return;
        };
        let newer = hit.schema > known.schema;
        let better = hit.schema == known.schema && hit.score > known.score;
        if newer || better {
            *known = hit;
        }
    }

    /// Forgets all hits.
    pub fn clear(&mut self) {
        self.best.clear();
    }

    /// The best `limit` hits, best first.
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
