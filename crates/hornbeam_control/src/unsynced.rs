//! Writes that are under way, and the outputs that wait for them.
//!
//! Failure pattern: a disk takes seconds for a sync. If the voter did nothing else meanwhile, its heartbeats would stop,
//! the others would elect another leader, which waits for its own disk, and reads would get no answer although they need
//! no disk. Here only what depends on a write waits for it.

use std::collections::VecDeque;
use std::mem::discriminant;

use hornbeam_model::InstanceId;
use hornbeam_protocol::control::{Command, ControlBody, Entry, LogIndex};
use hornbeam_storage::Record;

use crate::raft::{Persist, RaftOutput};

/// A write that is not known to be synced.
#[derive(Debug)]
struct UnsyncedWrite {
    /// The log does not depend on the write up to this index.
    log_before: LogIndex,
    /// True if nothing but the log depends on the write: neither the term, the vote and the voters, nor a snapshot.
    is_log_only: bool,
    /// Outputs that wait for the write, in order.
    held: Vec<RaftOutput>,
}

impl UnsyncedWrite {
    fn new(persist: &Persist) -> Self {
        let mut write =
            Self { log_before: LogIndex(u64::MAX), is_log_only: true, held: Vec::new() };
        let Persist::Append(records) = persist else {
            write.is_log_only = false;
            return write;
        };
        for record in records {
            let first = match record {
                Record::Entries(entries) => {
                    let is_membership = |e: &Entry| matches!(e.command, Command::Members(_));
                    write.is_log_only &= !entries.iter().any(is_membership);
                    entries.first().map(|e| e.index)
                }
                Record::Truncate(from) => Some(*from),
                Record::Boot(..) | Record::HardState(_) => {
                    write.is_log_only = false;
                    None
                }
            };
            if let Some(first) = first {
                write.log_before = write.log_before.min(LogIndex(first.0.saturating_sub(1)));
            }
        }
        write
    }
}

/// The writes under way, oldest first. They are synced in this order.
#[derive(Debug, Default)]
pub(crate) struct UnsyncedWrites {
    writes: VecDeque<UnsyncedWrite>,
}

impl UnsyncedWrites {
    pub(crate) fn len(&self) -> usize {
        self.writes.len()
    }

    /// Appends an output to `out`, or holds it until the writes that it depends on are synced.
    pub(crate) fn pass(&mut self, output: RaftOutput, out: &mut Vec<RaftOutput>) {
        if let RaftOutput::Persist(persist) = &output {
            self.writes.push_back(UnsyncedWrite::new(persist));
            out.push(output);
        } else if self.writes.is_empty() || self.may_overtake(&output) {
            out.push(output);
        } else {
            self.hold(output);
        }
    }

    /// Records that the oldest write is synced, and appends the outputs that waited for it to `out`.
    pub(crate) fn finish_oldest(&mut self, out: &mut Vec<RaftOutput>) {
        let Some(write) = self.writes.pop_front() else { return };
        out.extend(write.held);
        // They may have waited for this write only, and later outputs must not be carried out before them.
        for i in 0..self.writes.len() {
            for output in std::mem::take(&mut self.writes[i].held) {
                if self.may_overtake(&output) {
                    out.push(output);
                } else {
                    self.writes[i].held.push(output);
                }
            }
        }
    }

    /// Returns the outputs that wait for a write.
    pub(crate) fn into_held(self) -> impl Iterator<Item = RaftOutput> {
        self.writes.into_iter().flat_map(|write| write.held)
    }

    /// Returns true if state was committed that is not reported yet.
    pub(crate) fn holds_commits(&self) -> bool {
        let is_commit = |output: &RaftOutput| {
            matches!(
                output,
                RaftOutput::ChangeCommitted { .. }
                    | RaftOutput::RoutingCommitted(_)
                    | RaftOutput::SnapshotInstalled(_)
                    | RaftOutput::ZoneOrdersCommitted(_)
            )
        };
        self.writes.iter().flat_map(|write| &write.held).any(is_commit)
    }

    /// Returns the index up to which the log is synced, as far as it reaches.
    pub(crate) fn synced_index(&self) -> LogIndex {
        let least = self.writes.iter().map(|write| write.log_before).min();
        least.unwrap_or(LogIndex(u64::MAX))
    }

    /// Returns true if nothing that the output states depends on a write under way. While only entries are written, the
    /// voter acknowledges those that are synced, and a leader sends them: it does not count itself for an entry before
    /// it is synced, so what is committed is on the disks of a majority.
    fn may_overtake(&self, output: &RaftOutput) -> bool {
        if !self.writes.iter().all(|write| write.is_log_only) {
            return false;
        }
        let RaftOutput::Send { message, .. } = output else { return true };
        match message.body {
            ControlBody::Append { .. }
            | ControlBody::Snapshot { .. }
            | ControlBody::TransferLeadership => true,
            ControlBody::AppendReply { success, matched, .. } => {
                !success || matched <= self.synced_index()
            }
            _ => false,
        }
    }

    /// Holds an output until the latest write is synced. While a write takes long, messages are sent again and again:
    /// of each kind to each receiver one is held, and of those with entries or a snapshot one for all writes, as they
    /// are large. A message may be lost at any time.
    fn hold(&mut self, output: RaftOutput) {
        if let RaftOutput::Send { to, message } = &output {
            let is_large =
                matches!(message.body, ControlBody::Append { .. } | ControlBody::Snapshot { .. });
            let is_same = |held: &RaftOutput| is_to(held, to, &message.body);
            if is_large && self.writes.iter().flat_map(|write| &write.held).any(is_same) {
                return;
            }
            if let Some(write) = self.writes.back_mut() {
                write.held.retain(|held| !is_to(held, to, &message.body));
            }
        }
        if let Some(write) = self.writes.back_mut() {
            write.held.push(output);
        }
    }
}

/// Returns true if an output sends a message of this kind to this receiver.
fn is_to(output: &RaftOutput, receiver: &InstanceId, body: &ControlBody) -> bool {
    let RaftOutput::Send { to, message } = output else { return false };
    to == receiver && discriminant(&message.body) == discriminant(body)
}
