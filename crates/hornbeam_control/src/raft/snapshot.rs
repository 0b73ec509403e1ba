//! Log compaction and snapshot transfer.

use std::sync::{Arc, Weak};

use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::control::{Command, ControlBody, LogIndex, LogPos, Membership};
use hornbeam_storage::SnapshotMeta;
use serde::{Deserialize, Serialize};

use super::{Compaction, Persist, Raft, RaftOutput};
use crate::encoding::{decode_state, encode_state};

/// Size of a snapshot chunk in one message, in bytes.
const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;
/// Largest snapshot accepted from a leader, in bytes.
const MAX_SNAPSHOT_BYTES: u64 = 64 << 20;
/// Number of routes in all routing tables of the log from which a snapshot is usually taken. Bounds the
/// memory of the log.
const MAX_LOGGED_ROUTES: usize = 8_192;

/// Multiple of the usual size of the log up to which a snapshot is put off while the last one is being
/// transferred, so that the receiver gets the entries after it instead of the next snapshot.
const TRANSFER_LOG_FACTOR: usize = 4;

/// Content of a snapshot in a transfer.
#[derive(Deserialize, Serialize)]
struct SnapshotContent {
    members: Membership,
    data: Vec<u8>,
}

/// Snapshot as it is sent, encoded once for all chunks and receivers.
#[derive(Debug)]
pub(super) struct EncodedSnapshot {
    pub last: LogPos,
    bytes: Vec<u8>,
}

/// Transfer of a snapshot to one instance. A later snapshot does not replace one of which a part has
/// arrived.
#[derive(Clone, Debug)]
pub(super) struct OutgoingSnapshot {
    pub snapshot: Arc<EncodedSnapshot>,
    /// Bytes that the receiver has.
    received: u64,
}

/// One chunk of a snapshot transfer.
#[derive(Debug)]
pub(super) struct SnapshotChunk {
    pub last: LogPos,
    pub total: u64,
    pub offset: u64,
    pub data: Vec<u8>,
    pub round: u64,
}

/// Snapshot transfer of which some chunks have arrived.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    last: LogPos,
    total: u64,
    data: Vec<u8>,
}

impl Raft {
    /// Takes a snapshot once enough entries were applied since the last one, or the routing tables
    /// in the log hold at least [`MAX_LOGGED_ROUTES`] routes; while the last one is being transferred,
    /// once the log has [`TRANSFER_LOG_FACTOR`] times that size.
    pub(super) fn compact_if_due(&mut self, out: &mut Vec<RaftOutput>) {
        let factor = if self.is_transferring() { TRANSFER_LOG_FACTOR } else { 1 };
        let max_entries = self.params.snapshot_interval_entries * factor as u64;
        let due = self.applied_index.0 >= self.snapshot.last.index.0 + max_entries;
        if !due && self.log.table_routes() < MAX_LOGGED_ROUTES * factor {
            return;
        }
        let index = self.applied_index;
        let Some(term) = self.log.term_at(index) else { return };
        let last = LogPos { term, index };
        let Ok(data) = encode_state(&self.state) else { return };
        let members = self.members_as_of(index);
        self.log.compact(last);
        self.snapshot = SnapshotMeta { last, members };
        self.snapshot_data = Arc::new(data);
        self.persist_snapshot(out);
    }

    /// Returns the membership as of an applied entry.
    fn members_as_of(&self, index: LogIndex) -> Membership {
        let entries = self.log.entries().iter().rev().filter(|e| e.index <= index);
        let latest = entries.into_iter().find_map(|e| match &e.command {
            Command::Members(m) => Some(m.clone()),
            _ => None,
        });
        latest.unwrap_or_else(|| self.snapshot.members.clone())
    }

    /// Writes the snapshot, and starts a new log file with everything that the old one still has to
    /// keep.
    fn persist_snapshot(&self, out: &mut Vec<RaftOutput>) {
        out.push(RaftOutput::Persist(Persist::Compact(Box::new(Compaction {
            meta: self.snapshot.clone(),
            data: self.snapshot_data.clone(),
            hard_state: self.hard_state.clone(),
            entries: self.log.entries().to_vec(),
            boots: self.boots.clone(),
        }))));
    }

    /// Returns true if an instance has received a part of the latest snapshot.
    fn is_transferring(&self) -> bool {
        let Some(leader_state) = &self.leader_state else { return false };
        let mut transfers = leader_state.progress.values().filter_map(|p| p.transfer.as_ref());
        transfers.any(|t| t.received > 0 && t.snapshot.last == self.snapshot.last)
    }

    /// Returns the latest snapshot as it is sent.
    fn encoded_snapshot(&mut self) -> Option<Arc<EncodedSnapshot>> {
        if let Some(encoded) = self.encoded_snapshot.as_ref().and_then(Weak::upgrade)
            && encoded.last == self.snapshot.last
        {
            return Some(encoded);
        }
        let content = SnapshotContent {
            members: self.snapshot.members.clone(),
            data: self.snapshot_data.to_vec(),
        };
        let bytes = postcard::to_allocvec(&content).ok()?;
        let encoded = Arc::new(EncodedSnapshot { last: self.snapshot.last, bytes });
        self.encoded_snapshot = Some(Arc::downgrade(&encoded));
        Some(encoded)
    }

    /// Sends the next chunk of the snapshot of which the receiver has a part, else of the latest one.
    pub(super) fn send_snapshot(&mut self, to: &InstanceId, round: u64, out: &mut Vec<RaftOutput>) {
        let progress = self.leader_state.as_ref().and_then(|l| l.progress.get(to));
        let begun = progress.and_then(|p| p.transfer.clone()).filter(|t| t.received > 0);
        let transfer = match begun {
            Some(transfer) => transfer,
            None => {
                let Some(snapshot) = self.encoded_snapshot() else { return };
                OutgoingSnapshot { snapshot, received: 0 }
            }
        };
        let bytes = &transfer.snapshot.bytes;
        let start = (transfer.received as usize).min(bytes.len());
        let end = (start + SNAPSHOT_CHUNK_BYTES).min(bytes.len());
        let body = ControlBody::Snapshot {
            last: transfer.snapshot.last,
            total: bytes.len() as u64,
            offset: start as u64,
            data: bytes[start..end].to_vec(),
            round,
        };
        let progress = self.leader_state.as_mut().and_then(|l| l.progress.get_mut(to));
        if let Some(progress) = progress {
            progress.transfer = Some(transfer);
        }
        self.send(to, body, out);
    }

    pub(super) fn on_snapshot(
        &mut self,
        from: &InstanceId,
        chunk: SnapshotChunk,
        out: &mut Vec<RaftOutput>,
    ) {
        let (last, round) = (chunk.last, chunk.round);
        if last.index <= self.commit_index {
            let body =
                ControlBody::AppendReply { success: true, matched: self.commit_index, round };
            return self.send(from, body, out);
        }
        if chunk.total > MAX_SNAPSHOT_BYTES {
            return;
        }
        let is_new = self
            .incoming_snapshot
            .as_ref()
            .is_none_or(|a| a.last != last || a.total != chunk.total);
        if is_new {
            self.incoming_snapshot =
                Some(IncomingSnapshot { last, total: chunk.total, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming_snapshot else { return };
        let fits = incoming.data.len() as u64 + chunk.data.len() as u64 <= incoming.total;
        if chunk.offset == incoming.data.len() as u64 && fits {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let received = incoming.data.len() as u64;
        if received < incoming.total {
            return self.send(from, ControlBody::SnapshotReply { received, last, round }, out);
        }
        let data = self.incoming_snapshot.take().map(|a| a.data).unwrap_or_default();
        if self.install_snapshot(last, &data, out) {
            let body =
                ControlBody::AppendReply { success: true, matched: self.commit_index, round };
            self.send(from, body, out);
        }
    }

    /// Replaces the state with a received snapshot. Returns false and changes nothing if it cannot be
    /// decoded.
    fn install_snapshot(&mut self, last: LogPos, bytes: &[u8], out: &mut Vec<RaftOutput>) -> bool {
        let Ok(transfer) = postcard::from_bytes::<SnapshotContent>(bytes) else { return false };
        let Ok(state) = decode_state(&transfer.data) else { return false };
        if self.log.term_at(last.index) == Some(last.term) {
            self.log.compact(last);
        } else {
            self.log = crate::log::Log::new(last, Vec::new());
        }
        self.snapshot = SnapshotMeta { last, members: transfer.members };
        self.snapshot_data = Arc::new(transfer.data);
        self.state = state;
        self.commit_index = last.index;
        self.applied_index = last.index;
        self.refresh_members();
        self.update_own_role();
        self.persist_snapshot(out);
        out.push(RaftOutput::SnapshotInstalled(self.state.config.clone()));
        out.extend(self.state.table().cloned().map(RaftOutput::RoutingCommitted));
        out.push(RaftOutput::ZoneOrdersCommitted(self.state.zone_orders.clone()));
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
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(progress) = leader_state.progress.get_mut(from) else { return };
        // A reply about another snapshot is late.
        let Some(transfer) = progress.transfer.as_mut().filter(|t| t.snapshot.last == last) else {
            return;
        };
        transfer.received = received;
        progress.in_flight = false;
        self.replicate_to(now, from, false, out);
    }
}
