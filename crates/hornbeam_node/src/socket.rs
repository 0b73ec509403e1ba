//! When a TCP connection without a sign of its peer ends.
//!
//! Every connection states this itself: what a library sets otherwise decides how long a request
//! waits on a dead connection. `TCP_USER_TIMEOUT` bounds the time for which sent bytes stay
//! unacknowledged, and on Linux also how long keep-alive probes stay unanswered, whatever their
//! number.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Limits on the silence of the peer of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Liveness {
    /// Time for which sent bytes or probes may stay unacknowledged before the connection ends.
    pub user_timeout: Duration,
    /// Idle time before the first keep-alive probe, in whole seconds.
    pub keepalive_idle: Duration,
    /// Interval between keep-alive probes, in whole seconds.
    pub keepalive_interval: Duration,
}

/// Connections of callers, operators and the platform: a response that is ready still arrives if the
/// link is back within half a minute.
pub const CALLERS: Liveness = Liveness::new(30_000, 15, 5);
/// Connections to backend servers. Requests have deadlines of their own; this ends idle connections
/// that have gone silent, and is longer than most cuts, since a request may still be delivered.
pub const SERVERS: Liveness = Liveness::new(10_000, 5, 2);
/// Connections between entries, and feeds: the other end is asked for work all the time.
pub const PEERS: Liveness = Liveness::new(2_000, 1, 1);
/// Streams between controllers and between instances; shorter than an election takes.
pub const CONTROL: Liveness = Liveness::new(800, 1, 1);

/// Connections that may wait to be accepted. Once they are too many, opening packets are dropped, and clients wait a
/// second before they send them again.
pub const BACKLOG: u32 = 1_024;
/// Receive and send buffer of a client's connection, in bytes. The kernel doubles it for its own use.
const CLIENT_BUFFER_BYTES: usize = 16 << 10;

impl Liveness {
    const fn new(user_timeout_ms: u64, idle_s: u64, interval_s: u64) -> Self {
        Self {
            user_timeout: Duration::from_millis(user_timeout_ms),
            keepalive_idle: Duration::from_secs(idle_s),
            keepalive_interval: Duration::from_secs(interval_s),
        }
    }

    /// Sets the limits on a socket.
    ///
    /// # Errors
    ///
    /// Returns an error if an option cannot be set.
    pub fn apply(self, socket: SockRef<'_>) -> io::Result<()> {
        let keepalive = TcpKeepalive::new()
            .with_time(self.keepalive_idle)
            .with_interval(self.keepalive_interval);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(self.user_timeout))
    }
}

/// Listens on an address. The connections that are accepted inherit the limits, which costs them no
/// system calls.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or an option cannot be set.
pub async fn listen(address: SocketAddr, liveness: Liveness) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?;
    liveness.apply(SockRef::from(&listener))?;
    Ok(listener)
}

/// Listens for clients like [`listen`], and bounds what the kernel holds for each: bytes that have arrived and are
/// not read, and bytes that the client does not take.
///
/// # Errors
///
/// Returns an error under the same conditions as [`listen`].
pub async fn listen_for_clients(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = listen(address, CALLERS).await?;
    bound_buffers(SockRef::from(&listener));
    Ok(listener)
}

/// Bounds the kernel's buffers of the connections that a listener accepts.
fn bound_buffers(listener: SockRef<'_>) {
    // Without the bounds the kernel may hold more, but all else works.
    for bounded in [
        listener.set_recv_buffer_size(CLIENT_BUFFER_BYTES),
        listener.set_send_buffer_size(CLIENT_BUFFER_BYTES),
    ] {
        if let Err(e) = bounded {
            log::warn!("cannot bound the socket buffers of clients: {e}");
        }
    }
}

/// Prepares a connection that was opened: sends small messages at once, and ends by `liveness`.
///
/// # Errors
///
/// Returns an error if an option cannot be set, for example because the peer has reset the
/// connection.
pub fn prepare(stream: &TcpStream, liveness: Liveness) -> io::Result<()> {
    // With Nagle's algorithm a short message may wait for the acknowledgment of the previous one.
    stream.set_nodelay(true)?;
    liveness.apply(SockRef::from(stream))
}
