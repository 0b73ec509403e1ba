//! Which connections of clients give way when there are too many of them, or when there is no memory for what they
//! send: those without progress for longest, whoever they belong to.

use std::sync::Arc;
use std::task::{Context, Waker};
use std::time::Duration;

use bytes::Bytes;
use hornbeam_node::client_limits::{ClientLimits, ClientShare};
use hornbeam_node::connections::{Connection, Connections, HeadRoom};
use hornbeam_node::memory::MemoryBudget;
use hornbeam_node::request_body::{BodyError, read_body};
use http_body_util::channel::Channel;

const KIB: usize = 1 << 10;
/// Longer than a message may pause while others need its memory.
const STALL: Duration = Duration::from_millis(300);
/// Longer than a client may take nothing of its response while others need the memory.
const UNSENT_STALL: Duration = Duration::from_millis(1_100);

fn connections(memory: usize) -> Connections {
    Connections::new(MemoryBudget::new(memory))
}

fn has_to_close(connection: &Connection) -> bool {
    connection.poll_displaced(&mut Context::from_waker(Waker::noop()))
}

async fn pass(time: Duration) {
    tokio::time::advance(time).await;
}

async fn reserves(connection: &Connection, bytes: usize) -> bool {
    let mut reservation = connection.reservation();
    let reserved = connection.reserve(&mut reservation, bytes).await;
    std::mem::forget(reservation);
    reserved
}

/// Holds memory for a message until the connection has to close.
fn hold(connection: Arc<Connection>, bytes: usize) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        let mut reservation = connection.reservation();
        assert!(connection.reserve(&mut reservation, bytes).await);
        connection.displaced().await;
    })
}

async fn settle() {
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test(start_paused = true)]
async fn oldest_gives_way() {
    let group = connections(KIB).group(2);
    let first = group.admit().await.unwrap();
    pass(STALL).await;
    let second = group.admit().await.unwrap();
    pass(STALL).await;
    first.record_progress();
    let third = group.admit().await.unwrap();
    assert!(has_to_close(&second), "the others have made progress since");
    assert!(!has_to_close(&first) && !has_to_close(&third));
    assert_eq!(group.open(), 2);
    drop(second);
    assert_eq!(group.open(), 2, "it has left already");
    drop((first, third));
    assert_eq!(group.open(), 0);
}

/// A client that has just connected gets the chance to send its request.
#[tokio::test(start_paused = true)]
async fn new_ones_stay_a_moment() {
    let group = connections(KIB).group(2);
    let (first, second) = (group.admit().await.unwrap(), group.admit().await.unwrap());
    let admitted = tokio::time::Instant::now();
    let other = group.clone();
    let third = tokio::spawn(async move { other.admit().await });
    settle().await;
    assert!(!has_to_close(&first) && !has_to_close(&second));
    first.begin_request(true);
    let third = third.await.unwrap();
    assert!(third.is_some() && has_to_close(&second) && !has_to_close(&first));
    assert!(admitted.elapsed() >= Duration::from_millis(10), "{:?}", admitted.elapsed());
}

#[tokio::test(start_paused = true)]
async fn single_bytes_are_no_progress() {
    let group = connections(KIB).group(2);
    let slow = group.admit().await.unwrap();
    pass(STALL).await;
    let silent = group.admit().await.unwrap();
    for _ in 0..100 {
        pass(Duration::from_millis(10)).await;
        slow.record_bytes(1);
    }
    let _third = group.admit().await.unwrap();
    assert!(has_to_close(&slow), "it sends a byte now and then");
    assert!(!has_to_close(&silent));
}

#[tokio::test(start_paused = true)]
async fn served_requests_stay() {
    let group = connections(KIB).group(2);
    let (first, second) = (group.admit().await.unwrap(), group.admit().await.unwrap());
    first.begin_request(true);
    second.begin_request(false);
    second.serve_request();
    pass(STALL).await;
    assert!(group.admit().await.is_none(), "the requests of both are being served");
    first.await_request();
    assert!(group.admit().await.is_some());
    assert!(has_to_close(&first) && !has_to_close(&second));
}

#[tokio::test(start_paused = true)]
async fn groups_have_own_limits() {
    let connections = connections(KIB);
    let (callers, pages) = (connections.group(2), connections.group(1));
    let health = pages.admit().await.unwrap();
    pass(STALL).await;
    let mut held = Vec::new();
    for _ in 0..5 {
        held.push(callers.admit().await.unwrap());
    }
    assert!(!has_to_close(&health), "callers do not keep out health checks");
    assert_eq!(held.iter().filter(|c| has_to_close(c)).count(), 3);
    assert_eq!((callers.open(), pages.open(), connections.displaced_count()), (2, 1, 3));
}

#[tokio::test(start_paused = true)]
async fn stalled_messages_give_way() {
    let connections = connections(100 * KIB);
    let (callers, strangers) = (connections.group(10), connections.group(10));
    let stalled = Arc::new(callers.admit().await.unwrap());
    let held = hold(stalled.clone(), 64 * KIB);
    settle().await;
    let other = strangers.admit().await.unwrap();
    assert!(!reserves(&other, 64 * KIB).await, "the message may still be on its way");
    pass(STALL).await;
    assert!(reserves(&other, 64 * KIB).await, "its memory is for others now");
    assert!(has_to_close(&stalled));
    held.await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn messages_with_progress_stay() {
    let connections = connections(100 * KIB);
    let group = connections.group(10);
    let sending = Arc::new(group.admit().await.unwrap());
    let _held = hold(sending.clone(), 64 * KIB);
    settle().await;
    for _ in 0..10 {
        pass(Duration::from_millis(100)).await;
        sending.record_bytes(4 * KIB);
    }
    let other = group.admit().await.unwrap();
    assert!(!reserves(&other, 64 * KIB).await);
    assert!(!has_to_close(&sending));
    assert!(!reserves(&other, 200 * KIB).await, "there is never room for it");
    assert!(!has_to_close(&sending));
}

#[tokio::test(start_paused = true)]
async fn idle_connections_keep_their_memory() {
    let connections = connections(20 * KIB);
    let group = connections.group(10);
    let idle = group.admit().await.unwrap();
    let other = group.admit().await.unwrap();
    let mut taken = other.reservation();
    assert!(taken.try_extend(20 * KIB));
    pass(STALL).await;
    assert!(!reserves(&other, 18 * KIB).await);
    assert!(!has_to_close(&idle), "closing it would return no memory");
}

#[tokio::test(start_paused = true)]
async fn unsent_responses_give_way() {
    let connections = connections(100 * KIB);
    let group = connections.group(10);
    let silent = group.admit().await.unwrap();
    let taking = group.admit().await.unwrap();
    for connection in [&silent, &taking] {
        connection.begin_request(true);
        connection.begin_response(50 * KIB);
        connection.await_request();
    }
    pass(STALL).await;
    assert!(!connections.displace_unsent(), "a client may pause");
    pass(UNSENT_STALL).await;
    taking.record_sent(30 * KIB);
    assert!(connections.displace_unsent());
    assert!(has_to_close(&silent) && !has_to_close(&taking));
    pass(UNSENT_STALL).await;
    taking.record_sent(20 * KIB);
    pass(UNSENT_STALL).await;
    assert!(!connections.displace_unsent(), "it has taken its response");
}

#[tokio::test(start_paused = true)]
async fn heads_are_counted() {
    let connections = connections(64 * KIB);
    let group = connections.group(10);
    let first = group.admit().await.unwrap();
    assert_eq!(first.reserve_head(8 * KIB), HeadRoom::Reserved);
    assert_eq!(connections.reserved_bytes(), 0, "a first read needs no reservation");
    first.record_bytes(8 * KIB);
    assert_eq!(first.reserve_head(8 * KIB), HeadRoom::Reserved);
    assert_eq!(
        connections.reserved_bytes(),
        28 * KIB,
        "buffer and fields, without the first 4 KiB"
    );
    let second = group.admit().await.unwrap();
    second.record_bytes(16 * KIB);
    assert_eq!(second.reserve_head(8 * KIB), HeadRoom::None);
    pass(STALL).await;
    assert_eq!(second.reserve_head(8 * KIB), HeadRoom::Soon);
    assert!(has_to_close(&first));
    drop(first);
    assert_eq!(second.reserve_head(8 * KIB), HeadRoom::Reserved);
    second.begin_request(true);
    assert!(connections.reserved_bytes() > 0, "its request is still there");
    second.await_request();
    assert_eq!(connections.reserved_bytes(), 0);
}

#[yare::parameterized(
    within = { 40 * KIB, Ok(40 * KIB) },
    too_long = { 64 * KIB + 1, Err(BodyError::TooLong) },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn bodies(length: usize, expected: Result<usize, BodyError>) {
    let connections = connections(200 * KIB);
    let connection = connections.group(1).admit().await.unwrap();
    connection.begin_request(false);
    let (mut tx, body) = Channel::<Bytes, std::io::Error>::new(1);
    let sent = tokio::spawn(async move {
        let mut left = length;
        while left > 0 {
            let size = left.min(50);
            // The reader may have refused the body.
            if tx.send_data(vec![b'x'; size].into()).await.is_err() {
                return;
            }
            left -= size;
        }
    });
    let read = read_body(&connection, body, 64 * KIB).await;
    sent.await.unwrap();
    assert_eq!(read.as_ref().map(Bytes::len).map_err(|e| *e), expected);
    assert_eq!(connection.is_unread(), expected.is_err());
    let held = connections.reserved_bytes();
    assert!(expected.is_err() == (held == 0) && held <= 64 * KIB, "{held}");
    drop(read);
    assert_eq!(connections.reserved_bytes(), 0);
}

#[tokio::test(start_paused = true)]
async fn late_body() {
    let connections = connections(200 * KIB);
    let connection = connections.group(1).admit().await.unwrap();
    let (mut tx, body) = Channel::<Bytes, std::io::Error>::new(1);
    tx.send_data(vec![b'x'; 10 * KIB].into()).await.unwrap();
    assert_eq!(read_body(&connection, body, 64 * KIB).await, Err(BodyError::TimedOut));
    assert_eq!(connections.reserved_bytes(), 0);
    drop(tx);
}

#[test]
fn limits_follow_the_machine() {
    let share = ClientShare { memory_percent: 25, clients_per_mb: 6 };
    let limits = ClientLimits::new(256, 4_000, share);
    assert_eq!((limits.clients, limits.memory), (6 * 256, (256 << 20) / 100 * 25));
    let few = ClientLimits::new(256, 256, share);
    assert!(few.clients + 2 * few.pages + 2 * few.strangers < 240, "{few:?}");
    assert!(ClientLimits::new(1, 1, share).clients > 0);
}
