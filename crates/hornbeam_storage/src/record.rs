//! Log records and their framing.
//!
//! A frame consists of the length of its body (4 bytes, little endian), the CRC-32 of the body
//! (4 bytes, little endian), and the body encoded with postcard.

use hornbeam_model::InstanceId;
use hornbeam_protocol::control::{DiskId, Entry, LogIndex, LogPos, Membership, Term};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Length of the header that precedes the body of a frame, in bytes.
pub const HEADER_BYTES: usize = 8;
/// Maximum length of the body of a frame, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// Raft state that a voter must keep across restarts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Highest term that the voter has seen.
    pub term: Term,
    /// Candidate that received the vote in that term, if any.
    pub voted_for: Option<InstanceId>,
}

/// One start of another voter, as that voter announced it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Boot {
    /// Disk with which it started.
    pub disk: DiskId,
    /// Number of the start, counted per disk from 1.
    pub boot: u64,
    /// Random number drawn at the start, which distinguishes two copies of one disk.
    pub nonce: u64,
}

/// One change that the log records.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// The term or the vote changed.
    HardState(HardState),
    /// Entries that replace all entries from the index of the first of them on.
    Entries(Vec<Entry>),
    /// The entries from this index on are discarded.
    Truncate(LogIndex),
    /// Another voter announced its start.
    Boot(InstanceId, Boot),
}

/// Position and membership that a snapshot covers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// Position of the last entry that the snapshot includes.
    pub last: LogPos,
    /// Membership as of that entry.
    pub members: Membership,
}

/// Encodes a value as a frame.
pub fn frame<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = vec![0; HEADER_BYTES];
    // Encoding into memory fails only for types that postcard cannot represent; no record has one.
    buf = postcard::to_extend(value, buf).unwrap_or_default();
    if buf.len() < HEADER_BYTES {
        return Vec::new();
    }
    let length = (buf.len() - HEADER_BYTES) as u32;
    let crc = crc32fast::hash(&buf[HEADER_BYTES..]);
    buf[..4].copy_from_slice(&length.to_le_bytes());
    buf[4..HEADER_BYTES].copy_from_slice(&crc.to_le_bytes());
    buf
}

/// Decodes the frame at the beginning of `data` and returns the value and the length of the frame.
///
/// Returns `None` if the frame is incomplete, too long or damaged.
pub fn unframe<T: DeserializeOwned>(data: &[u8]) -> Option<(T, usize)> {
    let header = data.get(..HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let crc = u32::from_le_bytes(header[4..].try_into().ok()?);
    if length == 0 || length > MAX_BODY_BYTES {
        return None;
    }
    let body = data.get(HEADER_BYTES..HEADER_BYTES + length)?;
    if crc32fast::hash(body) != crc {
        return None;
    }
    let value = postcard::from_bytes(body).ok()?;
    Some((value, HEADER_BYTES + length))
}
