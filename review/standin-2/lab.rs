//! A small deployment on loopback addresses for the scripts of the second review: it starts the project's
//! controllers and entries as processes, and plays searchers, the operator and requesters. It uses the
//! standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const API_PORT: u16 = 8106;
pub const CALLERS_PORT: u16 = 8104;
pub const READY_PORT: u16 = 8108;
pub const INNER_PORT: u16 = 7380;
pub const METRICS_PORT: u16 = 7395;
pub const HOST: &str = "pupu76.example";
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// True unless the script was started with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn open(path: &str) -> Arc<Self> {
        Arc::new(Self { start: Instant::now(), file: Mutex::new(File::create(path).unwrap()) })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut f = self.file.lock().unwrap();
        let _ = writeln!(f, "{:9.3} {text}", self.now());
    }
}

/// Ends the script as one that could not run.
pub fn cannot_run(lab: Option<&Lab>, record: &Record, why: &str) -> ! {
    record.line(&format!("cannot run: {why}"));
    eprintln!("cannot run: {why}");
    if let Some(lab) = lab {
        lab.stop();
    }
    std::process::exit(2)
}

pub struct Lab {
    pub net: u8,
    pub net2: u8,
    pub folder: PathBuf,
    pub controllers: usize,
    pub entries: usize,
    pub processes: Mutex<HashMap<String, Child>>,
    pub record: Arc<Record>,
    pub ended: AtomicBool,
    /// Further lines of the entries' settings.
    pub entry_settings: Mutex<String>,
}

impl Lab {
    pub fn new(record: &Arc<Record>, controllers: usize, entries: usize) -> Arc<Self> {
        let seed = unix_ms() ^ (u64::from(std::process::id()) << 20);
        for attempt in 0..50u64 {
            let mixed = (seed + attempt).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let (net, net2) = (64 + (mixed >> 40) as u8 % 60, (mixed >> 50) as u8);
            let ip = |n: usize| format!("127.{net}.{net2}.{n}");
            let free = (0..controllers).all(|i| {
                [API_PORT, INNER_PORT, INNER_PORT + 1, METRICS_PORT]
                    .iter()
                    .all(|p| TcpListener::bind(format!("{}:{p}", ip(10 + i))).is_ok())
            }) && (0..entries).all(|i| {
                [CALLERS_PORT, READY_PORT, INNER_PORT, METRICS_PORT]
                    .iter()
                    .all(|p| TcpListener::bind(format!("{}:{p}", ip(50 + i))).is_ok())
            });
            if !free {
                continue;
            }
            let folder = std::env::temp_dir().join(format!("review-{}-{net}-{net2}", std::process::id()));
            std::fs::create_dir_all(&folder).unwrap();
            return Arc::new(Self {
                net,
                net2,
                folder,
                controllers,
                entries,
                processes: Mutex::default(),
                record: record.clone(),
                ended: AtomicBool::new(false),
                entry_settings: Mutex::new("revocation:\n  strict: \n  window_ms: \n".to_owned()),
            });
        }
        cannot_run(None, record, "no free loopback addresses")
    }

    pub fn ip(&self, n: usize) -> String {
        format!("127.{}.{}.{n}", self.net, self.net2)
    }
    pub fn controller_ip(&self, i: usize) -> String {
        self.ip(10 + i)
    }
    pub fn entry_ip(&self, i: usize) -> String {
        self.ip(50 + i)
    }
    pub fn callers(&self, i: usize) -> SocketAddr {
        format!("{}:{CALLERS_PORT}", self.entry_ip(i)).parse().unwrap()
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> = (0..self.controllers.min(3))
            .map(|i| format!("\"{}:{API_PORT}\"", self.controller_ip(i)))
            .collect();
        seeds.join(", ")
    }

    fn spawn(&self, name: &str, role: &str, settings: &str) {
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, settings).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .unwrap();
        // The command of the deploy file, with the settings in a temporary folder.
        let mut command = Command::new("target/release/hornbeamrun");
        command
            .args([role, file.to_str().unwrap(), "--dialect", "platform"])
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default());
        let child = command.spawn().unwrap_or_else(|e| {
            cannot_run(Some(self), &self.record, &format!("hornbeamrun does not start: {e}"))
        });
        self.record.line(&format!("started {name} as process {}", child.id()));
        // `run.sh` ends what is left if the script itself is ended.
        if let Ok(path) = std::env::var("REVIEW_PIDS")
            && let Ok(mut f) = File::options().create(true).append(true).open(path)
        {
            let _ = writeln!(f, "{}", child.id());
        }
        self.processes.lock().unwrap().insert(name.to_owned(), child);
    }

    pub fn start_controller(&self, i: usize, founding: bool) {
        let data = self.folder.join(format!("controller-{i}.data"));
        std::fs::create_dir_all(&data).unwrap();
        let ip = self.controller_ip(i);
        let settings = format!(
            "instance: \"core-{i}\"\nzone: \"{}\"\naddress: \"{ip}\"\ninner_port: {INNER_PORT}\n\
             metrics: \"{ip}:{METRICS_PORT}\"\nseeds: [{}]\nkey: \"hornbeamrun on the platform\"\n\
             api: \"{ip}:{API_PORT}\"\ndata_dir: \"{}\"\nfounding: {founding}\ntolerated_losses: 1\n\
             heartbeat_ms: 1200\ngrace_s: 6\nmemory_mb: 256\n\
             zones: {{\"zone-a\":\"r\",\"zone-b\":\"r\",\"zone-c\":\"r\"}}\nregion: \"r\"\n",
            ZONES[i % 3],
            self.seeds(),
            data.display()
        );
        self.spawn(&format!("controller-{i}"), "controller", &settings);
    }

    pub fn start_entry(&self, i: usize) {
        let ip = self.entry_ip(i);
        let settings = format!(
            "instance: \"edge-{i}\"\nzone: \"{}\"\naddress: \"{ip}\"\ninner_port: {INNER_PORT}\n\
             metrics: \"{ip}:{METRICS_PORT}\"\nseeds: [{}]\nkey: \"hornbeamrun on the platform\"\n\
             callers: \"{ip}:{CALLERS_PORT}\"\nready: \"{ip}:{READY_PORT}\"\nheartbeat_ms: 1200\n\
             grace_s: 6\nbudget:\n  ratio: 0.2\n  window_s: 10\n  allowance: 54\nmemory_mb: 260\n\
             zones: {{\"zone-a\":\"r\",\"zone-b\":\"r\",\"zone-c\":\"r\"}}\nregion: \"r\"\n\
             {}",
            ZONES[i % 3],
            self.seeds(),
            self.entry_settings.lock().unwrap()
        );
        self.spawn(&format!("entry-{i}"), "entry", &settings);
    }

    pub fn start_all(&self) {
        for i in 0..self.controllers {
            self.start_controller(i, true);
        }
        for i in 0..self.entries {
            self.start_entry(i);
        }
    }

    /// Returns how a process has ended by itself, if it has.
    pub fn ended_by_itself(&self, name: &str) -> Option<String> {
        let mut processes = self.processes.lock().unwrap();
        let status = processes.get_mut(name)?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.processes.lock().unwrap().get(name).map(Child::id);
        if let Some(pid) = pid {
            self.record.line(&format!("SIG{signal} to {name}"));
            let _ = Command::new("kill").args([format!("-{signal}"), pid.to_string()]).status();
        }
    }

    pub fn kill(&self, name: &str) {
        if let Some(mut child) = self.processes.lock().unwrap().remove(name) {
            self.record.line(&format!("SIGKILL to {name}"));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends all processes and removes the temporary folder.
    pub fn stop(&self) {
        if self.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        for (_, mut child) in self.processes.lock().unwrap().drain() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }

    /// Sends an operator's call to controllers in turn until one answers with a final status; follows 307.
    pub fn operator(&self, method: &str, path: &str, body: &str, tries: usize) -> Option<Answer> {
        for n in 0..tries {
            let mut to: SocketAddr =
                format!("{}:{API_PORT}", self.controller_ip(n % self.controllers)).parse().unwrap();
            for _ in 0..3 {
                let answer = call_once(to, method, path, body);
                match answer {
                    Ok(a) if a.status == 307 => {
                        let location = a.header("location").unwrap_or_default();
                        let host = location.trim_start_matches("http://").split('/').next();
                        match host.and_then(|h| h.parse().ok()) {
                            Some(next) => to = next,
                            None => break,
                        }
                    }
                    Ok(a) if a.status < 500 => return Some(a),
                    _ => break,
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Sends a configuration until it is acknowledged or refused; returns the status.
    pub fn configure(&self, config: &str) -> u16 {
        let answer = self.operator("POST", "/v1/configuration/replace", config, 60);
        let status = answer.map_or(0, |a| a.status);
        self.record.line(&format!("configuration answered {status}: {}", &config[..config.len().min(160)]));
        status
    }

    pub fn is_ready(&self, i: usize) -> bool {
        let to = format!("{}:{READY_PORT}", self.entry_ip(i)).parse().unwrap();
        call_once(to, "GET", "/v1/readyz", "").is_ok_and(|a| a.status == 200)
    }

    pub fn wait_ready(&self, time: Duration) {
        let end = Instant::now() + time;
        while !(0..self.entries).all(|i| self.is_ready(i)) {
            if Instant::now() > end {
                cannot_run(Some(self), &self.record, "the entries are not ready in time");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

fn call_once(to: SocketAddr, method: &str, path: &str, body: &str) -> Result<Answer> {
    let mut c = Connection::open(to, Duration::from_millis(1_500))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    c.stream.write_all(head.as_bytes())?;
    c.stream.write_all(body.as_bytes())?;
    c.read_answer()
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<String> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.clone())
    }
}

/// A requester's connection, which may carry many requests one after the other.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn open(to: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self { stream, buf: Vec::new() })
    }

    pub fn request(&mut self, method: &str, path: &str, id: &str, deadline_ms: u64) -> Result<Answer> {
        self.request_with(method, path, id, deadline_ms, "")
    }

    /// Sends a request with further header lines, each with its line end.
    pub fn request_with(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        more: &str,
    ) -> Result<Answer> {
        let length = if method == "GET" { "" } else { "Content-Length: 0\r\n" };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n{more}{length}\r\n"
        );
        self.stream.write_all(head.as_bytes())?;
        self.read_answer()
    }

    pub fn read_answer(&mut self) -> Result<Answer> {
        let end = loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let status = lines.next().and_then(|l| l.split(' ').nth(1)).and_then(|s| s.parse().ok());
        let status = status.ok_or_else(|| Error::from(ErrorKind::InvalidData))?;
        let headers: Vec<(String, String)> = lines
            .filter_map(|l| l.split_once(':'))
            .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
            .collect();
        let length = headers.iter().find(|(n, _)| n == "content-length");
        let length: usize = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
        while self.buf.len() < length {
            self.fill()?;
        }
        let body = self.buf.drain(..length).collect();
        Ok(Answer { status, headers, body })
    }

    fn fill(&mut self) -> Result<()> {
        let mut part = [0; 16 << 10];
        match self.stream.read(&mut part)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            n => {
                self.buf.extend_from_slice(&part[..n]);
                Ok(())
            }
        }
    }
}

/// A request as a searcher has read it.
pub struct Received {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// A searcher: it sends pings, and answers as the pages say.
pub struct Searcher {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
    sequence: AtomicU64,
    pub draining: AtomicBool,
    pub pinging: AtomicBool,
    /// Requests run: time since the start of the record, attempt id, path.
    pub runs: Mutex<Vec<(f64, String, String)>>,
    /// Attempt ids of the requests that came with an `Api-Key`.
    pub keys: Mutex<Vec<String>>,
    lab: Arc<Lab>,
}

impl Searcher {
    pub fn start(lab: &Arc<Lab>, id: &str, service: &str, zone: &str, ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind(format!("{ip}:0"))
            .unwrap_or_else(|e| cannot_run(Some(lab), &lab.record, &format!("{ip}: {e}")));
        let searcher = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            pinging: AtomicBool::new(true),
            runs: Mutex::default(),
            keys: Mutex::default(),
            lab: lab.clone(),
        });
        let accepting = searcher.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || {
                    let _ = serving.serve(stream);
                });
            }
        });
        let pinging = searcher.clone();
        thread::spawn(move || {
            loop {
                if pinging.pinging.load(Ordering::Relaxed) {
                    pinging.ping();
                }
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        searcher
    }

    /// Sends one ping; returns true if a controller has acknowledged it.
    pub fn ping(&self) -> bool {
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"max-concurrency\":2,\"state\":\"{state}\",\"warmup-left-ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        let path = format!("/v1/instances/{}/heartbeat", self.id);
        (0..self.lab.controllers).any(|n| {
            let i = (n + self.id.len() + sequence as usize) % self.lab.controllers;
            let to = format!("{}:{API_PORT}", self.lab.controller_ip(i)).parse().unwrap();
            call_once(to, "POST", &path, &body).is_ok_and(|a| a.status == 200)
        })
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut c = Connection { stream, buf: Vec::new() };
        loop {
            let request = read_request(&mut c)?;
            let answer = self.answer(&request);
            c.stream.write_all(&answer)?;
        }
    }

    fn answer(&self, request: &Received) -> Vec<u8> {
        if request.path == "/healthz" {
            return format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id)
                .into_bytes();
        }
        let Some(id) = request.headers.get("attempt-id") else {
            return b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_vec();
        };
        if request.headers.get("expected-instance").is_some_and(|e| *e != self.id) {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            )
            .into_bytes();
        }
        if let Some(key) = request.headers.get("api-key") {
            self.keys.lock().unwrap().push(id.clone());
            self.lab.record.line(&format!("{} got the key {key} with {id}", self.id));
        }
        let at = self.lab.record.now();
        self.runs.lock().unwrap().push((at, id.clone(), request.path.clone()));
        self.lab.record.line(&format!("run by {} of {}: {id} {}", self.id, self.service, request.path));
        let mut body = Vec::new();
        for n in 0..4u8 {
            let mut record = [b'.'; 16];
            let text = format!("{n}{id}{}", self.service);
            for (to, from) in record.iter_mut().zip(text.bytes()) {
                *to = from;
            }
            body.extend_from_slice(&record);
        }
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: {id}.{}\r\nKeep-Alive: timeout=30\r\n\
             Content-Length: {}\r\n\r\n",
            self.id,
            body.len()
        )
        .into_bytes();
        answer.extend_from_slice(&body);
        answer
    }
}

fn read_request(c: &mut Connection) -> Result<Received> {
    let end = loop {
        if let Some(end) = c.buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        c.fill()?;
    };
    let head = String::from_utf8_lossy(&c.buf[..end]).into_owned();
    c.buf.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut first = lines.next().unwrap_or_default().split(' ');
    let method = first.next().unwrap_or_default().to_owned();
    let path = first.next().unwrap_or_default().to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while c.buf.len() < length {
        c.fill()?;
    }
    let body = c.buf.drain(..length).collect();
    Ok(Received { method, path, headers, body })
}

/// Returns a route to a single service.
pub fn route(name: &str, prefix: &str, service: &str, kind: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"{prefix}\",\"route-type\":\"{kind}\",\
         \"timeout-ms\":{timeout_ms},\"target-latency-ms\":800,\"priority\":2,\"service\":\"{service}\",\
         \"max-attempts\":2}}"
    )
}

/// Returns a route to all shards of an index.
pub fn fanout(name: &str, prefix: &str, services: &[&str], limit: u64) -> String {
    let services: Vec<String> = services.iter().map(|s| format!("\"{s}\"")).collect();
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"{prefix}\",\
         \"route-type\":\"idempotent\",\"timeout-ms\":2000,\"target-latency-ms\":200,\"priority\":1,\
         \"fanout-services\":[{}],\"max-attempts\":2,\"result-limit\":{limit},\"min-shard-ratio\":0.75}}",
        services.join(",")
    )
}

pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|s| {
            format!(
                "{{\"name\":\"{s}\",\"health-path\":\"/healthz\",\"max-connections\":26,\
                 \"protocol\":\"h1\",\"tls-enabled\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
