//! Status line and header fields of a backend server's response, and how they determine the end of its body
//! (RFC 9112, section 6.3).
//!
//! A head that deviates from the grammar where it determines the body is refused, not repaired: the body that
//! a lenient reader takes may not be the one that the server sent.

use std::io;

use hyper::StatusCode;
use memchr::{memchr_iter, memmem};

/// Longest response head accepted from a server, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Number of header fields that usually suffices.
const USUAL_HEADER_FIELDS: usize = 64;
/// Maximum number of header fields in a response.
const MAX_HEADER_FIELDS: usize = 1 << 10;
/// What every response begins with.
const START: &[u8] = b"HTTP/1.";
const END: &[u8] = b"\r\n\r\n";

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// By its length; 0 also for responses that have no body.
    Length(u64),
    /// By its last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// A complete response head.
#[derive(Debug)]
pub(crate) struct ResponseHead {
    /// HTTP status.
    pub status: StatusCode,
    /// Length of the head in bytes, with the empty line.
    pub length: usize,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// True if the server keeps the connection open unless it states otherwise.
    pub is_persistent: bool,
}

pub(crate) fn invalid(problem: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem)
}

/// Returns true if these bytes, which follow a response, begin another one.
pub(crate) fn begins_response(bytes: &[u8]) -> bool {
    bytes.starts_with(START)
}

/// Reads a head that arrives in parts.
#[derive(Debug, Default)]
pub(crate) struct HeadScanner {
    /// Bytes that contain no end of the head.
    scanned: usize,
}

impl HeadScanner {
    /// Returns the head at the start of `buf`, or `None` if it is not complete. `to_head_request` tells
    /// that the request was a HEAD request, whose response has no body.
    ///
    /// # Errors
    ///
    /// Returns an error as soon as the bytes cannot become a valid head.
    pub fn scan(&mut self, buf: &[u8], to_head_request: bool) -> io::Result<Option<ResponseHead>> {
        if !buf.iter().zip(START).all(|(found, expected)| found == expected) {
            return Err(invalid("the response does not begin with an HTTP/1 status line"));
        }
        let from = self.scanned.saturating_sub(END.len() - 1);
        let end = memmem::find(&buf[from..], END).map(|at| from + at + END.len());
        let lines = &buf[..end.unwrap_or(buf.len())];
        for at in memchr_iter(b'\n', &lines[self.scanned.min(lines.len())..]) {
            let at = self.scanned + at;
            if at == 0 || lines[at - 1] != b'\r' {
                return Err(invalid("a line of the response head does not end with CRLF"));
            }
        }
        match end {
            Some(end) => parse(&buf[..end], to_head_request).map(Some),
            None if buf.len() > MAX_HEAD_BYTES => {
                Err(invalid("the response head is longer than 64 KiB"))
            }
            None => {
                self.scanned = buf.len();
                Ok(None)
            }
        }
    }
}

/// Parses a complete head.
pub(crate) fn parse(head: &[u8], to_head_request: bool) -> io::Result<ResponseHead> {
    if head.len() > MAX_HEAD_BYTES {
        return Err(invalid("the response head is longer than 64 KiB"));
    }
    let mut usual = [httparse::EMPTY_HEADER; USUAL_HEADER_FIELDS];
    match parse_with(head, &mut usual, to_head_request) {
        Err(ParseError::TooManyFields) => {
            let mut fields = vec![httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
            parse_with(head, &mut fields, to_head_request)
        }
        parsed => parsed,
    }
    .map_err(|e| match e {
        ParseError::TooManyFields => invalid("the response has more than 1,024 header fields"),
        ParseError::Invalid(e) => e,
    })
}

enum ParseError {
    TooManyFields,
    Invalid(io::Error),
}

impl From<io::Error> for ParseError {
    fn from(e: io::Error) -> Self {
        Self::Invalid(e)
    }
}

fn parse_with<'b>(
    head: &'b [u8],
    fields: &mut [httparse::Header<'b>],
    to_head_request: bool,
) -> Result<ResponseHead, ParseError> {
    let mut response = httparse::Response::new(fields);
    match response.parse(head) {
        Ok(httparse::Status::Complete(length)) if length == head.len() => {}
        Err(httparse::Error::TooManyHeaders) => return Err(ParseError::TooManyFields),
        Ok(_) | Err(_) => return Err(invalid("the response head is not valid HTTP/1").into()),
    }
    let status = StatusCode::from_u16(response.code.unwrap_or(0)).ok();
    let status = status.filter(|s| s.as_u16() < 600);
    let status = status.ok_or_else(|| invalid("the response status code is invalid"))?;
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(invalid("the server switches to a protocol that was not requested").into());
    }
    let is_persistent = response.version == Some(1);
    let stated = StatedFraming::new(response.headers, is_persistent)?;
    let framing = stated.framing(status, to_head_request)?;
    Ok(ResponseHead { status, length: head.len(), framing, is_persistent })
}

/// What a head states about the body.
struct StatedFraming {
    length: Option<u64>,
    chunked: bool,
}

impl StatedFraming {
    fn new(fields: &[httparse::Header<'_>], knows_chunks: bool) -> io::Result<Self> {
        let mut stated = Self { length: None, chunked: false };
        for field in fields {
            if field.name.eq_ignore_ascii_case("content-length") {
                let value = parse_length(field.value)?;
                if stated.length.is_some_and(|known| known != value) {
                    return Err(invalid("the response has two different content-length values"));
                }
                stated.length = Some(value);
            } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
                if !field.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                    return Err(invalid("the transfer-encoding is not chunked"));
                }
                if std::mem::replace(&mut stated.chunked, true) {
                    return Err(invalid("the response has two transfer-encodings"));
                }
            }
        }
        if stated.chunked && !knows_chunks {
            return Err(invalid("a response of HTTP/1.0 has a transfer-encoding"));
        }
        if stated.chunked && stated.length.is_some() {
            return Err(invalid("the response has both content-length and transfer-encoding"));
        }
        Ok(stated)
    }

    fn framing(&self, status: StatusCode, to_head_request: bool) -> io::Result<Framing> {
        // RFC 9110 forbids these to announce content; that of 304 and of a response to HEAD is not sent.
        let is_empty = status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT);
        if is_empty && (self.chunked || self.length.is_some_and(|length| length > 0)) {
            return Err(invalid("a response without content announces some"));
        }
        if is_empty || to_head_request || status == StatusCode::NOT_MODIFIED {
            return Ok(Framing::Length(0));
        }
        Ok(match self.length {
            Some(length) => Framing::Length(length),
            None if self.chunked => Framing::Chunked,
            None => Framing::UntilClose,
        })
    }
}

/// Parses a Content-Length: digits only (RFC 9110, section 8.6).
fn parse_length(value: &[u8]) -> io::Result<u64> {
    let digits = value.trim_ascii();
    let is_plain = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    let digits = std::str::from_utf8(digits).ok().filter(|_| is_plain);
    let length = digits.and_then(|d| d.parse().ok());
    length.ok_or_else(|| invalid("the content-length is not a number"))
}
