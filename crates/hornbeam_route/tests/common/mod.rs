//! Simulation of engines and servers with slots, queues, pauses and faults, in virtual time.

#![allow(dead_code, unused_imports)]

mod cold;
mod crashes;
pub mod harness;
mod links;
mod rates;
mod routes;
mod sim_server;
mod sites;
mod teams;
mod zone_orders;
mod zones;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hornbeam_discovery::RateReports;
use hornbeam_model::{
    AttemptId, Fingerprint, Mono, QueryId, RateReport, RequestRate, Route, RoutedService, Routing,
    ServerId, ServiceId, TableVersion, TeamId,
};
use hornbeam_route::{
    Attempt, AttemptOutcome, Completion, Decision, Delegation, Engine, GroupEvent, GroupReport,
    GroupRequest, Input, LeavingServer, Output, Peer, ServerChange,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use links::LinkFault;
pub use rates::ReportFaults;
use routes::{ZONES, engine_params, entry_name, entry_number, usable};
pub use routes::{budget, scatter, service, single};
pub use sim_server::{Fault, SimServer};
pub use sites::{
    CHECKS_PER_SECOND, CONSORTIUM, FURNACE, HANAK, SWEEPS_PER_SECOND, Site, run_searches, warm_up,
};
pub use zone_orders::zone_orders;
pub use zones::{SentAttempt, ZONE_SITE, run_zones};

/// One-way network latency between two instances.
const ONE_WAY_LATENCY: Duration = Duration::from_micros(400);

/// Interval in which entries hear the request rate of all entries.
const DEMAND_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Time in which a refusal reaches its caller and the next request reaches an entry.
const CALLER_LATENCY: Duration = Duration::from_millis(2);

/// An entry and one of its attempts.
type AttemptKey = (usize, AttemptId);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A caller sends a request on a route to a random entry.
    Request(usize),
    /// A request on a route arrives at an entry.
    EntryRequest(usize, usize),
    AttemptArrival(usize, AttemptKey, QueryId, Duration),
    WorkDone(usize, AttemptKey),
    /// A server stops work on an attempt at its deadline.
    WorkExpired(usize, AttemptKey),
    /// An attempt at a server ends; the number is a position in the list of outcomes.
    AttemptFinished(AttemptKey, usize, u8),
    Wake(usize),
    /// A caller whose request on a route arrived first at this time sends it again.
    CallerReturns(usize, Mono),
    /// Every entry hears the request rate of all entries.
    ReportDemand,
    /// Every entry hears the rates that servers state.
    ReportRates,
    /// Reports of stated rates, by their number, arrive at an entry.
    RatesArrive(usize, u64),
    /// A server has started again after its end.
    ServerStarts(usize),
    /// A restarted entry hears its controllers.
    Sync(usize),
    /// A server accepts a connection of an entry.
    ServerProbed(usize),
    /// The message with this number arrives at an entry.
    PeerMessage(usize, u64),
}

/// A message between entries.
#[derive(Clone, Debug)]
enum PeerMessage {
    Gather(usize, Delegation),
    Cancel(usize, AttemptId),
    Confirm(usize, AttemptId),
    GroupEvent(AttemptId, GroupEvent),
    ServersLeaving(Vec<LeavingServer>),
    Accepting(usize),
    Declining(usize),
    Probe(usize),
}

/// Fault of a simulated entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EntryFault {
    /// Works normally.
    None,
    /// Handles no events, while its connections stay open.
    Frozen,
    /// Declines groups.
    Leaving,
    /// Starts to gather groups, but its reports are lost.
    ReportsLost,
}

/// A request that has ended.
#[derive(Clone, Debug)]
pub struct EndedRequest {
    pub key: QueryId,
    pub route: usize,
    /// Entry that the request arrived at.
    pub entry: usize,
    pub latency: Duration,
    pub completion: Completion,
    pub responses: usize,
}

/// Entries and servers in virtual time.
pub struct World {
    pub now: Mono,
    pub engines: Vec<Engine>,
    pub servers: Vec<SimServer>,
    pub ended: Vec<EndedRequest>,
    pub decisions: Vec<(Mono, Decision)>,
    /// Mean processing time of a request, by route.
    work: Vec<Duration>,
    paths: Vec<String>,
    table: Arc<Routing>,
    routes: Vec<Route>,
    /// Teams of the callers, by route; empty without teams.
    teams: Vec<TeamId>,
    by_name: BTreeMap<ServerId, usize>,
    /// Servers of each service that accepted a caller's request.
    servers_reached: HashMap<(QueryId, String), HashSet<usize>>,
    /// Caller's request that each group belongs to.
    origin_requests: HashMap<QueryId, QueryId>,
    /// Route and start time of each running request and group.
    running: HashMap<QueryId, (usize, Mono)>,
    /// CPU time of an entry for each input and each message that it sends.
    pub entry_work: Duration,
    pub entry_faults: Vec<EntryFault>,
    /// Faults of the links between entries and servers.
    links: HashMap<(usize, usize), LinkFault>,
    /// Number of zones that entries and servers are in.
    zones: usize,
    /// Round trip to another zone in addition to that within a zone.
    pub zone_round_trip: Duration,
    /// Attempts of entries, as far as they are recorded.
    pub sent: Option<Vec<SentAttempt>>,
    /// True if callers send a refused request again, once, after the stated retry delay.
    pub callers_return: bool,
    /// Requests that were sent again after a refusal.
    returned: HashSet<QueryId>,
    /// An entry and the fraction of all requests that goes to it beside its part of the others.
    pub preferred_entry: Option<(usize, f64)>,
    busy_until: Vec<Mono>,
    peer_messages: HashMap<u64, PeerMessage>,
    /// The controller's view of stated rates, and its messages about them.
    rate_reports: RateReports,
    rate_messages: HashMap<u64, Vec<RateReport>>,
    report_faults: ReportFaults,
    /// Content of the requests that are sent from now on; each has its own if there is none.
    pub content: Option<u64>,
    contents: HashMap<QueryId, u64>,
    /// Attempts that end their servers.
    crashing: HashSet<AttemptKey>,
    /// Entries that have delegated a group, with the one that gathered it; if set, entries announce to these
    /// alone whether they gather groups, as on the connections that they have.
    pub connected: Option<HashSet<(usize, usize)>>,
    /// Origin entry and group, by the key of the group at its gathering entry.
    gathers: HashMap<QueryId, (usize, AttemptId)>,
    delegations: HashMap<(usize, AttemptId), (usize, QueryId)>,
    aborted: HashSet<AttemptKey>,
    events: BinaryHeap<Reverse<(Mono, u64, Event)>>,
    seq: u64,
    wake_at: Vec<Option<Mono>>,
    next_key: u64,
    rng: SmallRng,
}

impl World {
    /// Creates `copies` servers for each service of the routes; `work` is the mean processing time
    /// of a request, by route.
    pub fn new(
        seed: u64,
        entries: usize,
        routes: Vec<Route>,
        work: Vec<Duration>,
        copies: usize,
    ) -> Self {
        Self::in_zones(2, seed, entries, routes, work, copies)
    }

    /// Reports the request rate of all entries to each of them from now on.
    pub fn report_demand(&mut self) {
        self.schedule(self.now, Event::ReportDemand);
    }

    /// Creates a world whose entries and copies are spread over this number of zones.
    pub fn in_zones(
        zones: usize,
        seed: u64,
        entries: usize,
        routes: Vec<Route>,
        work: Vec<Duration>,
        copies: usize,
    ) -> Self {
        let mut world = Self {
            // Later than the window in which the allowance of a new entry grows.
            now: Mono::from_millis(20_000),
            engines: (0..entries).map(|i| Engine::new(engine_params(i, zones, seed))).collect(),
            servers: Vec::new(),
            ended: Vec::new(),
            decisions: Vec::new(),
            work,
            table: Arc::default(),
            paths: routes.iter().map(|r| format!("{}x", r.prefix)).collect(),
            teams: Vec::new(),
            by_name: BTreeMap::new(),
            servers_reached: HashMap::new(),
            origin_requests: HashMap::new(),
            running: HashMap::new(),
            entry_work: Duration::ZERO,
            entry_faults: vec![EntryFault::None; entries],
            links: HashMap::new(),
            zones,
            zone_round_trip: Duration::ZERO,
            sent: None,
            callers_return: false,
            returned: HashSet::new(),
            preferred_entry: None,
            busy_until: vec![Mono::default(); entries],
            peer_messages: HashMap::new(),
            rate_reports: RateReports::default(),
            rate_messages: HashMap::new(),
            report_faults: ReportFaults::default(),
            content: None,
            contents: HashMap::new(),
            crashing: HashSet::new(),
            connected: None,
            gathers: HashMap::new(),
            delegations: HashMap::new(),
            aborted: HashSet::new(),
            events: BinaryHeap::new(),
            seq: 0,
            wake_at: vec![None; entries],
            next_key: 1,
            rng: SmallRng::seed_from_u64(seed),
            routes: routes.clone(),
        };
        let mut services: Vec<ServiceId> =
            routes.iter().flat_map(|r| r.services().into_iter().cloned()).collect();
        services.sort();
        services.dedup();
        world.set_table(1, routes, &services);
        for i in 0..entries {
            world.step(i, Input::EntryCount(entries as u32));
        }
        for service in &services {
            for copy in 0..copies {
                world.add_server(service, copy);
            }
        }
        world
    }

    fn set_table(&mut self, version: u64, routes: Vec<Route>, services: &[ServiceId]) {
        let connections = RoutedService { max_connections: 26 };
        let table = Routing {
            version: TableVersion(version),
            routes: routes.into_iter().map(Arc::new).collect(),
            services: services.iter().map(|s| (s.clone(), connections.clone())).collect(),
            ..Routing::default()
        };
        let table = Arc::new(table);
        self.table = table.clone();
        for i in 0..self.engines.len() {
            self.step(i, Input::Table(table.clone()));
        }
    }

    fn add_server(&mut self, service: &ServiceId, copy: usize) {
        let name: ServerId = format!("{service}-{copy}").parse().unwrap();
        let phase = Duration::from_micros(self.rng.random_range(0..2_400_000));
        let speed = [0.8, 1.0, 1.3][self.rng.random_range(0..3)];
        self.by_name.insert(name.clone(), self.servers.len());
        self.servers.push(SimServer {
            name: name.clone(),
            incarnation: 1,
            slots: 2,
            fault: Fault::None,
            leaving: false,
            pauses: None,
            phase,
            speed,
            slowdown_when_full: 1.0,
            running: Vec::new(),
            queue: VecDeque::new(),
            queue_limit: 12,
            arrivals: 0,
            states_load: false,
            cold_until: Mono::default(),
            warm_up: None,
            rate: None,
            arrived_at: Vec::new(),
        });
        self.announce_server(self.servers.len() - 1);
    }

    /// Announces a server to every entry.
    fn announce_server(&mut self, server: usize) {
        for i in 0..self.engines.len() {
            let change = self.announcement(server);
            self.step(i, Input::Servers(vec![change]));
        }
    }

    fn announcement(&self, server: usize) -> ServerChange {
        let SimServer { name, slots, incarnation, .. } = &self.servers[server];
        let (service, copy) = name.as_str().rsplit_once('-').expect("named by add_server");
        let left = self.servers[server].cold_until.since(self.now);
        let usable = usable(
            name,
            service.parse().unwrap(),
            copy.parse().unwrap(),
            *slots,
            self.zones,
            *incarnation,
        );
        cold::with_warm_up(usable, left)
    }

    /// Sets the number of requests that each server processes concurrently.
    pub fn set_slots(&mut self, slots: usize) {
        for server in 0..self.servers.len() {
            self.servers[server].slots = slots;
            self.announce_server(server);
        }
    }

    /// Sends the routing table, the number of entries and the servers to an entry that has just
    /// started.
    pub fn sync_entry(&mut self, entry: usize) {
        for server in 0..self.servers.len() {
            let change = self.announcement(server);
            self.step(entry, Input::Servers(vec![change]));
        }
        self.step(entry, Input::EntryCount(self.engines.len() as u32));
        self.step(entry, Input::Table(self.table.clone()));
    }

    /// Restarts every entry; each knows servers and table again after `sync_time`.
    pub fn restart_entries(&mut self, sync_time: Duration) {
        for entry in 0..self.engines.len() {
            let at = self.now + sync_time;
            self.engines[entry] = Engine::new(engine_params(entry, self.zones, self.next_key));
            self.schedule(at, Event::Sync(entry));
        }
        // The requests that were running are lost with their connections.
        self.running.clear();
        let events = std::mem::take(&mut self.events);
        let is_kept = |e: &Event| {
            !matches!(
                e,
                Event::AttemptArrival(..)
                    | Event::WorkDone(..)
                    | Event::WorkExpired(..)
                    | Event::AttemptFinished(..)
            )
        };
        self.events = events.into_iter().filter(|Reverse((_, _, e))| is_kept(e)).collect();
        for server in &mut self.servers {
            server.running.clear();
            server.queue.clear();
        }
    }

    /// Makes all servers pause periodically.
    pub fn set_pauses(&mut self, every: Duration, length: Duration) {
        for server in &mut self.servers {
            server.pauses = Some((every, length));
        }
    }

    /// Sets the fault of every server of a service.
    pub fn set_fault(&mut self, service: &str, fault: Fault) {
        let prefix = format!("{service}-");
        for server in &mut self.servers {
            if server.name.as_str().starts_with(&prefix) {
                server.fault = fault;
            }
        }
    }

    /// Makes every server of a service shed all requests and ask for a pause.
    pub fn set_shed_pause(&mut self, service: &str, time: Duration) {
        self.set_fault(service, Fault::Pause(time));
    }

    /// Makes a server state in its responses that it is leaving.
    pub fn set_leaving(&mut self, server: &str) {
        let name: ServerId = server.parse().unwrap();
        self.servers[self.by_name[&name]].leaving = true;
    }

    /// Number of requests that arrived at the servers of a service.
    pub fn arrivals(&self, service: &str) -> u64 {
        let prefix = format!("{service}-");
        let of_service = self.servers.iter().filter(|s| s.name.as_str().starts_with(&prefix));
        of_service.map(|s| s.arrivals).sum()
    }

    /// Number of requests that arrived at the servers whose names end like this.
    pub fn arrivals_of(&self, suffix: &str) -> u64 {
        let matching = self.servers.iter().filter(|s| s.name.as_str().ends_with(suffix));
        matching.map(|s| s.arrivals).sum()
    }

    /// Sets the fault of one server.
    pub fn set_server_fault(&mut self, server: &str, fault: Fault) {
        let name: ServerId = server.parse().unwrap();
        let idx = self.by_name[&name];
        self.servers[idx].fault = fault;
    }

    fn schedule(&mut self, at: Mono, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at, self.seq, event)));
    }

    /// Schedules requests of one route at a steady mean rate, starting now.
    pub fn schedule_load(&mut self, route: usize, per_second: f64, time: Duration) {
        let gap = Duration::from_secs_f64(1.0 / per_second);
        let mut at = self.now + gap.mul_f64(self.rng.random_range(0.0..1.0));
        let until = self.now + time;
        while at < until {
            self.schedule(at, Event::Request(route));
            at = at + gap.mul_f64(self.rng.random_range(0.5..1.5));
        }
    }

    /// Handles the events of the next `time` and advances the clock by it.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = until;
    }

    /// Sends every entry the list of all others.
    pub fn connect_peers(&mut self) {
        for entry in 0..self.engines.len() {
            let others = (0..self.engines.len()).filter(|o| *o != entry);
            let peers = others.map(|o| Peer {
                name: entry_name(o),
                address: "127.0.0.1:1".parse().unwrap(),
                zone: ZONES[o % self.zones].parse().unwrap(),
            });
            let peers = peers.collect();
            self.step(entry, Input::Peers(peers));
        }
    }

    /// Entry whose CPU handles the event; `None` if no entry does.
    fn entry_of(&self, event: Event) -> Option<usize> {
        match event {
            Event::EntryRequest(_, entry) | Event::Wake(entry) | Event::PeerMessage(entry, _) => {
                Some(entry)
            }
            Event::AttemptFinished((entry, _), _, _) => Some(entry),
            Event::Request(_)
            | Event::ReportDemand
            | Event::ReportRates
            | Event::RatesArrive(..)
            | Event::CallerReturns(..)
            | Event::Sync(_)
            | Event::ServerProbed(_)
            | Event::ServerStarts(_)
            | Event::AttemptArrival(..)
            | Event::WorkDone(..)
            | Event::WorkExpired(..) => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(entry) = self.entry_of(event) {
            if self.entry_faults[entry] == EntryFault::Frozen {
                return;
            }
            if self.busy_until[entry] > self.now {
                return self.schedule(self.busy_until[entry], event);
            }
        }
        match event {
            Event::Sync(entry) => {
                self.sync_entry(entry);
            }
            Event::ServerStarts(server) => self.announce_server(server),
            Event::ServerProbed(entry) => {
                self.step(entry, Input::ServerProbed { reachable: true });
            }
            Event::Request(route) => {
                let drawn = self.rng.random_range(0..self.engines.len());
                let entry = match self.preferred_entry {
                    Some((entry, part)) if self.rng.random_bool(part) => entry,
                    _ => drawn,
                };
                self.handle(Event::EntryRequest(route, entry));
            }
            Event::ReportDemand => {
                let now = self.now;
                let total = self.engines.iter().map(|e| e.request_rate(now)).sum();
                for entry in 0..self.engines.len() {
                    self.step(entry, Input::FleetDemand(total));
                }
                self.schedule(now + DEMAND_REPORT_INTERVAL, Event::ReportDemand);
            }
            Event::ReportRates => self.exchange_rates(),
            Event::RatesArrive(entry, number) => {
                let reports = self.rate_messages[&number].clone();
                self.step(entry, Input::RateReports(reports));
            }
            Event::CallerReturns(route, first_arrived) => {
                let entry = self.rng.random_range(0..self.engines.len());
                self.returned.insert(QueryId(self.next_key));
                self.request_since(route, entry, first_arrived);
            }
            Event::EntryRequest(route, entry) => {
                self.request_at(route, entry);
            }
            Event::PeerMessage(entry, number) => {
                let message = self.peer_messages.remove(&number).expect("arrives once");
                self.handle_message(entry, message);
            }
            Event::AttemptArrival(server, attempt, key, remaining) => {
                self.on_arrival(server, attempt, key, remaining)
            }
            Event::WorkDone(server, attempt) => self.on_work_end(server, attempt, 0),
            Event::WorkExpired(server, attempt) => self.on_work_end(server, attempt, 1),
            Event::AttemptFinished((entry, attempt), server, outcome) => {
                let notice = self.servers[server].notice(outcome);
                let outcome = [
                    AttemptOutcome::Answered,
                    AttemptOutcome::Error,
                    AttemptOutcome::NotRun,
                    AttemptOutcome::NotSent,
                    AttemptOutcome::Lost,
                    AttemptOutcome::ConnectionLost,
                ][outcome as usize];
                let link = self.links.get(&(entry, server)).filter(|_| outcome.is_response());
                let Some(outcome) = link.map_or(Some(outcome), |l| l.lost_response()) else {
                    return;
                };
                if !self.aborted.remove(&(entry, attempt)) {
                    self.step(entry, Input::AttemptFinished { attempt, outcome, notice });
                }
            }
            Event::Wake(entry) => {
                if self.wake_at[entry].is_some_and(|at| at <= self.now) {
                    self.wake_at[entry] = None;
                    self.step(entry, Input::Tick);
                }
            }
        }
    }

    fn send_message(&mut self, entry: usize, from: usize, message: PeerMessage) {
        let number = self.seq;
        self.peer_messages.insert(number, message);
        let at = self.busy_until[from].max(self.now) + ONE_WAY_LATENCY;
        self.schedule(at, Event::PeerMessage(entry, number));
    }

    /// Handles a message from another entry.
    fn handle_message(&mut self, entry: usize, message: PeerMessage) {
        match message {
            PeerMessage::Gather(from, delegation) => self.gather(entry, from, delegation),
            PeerMessage::Cancel(from, group) => {
                if let Some((_, key)) = self.delegations.remove(&(from, group)) {
                    self.gathers.remove(&key);
                    self.running.remove(&key);
                    self.step(entry, Input::GatherCancelled(key));
                }
            }
            PeerMessage::Confirm(from, group) => {
                if let Some((_, key)) = self.delegations.get(&(from, group)).copied() {
                    self.step(entry, Input::GatherConfirmed(key));
                }
            }
            PeerMessage::GroupEvent(group, event) => {
                self.step(entry, Input::GroupEvent { group, event })
            }
            PeerMessage::ServersLeaving(servers) => {
                self.step(entry, Input::ServersLeaving(servers));
            }
            PeerMessage::Accepting(from) => {
                self.step(entry, Input::PeerAccepting(entry_name(from)));
            }
            PeerMessage::Declining(from) => {
                self.step(entry, Input::PeerDeclining(entry_name(from)));
            }
            PeerMessage::Probe(from) if !self.gathers(entry) => {
                self.send_message(from, entry, PeerMessage::Declining(entry));
            }
            PeerMessage::Probe(_) if self.entry_faults[entry] == EntryFault::ReportsLost => {}
            PeerMessage::Probe(from) => {
                self.send_message(from, entry, PeerMessage::Accepting(entry));
            }
        }
    }

    fn gather(&mut self, entry: usize, from: usize, delegation: Delegation) {
        let group = delegation.group;
        if !self.gathers(entry) {
            return self.send_message(
                from,
                entry,
                PeerMessage::GroupEvent(group, GroupEvent::Declined),
            );
        }
        let key = QueryId(self.next_key);
        self.next_key += 1;
        let route = self.running.get(&delegation.request).copied();
        self.running.insert(key, route.unwrap_or((0, self.now)));
        self.gathers.insert(key, (from, group));
        self.origin_requests.insert(key, delegation.request);
        self.delegations.insert((from, group), (entry, key));
        self.send_message(from, entry, PeerMessage::GroupEvent(group, GroupEvent::Started));
        let request = GroupRequest {
            key,
            id: format!("r{}", delegation.request).into(),
            fingerprint: self.fingerprint(delegation.request),
            route: Arc::new(delegation.route),
            team: self.team_of(delegation.request),
            due_in: delegation.due_in,
            remaining: delegation.remaining,
            demand_ppm: delegation.demand_ppm,
        };
        self.step(entry, Input::Gather(request));
    }

    /// Sends one request to a random entry now.
    pub fn request(&mut self, route: usize) -> QueryId {
        let entry = self.rng.random_range(0..self.engines.len());
        self.request_at(route, entry)
    }

    /// Disconnects the caller of a request.
    pub fn disconnect_caller(&mut self, key: QueryId, entry: usize) {
        self.running.remove(&key);
        self.step(entry, Input::CallerGone(key));
    }

    /// Drops the connections of an entry to the entries that gather its groups.
    pub fn drop_group_connections(&mut self, entry: usize) {
        let of_entry = self.delegations.keys().filter(|(from, _)| *from == entry).copied();
        let mut lost: Vec<_> = of_entry.collect();
        lost.sort();
        for (from, group) in lost {
            let (to, key) = self.delegations.remove(&(from, group)).expect("found above");
            self.gathers.remove(&key);
            self.running.remove(&key);
            self.step(to, Input::GatherCancelled(key));
            self.step(from, Input::GroupEvent { group, event: GroupEvent::ConnectionLost });
        }
    }

    /// Largest number of servers of one service that accepted the same request.
    pub fn max_servers_per_shard(&self) -> usize {
        self.servers_reached.values().map(HashSet::len).max().unwrap_or(0)
    }

    /// Number of attempts that servers process or have queued.
    pub fn work_in_progress(&self) -> usize {
        self.servers.iter().map(|s| s.running.len() + s.queue.len()).sum()
    }

    /// Sends one request to this entry now.
    pub fn request_at(&mut self, route: usize, entry: usize) -> QueryId {
        self.request_since(route, entry, self.now)
    }

    /// Sends one request now whose caller has waited since `first_arrived`.
    fn request_since(&mut self, route: usize, entry: usize, first_arrived: Mono) -> QueryId {
        let key = QueryId(self.next_key);
        self.next_key += 1;
        if let Some(content) = self.content {
            self.contents.insert(key, content);
        }
        self.running.insert(key, (route, first_arrived));
        let waited = self.now.since(first_arrived);
        let patience = Some(self.routes[route].timeout().saturating_sub(waited));
        let input = Input::Request {
            key,
            id: format!("r{key}").into(),
            fingerprint: self.fingerprint(key),
            credential: self.key_of(route),
            host: "plots.example".into(),
            path: self.paths[route].as_str().into(),
            patience,
            opened_connection: false,
        };
        self.step(entry, input);
        key
    }

    fn fingerprint(&self, key: QueryId) -> Fingerprint {
        let content = self.contents.get(&key).copied().unwrap_or(key.0);
        Fingerprint { caller: 0, content, query: Some(0), service: None }
    }

    /// Passes one input to an entry and handles its outputs.
    pub fn step(&mut self, entry: usize, input: Input) {
        let mut out = Vec::new();
        self.engines[entry].step(self.now, input, &mut out);
        self.busy_until[entry] = self.busy_until[entry].max(self.now) + self.entry_work;
        for output in out {
            if matches!(
                output,
                Output::SendAttempt(_) | Output::Delegate(_) | Output::GroupResponses { .. }
            ) {
                self.busy_until[entry] = self.busy_until[entry] + self.entry_work;
            }
            self.apply_output(entry, output);
        }
        if let Some(at) = self.engines[entry].next_wake()
            && self.wake_at[entry].is_none_or(|known| at < known)
        {
            self.wake_at[entry] = Some(at);
            self.schedule(at, Event::Wake(entry));
        }
    }

    fn apply_output(&mut self, entry: usize, output: Output) {
        match output {
            Output::SendAttempt(attempt) => {
                let server = self.by_name[&attempt.server];
                let Attempt { id, request, remaining, leaves_zone, kind, .. } = attempt;
                self.record_sent(entry, server, kind);
                let distance = if leaves_zone { self.zone_round_trip } else { Duration::ZERO };
                if let Some(fault) = self.links.get(&(entry, server)) {
                    if let Some(outcome) = fault.undelivered() {
                        let ended = Event::AttemptFinished((entry, id), server, outcome);
                        self.schedule(self.now + 2 * ONE_WAY_LATENCY, ended);
                    }
                    return;
                }
                let event = Event::AttemptArrival(server, (entry, id), request, remaining);
                let sent_at = self.busy_until[entry].max(self.now);
                self.schedule(sent_at + ONE_WAY_LATENCY + distance, event);
            }
            Output::Delegate(delegation) => {
                let to = entry_number(&delegation.peer);
                if let Some(connected) = &mut self.connected {
                    connected.insert((entry, to));
                }
                self.send_message(to, entry, PeerMessage::Gather(entry, delegation));
            }
            Output::ConfirmGroup(group) => {
                if let Some((to, _)) = self.delegations.get(&(entry, group)).copied() {
                    self.send_message(to, entry, PeerMessage::Confirm(entry, group));
                }
            }
            Output::CancelGroup(group) => {
                if let Some((to, _)) = self.delegations.get(&(entry, group)).copied() {
                    self.send_message(to, entry, PeerMessage::Cancel(entry, group));
                }
            }
            Output::ProbePeer { peer, .. } => {
                self.send_message(entry_number(&peer), entry, PeerMessage::Probe(entry));
            }
            Output::GroupResponses { .. }
                if self.entry_faults[entry] == EntryFault::ReportsLost => {}
            Output::GroupResponses {
                request,
                responses,
                queue_waits,
                leaving,
                last,
                unsent,
                ..
            } => {
                let Some((to, group)) = self.gathers.get(&request).copied() else { return };
                if !leaving.is_empty() {
                    self.send_message(to, entry, PeerMessage::ServersLeaving(leaving));
                }
                if last {
                    self.gathers.remove(&request);
                    self.running.remove(&request);
                }
                let shards = responses.into_iter().map(|(shard, _)| shard).collect();
                let report = GroupReport { shards, queue_waits, last, unsent };
                let event = GroupEvent::ShardResponses(report);
                self.send_message(to, entry, PeerMessage::GroupEvent(group, event));
            }
            Output::ForwardToOrigin { request, is_error, .. } => {
                let outcome =
                    if is_error { AttemptOutcome::Error } else { AttemptOutcome::Answered };
                self.end_gathered(entry, request, GroupEvent::Forwarded { outcome });
            }
            Output::RefuseGroup { request, refusal } => {
                self.end_gathered(entry, request, GroupEvent::Refused(refusal));
            }
            Output::AnnounceAvailability => self.announce_availability(entry),
            Output::ProbeServer { server, .. } => {
                if self.accepts(entry, &server) {
                    self.schedule(self.now + 2 * ONE_WAY_LATENCY, Event::ServerProbed(entry));
                }
            }
            Output::DeclineGroup(request) => {
                self.end_gathered(entry, request, GroupEvent::Declined);
            }
            Output::Abort(attempt) => {
                let aborted = (entry, attempt);
                self.aborted.insert(aborted);
                for i in 0..self.servers.len() {
                    let server = &mut self.servers[i];
                    server.queue.retain(|(a, ..)| *a != aborted);
                    let before = server.running.len();
                    server.running.retain(|a| *a != aborted);
                    if server.running.len() < before {
                        self.start_work(i);
                    }
                }
            }
            Output::CheckServer { server, incarnation, witnesses, .. } => {
                let witnessed = witnesses.iter().any(|(w, _)| self.accepts(entry, w));
                let has_ended = witnessed && self.seems_ended(entry, &server, incarnation);
                self.step(entry, Input::ServerChecked { server, incarnation, has_ended });
            }
            Output::CloseIdle(_) | Output::Discard(_) | Output::SetTeamField { .. } => {}
            Output::Complete { request, completion } => {
                let (route, at) = self.running.remove(&request).expect("a request completes once");
                let returned = self.returned.remove(&request);
                if let Completion::Refuse(refusal) = &completion
                    && self.callers_return
                    && !returned
                {
                    // Callers return early rather than lose more of the time that they have.
                    let left = (at + self.routes[route].timeout()).since(self.now);
                    let after = refusal.retry_after.unwrap_or_default().min(left / 3);
                    let after = after + CALLER_LATENCY;
                    return self.schedule(self.now + after, Event::CallerReturns(route, at));
                }
                let responses = match &completion {
                    Completion::Merge { missing, .. } => {
                        self.routes[route].services().len() - missing
                    }
                    Completion::Forward(_) => 1,
                    Completion::Refuse(_) => 0,
                };
                self.ended.push(EndedRequest {
                    key: request,
                    route,
                    entry,
                    latency: self.now.since(at),
                    completion,
                    responses,
                });
            }
            Output::Log(decision) => self.decisions.push((self.now, decision)),
        }
    }

    fn on_arrival(
        &mut self,
        server: usize,
        attempt: AttemptKey,
        key: QueryId,
        remaining: Duration,
    ) {
        if self.aborted.contains(&attempt) {
            return;
        }
        let route = self.running.get(&key).map_or(0, |(route, _)| *route);
        let origin = self.origin_requests.get(&key).copied().unwrap_or(key);
        if self.servers[server].fault == Fault::Crash(self.fingerprint(origin).content) {
            self.crashing.insert(attempt);
        }
        let draw: f64 = self.rng.random_range(0.0..1.0);
        let spread: f64 = self.rng.random_range(0.65..1.35);
        let tail = if self.rng.random_range(0.0..1.0) < 0.01 { 5.0 } else { 1.0 };
        let mean = self.work[route];
        let s = &mut self.servers[server];
        s.arrivals += 1;
        s.arrived_at.push(self.now);
        let slow = if let Fault::Slow(x) = s.fault { x } else { 1.0 };
        let work = mean.mul_f64(spread * tail * slow * s.speed);
        let reply = self.now + ONE_WAY_LATENCY;
        match s.fault {
            Fault::Unresponsive => return,
            Fault::Refused => {
                return self.schedule(reply, Event::AttemptFinished(attempt, server, 3));
            }
            Fault::Pause(_) => {
                return self.schedule(reply, Event::AttemptFinished(attempt, server, 2));
            }
            Fault::Shed(share) if draw < share => {
                return self.schedule(reply, Event::AttemptFinished(attempt, server, 2));
            }
            Fault::Error(share) if draw < share => {
                return self.schedule(reply, Event::AttemptFinished(attempt, server, 1));
            }
            _ => {}
        }
        if s.running.len() >= s.slots && s.queue.len() >= s.queue_limit {
            return self.schedule(reply, Event::AttemptFinished(attempt, server, 2));
        }
        s.queue.push_back((attempt, work, self.now + remaining));
        let service = s.name.as_str().rsplit_once('-').map_or("", |(service, _)| service);
        self.servers_reached.entry((origin, service.to_owned())).or_default().insert(server);
        self.start_work(server);
    }

    fn start_work(&mut self, server: usize) {
        loop {
            let now = self.now;
            let s = &mut self.servers[server];
            if s.running.len() >= s.slots {
                return;
            }
            let Some((attempt, work, deadline)) = s.queue.pop_front() else { return };
            if deadline <= now {
                // The server sheds what has expired in its queue.
                let reply = now + ONE_WAY_LATENCY;
                self.schedule(reply, Event::AttemptFinished(attempt, server, 2));
                continue;
            }
            let full = s.running.len() + 1 >= s.slots && !s.queue.is_empty();
            let work = if full { work.mul_f64(s.slowdown_when_full) } else { work };
            s.running.push(attempt);
            let end = s.work_end(now, work);
            let event = if end > deadline {
                Event::WorkExpired(server, attempt)
            } else {
                Event::WorkDone(server, attempt)
            };
            self.schedule(end.min(deadline), event);
        }
    }

    fn on_work_end(&mut self, server: usize, attempt: AttemptKey, outcome: u8) {
        if !self.servers[server].running.contains(&attempt) {
            return;
        }
        if self.crashing.remove(&attempt) {
            return self.crash_server(server);
        }
        self.servers[server].running.retain(|a| *a != attempt);
        self.schedule(self.now + ONE_WAY_LATENCY, Event::AttemptFinished(attempt, server, outcome));
        self.start_work(server);
    }

    /// Fraction of the requests of a route with a response within the objective, each weighted by
    /// the square of its shard coverage.
    pub fn score(&self, route: usize) -> f64 {
        let r = &self.routes[route];
        let total = r.services().len() as f64;
        let of_route: Vec<&EndedRequest> = self.ended.iter().filter(|e| e.route == route).collect();
        let in_time = of_route.iter().filter(|e| e.latency <= r.objective());
        let weighted: f64 = in_time.map(|e| (e.responses as f64 / total).powi(2)).sum();
        weighted / of_route.len().max(1) as f64
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Number of requests and groups so far.
    pub fn requests(&self) -> u64 {
        self.next_key - 1
    }

    /// Ratio of hedges and retries to first attempts and probes.
    pub fn extra_ratio(&self) -> f64 {
        let sum = |kinds: [usize; 2]| -> u64 {
            let attempts = self.engines.iter().map(|e| e.counters().attempts);
            attempts.map(|a| a[kinds[0]] + a[kinds[1]]).sum()
        };
        sum([1, 2]) as f64 / sum([0, 3]).max(1) as f64
    }
}
