//! Guards against departures that are lost with a restart because they were reported while the disk was
//! full, though it has had room again for long.

use std::path::Path;
use std::time::{Duration, Instant};

use hornbeam_controller::state_file::{SERVERS, ServerFile};
use hornbeam_discovery::SavedServers;

/// Longest time after which a value is on the disk once there is room.
const SAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Keeps the file from being written, as a full disk does.
fn set_full(data_dir: &Path, full: bool) {
    let blocked = data_dir.join("servers/claims.tmp");
    let changed = if full { std::fs::create_dir(blocked) } else { std::fs::remove_dir(blocked) };
    changed.unwrap();
}

/// Returns what a restarted controller recalls; the file of the last one must be closed.
fn recalled(data_dir: &Path) -> u64 {
    let started = Instant::now();
    loop {
        match ServerFile::open(data_dir, SERVERS) {
            Ok((_, saved)) => return saved.unix_ms,
            // The thread of the last file still holds the lock.
            Err(_) if started.elapsed() < SAVE_TIMEOUT => {
                std::thread::sleep(Duration::from_millis(10));
            }
            Err(e) => panic!("{e}"),
        }
    }
}

#[test]
fn saved_once_there_is_room() {
    let dir = tempfile::tempdir().unwrap();
    let (file, _) = ServerFile::open(dir.path(), SERVERS).unwrap();
    set_full(dir.path(), true);
    file.save(SavedServers { unix_ms: 7, claims: Vec::new() });
    std::thread::sleep(Duration::from_millis(200));
    set_full(dir.path(), false);
    let written = dir.path().join("servers/claims");
    let started = Instant::now();
    while !written.exists() && started.elapsed() < SAVE_TIMEOUT {
        std::thread::sleep(Duration::from_millis(20));
    }
    drop(file);
    assert_eq!(recalled(dir.path()), 7);
}

#[test]
fn latest_value_kept() {
    let dir = tempfile::tempdir().unwrap();
    let (file, _) = ServerFile::open(dir.path(), SERVERS).unwrap();
    set_full(dir.path(), true);
    file.save(SavedServers { unix_ms: 7, claims: Vec::new() });
    std::thread::sleep(Duration::from_millis(100));
    set_full(dir.path(), false);
    file.save(SavedServers { unix_ms: 9, claims: Vec::new() });
    std::thread::sleep(RETRY_AND_WRITE);
    drop(file);
    assert_eq!(recalled(dir.path()), 9, "an earlier value does not come back");
}

/// Time in which an earlier value would be written again.
const RETRY_AND_WRITE: Duration = Duration::from_millis(1_500);
