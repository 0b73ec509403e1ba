//! Guards against acknowledgments from a second control log whose tables the entries do not use: all
//! controllers have lost their disks and may found a log, while an entry still holds a later table.

use std::path::{Path, PathBuf};
use std::time::Duration;

use hornbeam_soak::caller::{Caller, put_table};
use hornbeam_soak::fleet::ProgramKind;
use hornbeam_soak::run::{FleetRun, Options};
use hornbeam_soak::tables::table;

async fn start(net: u8, folder: &Path) -> FleetRun {
    let options = Options {
        binaries: vec![PathBuf::from(env!("CARGO_BIN_EXE_hornbeamrun"))],
        seed: 0,
        net,
        length: Duration::from_secs(5),
        programs: (1, 3),
        server_proxies: false,
        first_version: 1,
    };
    FleetRun::start(&options, folder).await.expect("the fleet starts")
}

async fn restart_controllers(stage: &mut FleetRun) {
    let controllers = stage.fleet.of_kind(ProgramKind::Controller);
    for i in &controllers {
        stage.fleet.programs[*i].kill().await;
        stage.fleet.programs[*i].wipe().unwrap();
    }
    for i in controllers {
        stage.fleet.start_program(i, true).unwrap();
    }
}

/// Sends a table for at most 8 s, until it is acknowledged.
async fn is_acknowledged(stage: &FleetRun, version: u64) -> bool {
    let apis = stage.fleet.apis();
    for _ in 0..20 {
        if put_table(&apis, &table(version), 0).await == Some(200) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    false
}

#[tokio::test(flavor = "multi_thread")]
async fn founded_anew() {
    let folder = tempfile::tempdir().unwrap();
    let mut stage = start(27, folder.path()).await;
    assert!(is_acknowledged(&stage, 5).await);
    tokio::time::sleep(Duration::from_secs(1)).await;

    restart_controllers(&mut stage).await;
    assert!(!is_acknowledged(&stage, 6).await, "a second log is founded unasked");
    let mut caller = Caller::new("c".to_owned(), stage.fleet.callers()[0], stage.ledger.clone());
    assert_eq!(caller.ask("/lookup/1", true, &[]).await, Some(200), "the entry goes on");

    stage.fleet.found_anew = true;
    restart_controllers(&mut stage).await;
    assert!(!is_acknowledged(&stage, 4).await, "the entry would not use this table");
    assert!(is_acknowledged(&stage, 7).await, "the log is founded as the operator asks");
}

/// Controllers go on running and open the log again, on empty disks, after a write has failed. They have the
/// table in memory, so that the entry's is not later than theirs.
#[tokio::test(flavor = "multi_thread")]
async fn disks_emptied_under_way() {
    let folder = tempfile::tempdir().unwrap();
    let mut stage = start(28, folder.path()).await;
    assert!(is_acknowledged(&stage, 5).await);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let controllers = stage.fleet.of_kind(ProgramKind::Controller);
    for i in &controllers {
        stage.fleet.programs[*i].wipe().unwrap();
    }
    put_table(&stage.fleet.apis(), &table(6), 0).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    // The last one writes nothing while nobody leads.
    for i in controllers {
        let log = std::fs::read_to_string(&stage.fleet.programs[i].log).unwrap();
        if !log.contains("the disk failed") {
            stage.fleet.programs[i].kill().await;
            stage.fleet.start_program(i, true).unwrap();
        }
    }
    assert!(!is_acknowledged(&stage, 7).await, "a second log is founded unasked");
}
