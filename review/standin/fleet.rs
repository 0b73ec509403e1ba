//! Starts entries and controllers as processes on loopback addresses, and plays the platform, the
//! operator, searchers and requesters for them. Uses the standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const API_PORT: u16 = 18106;
pub const CALLERS_PORT: u16 = 18104;
pub const READY_PORT: u16 = 18108;
pub const INNER_PORT: u16 = 17380;
pub const METRICS_PORT: u16 = 17395;
pub const SEARCHER_PORT: u16 = 18500;
/// Bounds of a small deployment, from the example of a settings file in DEPLOY.md.
pub const CONFIG_APPLY: Duration = Duration::from_millis(3000);
pub const CONTACT_WINDOW: Duration = Duration::from_millis(4000);
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(3000);
pub const GRACE: Duration = Duration::from_secs(6);
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// What was sent, answered and run, with times since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { started: Instant::now(), file })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}

/// One entry or controller.
pub struct Program {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub is_entry: bool,
    settings: PathBuf,
    pub data: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Program {
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }
}

/// All programs of a case; ends them when it is dropped.
pub struct Fleet {
    pub record: Record,
    pub dir: PathBuf,
    binary: PathBuf,
    root: PathBuf,
    net: (u8, u8),
    pub programs: Vec<Program>,
    seeds: Vec<Ipv4Addr>,
    pub extra_entry_settings: String,
}

fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
}

impl Fleet {
    /// Prepares controllers and entries, spread over the zones; starts none.
    pub fn new(
        root: &Path,
        dir: &Path,
        record: Record,
        zones: &[&str],
        controllers: usize,
        entries: usize,
    ) -> io::Result<Self> {
        let net = free_net()?;
        let mut fleet = Self {
            record,
            dir: dir.to_owned(),
            binary: PathBuf::from("target/release/hornbeamrun"),
            root: root.to_owned(),
            net,
            programs: Vec::new(),
            seeds: Vec::new(),
            extra_entry_settings: String::new(),
        };
        for i in 0..controllers {
            let zone = zones[i % zones.len()];
            fleet.add(format!("core-{zone}-{i}"), 1 + i as u8, zone, false);
        }
        for i in 0..entries {
            let zone = zones[i % zones.len()];
            fleet.add(format!("edge-{zone}-{i}"), 51 + i as u8, zone, true);
        }
        fleet.seeds =
            fleet.programs.iter().filter(|p| !p.is_entry).take(3).map(|p| p.ip).collect();
        Ok(fleet)
    }

    fn add(&mut self, name: String, host: u8, zone: &str, is_entry: bool) {
        let path = |end: &str| self.dir.join(format!("{name}.{end}"));
        let (settings, data, log) = (path("yaml"), path("data"), path("log"));
        let ip = self.ip(host);
        let zone = zone.to_owned();
        self.programs.push(Program { name, ip, zone, is_entry, settings, data, log, child: None });
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, host)
    }

    /// Index of the entry with this number.
    pub fn entry(&self, n: usize) -> usize {
        let entries = self.programs.iter().enumerate().filter(|(_, p)| p.is_entry);
        entries.map(|(i, _)| i).nth(n).unwrap()
    }

    pub fn controllers(&self) -> Vec<SocketAddr> {
        let of = self.programs.iter().filter(|p| !p.is_entry);
        of.map(|p| addr(p.ip, API_PORT)).collect()
    }

    /// Writes the settings that the templates of the deploy file give, and starts a program.
    pub fn start(&mut self, i: usize, founding: bool) -> io::Result<()> {
        let seeds: Vec<String> =
            self.seeds.iter().map(|ip| format!("\"{ip}:{API_PORT}\"")).collect();
        let p = &mut self.programs[i];
        let mut text = format!(
            "instance: \"{}\"\nzone: \"{}\"\naddress: \"{ip}\"\ninner_port: {INNER_PORT}\n\
             metrics: \"{ip}:{METRICS_PORT}\"\nseeds: [{}]\nkey: \"hornbeamrun on the platform\"\n\
             heartbeat_ms: 1200\ngrace_s: 6\nmemory_mb: 256\nregion: \"hana\"\n",
            p.name,
            p.zone,
            seeds.join(","),
            ip = p.ip
        );
        if p.is_entry {
            text += &format!(
                "callers: \"{ip}:{CALLERS_PORT}\"\nready: \"{ip}:{READY_PORT}\"\n\
                 budget:\n  ratio: 0.2\n  window_s: 10\n  allowance: 58\n\
                 revocation:\n  strict:\n  window_ms:\n",
                ip = p.ip
            );
            text += &self.extra_entry_settings;
        } else {
            fs::create_dir_all(&p.data)?;
            text += &format!(
                "api: \"{}:{API_PORT}\"\ndata_dir: \"{}\"\nfounding: {founding}\ntolerated_losses: 1\n",
                p.ip,
                p.data.display()
            );
        }
        fs::write(&p.settings, text)?;
        let log = File::options().create(true).append(true).open(&p.log)?;
        let role = if p.is_entry { "entry" } else { "controller" };
        let child = Command::new(&self.binary)
            .current_dir(&self.root)
            .args([role, &p.settings.to_string_lossy(), "--dialect", "platform"])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("start {} pid {}", p.name, child.id()));
        p.child = Some(child);
        Ok(())
    }

    pub fn start_all(&mut self) -> io::Result<()> {
        for i in 0..self.programs.len() {
            self.start(i, true)?;
        }
        Ok(())
    }

    pub fn signal(&self, i: usize, name: &str) {
        let p = &self.programs[i];
        if let Some(pid) = p.pid() {
            self.record.line(&format!("SIG{name} to {}", p.name));
            signal(pid, name);
        }
    }

    /// Waits for the end of a program that was told to stop.
    pub fn reap(&mut self, i: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let p = &mut self.programs[i];
        let Some(child) = &mut p.child else { return true };
        while Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                self.record.line(&format!("{} has ended: {status}", p.name));
                p.child = None;
                return true;
            }
            thread::sleep(ms(5));
        }
        false
    }

    pub fn kill(&mut self, i: usize) {
        self.signal(i, "KILL");
        self.reap(i, ms(3000));
    }

    /// Names of programs that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for p in &mut self.programs {
            if let Some(child) = &mut p.child
                && let Ok(Some(status)) = child.try_wait()
            {
                ended.push(format!("{}: {status}", p.name));
            }
        }
        ended
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for p in &mut self.programs {
            if let Some(mut child) = p.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

pub fn addr(ip: Ipv4Addr, port: u16) -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new(ip, port))
}

/// Returns the second and third byte of a loopback network that nothing uses.
fn free_net() -> io::Result<(u8, u8)> {
    let mut seed = u64::from(std::process::id()) * 7919 + unix_ms();
    for _ in 0..200 {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let net = (64 + (seed >> 33) as u8 % 128, (seed >> 45) as u8);
        let free = |host, port| {
            TcpListener::bind(addr(Ipv4Addr::new(127, net.0, net.1, host), port)).is_ok()
        };
        if free(1, API_PORT) && free(51, CALLERS_PORT) && free(1, INNER_PORT) {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free loopback network"))
}

// ---------------------------------------------------------------- HTTP

/// Head of a message: first line and fields, with lower-case names.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

#[derive(Clone, Debug)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
}

/// A connection with what was read beyond the last message.
pub struct Http {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Http {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    pub fn connect(to: SocketAddr, limit: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&to, limit)?))
    }

    fn more(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16384];
        let n = self.stream.read(&mut chunk)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(())
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let field = |l: &str| {
                    let (n, v) = l.split_once(':')?;
                    Some((n.trim().to_ascii_lowercase(), v.trim().to_owned()))
                };
                return Ok(Head { first, fields: lines.filter_map(field).collect() });
            }
            self.more()?;
        }
    }

    pub fn read_exact(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            self.more()?;
        }
        Ok(self.buf.drain(..n).collect())
    }

    /// Reads a message whose body has a length, or none.
    pub fn read_message(&mut self) -> io::Result<Message> {
        let head = self.read_head()?;
        let length = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        let body = self.read_exact(length)?;
        Ok(Message { head, body })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends one call to a controller; follows two redirects.
pub fn call(method: &str, to: SocketAddr, path: &str, body: &[u8]) -> io::Result<Message> {
    let (mut to, mut path) = (to, path.to_owned());
    for _ in 0..3 {
        let mut http = Http::connect(to, ms(1000))?;
        http.stream.set_read_timeout(Some(ms(1000)))?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        http.write(head.as_bytes())?;
        http.write(body)?;
        let reply = http.read_message()?;
        if reply.head.status() != 307 {
            return Ok(reply);
        }
        let location = reply.head.get("location").unwrap_or_default().to_owned();
        let rest = location.strip_prefix("http://").unwrap_or_default();
        let Some((host, rest)) = rest.split_once('/') else { break };
        to = host.parse().map_err(io::Error::other)?;
        path = format!("/{rest}");
    }
    Err(io::Error::other("more than two redirects"))
}

/// Sends a configuration until it is acknowledged; returns when that was.
pub fn put_config(fleet: &Fleet, body: &str, limit: Duration) -> Option<Duration> {
    let record = &fleet.record;
    let until = Instant::now() + limit;
    let nodes = fleet.controllers();
    for n in 0.. {
        if Instant::now() >= until {
            break;
        }
        let node = nodes[n % nodes.len()];
        let reply = call("POST", node, "/v1/configuration/replace", body.as_bytes());
        let status = reply.map(|r| r.head.status());
        record.line(&format!("operator: replace at {node}: {status:?}"));
        match status {
            Ok(200) => return Some(record.now()),
            Ok(400..=499) => return None,
            _ => thread::sleep(ms(100)),
        }
    }
    None
}

// ---------------------------------------------------------------- searchers

/// One request that reached a searcher.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
    pub line: String,
    pub searcher: String,
    pub ran: bool,
    pub head: Head,
}

/// How long a searcher works on a request that it runs.
pub type Work = Arc<dyn Fn(&Message) -> Duration + Send + Sync>;
/// How long a searcher works on a request that it runs, and the status of its response.
pub type Reply = Arc<dyn Fn(&Message) -> (Duration, u16) + Send + Sync>;

pub struct Searcher {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub born: u64,
    pub alive: Arc<AtomicBool>,
    pub draining: Arc<AtomicBool>,
    pub beating: Arc<AtomicBool>,
    /// Time of the acknowledgement of `draining` or of the departure.
    pub left_at: Arc<Mutex<Option<Duration>>>,
    pub seq: Arc<AtomicU64>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

/// All arrivals at all searchers.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

impl Searcher {
    /// Starts a searcher and its heartbeats.
    pub fn start(
        fleet: &Fleet,
        arrivals: &Arrivals,
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        work: Work,
    ) -> io::Result<Self> {
        let reply: Reply = Arc::new(move |request| (work(request), 200));
        Self::start_with(fleet, arrivals, id, service, zone, address, reply)
    }

    /// Starts a searcher whose responses are not all successes.
    pub fn start_with(
        fleet: &Fleet,
        arrivals: &Arrivals,
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        reply: Reply,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let alive = Arc::new(AtomicBool::new(true));
        let searcher = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            born: unix_ms(),
            alive: alive.clone(),
            draining: Arc::default(),
            beating: Arc::new(AtomicBool::new(true)),
            left_at: Arc::default(),
            seq: Arc::default(),
            streams: Arc::default(),
        };
        let streams = searcher.streams.clone();
        let (name, record, arrivals) = (id.to_owned(), fleet.record.clone(), arrivals.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                if !alive.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { return };
                let (name, record) = (name.clone(), record.clone());
                let (arrivals, alive, reply) = (arrivals.clone(), alive.clone(), reply.clone());
                if let Ok(stream) = stream.try_clone() {
                    streams.lock().unwrap().push(stream);
                }
                thread::spawn(move || {
                    let mut http = Http::new(stream);
                    let _ = http.stream.set_read_timeout(Some(Duration::from_secs(30)));
                    while alive.load(Ordering::Relaxed) {
                        let Ok(request) = http.read_message() else { return };
                        if answer(&name, &record, &arrivals, &reply, &mut http, &request).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        searcher.beat(fleet);
        Ok(searcher)
    }

    /// Body of a heartbeat.
    pub fn heartbeat(&self) -> String {
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"max-concurrency\":4,\"state\":\"{state}\",\"warmup-left-ms\":0,\"sequence\":{seq},\
             \"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }

    fn beat(&self, fleet: &Fleet) {
        let nodes = fleet.controllers();
        let me = Self {
            id: self.id.clone(),
            service: self.service.clone(),
            address: self.address,
            zone: self.zone.clone(),
            born: self.born,
            alive: self.alive.clone(),
            draining: self.draining.clone(),
            beating: self.beating.clone(),
            left_at: self.left_at.clone(),
            seq: self.seq.clone(),
            streams: self.streams.clone(),
        };
        let record = fleet.record.clone();
        let first = self.id.bytes().map(usize::from).sum::<usize>();
        thread::spawn(move || {
            let mut node = first % nodes.len();
            let mut was_draining = false;
            while me.alive.load(Ordering::Relaxed) && me.beating.load(Ordering::Relaxed) {
                let is_draining = me.draining.load(Ordering::Relaxed);
                let path = format!("/v1/instances/{}/heartbeat", me.id);
                let acknowledged = (0..nodes.len()).any(|_| {
                    let body = me.heartbeat();
                    let reply = call("POST", nodes[node], &path, body.as_bytes());
                    let ok = matches!(&reply, Ok(r) if (200..300).contains(&r.head.status()));
                    if !ok {
                        node = (node + 1) % nodes.len();
                    }
                    ok
                });
                if is_draining && acknowledged {
                    let mut left = me.left_at.lock().unwrap();
                    if left.is_none() {
                        *left = Some(record.now());
                        record.line(&format!("{}: draining acknowledged by {}", me.id, nodes[node]));
                    }
                }
                let until = Instant::now() + HEARTBEAT;
                while Instant::now() < until && me.alive.load(Ordering::Relaxed) {
                    thread::sleep(ms(10));
                    if me.draining.load(Ordering::Relaxed) && !was_draining {
                        was_draining = true;
                        break;
                    }
                }
            }
        });
    }

    /// Ends the searcher without notice, with its listener and all its connections.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the thread that accepts.
        let _ = TcpStream::connect_timeout(&self.address, ms(200));
    }
}

static SEALS: AtomicU64 = AtomicU64::new(1);

fn answer(
    name: &str,
    record: &Record,
    arrivals: &Arrivals,
    reply: &Reply,
    http: &mut Http,
    request: &Message,
) -> io::Result<()> {
    let head = &request.head;
    let id = head.get("attempt-id").unwrap_or_default().to_owned();
    if head.first.starts_with("GET /healthz") {
        let text = format!("HTTP/1.1 200 OK\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n");
        return http.write(text.as_bytes());
    }
    let ran = head.get("expected-instance").is_none_or(|e| e == name);
    let arrival = Arrival {
        at: record.now(),
        id: id.clone(),
        line: head.first.clone(),
        searcher: name.to_owned(),
        ran,
        head: head.clone(),
    };
    record.line(&format!("{name}: request {id} arrived, ran: {ran}"));
    arrivals.lock().unwrap().push(arrival);
    if !ran {
        let text = format!(
            "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        return http.write(text.as_bytes());
    }
    let (work, status) = reply(request);
    thread::sleep(work);
    let seal = SEALS.fetch_add(1, Ordering::Relaxed);
    let body = format!("{name:-<32}");
    let text = format!(
        "HTTP/1.1 {status} Done\r\nAttempt-Id: {id}\r\nResponse-Seal: seal-{seal}\r\nKeep-Alive: timeout=20\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    http.write(text.as_bytes())
}

// ---------------------------------------------------------------- requesters

static IDS: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000_u64 + IDS.fetch_add(1, Ordering::Relaxed))
}

/// Head of a request, with the empty line.
pub fn request(method: &str, path: &str, host: &str, id: &str, deadline_ms: u64, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n{more}\r\n"
    )
}

/// Waits until a GET at the platform's readiness address answers 200.
pub fn wait_ready(fleet: &Fleet, i: usize, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    let to = addr(fleet.programs[i].ip, READY_PORT);
    while Instant::now() < until {
        if let Ok(r) = call("GET", to, "/v1/readyz", b"")
            && r.head.status() == 200
        {
            return true;
        }
        thread::sleep(ms(50));
    }
    false
}

/// Arguments of a case: root of the repository, temporary folder, folder of the case, trouble.
pub struct Case {
    pub root: PathBuf,
    pub dir: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

pub fn case() -> Case {
    let args: HashMap<String, String> = std::env::args()
        .skip(1)
        .filter_map(|a| a.split_once('=').map(|(k, v)| (k.to_owned(), v.to_owned())))
        .collect();
    let path = |name: &str| PathBuf::from(args.get(name).cloned().unwrap_or_default());
    let record = Record::new(&path("record")).unwrap_or_else(|e| cannot_run(&format!("record: {e}")));
    Case { root: path("root"), dir: path("dir"), record, trouble: args["trouble"] != "0" }
}

/// Ends the case with exit code 2: it could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2)
}
