//! The byte stream of a client's connection, which ends when the connection has to give way.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};

use crate::connections::{Connection, HeadRoom};

/// Most bytes taken by one read, which keeps the read buffer of a connection small.
pub const READ_BYTES: usize = 8 << 10;

/// A client's connection. Reads and writes fail once it has to be closed to make room for others.
#[derive(Debug)]
pub struct ClientStream<S> {
    stream: Take<S>,
    connection: Arc<Connection>,
}

fn displaced() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "closed to make room for other connections")
}

impl<S: AsyncRead + AsyncWrite + Unpin> ClientStream<S> {
    /// Wraps the stream of an admitted connection.
    pub fn new(stream: S, connection: Arc<Connection>) -> Self {
        Self { stream: stream.take(0), connection }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for ClientStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.poll_displaced(cx) {
            return Poll::Ready(Err(displaced()));
        }
        match self.connection.reserve_head(READ_BYTES) {
            HeadRoom::Reserved => {}
            HeadRoom::Soon => {
                // The connection that closes is polled before this one is again.
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            HeadRoom::None => return Poll::Ready(Err(displaced())),
        }
        self.stream.set_limit(READ_BYTES as u64);
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if read > 0 {
            self.connection.record_bytes(read);
        }
        polled
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> ClientStream<S> {
    fn poll_writing(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut S>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if self.connection.poll_displaced(cx) {
            return Poll::Ready(Err(displaced()));
        }
        let polled = write(Pin::new(self.stream.get_mut()), cx);
        if let Poll::Ready(Ok(written)) = polled {
            self.connection.record_sent(written);
        }
        polled
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for ClientStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_writing(cx, |stream, cx| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_writing(cx, |stream, cx| stream.poll_write_vectored(cx, bufs))
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
