//! Frames on a stream: a 4-byte little-endian length, then the frame.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Reads one frame of at most `max` bytes. Once its length is there the rest must come within
/// `timeout`.
///
/// # Errors
///
/// The stream ends or fails, the frame is too long, or its rest does not come in time.
pub async fn read_frame<R: AsyncRead + Unpin>(
    stream: &mut R,
    max: usize,
    timeout: Duration,
) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > max {
        let problem = format!("a frame of {length} bytes is longer than {max}");
        return Err(io::Error::new(io::ErrorKind::InvalidData, problem));
    }
    // The buffer grows with what arrives, not with what the length claims.
    let mut frame = Vec::new();
    let mut part = stream.take(length as u64);
    let read = tokio::time::timeout(timeout, part.read_to_end(&mut frame)).await;
    let read = read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    if read < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(frame)
}

/// Writes one frame.
///
/// # Errors
///
/// The stream fails.
pub async fn write_frame<W: AsyncWrite + Unpin>(stream: &mut W, frame: &[u8]) -> io::Result<()> {
    stream.write_all(&length_prefixed(frame)).await
}

/// A frame with its length before it, as it stands on a stream.
pub fn length_prefixed(frame: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(4 + frame.len());
    bytes.extend_from_slice(&(frame.len() as u32).to_le_bytes());
    bytes.extend_from_slice(frame);
    bytes
}
