//! Open connections of clients, and which of them give way when there is no room.
//!
//! Failure pattern: many clients send messages of legal size, stop just short of the end and stay connected, or
//! connect and send nothing. Each is within its own bound, but not their sum in memory and descriptors, and other
//! clients are kept out until time-outs end. Here connections are bounded in number, and what they send
//! in memory. Where there is no room, the connection that has made no progress for longest is closed, unless its
//! request is being served.

use std::future::poll_fn;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::memory::{MemoryBudget, Reservation, UNRESERVED_BYTES};

/// Bytes that a client has to send or take before they count as progress, so that single bytes do not keep a
/// connection open.
const PROGRESS_BYTES: usize = 4 << 10;
/// Time without progress after which the memory of a connection may be taken for others. Shorter pauses occur
/// while a message arrives, and connections that are served in turn must not close each other.
const MIN_STALL: Duration = Duration::from_millis(250);
/// The same for a connection whose client does not take its response. Ready responses are worth more patience.
const MIN_UNSENT_STALL: Duration = Duration::from_secs(1);
/// Time without progress after which a connection may have to make room for a new one. A client whose connection was
/// accepted has to get the chance to send its request, also while others connect all the time.
const MIN_SILENCE: Duration = Duration::from_millis(10);
/// Time between two connections that are closed for new ones of a group. Clients that connect again whenever they are
/// closed must not use up the processor.
const DISPLACEMENT_INTERVAL: Duration = Duration::from_millis(1);
/// Longest wait for the memory of a connection that was closed, before another one is.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(10);

/// All connections of a process that clients have opened; clones share them.
#[derive(Clone, Debug)]
pub struct Connections {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    /// Memory for what the clients send.
    memory: MemoryBudget,
    started_at: Instant,
    open: Mutex<OpenConnections>,
    /// Connections that were closed to make room.
    displaced: AtomicU64,
}

#[derive(Debug, Default)]
struct OpenConnections {
    slots: IndexMap<u64, Arc<Slot>>,
    next: u64,
}

/// What is known of one connection.
#[derive(Debug, Default)]
struct Slot {
    key: u64,
    /// Number of its group.
    group: usize,
    /// Time of the last progress, in microseconds.
    progress_us: AtomicU64,
    /// Bytes since the last progress.
    bytes: AtomicUsize,
    /// Bytes of memory that are reserved for what the client sends.
    held: AtomicUsize,
    /// Bytes of a response that the client has not taken yet.
    unsent: AtomicUsize,
    /// True while its request is served; the connection is not closed then.
    is_served: AtomicBool,
    /// True while a part of the body of its request has not been read.
    is_unread: AtomicBool,
    is_displaced: AtomicBool,
    waker: Mutex<Option<Waker>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Slot {
    fn displace(&self) {
        self.is_displaced.store(true, Ordering::Release);
        if let Some(waker) = lock(&self.waker).take() {
            waker.wake();
        }
    }

    fn may_give_way(&self) -> bool {
        !self.is_served.load(Ordering::Relaxed)
    }
}

impl Shared {
    fn now_us(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// Closes the connection among those that `may_close` selects that has made no progress for longest, unless that
    /// is less than `silence`.
    fn displace(
        &self,
        open: &mut OpenConnections,
        silence: Duration,
        may_close: impl Fn(&Slot) -> bool,
    ) -> Displacement {
        let candidates = open.slots.values().filter(|s| s.may_give_way() && may_close(s));
        let oldest = candidates.min_by_key(|s| s.progress_us.load(Ordering::Relaxed)).cloned();
        let Some(slot) = oldest else { return Displacement::None };
        let silent_us = self.now_us().saturating_sub(slot.progress_us.load(Ordering::Relaxed));
        let left = silence.saturating_sub(Duration::from_micros(silent_us));
        if !left.is_zero() {
            return Displacement::In(left);
        }
        open.slots.swap_remove(&slot.key);
        slot.displace();
        self.displaced.fetch_add(1, Ordering::Relaxed);
        Displacement::Done
    }

    /// Closes a connection whose client sends a message and has made no progress for some time.
    fn displace_stalled(&self) -> bool {
        self.displace_since(MIN_STALL, |s| s.held.load(Ordering::Relaxed) > 0)
    }

    /// Closes a connection whose client has taken nothing of its response for some time.
    fn displace_unsent(&self) -> bool {
        self.displace_since(MIN_UNSENT_STALL, |s| s.unsent.load(Ordering::Relaxed) > 0)
    }

    fn displace_since(&self, silence: Duration, may_close: impl Fn(&Slot) -> bool) -> bool {
        self.displace(&mut lock(&self.open), silence, may_close) == Displacement::Done
    }

    fn make_room(&self) -> bool {
        self.displace_stalled() || self.displace_unsent()
    }
}

/// Whether a connection was closed to make room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Displacement {
    Done,
    /// One may be closed after this time unless it makes progress.
    In(Duration),
    /// The requests of all are being served.
    None,
}

impl Connections {
    /// Creates an empty set whose clients may send what `memory` has room for.
    pub fn new(memory: MemoryBudget) -> Self {
        let shared = Shared {
            memory,
            started_at: Instant::now(),
            open: Mutex::default(),
            displaced: AtomicU64::new(0),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns a new group of connections, of which `limit` may be open.
    pub fn group(&self, limit: usize) -> ConnectionGroup {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let group = NEXT.fetch_add(1, Ordering::Relaxed);
        ConnectionGroup { shared: self.shared.clone(), group, limit: limit.max(1) }
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        lock(&self.shared.open).slots.len()
    }

    /// Returns the number of connections that were closed to make room.
    pub fn displaced_count(&self) -> u64 {
        self.shared.displaced.load(Ordering::Relaxed)
    }

    /// Closes a connection whose client has taken nothing of its response for some time; returns false if there is
    /// none.
    pub fn displace_unsent(&self) -> bool {
        self.shared.displace_unsent()
    }

    /// Returns the number of bytes that are reserved for what clients send.
    pub fn reserved_bytes(&self) -> usize {
        self.shared.memory.used()
    }
}

/// Connections of one kind, such as those to one port, which share a limit on their number.
#[derive(Clone, Debug)]
pub struct ConnectionGroup {
    shared: Arc<Shared>,
    group: usize,
    limit: usize,
}

impl ConnectionGroup {
    /// Admits a connection. If too many are open, the one without progress for longest is closed, if need be after a
    /// short wait; returns `None` if the requests of all of them are being served.
    pub async fn admit(&self) -> Option<Connection> {
        loop {
            if self.open() < self.limit {
                return Some(self.insert());
            }
            match self.displace() {
                Displacement::Done => tokio::time::sleep(DISPLACEMENT_INTERVAL).await,
                Displacement::In(time) => tokio::time::sleep(time).await,
                Displacement::None => return None,
            }
        }
    }

    fn displace(&self) -> Displacement {
        let mut open = lock(&self.shared.open);
        self.shared.displace(&mut open, MIN_SILENCE, |s| s.group == self.group)
    }

    fn insert(&self) -> Connection {
        let mut open = lock(&self.shared.open);
        let key = open.next;
        open.next += 1;
        let progress_us = AtomicU64::new(self.shared.now_us());
        let slot = Arc::new(Slot { key, group: self.group, progress_us, ..Slot::default() });
        open.slots.insert(key, slot.clone());
        let head =
            Mutex::new(Head { bytes: Some(0), reservation: self.shared.memory.reservation() });
        Connection { shared: self.shared.clone(), slot, head }
    }

    /// Returns how many connections may be open.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of open connections of the group.
    pub fn open(&self) -> usize {
        lock(&self.shared.open).slots.values().filter(|s| s.group == self.group).count()
    }
}

/// Memory of the request head that a connection waits for.
#[derive(Debug)]
struct Head {
    /// Bytes read since the connection began to wait; `None` once the head is complete.
    bytes: Option<usize>,
    /// Kept until the request has its response.
    reservation: Reservation,
}

/// A connection in [`Connections`]; it leaves them on drop.
#[derive(Debug)]
pub struct Connection {
    shared: Arc<Shared>,
    slot: Arc<Slot>,
    head: Mutex<Head>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        lock(&self.shared.open).slots.swap_remove(&self.slot.key);
    }
}

/// Whether there is memory for more of a request head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadRoom {
    /// It is reserved.
    Reserved,
    /// Another connection is closing to make room.
    Soon,
    /// There is none.
    None,
}

impl Connection {
    /// Returns an empty reservation of the memory for what clients send.
    pub fn reservation(&self) -> Reservation {
        self.shared.memory.reservation()
    }

    /// Extends a reservation to `size` bytes, and closes connections without progress if there is no room. Returns
    /// false if that does not help.
    pub async fn reserve(&self, reservation: &mut Reservation, size: usize) -> bool {
        while !reservation.try_extend(size) {
            if size > reservation.largest() || !self.shared.make_room() {
                return false;
            }
            // Otherwise another connection is closed.
            let _ = tokio::time::timeout(RELEASE_TIMEOUT, self.shared.memory.returned()).await;
        }
        self.slot.held.store(size.saturating_sub(UNRESERVED_BYTES), Ordering::Relaxed);
        true
    }

    /// Reserves memory for the next `bytes` of a request head: for the buffer and for the fields parsed from it.
    pub fn reserve_head(&self, bytes: usize) -> HeadRoom {
        let mut head = lock(&self.head);
        let Some(read) = head.bytes.filter(|read| *read >= UNRESERVED_BYTES) else {
            return HeadRoom::Reserved;
        };
        let size = 2 * (read + bytes);
        if head.reservation.try_extend(size) {
            self.slot.held.store(size, Ordering::Relaxed);
            return HeadRoom::Reserved;
        }
        match self.shared.make_room() {
            true => HeadRoom::Soon,
            false => HeadRoom::None,
        }
    }

    /// Records that `bytes` were read.
    pub fn record_bytes(&self, bytes: usize) {
        if let Some(read) = &mut lock(&self.head).bytes {
            *read += bytes;
        }
        let since = self.slot.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if since >= PROGRESS_BYTES {
            self.record_progress();
        }
    }

    /// Records that `bytes` of a response were taken by the client or the kernel.
    pub fn record_sent(&self, bytes: usize) {
        let unsent = self.slot.unsent.load(Ordering::Relaxed);
        self.slot.unsent.store(unsent.saturating_sub(bytes), Ordering::Relaxed);
        self.record_progress();
    }

    /// Records that a response with a body of this length is sent next.
    pub fn begin_response(&self, bytes: usize) {
        self.slot.unsent.store(bytes, Ordering::Relaxed);
    }

    /// Records progress.
    pub fn record_progress(&self) {
        self.slot.bytes.store(0, Ordering::Relaxed);
        self.slot.progress_us.store(self.shared.now_us(), Ordering::Relaxed);
    }

    /// Records that a request head is complete. Without a body the request is served from now on.
    pub fn begin_request(&self, is_whole: bool) {
        lock(&self.head).bytes = None;
        self.record_progress();
        self.slot.is_unread.store(!is_whole, Ordering::Relaxed);
        self.slot.is_served.store(is_whole, Ordering::Relaxed);
    }

    /// Records that the body is complete and that the request is served from now on.
    pub fn serve_request(&self) {
        self.slot.is_unread.store(false, Ordering::Relaxed);
        self.slot.is_served.store(true, Ordering::Relaxed);
    }

    /// Returns true if a part of the body of the last request was not read: the connection has to close after the
    /// response.
    pub fn is_unread(&self) -> bool {
        self.slot.is_unread.load(Ordering::Relaxed)
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.slot.displace();
    }

    /// Records that the request has its response and that the connection waits for another one.
    pub fn await_request(&self) {
        let mut head = lock(&self.head);
        head.bytes = Some(0);
        head.reservation.set(0);
        drop(head);
        self.slot.held.store(0, Ordering::Relaxed);
        self.record_progress();
        self.slot.is_served.store(false, Ordering::Relaxed);
    }

    /// Returns true once the connection has to be closed to make room. Otherwise the task of `cx` is woken then.
    pub fn poll_displaced(&self, cx: &mut Context<'_>) -> bool {
        if self.slot.is_displaced.load(Ordering::Acquire) {
            return true;
        }
        let mut waker = lock(&self.slot.waker);
        match &mut *waker {
            Some(known) if known.will_wake(cx.waker()) => {}
            known => *known = Some(cx.waker().clone()),
        }
        drop(waker);
        self.slot.is_displaced.load(Ordering::Acquire)
    }

    /// Waits until the connection has to be closed to make room.
    pub async fn displaced(&self) {
        poll_fn(|cx| match self.poll_displaced(cx) {
            true => Poll::Ready(()),
            false => Poll::Pending,
        })
        .await;
    }
}
