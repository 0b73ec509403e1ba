//! Bounded journal of the latest events of one instance.

use std::collections::VecDeque;

use hornbeam_model::InstanceId;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::clock::Hlc;
use crate::event::{Event, Level};

/// An event with its position in the journal of its instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Sequence number in the journal, counted from 1.
    pub seq: u64,
    /// Clock reading at which the event occurred.
    pub at: Hlc,
    /// Instance on which the event occurred.
    pub instance: InstanceId,
    /// Number of the event kind.
    pub number: u16,
    /// Severity of the event kind.
    pub level: Level,
    /// Message for operators.
    pub message: SmolStr,
    /// Event kind and fields.
    pub detail: Event,
}

/// The latest events of one instance.
#[derive(Debug)]
pub struct Journal {
    instance: InstanceId,
    capacity: usize,
    /// At most `capacity` records with consecutive `seq`.
    records: VecDeque<Record>,
    next_seq: u64,
}

impl Journal {
    /// Creates an empty journal that keeps the latest `capacity` events.
    pub fn new(instance: InstanceId, capacity: usize) -> Self {
        Self { instance, capacity, records: VecDeque::new(), next_seq: 1 }
    }

    /// Appends an event that occurred at `at`, drops the oldest one if the journal is full, and returns
    /// the new record.
    pub fn push(&mut self, at: Hlc, event: Event) -> &Record {
        if self.records.len() >= self.capacity {
            self.records.pop_front();
        }
        let record = Record {
            seq: self.next_seq,
            at,
            instance: self.instance.clone(),
            number: event.number(),
            level: event.level(),
            message: SmolStr::new(event.message()),
            detail: event,
        };
        self.next_seq += 1;
        self.records.push_back(record);
        &self.records[self.records.len() - 1]
    }

    /// Returns the records whose sequence number is greater than `seq`, oldest first.
    pub fn since(&self, seq: u64) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(move |r| r.seq > seq)
    }
}
