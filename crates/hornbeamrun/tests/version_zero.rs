//! Guards against a first routing table of version 0 that is acknowledged and dropped: it was taken for no
//! table by the control log, by reads and by the entries.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hornbeam_soak::caller::{Caller, http, put_table};
use hornbeam_soak::run::{FleetRun, Options};
use hornbeam_soak::tables::table;

async fn start(net: u8, folder: &Path) -> FleetRun {
    let options = Options {
        binaries: vec![PathBuf::from(env!("CARGO_BIN_EXE_hornbeamrun"))],
        seed: 0,
        net,
        length: Duration::from_secs(5),
        programs: (2, 3),
        server_proxies: false,
        first_version: 0,
    };
    FleetRun::start(&options, folder).await.expect("the fleet starts")
}

/// Calls `attempt` for at most 10 s, until it returns true.
async fn within_10_s(mut attempt: impl AsyncFnMut() -> bool) -> bool {
    for _ in 0..50 {
        if attempt().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    false
}

/// Returns true if a controller, the leader, returns this table.
async fn is_read(apis: &[SocketAddr], table: &[u8]) -> bool {
    for api in apis {
        let read = http(*api, "GET", "/v1/routing", b"", Duration::from_secs(1)).await;
        if read.is_some_and(|(status, body)| status == 200 && body == table) {
            return true;
        }
    }
    false
}

async fn status_of(stage: &FleetRun, entry: usize, path: &str) -> Option<u16> {
    let address = stage.fleet.callers()[entry];
    let name = format!("c{entry}{path}").replace('/', "-");
    Caller::new(name, address, stage.ledger.clone()).ask(path, true, &[]).await
}

/// Returns true if the table of version 0 is read and both entries serve its routes.
async fn is_in_force(stage: &FleetRun) -> bool {
    let apis = stage.fleet.apis();
    within_10_s(async || {
        is_read(&apis, &table(0)).await
            && status_of(stage, 0, "/extra0/1").await == Some(200)
            && status_of(stage, 1, "/extra0/1").await == Some(200)
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn first_table() {
    let folder = tempfile::tempdir().unwrap();
    let mut stage = start(29, folder.path()).await;
    let apis = stage.fleet.apis();
    assert!(is_in_force(&stage).await, "after the acknowledgment");

    for i in 0..stage.fleet.programs.len() {
        stage.fleet.programs[i].kill().await;
    }
    for i in 0..stage.fleet.programs.len() {
        stage.fleet.start_program(i, false).unwrap();
    }
    assert!(is_in_force(&stage).await, "after a restart of all programs");

    assert!(within_10_s(async || put_table(&apis, &table(1), 0).await == Some(200)).await);
    assert!(within_10_s(async || status_of(&stage, 0, "/extra1/1").await == Some(200)).await);
    assert_eq!(put_table(&apis, &table(0), 0).await, Some(200), "it is superseded");
    assert!(is_read(&apis, &table(1)).await, "a later table stays in force");
    assert_eq!(status_of(&stage, 0, "/extra0/1").await, Some(404));
}
