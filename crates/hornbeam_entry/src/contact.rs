//! Since when a majority of the controllers has stated its table version.

use hornbeam_model::Mono;

/// Returns the latest time since which more than half of the known controllers have stated their table
/// version, from the times of their last statements; `None` if fewer have.
pub fn majority_at(stated: impl Iterator<Item = Option<Mono>>) -> Option<Mono> {
    let mut times: Vec<Option<Mono>> = stated.collect();
    // Those that have stated nothing are last.
    times.sort_unstable_by(|a, b| b.cmp(a));
    times.get(times.len() / 2).copied().flatten()
}
