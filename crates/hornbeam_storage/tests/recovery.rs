//! Recovery of the log from a real disk and from memory: restarts, crashes, damage and locks.

use hornbeam_model::InstanceId;
use hornbeam_protocol::control::{Command, DiskId, Entry, LogIndex, Term};
use hornbeam_storage::{
    Folder, HardState, MemoryFolder, Record, SnapshotMeta, StorageError, Store,
};
use indexmap::IndexMap;
use proptest::prelude::*;

fn instance() -> InstanceId {
    "node-1".parse().unwrap()
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index: LogIndex(index), term: Term(term), command: Command::Noop }
}

fn open(disk: &MemoryFolder) -> Result<(Store, hornbeam_storage::RecoveredState), StorageError> {
    Store::open(Folder::Memory(disk.clone()), &instance(), DiskId(7))
}

/// Writes a log of `count` entries with one frame per entry.
fn write_entries(disk: &MemoryFolder, count: u64) {
    let (mut store, _) = open(disk).unwrap();
    for index in 1..=count {
        store.append(&[Record::Entries(vec![entry(index, 1)])]).unwrap();
    }
}

#[test]
fn real_disk() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("data");
    {
        let (mut store, _) =
            Store::open(Folder::open(&path).unwrap(), &instance(), DiskId(7)).unwrap();
        for index in 1..=300 {
            store.append(&[Record::Entries(vec![entry(index, 2)])]).unwrap();
        }
        let hard = HardState { term: Term(2), voted_for: Some(instance()) };
        store.append(&[Record::HardState(hard)]).unwrap();
        let second = Folder::open(&path).unwrap_err();
        assert_eq!(second.kind(), std::io::ErrorKind::WouldBlock, "the folder must be locked");
    }
    let (_, recovered) = Store::open(Folder::open(&path).unwrap(), &instance(), DiskId(9)).unwrap();
    assert_eq!(recovered.entries.len(), 300);
    assert_eq!(recovered.hard_state.term, Term(2));
    assert_eq!(recovered.identity.disk, DiskId(7), "the identifier of the disk must not change");
    assert_eq!(recovered.identity.boot, 2, "every start must be counted");
}

#[test]
fn torn_tail() {
    let disk = MemoryFolder::default();
    write_entries(&disk, 5);
    let (mut store, _) = open(&disk).unwrap();
    disk.crash_after(0);
    assert!(store.append(&[Record::Entries(vec![entry(6, 1)])]).is_err());
    assert!(
        store.append(&[Record::Entries(vec![entry(6, 1)])]).is_err(),
        "writes after a failure must be refused"
    );
    disk.restart();
    let (_, recovered) = open(&disk).unwrap();
    assert_eq!(recovered.entries.len(), 5);
    assert!(recovered.torn_bytes > 0);
    let (_, reopened) = open(&disk).unwrap();
    assert_eq!(reopened.torn_bytes, 0, "recovery must truncate the unfinished write");
}

#[test]
fn damaged_middle() {
    let length = {
        let disk = MemoryFolder::default();
        write_entries(&disk, 20);
        Folder::Memory(disk).read("log.0").unwrap().len()
    };
    let mut refused = 0;
    for offset in 0..length {
        let disk = MemoryFolder::default();
        write_entries(&disk, 20);
        disk.corrupt("log.0", offset);
        match open(&disk) {
            Err(StorageError::Damaged { .. }) => refused += 1,
            Err(e) => panic!("byte {offset}: {e}"),
            // Damage in the last frame is indistinguishable from an unfinished write.
            Ok((_, recovered)) => assert_eq!(recovered.entries.len(), 19, "byte {offset}"),
        }
    }
    assert!(refused >= length * 9 / 10, "{refused} of {length}");
}

#[test]
fn foreign_folder() {
    let disk = MemoryFolder::default();
    write_entries(&disk, 1);
    let other: InstanceId = "node-2".parse().unwrap();
    let opened = Store::open(Folder::Memory(disk), &other, DiskId(8));
    assert!(matches!(opened, Err(StorageError::WrongInstance { .. })));
}

#[test]
fn missing_identity() {
    let disk = MemoryFolder::default();
    write_entries(&disk, 1);
    Folder::Memory(disk.clone()).remove("identity").unwrap();
    let error = open(&disk).unwrap_err();
    assert!(matches!(error, StorageError::NoIdentity));
    assert!(error.to_string().contains("control replace"), "{error}");
}

#[test]
fn compaction_crashes() {
    // A crash during any write of a compaction must leave either the old or the new generation.
    for writes in 0..6 {
        let disk = MemoryFolder::default();
        write_entries(&disk, 10);
        let (mut store, original) = open(&disk).unwrap();
        disk.crash_after(writes);
        let mut meta = SnapshotMeta::default();
        meta.last.index = LogIndex(8);
        let tail = &original.entries[8..];
        let hard = HardState { term: Term(3), voted_for: None };
        let result = store.compact(&meta, b"state", &hard, tail, &IndexMap::new());
        disk.restart();
        let (_, recovered) = open(&disk).unwrap();
        let compacted = recovered.snapshot.last.index == LogIndex(8);
        if result.is_ok() {
            assert!(compacted, "crash after {writes} writes");
        }
        if compacted {
            assert_eq!(recovered.snapshot_data, b"state");
            assert_eq!(recovered.entries, tail);
            assert_eq!(recovered.hard_state, hard);
        } else {
            assert_eq!(recovered.entries.len(), 10);
        }
    }
}

proptest! {
    /// Recovery returns the entries that result from any sequence of writes and truncations.
    #[test]
    fn replays_writes(lengths in prop::collection::vec((1u64..20, 0u64..6), 1..30)) {
        let disk = MemoryFolder::default();
        let (mut store, _) = open(&disk).unwrap();
        let mut model: Vec<Entry> = Vec::new();
        for (term, (from, count)) in lengths.into_iter().enumerate() {
            let from = from.min(model.len() as u64 + 1);
            let new: Vec<Entry> = (from..from + count).map(|i| entry(i, term as u64)).collect();
            let record = if new.is_empty() {
                Record::Truncate(LogIndex(from))
            } else {
                Record::Entries(new.clone())
            };
            model.truncate(from as usize - 1);
            model.extend(new);
            store.append(&[record]).unwrap();
        }
        let (_, recovered) = open(&disk).unwrap();
        prop_assert_eq!(recovered.entries, model);
    }

    /// A log file of arbitrary bytes never makes recovery panic or return entries.
    #[test]
    fn arbitrary_file(bytes in prop::collection::vec(any::<u8>(), 0..500)) {
        let disk = MemoryFolder::default();
        let folder = Folder::Memory(disk.clone());
        write_entries(&disk, 1);
        folder.replace("log.0", &bytes).unwrap();
        if let Ok((_, recovered)) = open(&disk) {
            prop_assert_eq!(recovered.entries.len(), 0);
        }
    }
}
