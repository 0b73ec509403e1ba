//! Second copies of shards while servers end under a search: hedges and retries that wait for the
//! checks, and their release.

use hornbeam_model::{Incarnation, Mono, QueryId, ServerId};

use super::{Engine, InFlightAttempt, Output};
use crate::copy_hold::CopyVerdict;
use crate::decision::{AttemptKind, Decision};
use crate::request::{RunningRequest, ShardProgress, ShardStatus};

impl Engine {
    /// Records that the connection of an attempt of a search was lost, and takes its second copies
    /// out of the queues if they are held back from now on.
    pub(super) fn record_search_end(&mut self, in_flight: &InFlightAttempt, out: &mut Vec<Output>) {
        let Some(key) = in_flight.request.filter(|_| in_flight.is_scatter) else { return };
        let server = &self.servers[in_flight.server];
        let (id, incarnation) = (server.id.clone(), server.incarnation);
        let Some(running) = self.requests.get_mut(&key) else { return };
        let was_held = verdict_beside(running, None) != CopyVerdict::Allowed;
        let ran_copy = matches!(in_flight.kind, AttemptKind::Hedge | AttemptKind::Retry);
        running.copy_hold.record_loss(id, incarnation, ran_copy);
        if was_held || verdict_beside(running, None) == CopyVerdict::Allowed {
            return;
        }
        let shards = running.shards.iter().enumerate();
        let queued = shards.filter(|(_, s)| s.is_waiting() && s.possible_runs > 0);
        let queued: Vec<usize> = queued.map(|(i, _)| i).collect();
        out.push(Output::Log(Decision::CopiesHeld {
            request: running.id.clone(),
            fingerprint: running.fingerprint,
        }));
        for shard in queued {
            self.dequeue(key, shard);
            self.hold_copy(key, shard);
        }
    }

    /// Lets a shard wait until its second copy may be sent.
    pub(super) fn hold_copy(&mut self, key: QueryId, shard: usize) {
        if let Some(running) = self.requests.get_mut(&key) {
            running.shards[shard].held = true;
        }
    }

    /// Returns whether a shard may be sent again. The first copy always may.
    pub(super) fn copy_verdict(&self, key: QueryId, shard: usize) -> CopyVerdict {
        let running = self.requests.get(&key);
        let running = running.filter(|r| r.shards[shard].possible_runs > 0);
        running.map_or(CopyVerdict::Allowed, |r| verdict_beside(r, Some(shard)))
    }

    /// Passes the result of a check to the searches that have met the server.
    pub(super) fn release_after_check(
        &mut self,
        now: Mono,
        (server, incarnation): (&ServerId, Incarnation),
        has_ended: bool,
        out: &mut Vec<Output>,
    ) {
        let mut keys = Vec::new();
        for running in self.requests.values_mut() {
            running.copy_hold.record_check(server, incarnation, has_ended);
            if running.shards.iter().any(|s| s.held) {
                keys.push(running.key);
            }
        }
        keys.sort_unstable();
        for key in keys {
            self.complete_if_decided(now, key, out);
        }
    }

    /// Sends the second copies of a search that are no longer held back.
    pub(super) fn release_copies(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get(&key) else { return };
        if !running.shards.iter().any(|s| s.held) {
            return;
        }
        for shard in 0..running.shards.len() {
            let Some(running) = self.requests.get_mut(&key) else { return };
            let is_open = running.shards[shard].status == ShardStatus::Open;
            if !running.shards[shard].held {
                continue;
            }
            if is_open && verdict_beside(running, None) == CopyVerdict::Held {
                break;
            }
            running.shards[shard].held = false;
            self.retry_shard(now, key, shard, out);
        }
        self.arm_timer(key);
    }
}

/// Returns whether a second copy of one shard may be sent beside those of the others.
fn verdict_beside(running: &RunningRequest, shard: Option<usize>) -> CopyVerdict {
    if !running.is_scatter() {
        return CopyVerdict::Allowed;
    }
    let is_pending = |s: &ShardProgress| {
        let in_flight = s.deliveries > 1 && !s.in_flight.is_empty();
        s.status == ShardStatus::Open
            && s.possible_runs > 0
            && (in_flight || (s.is_waiting() && !s.held))
    };
    let others = running.shards.iter().enumerate().filter(|(i, _)| shard != Some(*i));
    let pending = others.filter(|(_, s)| is_pending(s)).count();
    running.copy_hold.verdict(running.responses, pending)
}
