//! Writes the known servers to the disk on a thread of their own, since a slow disk must not delay
//! heartbeats or the control log.

use std::io;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};

use hornbeam_discovery::SavedServers;
use hornbeam_storage::{Folder, document};

/// Folder within the data folder; separate from that of the control log, which locks its own.
const FOLDER: &str = "servers";
/// Name of the file in [`FOLDER`].
const FILE: &str = "claims";

/// File with the servers that a controller knows.
#[derive(Debug)]
pub struct ServerFile {
    tx: Sender<SavedServers>,
}

impl ServerFile {
    /// Opens the file in a data folder; returns it with the servers saved before.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the folder cannot be opened or the thread cannot be started. A
    /// damaged file counts as empty.
    pub fn open(data_dir: &Path) -> io::Result<(Self, SavedServers)> {
        let folder = Folder::open(&data_dir.join(FOLDER))?;
        let saved = match document::read(&folder, FILE) {
            Ok(saved) => saved.unwrap_or_default(),
            Err(e) => {
                log::warn!("the saved servers cannot be read ({e}): they are learned anew");
                SavedServers::default()
            }
        };
        let (tx, rx) = channel();
        let writer = std::thread::Builder::new().name("servers".to_owned());
        writer.spawn(move || write_latest(&folder, &rx))?;
        Ok((Self { tx }, saved))
    }

    /// Saves these servers soon; does not wait for the disk.
    pub fn save(&self, servers: SavedServers) {
        // The thread ends only with the process.
        let _ = self.tx.send(servers);
    }
}

/// Writes the latest servers received, and skips those that arrived during a write.
fn write_latest(folder: &Folder, rx: &Receiver<SavedServers>) {
    while let Ok(servers) = rx.recv() {
        let latest = rx.try_iter().last().unwrap_or(servers);
        if let Err(e) = document::write(folder, FILE, &latest) {
            log::warn!("the known servers cannot be saved ({e}): check the disk");
        }
    }
}
