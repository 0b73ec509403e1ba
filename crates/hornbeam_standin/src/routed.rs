//! Stand-in backend servers for routed requests. They send heartbeats to controllers, sign their
//! responses and inject faults on demand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hornbeam_model::{Incarnation, ServerId, ServiceId, Zone};
use hornbeam_protocol::discovery::{ClaimOrder, LifeStage, ServerClaim, ServerInfo};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::AbortHandle;

/// Event that a stand-in reports to its owner.
#[derive(Clone, Copy, Debug)]
pub enum ServerEvent<'a> {
    /// The stand-in has begun to run a request.
    RequestStarted {
        /// Id of the request.
        request: &'a str,
        /// Service of the stand-in.
        service: &'a str,
        /// Name of the stand-in.
        server: &'a str,
    },
    /// The stand-in has refused a request and asked for a pause.
    PauseRequested {
        /// Id of the request.
        request: &'a str,
        /// Name of the stand-in.
        server: &'a str,
    },
    /// The stand-in has stated in a response that it is leaving.
    LeavingStated {
        /// Id of the request.
        request: &'a str,
        /// Name of the stand-in.
        server: &'a str,
    },
    /// A request has arrived that names this stand-in.
    RequestArrived {
        /// Id of the request.
        request: &'a str,
        /// Name of the stand-in.
        server: &'a str,
    },
    /// A controller has acknowledged a claim that the stand-in is draining.
    DepartureAcknowledged {
        /// Name of the stand-in.
        server: &'a str,
    },
}

/// Receives the events of a stand-in; called on its tasks.
pub type EventHandler = Arc<dyn Fn(ServerEvent<'_>) + Send + Sync>;

/// Parameters of a stand-in.
#[derive(Clone)]
pub struct RoutedParams {
    /// Name of the server.
    pub name: ServerId,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Availability zone that the server announces.
    pub zone: Zone,
    /// Address that the server listens on; port 0 chooses a free port.
    pub listen: SocketAddr,
    /// Address that it announces, if not the one on which it listens.
    pub advertise: Option<SocketAddr>,
    /// Time that the server takes to run a request.
    pub work: Duration,
    /// Controllers that the server sends heartbeats to.
    pub controllers: Arc<Vec<SocketAddr>>,
    /// Called for every event of the server.
    pub on_event: EventHandler,
}

/// Time between two heartbeats of a stand-in.
pub const HEARTBEAT: Duration = Duration::from_millis(400);
/// Time limit for the acknowledgment of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests that a stand-in runs concurrently.
pub const SLOTS: u32 = 2;
/// Requests that run or wait at the same time; more are refused as not run.
const MAX_PENDING: usize = 12;
/// Pause that a stand-in with [`RoutedFault::Pause`] asks for, in milliseconds.
pub const PAUSE_MS: u64 = 1_200;
/// Rate that a stand-in with [`RoutedFault::RateLimit`] states, in requests a second.
pub const STATED_RATE: f64 = 6.0;
/// End of the path of requests that end each stand-in that runs them.
pub const CRASH_PATH: &str = "/crash";
/// Most bytes of a body without end.
const MAX_ENDLESS_BYTES: usize = 64 << 20;
static ENDLESS_PART: [u8; 16 << 10] = [b'7'; 16 << 10];
/// Records in each response.
const RECORDS_PER_RESPONSE: u8 = 6;

/// Fault that a stand-in injects into its responses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u32)]
pub enum RoutedFault {
    /// Responds correctly.
    None,
    /// Accepts requests and never responds.
    Unresponsive,
    /// Takes 12 times as long.
    Slow,
    /// Refuses requests as not run.
    Shed,
    /// Refuses requests as not run and asks for a pause of [`PAUSE_MS`].
    Pause,
    /// Closes the connection 7 bytes before the end of the response.
    Truncate,
    /// Sends each response twice.
    ExtraResponse,
    /// Runs requests and closes the connection instead of responding.
    Reset,
    /// Runs requests and sends bytes that are not an HTTP response.
    Garbage,
    /// Responds correctly and states that it accepts [`STATED_RATE`].
    RateLimit,
    /// Runs requests and fails with 503, without the statement that it did not run them.
    FalseRefusal,
    /// Sends responses whose head is spoilt where it states the length, or holds a line that is no field.
    SpoiltHead,
    /// Sends a body without end until the connection closes.
    EndlessBody,
}

/// Every fault except [`RoutedFault::None`], those that soaks draw apart, and the stated rate,
/// whose check needs more time.
pub const ROUTED_FAULTS: [RoutedFault; 8] = [
    RoutedFault::Unresponsive,
    RoutedFault::Slow,
    RoutedFault::Shed,
    RoutedFault::Pause,
    RoutedFault::Truncate,
    RoutedFault::ExtraResponse,
    RoutedFault::Reset,
    RoutedFault::Garbage,
];

/// Stand-in server, shared by its tasks.
pub struct Server {
    /// Parameters that the server was started with.
    pub params: RoutedParams,
    address: SocketAddr,
    /// Address on which it listens.
    pub listen_address: SocketAddr,
    fault: AtomicU32,
    draining: AtomicBool,
    incarnation: u64,
    /// Number of requests that run or wait.
    pending: AtomicU32,
    /// Number of requests that arrived.
    arrivals: AtomicU32,
    /// True once a request has ended the server.
    ended: watch::Sender<bool>,
    slots: Semaphore,
    client: reqwest::Client,
}

/// Handle of a running stand-in, which stops when the handle is dropped.
pub struct Running {
    /// The server, for control of its faults and its drain.
    pub server: Arc<Server>,
    tasks: Vec<AbortHandle>,
}

impl Running {
    /// Adds a task that ends with the server, for example one that forwards connections to it.
    pub fn add_task(&mut self, task: AbortHandle) {
        self.tasks.push(task);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Starts a stand-in that sends heartbeats to its controllers.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start(params: RoutedParams) -> std::io::Result<Running> {
    let listener = TcpListener::bind(params.listen).await?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let server = Arc::new(Server {
        address: params.advertise.map_or_else(|| listener.local_addr(), Ok)?,
        listen_address: listener.local_addr()?,
        params,
        fault: AtomicU32::new(0),
        draining: AtomicBool::new(false),
        incarnation: now.as_millis() as u64,
        pending: AtomicU32::new(0),
        arrivals: AtomicU32::new(0),
        ended: watch::Sender::new(false),
        slots: Semaphore::new(SLOTS as usize),
        client: reqwest::Client::builder()
            .no_proxy()
            .tcp_user_timeout(HEARTBEAT_TIMEOUT)
            .tcp_keepalive(HEARTBEAT_TIMEOUT)
            .build()
            .unwrap_or_default(),
    });
    let accept = server.clone().until_end(server.clone().accept(listener));
    let accept = tokio::spawn(accept).abort_handle();
    let heartbeats = server.clone().until_end(server.clone().send_heartbeats());
    let heartbeats = tokio::spawn(heartbeats).abort_handle();
    Ok(Running { server, tasks: vec![accept, heartbeats] })
}

/// Returns the records with which a service responds to a request, greatest last.
pub fn records(service: &str, id: &str) -> Vec<u8> {
    let mut records = Vec::new();
    for n in 0..RECORDS_PER_RESPONSE {
        let mut record = [n; 16];
        let text = format!("{id}{service}");
        for (i, byte) in text.bytes().enumerate() {
            record[i % 16] = record[i % 16].wrapping_mul(31).wrapping_add(byte ^ n);
        }
        records.extend_from_slice(&record);
    }
    records
}

impl Server {
    /// Sets the fault that is injected from now on.
    pub fn set_fault(&self, fault: RoutedFault) {
        self.fault.store(fault as u32, Ordering::Relaxed);
    }

    fn has_fault(&self, fault: RoutedFault) -> bool {
        self.fault.load(Ordering::Relaxed) == fault as u32
    }

    /// Claims that the server is draining, from the next heartbeat on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the number of requests that arrived at the server.
    pub fn arrivals(&self) -> u32 {
        self.arrivals.load(Ordering::Relaxed)
    }

    /// Returns true once a request has ended the server.
    pub fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Runs a task of the server until a request ends the server.
    pub async fn until_end(self: Arc<Self>, task: impl Future<Output = ()>) {
        let mut ended = self.ended.subscribe();
        tokio::select! {
            () = task => {}
            // The sender is kept as long as the server.
            _ = ended.wait_for(|ended| *ended) => {}
        }
    }

    async fn send_heartbeats(self: Arc<Self>) {
        let controllers = &self.params.controllers;
        let mut next = 0;
        let mut seq = 0;
        loop {
            seq += 1;
            let draining = self.draining.load(Ordering::Relaxed);
            let stage = if draining { LifeStage::Draining } else { LifeStage::Ready };
            let claim = self.claim(stage, seq);
            for _ in 0..controllers.len() {
                let controller = controllers[next % controllers.len()];
                if self.send_heartbeat(controller, &claim).await {
                    if draining {
                        (self.params.on_event)(ServerEvent::DepartureAcknowledged {
                            server: self.params.name.as_str(),
                        });
                    }
                    break;
                }
                next += 1;
            }
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    /// Sends one heartbeat and returns whether the controller acknowledged it.
    async fn send_heartbeat(&self, controller: SocketAddr, claim: &ServerClaim) -> bool {
        let url = format!("http://{controller}/v1/servers/{}/heartbeat", self.params.name);
        let call = self.client.post(url).timeout(HEARTBEAT_TIMEOUT).json(claim).send();
        call.await.is_ok_and(|response| response.status().is_success())
    }

    fn claim(&self, stage: LifeStage, seq: u64) -> ServerClaim {
        let order = ClaimOrder { incarnation: Incarnation(self.incarnation), stage, seq };
        let info = ServerInfo {
            service: self.params.service.clone(),
            address: self.address,
            zone: self.params.zone.clone(),
            slots: SLOTS,
            warm_up_ms: 0,
        };
        ServerClaim { server: self.params.name.clone(), order, info: Some(info) }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().until_end(self.clone().serve(stream)));
        }
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut buf = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buf).await {
            if self.has_fault(RoutedFault::Unresponsive) {
                return std::future::pending().await;
            }
            if !self.respond(&mut stream, &request).await {
                return;
            }
        }
    }

    /// Responds to one request and returns whether the connection stays open.
    async fn respond(&self, stream: &mut TcpStream, request: &ReceivedRequest) -> bool {
        let id = &request.id;
        if request.expected_server != self.params.name.as_str() {
            let head = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";
            return stream.write_all(head.as_bytes()).await.is_ok();
        }
        let (service, server) = (self.params.service.as_str(), self.params.name.as_str());
        (self.params.on_event)(ServerEvent::RequestArrived { request: id, server });
        self.arrivals.fetch_add(1, Ordering::Relaxed);
        let pending = self.pending.fetch_add(1, Ordering::Relaxed);
        let asks_pause = self.has_fault(RoutedFault::Pause);
        if asks_pause || self.has_fault(RoutedFault::Shed) || pending as usize >= MAX_PENDING {
            self.pending.fetch_sub(1, Ordering::Relaxed);
            let pause = if asks_pause {
                (self.params.on_event)(ServerEvent::PauseRequested { request: id, server });
                format!("retry-after: {}\r\n", PAUSE_MS as f64 / 1e3)
            } else {
                String::new()
            };
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nhornbeam-not-run: 1\r\n{pause}\
                 content-length: 0\r\n\r\n"
            );
            return stream.write_all(head.as_bytes()).await.is_ok();
        }
        let Ok(slot) = self.slots.acquire().await else { return false };
        (self.params.on_event)(ServerEvent::RequestStarted { request: id, service, server });
        let slow = if self.has_fault(RoutedFault::Slow) { 12 } else { 1 };
        tokio::time::sleep(self.params.work * slow).await;
        if request.path.ends_with(CRASH_PATH) {
            self.ended.send_replace(true);
            return false;
        }
        drop(slot);
        self.pending.fetch_sub(1, Ordering::Relaxed);
        let body = records(service, id);
        let leaving = if self.draining.load(Ordering::Relaxed) {
            (self.params.on_event)(ServerEvent::LeavingStated { request: id, server });
            "hornbeam-leaving: 1\r\n"
        } else {
            ""
        };
        let rate = if self.has_fault(RoutedFault::RateLimit) {
            format!("hornbeam-rate-limit: {STATED_RATE}\r\n")
        } else {
            String::new()
        };
        let status = match self.has_fault(RoutedFault::FalseRefusal) {
            true => "503 Service Unavailable",
            false => "200 OK",
        };
        let length = match self.has_fault(RoutedFault::SpoiltHead) {
            true => spoilt_length(id, body.len()),
            false => format!("content-length: {}\r\n", body.len()),
        };
        let head = format!(
            "HTTP/1.1 {status}\r\nhornbeam-request-id: {id}\r\nhornbeam-signature: {id}.{}\r\n\
             {leaving}{rate}",
            service,
        );
        if self.has_fault(RoutedFault::EndlessBody) {
            let start = head + "\r\n";
            let mut sent = stream.write_all(start.as_bytes()).await;
            for _ in 0..MAX_ENDLESS_BYTES / ENDLESS_PART.len() {
                if sent.is_err() {
                    break;
                }
                sent = stream.write_all(&ENDLESS_PART).await;
            }
            return false;
        }
        let head = head + &length + "\r\n";
        let mut response = head.into_bytes();
        response.extend_from_slice(&body);
        if self.has_fault(RoutedFault::Truncate) {
            response.truncate(response.len() - 7);
            let _ = stream.write_all(&response).await;
            return false;
        }
        if self.has_fault(RoutedFault::Reset) {
            return false;
        }
        if self.has_fault(RoutedFault::Garbage) {
            let _ = stream.write_all(b"\x16\x03\x01 no answer at all\r\n\r\n").await;
            return false;
        }
        if self.has_fault(RoutedFault::ExtraResponse) {
            let second = response.clone();
            response.extend_from_slice(&second);
        }
        stream.write_all(&response).await.is_ok()
    }
}

/// Returns lines that state the length of a body wrongly or not by the grammar; the request chooses which.
fn spoilt_length(id: &str, length: usize) -> String {
    let lines = [
        format!("content-length: {}\r\n", length - 16),
        format!("content-length: +{length}\r\n"),
        format!("content-length: {length}\r\nno field\r\n"),
        format!("content-length: {length}\r\ncontent-encoding: gzip\r\n"),
        format!("content-length: 0{length}0\r\n"),
    ];
    let choice = id.bytes().map(usize::from).sum::<usize>() % lines.len();
    lines[choice].clone()
}

/// Header values of a request that the stand-in uses.
struct ReceivedRequest {
    id: String,
    /// Path without the query string, in lower case.
    path: String,
    expected_server: String,
}

async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<ReceivedRequest> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).to_ascii_lowercase();
            let header = |name: &str| {
                let line = head.lines().find(|l| l.starts_with(name))?;
                Some(line.split_once(':')?.1.trim().to_owned())
            };
            let length: usize = header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            if buf.len() >= end + 4 + length {
                let target = head.split(' ').nth(1).unwrap_or_default();
                let path = target.split('?').next().unwrap_or_default().to_owned();
                let request = ReceivedRequest {
                    path,
                    id: header("hornbeam-request-id").unwrap_or_default(),
                    expected_server: header("hornbeam-expected-server").unwrap_or_default(),
                };
                buf.drain(..end + 4 + length);
                return Some(request);
            }
        }
        let mut part = [0; 4096];
        let n = stream.read(&mut part).await.ok().filter(|n| *n > 0)?;
        buf.extend_from_slice(&part[..n]);
    }
}
