//! What happens when, in virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use hornbeam_model::Mono;

#[derive(Debug)]
struct Due<T> {
    at: Mono,
    order: u64,
    what: T,
}

impl<T> PartialEq for Due<T> {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl<T> Eq for Due<T> {}

impl<T> PartialOrd for Due<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Due<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Gives what is due in the order of time, then in the order in which it was put in.
#[derive(Debug)]
pub struct EventQueue<T> {
    heap: BinaryHeap<Due<T>>,
    next_order: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), next_order: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Puts in what happens at `at`.
    pub fn put(&mut self, at: Mono, what: T) {
        self.next_order += 1;
        self.heap.push(Due { at, order: self.next_order, what });
    }

    /// Takes out what is due first, if it is due by `end`.
    pub fn take_until(&mut self, end: Mono) -> Option<(Mono, T)> {
        if self.heap.peek()?.at > end {
            return None;
        }
        self.heap.pop().map(|due| (due.at, due.what))
    }

    /// Drops what does not fit `keep`.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.heap.retain(|due| keep(&due.what));
    }
}
