//! The log and snapshots of a voter.
//!
//! Generation `n` consists of the files `snapshot.n` and `log.n`; generation 0 has no snapshot. A new
//! generation is written next to the old one: first the snapshot, then the log, which begins with the
//! hard state, the known starts of other voters and the entries after the snapshot. A generation is
//! complete once its log exists; the files of all other generations are then removed.

use std::io;

use hornbeam_model::InstanceId;
use hornbeam_protocol::control::{DiskId, Entry, LogIndex};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::document;
use crate::folder::Folder;
use crate::record::{Boot, HEADER_BYTES, HardState, Record, SnapshotMeta, frame, unframe};

const IDENTITY_FILE: &str = "identity";
const LOG_PREFIX: &str = "log.";
const SNAPSHOT_PREFIX: &str = "snapshot.";

/// Reasons why a data folder cannot be used.
#[derive(Debug, Snafu)]
pub enum StorageError {
    /// A file cannot be read or written.
    #[snafu(display(
        "{operation} failed ({source}): check the disk; this instance stops its control role"
    ))]
    Io {
        /// Operation that failed, such as "writing the log".
        operation: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another process holds the lock of the folder.
    #[snafu(display("the data folder is in use: stop the other process or choose another folder"))]
    Locked,
    /// The folder belongs to another instance.
    #[snafu(display(
        "the data folder belongs to instance {found}, not {expected}: correct data_dir, or replace \
         the voter with hornbeamctl control replace"
    ))]
    WrongInstance {
        /// Instance that the folder belongs to.
        found: InstanceId,
        /// Instance that opened the folder.
        expected: InstanceId,
    },
    /// The folder has a log but no identity file.
    #[snafu(display(
        "the data folder has a log but no identity: restore the file {IDENTITY_FILE}, or empty the \
         folder and replace the voter with hornbeamctl control replace"
    ))]
    NoIdentity,
    /// A file is damaged in a way that an interrupted write does not explain.
    #[snafu(display(
        "{file} is damaged at byte {offset}: empty the folder and replace the voter with \
         hornbeamctl control replace; nothing was skipped or changed"
    ))]
    Damaged {
        /// Name of the damaged file.
        file: String,
        /// Offset of the damaged frame in the file, in bytes.
        offset: usize,
    },
}

/// Owner of a disk.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// Instance that the disk belongs to.
    pub instance: InstanceId,
    /// Identifier of the disk, drawn at random when the folder is first used.
    pub disk: DiskId,
    /// Number of starts with this disk, including the current one.
    pub boot: u64,
}

/// State that [`Store::open`] recovers from a data folder.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredState {
    /// Owner of the disk and number of this start.
    pub identity: Identity,
    /// Latest term and vote.
    pub hard_state: HardState,
    /// Position and membership that the snapshot covers; the default without a snapshot.
    pub snapshot: SnapshotMeta,
    /// Content of the snapshot; empty without a snapshot.
    pub snapshot_data: Vec<u8>,
    /// Entries after the snapshot, in index order.
    pub entries: Vec<Entry>,
    /// Latest known start of each other voter.
    pub boots: IndexMap<InstanceId, Boot>,
    /// Bytes of an unfinished write that were truncated from the end of the log.
    pub torn_bytes: u64,
}

/// The log and snapshots of a voter.
#[derive(Debug)]
pub struct Store {
    folder: Folder,
    generation: u64,
    /// True after a failed write; every later write is refused.
    failed: bool,
}

#[derive(Deserialize, Serialize)]
struct SnapshotFile {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

impl Store {
    /// Recovers the state in a folder and counts this start. `new_disk` becomes the identifier of the
    /// disk if the folder is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is damaged, belongs to another instance, has a log but no
    /// identity, or cannot be read or written.
    pub fn open(
        folder: Folder,
        instance: &InstanceId,
        new_disk: DiskId,
    ) -> Result<(Self, RecoveredState), StorageError> {
        let generation = latest_generation(&folder)?;
        let identity = open_identity(&folder, instance, new_disk, generation.is_some())?;
        let mut recovered = RecoveredState {
            identity,
            hard_state: HardState::default(),
            snapshot: SnapshotMeta::default(),
            snapshot_data: Vec::new(),
            entries: Vec::new(),
            boots: IndexMap::new(),
            torn_bytes: 0,
        };
        let store = Self { folder, generation: generation.unwrap_or(0), failed: false };
        if generation.is_some() {
            store.read_snapshot(&mut recovered)?;
            store.read_log(&mut recovered)?;
            store.remove_other_generations()?;
        }
        Ok((store, recovered))
    }

    /// Returns the folder, for documents that are stored next to the log.
    pub fn folder(&self) -> &Folder {
        &self.folder
    }

    /// Appends records to the log as one frame and syncs it.
    ///
    /// # Errors
    ///
    /// Returns an error if this or an earlier write or sync failed. The store refuses every write
    /// after a failure because a failed sync leaves the content of the disk unknown.
    pub fn append(&mut self, records: &[Record]) -> Result<(), StorageError> {
        self.check_usable()?;
        let name = self.log_name();
        let written = self.folder.append(&name, &frame(&records));
        self.record_write(written, "writing the log")
    }

    /// Starts a new generation with a snapshot, the hard state, the starts of other voters and the
    /// entries after the snapshot, and removes the files of older generations.
    ///
    /// # Errors
    ///
    /// Returns an error under the conditions of [`Store::append`], or if the old files cannot be
    /// listed or removed.
    pub fn compact(
        &mut self,
        meta: &SnapshotMeta,
        data: &[u8],
        hard_state: &HardState,
        entries: &[Entry],
        boots: &IndexMap<InstanceId, Boot>,
    ) -> Result<(), StorageError> {
        self.check_usable()?;
        let next = self.generation + 1;
        let snapshot = SnapshotFile { meta: meta.clone(), data: data.to_vec() };
        let name = format!("{SNAPSHOT_PREFIX}{next}");
        let written = self.folder.replace(&name, &frame(&snapshot));
        self.record_write(written, "writing a snapshot")?;
        let mut records = vec![Record::HardState(hard_state.clone())];
        records.extend(boots.iter().map(|(i, b)| Record::Boot(i.clone(), *b)));
        if !entries.is_empty() {
            records.push(Record::Entries(entries.to_vec()));
        }
        let name = format!("{LOG_PREFIX}{next}");
        let written = self.folder.replace(&name, &frame(&records));
        self.record_write(written, "writing the log after a snapshot")?;
        self.generation = next;
        self.remove_other_generations()
    }

    fn log_name(&self) -> String {
        format!("{LOG_PREFIX}{}", self.generation)
    }

    fn check_usable(&self) -> Result<(), StorageError> {
        if self.failed {
            let source = io::Error::other("an earlier write failed");
            return Err(StorageError::Io { operation: "writing", source });
        }
        Ok(())
    }

    fn record_write(
        &mut self,
        written: io::Result<()>,
        operation: &'static str,
    ) -> Result<(), StorageError> {
        self.failed |= written.is_err();
        written.context(IoSnafu { operation })
    }

    fn read_snapshot(&self, recovered: &mut RecoveredState) -> Result<(), StorageError> {
        let name = format!("{SNAPSHOT_PREFIX}{}", self.generation);
        match document::read::<SnapshotFile>(&self.folder, &name) {
            Ok(Some(file)) => {
                recovered.snapshot = file.meta;
                recovered.snapshot_data = file.data;
                Ok(())
            }
            // Generation 0 has no snapshot.
            Ok(None) if self.generation == 0 => Ok(()),
            Ok(None) => Err(StorageError::Damaged { file: name, offset: 0 }),
            Err(e) if e.kind() == io::ErrorKind::InvalidData => {
                Err(StorageError::Damaged { file: name, offset: 0 })
            }
            Err(source) => Err(StorageError::Io { operation: "reading a snapshot", source }),
        }
    }

    fn read_log(&self, recovered: &mut RecoveredState) -> Result<(), StorageError> {
        let name = self.log_name();
        let data = self.folder.read(&name).context(IoSnafu { operation: "reading the log" })?;
        let mut offset = 0;
        while offset < data.len() {
            let Some((records, length)) = unframe::<Vec<Record>>(&data[offset..]) else {
                if has_frame_after(&data, offset + 1) {
                    return Err(StorageError::Damaged { file: name, offset });
                }
                recovered.torn_bytes = (data.len() - offset) as u64;
                let truncated = self.folder.truncate(&name, offset as u64);
                return truncated.context(IoSnafu { operation: "truncating an unfinished write" });
            };
            for record in records {
                replay(recovered, record);
            }
            offset += length;
        }
        Ok(())
    }

    fn remove_other_generations(&self) -> Result<(), StorageError> {
        let names = self.folder.list().context(IoSnafu { operation: "listing the data folder" })?;
        for name in names {
            let number = generation_of(&name, LOG_PREFIX)
                .or_else(|| generation_of(&name, SNAPSHOT_PREFIX))
                .filter(|n| *n != self.generation);
            if number.is_some() || name.ends_with(".tmp") {
                self.folder.remove(&name).context(IoSnafu { operation: "removing an old file" })?;
            }
        }
        Ok(())
    }
}

fn replay(recovered: &mut RecoveredState, record: Record) {
    match record {
        Record::HardState(hard_state) => recovered.hard_state = hard_state,
        Record::Boot(instance, boot) => {
            recovered.boots.insert(instance, boot);
        }
        Record::Truncate(from) => recovered.entries.retain(|e| e.index < from),
        Record::Entries(entries) => {
            if let Some(first) = entries.first() {
                let from: LogIndex = first.index;
                recovered.entries.retain(|e| e.index < from);
            }
            recovered.entries.extend(entries);
        }
    }
}

/// Returns true if a valid frame begins at `from` or later. Damage before such a frame is not an
/// unfinished write, which can only be at the end of the log.
fn has_frame_after(data: &[u8], from: usize) -> bool {
    let last = data.len().saturating_sub(HEADER_BYTES);
    (from..last).any(|start| unframe::<Vec<Record>>(&data[start..]).is_some())
}

fn generation_of(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}

fn latest_generation(folder: &Folder) -> Result<Option<u64>, StorageError> {
    let names = folder.list().context(IoSnafu { operation: "listing the data folder" })?;
    Ok(names.iter().filter_map(|n| generation_of(n, LOG_PREFIX)).max())
}

fn open_identity(
    folder: &Folder,
    instance: &InstanceId,
    new_disk: DiskId,
    has_log: bool,
) -> Result<Identity, StorageError> {
    let operation = "reading the identity";
    let found: Option<Identity> = match document::read(folder, IDENTITY_FILE) {
        Ok(found) => found,
        Err(e) if e.kind() == io::ErrorKind::InvalidData => {
            let file = IDENTITY_FILE.to_owned();
            return Err(StorageError::Damaged { file, offset: 0 });
        }
        Err(source) => return Err(StorageError::Io { operation, source }),
    };
    let mut identity = match found {
        Some(identity) if identity.instance == *instance => identity,
        Some(identity) => {
            let (found, expected) = (identity.instance, instance.clone());
            return Err(StorageError::WrongInstance { found, expected });
        }
        None if has_log => return Err(StorageError::NoIdentity),
        None => Identity { instance: instance.clone(), disk: new_disk, boot: 0 },
    };
    identity.boot += 1;
    let written = document::write(folder, IDENTITY_FILE, &identity);
    written.context(IoSnafu { operation: "writing the identity" })?;
    Ok(identity)
}
