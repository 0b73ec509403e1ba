//! Case 13: open connections between the machines go silent for good, without a reset, while new ones work. No later
//! configuration is ever acknowledged.

#[path = "../standin-2/lab.rs"]
mod lab;

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use std::{process, thread};

use lab::{API_PORT, INNER_PORT, Lab, METRICS_PORT, Record, Searcher, cannot_run, config, route, trouble};

const CONTROLLERS: usize = 3;
/// Searchers of the old set of shards, which drain together.
const OLD_SEARCHERS: usize = 150;
const ROUTES: usize = 12;
/// `ack-timeout-ms` is 5,000.
const ACK_TIMEOUT: Duration = Duration::from_millis(5_000);
/// The script waits for eight times as long.
const PATIENCE: Duration = Duration::from_secs(40);

/// Number of times that the open connections have gone silent.
static SILENCES: AtomicUsize = AtomicUsize::new(0);
static SILENT_CONNECTIONS: AtomicUsize = AtomicUsize::new(0);

/// Passes bytes on until the connections go silent; from then on it drops them and closes nothing.
fn pump(mut from: TcpStream, mut to: TcpStream, opened_at: usize) {
    let mut buf = [0; 16 << 10];
    loop {
        match from.read(&mut buf) {
            Ok(n) if n > 0 => {
                if SILENCES.load(Ordering::SeqCst) == opened_at && to.write_all(&buf[..n]).is_err() {
                    break;
                }
            }
            _ => break,
        }
    }
    if SILENCES.load(Ordering::SeqCst) == opened_at {
        let _ = from.shutdown(std::net::Shutdown::Both);
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}

fn proxy_streams(record: &Arc<Record>, from: String, to: String) {
    let listener = TcpListener::bind(&from).unwrap_or_else(|e| cannot_run(None, record, &format!("{from}: {e}")));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let to = to.clone();
            thread::spawn(move || {
                let Ok(other) = TcpStream::connect(&to) else { return };
                let _ = (stream.set_nodelay(true), other.set_nodelay(true));
                let opened_at = SILENCES.load(Ordering::SeqCst);
                let (a, b) = (stream.try_clone().unwrap(), other.try_clone().unwrap());
                SILENT_CONNECTIONS.fetch_add(1, Ordering::SeqCst);
                let back = thread::spawn(move || pump(b, a, opened_at));
                pump(stream, other, opened_at);
                let _ = back.join();
                SILENT_CONNECTIONS.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
}

fn proxy_datagrams(record: &Arc<Record>, from: String, to: String) {
    let socket = UdpSocket::bind(&from).unwrap_or_else(|e| cannot_run(None, record, &format!("{from}: {e}")));
    let to: SocketAddr = to.parse().unwrap();
    thread::spawn(move || {
        let mut buf = vec![0; 64 << 10];
        while let Ok((n, _)) = socket.recv_from(&mut buf) {
            let _ = socket.send_to(&buf[..n], to);
        }
    });
}

/// Starts a controller that the others reach through the proxy at its address.
fn start_controller(lab: &Arc<Lab>, i: usize) {
    let (ip, bind) = (lab.controller_ip(i), lab.ip(200 + i));
    for port in [INNER_PORT, INNER_PORT + 1] {
        proxy_streams(&lab.record, format!("{ip}:{port}"), format!("{bind}:{port}"));
    }
    proxy_datagrams(&lab.record, format!("{ip}:{}", INNER_PORT + 1), format!("{bind}:{}", INNER_PORT + 1));
    let seeds: Vec<String> = (0..CONTROLLERS).map(|n| format!("\"{}:{API_PORT}\"", lab.controller_ip(n))).collect();
    let data = lab.folder.join(format!("controller-{i}.data"));
    std::fs::create_dir_all(&data).unwrap();
    let settings = format!(
        "instance: \"core-{i}\"\nzone: \"{}\"\naddress: \"{ip}\"\nbind: \"{bind}\"\ninner_port: {INNER_PORT}\n\
         metrics: \"{bind}:{METRICS_PORT}\"\nseeds: [{}]\nkey: \"hornbeamrun on the platform\"\n\
         api: \"{ip}:{API_PORT}\"\ndata_dir: \"{}\"\nfounding: true\ntolerated_losses: 1\n\
         heartbeat_ms: 1200\ngrace_s: 6\nmemory_mb: 256\n\
         zones: {{\"zone-a\":\"r\",\"zone-b\":\"r\",\"zone-c\":\"r\"}}\nregion: \"r\"\n",
        lab::ZONES[i % 3],
        seeds.join(", "),
        data.display()
    );
    let file = lab.folder.join(format!("controller-{i}.yaml"));
    std::fs::write(&file, settings).unwrap();
    let log = File::create(lab.folder.join(format!("controller-{i}.log"))).unwrap();
    let child = Command::new("target/release/hornbeamrun")
        .args(["controller", file.to_str().unwrap(), "--dialect", "platform"])
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .spawn()
        .unwrap_or_else(|e| cannot_run(Some(lab), &lab.record, &format!("hornbeamrun does not start: {e}")));
    lab.record.line(&format!("started controller-{i} as process {}", child.id()));
    if let Ok(path) = std::env::var("REVIEW_PIDS")
        && let Ok(mut f) = File::options().create(true).append(true).open(path)
    {
        let _ = writeln!(f, "{}", child.id());
    }
    lab.processes.lock().unwrap().insert(format!("controller-{i}"), child);
}

fn version(number: u64) -> String {
    let routes: Vec<String> = (0..ROUTES)
        .map(|n| route(&format!("r-{n}"), &format!("/path{n}/"), "archive", "idempotent", 4_000))
        .collect();
    config(number, &routes, &["archive"])
}

fn main() {
    let record = Record::open(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let lab = Lab::new(&record, CONTROLLERS, 1);
    for i in 0..CONTROLLERS {
        start_controller(&lab, i);
    }
    lab.start_entry(0);
    for copy in 0..2 {
        let ip = lab.ip(100 + copy);
        Searcher::start(&lab, &format!("i-archive-{copy}"), "archive", lab::ZONES[copy], &ip);
    }
    let old: Vec<_> = (0..OLD_SEARCHERS)
        .map(|n| {
            let id = format!("i-old-{n:03}{}", "x".repeat(n % 3));
            Searcher::start(&lab, &id, &format!("shard{}", n / 2), lab::ZONES[n % 3], &lab.ip(110))
        })
        .collect();
    thread::sleep(Duration::from_millis(2_500));
    if lab.configure(&version(1)) != 200 {
        cannot_run(Some(&lab), &record, "version 1 is not acknowledged");
    }
    lab.wait_ready(Duration::from_secs(10));
    // Planned: the old set of shards drains.
    for searcher in &old {
        searcher.draining.store(true, Ordering::Relaxed);
    }
    record.line(&format!("{OLD_SEARCHERS} searchers drain"));
    thread::sleep(Duration::from_secs(4));
    if lab.configure(&version(2)) != 200 {
        cannot_run(Some(&lab), &record, "version 2 is not acknowledged");
    }
    if trouble() {
        let open = SILENT_CONNECTIONS.load(Ordering::SeqCst);
        SILENCES.fetch_add(1, Ordering::SeqCst);
        record.line(&format!("{open} open connections between the machines have gone silent; new ones work"));
    }
    // Nothing is disturbed from here on; the core is stable after `contact-window-ms`.
    thread::sleep(Duration::from_millis(4_500));
    let text = version(3);
    let sent = Instant::now();
    let (mut acknowledged, mut calls) = (None, 0);
    while sent.elapsed() < PATIENCE && acknowledged.is_none() {
        calls += 1;
        let answer = lab.operator("POST", "/v1/configuration/replace", &text, CONTROLLERS);
        record.line(&format!("version 3 answered {:?}", answer.as_ref().map(|a| a.status)));
        if answer.is_some_and(|a| a.status == 200) {
            acknowledged = Some(sent.elapsed());
        }
        thread::sleep(Duration::from_millis(300));
    }
    if std::env::var("KEEP").is_ok() {
        println!("{}", lab.folder.display());
    }
    lab.stop();
    let text = format!("version 3 of {} bytes sent {calls} times to all controllers, acknowledged after {acknowledged:?}", text.len());
    record.line(&text);
    println!("{text}");
    process::exit(i32::from(acknowledged.is_none_or(|t| t > ACK_TIMEOUT)));
}
