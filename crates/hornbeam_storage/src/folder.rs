//! Durable files in one folder, on a disk or in memory with simulated crashes.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};

/// Name of the file on which a process holds an exclusive lock while it uses the folder.
const LOCK_FILE: &str = "lock";

/// A folder that holds durable files.
#[derive(Debug)]
pub enum Folder {
    /// A folder on a disk, locked for as long as this value lives.
    Disk {
        /// Path of the folder.
        path: PathBuf,
        /// Open handle of the lock file; closing it releases the lock.
        lock: File,
    },
    /// A folder in memory, for tests that simulate crashes.
    Memory(MemoryFolder),
}

impl Folder {
    /// Opens a folder on a disk, creates it if it does not exist, and locks it.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::WouldBlock`] if another process holds the lock, or the I/O error if
    /// the folder or its lock file cannot be created.
    pub fn open(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))?;
        lock.try_lock().map_err(|e| match e {
            std::fs::TryLockError::WouldBlock => io::Error::from(io::ErrorKind::WouldBlock),
            std::fs::TryLockError::Error(e) => e,
        })?;
        Ok(Self::Disk { path: path.to_owned(), lock })
    }

    /// Returns the names of the files in sorted order, without the lock file.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the folder cannot be read.
    pub fn list(&self) -> io::Result<Vec<String>> {
        match self {
            Self::Disk { path, .. } => {
                let mut names = Vec::new();
                for entry in std::fs::read_dir(path)? {
                    let name = entry?.file_name().to_string_lossy().into_owned();
                    if name != LOCK_FILE {
                        names.push(name);
                    }
                }
                names.sort();
                Ok(names)
            }
            Self::Memory(memory) => Ok(memory.files().contents.keys().cloned().collect()),
        }
    }

    /// Returns the content of a file.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the file does not exist or cannot be read.
    pub fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        match self {
            Self::Disk { path, .. } => std::fs::read(path.join(name)),
            Self::Memory(memory) => {
                let files = memory.files();
                files.contents.get(name).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
            }
        }
    }

    /// Appends to a file and syncs it; creates the file if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the write or the sync fails; how much of `data` was written is then
    /// unknown.
    pub fn append(&self, name: &str, data: &[u8]) -> io::Result<()> {
        match self {
            Self::Disk { path, .. } => {
                let file = path.join(name);
                let is_new = !file.exists();
                let mut f = OpenOptions::new().create(true).append(true).open(file)?;
                f.write_all(data)?;
                f.sync_data()?;
                if is_new { File::open(path)?.sync_all() } else { Ok(()) }
            }
            Self::Memory(memory) => memory.append(name, data),
        }
    }

    /// Truncates a file to `length` bytes and syncs it.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the file cannot be truncated or synced.
    pub fn truncate(&self, name: &str, length: u64) -> io::Result<()> {
        match self {
            Self::Disk { path, .. } => {
                let f = OpenOptions::new().write(true).open(path.join(name))?;
                f.set_len(length)?;
                f.sync_all()
            }
            Self::Memory(memory) => memory.truncate(name, length as usize),
        }
    }

    /// Replaces a file atomically: after a crash it has either the old or the new content.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the new content cannot be written, synced or renamed to `name`.
    pub fn replace(&self, name: &str, data: &[u8]) -> io::Result<()> {
        match self {
            Self::Disk { path, .. } => {
                let temporary = path.join(format!("{name}.tmp"));
                let mut f = File::create(&temporary)?;
                f.write_all(data)?;
                f.sync_all()?;
                std::fs::rename(&temporary, path.join(name))?;
                File::open(path)?.sync_all()
            }
            Self::Memory(memory) => memory.replace(name, data),
        }
    }

    /// Removes a file; succeeds if the file does not exist.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the file exists and cannot be removed.
    pub fn remove(&self, name: &str) -> io::Result<()> {
        match self {
            Self::Disk { path, .. } => match std::fs::remove_file(path.join(name)) {
                Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
                other => other,
            },
            Self::Memory(memory) => memory.remove(name),
        }
    }

    /// Returns the total size of the files in bytes, without the lock file.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the folder cannot be read.
    pub fn size(&self) -> io::Result<u64> {
        let mut size = 0;
        for name in self.list()? {
            size += match self {
                Self::Disk { path, .. } => std::fs::metadata(path.join(name))?.len(),
                Self::Memory(memory) => {
                    memory.files().contents.get(&name).map_or(0, |data| data.len() as u64)
                }
            };
        }
        Ok(size)
    }
}

#[derive(Debug, Default)]
struct Files {
    /// Content of each file by name; it survives a simulated crash.
    contents: BTreeMap<String, Vec<u8>>,
    /// Number of writes that still succeed before the scheduled crash, if one is scheduled.
    writes_until_crash: Option<u64>,
    /// True after a crash and until the restart; every write fails meanwhile.
    crashed: bool,
    /// True while writes fail as on a full disk.
    full: bool,
}

impl Files {
    /// Counts one write and returns false if the scheduled crash interrupts it.
    fn begin_write(&mut self) -> io::Result<bool> {
        if self.crashed {
            return Err(io::Error::other("crashed"));
        }
        if self.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let Some(left) = self.writes_until_crash.as_mut() else { return Ok(true) };
        if *left == 0 {
            self.crashed = true;
            return Ok(false);
        }
        *left -= 1;
        Ok(true)
    }
}

/// A folder in memory that can crash at any write.
///
/// Clones share the files, as a restarted process finds the disk of its predecessor.
#[derive(Clone, Debug, Default)]
pub struct MemoryFolder {
    files: Arc<Mutex<Files>>,
}

/// Returns the error of a write that a crash interrupts.
fn crash_error() -> io::Error {
    io::Error::other("crashed")
}

impl MemoryFolder {
    fn files(&self) -> MutexGuard<'_, Files> {
        self.files.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Schedules a crash during the write that follows `writes` successful ones.
    ///
    /// An interrupted append leaves the first half of its bytes; an interrupted replacement,
    /// truncation or removal leaves the old content.
    pub fn crash_after(&self, writes: u64) {
        self.files().writes_until_crash = Some(writes);
    }

    /// Sets whether writes fail as on a full disk, where an append leaves the first half of its bytes.
    pub fn set_full(&self, full: bool) {
        self.files().full = full;
    }

    /// Simulates a restart: ends the crash, cancels a scheduled one, and returns true if the folder had
    /// crashed.
    pub fn restart(&self) -> bool {
        let mut files = self.files();
        files.writes_until_crash = None;
        std::mem::replace(&mut files.crashed, false)
    }

    /// Copies the current content to a new, independent folder.
    pub fn copy(&self) -> Self {
        let contents = self.files().contents.clone();
        Self { files: Arc::new(Mutex::new(Files { contents, ..Files::default() })) }
    }

    /// Flips one bit of the byte at `offset` in a file; does nothing if there is no such byte.
    pub fn corrupt(&self, name: &str, offset: usize) {
        if let Some(byte) =
            self.files().contents.get_mut(name).and_then(|data| data.get_mut(offset))
        {
            *byte ^= 0x40;
        }
    }

    fn append(&self, name: &str, data: &[u8]) -> io::Result<()> {
        let mut files = self.files();
        let begun = match files.begin_write() {
            Ok(true) => Ok(()),
            Ok(false) => Err(crash_error()),
            Err(e) if e.kind() == io::ErrorKind::StorageFull => Err(e),
            Err(e) => return Err(e),
        };
        let written = if begun.is_ok() { data } else { &data[..data.len() / 2] };
        files.contents.entry(name.to_owned()).or_default().extend_from_slice(written);
        begun
    }

    fn truncate(&self, name: &str, length: usize) -> io::Result<()> {
        let mut files = self.files();
        if !files.begin_write()? {
            return Err(crash_error());
        }
        if let Some(data) = files.contents.get_mut(name) {
            data.truncate(length);
        }
        Ok(())
    }

    fn replace(&self, name: &str, data: &[u8]) -> io::Result<()> {
        let mut files = self.files();
        if !files.begin_write()? {
            return Err(crash_error());
        }
        files.contents.insert(name.to_owned(), data.to_vec());
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut files = self.files();
        if !files.begin_write()? {
            return Err(crash_error());
        }
        files.contents.remove(name);
        Ok(())
    }
}
