//! The connection to one controller, which carries its feed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hornbeam_model::InstanceId;
use hornbeam_node::frames::{read_frame, write_frame};
use hornbeam_node::socket;
use hornbeam_protocol::discovery::{EntryInfo, FEED_HEARTBEAT_INTERVAL_MS, FeedDown, FeedUp};
use hornbeam_protocol::features::Features;
use hornbeam_protocol::{FrameKey, MAX_STREAM_BYTES};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Time without a message after which a feed is reopened; three heartbeat intervals.
const FEED_READ_TIMEOUT: Duration = Duration::from_millis(3 * FEED_HEARTBEAT_INTERVAL_MS);
/// Longest time to open the connection of a feed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait before a lost feed is reopened; doubles with each failure up to
/// [`MAX_RECONNECT_DELAY`], so that a restarted controller is heard soon.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Longest wait between two attempts to reopen a feed.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(320);

/// An event of the connection to one controller.
pub enum ConnectionEvent {
    /// The connection is open.
    Connected,
    /// The controller sent a message.
    Message(Box<FeedDown>),
    /// The connection has ended or could not be opened.
    Lost(std::io::Error),
}

/// The task that keeps the feed of one controller open.
pub struct Subscription {
    /// Controller that is followed.
    pub controller: InstanceId,
    /// What this entry states about itself.
    pub me: EntryInfo,
    /// Address of the controller for feeds.
    pub address: SocketAddr,
    /// Key of the fleet.
    pub key: FrameKey,
    /// Receives the events of the connection.
    pub events: mpsc::UnboundedSender<(InstanceId, ConnectionEvent)>,
}

impl Subscription {
    /// Opens the feed and reopens it each time it is lost.
    pub async fn run(self, mut rx: mpsc::UnboundedReceiver<FeedUp>) {
        let subscription = Rc::new(self);
        let mut delay = MIN_RECONNECT_DELAY;
        loop {
            let (connected, error) = subscription.run_once(&mut rx).await;
            subscription.send_event(ConnectionEvent::Lost(error));
            if connected {
                delay = MIN_RECONNECT_DELAY;
            }
            tokio::time::sleep(delay).await;
            delay = (2 * delay).min(MAX_RECONNECT_DELAY);
        }
    }

    fn send_event(&self, event: ConnectionEvent) {
        // The receiver ends only with the process.
        let _ = self.events.send((self.controller.clone(), event));
    }

    /// Follows the controller on one connection; returns whether it was open and why it has ended.
    async fn run_once(&self, rx: &mut mpsc::UnboundedReceiver<FeedUp>) -> (bool, std::io::Error) {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return (false, e),
            Err(_) => return (false, std::io::ErrorKind::TimedOut.into()),
        };
        if let Err(e) = socket::prepare(&stream, socket::PEERS) {
            return (false, e);
        }
        self.send_event(ConnectionEvent::Connected);
        let (mut read, mut write) = stream.into_split();
        let error = tokio::select! {
            e = self.receive_messages(&mut read) => e,
            e = self.send_messages(&mut write, rx) => e,
        };
        (true, error)
    }

    async fn receive_messages<R: AsyncRead + Unpin>(&self, stream: &mut R) -> std::io::Error {
        loop {
            let frame = read_frame(stream, MAX_STREAM_BYTES, FEED_READ_TIMEOUT);
            let frame = match tokio::time::timeout(FEED_READ_TIMEOUT, frame).await {
                Ok(Ok(frame)) => frame,
                Ok(Err(e)) => return e,
                Err(_) => return std::io::ErrorKind::TimedOut.into(),
            };
            match self.key.open(&frame, MAX_STREAM_BYTES) {
                Ok(message) => self.send_event(ConnectionEvent::Message(Box::new(message))),
                Err(e) => return std::io::Error::other(e),
            }
        }
    }

    async fn send_messages<W: AsyncWrite + Unpin>(
        &self,
        stream: &mut W,
        rx: &mut mpsc::UnboundedReceiver<FeedUp>,
    ) -> std::io::Error {
        // Usage that was queued for the connection before. The controller may have been restarted or replaced by
        // an earlier build since; it gets all counts once it has stated what it reads.
        let mut queued_before = rx.len();
        let follow = FeedUp::Follow(self.me.clone());
        let mut frame = self.key.seal_with(&follow, &Features::OWN, MAX_STREAM_BYTES);
        loop {
            let frame_bytes = match frame {
                Ok(frame) => frame,
                Err(e) => return std::io::Error::other(e),
            };
            if let Err(e) = write_frame(stream, &frame_bytes).await {
                return e;
            }
            let heartbeat_interval = Duration::from_millis(FEED_HEARTBEAT_INTERVAL_MS);
            let message = match tokio::time::timeout(heartbeat_interval, rx.recv()).await {
                Ok(Some(FeedUp::TeamUsage(_))) if queued_before > 0 => FeedUp::Heartbeat,
                Ok(Some(message)) => message,
                Ok(None) => return std::io::ErrorKind::NotConnected.into(),
                Err(_) => FeedUp::Heartbeat,
            };
            queued_before = queued_before.saturating_sub(1);
            frame = self.key.seal(&message, MAX_STREAM_BYTES);
        }
    }
}
