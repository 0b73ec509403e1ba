//! Reads a backend server's HTTP response from a connection.
//!
//! A response is accepted only if it is complete according to its framing. Bytes after it belong to
//! no request, so the connection is not reused.

use std::io;

use bytes::{Bytes, BytesMut};
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use tokio::net::TcpStream;

/// Longest response head accepted from a server, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Longest response body accepted from a server, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Longest line before a chunk, with its extensions, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1 << 10;
/// Maximum number of informational responses before the final one.
const MAX_INFORMATIONAL: u32 = 16;
/// Maximum number of header fields in a response.
const MAX_HEADER_FIELDS: usize = 64;
/// Buffer capacity reserved for one read, in bytes: most shard responses fit into one read.
const READ_BYTES: usize = 4 << 10;

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
    /// Creates a response that another entry received; its connection is not here.
    pub fn new(status: StatusCode, head: Vec<u8>, body: Vec<u8>) -> Self {
        Self { status, head: head.into(), body: body.into(), reusable: false }
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

/// Returns the name and value of each header field; the head has already been parsed successfully.
fn fields(head: &[u8]) -> impl Iterator<Item = (&[u8], &[u8])> {
    head.split(|b| *b == b'\n').skip(1).filter_map(|line| {
        let colon = memchr::memchr(b':', line)?;
        Some((&line[..colon], line[colon + 1..].trim_ascii()))
    })
}

/// How the end of a body is determined (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

fn invalid(problem: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem)
}

/// Reads one complete response and skips informational ones (1xx) before it.
///
/// # Errors
///
/// Returns an error if the connection fails or ends early, or if the bytes are not a valid HTTP
/// response within the limits of this module.
pub async fn read_response(stream: &TcpStream) -> io::Result<RawResponse> {
    let mut buf = BytesMut::with_capacity(READ_BYTES);
    for _ in 0..=MAX_INFORMATIONAL {
        let (status, length, framing) = read_head(stream, &mut buf).await?;
        let head = buf.split_to(length).freeze();
        if status.is_informational() {
            continue;
        }
        let body = match framing {
            Framing::Length(length) => read_fixed_length(stream, &mut buf, length).await?,
            Framing::Chunked => read_chunked(stream, &mut buf).await?,
            Framing::UntilClose => read_until_close(stream, &mut buf).await?,
        };
        // Bytes after the response belong to no request; such a connection is not reused.
        let reusable = buf.is_empty() && framing != Framing::UntilClose;
        return Ok(RawResponse { status, head, body, reusable });
    }
    Err(invalid("more than 16 informational responses precede the final one"))
}

/// Reads until the head is complete; returns its status and length and the framing of the body.
async fn read_head(
    stream: &TcpStream,
    buf: &mut BytesMut,
) -> io::Result<(StatusCode, usize, Framing)> {
    loop {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        match response.parse(buf) {
            Ok(httparse::Status::Complete(length)) => {
                let status = StatusCode::from_u16(response.code.unwrap_or(0));
                let status = status.map_err(|_| invalid("the response status code is invalid"))?;
                return Ok((status, length, framing(status, response.headers)?));
            }
            Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD_BYTES => {
                return Err(invalid("the response head is longer than 64 KiB"));
            }
            Ok(httparse::Status::Partial) => {}
            Err(_) => return Err(invalid("the response head is not valid HTTP/1")),
        }
        read_some(stream, buf).await?;
    }
}

fn framing(status: StatusCode, fields: &[httparse::Header<'_>]) -> io::Result<Framing> {
    let mut length = None;
    let mut chunked = false;
    for field in fields {
        if field.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(field.value).unwrap_or_default();
            let value: usize =
                text.trim().parse().map_err(|_| invalid("the content-length is not a number"))?;
            if length.is_some_and(|known| known != value) {
                return Err(invalid("the response has two different content-length values"));
            }
            length = Some(value);
        } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = field.value.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if !chunked {
                return Err(invalid("the transfer-encoding is not chunked"));
            }
        }
    }
    if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        || status.is_informational()
    {
        return Ok(Framing::Length(0));
    }
    match (chunked, length) {
        (true, Some(_)) => {
            Err(invalid("the response has both content-length and transfer-encoding"))
        }
        (true, None) => Ok(Framing::Chunked),
        (false, Some(length)) if length > MAX_BODY_BYTES => {
            Err(invalid("the response body is longer than 8 MiB"))
        }
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::UntilClose),
    }
}

async fn read_fixed_length(
    stream: &TcpStream,
    buf: &mut BytesMut,
    length: usize,
) -> io::Result<Bytes> {
    while buf.len() < length {
        read_some(stream, buf).await?;
    }
    Ok(buf.split_to(length).freeze())
}

async fn read_until_close(stream: &TcpStream, buf: &mut BytesMut) -> io::Result<Bytes> {
    loop {
        match read_some(stream, buf).await {
            Ok(()) if buf.len() > MAX_BODY_BYTES => {
                return Err(invalid("the response body is longer than 8 MiB"));
            }
            Ok(()) => {}
            // Only an orderly close (FIN) completes a body that is delimited by the close.
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(buf.split().freeze()),
            Err(e) => return Err(e),
        }
    }
}

async fn read_chunked(stream: &TcpStream, buf: &mut BytesMut) -> io::Result<Bytes> {
    let mut body = BytesMut::new();
    loop {
        let (start, size) = loop {
            match httparse::parse_chunk_size(buf) {
                Ok(httparse::Status::Complete((start, size))) => break (start, size as usize),
                Ok(httparse::Status::Partial) if buf.len() > MAX_CHUNK_LINE_BYTES => {
                    return Err(invalid("the line before a chunk is longer than 1 KiB"));
                }
                Ok(httparse::Status::Partial) => read_some(stream, buf).await?,
                Err(_) => return Err(invalid("the chunk size is invalid")),
            }
        };
        if body.len().saturating_add(size) > MAX_BODY_BYTES {
            return Err(invalid("the response body is longer than 8 MiB"));
        }
        // The chunk and the CRLF after it. Trailers after the last chunk are not accepted.
        let end = start + size + 2;
        while buf.len() < end {
            read_some(stream, buf).await?;
        }
        if &buf[start + size..end] != b"\r\n" {
            return Err(invalid("a chunk does not end with CRLF"));
        }
        body.extend_from_slice(&buf[start..start + size]);
        let _ = buf.split_to(end);
        if size == 0 {
            return Ok(body.freeze());
        }
    }
}

async fn read_some(stream: &TcpStream, buf: &mut BytesMut) -> io::Result<()> {
    buf.reserve(READ_BYTES);
    loop {
        stream.readable().await?;
        match stream.try_read_buf(buf) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => return Ok(()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
}
