//! Writes state that can be learned anew to the disk on a thread of its own, since a slow disk must
//! not delay heartbeats or the control log.

use std::io;
use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

use hornbeam_discovery::{SavedCrashes, SavedServers};
use hornbeam_storage::{Folder, document};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Interval of the attempts to write a value after one has failed.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Where a [`StateFile`] is kept. Each has a folder of its own within the data folder, which is
/// locked while it is open.
#[derive(Clone, Copy, Debug)]
pub struct StateLocation {
    folder: &'static str,
    file: &'static str,
}

/// The servers that a controller knows.
pub const SERVERS: StateLocation = StateLocation { folder: "servers", file: "claims" };
/// The requests that were in flight at servers that ended.
pub const CRASHES: StateLocation = StateLocation { folder: "crashes", file: "runs" };

/// File with the servers that a controller knows.
pub type ServerFile = StateFile<SavedServers>;
/// File with the requests that were in flight at servers that ended.
pub type CrashFile = StateFile<SavedCrashes>;

/// A value that is saved each time it changes.
#[derive(Debug)]
pub struct StateFile<T> {
    tx: Sender<T>,
}

impl<T: Default + DeserializeOwned + Send + Serialize + 'static> StateFile<T> {
    /// Opens the file in a data folder; returns it with the value saved before.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the folder cannot be opened or the thread cannot be started. A
    /// damaged file counts as empty.
    pub fn open(data_dir: &Path, location: StateLocation) -> io::Result<(Self, T)> {
        let StateLocation { folder: name, file } = location;
        let folder = Folder::open(&data_dir.join(name))?;
        let saved = match document::read(&folder, file) {
            Ok(saved) => saved.unwrap_or_default(),
            Err(e) => {
                log::warn!("the saved {name} cannot be read ({e}): they are learned anew");
                T::default()
            }
        };
        let (tx, rx) = channel();
        let writer = std::thread::Builder::new().name(name.to_owned());
        writer.spawn(move || write_latest(&folder, location, &rx))?;
        Ok((Self { tx }, saved))
    }

    /// Saves this value soon; does not wait for the disk.
    pub fn save(&self, value: T) {
        // The thread ends only with the process.
        let _ = self.tx.send(value);
    }
}

/// Writes the latest value received, and skips those that arrived during a write. A value that cannot
/// be written is tried again until it can or a later one arrives.
fn write_latest<T: Serialize>(folder: &Folder, location: StateLocation, rx: &Receiver<T>) {
    let mut unsaved: Option<T> = None;
    loop {
        let received = match &unsaved {
            Some(_) => rx.recv_timeout(RETRY_INTERVAL),
            None => rx.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match received {
            Ok(value) => unsaved = Some(rx.try_iter().last().unwrap_or(value)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let Some(value) = &unsaved else { continue };
        match document::write(folder, location.file, value) {
            Ok(()) => unsaved = None,
            Err(e) => {
                log::warn!("the known {} cannot be saved ({e}): check the disk", location.folder);
            }
        }
    }
}
