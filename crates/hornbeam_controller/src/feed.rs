//! Connections of entries that follow.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hornbeam_model::TableVersion;
use hornbeam_node::frames::{read_frame, write_frame};
use hornbeam_node::program::next_connection;
use hornbeam_protocol::FrameKey;
use hornbeam_protocol::discovery::{EntryInfo, FEED_HEARTBEAT_INTERVAL_MS, FeedUp, HealthReport};
use tokio::io::AsyncRead;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Silence after which a feed is closed; three heartbeats.
const FEED_SILENCE: Duration = Duration::from_millis(3 * FEED_HEARTBEAT_INTERVAL_MS);
/// Frames that may wait for one entry; one that does not keep up follows anew.
const QUEUE_FRAMES: usize = 256;
/// Longest frame taken from an entry, in bytes.
const MAX_UP_BYTES: usize = 64 << 10;

/// Names one connection of an entry.
pub type FeedId = u64;
/// Frames for one entry.
pub type FeedSender = mpsc::Sender<Rc<Vec<u8>>>;

/// What the connections of entries bring.
#[derive(Debug)]
pub enum FeedIn {
    /// An entry follows.
    Follow(FeedId, EntryInfo, FeedSender),
    /// It shows that it lives.
    Heard(FeedId),
    /// It asks for the routing table, if later than this version.
    FetchTable(FeedId, TableVersion),
    /// It has found these servers not well.
    Troubles(FeedId, Vec<HealthReport>),
    /// It is gone.
    Gone(FeedId),
}

/// Takes connections of entries.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn listen(
    address: SocketAddr,
    key: FrameKey,
    tx: mpsc::UnboundedSender<FeedIn>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::task::spawn_local(async move {
        let mut next: FeedId = 1;
        loop {
            let stream = next_connection(&listener).await;
            let (key, tx, id) = (key.clone(), tx.clone(), next);
            next += 1;
            tokio::task::spawn_local(async move {
                serve(stream, &key, &tx, id).await;
                // The loop is gone only when the process ends.
                let _ = tx.send(FeedIn::Gone(id));
            });
        }
    });
    Ok(())
}

async fn serve(stream: TcpStream, key: &FrameKey, tx: &mpsc::UnboundedSender<FeedIn>, id: FeedId) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (mut read, mut write) = stream.into_split();
    let (frames, mut rx) = mpsc::channel::<Rc<Vec<u8>>>(QUEUE_FRAMES);
    let speak = async move {
        while let Some(frame) = rx.recv().await {
            let written = tokio::time::timeout(FEED_SILENCE, write_frame(&mut write, &frame));
            if !matches!(written.await, Ok(Ok(()))) {
                return;
            }
        }
    };
    tokio::select! {
        () = hear(&mut read, key, tx, id, frames) => {}
        () = speak => {}
    }
}

async fn hear<R: AsyncRead + Unpin>(
    stream: &mut R,
    key: &FrameKey,
    tx: &mpsc::UnboundedSender<FeedIn>,
    id: FeedId,
    frames: FeedSender,
) {
    loop {
        let frame = read_frame(stream, MAX_UP_BYTES, FEED_SILENCE);
        let Ok(Ok(frame)) = tokio::time::timeout(FEED_SILENCE, frame).await else { return };
        let message = match key.open(&frame, MAX_UP_BYTES) {
            Ok(FeedUp::Follow(offer)) => FeedIn::Follow(id, offer, frames.clone()),
            Ok(FeedUp::FetchTable { have }) => FeedIn::FetchTable(id, have),
            Ok(FeedUp::HealthReports(troubles)) => FeedIn::Troubles(id, troubles),
            Ok(FeedUp::Heartbeat) => FeedIn::Heard(id),
            Err(e) => return log::warn!("a feed was refused: {e}"),
        };
        if tx.send(message).is_err() {
            return;
        }
    }
}
