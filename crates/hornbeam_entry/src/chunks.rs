//! Lines of the chunked transfer coding (RFC 9112, section 7.1).

use std::io;

use memchr::memchr;

use crate::response_head::invalid;

/// Longest line before a chunk, with its extensions, in bytes.
const MAX_LINE_BYTES: usize = 1 << 10;
/// Longest trailer section, in bytes.
const MAX_TRAILER_BYTES: usize = 8 << 10;
/// Maximum number of trailer fields.
const MAX_TRAILER_FIELDS: usize = 64;
/// Digits of the greatest chunk size.
const MAX_SIZE_DIGITS: usize = 16;

/// The line before a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ChunkLine {
    /// Length of the line in bytes, with its end.
    pub length: usize,
    /// Size of the chunk in bytes; 0 for the last one.
    pub size: u64,
}

/// Returns the line before a chunk at the start of `buf`, or `None` if it is not complete.
///
/// # Errors
///
/// Returns an error if the line is too long, or if its size is not a hexadecimal number.
pub(crate) fn chunk_line(buf: &[u8]) -> io::Result<Option<ChunkLine>> {
    let Some(end) = memchr(b'\n', buf) else {
        return match buf.len() {
            0..=MAX_LINE_BYTES => Ok(None),
            _ => Err(invalid("the line before a chunk is longer than 1 KiB")),
        };
    };
    let line = buf[..end].strip_suffix(b"\r");
    let size = line.filter(|l| l.len() <= MAX_LINE_BYTES).and_then(chunk_size);
    let size = size.ok_or_else(|| invalid("the chunk size is invalid"))?;
    Ok(Some(ChunkLine { length: end + 1, size }))
}

fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let (digits, extensions) = line.split_at(digits);
    let extensions = extensions.trim_ascii();
    let is_printable = |b: &u8| *b == b'\t' || !b.is_ascii_control();
    let has_valid_end =
        extensions.is_empty() || extensions[0] == b';' && extensions.iter().all(is_printable);
    if !has_valid_end || digits.len() > MAX_SIZE_DIGITS {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

/// Returns the length of the trailer section at the start of `buf`, or `None` if it is not complete. It ends
/// with an empty line.
///
/// # Errors
///
/// Returns an error if the section is too long or a line of it is no header field.
pub(crate) fn trailer_section(buf: &[u8]) -> io::Result<Option<usize>> {
    if buf.len() < 2 && b"\r\n".starts_with(buf) {
        return Ok(None);
    }
    let mut fields = [httparse::EMPTY_HEADER; MAX_TRAILER_FIELDS];
    match httparse::parse_headers(buf, &mut fields) {
        Ok(httparse::Status::Complete((length, _))) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if buf.len() <= MAX_TRAILER_BYTES => Ok(None),
        Ok(httparse::Status::Partial) => Err(invalid("the trailer section is longer than 8 KiB")),
        Err(_) => Err(invalid("the trailer section is not valid HTTP/1")),
    }
}
