//! The event journal of one process, shared by its threads.

use std::sync::{Arc, Mutex};

use hornbeam_events::{Event, HybridClock, Journal, Level, Record};
use hornbeam_model::InstanceId;

use crate::clock::unix_us;

/// Events kept for `/v1/events`.
const CAPACITY: usize = 10_000;

#[derive(Debug)]
struct Inner {
    clock: HybridClock,
    journal: Journal,
}

/// Handle on the journal; clones share it.
#[derive(Clone, Debug)]
pub struct EventLog {
    inner: Arc<Mutex<Inner>>,
}

impl EventLog {
    /// An empty journal.
    pub fn new(instance: InstanceId) -> Self {
        let journal = Journal::new(instance, CAPACITY);
        let inner = Inner { clock: HybridClock::default(), journal };
        Self { inner: Arc::new(Mutex::new(inner)) }
    }

    /// Notes an event and writes it to the log.
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

    /// Records after `seq`.
    pub fn since(&self, seq: u64) -> Vec<Record> {
        let inner = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        inner.journal.since(seq).cloned().collect()
    }
}
