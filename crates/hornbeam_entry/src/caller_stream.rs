//! A caller's connection, on which the limits of the table in force apply to each request head.
//!
//! hyper takes its limits when a connection is accepted. A table may change them while it is open, and the
//! first table may arrive after it was accepted, so they are applied here to each read.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hornbeam_model::CallerLimits;
use hornbeam_node::client_stream::{ClientStream, READ_BYTES};
use hornbeam_node::pages::{REFUSAL_LINGER, discard};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf, Take};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Longest request head whatever the table allows, in bytes.
pub const MAX_HEAD_BYTES: usize = 1 << 20;
/// Limits on request heads below this size count as this size, in bytes.
const MIN_HEAD_LIMIT_BYTES: usize = 8 << 10;
/// Time for which a caller may be silent before a head is complete, whatever the table allows.
const MIN_HEAD_TIME: Duration = Duration::from_secs(1);
const HEAD_TOO_LONG: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// The request head that a connection waits for or reads, shared by its stream and its requests.
#[derive(Debug)]
pub struct RequestHead {
    /// Limits of the table in force; `None` before the first.
    limits: Rc<Cell<Option<CallerLimits>>>,
    /// Bytes read since the connection began to wait; `None` while bytes of a request body may arrive.
    bytes: Cell<Option<usize>>,
    /// When the connection began to wait; `None` while a request is in flight.
    waiting_since: Cell<Option<Instant>>,
    /// True once a head was longer than the limit.
    is_too_long: Cell<bool>,
    /// True once a request was refused before its body was read.
    is_unread: Cell<bool>,
}

impl RequestHead {
    /// Creates the state of a connection that waits for its first request.
    pub fn new(limits: Rc<Cell<Option<CallerLimits>>>) -> Self {
        Self {
            limits,
            bytes: Cell::new(Some(0)),
            waiting_since: Cell::new(Some(Instant::now())),
            is_too_long: Cell::new(false),
            is_unread: Cell::new(false),
        }
    }

    /// Records that the head is complete and that its request is in flight.
    pub fn complete(&self) {
        self.bytes.set(None);
        self.waiting_since.set(None);
    }

    /// Records that the connection waits for another request. `read_whole` is false if the body of the
    /// last one may still arrive; its bytes must not count, and the connection closes.
    pub fn await_next(&self, read_whole: bool) {
        self.bytes.set(read_whole.then_some(0));
        self.is_unread.set(!read_whole);
        self.waiting_since.set(Some(Instant::now()));
    }

    /// Returns true once a head was longer than the limit.
    pub fn is_too_long(&self) -> bool {
        self.is_too_long.get()
    }

    /// Returns true once a request was refused before its body was read.
    pub fn is_unread(&self) -> bool {
        self.is_unread.get()
    }

    /// Returns the time by which the connection has to close if it is still waiting: after an unread request soon,
    /// otherwise when the head has to be complete. While a request is in flight, it is the
    /// time for a request that would end now.
    pub fn deadline(&self) -> Instant {
        let limits = self.limits.get().unwrap_or_default();
        let time = |ms| Duration::from_millis(u64::from(ms));
        let since = self.waiting_since.get().unwrap_or_else(Instant::now);
        if self.is_unread.get() {
            return since + REFUSAL_LINGER;
        }
        let stated = time(limits.idle_timeout_ms) + time(limits.header_timeout_ms);
        since + stated.max(MIN_HEAD_TIME)
    }

    /// Returns how many more bytes may be read; zero if the head is longer than the limit.
    fn room(&self) -> usize {
        let Some(bytes) = self.bytes.get() else { return READ_BYTES };
        // The first table may allow any head.
        let limit = self.limits.get().map_or(MAX_HEAD_BYTES, |l| l.max_header_bytes as usize);
        limit.clamp(MIN_HEAD_LIMIT_BYTES, MAX_HEAD_BYTES).saturating_sub(bytes).min(READ_BYTES)
    }

    fn record_read(&self, read: usize) {
        self.bytes.set(self.bytes.get().map(|bytes| bytes + read));
    }
}

/// A caller's connection.
#[derive(Debug)]
pub struct CallerStream {
    stream: Take<ClientStream<TcpStream>>,
    head: Rc<RequestHead>,
}

impl CallerStream {
    /// Applies the limits on request heads to a connection.
    pub fn new(stream: ClientStream<TcpStream>, head: Rc<RequestHead>) -> Self {
        Self { stream: stream.take(0), head }
    }

    /// Refuses the request whose head is too long, and closes the connection.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the caller cannot be answered.
    pub async fn refuse_head(self) -> io::Result<()> {
        let mut stream = self.stream.into_inner();
        stream.write_all(HEAD_TOO_LONG).await?;
        stream.shutdown().await?;
        discard(stream).await;
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let room = self.head.room();
        if room == 0 {
            // Whoever polls the connection then looks at the head.
            self.head.is_too_long.set(true);
            return Poll::Pending;
        }
        self.stream.set_limit(room as u64);
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.head.record_read(buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(cx)
    }
}
