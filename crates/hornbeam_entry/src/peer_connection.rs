//! A connection between two entries that carries messages in both directions.
//!
//! Messages are written immediately as far as the socket accepts them; the rest is buffered until
//! the socket is writable. All messages that have arrived are handled in one batch, so that a
//! cancellation is seen before the work that it cancels is started.

use std::cell::{Cell, RefCell};
use std::io;

use bytes::{Buf, BytesMut};
use hornbeam_node::frames::length_prefixed;
use hornbeam_protocol::FrameKey;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Longest message that is accepted or sent, in bytes: the longest response body with its head.
const MAX_MESSAGE_BYTES: usize = 9 << 20;
/// Buffered bytes above which the next message closes the connection, because the peer does not
/// keep up. Multiplied by the number of entries in a zone, it is a fraction of the smallest entry's
/// memory.
const MAX_PENDING_BYTES: usize = 2 << 20;
/// Bytes that are read before the messages in them are handled, unless a longer one is incomplete.
const MAX_BATCH_BYTES: usize = MAX_MESSAGE_BYTES + MAX_PENDING_BYTES;
/// Buffer capacity reserved for one read, in bytes.
const READ_BYTES: usize = 8 << 10;

/// One end of a connection between two entries.
pub struct PeerConnection {
    stream: TcpStream,
    key: FrameKey,
    pending: RefCell<BytesMut>,
    /// Wakes [`Self::run`] when bytes are buffered or the connection has to close.
    wake: Notify,
    closed: Cell<bool>,
}

impl PeerConnection {
    /// Wraps a connection that was accepted or has just been prepared.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket option cannot be set.
    pub fn new(stream: TcpStream, key: FrameKey) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            key,
            pending: RefCell::default(),
            wake: Notify::new(),
            closed: Cell::new(false),
        })
    }

    /// Sends a message and buffers what the socket does not accept immediately.
    pub fn send<T: Serialize>(&self, message: &T) {
        let frame = match self.key.seal(message, MAX_MESSAGE_BYTES) {
            Ok(frame) => frame,
            Err(e) => return log::error!("cannot encode a message to another entry: {e}"),
        };
        let bytes = length_prefixed(&frame);
        let mut pending = self.pending.borrow_mut();
        if pending.len() > MAX_PENDING_BYTES {
            return self.close();
        }
        // A write error shows up at the next read.
        let written =
            if pending.is_empty() { self.stream.try_write(&bytes).unwrap_or(0) } else { 0 };
        if written < bytes.len() {
            pending.extend_from_slice(&bytes[written..]);
            self.wake.notify_one();
        }
    }

    /// Closes the connection; [`Self::run`] returns soon after.
    pub fn close(&self) {
        self.closed.set(true);
        self.wake.notify_one();
    }

    /// Reads and writes messages until the connection ends and passes each received batch to
    /// `handle`.
    pub async fn run<T: DeserializeOwned>(&self, mut handle: impl FnMut(Vec<T>)) -> io::Error {
        let mut buf = BytesMut::with_capacity(READ_BYTES);
        loop {
            if self.closed.get() {
                return io::ErrorKind::NotConnected.into();
            }
            let waiting = !self.pending.borrow().is_empty();
            tokio::select! {
                readable = self.stream.readable() => {
                    if let Err(e) = readable.and_then(|()| self.read(&mut buf)) {
                        return e;
                    }
                    match self.decode(&mut buf) {
                        Ok(batch) if batch.is_empty() => {}
                        Ok(batch) => handle(batch),
                        Err(e) => return e,
                    }
                }
                writable = self.stream.writable(), if waiting => {
                    if let Err(e) = writable.and_then(|()| self.flush()) {
                        return e;
                    }
                }
                () = self.wake.notified() => {}
            }
        }
    }

    /// Reads all bytes that have arrived, up to [`MAX_BATCH_BYTES`]. A read that leaves room in the
    /// buffer was the last one.
    fn read(&self, buf: &mut BytesMut) -> io::Result<()> {
        while buf.len() < MAX_BATCH_BYTES {
            buf.reserve(READ_BYTES);
            let room = buf.capacity() - buf.len();
            match self.stream.try_read_buf(buf) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(read) if read < room => return Ok(()),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let mut pending = self.pending.borrow_mut();
        match self.stream.try_write(&pending) {
            Ok(written) => pending.advance(written),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        Ok(())
    }

    /// Removes all complete messages from `buf` and decodes them.
    fn decode<T: DeserializeOwned>(&self, buf: &mut BytesMut) -> io::Result<Vec<T>> {
        let mut batch = Vec::new();
        while let Some(length) = buf.first_chunk::<4>() {
            let length = u32::from_le_bytes(*length) as usize;
            if length > MAX_MESSAGE_BYTES {
                return Err(io::Error::other(
                    "a message is longer than 9 MiB: run the same release on all entries",
                ));
            }
            let Some(frame) = buf.get(4..4 + length) else { break };
            batch.push(self.key.open(frame, MAX_MESSAGE_BYTES).map_err(io::Error::other)?);
            buf.advance(4 + length);
        }
        Ok(batch)
    }
}
