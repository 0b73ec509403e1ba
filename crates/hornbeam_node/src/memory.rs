//! Memory for what others send to a program: responses of servers, messages of other entries, request bodies.
//!
//! Failure pattern: many servers send bodies just under the longest one at the same time. Each is within its own
//! bound, but not their sum. Bytes beyond the first few of each message are reserved before they are read, from
//! a budget that is a part of the process's memory, and returned when the last reference to them is dropped:
//! also while they wait for other shards, for another entry or for a caller that reads slowly.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;

/// Bytes of each message that are not reserved: the buffer of a first read.
pub const UNRESERVED_BYTES: usize = 4 << 10;
/// Messages up to this size may use the whole budget, larger ones only [`LARGE_PERCENT`] of it, so that a few
/// large messages do not keep out all others. In bytes.
pub const SMALL_BYTES: usize = 64 << 10;
const LARGE_PERCENT: usize = 75;
/// Interval at which a message that waits for room asks again whether something can be reclaimed.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(100);

/// A budget of memory; clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    shared: Arc<Shared>,
}

type Reclaim = Box<dyn Fn() + Send + Sync>;

struct Shared {
    used: AtomicUsize,
    limit: usize,
    /// Notified when bytes are returned.
    returned: Notify,
    /// Called while a message waits for room.
    reclaim: OnceLock<Reclaim>,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared")
            .field("used", &self.used)
            .field("limit", &self.limit)
            .finish_non_exhaustive()
    }
}

impl Default for MemoryBudget {
    /// An unlimited budget.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let shared = Shared {
            used: AtomicUsize::new(0),
            limit,
            returned: Notify::new(),
            reclaim: OnceLock::new(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns an empty reservation.
    pub fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }

    /// Returns the number of reserved bytes.
    pub fn used(&self) -> usize {
        self.shared.used.load(Ordering::Relaxed)
    }

    /// Sets a function that makes holders of memory give it up. It is called while a message waits for room. Only
    /// the first call has an effect.
    pub fn reclaim_by(&self, reclaim: impl Fn() + Send + Sync + 'static) {
        let _ = self.shared.reclaim.set(Box::new(reclaim));
    }

    /// Waits until bytes are returned.
    pub async fn returned(&self) {
        self.shared.returned.notified().await;
    }

    /// Returns bytes that are in memory already, with a reservation that ends with them. It may exceed the
    /// budget, so that nothing more is read meanwhile.
    pub fn hold(&self, bytes: Vec<u8>) -> Bytes {
        let mut reservation = self.reservation();
        reservation.set(bytes.capacity());
        reservation.hold(bytes.into())
    }
}

/// Bytes that are reserved for one message; returned on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    /// Without the first [`UNRESERVED_BYTES`].
    bytes: usize,
}

impl Reservation {
    /// Returns the size of the largest message for which there can be room.
    pub fn largest(&self) -> usize {
        let limit = self.budget.shared.limit;
        let large = limit / 100 * LARGE_PERCENT;
        large.max(limit.min(SMALL_BYTES)).saturating_add(UNRESERVED_BYTES)
    }

    /// Extends the reservation to a message of `size` bytes; returns false if there is no room for it.
    #[must_use]
    pub fn try_extend(&mut self, size: usize) -> bool {
        let bytes = size.saturating_sub(UNRESERVED_BYTES);
        let Some(more) = bytes.checked_sub(self.bytes).filter(|more| *more > 0) else {
            return true;
        };
        let shared = &self.budget.shared;
        let part = if size > SMALL_BYTES { LARGE_PERCENT } else { 100 };
        // Divides first, since the limit may be the greatest number.
        let limit = if part == 100 { shared.limit } else { shared.limit / 100 * part };
        let reserve = |used: usize| used.checked_add(more).filter(|sum| *sum <= limit);
        let order = Ordering::Relaxed;
        if shared.used.fetch_update(order, order, reserve).is_err() {
            return false;
        }
        self.bytes = bytes;
        true
    }

    /// Extends the reservation to a message of `size` bytes, and waits until there is room.
    pub async fn extend(&mut self, size: usize) {
        loop {
            let budget = self.budget.clone();
            let returned = budget.shared.returned.notified();
            if self.try_extend(size) {
                return;
            }
            match budget.shared.reclaim.get() {
                Some(reclaim) => {
                    reclaim();
                    let _ = tokio::time::timeout(RECLAIM_INTERVAL, returned).await;
                }
                None => returned.await,
            }
        }
    }

    /// Sets the reservation to a message of `size` bytes, beyond the budget if there is no room.
    pub fn set(&mut self, size: usize) {
        let bytes = size.saturating_sub(UNRESERVED_BYTES);
        if bytes > self.bytes {
            self.budget.shared.used.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else {
            self.give_back(self.bytes - bytes);
        }
        self.bytes = bytes;
    }

    /// Returns what a message of `size` bytes or fewer does not need.
    pub fn shrink(&mut self, size: usize) {
        if size.saturating_sub(UNRESERVED_BYTES) < self.bytes {
            self.set(size);
        }
    }

    /// Returns bytes whose last reference ends the reservation.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(Held { bytes, _reservation: self })
    }

    fn give_back(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.budget.shared.used.fetch_sub(bytes, Ordering::Relaxed);
        self.budget.shared.returned.notify_waiters();
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.give_back(self.bytes);
    }
}

struct Held {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
