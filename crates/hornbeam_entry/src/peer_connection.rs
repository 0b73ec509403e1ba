//! A connection between two entries that carries messages in both directions.
//!
//! Messages are written immediately as far as the socket accepts them; the rest is buffered until
//! the socket is writable. All messages that have arrived are handled in one batch, so that a
//! cancellation is seen before the work that it cancels is started.

use std::cell::{Cell, RefCell};
use std::io;
use std::time::Duration;

use bytes::{Buf, BufMut, BytesMut};
use hornbeam_node::connections::Connection;
use hornbeam_node::frames::length_prefixed;
use hornbeam_node::memory::{MemoryBudget, Reservation};
use hornbeam_protocol::FrameKey;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Longest message that is accepted or sent, in bytes: the longest response body with its head.
const MAX_MESSAGE_BYTES: usize = 9 << 20;
/// Buffered bytes above which the next message closes the connection, because the peer does not
/// keep up. Multiplied by the number of entries in a zone, it is a fraction of the smallest entry's
/// memory. Large messages do not count, since each holds up those behind it.
const MAX_PENDING_BYTES: usize = 2 << 20;
/// Length above which a message is large, in bytes: its memory is reserved before it is read.
const LARGE_MESSAGE_BYTES: usize = 256 << 10;
/// Bytes that are read before the messages in them are handled, unless a longer one is incomplete.
const MAX_BATCH_BYTES: usize = MAX_MESSAGE_BYTES + MAX_PENDING_BYTES;
/// Buffer capacity reserved for one read, in bytes; also the longest first message of a connection.
const READ_BYTES: usize = 8 << 10;
/// Longest time in which a connection that was accepted has to show the key. Its first message is short.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes that the socket has not accepted yet.
struct Pending {
    bytes: BytesMut,
    /// Length of the large messages since nothing was buffered.
    large: usize,
    reservation: Reservation,
}

impl Pending {
    fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        // What is buffered here was held as a response before.
        self.reservation.set(self.bytes.len());
    }

    fn advance(&mut self, written: usize) {
        self.bytes.advance(written);
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
            self.large = 0;
        }
        self.reservation.set(self.bytes.len());
    }
}

/// One end of a connection between two entries.
pub struct PeerConnection {
    stream: TcpStream,
    key: FrameKey,
    memory: MemoryBudget,
    pending: RefCell<Pending>,
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
    pub fn new(stream: TcpStream, key: FrameKey, memory: &MemoryBudget) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let reservation = memory.reservation();
        let pending = Pending { bytes: BytesMut::new(), large: 0, reservation };
        Ok(Self {
            stream,
            key,
            memory: memory.clone(),
            pending: RefCell::new(pending),
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
        if pending.bytes.len() > MAX_PENDING_BYTES + pending.large {
            return self.close();
        }
        if bytes.len() > LARGE_MESSAGE_BYTES {
            pending.large += bytes.len();
        }
        // A write error shows up at the next read.
        let written =
            if pending.bytes.is_empty() { self.stream.try_write(&bytes).unwrap_or(0) } else { 0 };
        if written < bytes.len() {
            pending.extend(&bytes[written..]);
            self.wake.notify_one();
        }
    }

    /// Closes the connection; [`Self::run`] returns soon after.
    pub fn close(&self) {
        self.closed.set(true);
        self.wake.notify_one();
    }

    /// Reads the start of a connection that was accepted until it shows the key with a complete message. Returns
    /// what has been read. `stranger` may have to give way until then.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or has to give way, if the first message is longer than
    /// [`READ_BYTES`], does not arrive in time or does not have the key.
    pub async fn authenticate(&self, stranger: Connection) -> io::Result<BytesMut> {
        let mut buf = BytesMut::with_capacity(READ_BYTES);
        let read = async {
            loop {
                self.stream.readable().await?;
                let room = READ_BYTES.saturating_sub(buf.len());
                match self.stream.try_read_buf(&mut (&mut buf).limit(room)) {
                    Ok(0) => return Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
                    Ok(read) => stranger.record_bytes(read),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                    Err(e) => return Err(e),
                }
                let Some(length) = buf.first_chunk::<4>() else { continue };
                let length = u32::from_le_bytes(*length) as usize;
                if length > READ_BYTES - 4 {
                    return Err(io::Error::other("the first message is too long"));
                }
                if let Some(frame) = buf.get(4..4 + length) {
                    self.key.check(frame, READ_BYTES).map_err(io::Error::other)?;
                    return Ok(());
                }
            }
        };
        tokio::select! {
            read = tokio::time::timeout(AUTHENTICATION_TIMEOUT, read) => {
                read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            }
            () = stranger.displaced() => return Err(io::ErrorKind::ConnectionAborted.into()),
        }
        Ok(buf)
    }

    /// Reads and writes messages until the connection ends and passes each received batch to
    /// `handle`.
    pub async fn run<T: DeserializeOwned>(&self, handle: impl FnMut(Vec<T>)) -> io::Error {
        self.run_from(BytesMut::with_capacity(READ_BYTES), handle).await
    }

    /// Does the same after `buf` has been read.
    pub async fn run_from<T: DeserializeOwned>(
        &self,
        mut buf: BytesMut,
        mut handle: impl FnMut(Vec<T>),
    ) -> io::Error {
        let mut reservation = self.memory.reservation();
        if !buf.is_empty() {
            // A failure shows again at the next read.
            let _ = self.read(&mut buf, &mut reservation);
            match self.decode(&mut buf) {
                Ok(batch) => handle(batch),
                Err(e) => return e,
            }
        }
        // Size of an incomplete message for which there is no room yet.
        let mut lacking = None;
        loop {
            if self.closed.get() {
                return io::ErrorKind::NotConnected.into();
            }
            let waiting = !self.pending.borrow().bytes.is_empty();
            tokio::select! {
                () = reservation.extend(lacking.unwrap_or(0)), if lacking.is_some() => lacking = None,
                readable = self.stream.readable(), if lacking.is_none() => {
                    if let Err(e) = readable.and_then(|()| self.read(&mut buf, &mut reservation)) {
                        return e;
                    }
                    match self.decode(&mut buf) {
                        Ok(batch) if batch.is_empty() => {}
                        Ok(batch) => handle(batch),
                        Err(e) => return e,
                    }
                    let size = buffered_size(&buf);
                    reservation.shrink(size);
                    if buf.is_empty() && buf.capacity() > LARGE_MESSAGE_BYTES {
                        buf = BytesMut::with_capacity(READ_BYTES);
                    }
                    if size > LARGE_MESSAGE_BYTES && !reservation.try_extend(size) {
                        lacking = Some(size).filter(|size| *size <= reservation.largest());
                        if lacking.is_none() {
                            // Other messages must not wait for room that there never is.
                            reservation.set(size);
                        }
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

    /// Reads all bytes that have arrived, up to [`MAX_BATCH_BYTES`] and as far as there is room. A read that
    /// leaves room in the buffer was the last one.
    fn read(&self, buf: &mut BytesMut, reservation: &mut Reservation) -> io::Result<()> {
        while buf.len() < MAX_BATCH_BYTES {
            let size = buffered_size(buf);
            if size > LARGE_MESSAGE_BYTES && !reservation.try_extend(size) {
                return Ok(());
            }
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
        match self.stream.try_write(&pending.bytes) {
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

/// Returns the size of a buffer that holds the messages in `buf` once the last one is complete.
fn buffered_size(buf: &[u8]) -> usize {
    let mut size = 0;
    while let Some(length) = buf.get(size..).and_then(<[u8]>::first_chunk::<4>) {
        // A longer message is refused when it is decoded.
        size += 4 + (u32::from_le_bytes(*length) as usize).min(MAX_MESSAGE_BYTES);
    }
    size.max(buf.len())
}
