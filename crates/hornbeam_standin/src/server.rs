//! Stand-in backend server of the query path, with its HTTP server and announcements.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hornbeam_model::search::DRAINING_HEADER;
use hornbeam_model::{
    Announcement, CancelRequest, Incarnation, IndexHolding, LoadReport, NotRunReply, RequestId,
    SearchReply, SearchRequest, ServerId, ServerState, ServiceId, ShardId, ShardReply, Zone,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use salvo::conn::Listener;
use salvo::conn::TcpListener;
use salvo::http::header::{HeaderName, HeaderValue};
use salvo::http::{Request, Response, StatusCode};
use salvo::server::ServerHandle;
use salvo::{Depot, FlowCtrl, Handler, Router, Server, async_trait};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::Snafu;
use tokio::sync::{Notify, Semaphore};

use crate::behaviour::{Behaviour, Fault};
use crate::records;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Time between announcements until a registrar requests another interval.
const DEFAULT_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time limit for one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a hanging stand-in keeps a request open.
const HANG_TIME: Duration = Duration::from_secs(3_600);

/// Reason why a stand-in cannot start.
#[derive(Debug, Snafu)]
pub enum StandInError {
    /// The address cannot be bound.
    #[snafu(display("cannot listen on {address} ({problem}): choose a free address"))]
    Bind {
        /// Address of the stand-in.
        address: SocketAddr,
        /// Message of the operating system.
        problem: String,
    },
}

/// Parameters of a stand-in.
#[derive(Clone, Debug)]
pub struct StandInParams {
    /// Name of the server.
    pub server: ServerId,
    /// Availability zone that the server announces.
    pub zone: Zone,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Address that the server listens on and announces.
    pub address: SocketAddr,
    /// Registrars that the server announces itself to, in order of preference.
    pub registrars: Vec<SocketAddr>,
    /// Searches that the server runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the server announces.
    pub connections: u32,
    /// Index versions and shards that the server holds.
    pub indexes: Vec<IndexHolding>,
    /// Response times and faults.
    pub behaviour: Behaviour,
    /// Incarnation that the server announces.
    pub incarnation: Incarnation,
    /// Seed of the random search times.
    pub seed: u64,
}

/// Counters of a stand-in since its start.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StandInReport {
    /// Searches received.
    pub received: u64,
    /// Searches run.
    pub ran: u64,
    /// Cancellations received.
    pub cancelled: u64,
    /// Remote addresses seen, that is, connections that have carried a request.
    pub connections: usize,
    /// Number of runs of each non-idempotent request.
    pub writes: HashMap<RequestId, u32>,
}

struct Shared {
    params: StandInParams,
    slots: Semaphore,
    queued: AtomicU32,
    busy: AtomicU32,
    state: Mutex<State>,
    /// Notified when an announcement must be sent without waiting for the interval.
    announce_now: Notify,
}

struct State {
    behaviour: Behaviour,
    server_state: ServerState,
    indexes: Vec<IndexHolding>,
    announcing: bool,
    rng: SmallRng,
    report: StandInReport,
    remotes: HashSet<String>,
    running: HashMap<SmolStr, Arc<Notify>>,
}

/// Handle of a running stand-in; clones share it.
#[derive(Clone)]
pub struct StandIn {
    shared: Arc<Shared>,
    server: ServerHandle,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl StandIn {
    /// Starts a stand-in on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(params: StandInParams) -> Result<Self, StandInError> {
        let address = params.address;
        let bind = TcpListener::new(address).try_bind().await;
        let acceptor = bind.map_err(|e| StandInError::Bind { address, problem: e.to_string() })?;
        let state = State {
            behaviour: params.behaviour.clone(),
            server_state: ServerState::Ready,
            indexes: params.indexes.clone(),
            announcing: true,
            rng: SmallRng::seed_from_u64(params.seed),
            report: StandInReport::default(),
            remotes: HashSet::new(),
            running: HashMap::new(),
        };
        let shared = Arc::new(Shared {
            slots: Semaphore::new(params.slots as usize),
            queued: AtomicU32::new(0),
            busy: AtomicU32::new(0),
            state: Mutex::new(state),
            announce_now: Notify::new(),
            params,
        });
        let router = Router::new()
            .push(Router::with_path("v1/search").post(Search(shared.clone())))
            .push(Router::with_path("v1/cancel").post(Cancel(shared.clone())))
            .push(Router::with_path("standin/behaviour").post(SetBehaviour(shared.clone())))
            .push(Router::with_path("standin/report").get(ShowReport(shared.clone())));
        let server = Server::new(acceptor);
        let handle = server.handle();
        tokio::spawn(server.serve(router));
        tokio::spawn(announce_forever(shared.clone()));
        Ok(Self { shared, server: handle })
    }

    /// Returns the name of the server.
    pub fn name(&self) -> &ServerId {
        &self.shared.params.server
    }

    /// Replaces the response times and the fault.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.state().behaviour = behaviour;
    }

    /// Replaces the indexes that the server holds and announces them immediately.
    pub fn set_indexes(&self, indexes: Vec<IndexHolding>) {
        self.shared.state().indexes = indexes;
        self.shared.announce_now.notify_one();
    }

    /// Begins to drain; `announce` says whether the server announces that.
    pub fn drain(&self, announce: bool) {
        let mut state = self.shared.state();
        state.server_state = ServerState::Draining;
        state.announcing = announce;
        drop(state);
        self.shared.announce_now.notify_one();
    }

    /// Stops the server like a crash: it sends no announcement and closes its connections.
    pub fn kill(&self) {
        self.shared.state().announcing = false;
        self.server.stop_forceful();
    }

    /// Returns the counters.
    pub fn report(&self) -> StandInReport {
        report(&self.shared)
    }
}

fn report(shared: &Shared) -> StandInReport {
    let state = shared.state();
    StandInReport { connections: state.remotes.len(), ..state.report.clone() }
}

#[derive(Debug, Deserialize)]
struct AnnounceReply {
    announce_every_ms: u64,
    registrars: Vec<SocketAddr>,
}

async fn announce_forever(shared: Arc<Shared>) {
    let client = reqwest::Client::builder().no_proxy().timeout(ANNOUNCE_TIMEOUT);
    let client = client.tcp_user_timeout(ANNOUNCE_TIMEOUT).tcp_keepalive(ANNOUNCE_TIMEOUT).build();
    let Ok(client) = client else { return };
    let mut registrars = shared.params.registrars.clone();
    let mut every = DEFAULT_ANNOUNCE_INTERVAL;
    for seq in 1u64.. {
        if shared.state().announcing
            && let Some(reply) = announce(&client, &shared, &mut registrars, seq).await
        {
            every = Duration::from_millis(reply.announce_every_ms);
            for registrar in reply.registrars {
                if !registrars.contains(&registrar) {
                    registrars.push(registrar);
                }
            }
        }
        tokio::select! {
            () = tokio::time::sleep(every) => {}
            () = shared.announce_now.notified() => {}
        }
    }
}

/// Announces the server to the first registrar that accepts, starting with the last one that did.
async fn announce(
    client: &reqwest::Client,
    shared: &Shared,
    registrars: &mut [SocketAddr],
    seq: u64,
) -> Option<AnnounceReply> {
    let p = &shared.params;
    let announcement = {
        let state = shared.state();
        Announcement {
            server: p.server.clone(),
            incarnation: p.incarnation,
            seq,
            address: p.address,
            zone: p.zone.clone(),
            service: p.service.clone(),
            state: state.server_state,
            slots: p.slots,
            connections: p.connections,
            indexes: state.indexes.clone(),
        }
    };
    for _ in 0..registrars.len() {
        let url = format!("http://{}/v1/announce", registrars[0]);
        match client.post(url).json(&announcement).send().await {
            Ok(reply) if reply.status().is_success() => return reply.json().await.ok(),
            Ok(reply) if reply.status().as_u16() == 409 => {
                log::warn!("{}: the registrar refused an outdated announcement", p.server);
                return None;
            }
            _ => registrars.rotate_left(1),
        }
    }
    None
}

struct Search(Arc<Shared>);

#[async_trait]
impl Handler for Search {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let remote = req.remote_addr().to_string();
        let body = req.payload_with_max_size(MAX_BODY_BYTES).await.map(|b| b.to_vec());
        let request = body.ok().and_then(|b| serde_json::from_slice::<SearchRequest>(&b).ok());
        let Some(request) = request else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        {
            let mut state = self.0.state();
            state.remotes.insert(remote);
            state.report.received += 1;
            if state.server_state == ServerState::Draining {
                let name = HeaderName::from_bytes(DRAINING_HEADER.as_bytes());
                if let Ok(name) = name {
                    res.headers_mut().insert(name, HeaderValue::from_static("true"));
                }
            }
        }
        search(&self.0, &request, res).await;
    }
}

fn write_json(res: &mut Response, status: StatusCode, body: &impl Serialize) {
    res.status_code(status);
    res.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    let _ = res.write_body(serde_json::to_vec(body).unwrap_or_default());
}

fn not_run(indexes: Option<Vec<IndexHolding>>) -> NotRunReply {
    NotRunReply { ran: Some(false), indexes }
}

async fn search(shared: &Arc<Shared>, request: &SearchRequest, res: &mut Response) {
    let (behaviour, holding, indexes) = {
        let state = shared.state();
        let holding = state.indexes.iter().find(|h| h.version == request.index_version);
        (state.behaviour.clone(), holding.cloned(), state.indexes.clone())
    };
    let holds = |h: &IndexHolding| {
        request.shards.iter().all(|s| h.shards.contains(s))
            && request.schemas.iter().all(|s| h.schemas.contains(s))
    };
    if !holding.as_ref().is_some_and(holds) {
        return write_json(res, StatusCode::CONFLICT, &not_run(Some(indexes)));
    }
    let queued = shared.queued.load(Ordering::Relaxed);
    if behaviour.fault == Fault::Shed || queued >= behaviour.max_queue {
        return write_json(res, StatusCode::SERVICE_UNAVAILABLE, &not_run(None));
    }
    let cancelled = Arc::new(Notify::new());
    shared.state().running.insert(request.attempt.clone(), cancelled.clone());
    let deadline = Duration::from_millis(request.deadline_ms);
    let work = run(shared, request, &behaviour, res);
    tokio::select! {
        () = work => {}
        () = cancelled.notified() => {
            write_json(res, StatusCode::SERVICE_UNAVAILABLE, &NotRunReply::default());
        }
        () = tokio::time::sleep(deadline), if behaviour.fault != Fault::Hang => {
            write_json(res, StatusCode::SERVICE_UNAVAILABLE, &NotRunReply::default());
        }
    }
    shared.state().running.remove(&request.attempt);
}

/// Counts a waiting or running search until it is dropped.
struct CountGuard<'a>(&'a AtomicU32);

impl<'a> CountGuard<'a> {
    fn new(counter: &'a AtomicU32) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn run(shared: &Shared, request: &SearchRequest, behaviour: &Behaviour, res: &mut Response) {
    let waiting = CountGuard::new(&shared.queued);
    let Ok(slot) = shared.slots.acquire().await else { return };
    drop(waiting);
    let busy = CountGuard::new(&shared.busy);
    let time = {
        let mut state = shared.state();
        behaviour.search_time(&mut state.rng, request.shards.count())
    };
    tokio::time::sleep(time).await;
    {
        let mut state = shared.state();
        state.report.ran += 1;
        if request.non_idempotent {
            *state.report.writes.entry(request.request.clone()).or_default() += 1;
        }
    }
    drop(busy);
    drop(slot);
    match behaviour.fault {
        Fault::Hang => tokio::time::sleep(HANG_TIME).await,
        Fault::FailAfterRun => {
            write_json(res, StatusCode::SERVICE_UNAVAILABLE, &NotRunReply::default());
        }
        Fault::Break => {
            // The body is shorter than the content length, so the connection breaks.
            res.headers_mut().insert("content-length", HeaderValue::from_static("1000"));
            let _ = res.write_body("{");
        }
        _ => write_json(res, StatusCode::OK, &reply(shared, request, behaviour)),
    }
}

fn reply(shared: &Shared, request: &SearchRequest, behaviour: &Behaviour) -> SearchReply {
    let mut version = request.index_version;
    let mut attempt = request.attempt.clone();
    let mut shards: Vec<ShardId> = request.shards.iter().collect();
    match behaviour.fault {
        Fault::WrongAttempt => attempt = SmolStr::new_static("another.attempt"),
        Fault::WrongVersion => version.0 += 1,
        Fault::WrongShard => shards.push(ShardId(shards.last().map_or(0, |s| s.0 + 1))),
        Fault::PartialReply => drop(shards.pop()),
        _ => {}
    }
    let shard_replies = shards.into_iter().map(|shard| ShardReply {
        shard,
        schemas: request.schemas.clone(),
        hits: records::search(version, shard, &request.schemas, request.limit),
    });
    let load = LoadReport {
        busy: shared.busy.load(Ordering::Relaxed),
        queued: behaviour.false_load.unwrap_or(shared.queued.load(Ordering::Relaxed)),
    };
    SearchReply {
        attempt,
        index_version: version,
        shards: shard_replies.collect(),
        load: Some(load),
    }
}

struct Cancel(Arc<Shared>);

#[async_trait]
impl Handler for Cancel {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let remote = req.remote_addr().to_string();
        let body = req.payload_with_max_size(MAX_BODY_BYTES).await.map(|b| b.to_vec());
        let request = body.ok().and_then(|b| serde_json::from_slice::<CancelRequest>(&b).ok());
        let Some(request) = request else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let mut state = self.0.state();
        state.remotes.insert(remote);
        state.report.cancelled += 1;
        if let Some(running) = state.running.get(&request.attempt) {
            running.notify_one();
        }
    }
}

struct SetBehaviour(Arc<Shared>);

#[async_trait]
impl Handler for SetBehaviour {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let body = req.payload_with_max_size(MAX_BODY_BYTES).await.map(|b| b.to_vec());
        match body.ok().and_then(|b| serde_json::from_slice::<Behaviour>(&b).ok()) {
            Some(behaviour) => self.0.state().behaviour = behaviour,
            None => {
                res.status_code(StatusCode::BAD_REQUEST);
            }
        }
    }
}

struct ShowReport(Arc<Shared>);

#[async_trait]
impl Handler for ShowReport {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        write_json(res, StatusCode::OK, &report(&self.0));
    }
}
