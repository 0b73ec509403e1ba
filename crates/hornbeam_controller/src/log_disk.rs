//! Carries out the writes of the control log on a thread of its own, since a slow disk must not delay heartbeats, feeds
//! or reads.

use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};

use hornbeam_control::{Persist, write};
use hornbeam_storage::{StorageError, Store};
use tokio::sync::mpsc;

/// The disk of the control log. The folder is locked until its thread has ended.
#[derive(Debug)]
pub struct LogDisk {
    writes: Sender<Persist>,
    /// Results in the order of the writes.
    results: mpsc::UnboundedReceiver<Result<(), StorageError>>,
}

impl LogDisk {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the thread cannot be started.
    pub fn start(store: Store) -> io::Result<Self> {
        let (writes, requested) = channel();
        let (result_tx, results) = mpsc::unbounded_channel();
        let writer = std::thread::Builder::new().name("control-log".to_owned());
        writer.spawn(move || carry_out(store, &requested, &result_tx))?;
        Ok(Self { writes, results })
    }

    /// Writes and syncs after all earlier writes; does not wait for the disk.
    pub fn write(&self, persist: Persist) {
        // The thread ends only after it has reported a failed write.
        let _ = self.writes.send(persist);
    }

    /// Waits for the result of the next write; waits forever after a failed one.
    pub async fn next_result(&mut self) -> Result<(), StorageError> {
        match self.results.recv().await {
            Some(result) => result,
            None => std::future::pending().await,
        }
    }
}

/// Ends with the first failed write, or when the controller no longer uses the disk.
fn carry_out(
    mut store: Store,
    requested: &Receiver<Persist>,
    results: &mpsc::UnboundedSender<Result<(), StorageError>>,
) {
    for persist in requested {
        let result = write(&mut store, &persist);
        if result.is_err() {
            // Releases the lock of the folder before the controller opens it again.
            drop(store);
            // The controller may use another disk already.
            let _ = results.send(result);
            return;
        }
        if results.send(result).is_err() {
            return;
        }
    }
}
