//! Requests in proportion to weights.

use hornbeam_model::WeightedService;

/// Draws the parts of a split route in proportion to their weights, as evenly as whole requests
/// allow (smooth weighted round robin).
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    /// What each part is owed; they add up to zero.
    owed: Vec<i64>,
}

impl Splitter {
    /// The part that the next request goes to.
    pub fn next(&mut self, parts: &[WeightedService]) -> Option<usize> {
        if self.owed.len() != parts.len() {
            self.owed = vec![0; parts.len()];
        }
        let total: i64 = parts.iter().map(|p| i64::from(p.weight)).sum();
        for (owed, part) in self.owed.iter_mut().zip(parts) {
            *owed += i64::from(part.weight);
        }
        let weighted = (0..parts.len()).filter(|i| parts[*i].weight > 0);
        let chosen = weighted.max_by_key(|i| (self.owed[*i], std::cmp::Reverse(*i)))?;
        self.owed[chosen] -= total;
        Some(chosen)
    }
}
