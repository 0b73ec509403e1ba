//! One seed from start to verdict.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hornbeam_model::{Route, RoutedService, Routing, Scatter, ServiceId, TableVersion, Target};
use rustix::process::Signal;
use tokio::sync::Mutex;

use crate::caller::{Caller, HOST, LIMIT, http, put_table};
use crate::fleet::{Fleet, ProgramKind, ZONES};
use crate::ledger::{CALM_AFTER, CompletedRequest, Ledger};
use crate::plan::{Fault, Sizes, draw_faults};
use crate::proxy::LinkState;
use hornbeam_standin::routed::{self, RoutedParams, Running, ServerEvent, ServerFault};

/// Shards of the index.
const SHARDS: usize = 5;
/// Servers of each service.
const COPIES: usize = 2;
/// Work of a server for one request.
const WORK: Duration = Duration::from_millis(4);
/// Longest time a caller is kept waiting.
pub const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Servers that one request may be sent to, for each shard.
pub const MAX_ATTEMPTS: usize = 2;
/// Time after the last fault within which requests must be served again.
const RECOVERY: Duration = Duration::from_secs(12);
/// Share of the requests that must be served once everything has recovered.
const SERVED_AFTER: f64 = 0.95;
/// Callers of each entry.
const CALLERS: usize = 3;
/// Longest time for a fleet to be ready.
const START: Duration = Duration::from_secs(20);

/// What a run is told.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub binary: PathBuf,
    /// Seed of the faults.
    pub seed: u64,
    /// Third number of the loopback addresses; runs at the same time need others.
    pub net: u8,
    /// Time in which faults begin.
    pub length: Duration,
    /// Entries and controllers.
    pub programs: (usize, usize),
}

/// What a run came to.
#[derive(Debug)]
pub struct Outcome {
    /// Broken promises.
    pub violations: Vec<String>,
    /// Requests that ended.
    pub requests: usize,
    /// Requests answered with success.
    pub served: usize,
    /// The faults, as they were played.
    pub faults: Vec<String>,
}

/// The services of the index and of single requests.
fn services() -> Vec<String> {
    let shards = (0..SHARDS).map(|i| format!("shard{i}"));
    shards.chain(["tablet".to_owned()]).collect()
}

/// The routing table of a version, with routes that differ a little from version to version.
pub fn table(version: u64) -> Vec<u8> {
    let name = |text: &str| -> ServiceId { text.parse().expect("a valid service name") };
    let route = |path: &str, idempotent: bool, target: Target| Route {
        name: format!("r-{path}").parse().expect("a valid route name"),
        host: HOST.into(),
        prefix: format!("/{path}/").into(),
        idempotent,
        timeout_ms: TIMEOUT.as_millis() as u32,
        objective_ms: 150,
        priority: 1,
        max_attempts: MAX_ATTEMPTS as u32,
        target,
    };
    let scatter = Scatter {
        shards: (0..SHARDS).map(|i| name(&format!("shard{i}"))).collect(),
        limit: LIMIT as u32,
        min_covered_ppm: 600_000,
    };
    let single = || Target::Single(name("tablet"));
    let mut routes = vec![
        route("sweep", true, Target::Scatter(scatter)),
        route("lookup", true, single()),
        route("write", false, single()),
    ];
    routes.push(route(&format!("extra{version}"), true, single()));
    let connections = RoutedService { max_connections: 26 };
    let routing = Routing {
        version: TableVersion(version),
        routes: routes.into_iter().map(Arc::new).collect(),
        services: services().iter().map(|s| (name(s), connections.clone())).collect(),
        ..Routing::default()
    };
    serde_json::to_vec(&routing).unwrap_or_default()
}

/// A fleet with its servers and callers.
pub struct FleetRun {
    /// The programs.
    pub fleet: Fleet,
    /// The stand-in servers.
    pub servers: Vec<Running>,
    /// What everybody saw.
    pub ledger: Ledger,
    apis: Arc<Vec<SocketAddr>>,
    next_server: usize,
    version: Arc<AtomicU64>,
    stopping: Arc<AtomicBool>,
}

impl FleetRun {
    /// Starts everything and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Something cannot be started, or is not ready in time.
    pub async fn start(options: &Options, folder: &Path) -> Result<Self, String> {
        let (entries, controllers) = options.programs;
        let fleet = Fleet::start(&options.binary, folder, options.net, entries, controllers).await;
        let fleet = fleet.map_err(|e| format!("the fleet cannot be started: {e}"))?;
        let apis = Arc::new(fleet.apis());
        let mut stage = Self {
            fleet,
            servers: Vec::new(),
            ledger: Ledger::default(),
            apis,
            next_server: 0,
            version: Arc::new(AtomicU64::new(1)),
            stopping: Arc::default(),
        };
        for service in services() {
            for _ in 0..COPIES {
                stage.add_server(&service).await?;
            }
        }
        let end = Instant::now() + START;
        while put_table(&stage.apis, &table(1), 0).await != Some(200) {
            if Instant::now() > end {
                return Err("no controller took the first table".to_owned());
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        stage.ledger.record_acknowledged(1);
        if !stage.fleet.wait_ready(START).await {
            return Err("an entry did not get ready".to_owned());
        }
        // Every server has announced itself by now.
        tokio::time::sleep(2 * routed::HEARTBEAT).await;
        Ok(stage)
    }

    async fn add_server(&mut self, service: &str) -> Result<(), String> {
        let n = self.next_server;
        self.next_server += 1;
        let valid = "a valid name";
        let ledger = self.ledger.clone();
        let params = RoutedParams {
            name: format!("{service}-{n}").parse().expect(valid),
            service: service.parse().expect(valid),
            zone: ZONES[n % ZONES.len()].parse().expect(valid),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            work: WORK,
            controllers: self.apis.clone(),
            on_event: Arc::new(move |event| match event {
                ServerEvent::RequestStarted { request, service, server } => {
                    ledger.record_run(request, service, server);
                }
                ServerEvent::DepartureAcknowledged { server } => ledger.record_leaving(server),
            }),
        };
        let started = routed::start(params).await;
        self.servers.push(started.map_err(|e| format!("a server cannot be started: {e}"))?);
        Ok(())
    }

    /// Starts callers that ask until the stage is stopped.
    pub fn start_callers(&self) -> Vec<tokio::task::JoinHandle<()>> {
        let mut tasks = Vec::new();
        for (i, entry) in self.fleet.callers().into_iter().enumerate() {
            for n in 0..CALLERS {
                let mut caller = Caller::new(format!("c{i}y{n}"), entry, self.ledger.clone());
                let stopping = self.stopping.clone();
                tasks.push(tokio::spawn(async move {
                    let shards = vec![services()[..SHARDS].to_vec()];
                    let mut turn = n;
                    while !stopping.load(Ordering::Relaxed) {
                        turn += 1;
                        let status = match turn % 4 {
                            0 => caller.ask("/write/1", false, &[]).await,
                            1 => caller.ask("/lookup/1", true, &[]).await,
                            _ => caller.ask("/sweep/1", true, &shards).await,
                        };
                        let pause = if status == Some(200) { 25 } else { 120 };
                        tokio::time::sleep(Duration::from_millis(pause)).await;
                    }
                }));
            }
        }
        tasks
    }

    /// Stops the callers.
    pub fn stop_callers(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Sends the next table and notes whether it was acknowledged.
    async fn send_table(&self, first: usize) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        if put_table(&self.apis, &table(version), first).await == Some(200) {
            self.ledger.record_acknowledged(version);
        }
    }

    /// Reads the table at every controller that answers.
    pub async fn read_tables(&self) -> usize {
        let mut answers = 0;
        for api in self.apis.iter() {
            let began = Instant::now();
            let read = http(*api, "GET", "/v1/routing", b"", Duration::from_secs(2)).await;
            let Some((200, body)) = read else { continue };
            match serde_json::from_slice::<Routing>(&body) {
                Ok(routing) => {
                    answers += 1;
                    self.ledger.check_read(began, routing.version.0);
                }
                Err(e) => self.ledger.violate(format!("a table was read back spoilt: {e}")),
            }
        }
        answers
    }
}

/// Plays one seed.
///
/// # Errors
///
/// The fleet cannot be started.
pub async fn run_seed(options: &Options, folder: &Path) -> Result<Outcome, String> {
    let stage = FleetRun::start(options, folder).await?;
    let (entries, controllers) = options.programs;
    let sizes = Sizes { entries, controllers, servers: stage.servers.len() };
    let plan = draw_faults(options.seed, sizes, options.length);
    let faults = plan.iter().map(|(at, f)| format!("{:6.2} s {f:?}", at.as_secs_f64())).collect();
    let callers = stage.start_callers();
    let ledger = stage.ledger.clone();
    let stage = Arc::new(Mutex::new(stage));
    let began = Instant::now();
    let mut healing = Vec::new();
    for (at, fault) in plan {
        tokio::time::sleep(at.saturating_sub(began.elapsed())).await;
        ledger.record_fault();
        healing.extend(apply(&stage, fault).await);
    }
    for task in healing {
        task.await.map_err(|e| format!("a fault could not be ended: {e}"))?;
    }
    ledger.record_fault();
    tokio::time::sleep(RECOVERY).await;
    let recovered = Instant::now();
    tokio::time::sleep(CALM_AFTER / 2).await;
    let stage = stage.lock().await;
    stage.stop_callers();
    for task in callers {
        task.await.map_err(|e| format!("a caller ended early: {e}"))?;
    }
    if stage.read_tables().await == 0 {
        ledger.violate("no controller tells the table after everything has recovered".to_owned());
    }
    let served = ledger.served_since(recovered);
    if served < SERVED_AFTER {
        ledger.violate(format!("only {served:.3} of the requests are served after the recovery"));
    }
    let ended: Vec<CompletedRequest> = ledger.completed();
    Ok(Outcome {
        violations: ledger.violations(MAX_ATTEMPTS, TIMEOUT),
        requests: ended.len(),
        served: ended.iter().filter(|e| e.status == Some(200)).count(),
        faults,
    })
}

type Healing = tokio::task::JoinHandle<()>;

/// Hurts the fleet; gives the task that ends the fault, if it lasts.
async fn apply(stage: &Arc<Mutex<FleetRun>>, fault: Fault) -> Option<Healing> {
    let mut s = stage.lock().await;
    let entries = s.fleet.of_kind(ProgramKind::Entry);
    let controllers = s.fleet.of_kind(ProgramKind::Controller);
    match fault {
        Fault::KillEntry(which) => restart(&mut s, entries[which], false).await,
        Fault::StopEntry(which) => {
            let i = entries[which];
            s.fleet.programs[i].signal(Signal::TERM);
            let stage = stage.clone();
            return Some(tokio::spawn(async move {
                tokio::time::sleep(Duration::from_secs(crate::fleet::GRACE_S)).await;
                restart(&mut *stage.lock().await, i, false).await;
            }));
        }
        Fault::Freeze { controller, which, time } => {
            let i = if controller { controllers[which] } else { entries[which] };
            s.fleet.programs[i].signal(Signal::STOP);
            return Some(later(stage, time, move |s| {
                s.fleet.programs[i].signal(Signal::CONT);
                s.ledger.record_fault();
            }));
        }
        Fault::KillController { which, wipe } => {
            restart(&mut s, controllers[which], wipe).await;
        }
        Fault::KillControllers => {
            for i in controllers {
                s.fleet.programs[i].kill().await;
                start(&mut s, i);
            }
        }
        Fault::Links { which, state, time } => {
            return Some(hurt_links(stage, &s, controllers[which], state, time));
        }
        Fault::EntryLinks { which, state, time } => {
            return Some(hurt_links(stage, &s, entries[which], state, time));
        }
        Fault::Reset(which) => s.fleet.programs[controllers[which]].links.reset(),
        Fault::ResetEntry(which) => s.fleet.programs[entries[which]].links.reset(),
        Fault::Server { which, fault, time } => {
            let server = s.servers[which].server.clone();
            server.set_fault(fault);
            return Some(later(stage, time, move |_| server.set_fault(ServerFault::None)));
        }
        Fault::Replace(which) => return replace(stage, &mut s, which).await,
        Fault::Tables(count) => {
            drop(s);
            let stage = stage.lock().await;
            let sends = (0..count).map(|first| stage.send_table(first));
            for send in sends {
                send.await;
            }
            stage.read_tables().await;
        }
    }
    None
}

/// Lets the links to a program behave badly for a time.
fn hurt_links(
    stage: &Arc<Mutex<FleetRun>>,
    s: &FleetRun,
    i: usize,
    state: LinkState,
    time: Duration,
) -> Healing {
    s.fleet.programs[i].links.set(state);
    later(stage, time, move |s| {
        s.fleet.programs[i].links.set(LinkState::Open);
        s.ledger.record_fault();
    })
}

/// Starts another server of the same service and lets one leave.
async fn replace(stage: &Arc<Mutex<FleetRun>>, s: &mut FleetRun, which: usize) -> Option<Healing> {
    let service = s.servers[which].server.params.service.to_string();
    if let Err(e) = s.add_server(&service).await {
        s.ledger.violate(e);
        return None;
    }
    let last = s.servers.len() - 1;
    s.servers.swap(which, last);
    let leaving = s.servers.pop()?;
    leaving.server.drain();
    let time = crate::ledger::DRAIN_TIME + 2 * routed::HEARTBEAT;
    Some(later(stage, time, move |_| drop(leaving)))
}

fn later(
    stage: &Arc<Mutex<FleetRun>>,
    time: Duration,
    end: impl FnOnce(&mut FleetRun) + Send + 'static,
) -> Healing {
    let stage = stage.clone();
    tokio::spawn(async move {
        tokio::time::sleep(time).await;
        end(&mut *stage.lock().await);
    })
}

async fn restart(s: &mut FleetRun, i: usize, wipe: bool) {
    s.fleet.programs[i].kill().await;
    if wipe && let Err(e) = s.fleet.programs[i].wipe() {
        s.ledger.violate(format!("a disk cannot be wiped: {e}"));
    }
    start(s, i);
    s.ledger.record_fault();
}

fn start(s: &mut FleetRun, i: usize) {
    if let Err(e) = s.fleet.start_program(i, false) {
        s.ledger.violate(format!("a program cannot be started: {e}"));
    }
}
