//! Length-prefixed frames on a byte stream: a 4-byte little-endian length, followed by the frame.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::connections::Connection;
use crate::memory::Reservation;

/// Reads one frame of at most `max` bytes. Waits for the length without a limit; the frame itself
/// must arrive within `timeout` after it.
///
/// # Errors
///
/// Returns an error if the stream ends or fails, the frame is longer than `max` (`InvalidData`), or
/// it does not arrive in time (`TimedOut`).
pub async fn read_frame<R: AsyncRead + Unpin>(
    stream: &mut R,
    max: usize,
    timeout: Duration,
) -> io::Result<Vec<u8>> {
    let length = read_length(stream, max).await?;
    read_content(stream, length, timeout).await
}

/// Reads the first frame of a connection like [`read_frame`], before it is known who speaks: its length has to
/// arrive in time as well, and the connection may have to give way. Returns the frame with the memory reserved for
/// it, which may be returned once the frame is authenticated.
///
/// # Errors
///
/// Returns an error as [`read_frame`] does, if there is no memory for the frame (`OutOfMemory`), or if the
/// connection has to give way (`ConnectionAborted`).
pub async fn read_first_frame<R: AsyncRead + Unpin>(
    stream: &mut R,
    max: usize,
    timeout: Duration,
    connection: &Connection,
) -> io::Result<(Vec<u8>, Reservation)> {
    let read = async {
        let length = tokio::time::timeout(timeout, read_length(stream, max)).await;
        let length = length.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        connection.record_progress();
        let mut reservation = connection.reservation();
        // The buffer doubles as it grows.
        if !connection.reserve(&mut reservation, 2 * length).await {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        Ok((read_content(stream, length, timeout).await?, reservation))
    };
    tokio::select! {
        frame = read => frame,
        () = connection.displaced() => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

async fn read_length<R: AsyncRead + Unpin>(stream: &mut R, max: usize) -> io::Result<usize> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > max {
        let message = format!("frame of {length} bytes exceeds the limit of {max} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    Ok(length)
}

async fn read_content<R: AsyncRead + Unpin>(
    stream: &mut R,
    length: usize,
    timeout: Duration,
) -> io::Result<Vec<u8>> {
    // The buffer grows with the received bytes, so a false length cannot cause a large allocation.
    let mut frame = Vec::new();
    let mut body = stream.take(length as u64);
    let read = tokio::time::timeout(timeout, body.read_to_end(&mut frame)).await;
    let read = read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    if read < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(frame)
}

/// Writes one frame with its length prefix.
///
/// # Errors
///
/// Returns an error if the stream fails.
pub async fn write_frame<W: AsyncWrite + Unpin>(stream: &mut W, frame: &[u8]) -> io::Result<()> {
    stream.write_all(&length_prefixed(frame)).await
}

/// Returns the frame with its length prefix, as it is sent on a stream.
pub fn length_prefixed(frame: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(4 + frame.len());
    bytes.extend_from_slice(&(frame.len() as u32).to_le_bytes());
    bytes.extend_from_slice(frame);
    bytes
}
