//! Compaction and transfer.

use std::sync::Arc;

use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::control::{Command, ControlBody, LogIndex, LogPos, Membership};
use hornbeam_storage::SnapshotMeta;
use serde::{Deserialize, Serialize};

use super::{Compaction, Persist, Raft, RaftOutput};
use crate::state::ControlState;

/// Bytes of a snapshot sent in one message.
const PART_BYTES: usize = 256 << 10;
/// Largest snapshot taken from another voter, in bytes.
const MAX_SNAPSHOT_BYTES: u64 = 64 << 20;
/// Routes in the routing tables of the log after which a snapshot is taken; bounds the log's memory to
/// a few megabytes.
const MAX_TABLE_ROUTES: usize = 8_192;

/// A snapshot as it is sent: what it stands for and its content.
#[derive(Deserialize, Serialize)]
struct Transfer {
    members: Membership,
    data: Vec<u8>,
}

/// Part of a snapshot.
#[derive(Debug)]
pub(super) struct Part {
    pub last: LogPos,
    pub total: u64,
    pub offset: u64,
    pub data: Vec<u8>,
    pub round: u64,
}

/// A snapshot of which parts have arrived.
#[derive(Debug)]
pub(super) struct Arriving {
    last: LogPos,
    total: u64,
    data: Vec<u8>,
}

impl Raft {
    /// Takes a snapshot when enough entries were applied since the last one.
    pub(super) fn compact_if_due(&mut self, out: &mut Vec<RaftOutput>) {
        let due =
            self.applied.0 >= self.snapshot.last.index.0 + self.params.snapshot_interval_entries;
        if !due && self.log.table_routes() < MAX_TABLE_ROUTES {
            return;
        }
        let index = self.applied;
        let Some(term) = self.log.term_at(index) else { return };
        let last = LogPos { term, index };
        let Ok(data) = postcard::to_allocvec(&self.state) else { return };
        let members = self.members_as_of(index);
        self.log.compact(last);
        self.snapshot = SnapshotMeta { last, members };
        self.snapshot_data = Arc::new(data);
        self.save_snapshot(out);
    }

    /// Who votes as of an applied entry.
    fn members_as_of(&self, index: LogIndex) -> Membership {
        let entries = self.log.entries().iter().rev().filter(|e| e.index <= index);
        let newest = entries.into_iter().find_map(|e| match &e.command {
            Command::Members(m) => Some(m.clone()),
            _ => None,
        });
        newest.unwrap_or_else(|| self.snapshot.members.clone())
    }

    fn save_snapshot(&self, out: &mut Vec<RaftOutput>) {
        out.push(RaftOutput::Persist(Persist::Compact(Box::new(Compaction {
            meta: self.snapshot.clone(),
            data: self.snapshot_data.clone(),
            hard: self.hard.clone(),
            entries: self.log.entries().to_vec(),
            boots: self.boots.clone(),
        }))));
    }

    pub(super) fn send_snapshot(
        &self,
        to: &InstanceId,
        offset: u64,
        round: u64,
        out: &mut Vec<RaftOutput>,
    ) {
        let transfer =
            Transfer { members: self.snapshot.members.clone(), data: self.snapshot_data.to_vec() };
        let Ok(bytes) = postcard::to_allocvec(&transfer) else { return };
        let from = (offset as usize).min(bytes.len());
        let until = (from + PART_BYTES).min(bytes.len());
        let body = ControlBody::Snapshot {
            last: self.snapshot.last,
            total: bytes.len() as u64,
            offset: from as u64,
            data: bytes[from..until].to_vec(),
            round,
        };
        self.send(to, body, out);
    }

    pub(super) fn on_snapshot(&mut self, from: &InstanceId, part: Part, out: &mut Vec<RaftOutput>) {
        let (last, round) = (part.last, part.round);
        if last.index <= self.commit {
            let body = ControlBody::AppendReply { success: true, matched: self.commit, round };
            return self.send(from, body, out);
        }
        if part.total > MAX_SNAPSHOT_BYTES {
            return;
        }
        let fresh = self.arriving.as_ref().is_none_or(|a| a.last != last || a.total != part.total);
        if fresh {
            self.arriving = Some(Arriving { last, total: part.total, data: Vec::new() });
        }
        let Some(arriving) = &mut self.arriving else { return };
        let fits = arriving.data.len() as u64 + part.data.len() as u64 <= arriving.total;
        if part.offset == arriving.data.len() as u64 && fits {
            arriving.data.extend_from_slice(&part.data);
        }
        let received = arriving.data.len() as u64;
        if received < arriving.total {
            return self.send(from, ControlBody::SnapshotReply { received, last, round }, out);
        }
        let data = self.arriving.take().map(|a| a.data).unwrap_or_default();
        if self.install(last, &data, out) {
            let body = ControlBody::AppendReply { success: true, matched: self.commit, round };
            self.send(from, body, out);
        }
    }

    /// Replaces the state with a snapshot; false if it cannot be read.
    fn install(&mut self, last: LogPos, bytes: &[u8], out: &mut Vec<RaftOutput>) -> bool {
        let Ok(transfer) = postcard::from_bytes::<Transfer>(bytes) else { return false };
        let Ok(state) = postcard::from_bytes::<ControlState>(&transfer.data) else { return false };
        if self.log.term_at(last.index) == Some(last.term) {
            self.log.compact(last);
        } else {
            self.log = crate::log::Log::new(last, Vec::new());
        }
        self.snapshot = SnapshotMeta { last, members: transfer.members };
        self.snapshot_data = Arc::new(transfer.data);
        self.state = state;
        self.commit = last.index;
        self.applied = last.index;
        self.refresh_members();
        self.note_own_membership();
        self.save_snapshot(out);
        out.push(RaftOutput::SnapshotInstalled(self.state.config.clone()));
        out.push(RaftOutput::RoutingCommitted(self.state.routing.clone()));
        true
    }

    pub(super) fn on_snapshot_reply(
        &mut self,
        now: Mono,
        from: &InstanceId,
        received: u64,
        last: LogPos,
        out: &mut Vec<RaftOutput>,
    ) {
        let current = last == self.snapshot.last;
        let Some(leading) = &mut self.leading else { return };
        let Some(progress) = leading.progress.get_mut(from) else { return };
        progress.in_flight = false;
        progress.snapshot_offset = Some(if current { received } else { 0 });
        self.replicate_to(now, from, false, out);
    }
}
