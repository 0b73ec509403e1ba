//! Stand-in backend servers of routed requests: they announce themselves, answer with a signature and
//! misbehave on demand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hornbeam_model::{Incarnation, ServerId, ServiceId, Zone};
use hornbeam_protocol::discovery::{ClaimOrder, LifeStage, ServerClaim, ServerInfo};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;

/// What a stand-in tells of itself.
#[derive(Clone, Copy, Debug)]
pub enum ServerEvent<'a> {
    /// It begins to work on a request.
    RequestStarted {
        /// Id of the request.
        request: &'a str,
        /// The stand-in's service.
        service: &'a str,
        /// The stand-in.
        server: &'a str,
    },
    /// A controller has acknowledged that it leaves.
    DepartureAcknowledged {
        /// The stand-in.
        server: &'a str,
    },
}

/// Takes what a stand-in tells of itself.
pub type EventHandler = Arc<dyn Fn(ServerEvent<'_>) + Send + Sync>;

/// What a stand-in is like.
#[derive(Clone)]
pub struct RoutedParams {
    /// Its name.
    pub name: ServerId,
    /// Its service.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Time of a request.
    pub work: Duration,
    /// Controllers that it sends heartbeats to.
    pub controllers: Arc<Vec<SocketAddr>>,
    /// Who is told.
    pub on_event: EventHandler,
}

/// Time between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(400);
/// Longest wait for the acknowledgement of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests that a server works on at once.
pub const SLOTS: u32 = 2;
/// Requests that wait at most; more are refused as not run.
const QUEUE: usize = 12;
/// Records in each part.
const RECORDS: u8 = 6;

/// How a server misbehaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u32)]
pub enum ServerFault {
    /// Answers as it should.
    None,
    /// Answers nothing.
    Unresponsive,
    /// Takes long.
    Slow,
    /// Refuses without running.
    Shed,
    /// Breaks its answers off.
    Truncate,
    /// Sends a second answer behind each.
    ExtraResponse,
    /// Runs requests and resets the connection instead of answering.
    Reset,
    /// Sends bytes that are no answer.
    Garbage,
}

/// Every fault but the first.
pub const SERVER_FAULTS: [ServerFault; 7] = [
    ServerFault::Unresponsive,
    ServerFault::Slow,
    ServerFault::Shed,
    ServerFault::Truncate,
    ServerFault::ExtraResponse,
    ServerFault::Reset,
    ServerFault::Garbage,
];

/// One stand-in.
pub struct Server {
    /// What it is like.
    pub params: RoutedParams,
    address: SocketAddr,
    fault: AtomicU32,
    draining: AtomicBool,
    incarnation: u64,
    /// Requests that work or wait.
    pending: AtomicU32,
    slots: Semaphore,
    client: reqwest::Client,
}

/// A running stand-in; it ends when dropped.
pub struct Running {
    /// The stand-in.
    pub server: Arc<Server>,
    tasks: Vec<AbortHandle>,
}

impl Drop for Running {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Starts a stand-in that announces itself to controllers.
///
/// # Errors
///
/// Its address cannot be bound.
pub async fn start(params: RoutedParams) -> std::io::Result<Running> {
    let listener = TcpListener::bind(params.listen).await?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let server = Arc::new(Server {
        address: listener.local_addr()?,
        params,
        fault: AtomicU32::new(0),
        draining: AtomicBool::new(false),
        incarnation: now.as_millis() as u64,
        pending: AtomicU32::new(0),
        slots: Semaphore::new(SLOTS as usize),
        client: reqwest::Client::builder().no_proxy().build().unwrap_or_default(),
    });
    let accept = tokio::spawn(server.clone().accept(listener)).abort_handle();
    let announce = tokio::spawn(server.clone().announce()).abort_handle();
    Ok(Running { server, tasks: vec![accept, announce] })
}

/// The records of a service for a request, greatest last.
pub fn records(service: &str, id: &str) -> Vec<u8> {
    let mut records = Vec::new();
    for n in 0..RECORDS {
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
    /// Sets how it behaves.
    pub fn set_fault(&self, fault: ServerFault) {
        self.fault.store(fault as u32, Ordering::Relaxed);
    }

    fn has_fault(&self, fault: ServerFault) -> bool {
        self.fault.load(Ordering::Relaxed) == fault as u32
    }

    /// Says that it leaves, from the next heartbeat on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    async fn announce(self: Arc<Self>) {
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
                if self.beat(controller, &claim).await {
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

    /// Sends one heartbeat; true if it was acknowledged.
    async fn beat(&self, controller: SocketAddr, claim: &ServerClaim) -> bool {
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
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut buf = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buf).await {
            if self.has_fault(ServerFault::Unresponsive) {
                return std::future::pending().await;
            }
            if !self.answer(&mut stream, &request).await {
                return;
            }
        }
    }

    /// Answers one request; false if the connection ends with it.
    async fn answer(&self, stream: &mut TcpStream, request: &ReceivedRequest) -> bool {
        let id = &request.id;
        if request.expected != self.params.name.as_str() {
            let head = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";
            return stream.write_all(head.as_bytes()).await.is_ok();
        }
        let pending = self.pending.fetch_add(1, Ordering::Relaxed);
        if self.has_fault(ServerFault::Shed) || pending as usize >= QUEUE {
            self.pending.fetch_sub(1, Ordering::Relaxed);
            let head = "HTTP/1.1 503 Service Unavailable\r\nhornbeam-not-run: 1\r\n\
                        content-length: 0\r\n\r\n";
            return stream.write_all(head.as_bytes()).await.is_ok();
        }
        let Ok(slot) = self.slots.acquire().await else { return false };
        let (service, server) = (self.params.service.as_str(), self.params.name.as_str());
        (self.params.on_event)(ServerEvent::RequestStarted { request: id, service, server });
        let slow = if self.has_fault(ServerFault::Slow) { 12 } else { 1 };
        tokio::time::sleep(self.params.work * slow).await;
        drop(slot);
        self.pending.fetch_sub(1, Ordering::Relaxed);
        let body = records(service, id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nhornbeam-request-id: {id}\r\nhornbeam-signature: {id}.{}\r\n\
             content-length: {}\r\n\r\n",
            service,
            body.len()
        );
        let mut answer = head.into_bytes();
        answer.extend_from_slice(&body);
        if self.has_fault(ServerFault::Truncate) {
            answer.truncate(answer.len() - 7);
            let _ = stream.write_all(&answer).await;
            return false;
        }
        if self.has_fault(ServerFault::Reset) {
            return false;
        }
        if self.has_fault(ServerFault::Garbage) {
            let _ = stream.write_all(b"\x16\x03\x01 no answer at all\r\n\r\n").await;
            return false;
        }
        if self.has_fault(ServerFault::ExtraResponse) {
            let second = answer.clone();
            answer.extend_from_slice(&second);
        }
        stream.write_all(&answer).await.is_ok()
    }
}

/// A request as a stand-in reads it.
struct ReceivedRequest {
    id: String,
    expected: String,
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
                let asked = ReceivedRequest {
                    id: header("hornbeam-request-id").unwrap_or_default(),
                    expected: header("hornbeam-expected-server").unwrap_or_default(),
                };
                buf.drain(..end + 4 + length);
                return Some(asked);
            }
        }
        let mut part = [0; 4096];
        let n = stream.read(&mut part).await.ok().filter(|n| *n > 0)?;
        buf.extend_from_slice(&part[..n]);
    }
}
