//! Inner messages between instances, their framing and authentication.
//!
//! - [`message`]: what instances tell each other
//! - [`control`]: control traffic among voters
//! - [`discovery`]: claims of backend servers and the feed to entries
//! - [`gather`]: groups of shards that one entry collects for another
//! - [`frame`]: authenticated frames for datagrams and streams
//! - [`replay`]: refusal of frames that were seen before

pub mod control;
pub mod discovery;
pub mod frame;
pub mod gather;
pub mod message;
pub mod replay;

pub use frame::{Envelope, FrameError, FrameKey, MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES};
pub use message::{
    ConfigState, Digest, DigestEntry, Message, ViewChange, ViewChanges, ViewFetch, ViewKey, ViewPos,
};
pub use replay::{ReplayGuard, ReplayVerdict};
