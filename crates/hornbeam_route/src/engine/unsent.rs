//! Shards of a group of which no server has run anything, in the last report of the gathering entry.
//!
//! Load pattern: servers that end refuse connections, or a search is quarantined, while other entries
//! gather its shards. A shard that no server ran must not turn the refusal of its request into one that
//! says that it may have run. Replayed in `tests/not_run`.
//!
//! A report lists the positions of shards whose servers the gathering entry does not reach; another entry
//! may reach them. A position increased by the number of shards of the group stands for one that was not
//! run for another reason, such as lack of capacity, and that no other entry is asked for. Builds without
//! this rule ignore positions beyond the group.

use hornbeam_model::{Mono, QueryId};

use super::Engine;
use crate::request::{RunningRequest, ShardProgress, ShardStatus};

impl Engine {
    /// Returns the positions that report the shards without any possible run.
    pub(super) fn unsent_shards(&self, now: Mono, key: QueryId) -> Vec<usize> {
        let Some(running) = self.requests.get(&key) else { return Vec::new() };
        let count = running.shards.len();
        let has_not_run = |s: &ShardProgress| {
            s.possible_runs == 0 && !matches!(s.status, ShardStatus::Received(_))
        };
        let position = |(i, s): (usize, &ShardProgress)| match self.all_out_of_reach(
            now,
            s.service,
            &running.regions,
        ) {
            true => i,
            false => i + count,
        };
        let shards = running.shards.iter().enumerate();
        shards.filter(|(_, s)| has_not_run(s)).map(position).collect()
    }

    /// Marks a shard of an ended group as missing; `has_not_run` undoes the run counted for it.
    pub(super) fn end_delegated(&mut self, key: QueryId, shard: usize, has_not_run: bool) {
        if has_not_run && let Some(running) = self.requests.get_mut(&key) {
            running.shards[shard].reclaim(true);
        }
        self.mark_missing(key, shard);
    }
}

/// Returns true if only the reports of other entries can show whether anything of a request has run: no
/// shard has run as far as is known, and groups of it have not ended. Its refusal then waits for the
/// reports until its response is due, since they usually arrive together.
pub(super) fn awaits_reports(running: &RunningRequest) -> bool {
    let is_unknown = |s: &ShardProgress| s.delegated && s.status == ShardStatus::Open;
    let may_have_run = |s: &ShardProgress| s.possible_runs > 0 && !is_unknown(s);
    !running.groups.is_empty() && !running.shards.iter().any(may_have_run)
}
