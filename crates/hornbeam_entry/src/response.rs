//! Reads a server's answer off a connection.
//!
//! An answer counts only if it is complete by its own framing. Bytes behind it belong to no request.

use std::io;

use bytes::{Bytes, BytesMut};
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use tokio::net::TcpStream;

/// Longest head taken from a server, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Longest answer taken from a server, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Most header fields taken from a server.
const MAX_FIELDS: usize = 64;
/// Room for one read, in bytes: most parts come whole.
const READ_BYTES: usize = 4 << 10;

/// A whole answer.
#[derive(Debug)]
pub struct RawResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its head as it came.
    head: Bytes,
    /// Its whole body.
    pub body: Bytes,
    /// True if the connection can carry another request.
    pub reusable: bool,
}

impl RawResponse {
    /// The first value of a header field; `name` in lower case.
    pub fn header(&self, name: &HeaderName) -> Option<&[u8]> {
        self.find(name.as_str())
    }

    /// The first value of a header field by its name in lower case.
    pub fn find(&self, name: &str) -> Option<&[u8]> {
        fields(&self.head).find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, v)| v)
    }

    /// All header fields.
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

/// Name and value of each field of a head that was parsed before.
fn fields(head: &[u8]) -> impl Iterator<Item = (&[u8], &[u8])> {
    head.split(|b| *b == b'\n').skip(1).filter_map(|line| {
        let colon = memchr::memchr(b':', line)?;
        Some((&line[..colon], line[colon + 1..].trim_ascii()))
    })
}

/// How long a body is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

fn invalid(problem: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem)
}

/// Reads one whole answer.
///
/// # Errors
///
/// The connection fails or ends early, or what comes is no answer.
pub async fn read_response(stream: &TcpStream) -> io::Result<RawResponse> {
    let mut buf = BytesMut::with_capacity(READ_BYTES);
    loop {
        let (status, length, framing) = read_head(stream, &mut buf).await?;
        let head = buf.split_to(length).freeze();
        if status.is_informational() {
            continue;
        }
        let body = match framing {
            Framing::Length(length) => read_length(stream, &mut buf, length).await?,
            Framing::Chunked => read_chunks(stream, &mut buf).await?,
            Framing::UntilClose => read_until_close(stream, &mut buf).await?,
        };
        // What stands behind the answer was not asked for.
        let reusable = buf.is_empty() && framing != Framing::UntilClose;
        return Ok(RawResponse { status, head, body, reusable });
    }
}

/// Reads until the head is whole; its status, length and the framing of the body.
async fn read_head(
    stream: &TcpStream,
    buf: &mut BytesMut,
) -> io::Result<(StatusCode, usize, Framing)> {
    loop {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        match response.parse(buf) {
            Ok(httparse::Status::Complete(length)) => {
                let status = StatusCode::from_u16(response.code.unwrap_or(0));
                let status = status.map_err(|_| invalid("the status is none"))?;
                return Ok((status, length, framing(status, response.headers)?));
            }
            Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD_BYTES => {
                return Err(invalid("the head is too long"));
            }
            Ok(httparse::Status::Partial) => {}
            Err(_) => return Err(invalid("the head is none")),
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
            let value: usize = text.trim().parse().map_err(|_| invalid("the length is none"))?;
            if length.is_some_and(|known| known != value) {
                return Err(invalid("the head states two lengths"));
            }
            length = Some(value);
        } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = field.value.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if !chunked {
                return Err(invalid("the transfer encoding is not known"));
            }
        }
    }
    if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        || status.is_informational()
    {
        return Ok(Framing::Length(0));
    }
    match (chunked, length) {
        (true, Some(_)) => Err(invalid("the head states a length and chunks")),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(length)) if length > MAX_ANSWER_BYTES => Err(invalid("the body is too long")),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::UntilClose),
    }
}

async fn read_length(stream: &TcpStream, buf: &mut BytesMut, length: usize) -> io::Result<Bytes> {
    while buf.len() < length {
        read_some(stream, buf).await?;
    }
    Ok(buf.split_to(length).freeze())
}

async fn read_until_close(stream: &TcpStream, buf: &mut BytesMut) -> io::Result<Bytes> {
    loop {
        match read_some(stream, buf).await {
            Ok(()) if buf.len() > MAX_ANSWER_BYTES => return Err(invalid("the body is too long")),
            Ok(()) => {}
            // Only an orderly end makes such a body whole.
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(buf.split().freeze()),
            Err(e) => return Err(e),
        }
    }
}

async fn read_chunks(stream: &TcpStream, buf: &mut BytesMut) -> io::Result<Bytes> {
    let mut body = BytesMut::new();
    loop {
        let (start, size) = loop {
            match httparse::parse_chunk_size(buf) {
                Ok(httparse::Status::Complete((start, size))) => break (start, size as usize),
                Ok(httparse::Status::Partial) => read_some(stream, buf).await?,
                Err(_) => return Err(invalid("a chunk has no size")),
            }
        };
        if body.len().saturating_add(size) > MAX_ANSWER_BYTES {
            return Err(invalid("the body is too long"));
        }
        // The chunk and the line end behind it; behind the last chunk, trailers are not taken.
        let whole = start + size + 2;
        while buf.len() < whole {
            read_some(stream, buf).await?;
        }
        if &buf[start + size..whole] != b"\r\n" {
            return Err(invalid("a chunk has no end"));
        }
        body.extend_from_slice(&buf[start..start + size]);
        let _ = buf.split_to(whole);
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
