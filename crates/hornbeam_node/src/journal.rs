//! The event journal of one process, shared by all its threads.

use std::sync::{Arc, Mutex};

use hornbeam_events::{Event, HybridClock, Journal, Level, Record};
use hornbeam_model::InstanceId;

use crate::clock::unix_us;

/// Number of events retained for `/v1/events`.
const CAPACITY_EVENTS: usize = 10_000;

#[derive(Debug)]
struct Inner {
    clock: HybridClock,
    journal: Journal,
}

/// Handle to the journal. Clones share the same journal.
#[derive(Clone, Debug)]
pub struct EventLog {
    inner: Arc<Mutex<Inner>>,
}

impl EventLog {
    /// Creates an empty journal for `instance`.
    pub fn new(instance: InstanceId) -> Self {
        let journal = Journal::new(instance, CAPACITY_EVENTS);
        let inner = Inner { clock: HybridClock::default(), journal };
        Self { inner: Arc::new(Mutex::new(inner)) }
    }

    /// Appends an event to the journal and writes it to the log at the level of the event.
    pub fn record(&self, event: Event) {
        let mut inner = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        let at = inner.clock.tick(unix_us());
        let record = inner.journal.push(at, event);
        let level = match record.level {
            Level::Info => log::Level::Info,
            Level::Warn => log::Level::Warn,
            Level::Error => log::Level::Error,
        };
        log::log!(target: "event", level, "{} {} {}", record.instance, record.number, record.message);
    }

    /// Returns the retained records whose sequence number is above `seq`, oldest first.
    pub fn since(&self, seq: u64) -> Vec<Record> {
        let inner = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        inner.journal.since(seq).cloned().collect()
    }
}
