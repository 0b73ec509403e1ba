//! A voter with its disk: carries out writes before anything that depends on them.

use hornbeam_events::Event;
use hornbeam_model::{Config, Mono};
use hornbeam_protocol::control::DiskId;
use hornbeam_storage::{Folder, StorageError, Store, document};
use smol_str::SmolStr;

use crate::raft::{Persist, Raft, RaftInput, RaftOutput, RaftParams};
use crate::state::ProposalOutcome;

/// File that keeps the configuration an instance follows.
const CONFIG_FILE: &str = "config";

/// A voter with its disk.
#[derive(Debug)]
pub struct Voter {
    /// Nothing once the disk has failed: the control role has stopped.
    raft: Option<Raft>,
    store: Store,
}

impl Voter {
    /// Reads the disk and starts; `new_disk` is the identity given to an empty folder.
    ///
    /// # Errors
    ///
    /// The folder is damaged, foreign, or cannot be read or written.
    pub fn open(
        now: Mono,
        folder: Folder,
        params: RaftParams,
        new_disk: DiskId,
        out: &mut Vec<RaftOutput>,
    ) -> Result<Self, StorageError> {
        let (store, recovered) = Store::open(folder, &params.me, new_disk)?;
        let entries = recovered.entries.len() as u64;
        let torn_bytes = recovered.torn_bytes;
        out.push(RaftOutput::Event(Event::LogRecovered { entries, torn_bytes }));
        Ok(Self { raft: Some(Raft::new(now, params, recovered)), store })
    }

    /// The state machine, unless the disk has failed.
    pub fn raft(&self) -> Option<&Raft> {
        self.raft.as_ref()
    }

    /// The configuration that the disk keeps, if it keeps one.
    pub fn saved_config(&self) -> Option<Config> {
        document::read(self.store.folder(), CONFIG_FILE).ok().flatten()
    }

    /// Keeps a configuration on the disk.
    ///
    /// # Errors
    ///
    /// The disk cannot be written.
    pub fn save_config(&self, config: &Config) -> std::io::Result<()> {
        save_config(self.store.folder(), config)
    }

    /// Takes one input, writes what must be kept, and appends what is to be done then, writes left
    /// out.
    ///
    /// If a write fails, the control role stops and nothing that depends on the write is done.
    pub fn step(&mut self, now: Mono, input: RaftInput, out: &mut Vec<RaftOutput>) {
        let Some(raft) = &mut self.raft else {
            if let RaftInput::Propose { id, .. } = input {
                out.push(RaftOutput::Decided { id, outcome: ProposalOutcome::NotLeader });
            }
            return;
        };
        let mut steps = Vec::new();
        raft.step(now, input, &mut steps);
        let mut steps = steps.into_iter();
        while let Some(step) = steps.next() {
            let RaftOutput::Persist(persist) = step else {
                out.push(step);
                continue;
            };
            if let Err(e) = write(&mut self.store, &persist) {
                let problem = SmolStr::new(e.to_string());
                out.push(RaftOutput::Event(Event::StorageFailed { problem }));
                self.raft = None;
                abandon(steps, out);
                return;
            }
        }
    }

    /// When [`RaftInput::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Mono {
        self.raft.as_ref().map_or(Mono::MAX, Raft::next_wake)
    }
}

/// Keeps a configuration in a folder.
///
/// # Errors
///
/// The folder cannot be written.
pub fn save_config(folder: &Folder, config: &Config) -> std::io::Result<()> {
    document::write(folder, CONFIG_FILE, config)
}

/// The configuration that a folder keeps, if it keeps one.
pub fn saved_config(folder: &Folder) -> Option<Config> {
    document::read(folder, CONFIG_FILE).ok().flatten()
}

fn write(store: &mut Store, persist: &Persist) -> Result<(), StorageError> {
    match persist {
        Persist::Append(records) => store.append(records),
        Persist::Compact(c) => store.compact(&c.meta, &c.data, &c.hard, &c.entries, &c.boots),
    }
}

/// After a failed write only decisions are told, as unknown.
fn abandon(steps: impl Iterator<Item = RaftOutput>, out: &mut Vec<RaftOutput>) {
    for step in steps {
        if let RaftOutput::Decided { id, .. } = step {
            out.push(RaftOutput::Decided { id, outcome: ProposalOutcome::Unknown });
        }
    }
}
