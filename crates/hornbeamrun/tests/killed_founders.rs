//! Guards against a control log that never starts because all controllers were killed before it existed: they are
//! asked to start one only at their first start, and forgot it.

use std::path::PathBuf;
use std::time::Duration;

use hornbeam_soak::caller::put_table;
use hornbeam_soak::fleet::{Fleet, ProgramKind};
use hornbeam_soak::tables::table;

/// Time within which a table is acknowledged after the controllers have started again.
const MAX_WAIT: Duration = Duration::from_secs(8);

/// Starts a fleet for the first time, and kills all controllers after this time. The first `wiped` of them lose
/// their disks.
async fn restarted(net: u8, folder: &std::path::Path, kill_after: Duration, wiped: usize) -> Fleet {
    let binaries = [PathBuf::from(env!("CARGO_BIN_EXE_hornbeamrun"))];
    let mut fleet = Fleet::start(&binaries, folder, net, 1, 3).await.expect("the fleet starts");
    tokio::time::sleep(kill_after).await;
    let controllers = fleet.of_kind(ProgramKind::Controller);
    for i in &controllers {
        fleet.programs[*i].kill().await;
    }
    for i in controllers.iter().take(wiped) {
        fleet.programs[*i].wipe().unwrap();
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for i in controllers {
        fleet.start_program(i, false).unwrap();
    }
    fleet
}

async fn is_acknowledged(fleet: &Fleet) -> bool {
    let apis = fleet.apis();
    let put = async {
        while put_table(&apis, &table(1), 0).await != Some(200) {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, put).await.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn before_the_log_exists() {
    for (net, ms) in [(35, 100), (36, 400), (37, 700), (38, 1_100)] {
        let folder = tempfile::tempdir().unwrap();
        let fleet = restarted(net, folder.path(), Duration::from_millis(ms), 0).await;
        assert!(is_acknowledged(&fleet).await, "killed after {ms} ms");
    }
}

/// A log that was in use must not be started a second time by controllers that have lost their disks.
#[tokio::test(flavor = "multi_thread")]
async fn lost_disks_start_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let fleet = restarted(39, folder.path(), Duration::from_secs(4), 3).await;
    assert!(!is_acknowledged(&fleet).await, "a second log");
}
