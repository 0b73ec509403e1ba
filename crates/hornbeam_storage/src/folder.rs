//! Files of one folder, on a disk or in memory with simulated crashes.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};

/// Name of the file that is locked while a process uses the folder.
const LOCK_FILE: &str = "lock";

/// A folder that holds durable files.
#[derive(Debug)]
pub enum Folder {
    /// On a disk; the lock is held as long as the folder is open.
    Disk {
        /// Where it is.
        path: PathBuf,
        /// The locked file.
        lock: File,
    },
    /// In memory, for tests of crashes.
    Memory(MemoryFolder),
}

impl Folder {
    /// Opens a folder on a disk, creating it if need be, and locks it.
    ///
    /// # Errors
    ///
    /// The folder cannot be created, or another process has it locked
    /// ([`io::ErrorKind::WouldBlock`]).
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

    /// Names of the files, sorted.
    ///
    /// # Errors
    ///
    /// The folder cannot be read.
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
            Self::Memory(memory) => Ok(memory.files().live.keys().cloned().collect()),
        }
    }

    /// The content of a file.
    ///
    /// # Errors
    ///
    /// The file does not exist or cannot be read.
    pub fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        match self {
            Self::Disk { path, .. } => std::fs::read(path.join(name)),
            Self::Memory(memory) => {
                let files = memory.files();
                files.live.get(name).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
            }
        }
    }

    /// Appends to a file, creating it if need be, and syncs it.
    ///
    /// # Errors
    ///
    /// The write or the sync fails; how much was written is then unknown.
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

    /// Cuts a file to `length` bytes and syncs it.
    ///
    /// # Errors
    ///
    /// The file cannot be cut or synced.
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

    /// Replaces a file as a whole: after a crash it has the old or the new content.
    ///
    /// # Errors
    ///
    /// The new content cannot be written, synced or put into place.
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

    /// Removes a file; one that does not exist is no error.
    ///
    /// # Errors
    ///
    /// The file cannot be removed.
    pub fn remove(&self, name: &str) -> io::Result<()> {
        match self {
            Self::Disk { path, .. } => match std::fs::remove_file(path.join(name)) {
                Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
                other => other,
            },
            Self::Memory(memory) => memory.remove(name),
        }
    }

    /// Total size of the files in bytes.
    ///
    /// # Errors
    ///
    /// The folder cannot be read.
    pub fn size(&self) -> io::Result<u64> {
        let mut size = 0;
        for name in self.list()? {
            size += match self {
                Self::Disk { path, .. } => std::fs::metadata(path.join(name))?.len(),
                Self::Memory(memory) => {
                    memory.files().live.get(&name).map_or(0, |data| data.len() as u64)
                }
            };
        }
        Ok(size)
    }
}

#[derive(Debug, Default)]
struct Files {
    /// What a reader sees, and what a crash leaves.
    live: BTreeMap<String, Vec<u8>>,
    /// Steps until the next crash, if one is planned.
    crash_in: Option<u64>,
    /// True once a crash happened: every further write fails.
    crashed: bool,
    /// True if writes fail as on a full disk.
    full: bool,
}

impl Files {
    /// Takes one step; false if the crash comes in it.
    fn step(&mut self) -> io::Result<bool> {
        if self.crashed {
            return Err(io::Error::other("crashed"));
        }
        if self.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let Some(left) = self.crash_in.as_mut() else { return Ok(true) };
        if *left == 0 {
            self.crashed = true;
            return Ok(false);
        }
        *left -= 1;
        Ok(true)
    }
}

/// A folder in memory that can crash at any write. Clones share it, as a restarted process shares
/// the disk of the one before.
#[derive(Clone, Debug, Default)]
pub struct MemoryFolder {
    files: Arc<Mutex<Files>>,
}

/// What a write cut off by a crash is reported as.
fn cut_off() -> io::Error {
    io::Error::other("crashed")
}

impl MemoryFolder {
    fn files(&self) -> MutexGuard<'_, Files> {
        self.files.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Plans a crash in the write after `steps` further ones. That write is lost in part: an
    /// append leaves half of its bytes, a replacement leaves the old content.
    pub fn crash_after(&self, steps: u64) {
        self.files().crash_in = Some(steps);
    }

    /// Makes writes fail as on a full disk, or succeed again.
    pub fn set_full(&self, full: bool) {
        self.files().full = full;
    }

    /// Starts anew after a crash; true if there was one.
    pub fn restart(&self) -> bool {
        let mut files = self.files();
        files.crash_in = None;
        std::mem::replace(&mut files.crashed, false)
    }

    /// A copy of the present content on another disk.
    pub fn copy(&self) -> Self {
        let live = self.files().live.clone();
        Self { files: Arc::new(Mutex::new(Files { live, ..Files::default() })) }
    }

    /// Changes one byte of a file.
    pub fn corrupt(&self, name: &str, at: usize) {
        if let Some(byte) = self.files().live.get_mut(name).and_then(|data| data.get_mut(at)) {
            *byte ^= 0x40;
        }
    }

    fn append(&self, name: &str, data: &[u8]) -> io::Result<()> {
        let mut files = self.files();
        let whole = files.step()?;
        let kept = if whole { data } else { &data[..data.len() / 2] };
        files.live.entry(name.to_owned()).or_default().extend_from_slice(kept);
        if whole { Ok(()) } else { Err(cut_off()) }
    }

    fn truncate(&self, name: &str, length: usize) -> io::Result<()> {
        let mut files = self.files();
        if !files.step()? {
            return Err(cut_off());
        }
        if let Some(data) = files.live.get_mut(name) {
            data.truncate(length);
        }
        Ok(())
    }

    fn replace(&self, name: &str, data: &[u8]) -> io::Result<()> {
        let mut files = self.files();
        if !files.step()? {
            return Err(cut_off());
        }
        files.live.insert(name.to_owned(), data.to_vec());
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut files = self.files();
        if !files.step()? {
            return Err(cut_off());
        }
        files.live.remove(name);
        Ok(())
    }
}
