//! Guards against a controller that does nothing else while its disk syncs: its entries lose their feed, servers get no
//! answer to their heartbeats, and the routing table cannot be read, although none of these needs the disk.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use hornbeam_soak::caller::{Caller, http, put_table};
use hornbeam_soak::fleet::ProgramKind;
use hornbeam_soak::run::{FleetRun, Options};
use hornbeam_soak::tables::table;

/// Time within which a controller answers what needs no disk.
const ANSWER_TIME: Duration = Duration::from_millis(1_200);
/// Time for which the disk hangs before the end of the test.
const HANG: Duration = Duration::from_secs(6);

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

/// Replaces the log by a pipe without a reader, so that the next write does not end.
fn hang_disk(data_dir: &Path) {
    let entries = std::fs::read_dir(data_dir).unwrap().map(|e| e.unwrap().path());
    let is_log =
        |path: &PathBuf| path.file_name().is_some_and(|n| n.to_string_lossy().starts_with("log."));
    let log = entries.into_iter().find(is_log).expect("a log");
    std::fs::remove_file(&log).unwrap();
    assert!(Command::new("mkfifo").arg(&log).status().unwrap().success());
}

/// Returns the index of the controller that answers a read itself.
async fn leader(stage: &FleetRun) -> usize {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(8) {
        for (i, api) in stage.fleet.apis().into_iter().enumerate() {
            let read = http(api, "GET", "/v1/routing", b"", ANSWER_TIME).await;
            if read.is_some_and(|(status, _)| status == 200) {
                return i;
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    panic!("no controller returns the table");
}

/// Reads the table from a controller and calls the entry for [`HANG`].
async fn assert_goes_on(stage: &FleetRun, controller: usize, version: u64) {
    let api = stage.fleet.apis()[controller];
    let mut caller = Caller::new("c".to_owned(), stage.fleet.callers()[0], stage.ledger.clone());
    let began = Instant::now();
    while began.elapsed() < HANG {
        let read = http(api, "GET", "/v1/routing", b"", ANSWER_TIME).await;
        let Some((200, body)) = read else { panic!("{read:?} after {:?}", began.elapsed()) };
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(body["version"], version, "after {:?}", began.elapsed());
        assert_eq!(caller.ask("/lookup/1", true, &[]).await, Some(200), "the entry goes on");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    for program in stage.fleet.of_kind(ProgramKind::Controller) {
        let log = std::fs::read_to_string(&stage.fleet.programs[program].log).unwrap();
        assert!(!log.contains("entry_gone"), "the entry keeps its feeds");
    }
}

async fn start_and_hang(net: u8, folder: &Path, leader_only: bool) -> (FleetRun, usize) {
    let stage = start(net, folder).await;
    let leader = leader(&stage).await;
    for (i, program) in stage.fleet.of_kind(ProgramKind::Controller).into_iter().enumerate() {
        if i == leader || !leader_only {
            let name = &stage.fleet.programs[program].name;
            hang_disk(&folder.join(format!("{name}.data")));
        }
    }
    (stage, leader)
}

/// The other controllers have the table on their disks.
#[tokio::test(flavor = "multi_thread")]
async fn disk_of_leader() {
    let folder = tempfile::tempdir().unwrap();
    let (stage, leader) = start_and_hang(41, folder.path(), true).await;
    let apis = stage.fleet.apis();
    assert_eq!(put_table(&apis[leader..=leader], &table(9), 0).await, Some(200));
    assert_goes_on(&stage, leader, 9).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_disks() {
    let folder = tempfile::tempdir().unwrap();
    let (stage, leader) = start_and_hang(42, folder.path(), false).await;
    let apis = stage.fleet.apis();
    let change = put_table(&apis[leader..=leader], &table(9), 0).await;
    assert_ne!(change, Some(200), "no disk has the table");
    assert_goes_on(&stage, leader, 1).await;
}
