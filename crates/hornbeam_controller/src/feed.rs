//! Feeds: connections on which entries receive servers and routing tables.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hornbeam_model::{CrashReport, RateReport, RequestRate, TableVersion, UsageReport};
use hornbeam_node::connections::{Connection, ConnectionGroup};
use hornbeam_node::frames::{read_first_frame, read_frame, write_frame};
use hornbeam_node::program::next_connection;
use hornbeam_node::socket;
use hornbeam_protocol::FrameKey;
use hornbeam_protocol::discovery::{EntryInfo, FEED_HEARTBEAT_INTERVAL_MS, FeedUp, HealthReport};
use hornbeam_protocol::features::Features;
use tokio::io::AsyncRead;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Time without a frame, or for writing one, after which a feed is closed; three heartbeats.
const FEED_TIMEOUT: Duration = Duration::from_millis(3 * FEED_HEARTBEAT_INTERVAL_MS);
/// Frames that may be queued for one entry. When the queue is full, the controller stops sending,
/// and the entry opens a new feed.
const FEED_QUEUE_FRAMES: usize = 256;
/// Maximum size of a frame from an entry, in bytes.
const MAX_ENTRY_FRAME_BYTES: usize = 64 << 10;

/// Identifies one feed of this controller.
pub type FeedId = u64;
/// Sender of encoded frames to one entry.
pub type FeedSender = mpsc::Sender<Rc<Vec<u8>>>;

/// Event on a feed.
#[derive(Debug)]
pub enum FeedEvent {
    /// An entry opened the feed and reads these messages.
    Follow(FeedId, EntryInfo, Features, FeedSender),
    /// The entry sent a heartbeat.
    Heartbeat(FeedId),
    /// The entry requests the routing table, if there is one later than this version.
    FetchTable(FeedId, TableVersion),
    /// Rate of the callers' requests at the entry.
    Demand(FeedId, RequestRate),
    /// The entry reports these servers as unhealthy.
    HealthReports(FeedId, Vec<HealthReport>),
    /// The entry reports the rates that these servers state.
    RateReports(FeedId, Vec<RateReport>),
    /// The entry reports requests that were in flight at servers that ended.
    CrashReports(FeedId, Vec<CrashReport>),
    /// The entry reports the use of the teams' quotas.
    TeamUsage(FeedId, UsageReport),
    /// The connection was closed.
    Closed(FeedId),
}

/// Binds the feed address and accepts connections of entries in the background.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn listen(
    address: SocketAddr,
    strangers: ConnectionGroup,
    key: FrameKey,
    tx: mpsc::UnboundedSender<FeedEvent>,
) -> std::io::Result<()> {
    let listener = socket::listen(address, socket::PEERS).await?;
    tokio::task::spawn_local(async move {
        let mut next: FeedId = 1;
        loop {
            let stream = next_connection(&listener).await;
            // Strangers always give way.
            let Some(connection) = strangers.admit().await else { continue };
            let (key, tx, id) = (key.clone(), tx.clone(), next);
            next += 1;
            tokio::task::spawn_local(async move {
                serve(stream, connection, &key, &tx, id).await;
                // The controller loop ends only with the process.
                let _ = tx.send(FeedEvent::Closed(id));
            });
        }
    });
    Ok(())
}

async fn serve(
    stream: TcpStream,
    connection: Connection,
    key: &FrameKey,
    tx: &mpsc::UnboundedSender<FeedEvent>,
    id: FeedId,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (mut read, mut write) = stream.into_split();
    let (frames, mut rx) = mpsc::channel::<Rc<Vec<u8>>>(FEED_QUEUE_FRAMES);
    let send_frames = async move {
        while let Some(frame) = rx.recv().await {
            let written = tokio::time::timeout(FEED_TIMEOUT, write_frame(&mut write, &frame));
            if !matches!(written.await, Ok(Ok(()))) {
                return;
            }
        }
    };
    tokio::select! {
        () = receive_frames(&mut read, connection, key, tx, id, frames) => {}
        () = send_frames => {}
    }
}

/// Passes on the messages of an entry until the stream ends or a frame is invalid. The first valid one shows that an
/// entry speaks.
async fn receive_frames<R: AsyncRead + Unpin>(
    stream: &mut R,
    connection: Connection,
    key: &FrameKey,
    tx: &mpsc::UnboundedSender<FeedEvent>,
    id: FeedId,
    frames: FeedSender,
) {
    let mut stranger = Some(connection);
    loop {
        let frame = async {
            let max = MAX_ENTRY_FRAME_BYTES;
            match &stranger {
                Some(connection) => {
                    let read = read_first_frame(stream, max, FEED_TIMEOUT, connection).await?;
                    Ok(read.0)
                }
                None => read_frame(stream, max, FEED_TIMEOUT).await,
            }
        };
        let Ok(Ok(frame)) = tokio::time::timeout(FEED_TIMEOUT, frame).await else { return };
        let (message, features) = match key.open_with(&frame, MAX_ENTRY_FRAME_BYTES) {
            Ok(opened) => opened,
            Err(e) => {
                return log::warn!("closed the feed of an entry because of an invalid frame: {e}");
            }
        };
        stranger = None;
        let message = match message {
            FeedUp::Follow(info) => {
                FeedEvent::Follow(id, info, features.unwrap_or_default(), frames.clone())
            }
            FeedUp::FetchTable { have } => FeedEvent::FetchTable(id, have),
            FeedUp::HealthReports(reports) => FeedEvent::HealthReports(id, reports),
            FeedUp::RateReports(reports) => FeedEvent::RateReports(id, reports),
            FeedUp::TeamUsage(report) => FeedEvent::TeamUsage(id, report),
            FeedUp::CrashReports(reports) => FeedEvent::CrashReports(id, reports),
            FeedUp::Demand(rate) => FeedEvent::Demand(id, rate),
            FeedUp::Heartbeat => FeedEvent::Heartbeat(id),
        };
        if tx.send(message).is_err() {
            return;
        }
    }
}
