//! Weighted distribution of requests over the services of a split route.

use hornbeam_model::WeightedService;

/// Chooses the parts of a split route in proportion to their weights by smooth weighted round
/// robin, which interleaves the parts as evenly as whole requests allow.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    /// Current credit of each part; the credits add up to zero.
    credits: Vec<i64>,
}

impl Splitter {
    /// Returns the position of the part that the next request goes to; `None` if all weights are
    /// zero.
    pub fn next(&mut self, parts: &[WeightedService]) -> Option<usize> {
        if self.credits.len() != parts.len() {
            self.credits = vec![0; parts.len()];
        }
        let total: i64 = parts.iter().map(|p| i64::from(p.weight)).sum();
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += i64::from(part.weight);
        }
        let weighted = (0..parts.len()).filter(|i| parts[*i].weight > 0);
        let chosen = weighted.max_by_key(|i| (self.credits[*i], std::cmp::Reverse(*i)))?;
        self.credits[chosen] -= total;
        Some(chosen)
    }
}
