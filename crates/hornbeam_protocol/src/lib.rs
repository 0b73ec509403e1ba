//! Messages between instances, with framing, authentication and replay detection.
//!
//! - [`message`]: messages between instances, digests and views
//! - [`control`]: messages of the control log between voters and learners
//! - [`discovery`]: claims of backend servers and the feed to entries
//! - [`gather`]: shard groups that one entry handles for another
//! - [`frame`]: authenticated frames for datagrams and streams
//! - [`replay`]: detection of replayed messages

pub mod control;
pub mod discovery;
pub mod features;
pub mod frame;
pub mod gather;
pub mod message;
pub mod replay;

pub use frame::{Envelope, FrameError, FrameKey, MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES};
pub use message::{
    ConfigState, Digest, DigestEntry, Message, ViewChange, ViewChanges, ViewFetch, ViewKey, ViewPos,
};
pub use replay::{ReplayGuard, ReplayVerdict};
