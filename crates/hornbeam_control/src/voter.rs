//! A Raft instance together with its disk, which is written before anything that depends on it.

use hornbeam_events::Event;
use hornbeam_model::{Config, InstanceId, Mono};
use hornbeam_protocol::control::DiskId;
use hornbeam_storage::{Folder, StorageError, Store, document};
use smol_str::SmolStr;

use crate::raft::{Persist, Raft, RaftInput, RaftOutput, RaftParams};
use crate::state::ProposalOutcome;

/// File that holds the latest configuration of an instance.
const CONFIG_FILE: &str = "config";

/// File that holds the initial voters of the log that an instance helps to start.
const FOUNDERS_FILE: &str = "founders";

/// A [`Raft`] instance together with its disk.
#[derive(Debug)]
pub struct Voter {
    /// `None` after a failed write: the control role has stopped.
    raft: Option<Raft>,
    store: Store,
}

impl Voter {
    /// Opens the folder and starts from its content; `new_disk` becomes the identity of an empty
    /// folder.
    ///
    /// # Errors
    ///
    /// Fails if the folder is damaged, belongs to another instance, or cannot be read or written.
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

    /// Returns the state machine, or `None` if the disk has failed.
    pub fn raft(&self) -> Option<&Raft> {
        self.raft.as_ref()
    }

    /// Returns the configuration saved on the disk, if there is one that can be read.
    pub fn saved_config(&self) -> Option<Config> {
        document::read(self.store.folder(), CONFIG_FILE).ok().flatten()
    }

    /// Saves a configuration on the disk.
    ///
    /// # Errors
    ///
    /// Fails if the disk cannot be written.
    pub fn save_config(&self, config: &Config) -> std::io::Result<()> {
        save_config(self.store.folder(), config)
    }

    /// Processes one input, carries out the writes, and appends all other outputs to `out`.
    ///
    /// If a write fails, the control role stops and reports [`Event::StorageFailed`]. Of the
    /// outputs after the write only decided proposals are reported, with an unknown outcome.
    pub fn step(&mut self, now: Mono, input: RaftInput, out: &mut Vec<RaftOutput>) {
        let Some(raft) = &mut self.raft else {
            if let RaftInput::Propose { id, .. } = input {
                out.push(RaftOutput::Decided { id, outcome: ProposalOutcome::NotLeader });
            }
            return;
        };
        let mut outputs = Vec::new();
        raft.step(now, input, &mut outputs);
        let mut outputs = outputs.into_iter();
        while let Some(output) = outputs.next() {
            let RaftOutput::Persist(persist) = output else {
                out.push(output);
                continue;
            };
            if let Err(e) = write(&mut self.store, &persist) {
                let problem = SmolStr::new(e.to_string());
                out.push(RaftOutput::Event(Event::StorageFailed { problem }));
                self.raft = None;
                discard_outputs(outputs, out);
                return;
            }
        }
    }

    /// Returns the latest time at which [`RaftInput::Tick`] must be passed to [`Voter::step`].
    pub fn next_wake(&self) -> Mono {
        self.raft.as_ref().map_or(Mono::MAX, Raft::next_wake)
    }
}

/// Returns the initial voters of the log that the instance with this folder starts: those that the settings name,
/// or else those that they named at an earlier start. The settings name them at the first start only, and the
/// instance may end before the log exists.
///
/// # Errors
///
/// Fails if the folder cannot be written.
pub fn initial_voters(folder: &Folder, named: Vec<InstanceId>) -> std::io::Result<Vec<InstanceId>> {
    let saved: Option<Vec<InstanceId>> = document::read(folder, FOUNDERS_FILE).ok().flatten();
    if named.is_empty() {
        return Ok(saved.unwrap_or_default());
    }
    if saved.as_ref() != Some(&named) {
        document::write(folder, FOUNDERS_FILE, &named)?;
    }
    Ok(named)
}

/// Saves a configuration in a folder.
///
/// # Errors
///
/// Fails if the folder cannot be written.
pub fn save_config(folder: &Folder, config: &Config) -> std::io::Result<()> {
    document::write(folder, CONFIG_FILE, config)
}

/// Returns the configuration saved in a folder, if there is one that can be read.
pub fn saved_config(folder: &Folder) -> Option<Config> {
    document::read(folder, CONFIG_FILE).ok().flatten()
}

fn write(store: &mut Store, persist: &Persist) -> Result<(), StorageError> {
    match persist {
        Persist::Append(records) => store.append(records),
        Persist::Compact(c) => store.compact(&c.meta, &c.data, &c.hard_state, &c.entries, &c.boots),
    }
}

/// Discards the outputs after a failed write; proposals among them get
/// [`ProposalOutcome::Unknown`].
fn discard_outputs(outputs: impl Iterator<Item = RaftOutput>, out: &mut Vec<RaftOutput>) {
    for output in outputs {
        if let RaftOutput::Decided { id, .. } = output {
            out.push(RaftOutput::Decided { id, outcome: ProposalOutcome::Unknown });
        }
    }
}
