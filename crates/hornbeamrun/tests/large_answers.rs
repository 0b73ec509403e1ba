//! Guards against an entry that runs out of memory, and with it all requests that it holds, because the servers
//! of many services send bodies just under the longest one, or bytes without end, at the same time.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hornbeam_model::{Route, RoutedService, Routing, Scatter, ServiceId, TableVersion, Target};
use hornbeam_soak::caller::{Caller, HOST, http, put_table};
use hornbeam_soak::fleet::ProgramKind;
use hornbeam_soak::run::{FleetRun, Options};
use hornbeam_soak::tables::table;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SERVICES: usize = 30;
/// Searches and lookups of each service that are sent at the same time.
const ROUNDS: usize = 3;
/// Callers that do not read their answers.
const SILENT_CALLERS: usize = 5;
/// Memory of the entry according to its settings, in kilobytes.
const MEMORY_KB: u64 = 256 << 10;
/// A little less than the longest body that an entry accepts.
const BODY_BYTES: usize = (8 << 20) - 1;
/// Third octet of the addresses of the first run.
const FIRST_NET: u8 = 30;

/// How the servers send their bodies.
#[derive(Clone, Copy, Debug)]
enum Sending {
    WithLength,
    InChunks,
    UntilClose,
    /// Chunks without end.
    Endless,
    /// A head without end.
    EndlessHead,
}

async fn start(net: u8, folder: &Path) -> FleetRun {
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

fn name(i: usize) -> ServiceId {
    format!("large{i}").parse().unwrap()
}

/// The usual table with a route to each large service and one that searches all of them.
fn large_table() -> Vec<u8> {
    let mut routing: Routing = serde_json::from_slice(&table(2)).unwrap();
    routing.version = TableVersion(2);
    let pattern = routing.routes[0].clone();
    let limit = u32::MAX;
    let scatter =
        Scatter { shards: (0..SERVICES).map(name).collect(), limit, min_covered_ppm: 100_000 };
    let mut add = |prefix: String, target| {
        routing.routes.push(Arc::new(Route {
            name: prefix.trim_matches('/').parse().unwrap(),
            prefix: prefix.into(),
            timeout_ms: 3_000,
            max_attempts: 1,
            ..pattern.with_target(target)
        }));
    };
    add("/all/".to_owned(), Target::Scatter(scatter));
    for i in 0..SERVICES {
        add(format!("/large{i}/"), Target::Single(name(i)));
    }
    for i in 0..SERVICES {
        routing.services.insert(name(i), RoutedService { max_connections: 100 });
    }
    serde_json::to_vec(&routing).unwrap()
}

async fn answer(mut stream: TcpStream, sending: Sending) -> std::io::Result<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let id = head.lines().find_map(|l| l.strip_prefix("hornbeam-request-id: ")).unwrap();
        let start =
            format!("HTTP/1.1 200 OK\r\nhornbeam-request-id: {id}\r\nhornbeam-signature: m\r\n");
        stream.write_all(start.as_bytes()).await?;
        let part = vec![b'x'; 64 << 10];
        let chunk = [format!("{:x}\r\n", part.len()).as_bytes(), &part, b"\r\n"].concat();
        match sending {
            Sending::WithLength => {
                let line = format!("content-length: {BODY_BYTES}\r\n\r\n");
                stream.write_all(line.as_bytes()).await?;
                stream.write_all(&vec![b'x'; BODY_BYTES]).await?;
            }
            Sending::InChunks => {
                stream.write_all(b"transfer-encoding: chunked\r\n\r\n").await?;
                for _ in 0..BODY_BYTES / part.len() {
                    stream.write_all(&chunk).await?;
                }
                stream.write_all(b"0\r\n\r\n").await?;
            }
            Sending::UntilClose => {
                stream.write_all(b"connection: close\r\n\r\n").await?;
                stream.write_all(&vec![b'x'; BODY_BYTES]).await?;
                return stream.shutdown().await;
            }
            Sending::Endless => {
                stream.write_all(b"transfer-encoding: chunked\r\n\r\n").await?;
                loop {
                    stream.write_all(&chunk).await?;
                }
            }
            Sending::EndlessHead => loop {
                stream.write_all(b"x-filler: ").await?;
                stream.write_all(&part[..1 << 10]).await?;
                stream.write_all(b"\r\n").await?;
            },
        }
    }
}

/// Starts the servers of a service and returns the bodies of their heartbeats.
async fn start_servers(net: u8, i: usize, sending: Sending) -> Vec<(String, String)> {
    let mut heartbeats = Vec::new();
    for copy in 0..2 {
        let address = format!("127.0.{net}.{}:9{copy}00", 100 + i);
        let listener = TcpListener::bind(&address).await.unwrap();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer(stream, sending));
            }
        });
        let server = format!("s{i}-{copy}");
        let body = format!(
            "{{\"server\": \"{server}\", \"order\": {{\"incarnation\": 7, \"stage\": \"ready\", \"seq\": 1}}, \
             \"offer\": {{\"service\": \"large{i}\", \"address\": \"{address}\", \"zone\": \"olomouc\", \
             \"slots\": 20, \"warm_up_ms\": 0}}}}"
        );
        heartbeats.push((format!("/v1/servers/{server}/heartbeat"), body));
    }
    heartbeats
}

/// Sends a request and reads its answer in full, slowly or not at all; returns its status.
async fn ask(entry: SocketAddr, path: String, id: String, reads: bool) -> Option<u16> {
    let mut stream = TcpStream::connect(entry).await.ok()?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nhornbeam-request-id: {id}\r\n\
         hornbeam-deadline-ms: 3000\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut line = [0; 12];
    stream.read_exact(&mut line).await.ok()?;
    if reads {
        let mut buf = vec![0; 64 << 10];
        let read = async { while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {} };
        // The connection stays open after the answer.
        let _ = tokio::time::timeout(Duration::from_secs(1), read).await;
    } else {
        tokio::time::sleep(Duration::from_secs(4)).await;
    }
    std::str::from_utf8(&line[9..]).ok()?.parse().ok()
}

/// Returns a value of the status of a process, in kilobytes.
fn memory_kb(pid: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix(field)).unwrap();
    line.trim_matches([':', ' ', '\t']).trim_end_matches(" kB").trim().parse().unwrap()
}

async fn play(net: u8, sending: Sending) {
    let folder = tempfile::tempdir().unwrap();
    let stage = start(net, folder.path()).await;
    let api = stage.fleet.apis()[0];
    let entry = stage.fleet.callers()[0];
    let program = stage.fleet.of_kind(ProgramKind::Entry)[0];
    let pid = stage.fleet.programs[program].pid().unwrap();
    let wait = Duration::from_secs(2);
    for i in 0..SERVICES {
        for (path, body) in start_servers(net, i, sending).await {
            let resp = http(api, "POST", &path, body.as_bytes(), wait).await;
            assert_eq!(resp.map(|(status, _)| status), Some(200));
        }
    }
    assert_eq!(put_table(&stage.fleet.apis(), &large_table(), 0).await, Some(200));
    tokio::time::sleep(Duration::from_secs(1)).await;

    let mut tasks = Vec::new();
    for round in 0..ROUNDS {
        for i in 0..SERVICES {
            let (id, path) = (format!("r{round}x{i}"), format!("/large{i}/1"));
            tasks.push(tokio::spawn(ask(entry, path, id, round > 0 || i >= SILENT_CALLERS)));
        }
        tasks.push(tokio::spawn(ask(entry, "/all/1".to_owned(), format!("a{round}"), true)));
    }
    // Sound requests are served meanwhile.
    let mut caller = Caller::new("sound".to_owned(), entry, stage.ledger.clone());
    let (mut served, mut asked) = (0, 0);
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        asked += 1;
        let status = caller.ask("/sweep/1", true, &[]).await;
        served += usize::from(status == Some(200));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let (mut answered, mut large) = (0, 0);
    for task in tasks {
        let status = task.await.unwrap();
        answered += usize::from(status.is_some());
        large += usize::from(status == Some(200));
    }
    let peak = memory_kb(pid, "VmHWM");
    println!(
        "{sending:?}: {peak} kB at the peak, {served} of {asked} sound requests served, {large} of \
         {answered} large ones"
    );
    assert!(peak < MEMORY_KB, "{sending:?}: {peak} kB");
    assert_eq!(answered, ROUNDS * (SERVICES + 1), "{sending:?}: every request is answered");
    assert!(served * 100 >= asked * 95, "{sending:?}: {served} of {asked}");
}

/// One after the other, so that each has the machine to itself.
#[tokio::test(flavor = "multi_thread")]
async fn from_many_services() {
    use Sending::{Endless, EndlessHead, InChunks, UntilClose, WithLength};
    let sendings = [WithLength, InChunks, UntilClose, Endless, EndlessHead];
    for (net, sending) in (FIRST_NET..).zip(sendings) {
        play(net, sending).await;
    }
}
