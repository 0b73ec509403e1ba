//! Proxies between programs that delay, reset, cut or block links.
//!
//! Each program advertises an address of its proxy. The proxy forwards the traffic to the address
//! on which the program listens, as far as the state of the link allows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::JoinSet;

/// Interval at which the link state is polled while it blocks traffic, and for resets.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State of the links to a program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Forwards all traffic.
    Open,
    /// Forwards all traffic with a delay.
    Slow,
    /// Blocks traffic and new connections towards the program.
    CutInbound,
    /// Blocks traffic from the program.
    CutOutbound,
    /// Blocks all traffic and new connections.
    Blocked,
    /// Forwards all traffic of open connections; see [`crate::entry_links`].
    RefusesNew,
}

const LINK_STATES: [LinkState; 6] = [
    LinkState::Open,
    LinkState::Slow,
    LinkState::CutInbound,
    LinkState::CutOutbound,
    LinkState::Blocked,
    LinkState::RefusesNew,
];
/// Delay of each read on a slow link, in each direction; datagrams are delayed by a tenth of it.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(60);

/// Links to one program; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Links {
    state: Arc<AtomicU32>,
    /// Incremented to close every connection.
    resets: Arc<AtomicU64>,
}

impl Links {
    /// Returns the current state.
    pub fn state(&self) -> LinkState {
        LINK_STATES[self.state.load(Ordering::Relaxed) as usize % LINK_STATES.len()]
    }

    /// Changes the state, also for open connections.
    pub fn set(&self, state: LinkState) {
        let index = LINK_STATES.iter().position(|m| *m == state).unwrap_or(0);
        self.state.store(index as u32, Ordering::Relaxed);
    }

    /// Closes every open connection.
    pub fn reset(&self) {
        self.resets.fetch_add(1, Ordering::Relaxed);
    }

    async fn wait_until_forwarding(&self, inbound: bool) {
        loop {
            match (self.state(), inbound) {
                (LinkState::Open | LinkState::RefusesNew, _)
                | (LinkState::CutInbound, false)
                | (LinkState::CutOutbound, true) => return,
                (LinkState::Slow, _) => return tokio::time::sleep(SLOW_LINK_DELAY).await,
                _ => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }
}

/// Listens on `from` and forwards each connection to `to` until the task in `proxies` ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn forward_streams(
    from: SocketAddr,
    to: SocketAddr,
    links: Links,
    proxies: &mut JoinSet<()>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(from).await?;
    proxies.spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { return };
            tokio::spawn(forward_stream(stream, to, links.clone()));
        }
    });
    Ok(())
}

/// Forwards one connection to `to` until either end closes it or the links are reset.
pub async fn forward_stream(stream: TcpStream, to: SocketAddr, links: Links) {
    links.wait_until_forwarding(true).await;
    let Ok(other) = TcpStream::connect(to).await else { return reset(&stream) };
    let began = links.resets.load(Ordering::Relaxed);
    let watch = links.clone();
    let (a, b) = (stream.into_split(), other.into_split());
    tokio::select! {
        () = forward(a.0, b.1, links.clone(), true) => {}
        () = forward(b.0, a.1, links.clone(), false) => {}
        () = async {
            while watch.resets.load(Ordering::Relaxed) == began {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        } => {}
    }
}

/// Makes the connection end with a TCP reset instead of an orderly close.
pub fn reset(stream: &TcpStream) {
    // If the option cannot be set, the connection closes in order, which is a milder fault.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, links: Links, inbound: bool) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let Ok(n) = from.read(&mut buf).await else { return };
        if n == 0 {
            return;
        }
        links.wait_until_forwarding(inbound).await;
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}

/// Receives datagrams on `from` and forwards them to `to` until the task in `proxies` ends; responses are
/// not forwarded.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn forward_datagrams(
    from: SocketAddr,
    to: SocketAddr,
    links: Links,
    proxies: &mut JoinSet<()>,
) -> std::io::Result<()> {
    let socket = UdpSocket::bind(from).await?;
    let out = UdpSocket::bind(SocketAddr::new(from.ip(), 0)).await?;
    proxies.spawn(async move {
        let mut buf = vec![0; 64 << 10];
        loop {
            let Ok((n, _)) = socket.recv_from(&mut buf).await else { return };
            match links.state() {
                LinkState::Open | LinkState::CutOutbound | LinkState::RefusesNew => {}
                LinkState::Slow => tokio::time::sleep(SLOW_LINK_DELAY / 10).await,
                // A blocked link loses datagrams.
                LinkState::CutInbound | LinkState::Blocked => continue,
            }
            // A closed port at the receiver causes an error of a later send, which is ignored.
            let _ = out.send_to(&buf[..n], to).await;
        }
    });
    Ok(())
}
