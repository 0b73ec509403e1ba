//! Reads a backend server's HTTP response from a connection.
//!
//! A response is accepted only if it is complete according to its framing, and if nothing but another
//! response follows it.

use std::io;

use bytes::{Bytes, BytesMut};
use hornbeam_node::memory::{MemoryBudget, Reservation, SMALL_BYTES, UNRESERVED_BYTES};
use hornbeam_route::{RECORD_BYTES, merge_records};
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use tokio::net::TcpStream;

use crate::chunks::{ChunkLine, chunk_line, trailer_section};
use crate::response_head::{self, Framing, HeadScanner, ResponseHead, begins_response, invalid};

/// Longest response body accepted from a server, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Maximum number of informational responses before the final one.
const MAX_INFORMATIONAL: u32 = 16;
const CRLF: &[u8] = b"\r\n";
/// Buffer capacity reserved for one read, in bytes: most shard responses fit into one read.
const READ_BYTES: usize = UNRESERVED_BYTES;

/// A complete HTTP response of a backend server.
#[derive(Debug)]
pub struct RawResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Status line and header fields as received.
    head: Bytes,
    /// Body without chunk framing.
    pub body: Bytes,
    /// True if the framing and the bytes read allow another request on the connection.
    pub reusable: bool,
}

impl RawResponse {
    /// Creates a response that another entry has read and forwarded. An entry of an earlier build may have
    /// accepted what [`read_response`] refuses.
    ///
    /// # Errors
    ///
    /// Returns an error if head and body are not a valid response.
    pub fn from_peer(head: Vec<u8>, body: Vec<u8>, memory: &MemoryBudget) -> io::Result<Self> {
        let ResponseHead { status, framing, .. } = response_head::parse(&head, false)?;
        // A response to HEAD states the length of a body that it does not have.
        if matches!(framing, Framing::Length(length) if !body.is_empty() && length != body.len() as u64)
        {
            return Err(invalid("the body is not as long as the head states"));
        }
        Ok(Self { status, head: head.into(), body: memory.hold(body), reusable: false })
    }

    /// Marks the response as one to a request that was not written to its end: what is due next on the connection
    /// is the rest of that request.
    pub(crate) fn on_unfinished_request(mut self) -> Self {
        self.reusable = false;
        self
    }

    /// Keeps the greatest records of the body, all that a merged response can take from it.
    pub(crate) fn keep_greatest(&mut self, limit: usize, memory: &MemoryBudget) {
        if self.body.len() <= UNRESERVED_BYTES.max(limit.saturating_mul(RECORD_BYTES)) {
            return;
        }
        let records = merge_records([&self.body[..]], limit);
        self.body = memory.hold(records);
        // Head and body may have been read into one buffer.
        self.head = Bytes::copy_from_slice(&self.head);
    }

    /// Returns the bytes of the status line and the header fields.
    pub fn head_len(&self) -> usize {
        self.head.len()
    }

    /// Returns the status line and the header fields as received.
    pub fn head(&self) -> &[u8] {
        &self.head
    }

    /// Returns the first value of a header field.
    pub fn header(&self, name: &HeaderName) -> Option<&[u8]> {
        self.header_by_name(name.as_str())
    }

    /// Returns the first value of a header field; `name` is compared ignoring ASCII case.
    pub fn header_by_name(&self, name: &str) -> Option<&[u8]> {
        fields(&self.head).find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, v)| v)
    }

    /// Returns all values of a header field; `name` is compared ignoring ASCII case.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = move |n: &[u8]| n.eq_ignore_ascii_case(name.as_bytes());
        fields(&self.head).filter(move |(n, _)| named(n)).map(|(_, v)| v)
    }

    /// Returns all header fields whose name and value are valid.
    pub fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        for (name, value) in fields(&self.head) {
            let name = HeaderName::from_bytes(name);
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
                headers.append(name, value);
            }
        }
        headers
    }
}

/// Returns the name and value of each header field of a valid head.
pub(crate) fn fields(head: &[u8]) -> impl Iterator<Item = (&[u8], &[u8])> {
    head.split(|b| *b == b'\n').skip(1).filter_map(|line| {
        let colon = memchr::memchr(b':', line)?;
        Some((&line[..colon], line[colon + 1..].trim_ascii()))
    })
}

/// Reads one complete response and skips informational ones (1xx) before it. `to_head_request` tells that
/// the request was a HEAD request, whose response has no body.
///
/// # Errors
///
/// Returns an error if the connection fails or ends early, if the bytes are not a valid HTTP response
/// within the limits of this module (`InvalidData`), or if there is no memory for them (`OutOfMemory`).
pub async fn read_response(
    stream: &TcpStream,
    to_head_request: bool,
    memory: &MemoryBudget,
) -> io::Result<RawResponse> {
    let mut reader = Reader::new(stream, memory);
    for _ in 0..=MAX_INFORMATIONAL {
        let ResponseHead { status, length, framing, is_persistent } =
            reader.read_head(to_head_request).await?;
        let head = reader.buf.split_to(length).freeze();
        if status.is_informational() {
            continue;
        }
        let body = match framing {
            Framing::Length(length) => reader.read_fixed_length(length).await?,
            Framing::Chunked => reader.read_chunked().await?,
            Framing::UntilClose => reader.read_until_close().await?,
        };
        let has_more = reader.has_more_bytes()?;
        let reusable = !has_more && is_persistent && framing != Framing::UntilClose;
        reader.reservation.shrink(body.len());
        let body = reader.reservation.hold(body);
        return Ok(RawResponse { status, head, body, reusable });
    }
    Err(invalid("more than 16 informational responses precede the final one"))
}

/// Reads from a connection into a buffer.
struct Reader<'a> {
    stream: &'a TcpStream,
    buf: BytesMut,
    /// True if the last read took all bytes that had arrived.
    drained: bool,
    /// Capacity for the chunks that have been taken out of the buffer.
    chunks: usize,
    /// True once there is memory for the whole body, whatever its length.
    reserved_whole: bool,
    reservation: Reservation,
}

impl<'a> Reader<'a> {
    fn new(stream: &'a TcpStream, memory: &MemoryBudget) -> Self {
        Self {
            stream,
            buf: BytesMut::with_capacity(READ_BYTES),
            drained: false,
            chunks: 0,
            reserved_whole: false,
            reservation: memory.reservation(),
        }
    }

    async fn read_head(&mut self, to_head_request: bool) -> io::Result<ResponseHead> {
        let mut scanner = HeadScanner::default();
        loop {
            if let Some(head) = scanner.scan(&self.buf, to_head_request)? {
                return Ok(head);
            }
            self.read_some().await?;
        }
    }

    async fn read_fixed_length(&mut self, length: u64) -> io::Result<Bytes> {
        let length = self.body_length(0, length)?;
        // The bytes wait in the connection meanwhile.
        self.reservation.extend(length).await;
        self.reserved_whole = true;
        self.buf.reserve(length.saturating_sub(self.buf.len()));
        while self.buf.len() < length {
            self.read_some().await?;
        }
        Ok(self.buf.split_to(length).freeze())
    }

    async fn read_until_close(&mut self) -> io::Result<Bytes> {
        loop {
            match self.read_some().await {
                Ok(()) => {
                    self.body_length(self.buf.len(), 0)?;
                }
                // Only an orderly close (FIN) completes a body that is delimited by the close.
                Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => {
                    return Ok(self.buf.split().freeze());
                }
                Err(e) => return Err(e),
            }
        }
    }

    async fn read_chunked(&mut self) -> io::Result<Bytes> {
        let mut body = BytesMut::new();
        loop {
            let ChunkLine { length, size } = self.read_part(chunk_line).await?;
            let _ = self.buf.split_to(length);
            if size == 0 {
                // Trailers state nothing that the caller needs.
                let length = self.read_part(trailer_section).await?;
                let _ = self.buf.split_to(length);
                return Ok(body.freeze());
            }
            let size = self.body_length(body.len(), size)? - body.len();
            while self.buf.len() < size + CRLF.len() {
                self.read_some().await?;
            }
            if &self.buf[size..size + CRLF.len()] != CRLF {
                return Err(invalid("a chunk does not end with CRLF"));
            }
            body.extend_from_slice(&self.buf[..size]);
            self.chunks = body.capacity();
            let _ = self.buf.split_to(size + CRLF.len());
        }
    }

    /// Reads until `parse` finds a complete part at the start of the buffer.
    async fn read_part<T>(
        &mut self,
        parse: impl Fn(&[u8]) -> io::Result<Option<T>>,
    ) -> io::Result<T> {
        loop {
            if let Some(part) = parse(&self.buf)? {
                return Ok(part);
            }
            self.read_some().await?;
        }
    }

    async fn read_some(&mut self) -> io::Result<()> {
        self.reserve().await?;
        loop {
            self.stream.readable().await?;
            match self.try_read() {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Reserves memory for one more read. A body of unknown length that is no longer small waits for room for the
    /// longest one: if such bodies waited for parts of it, each might wait for all others.
    async fn reserve(&mut self) -> io::Result<()> {
        if self.reserved_whole {
            return Ok(());
        }
        let has_room = self.buf.capacity() - self.buf.len() >= READ_BYTES;
        // A buffer without room doubles.
        let capacity = self.buf.capacity().max(READ_BYTES) * if has_room { 1 } else { 2 };
        let size = self.chunks + capacity;
        if size > SMALL_BYTES {
            let longest = MAX_BODY_BYTES.min(self.reservation.largest());
            self.reservation.extend(longest).await;
            self.reserved_whole = true;
        } else if !self.reservation.try_extend(size) {
            return Err(no_room());
        }
        Ok(())
    }

    fn try_read(&mut self) -> io::Result<usize> {
        self.buf.reserve(READ_BYTES);
        let room = self.buf.capacity() - self.buf.len();
        let read = self.stream.try_read_buf(&mut self.buf)?;
        self.drained = read < room;
        Ok(read)
    }

    /// Returns the length of a body with `more` bytes after the first `length` ones.
    fn body_length(&self, length: usize, more: u64) -> io::Result<usize> {
        let total = usize::try_from(more).ok().and_then(|more| length.checked_add(more));
        let total = total.filter(|total| *total <= MAX_BODY_BYTES);
        let total = total.ok_or_else(|| invalid("the response body is longer than 8 MiB"))?;
        if total > self.reservation.largest() { Err(no_room()) } else { Ok(total) }
    }

    /// Returns true if more bytes have arrived after a response. They belong to no request, so the connection
    /// is not reused.
    ///
    /// # Errors
    ///
    /// Returns an error unless they begin another response: the head may state too short a length.
    fn has_more_bytes(&mut self) -> io::Result<bool> {
        if self.buf.is_empty() && !self.drained {
            // An error or the end of the connection shows up when it is used again.
            let _ = self.try_read();
        }
        if self.buf.is_empty() {
            return Ok(false);
        }
        if begins_response(&self.buf) {
            return Ok(true);
        }
        Err(invalid("bytes that are no response follow the body"))
    }
}

fn no_room() -> io::Error {
    let problem = "too many large responses are being read or held";
    io::Error::new(io::ErrorKind::OutOfMemory, problem)
}
