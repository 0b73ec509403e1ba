//! An entry that reaches no server.
//!
//! It sends nothing to servers until one responds to a probe, gathers no groups, and relays its
//! callers' requests to other entries. Probes are connections, not requests, so that none is risked.

use std::cmp::Reverse;
use std::time::Duration;

use hornbeam_model::{Mono, QueryId};

use super::{Engine, Output, Timer};
use crate::decision::Decision;
use crate::region_rule::RegionRule;
use crate::request::ShardStatus;

/// Servers that are probed at once, since some of them may be down.
const PROBED_SERVERS: usize = 3;

impl Engine {
    /// Records that a server responded to this entry.
    pub(super) fn record_access(&mut self, now: Mono, out: &mut Vec<Output>) {
        if let Some(time) = self.access.record_response(now) {
            self.regain_servers(time, out);
        }
    }

    /// Treats this entry as detached if no server has responded since that was suspected.
    pub(super) fn confirm_detached(&mut self, now: Mono, out: &mut Vec<Output>) {
        if !self.access.confirm(now) {
            return;
        }
        let (silent, usable) = (self.access.silent_servers(), self.server_names.len());
        out.push(Output::Log(Decision::ServersLost { silent, usable }));
        // Sent before the ends of groups, so that their origins do not choose this entry again.
        out.push(Output::AnnounceAvailability);
        let mut keys: Vec<QueryId> = self.requests.keys().copied().collect();
        keys.sort_unstable();
        for key in keys {
            if self.requests.get(&key).is_some_and(|r| r.is_group()) {
                self.give_up_group(now, key, out);
            } else if self.peers.can_relay() {
                self.relay_running(now, key, out);
            }
        }
    }

    /// Ends a group that can get no more responses. A request for a single service that may have run
    /// is kept, since its response may still arrive.
    fn give_up_group(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get(&key) else { return };
        if running.may_have_run() {
            if running.is_scatter() {
                self.end_gathering(now, key, out);
            }
            return;
        }
        self.remove_request(now, key, out);
        out.push(Output::DeclineGroup(key));
    }

    /// Relays the shards of a caller's request that wait for a server or for its response. Those that
    /// may not be sent again keep waiting.
    fn relay_running(&mut self, now: Mono, key: QueryId, out: &mut Vec<Output>) {
        let Some(running) = self.requests.get(&key) else { return };
        let idempotent = running.route.idempotent;
        let waits = |s: &usize| {
            running.shards[*s].status == ShardStatus::Open && !running.shards[*s].delegated
        };
        let mut stuck: Vec<usize> = (0..running.shards.len()).filter(waits).collect();
        stuck.retain(|s| self.may_relay(now, key, *s));
        for shard in &stuck {
            self.dequeue(key, *shard);
            let Some(running) = self.requests.get_mut(&key) else { return };
            for attempt in std::mem::take(&mut running.shards[*shard].in_flight) {
                self.linger(now, attempt, idempotent);
            }
        }
        self.relay(now, key, &stuck, None, out);
        self.complete_if_decided(now, key, out);
        self.arm_timer(key);
    }

    /// Probes some servers while this entry is suspected to be detached or is, and sets the timer of the
    /// next probes.
    pub(super) fn probe_servers(&mut self, now: Mono, out: &mut Vec<Output>) {
        if !self.access.is_suspected() || now < self.next_server_probe {
            return;
        }
        let count = self.servers.len();
        let from = self.next_probed;
        let usable = (0..count).map(|n| (from + n) % count).filter(|i| self.servers[*i].usable);
        let usable = usable.filter(|i| self.may_use(*i, &RegionRule::default()));
        let probed: Vec<usize> = usable.take(PROBED_SERVERS).collect();
        self.next_probed = probed.last().map_or(0, |i| i + 1);
        for idx in probed {
            let server = &self.servers[idx];
            out.push(Output::ProbeServer { server: server.id.clone(), address: server.address });
        }
        self.next_server_probe = now + self.access.probe_interval();
        self.timers.push(Reverse((self.next_server_probe, Timer::ProbeServers)));
    }

    pub(super) fn on_server_probed(&mut self, now: Mono, reachable: bool, out: &mut Vec<Output>) {
        if !reachable {
            return;
        }
        if let Some(time) = self.access.record_probe(now) {
            self.regain_servers(time, out);
        }
    }

    /// Uses all servers again: what was measured meanwhile was the loss of this entry's links.
    fn regain_servers(&mut self, lost_for: Duration, out: &mut Vec<Output>) {
        self.zones.reset();
        for server in &mut self.servers {
            server.end_ejection();
        }
        let after_ms = lost_for.as_millis() as u64;
        out.push(Output::Log(Decision::ServersReached { after_ms }));
        out.push(Output::AnnounceAvailability);
    }
}
