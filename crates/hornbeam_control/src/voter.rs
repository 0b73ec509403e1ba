//! A Raft instance together with its disk, which is written before anything that depends on it.
//!
//! A voter either carries out its writes itself, and does nothing else meanwhile, or leaves them to the caller, and
//! holds back what depends on them.

use hornbeam_events::Event;
use hornbeam_model::{Config, InstanceId, Mono};
use hornbeam_protocol::control::DiskId;
use hornbeam_storage::{Folder, StorageError, Store, document};
use smol_str::SmolStr;

use crate::raft::{Persist, Raft, RaftInput, RaftOutput, RaftParams};
use crate::state::ProposalOutcome;
use crate::unsynced::UnsyncedWrites;

/// File that holds the latest configuration of an instance.
const CONFIG_FILE: &str = "config";

/// File that holds the initial voters of the log that an instance helps to start.
const FOUNDERS_FILE: &str = "founders";

/// A [`Raft`] instance together with its disk.
#[derive(Debug)]
pub struct Voter {
    /// `None` after a failed write: the control role has stopped.
    raft: Option<Raft>,
    disk: Disk,
}

#[derive(Debug)]
enum Disk {
    /// Written by [`Voter::step`].
    Own(Store),
    /// Written by the caller.
    Caller(UnsyncedWrites),
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
        Ok(Self { raft: Some(Raft::new(now, params, recovered)), disk: Disk::Own(store) })
    }

    /// Does the same as [`Voter::open`] and leaves the writes to the caller: [`Voter::step`] returns each as a
    /// [`RaftOutput::Persist`] and goes on. The caller carries them out in order with [`write`] and passes each result
    /// to [`Voter::on_written`].
    ///
    /// # Errors
    ///
    /// Fails under the conditions of [`Voter::open`].
    pub fn open_with_writer(
        now: Mono,
        folder: Folder,
        params: RaftParams,
        new_disk: DiskId,
        out: &mut Vec<RaftOutput>,
    ) -> Result<(Self, Store), StorageError> {
        let voter = Self::open(now, folder, params, new_disk, out)?;
        let Disk::Own(store) = voter.disk else { unreachable!("opened with its own disk") };
        let disk = Disk::Caller(UnsyncedWrites::default());
        Ok((Self { raft: voter.raft, disk }, store))
    }

    /// Returns the state machine, or `None` if the disk has failed.
    pub fn raft(&self) -> Option<&Raft> {
        self.raft.as_ref()
    }

    /// Returns the number of writes that the caller has not carried out yet.
    pub fn unsynced_writes(&self) -> usize {
        match &self.disk {
            Disk::Own(_) => 0,
            Disk::Caller(writes) => writes.len(),
        }
    }

    /// Returns true if state was committed that is not reported yet, since a write is under way.
    pub fn holds_commits(&self) -> bool {
        match &self.disk {
            Disk::Own(_) => false,
            Disk::Caller(writes) => writes.holds_commits(),
        }
    }

    /// Returns the configuration saved on the disk, if there is one that can be read and the voter writes itself.
    pub fn saved_config(&self) -> Option<Config> {
        let Disk::Own(store) = &self.disk else { return None };
        saved_config(store.folder())
    }

    /// Saves a configuration on the disk.
    ///
    /// # Errors
    ///
    /// Fails if the disk cannot be written, or if the caller carries out the writes.
    pub fn save_config(&self, config: &Config) -> std::io::Result<()> {
        let Disk::Own(store) = &self.disk else {
            return Err(std::io::ErrorKind::Unsupported.into());
        };
        save_config(store.folder(), config)
    }

    /// Processes one input, carries out the writes, and appends all other outputs to `out`. If the caller carries out
    /// the writes, they are appended as well, and what depends on them is held back.
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
        let store = match &mut self.disk {
            Disk::Own(store) => store,
            Disk::Caller(writes) => return step_ahead(raft, writes, now, input, out),
        };
        raft.step(now, input, &mut outputs);
        let mut outputs = outputs.into_iter();
        while let Some(output) = outputs.next() {
            let RaftOutput::Persist(persist) = output else {
                out.push(output);
                continue;
            };
            if let Err(e) = write(store, &persist) {
                self.raft = None;
                report_failure(&e, outputs, out);
                return;
            }
        }
    }

    /// Takes the result of the oldest write that the caller carries out, and appends the outputs that waited for it to
    /// `out`. If it failed, the control role stops as described for [`Voter::step`].
    pub fn on_written(
        &mut self,
        now: Mono,
        written: Result<(), StorageError>,
        out: &mut Vec<RaftOutput>,
    ) {
        let (Some(raft), Disk::Caller(writes)) = (&mut self.raft, &mut self.disk) else { return };
        match written {
            Ok(()) => {
                writes.finish_oldest(out);
                step_ahead(raft, writes, now, RaftInput::Synced, out);
            }
            Err(e) => {
                self.raft = None;
                report_failure(&e, std::mem::take(writes).into_held(), out);
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

/// Processes one input of a voter whose writes may be under way.
fn step_ahead(
    raft: &mut Raft,
    writes: &mut UnsyncedWrites,
    now: Mono,
    input: RaftInput,
    out: &mut Vec<RaftOutput>,
) {
    let mut outputs = Vec::new();
    raft.set_synced_index(writes.synced_index());
    raft.step(now, input, &mut outputs);
    for output in outputs {
        writes.pass(output, out);
    }
}

/// Carries out a write and syncs it.
///
/// # Errors
///
/// Fails if this or an earlier write or sync failed.
pub fn write(store: &mut Store, persist: &Persist) -> Result<(), StorageError> {
    match persist {
        Persist::Append(records) => store.append(records),
        Persist::Compact(c) => store.compact(&c.meta, &c.data, &c.hard_state, &c.entries, &c.boots),
    }
}

/// Reports a failed write and discards the outputs after it; proposals among them get
/// [`ProposalOutcome::Unknown`].
fn report_failure(
    error: &StorageError,
    outputs: impl Iterator<Item = RaftOutput>,
    out: &mut Vec<RaftOutput>,
) {
    let problem = SmolStr::new(error.to_string());
    out.push(RaftOutput::Event(Event::StorageFailed { problem }));
    for output in outputs {
        if let RaftOutput::Decided { id, .. } = output {
            out.push(RaftOutput::Decided { id, outcome: ProposalOutcome::Unknown });
        }
    }
}
