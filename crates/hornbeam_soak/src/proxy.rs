//! Links between programs that can be delayed, reset, cut one way or silenced.
//!
//! Each controller is known by an address of the proxy; what comes there is carried to the address where
//! it really listens, while the link's state allows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Time between two looks at the state while nothing is carried.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// How links behave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Carries everything.
    Open,
    /// Carries everything late.
    Slow,
    /// Carries nothing towards the controller.
    CutInbound,
    /// Carries nothing back.
    CutOutbound,
    /// Carries nothing, and takes no new connections.
    Blocked,
}

const LINK_STATES: [LinkState; 5] = [
    LinkState::Open,
    LinkState::Slow,
    LinkState::CutInbound,
    LinkState::CutOutbound,
    LinkState::Blocked,
];
/// Delay of a slow link, each way.
const SLOW: Duration = Duration::from_millis(60);

/// The links to one controller; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Links {
    state: Arc<AtomicU32>,
    /// Rises when every connection is to be reset.
    resets: Arc<AtomicU64>,
}

impl Links {
    /// The present state.
    pub fn state(&self) -> LinkState {
        LINK_STATES[self.state.load(Ordering::Relaxed) as usize % LINK_STATES.len()]
    }

    /// Sets the state.
    pub fn set(&self, state: LinkState) {
        let index = LINK_STATES.iter().position(|m| *m == state).unwrap_or(0);
        self.state.store(index as u32, Ordering::Relaxed);
    }

    /// Resets every connection.
    pub fn reset(&self) {
        self.resets.fetch_add(1, Ordering::Relaxed);
    }

    async fn wait_until_carried(&self, there: bool) {
        loop {
            match (self.state(), there) {
                (LinkState::Open, _)
                | (LinkState::CutInbound, false)
                | (LinkState::CutOutbound, true) => return,
                (LinkState::Slow, _) => return tokio::time::sleep(SLOW).await,
                _ => tokio::time::sleep(LOOK_EVERY).await,
            }
        }
    }
}

/// Carries connections from `from` to `to`.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn carry_streams(from: SocketAddr, to: SocketAddr, links: Links) -> std::io::Result<()> {
    let listener = TcpListener::bind(from).await?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { return };
            let links = links.clone();
            tokio::spawn(async move {
                links.wait_until_carried(true).await;
                let Ok(other) = TcpStream::connect(to).await else { return reset(&stream) };
                let began = links.resets.load(Ordering::Relaxed);
                let watch = links.clone();
                let (a, b) = (stream.into_split(), other.into_split());
                tokio::select! {
                    () = carry(a.0, b.1, links.clone(), true) => {}
                    () = carry(b.0, a.1, links.clone(), false) => {}
                    () = async {
                        while watch.resets.load(Ordering::Relaxed) == began {
                            tokio::time::sleep(LOOK_EVERY).await;
                        }
                    } => {}
                }
            });
        }
    });
    Ok(())
}

/// Lets a connection end with a reset instead of an orderly close.
fn reset(stream: &TcpStream) {
    // Without it the connection ends orderly, which is a milder fault.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn carry(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, links: Links, there: bool) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let Ok(n) = from.read(&mut buf).await else { return };
        if n == 0 {
            return;
        }
        links.wait_until_carried(there).await;
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}

/// Carries datagrams from `from` to `to`, one way.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn carry_datagrams(
    from: SocketAddr,
    to: SocketAddr,
    links: Links,
) -> std::io::Result<()> {
    let socket = UdpSocket::bind(from).await?;
    let out = UdpSocket::bind(SocketAddr::new(from.ip(), 0)).await?;
    tokio::spawn(async move {
        let mut buf = vec![0; 64 << 10];
        loop {
            let Ok((n, _)) = socket.recv_from(&mut buf).await else { return };
            match links.state() {
                LinkState::Open | LinkState::CutOutbound => {}
                LinkState::Slow => tokio::time::sleep(SLOW / 10).await,
                // A datagram on a cut link is lost.
                LinkState::CutInbound | LinkState::Blocked => continue,
            }
            // A closed port at the receiver shows as an error of a later send.
            let _ = out.send_to(&buf[..n], to).await;
        }
    });
    Ok(())
}
