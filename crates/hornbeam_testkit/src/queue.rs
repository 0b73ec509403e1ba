//! Event queue in virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use hornbeam_model::Mono;

#[derive(Debug)]
struct ScheduledEvent<T> {
    at: Mono,
    sequence: u64,
    event: T,
}

impl<T> PartialEq for ScheduledEvent<T> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<T> Eq for ScheduledEvent<T> {}

impl<T> PartialOrd for ScheduledEvent<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for ScheduledEvent<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Events in order of time; events of the same time in the order in which they were pushed.
#[derive(Debug)]
pub struct EventQueue<T> {
    heap: BinaryHeap<ScheduledEvent<T>>,
    next_sequence: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), next_sequence: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Schedules `event` at `at`.
    pub fn push(&mut self, at: Mono, event: T) {
        self.next_sequence += 1;
        self.heap.push(ScheduledEvent { at, sequence: self.next_sequence, event });
    }

    /// Removes and returns the next event if its time is at most `end`.
    pub fn pop_until(&mut self, end: Mono) -> Option<(Mono, T)> {
        if self.heap.peek()?.at > end {
            return None;
        }
        self.heap.pop().map(|scheduled| (scheduled.at, scheduled.event))
    }

    /// Removes the events for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.heap.retain(|scheduled| keep(&scheduled.event));
    }
}
