//! Guards against programs that end, or entries that stop following, because another writer has left an
//! odd entry among the servers: deeply nested, with a number out of range, or with a port that is none.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hornbeam_model::Routing;
use hornbeam_soak::caller::{Caller, http, put_table};
use hornbeam_soak::fleet::{METRICS_PORT, ProgramKind};
use hornbeam_soak::run::{FleetRun, Options};
use hornbeam_soak::tables::table;

const WAIT: Duration = Duration::from_secs(2);

async fn stage(net: u8, folder: &Path) -> FleetRun {
    let options = Options {
        binaries: vec![PathBuf::from(env!("CARGO_BIN_EXE_hornbeamrun"))],
        seed: 0,
        net,
        length: Duration::from_secs(5),
        programs: (1, 1),
        server_proxies: false,
        first_version: 1,
    };
    FleetRun::start(&options, folder).await.expect("the fleet starts")
}

/// Heartbeat of a server, with `value` in the place of the value of one field.
fn heartbeat(server: &str, field: &str, value: &str) -> String {
    let fields = [
        ("incarnation", "7"),
        ("stage", "\"ready\""),
        ("seq", "1"),
        ("service", "\"lookup\""),
        ("address", "\"127.0.26.210:9000\""),
        ("zone", "\"olomouc\""),
        ("slots", "1"),
        ("warm_up_ms", "0"),
        ("unknown", "0"),
    ];
    let text = |name: &str| {
        let (_, usual) = fields.iter().find(|(n, _)| *n == name).expect("a known field");
        format!("\"{name}\": {}", if name == field { value } else { usual })
    };
    let order = ["incarnation", "stage", "seq"].map(text).join(", ");
    let offer =
        ["service", "address", "zone", "slots", "warm_up_ms", "unknown"].map(text).join(", ");
    format!("{{\"server\": \"{server}\", \"order\": {{{order}}}, \"offer\": {{{offer}}}}}")
}

fn odd_values() -> Vec<String> {
    let nested =
        |open: &str, close: &str| format!("{}0{}", open.repeat(1_900), close.repeat(1_900));
    let mut values = vec![
        nested("[", "]"),
        nested("{\"a\":", "}"),
        "[".repeat(12_000),
        "\"127.0.26.210:70000\"".to_owned(),
        "\"127.0.26.210:65536\"".to_owned(),
        "\"127.0.26.210:0\"".to_owned(),
        "\"127.0.26.210:-1\"".to_owned(),
        "\"[::1%99999999999]:1\"".to_owned(),
        "\"\"".to_owned(),
        format!("\"{}\"", "x".repeat(4_000)),
        "\"\\u0000\\ud83d\"".to_owned(),
        "null".to_owned(),
        "true".to_owned(),
    ];
    let numbers = [
        "4294967295",
        "4294967296",
        "9223372036854775807",
        "9223372036854775808",
        "18446744073709551615",
        "18446744073709551616",
        "-1",
        "1e400",
        "1e19",
        "0.5",
        "340282366920938463463374607431768211456",
    ];
    values.extend(numbers.map(str::to_owned));
    values
}

/// Value of a metric without labels.
async fn metric(address: SocketAddr, name: &str) -> Option<u64> {
    let (_, body) = http(address, "GET", "/metrics", b"", WAIT).await?;
    let text = String::from_utf8(body).ok()?;
    text.lines().find_map(|l| l.strip_prefix(name)?.trim().parse().ok())
}

/// Puts a table with the largest numbers of connections in force and waits until the entry has it, by the
/// feed that carries the servers.
async fn follows(stage: &FleetRun, version: u64) -> bool {
    let entry = stage.fleet.of_kind(ProgramKind::Entry)[0];
    let metrics = SocketAddr::new(stage.fleet.programs[entry].bind, METRICS_PORT);
    let mut table: Routing = serde_json::from_slice(&table(version)).unwrap();
    table.services.values_mut().for_each(|s| s.max_connections = u32::MAX);
    let table = serde_json::to_vec(&table).unwrap();
    if put_table(&stage.fleet.apis(), &table, 0).await != Some(200) {
        return false;
    }
    for _ in 0..50 {
        if metric(metrics, "hornbeam_entry_table_version").await == Some(version) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}

#[tokio::test(flavor = "multi_thread")]
async fn among_servers() {
    let folder = tempfile::tempdir().unwrap();
    let mut stage = stage(26, folder.path()).await;
    let api = stage.fleet.apis()[0];
    let fields = [
        "incarnation",
        "stage",
        "seq",
        "service",
        "address",
        "zone",
        "slots",
        "warm_up_ms",
        "unknown",
    ];
    let mut accepted = 0;
    for (n, field) in fields.iter().enumerate() {
        for (m, value) in odd_values().iter().enumerate() {
            let server = format!("odd-{n}-{m}");
            let path = format!("/v1/servers/{server}/heartbeat");
            let body = heartbeat(&server, field, value);
            let resp = http(api, "POST", &path, body.as_bytes(), WAIT).await;
            let status = resp.map(|(status, _)| status);
            assert!(matches!(status, Some(200 | 400)), "{field} {value:.60}: {status:?}");
            accepted += u32::from(status == Some(200));
            let path = format!("/v1/servers/{server}/depart");
            let body = format!("{{\"incarnation\": {value}}}");
            let resp = http(api, "POST", &path, body.as_bytes(), WAIT).await;
            assert!(resp.is_some(), "departure {value:.60}");
            // Registered again, so that the entry reads what was accepted.
            let path = format!("/v1/servers/{server}-b/heartbeat");
            let body = heartbeat(&format!("{server}-b"), field, value);
            assert!(http(api, "POST", &path, body.as_bytes(), WAIT).await.is_some());
        }
    }
    // The numbers within range and the unknown field.
    assert!(accepted > 10, "{accepted} entries were accepted");
    assert!(follows(&stage, 50).await, "the entry does not follow");
    let entry = stage.fleet.callers()[0];
    let mut caller = Caller::new("sound".to_owned(), entry, stage.ledger.clone());
    assert_eq!(caller.ask("/sweep/1", true, &[]).await, Some(200));

    // Started again, the programs read everything that was saved.
    for i in 0..stage.fleet.programs.len() {
        stage.fleet.programs[i].kill().await;
        stage.fleet.start_program(i, false).unwrap();
    }
    assert!(stage.fleet.wait_ready(Duration::from_secs(10)).await, "the programs do not start");
    assert!(follows(&stage, 51).await, "the entry does not follow after a restart");
}
