//! Authenticated frames for datagrams and streams.
//!
//! A frame consists of a version byte, a 16-byte keyed hash (BLAKE3) of the body, and the body,
//! encoded with postcard. On streams, a 4-byte little-endian length precedes each frame.

use hornbeam_model::InstanceId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::message::Message;

/// Version of the protocol between instances, the first byte of each frame.
pub const PROTOCOL_VERSION: u8 = 1;
/// Maximum length of a frame in a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Maximum length of a frame on a stream, in bytes.
pub const MAX_STREAM_BYTES: usize = 16 << 20;
/// Length of the keyed hash, in bytes.
const TAG_BYTES: usize = 16;
const HEADER_BYTES: usize = 1 + TAG_BYTES;
/// Context string for the derivation of the frame key.
const KEY_CONTEXT: &str = "hornbeamrun inner frames v1";

/// Message with its sender, receiver and position in the sender's session.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// Sender of the message.
    pub from: InstanceId,
    /// Receiver of the message; others refuse it.
    pub to: InstanceId,
    /// Session number of the sender, higher after each start.
    pub session: u64,
    /// Number of the message within the session; increases.
    pub seq: u64,
    /// Content.
    pub message: Message,
}

/// Error for a frame that cannot be sealed or opened.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum FrameError {
    /// The frame has no body or is longer than allowed.
    #[snafu(display("frame length of {length} bytes is out of range: check the sender"))]
    Length {
        /// Length of the frame in bytes.
        length: usize,
    },
    /// The sender uses a different protocol version.
    #[snafu(display(
        "protocol version {version} is not {PROTOCOL_VERSION}: run one release on all instances"
    ))]
    Version {
        /// Protocol version of the frame.
        version: u8,
    },
    /// The keyed hash does not match.
    #[snafu(display("frame authentication failed: use the same key file on all instances"))]
    Tag,
    /// The body cannot be encoded or decoded.
    #[snafu(display("frame body cannot be encoded or decoded: run one release on all instances"))]
    Body,
    /// The encoded message exceeds the maximum frame length.
    #[snafu(display("message needs a frame of {length} bytes, which is too long: split it"))]
    TooLong {
        /// Length of the frame in bytes.
        length: usize,
    },
}

/// Key for the authentication of frames; its `Debug` output hides the key.
#[derive(Clone)]
pub struct FrameKey([u8; 32]);

impl std::fmt::Debug for FrameKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FrameKey(..)")
    }
}

impl FrameKey {
    /// Derives the frame key from the shared secret.
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret))
    }

    /// Derives a key for another purpose from the shared secret; `context` identifies the purpose.
    pub fn for_purpose(secret: &[u8], context: &str) -> Self {
        Self(blake3::derive_key(context, secret))
    }

    /// Returns the 16-byte keyed hash of `data`.
    pub fn tag(&self, data: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.0, data);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Encodes a message into an authenticated frame of at most `max` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be encoded or its frame is longer than `max`.
    pub fn seal<T: Serialize>(&self, message: &T, max: usize) -> Result<Vec<u8>, FrameError> {
        let mut frame = vec![0; HEADER_BYTES];
        frame[0] = PROTOCOL_VERSION;
        frame = postcard::to_extend(message, frame).map_err(|_| FrameError::Body)?;
        if frame.len() > max {
            return Err(FrameError::TooLong { length: frame.len() });
        }
        let tag = self.tag(&frame[HEADER_BYTES..]);
        frame[1..HEADER_BYTES].copy_from_slice(&tag);
        Ok(frame)
    }

    /// Encodes a message like [`FrameKey::seal`], with an addition after it. Builds that do not know the
    /// addition ignore it.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be encoded or its frame is longer than `max`.
    pub fn seal_with<T: Serialize, U: Serialize>(
        &self,
        message: &T,
        addition: &U,
        max: usize,
    ) -> Result<Vec<u8>, FrameError> {
        // A pair is encoded as both values in a row.
        self.seal(&(message, addition), max)
    }

    /// Authenticates and decodes a frame of at most `max` bytes, and the addition after the message if
    /// there is a valid one.
    ///
    /// # Errors
    ///
    /// Returns an error like [`FrameKey::open`].
    pub fn open_with<T: DeserializeOwned, U: DeserializeOwned>(
        &self,
        frame: &[u8],
        max: usize,
    ) -> Result<(T, Option<U>), FrameError> {
        let body = self.authenticate(frame, max)?;
        let (message, rest) = postcard::take_from_bytes(body).map_err(|_| FrameError::Body)?;
        let addition = if rest.is_empty() { None } else { postcard::from_bytes(rest).ok() };
        Ok((message, addition))
    }

    /// Authenticates and decodes a frame of at most `max` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the length is out of range, the protocol version differs, authentication
    /// fails or the body cannot be decoded.
    pub fn open<T: DeserializeOwned>(&self, frame: &[u8], max: usize) -> Result<T, FrameError> {
        postcard::from_bytes(self.authenticate(frame, max)?).map_err(|_| FrameError::Body)
    }

    /// Authenticates a frame of at most `max` bytes without decoding it.
    ///
    /// # Errors
    ///
    /// Returns an error if the length is out of range, the protocol version differs or authentication fails.
    pub fn check(&self, frame: &[u8], max: usize) -> Result<(), FrameError> {
        self.authenticate(frame, max).map(drop)
    }

    /// Returns the body of a frame whose length, version and hash are valid.
    fn authenticate<'a>(&self, frame: &'a [u8], max: usize) -> Result<&'a [u8], FrameError> {
        if frame.len() <= HEADER_BYTES || frame.len() > max {
            return Err(FrameError::Length { length: frame.len() });
        }
        if frame[0] != PROTOCOL_VERSION {
            return Err(FrameError::Version { version: frame[0] });
        }
        let expected = self.tag(&frame[HEADER_BYTES..]);
        if !constant_time_eq(&expected, &frame[1..HEADER_BYTES]) {
            return Err(FrameError::Tag);
        }
        Ok(&frame[HEADER_BYTES..])
    }
}

fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    use subtle::ConstantTimeEq;
    a.ct_eq(b).into()
}
