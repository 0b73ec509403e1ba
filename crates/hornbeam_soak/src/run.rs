//! Runs one seed: starts a fleet, injects faults under load and checks the guarantees.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hornbeam_model::{CallerLimits, Routing};
use rustix::process::Signal;
use tokio::net::TcpListener;
use tokio::sync::Mutex;

use crate::caller::{Caller, http, put_table};
use crate::fleet::{Fleet, METRICS_PORT, ProgramKind, ZONES};
use crate::ledger::{CompletedRequest, FAULT_DETECTION_TIME, Ledger, Notice};
use crate::plan::{Fault, Sizes, draw_faults};
use crate::proxy::LinkState;
use crate::tables::{MAX_ATTEMPTS, SHARDS, TIMEOUT, services, table, table_with_limits};
use hornbeam_standin::routed::{self, RoutedFault, RoutedParams, Running, ServerEvent};

/// Number of servers of each service.
const SERVERS_PER_SERVICE: usize = 2;
/// Time that a server takes for one request.
const SERVICE_TIME: Duration = Duration::from_millis(4);
/// Time after the end of the last fault by which the fleet must have recovered.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time after the last request within which entries hold no results any more: attempts may last for some
/// seconds after their requests.
const RELEASE_TIME: Duration = Duration::from_secs(6);
/// Fraction of the requests that must be served after the recovery.
const MIN_SERVED_AFTER_RECOVERY: f64 = 0.95;
/// Limit on request heads once it was raised, in bytes.
const RAISED_HEAD_LIMIT: usize = 64 << 10;
/// Length of a head beyond the first limit and within the raised one, in bytes.
const LONG_HEAD_BYTES: usize = 20 << 10;
/// A caller has a long head in each request whose number is a multiple of this.
const LONG_HEAD_INTERVAL: usize = 7;
/// Number of callers per entry.
const CALLERS_PER_ENTRY: usize = 3;
/// Time limit for the first table, and then for the readiness of the entries.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Paths of the builds of the hornbeamrun program, at least one.
    pub binaries: Vec<PathBuf>,
    /// Seed from which the faults are drawn.
    pub seed: u64,
    /// Third octet of the loopback addresses; concurrent runs need different ones.
    pub net: u8,
    /// Time during which faults are injected.
    pub length: Duration,
    /// Number of entries and number of controllers.
    pub programs: (usize, usize),
    /// Whether a proxy stands in front of each server, which [`Fault::ServerLinks`] needs. It takes
    /// milliseconds to find the entry that opened a connection.
    pub server_proxies: bool,
    /// Version of the first routing table.
    pub first_version: u64,
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Violated guarantees; empty if the run passed.
    pub violations: Vec<String>,
    /// Number of requests that ended.
    pub requests: usize,
    /// Number of requests that got a response with status 200.
    pub served: usize,
    /// Description of each injected fault, with its time.
    pub faults: Vec<String>,
}

/// Running fleet with its servers and callers.
pub struct FleetRun {
    /// Entries and controllers.
    pub fleet: Fleet,
    /// Stand-in servers.
    pub servers: Vec<Running>,
    /// Observations of callers, servers and operators.
    pub ledger: Ledger,
    apis: Arc<Vec<SocketAddr>>,
    next_server: usize,
    version: Arc<AtomicU64>,
    stopping: Arc<AtomicBool>,
    /// Limit on request heads in tables sent from now on, in bytes.
    head_limit: Arc<AtomicUsize>,
    /// First table version with the raised limit.
    raised_in: Arc<AtomicU64>,
    /// Bytes by which callers lengthen some of their heads.
    filler: Arc<AtomicUsize>,
    server_proxies: bool,
}

impl FleetRun {
    /// Starts programs and servers, stores a routing table and waits until the entries are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a program or server cannot be started or is not ready in time.
    pub async fn start(options: &Options, folder: &Path) -> Result<Self, String> {
        let (entries, controllers) = options.programs;
        let fleet =
            Fleet::start(&options.binaries, folder, options.net, entries, controllers).await;
        let fleet = fleet.map_err(|e| format!("cannot start the fleet: {e}"))?;
        let apis = Arc::new(fleet.apis());
        let mut run = Self {
            fleet,
            servers: Vec::new(),
            ledger: Ledger::default(),
            apis,
            next_server: 0,
            version: Arc::new(AtomicU64::new(options.first_version)),
            stopping: Arc::default(),
            head_limit: Arc::new(AtomicUsize::new(
                CallerLimits::default().max_header_bytes as usize,
            )),
            raised_in: Arc::new(AtomicU64::new(u64::MAX)),
            filler: Arc::default(),
            server_proxies: options.server_proxies,
        };
        for service in services() {
            for _ in 0..SERVERS_PER_SERVICE {
                run.add_server(&service).await?;
            }
        }
        let end = Instant::now() + START_TIMEOUT;
        while put_table(&run.apis, &table(options.first_version), 0).await != Some(200) {
            if Instant::now() > end {
                return Err("no controller accepted the first routing table".to_owned());
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        run.ledger.record_acknowledged(options.first_version);
        if !run.fleet.wait_ready(START_TIMEOUT).await {
            return Err("an entry did not become ready".to_owned());
        }
        // Gives every server time to announce itself.
        tokio::time::sleep(2 * routed::HEARTBEAT).await;
        Ok(run)
    }

    /// Starts another server of a service.
    ///
    /// # Errors
    ///
    /// Returns an error if its address cannot be bound.
    pub async fn add_server(&mut self, service: &str) -> Result<(), String> {
        let n = self.next_server;
        self.next_server += 1;
        let valid = "a valid name";
        let ledger = self.ledger.clone();
        let is_shard = service.starts_with("shard");
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let proxy = match self.server_proxies {
            true => Some(TcpListener::bind(listen).await),
            false => None,
        };
        let proxy = proxy.transpose().map_err(|e| format!("cannot bind a proxy: {e}"))?;
        let advertise = proxy.as_ref().and_then(|p| p.local_addr().ok());
        let params = RoutedParams {
            name: format!("{service}-{n}").parse().expect(valid),
            service: service.parse().expect(valid),
            zone: ZONES[n % ZONES.len()].parse().expect(valid),
            listen,
            advertise,
            work: SERVICE_TIME,
            controllers: self.apis.clone(),
            on_event: Arc::new(move |event| match event {
                ServerEvent::RequestStarted { request, service, server } => {
                    ledger.record_run(request, service, server);
                }
                ServerEvent::DepartureAcknowledged { server } => ledger.record_leaving(server),
                // Other entries may gather the shards of a search.
                _ if is_shard => {}
                ServerEvent::RequestArrived { request, server } => {
                    ledger.record_arrival(request, server);
                }
                ServerEvent::PauseRequested { request, server } => {
                    ledger.record_notice(request, server, Notice::Pause(routed::PAUSE_MS));
                }
                ServerEvent::LeavingStated { request, server } => {
                    ledger.record_notice(request, server, Notice::Leaving);
                }
            }),
        };
        let started = routed::start(params).await;
        let mut running = started.map_err(|e| format!("cannot start a server: {e}"))?;
        if let Some(proxy) = proxy {
            let (links, server) = (self.fleet.entry_links.clone(), running.server.clone());
            let forward = async move { links.proxy(proxy, server.listen_address).await };
            let forward = running.server.clone().until_end(forward);
            running.add_task(tokio::spawn(forward).abort_handle());
        }
        self.servers.push(running);
        Ok(())
    }

    /// Starts callers that send requests until [`Self::stop_callers`] is called.
    pub fn start_callers(&self) -> Vec<tokio::task::JoinHandle<()>> {
        let mut tasks = Vec::new();
        for (i, entry) in self.fleet.callers().into_iter().enumerate() {
            for n in 0..CALLERS_PER_ENTRY {
                let mut caller = Caller::new(format!("c{i}y{n}"), entry, self.ledger.clone());
                let (stopping, filler) = (self.stopping.clone(), self.filler.clone());
                tasks.push(tokio::spawn(async move {
                    let shards = vec![services()[..SHARDS].to_vec()];
                    let mut turn = n;
                    while !stopping.load(Ordering::Relaxed) {
                        turn += 1;
                        let is_long = turn % LONG_HEAD_INTERVAL == 0;
                        let filler = if is_long { filler.load(Ordering::Relaxed) } else { 0 };
                        caller.lengthen_heads(filler);
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

    /// Stops the callers after their current requests.
    pub fn stop_callers(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Lets callers send long heads, if no table with the first limit can be in force any more.
    fn lengthen_heads(&self) {
        if self.ledger.acknowledged() >= self.raised_in.load(Ordering::Relaxed) {
            self.filler.store(LONG_HEAD_BYTES, Ordering::Relaxed);
        }
    }

    /// Sends the next routing table, to controller `first` first, and records whether it was
    /// acknowledged.
    async fn send_table(&self, first: usize) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let max_header_bytes = self.head_limit.load(Ordering::Relaxed) as u32;
        let limits = CallerLimits { max_header_bytes, ..CallerLimits::default() };
        let table = table_with_limits(version, limits);
        if put_table(&self.apis, &table, first).await == Some(200) {
            self.ledger.record_acknowledged(version);
        }
    }

    /// Waits until no entry holds a result for a request, since there is none; returns what is held after
    /// [`RELEASE_TIME`].
    async fn held_results(&self) -> Option<String> {
        let end = Instant::now() + RELEASE_TIME;
        for entry in self.fleet.programs.iter().filter(|p| p.kind == ProgramKind::Entry) {
            let address = SocketAddr::new(entry.bind, METRICS_PORT);
            loop {
                let read = http(address, "GET", "/metrics", b"", Duration::from_secs(1)).await;
                let text = read.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
                let gauge = |l: &str| l.strip_prefix("hornbeam_entry_held_results ")?.parse().ok();
                // Earlier builds do not have it.
                let held: u64 = text.and_then(|t| t.lines().find_map(gauge)).unwrap_or(0);
                if held == 0 {
                    break;
                }
                if Instant::now() > end {
                    return Some(format!("{} holds {held} results without a request", entry.name));
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        None
    }

    /// Reads the routing table from every controller, checks its version and returns the number of
    /// controllers that responded.
    pub async fn read_tables(&self) -> usize {
        let mut responses = 0;
        for api in self.apis.iter() {
            let began = Instant::now();
            let read = http(*api, "GET", "/v1/routing", b"", Duration::from_secs(2)).await;
            let Some((200, body)) = read else { continue };
            match serde_json::from_slice::<Routing>(&body) {
                Ok(routing) => {
                    responses += 1;
                    self.ledger.check_read(began, routing.version.0);
                }
                Err(e) => self.ledger.record_violation(format!(
                    "a controller returned an invalid routing table: {e}"
                )),
            }
        }
        responses
    }
}

/// Runs one seed, with the files of the programs in `folder`.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started, or if a task that ends a fault or a caller
/// panics.
pub async fn run_seed(options: &Options, folder: &Path) -> Result<Outcome, String> {
    let run = FleetRun::start(options, folder).await?;
    let (entries, controllers) = options.programs;
    let sizes = Sizes { entries, controllers, servers: run.servers.len() };
    let mut plan = draw_faults(options.seed, sizes, options.length);
    if options.binaries.len() > 1 {
        // Earlier builds pass on responses whose heads are spoilt.
        let is_spoilt =
            |f: &Fault| matches!(f, Fault::Server { fault: RoutedFault::SpoiltHead, .. });
        plan.retain(|(_, fault)| !is_spoilt(fault));
    }
    let faults = plan.iter().map(|(at, f)| format!("{:6.2} s {f:?}", at.as_secs_f64())).collect();
    let callers = run.start_callers();
    let ledger = run.ledger.clone();
    let shared = Arc::new(Mutex::new(run));
    let began = Instant::now();
    let mut recoveries = Vec::new();
    for (at, fault) in plan {
        tokio::time::sleep(at.saturating_sub(began.elapsed())).await;
        ledger.record_fault();
        recoveries.extend(apply(&shared, fault).await);
    }
    for task in recoveries {
        task.await.map_err(|e| format!("cannot end a fault: {e}"))?;
    }
    ledger.record_fault();
    tokio::time::sleep(FAULT_DETECTION_TIME).await;
    // Only now is a refusal of a long head a violation; the first one ends its connection.
    shared.lock().await.lengthen_heads();
    tokio::time::sleep(RECOVERY_TIME - FAULT_DETECTION_TIME).await;
    let recovered = Instant::now();
    tokio::time::sleep(FAULT_DETECTION_TIME / 2).await;
    let run = shared.lock().await;
    run.stop_callers();
    for task in callers {
        task.await.map_err(|e| format!("a caller panicked: {e}"))?;
    }
    if run.read_tables().await == 0 {
        ledger.record_violation(
            "no controller returns the routing table after the recovery".to_owned(),
        );
    }
    if let Some(held) = run.held_results().await {
        ledger.record_violation(held);
    }
    let served = ledger.served_since(recovered);
    if served < MIN_SERVED_AFTER_RECOVERY {
        ledger.record_violation(format!(
            "only {served:.3} of the requests were served after the recovery"
        ));
    }
    let completed: Vec<CompletedRequest> = ledger.completed();
    Ok(Outcome {
        violations: ledger.violations(MAX_ATTEMPTS, TIMEOUT),
        requests: completed.len(),
        served: completed.iter().filter(|e| e.status == Some(200)).count(),
        faults,
    })
}

type RecoveryTask = tokio::task::JoinHandle<()>;

/// Injects a fault; returns the task that ends it if it lasts.
async fn apply(shared: &Arc<Mutex<FleetRun>>, fault: Fault) -> Option<RecoveryTask> {
    let mut run = shared.lock().await;
    let entries = run.fleet.of_kind(ProgramKind::Entry);
    let controllers = run.fleet.of_kind(ProgramKind::Controller);
    match fault {
        Fault::KillEntry(which) => restart_program(&mut run, entries[which], false).await,
        Fault::StopEntry(which) => {
            let i = entries[which];
            run.fleet.programs[i].signal(Signal::TERM);
            let shared = shared.clone();
            return Some(tokio::spawn(async move {
                tokio::time::sleep(Duration::from_secs(crate::fleet::GRACE_S)).await;
                restart_program(&mut *shared.lock().await, i, false).await;
            }));
        }
        Fault::Freeze { controller, which, time } => {
            let i = if controller { controllers[which] } else { entries[which] };
            run.fleet.programs[i].signal(Signal::STOP);
            return Some(run_after(shared, time, move |run| {
                run.fleet.programs[i].signal(Signal::CONT);
                run.ledger.record_fault();
            }));
        }
        Fault::KillController { which, wipe } => {
            restart_program(&mut run, controllers[which], wipe).await;
        }
        Fault::KillControllers => {
            for i in controllers {
                run.fleet.programs[i].kill().await;
                start_program(&mut run, i);
            }
        }
        Fault::LosePower { outage } => {
            for i in 0..run.fleet.programs.len() {
                run.fleet.programs[i].signal(Signal::KILL);
            }
            for i in 0..run.fleet.programs.len() {
                run.fleet.programs[i].kill().await;
            }
            tokio::time::sleep(outage).await;
            for i in 0..run.fleet.programs.len() {
                restart_program(&mut run, i, false).await;
            }
        }
        Fault::Links { which, state, time } => {
            return Some(set_links_for(shared, &run, controllers[which], state, time));
        }
        Fault::EntryLinks { which, state, time } => {
            return Some(set_links_for(shared, &run, entries[which], state, time));
        }
        Fault::ServerLinks { which, state, reset, time } => {
            let links = run.fleet.programs[entries[which]].server_links.clone();
            links.set(state);
            if reset {
                links.reset();
            }
            return Some(run_after(shared, time, move |run| {
                links.set(LinkState::Open);
                run.ledger.record_fault();
            }));
        }
        Fault::Reset(which) => run.fleet.programs[controllers[which]].links.reset(),
        Fault::ResetEntry(which) => run.fleet.programs[entries[which]].links.reset(),
        Fault::Server { which, fault, time } => {
            let server = run.servers[which].server.clone();
            server.set_fault(fault);
            return Some(run_after(shared, time, move |_| server.set_fault(RoutedFault::None)));
        }
        Fault::RaiseLimit => {
            run.head_limit.store(RAISED_HEAD_LIMIT, Ordering::Relaxed);
            let next_version = run.version.load(Ordering::Relaxed) + 1;
            run.raised_in.store(next_version, Ordering::Relaxed);
            run.send_table(0).await;
        }
        Fault::Replace(which) => return replace_server(shared, &mut run, which).await,
        Fault::Tables(count) => {
            drop(run);
            let run = shared.lock().await;
            let sends = (0..count).map(|first| run.send_table(first));
            for send in sends {
                send.await;
            }
            run.read_tables().await;
        }
    }
    None
}

/// Sets the state of the links to a program for a time.
fn set_links_for(
    shared: &Arc<Mutex<FleetRun>>,
    run: &FleetRun,
    i: usize,
    state: LinkState,
    time: Duration,
) -> RecoveryTask {
    run.fleet.programs[i].links.set(state);
    run_after(shared, time, move |run| {
        run.fleet.programs[i].links.set(LinkState::Open);
        run.ledger.record_fault();
    })
}

/// Starts a new server of the same service and drains the old one, which is stopped after the drain
/// time.
async fn replace_server(
    shared: &Arc<Mutex<FleetRun>>,
    run: &mut FleetRun,
    which: usize,
) -> Option<RecoveryTask> {
    let service = run.servers[which].server.params.service.to_string();
    if let Err(e) = run.add_server(&service).await {
        run.ledger.record_violation(e);
        return None;
    }
    let last = run.servers.len() - 1;
    run.servers.swap(which, last);
    let leaving = run.servers.pop()?;
    leaving.server.drain();
    let time = crate::ledger::DRAIN_TIME + 2 * routed::HEARTBEAT;
    Some(run_after(shared, time, move |_| drop(leaving)))
}

fn run_after(
    shared: &Arc<Mutex<FleetRun>>,
    time: Duration,
    end: impl FnOnce(&mut FleetRun) + Send + 'static,
) -> RecoveryTask {
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep(time).await;
        end(&mut *shared.lock().await);
    })
}

async fn restart_program(run: &mut FleetRun, i: usize, wipe: bool) {
    run.fleet.programs[i].kill().await;
    if wipe && let Err(e) = run.fleet.programs[i].wipe() {
        run.ledger.record_violation(format!("cannot delete the data of a program: {e}"));
    }
    start_program(run, i);
    run.ledger.record_fault();
    let entries = run.fleet.of_kind(ProgramKind::Entry);
    if let Some(entry) = entries.iter().position(|e| *e == i) {
        run.ledger.record_restart(entry);
    }
}

fn start_program(run: &mut FleetRun, i: usize) {
    if let Err(e) = run.fleet.start_program(i, false) {
        run.ledger.record_violation(format!("cannot start a program: {e}"));
    }
}
