//! Reading of request bodies within the memory for what clients send.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::connections::Connection;

/// Longest time in which a request body has to arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Capacity of a buffer for a body without a stated length, in bytes, to begin with.
const FIRST_CAPACITY: usize = 1 << 10;

/// Why a request body is not used. Nothing has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// It is longer than the limit.
    TooLong,
    /// There is no memory for it.
    NoRoom,
    /// It is malformed or incomplete.
    Invalid,
    /// It did not arrive within [`BODY_TIMEOUT`].
    TimedOut,
}

/// Reads a request body of at most `max` bytes; the request counts as served from then on. The memory for the body
/// is returned with the last reference to it.
///
/// # Errors
///
/// Returns an error if the body cannot be read in full.
pub async fn read_body<B>(connection: &Connection, body: B, max: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let collected = tokio::time::timeout(BODY_TIMEOUT, collect(connection, body, max)).await;
    collected.unwrap_or(Err(BodyError::TimedOut))
}

async fn collect<B>(connection: &Connection, mut body: B, max: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let stated = body.size_hint().lower();
    if stated > max as u64 {
        return Err(BodyError::TooLong);
    }
    let stated = stated as usize;
    let mut reservation = connection.reservation();
    if !connection.reserve(&mut reservation, stated).await {
        return Err(BodyError::NoRoom);
    }
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Invalid)?.into_data() else { continue };
        let length = bytes.len() + data.len();
        if length > max {
            return Err(BodyError::TooLong);
        }
        if length > bytes.capacity() {
            let most = if stated > 0 { stated } else { max };
            let doubled = (2 * bytes.capacity()).max(FIRST_CAPACITY);
            let capacity = doubled.clamp(length, most.max(length));
            if !connection.reserve(&mut reservation, capacity).await {
                return Err(BodyError::NoRoom);
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    connection.serve_request();
    Ok(reservation.hold(bytes.into()))
}
