//! Requests whose key is revoked while they run.
//!
//! Load pattern: new table versions revoke keys while requests and shard groups are in progress. What
//! a server runs already is completed, and nothing new is sent: no queued shard, retry, hedge or relay.
//! Replayed in `tests/teams`.

use std::cmp::Reverse;
use std::time::Duration;

use hornbeam_model::{Mono, QueryId};

use super::{Engine, Output, Timer};
use crate::decision::Decision;
use crate::request::{Refusal, RefusalKind, ShardProgress, ShardStatus};

/// Time that the groups of a request have to end once its key is revoked. The entries that gather them
/// may still send queued shards, and a revoked key has to be without effect within 4 s.
const GROUP_END_TIME: Duration = Duration::from_secs(2);

impl Engine {
    /// Returns true if no attempt of a shard may be started: the key of its request was revoked, or it
    /// is quarantined.
    pub(super) fn may_not_start(&self, now: Mono, key: QueryId, shard: usize) -> bool {
        self.requests.get(&key).is_some_and(|r| r.is_revoked)
            || self.is_quarantined(now, key, shard)
    }

    /// Stops the requests whose key the routing table in force no longer has.
    pub(super) fn stop_revoked(&mut self, now: Mono, out: &mut Vec<Output>) {
        let Some(table) = self.table.clone() else { return };
        let of_teams = self.requests.values().filter(|r| r.team.is_some() && !r.is_revoked);
        let revoked = of_teams.filter(|r| {
            super::teams::needs_key(&table, &r.route)
                && self.team_keys.team(r.credential) != r.team.as_ref()
        });
        let mut revoked: Vec<QueryId> = revoked.map(|r| r.key).collect();
        revoked.sort_unstable();
        for key in revoked {
            self.stop_revoked_request(now, key, out);
        }
    }

    fn stop_revoked_request(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get_mut(&key) else { return };
        running.is_revoked = true;
        running.refusal = Some(Refusal { kind: RefusalKind::UnknownKey, retry_after: None });
        running.shards.iter_mut().for_each(|s| s.hedge_at = None);
        let shards = running.shards.iter().enumerate();
        let waiting: Vec<usize> = shards.filter(|(_, s)| s.is_waiting()).map(|(i, _)| i).collect();
        let running_shards = running.shards.iter().filter(|s| !s.in_flight.is_empty()).count();
        out.push(Output::Log(Decision::KeyRevoked {
            request: running.id.clone(),
            dropped: waiting.len(),
            in_flight: running_shards,
            groups: running.groups.len(),
        }));
        if !running.groups.is_empty() {
            self.timers.push(Reverse((now + GROUP_END_TIME, Timer::EndRevokedGroups(key))));
        }
        for shard in waiting {
            self.dequeue(key, shard);
            self.mark_missing(key, shard);
        }
        self.complete_if_decided(now, key, out);
    }

    /// Cancels the groups that other entries still gather for a request whose key was revoked.
    pub(super) fn end_revoked_groups(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get(&key) else { return };
        for group in running.groups.clone() {
            self.remove_group(group);
            out.push(Output::CancelGroup(group));
        }
        let Some(running) = self.requests.get(&key) else { return };
        let is_open = |s: &ShardProgress| s.delegated && s.status == ShardStatus::Open;
        let shards = running.shards.iter().enumerate().filter(|(_, s)| is_open(s));
        for shard in shards.map(|(i, _)| i).collect::<Vec<_>>() {
            self.mark_missing(key, shard);
        }
        self.complete_if_decided(now, key, out);
    }
}
