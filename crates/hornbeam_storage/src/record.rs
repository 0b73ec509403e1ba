//! What is written, and its framing.
//!
//! A framed record is its length (4 bytes, little endian), the CRC-32 of its body, and the body in
//! postcard.

use hornbeam_model::InstanceId;
use hornbeam_protocol::control::{DiskId, Entry, LogIndex, LogPos, Membership, Term};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Bytes before the body of a framed record.
pub const HEADER_BYTES: usize = 8;
/// Longest body of a framed record, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// What a voter must not forget.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// Whom it voted for in that term.
    pub voted_for: Option<InstanceId>,
}

/// A start of another voter, as it showed itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Boot {
    /// The disk it started with.
    pub disk: DiskId,
    /// Number of the start.
    pub boot: u64,
    /// Random number of the start, which tells two copies of one disk apart.
    pub nonce: u64,
}

/// One write to the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// The term or vote changed.
    HardState(HardState),
    /// Entries replace everything from the first of them on.
    Entries(Vec<Entry>),
    /// Everything from this entry on is discarded.
    Truncate(LogIndex),
    /// Another voter showed itself.
    Boot(InstanceId, Boot),
}

/// What a snapshot stands for.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// The last entry that it includes.
    pub last: LogPos,
    /// Who votes as of that entry.
    pub members: Membership,
}

/// Frames a value.
pub fn frame<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = vec![0; HEADER_BYTES];
    // Encoding into memory fails only for types that postcard cannot express; none is used.
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

/// Reads the framed value at the beginning of `data`; the value and its framed length.
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
