//! Processes on loopback addresses, crowds of clients that stop short of the end of a legal message, and what a
//! process holds for them.

#![allow(dead_code)]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hornbeam_soak::caller::{HOST, http};
use hornbeam_soak::tables::table;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;

/// Port of the callers of an entry and of the HTTP side of an instance.
pub const CALLERS: u16 = 8104;
/// Port of the API of a controller.
pub const API: u16 = 8106;
/// Port of the health checks of an entry.
pub const READY: u16 = 8108;
/// Port of the metrics page.
pub const METRICS: u16 = 7399;
/// First port between programs.
pub const INNER: u16 = 7380;
/// Token of the operators of an instance.
pub const TOKEN: &str = "operator token of the crowd tests";
/// Last lines of the log of a process that are printed when a test fails.
const LOGGED_LINES: usize = 15;
/// Longest wait for a condition that has to come true.
const WAIT: Duration = Duration::from_secs(20);

/// The tests measure memory, so they run one after the other.
static TURN: Mutex<()> = Mutex::const_new(());

/// Waits until no other test runs.
pub async fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

/// A process of the system.
pub struct Process {
    child: Child,
    pub ip: IpAddr,
    log_path: PathBuf,
    /// Kilobytes that it held at the most, with what the kernel held for it.
    peak_kb: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let log = std::fs::read_to_string(&self.log_path).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let last = lines.len().saturating_sub(LOGGED_LINES);
            println!("{}:\n{}", self.log_path.display(), lines[last..].join("\n"));
        }
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a program with a file of settings and at most `descriptors` open files.
    fn start(role: &str, file: &std::path::Path, ip: IpAddr, descriptors: u32) -> Self {
        let script = format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"");
        let log_path = file.with_extension("log");
        let log = std::fs::File::create(&log_path).unwrap();
        let child = Command::new("bash")
            .args(["-c", &script, env!("CARGO_BIN_EXE_hornbeamrun"), role])
            .arg(file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        let (peak_kb, stop) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let (pid, peak, ended) = (child.id(), peak_kb.clone(), stop.clone());
        std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let held = memory_kb(pid, "VmRSS").unwrap_or(0) + queued_kb(ip);
                peak.fetch_max(held, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        Self { child, ip, log_path, peak_kb, stop }
    }

    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Kilobytes that the process held at the most.
    pub fn peak_kb(&self) -> u64 {
        let own = memory_kb(self.child.id(), "VmHWM").unwrap_or(0);
        own.max(self.peak_kb.load(Ordering::Relaxed))
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Fails if the process has ended, or held more than `memory_mb`.
    pub fn check(&mut self, memory_mb: u64, what: &str) {
        let peak = self.peak_kb();
        println!("{what}: {peak} kB at the peak, {} descriptors", self.descriptors());
        assert!(self.child.try_wait().unwrap().is_none(), "{what}: the process has ended");
        assert!(peak <= memory_mb << 10, "{what}: {peak} kB of {memory_mb} MB");
    }

    /// Waits until the process holds at most this number of descriptors.
    pub async fn wait_descriptors(&self, most: usize, what: &str) {
        let is_below = async || self.descriptors() <= most;
        assert!(
            within(Duration::from_secs(10), is_below).await,
            "{what}: {} descriptors of {most}",
            self.descriptors()
        );
    }
}

fn memory_kb(pid: u32, field: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix(field))?;
    line.trim_matches([':', ' ', '\t']).trim_end_matches(" kB").trim().parse().ok()
}

/// Returns what the kernel holds for the connections of an address: received and not read, or not yet sent.
fn queued_kb(ip: IpAddr) -> u64 {
    let IpAddr::V4(ip) = ip else { return 0 };
    let local = format!("{:08X}:", u32::from_ne_bytes(ip.octets()));
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let mut bytes = 0;
    for line in sockets.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // The queues of a listener count connections.
        if fields.len() < 5 || !fields[1].starts_with(&local) || fields[3] == "0A" {
            continue;
        }
        for queue in fields[4].split(':') {
            bytes += u64::from_str_radix(queue, 16).unwrap_or(0);
        }
    }
    bytes >> 10
}

/// Calls `attempt` until it returns true, for at most `wait`.
pub async fn within(wait: Duration, mut attempt: impl AsyncFnMut() -> bool) -> bool {
    let end = Instant::now() + wait;
    while !attempt().await {
        if Instant::now() > end {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    true
}

fn host(test: u8, n: u8) -> IpAddr {
    let pid = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 100 + (pid >> 8) as u8 % 50, pid as u8, 10 * test + n))
}

/// A controller, an entry and a backend server that keeps sending heartbeats.
pub struct Site {
    pub controller: Process,
    pub entry: Process,
    folder: tempfile::TempDir,
    test: u8,
    memory_mb: u64,
    descriptors: u32,
    /// Heartbeats that were acknowledged.
    heartbeats: Arc<AtomicUsize>,
    tasks: JoinSet<()>,
}

impl Site {
    /// Starts the processes, each with this memory and this many descriptors, on addresses of test number `test`.
    pub async fn start(test: u8, memory_mb: u64, descriptors: u32) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let (ip, api) = (host(test, 1), SocketAddr::new(host(test, 1), API));
        let common = settings(&folder, "control", ip, api, memory_mb);
        let file = folder.path().join("control.yaml");
        let data = folder.path().join("data");
        let own = format!("api: \"{api}\"\ndata_dir: {}\nfounding: true\n", data.display());
        std::fs::write(&file, common + &own).unwrap();
        let controller = Process::start("controller", &file, ip, descriptors);
        let entry = start_entry(&folder, test, 2, api, memory_mb, descriptors);
        let server = SocketAddr::new(host(test, 9), 9_000);
        let mut tasks = JoinSet::new();
        let listener = TcpListener::bind(server).await.unwrap();
        tasks.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer(stream));
            }
        });
        let heartbeats = Arc::new(AtomicUsize::new(0));
        tasks.spawn(send_heartbeats(api, server, heartbeats.clone()));
        let site =
            Self { controller, entry, folder, test, memory_mb, descriptors, heartbeats, tasks };
        site.put_table(1).await;
        site.check_served(&site.entry, "before").await;
        site
    }

    /// Sends a routing table until it is acknowledged, and reads it back.
    pub async fn put_table(&self, version: u64) {
        self.put_padded_table(version, 0).await;
    }

    /// Does the same with a document that is longer by this number of bytes.
    pub async fn put_padded_table(&self, version: u64, padding: usize) {
        let (api, mut body) = (self.controller.at(API), table(version));
        body.resize(body.len() + padding, b' ');
        let wait = Duration::from_secs(2);
        let is_in_force = async || {
            let sent = http(api, "PUT", "/v1/routing", &body, wait).await;
            let read = http(api, "GET", "/v1/routing", b"", wait).await;
            sent.is_some_and(|(status, _)| status == 200)
                && read.is_some_and(|(status, read)| status == 200 && read == body)
        };
        assert!(within(WAIT, is_in_force).await, "the table of version {version} is in force");
    }

    /// Fails if heartbeats, operators, health checks, metrics, ordinary callers or new entries do not get through.
    /// `version` is that of the next routing table.
    pub async fn check_all_served(&self, version: u64, what: &str) {
        let before = self.heartbeats.load(Ordering::Relaxed);
        let is_heard = async || self.heartbeats.load(Ordering::Relaxed) > before + 1;
        assert!(within(WAIT, is_heard).await, "{what}: heartbeats are acknowledged");
        self.put_table(version).await;
        for (at, path) in [
            (self.entry.at(READY), "/v1/health"),
            (self.entry.at(METRICS), "/metrics"),
            (self.controller.at(METRICS), "/metrics"),
        ] {
            let wait = Duration::from_secs(2);
            let is_served = async || {
                http(at, "GET", path, b"", wait).await.is_some_and(|(status, _)| status == 200)
            };
            assert!(within(WAIT, is_served).await, "{what}: {path} at {at}");
        }
        self.check_served(&self.entry, what).await;
    }

    /// Fails if another entry, which has to reach the controller and is reached by the first one, does not serve.
    pub async fn check_new_entry(&self, what: &str) {
        let api = self.controller.at(API);
        let entry = start_entry(&self.folder, self.test, 3, api, self.memory_mb, self.descriptors);
        self.check_served(&entry, what).await;
    }

    /// Fails if an entry does not answer ordinary requests: one without a body, with a large answer, and with a body.
    async fn check_served(&self, entry: &Process, what: &str) {
        let address = entry.at(CALLERS);
        for (path, body) in [("/lookup/1", 0), ("/lookup/large", 0), ("/write/1", 200 << 10)] {
            let mut last = None;
            let is_served = async || {
                last = ask(address, path, body).await;
                last == Some(200)
            };
            assert!(within(WAIT, is_served).await, "{what}: {path} at {address}: {last:?}");
        }
    }
}

fn settings(
    folder: &tempfile::TempDir,
    name: &str,
    ip: IpAddr,
    api: SocketAddr,
    memory_mb: u64,
) -> String {
    std::fs::create_dir_all(folder.path().join("data")).unwrap();
    format!(
        "instance: {name}\nzone: olomouc\naddress: {ip}\ninner_port: {INNER}\nseeds: [\"{api}\"]\nkey: crowds\n\
         heartbeat_ms: 400\ngrace_s: 4\nmetrics: \"{ip}:{METRICS}\"\nmemory_mb: {memory_mb}\n"
    )
}

fn start_entry(
    folder: &tempfile::TempDir,
    test: u8,
    n: u8,
    api: SocketAddr,
    memory_mb: u64,
    descriptors: u32,
) -> Process {
    let ip = host(test, n);
    let name = format!("entry-{n}");
    let own = format!("callers: \"{ip}:{CALLERS}\"\nready: \"{ip}:{READY}\"\n");
    let file = folder.path().join(format!("{name}.yaml"));
    std::fs::write(&file, settings(folder, &name, ip, api, memory_mb) + &own).unwrap();
    Process::start("entry", &file, ip, descriptors)
}

async fn send_heartbeats(api: SocketAddr, server: SocketAddr, acknowledged: Arc<AtomicUsize>) {
    for seq in 1.. {
        let body = format!(
            "{{\"server\": \"s0\", \"order\": {{\"incarnation\": 7, \"stage\": \"ready\", \"seq\": {seq}}}, \
             \"offer\": {{\"service\": \"tablet\", \"address\": \"{server}\", \"zone\": \"olomouc\", \"slots\": 20, \
             \"warm_up_ms\": 0}}}}"
        );
        let path = "/v1/servers/s0/heartbeat";
        let sent = http(api, "POST", path, body.as_bytes(), Duration::from_secs(1)).await;
        if sent.is_some_and(|(status, _)| status == 200) {
            acknowledged.fetch_add(1, Ordering::Relaxed);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&head).to_ascii_lowercase())
}

/// Answers the requests of a connection of an entry.
async fn answer(mut stream: TcpStream) {
    while let Some(head) = read_head(&mut stream).await {
        let field = |name| head.lines().find_map(|l| l.strip_prefix(name));
        let length = field("content-length: ").map_or(0, |l| l.parse().unwrap());
        let mut body = vec![0; length];
        if stream.read_exact(&mut body).await.is_err() {
            return;
        }
        if head.contains("/slow ") {
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let id = field("hornbeam-request-id: ").unwrap_or_default();
        let length = if head.contains("/large ") { LARGE_ANSWER } else { 2 };
        let response = format!(
            "HTTP/1.1 200 OK\r\nhornbeam-request-id: {id}\r\nhornbeam-signature: m\r\ncontent-length: {length}\r\n\r\n"
        );
        let mut response = response.into_bytes();
        response.resize(response.len() + length, b'x');
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

/// Sends an ordinary request with a body of this length; returns the status of its answer.
async fn ask(entry: SocketAddr, path: &str, body: usize) -> Option<u16> {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let exchange = async {
        let mut stream = TcpStream::connect(entry).await.ok()?;
        let method = if body == 0 { "GET" } else { "POST" };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nhornbeam-request-id: o{id}\r\ncontent-length: {body}\r\n\r\n"
        );
        let mut request = head.into_bytes();
        request.resize(request.len() + body, b'x');
        let (mut read, mut write) = stream.split();
        // A refusal may come before the end of the body.
        let (_, head) = tokio::join!(write.write_all(&request), async {
            let mut line = [0; 12];
            read.read_exact(&mut line).await.map(|_| line)
        });
        std::str::from_utf8(&head.ok()?[9..]).ok()?.parse().ok()
    };
    tokio::time::timeout(Duration::from_secs(2), exchange).await.ok().flatten()
}

/// An instance with a backend server.
pub struct Instance {
    pub process: Process,
    standins: Child,
    _folder: tempfile::TempDir,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.standins.kill();
        let _ = self.standins.wait();
    }
}

impl Instance {
    /// Starts an instance on addresses of test number `test`, with these settings in addition.
    pub async fn start(test: u8, descriptors: u32, more: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let ip = host(test, 1);
        std::fs::write(folder.path().join("key"), "inner key of the crowd tests").unwrap();
        std::fs::write(folder.path().join("token"), TOKEN).unwrap();
        let file = folder.path().join("node.yaml");
        let text = format!(
            "instance: node-0\nzone: olomouc\nhttp: {ip}:{CALLERS}\ninner: {ip}:{INNER}\nkey_file: key\n\
             operator_token_file: token\nroles: [entry, control]\ndata_dir: data\nvoters: [node-0]\n\
             log_file: log\n{more}"
        );
        std::fs::write(&file, text).unwrap();
        let process = Process::start("serve", &file, ip, descriptors);
        let listen = SocketAddr::new(host(test, 9), 9_000).to_string();
        let registrar = process.at(CALLERS).to_string();
        let standins = Command::new(env!("CARGO_BIN_EXE_hornbeamrun"))
            .args(["standins", "--listen", &listen, "--count", "2", "--registrars", &registrar])
            .args(["--service", "planner", "--zone", "olomouc", "--shards", "2", "--slots", "8"])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let instance = Self { process, standins, _folder: folder };
        instance.change("first", 0).await;
        instance.check_served("before").await;
        instance
    }

    /// Submits a change of the configuration until it is accepted; `expect` is the revision before it.
    async fn change(&self, id: &str, expect: u64) {
        let client = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(2)).build();
        let client = client.unwrap();
        let service = serde_json::json!({"patience": {"default_ms": 3000}, "schemas": [1, 2]});
        let change = serde_json::json!({"put_service": {"name": "planner", "service": service}});
        let body =
            serde_json::json!({"change_id": id, "expect_revision": expect, "change": change});
        let url = format!("http://{}/v1/config/changes", self.process.at(CALLERS));
        let is_accepted = async || {
            let sent = client.post(&url).bearer_auth(TOKEN).json(&body).send().await;
            sent.is_ok_and(|reply| reply.status() == 200)
        };
        assert!(within(WAIT, is_accepted).await, "{id} is accepted");
    }

    async fn check_served(&self, what: &str) {
        let at = self.process.at(CALLERS);
        for body in [0, 900 << 10] {
            let query = format!("{{\"query\": \"{}\"}}", "x".repeat(body));
            let is_served = async || {
                let wait = Duration::from_secs(3);
                let path = "/v1/services/planner/query";
                http(at, "POST", path, query.as_bytes(), wait).await.is_some_and(|(s, _)| s == 200)
            };
            assert!(within(WAIT, is_served).await, "{what}: a query of {body} bytes");
        }
    }

    /// Fails if operators, health checks, metrics or ordinary callers do not get through.
    pub async fn check_all_served(&self, id: &str, expect: u64, what: &str) {
        let at = self.process.at(CALLERS);
        for path in ["/v1/health", "/metrics"] {
            let wait = Duration::from_secs(2);
            let is_served = async || {
                http(at, "GET", path, b"", wait).await.is_some_and(|(status, _)| status == 200)
            };
            assert!(within(WAIT, is_served).await, "{what}: {path}");
        }
        self.change(id, expect).await;
        self.check_served(what).await;
    }
}

/// How the clients of a crowd send. All but the silent ones stop one byte short of the end of a legal message.
#[derive(Clone, Copy, Debug)]
pub enum Sending {
    /// Connections without a byte.
    Silent,
    /// The same, and another one whenever one is closed.
    Returning,
    /// A body with a length, at once.
    Whole,
    /// The same in small pieces.
    Pieces,
    /// A chunked body in large chunks.
    LargeChunks,
    /// A chunked body in very small chunks.
    SmallChunks,
    /// Header fields without an end.
    Head,
    /// The start of a body with a length.
    Begun,
    /// An ordinary request, and behind it bytes for which it is not yet time.
    Behind,
    /// An ordinary request without a body, whose answer is not read.
    Unread,
    /// A message between programs: its length and bytes that no key has authenticated.
    Frame,
}

/// A crowd of connected clients, which stay open until it is dropped.
pub struct Crowd {
    clients: JoinSet<()>,
}

/// Bytes of a large answer of the backend server.
const LARGE_ANSWER: usize = 1 << 20;
/// Bytes of one piece, and of one very small chunk.
const PIECE: usize = 4 << 10;
const SMALL_CHUNK: usize = 48;
const LARGE_CHUNK: usize = 60 << 10;

/// What one client of a crowd sends.
fn message(sending: Sending, request_line: &str, bytes: usize) -> Vec<u8> {
    let chunked = |chunk: usize| {
        let mut body = Vec::new();
        let mut left = bytes;
        while left > 0 {
            let size = left.min(chunk);
            body.extend_from_slice(format!("{size:x}\r\n").as_bytes());
            body.resize(body.len() + size, b'x');
            body.extend_from_slice(b"\r\n");
            left -= size;
        }
        body
    };
    let head = |fields: &str| {
        format!(
            "{request_line} HTTP/1.1\r\nhost: {HOST}\r\nhornbeam-request-id: crowd\r\n{fields}\r\n"
        )
    };
    match sending {
        Sending::Silent | Sending::Returning => Vec::new(),
        Sending::Whole | Sending::Pieces => {
            let mut message = head(&format!("content-length: {bytes}\r\n")).into_bytes();
            message.resize(message.len() + bytes - 1, b'x');
            message
        }
        Sending::LargeChunks | Sending::SmallChunks => {
            let chunk =
                if matches!(sending, Sending::LargeChunks) { LARGE_CHUNK } else { SMALL_CHUNK };
            let mut message = head("transfer-encoding: chunked\r\n").into_bytes();
            message.extend(chunked(chunk));
            message.extend_from_slice(b"0\r\n");
            message
        }
        Sending::Head => {
            let mut message = head("").into_bytes();
            message.truncate(message.len() - 2);
            let fields = 60;
            for i in 0..fields {
                let value = "7".repeat((bytes - message.len()) / (fields - i) - 10);
                message.extend_from_slice(format!("x-{i}: {value}\r\n").as_bytes());
            }
            message
        }
        Sending::Begun => {
            let mut message = head(&format!("content-length: {bytes}\r\n")).into_bytes();
            message.resize(message.len() + 100, b'x');
            message
        }
        Sending::Unread => head("").into_bytes(),
        Sending::Behind => {
            let mut message = head("").into_bytes();
            message.resize(message.len() + bytes, b'x');
            message
        }
        Sending::Frame => {
            let mut message = (bytes as u32).to_le_bytes().to_vec();
            message.resize(4 + bytes - 1, b'x');
            message
        }
    }
}

impl Crowd {
    /// Connects `clients` that send in this way, and waits until the process takes no more.
    pub async fn gather(
        clients: usize,
        to: SocketAddr,
        sending: Sending,
        request_line: &str,
        bytes: usize,
    ) -> Self {
        let message: Arc<[u8]> = message(sending, request_line, bytes).into();
        let sent = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        for _ in 0..clients {
            let (message, sent) = (message.clone(), sent.clone());
            tasks.spawn(async move {
                let connect = tokio::time::timeout(Duration::from_secs(5), TcpStream::connect(to));
                let Ok(Ok(mut stream)) = connect.await else { return };
                sent.fetch_add(1, Ordering::Relaxed);
                for piece in message.chunks(PIECE) {
                    if stream.write_all(piece).await.is_err() {
                        break;
                    }
                    sent.fetch_add(piece.len(), Ordering::Relaxed);
                    if matches!(sending, Sending::Pieces) {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                }
                while let Sending::Returning = sending {
                    // Waits until the connection is closed.
                    let _ = stream.read_u8().await;
                    match TcpStream::connect(to).await {
                        Ok(next) => stream = next,
                        Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
                    }
                }
                // Neither reads nor closes.
                std::future::pending::<()>().await;
            });
        }
        let mut before = usize::MAX;
        let end = Instant::now() + Duration::from_secs(15);
        while before != sent.load(Ordering::Relaxed) && Instant::now() < end {
            before = sent.load(Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
        Self { clients: tasks }
    }

    /// Returns the number of clients.
    pub fn size(&self) -> usize {
        self.clients.len()
    }
}
