//! A small world for the engine: servers with slots, queues, pauses and faults, in virtual time.

#![allow(dead_code, unused_imports)]

mod sites;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{
    AttemptId, Incarnation, InstanceId, Mono, QueryId, Route, RoutedService, Routing, Scatter,
    ServerId, ServiceId, TableVersion, Target,
};
use hornbeam_route::{
    AttemptOutcome, Completion, Decision, Delegation, Engine, EngineParams, GroupEvent,
    GroupRequest, Input, Output, Peer, RetryBudgetParams, ServerChange,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use sites::{CHECKS, CONSORTIUM, HANAK, SWEEPS, Site, run_searches};

/// One way between an entry and a server.
const WAY: Duration = Duration::from_micros(400);

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Works as it should.
    None,
    /// Answers nothing.
    Dark,
    /// Takes this many times as long.
    Slow(f64),
    /// Refuses this share of its requests without running them.
    Shed(f64),
    /// Answers this share of its requests with a failure.
    Error(f64),
    /// Nobody listens at its address.
    Refused,
}

/// A server.
pub struct SimServer {
    pub name: ServerId,
    pub slots: usize,
    pub fault: Fault,
    /// Time between two pauses and their length.
    pub pauses: Option<(Duration, Duration)>,
    phase: Duration,
    speed: f64,
    running: Vec<Sent>,
    queue: VecDeque<(Sent, Duration)>,
    queue_limit: usize,
    pub arrivals: u64,
}

/// An attempt of one entry.
type Sent = (usize, AttemptId);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Request(usize),
    /// A request on a route at an entry.
    Arrive(usize, usize),
    Reach(usize, Sent, QueryId),
    Done(usize, Sent),
    Reply(Sent, u8),
    Wake(usize),
    /// A message of another entry, by its number.
    Told(usize, u64),
}

/// What entries tell each other.
#[derive(Clone, Debug)]
enum Told {
    Gather(usize, Delegation),
    Cancel(usize, AttemptId),
    Confirm(usize, AttemptId),
    Group(AttemptId, GroupEvent),
    Heard(usize),
    Leaving(usize),
    Probe(usize),
}

/// What an entry is like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EntryFault {
    /// Works as it should.
    None,
    /// Does nothing, and nothing shows it.
    Frozen,
    /// Takes no groups.
    Leaving,
    /// Begins with groups, and its reports are lost.
    Unheard,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Ended {
    pub route: usize,
    pub took: Duration,
    pub completion: Completion,
    pub parts: usize,
}

/// Entries in front of servers.
pub struct World {
    pub now: Mono,
    pub engines: Vec<Engine>,
    pub servers: Vec<SimServer>,
    pub ended: Vec<Ended>,
    pub decisions: Vec<(Mono, Decision)>,
    /// Mean work of a request, by route.
    work: Vec<Duration>,
    paths: Vec<String>,
    routes: Vec<Route>,
    by_name: BTreeMap<ServerId, usize>,
    /// Servers of each service that took a caller's request.
    taken: HashMap<(QueryId, String), HashSet<usize>>,
    /// The caller's request of each group.
    roots: HashMap<QueryId, QueryId>,
    asked: HashMap<QueryId, (usize, Mono)>,
    /// Work of an entry for each input and each message that it sends.
    pub entry_work: Duration,
    pub entry_faults: Vec<EntryFault>,
    busy_until: Vec<Mono>,
    told: HashMap<u64, Told>,
    /// Groups by the key that they have at the entry that collects them.
    gathers: HashMap<QueryId, (usize, AttemptId)>,
    delegations: HashMap<(usize, AttemptId), (usize, QueryId)>,
    broken: HashSet<Sent>,
    events: BinaryHeap<Reverse<(Mono, u64, Event)>>,
    seq: u64,
    wake_at: Vec<Option<Mono>>,
    next_key: u64,
    rng: SmallRng,
}

/// A route to every shard named `s0` to `s{shards - 1}`.
pub fn scatter(name: &str, shards: usize, objective_ms: u32, min: f64) -> Route {
    let names = (0..shards).map(|i| service(&format!("s{i}")));
    let target = Target::Scatter(Scatter {
        shards: names.collect(),
        limit: 10,
        min_covered_ppm: (min * 1e6).round() as u32,
    });
    route(name, objective_ms, target)
}

/// A route to one service.
pub fn single(name: &str, to: &str, objective_ms: u32) -> Route {
    route(name, objective_ms, Target::Single(service(to)))
}

fn route(name: &str, objective_ms: u32, target: Target) -> Route {
    Route {
        name: name.parse().unwrap(),
        host: "plots.example".into(),
        prefix: format!("/{name}/").into(),
        idempotent: true,
        timeout_ms: objective_ms * 15,
        objective_ms,
        priority: 1,
        max_attempts: 2,
        target,
    }
}

pub fn service(name: &str) -> ServiceId {
    name.parse().unwrap()
}

fn usable(name: &ServerId, service: ServiceId, copy: usize) -> ServerChange {
    ServerChange::Usable {
        server: name.clone(),
        incarnation: Incarnation(1),
        service,
        address: "127.0.0.1:1".parse().unwrap(),
        zone: if copy == 0 { "olomouc" } else { "prerov" }.parse().unwrap(),
        slots: 2,
        warm_up: Duration::ZERO,
    }
}

fn entry_name(entry: usize) -> InstanceId {
    format!("e{entry}").parse().unwrap()
}

fn entry_number(name: &InstanceId) -> usize {
    name.as_str()[1..].parse().unwrap()
}

/// The budget of the users' deployments of today.
pub fn budget() -> RetryBudgetParams {
    RetryBudgetParams { percent: 20, window: Duration::from_secs(10), allowance: 58 }
}

impl World {
    /// `copies` servers for each service that the routes name; `work` is the mean work of each route.
    pub fn new(
        seed: u64,
        entries: usize,
        routes: Vec<Route>,
        work: Vec<Duration>,
        copies: usize,
    ) -> Self {
        let params = |i: usize| EngineParams {
            zone: ["olomouc", "prerov"][i % 2].parse().unwrap(),
            budget: budget(),
            delegate_above: 32,
            max_in_flight: 1_000,
            linger: Duration::from_millis(300),
            seed: seed + i as u64,
        };
        let mut world = Self {
            // Past the time in which a new entry's allowance grows.
            now: Mono::from_millis(20_000),
            engines: (0..entries).map(|i| Engine::new(params(i))).collect(),
            servers: Vec::new(),
            ended: Vec::new(),
            decisions: Vec::new(),
            work,
            paths: routes.iter().map(|r| format!("{}x", r.prefix)).collect(),
            by_name: BTreeMap::new(),
            taken: HashMap::new(),
            roots: HashMap::new(),
            asked: HashMap::new(),
            entry_work: Duration::ZERO,
            entry_faults: vec![EntryFault::None; entries],
            busy_until: vec![Mono::default(); entries],
            told: HashMap::new(),
            gathers: HashMap::new(),
            delegations: HashMap::new(),
            broken: HashSet::new(),
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
            slots: 2,
            fault: Fault::None,
            pauses: None,
            phase,
            speed,
            running: Vec::new(),
            queue: VecDeque::new(),
            queue_limit: 12,
            arrivals: 0,
        });
        let change = usable(&name, service.clone(), copy);
        for i in 0..self.engines.len() {
            self.step(i, Input::Servers(vec![change.clone()]));
        }
    }

    /// Tells an entry that has just started what the others know.
    pub fn tell_all(&mut self, entry: usize) {
        let other = (entry + 1) % self.engines.len();
        let table = self.engines[other].table().cloned().expect("the others have one");
        self.step(entry, Input::Table(table));
        self.step(entry, Input::EntryCount(self.engines.len() as u32));
        for server in 0..self.servers.len() {
            let name = self.servers[server].name.clone();
            let (service, copy) = name.as_str().rsplit_once('-').expect("as it was named");
            let change = usable(&name, service.parse().unwrap(), copy.parse().unwrap());
            self.step(entry, Input::Servers(vec![change]));
        }
    }

    /// Lets a server pause now and then.
    pub fn pause_all(&mut self, every: Duration, length: Duration) {
        for server in &mut self.servers {
            server.pauses = Some((every, length));
        }
    }

    /// Gives every server of a service a fault.
    pub fn fault(&mut self, service: &str, fault: Fault) {
        let prefix = format!("{service}-");
        for server in &mut self.servers {
            if server.name.as_str().starts_with(&prefix) {
                server.fault = fault;
            }
        }
    }

    /// Gives one server a fault.
    pub fn fault_one(&mut self, server: &str, fault: Fault) {
        let name: ServerId = server.parse().unwrap();
        let idx = self.by_name[&name];
        self.servers[idx].fault = fault;
    }

    fn queue(&mut self, at: Mono, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at, self.seq, event)));
    }

    /// Sends requests of one route at a steady rate for a time.
    pub fn load(&mut self, route: usize, per_second: f64, time: Duration) {
        let gap = Duration::from_secs_f64(1.0 / per_second);
        let mut at = self.now + gap.mul_f64(self.rng.random_range(0.0..1.0));
        let until = self.now + time;
        while at < until {
            self.queue(at, Event::Request(route));
            at = at + gap.mul_f64(self.rng.random_range(0.5..1.5));
        }
    }

    /// Runs until everything has ended or `time` has passed.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            self.take(event);
        }
        self.now = until;
    }

    /// Tells every entry of the others in its zone.
    pub fn introduce(&mut self) {
        for entry in 0..self.engines.len() {
            let others = (0..self.engines.len()).filter(|o| *o != entry && o % 2 == entry % 2);
            let peers = others.map(|o| Peer {
                name: entry_name(o),
                address: "127.0.0.1:1".parse().unwrap(),
                zone: ["olomouc", "prerov"][o % 2].parse().unwrap(),
            });
            let peers = peers.collect();
            self.step(entry, Input::Peers(peers));
        }
    }

    /// The entry that an event is for, if it needs its processor.
    fn entry_of(&self, event: Event) -> Option<usize> {
        match event {
            Event::Arrive(_, entry) | Event::Wake(entry) | Event::Told(entry, _) => Some(entry),
            Event::Reply((entry, _), _) => Some(entry),
            Event::Request(_) | Event::Reach(..) | Event::Done(..) => None,
        }
    }

    fn take(&mut self, event: Event) {
        if let Some(entry) = self.entry_of(event) {
            if self.entry_faults[entry] == EntryFault::Frozen {
                return;
            }
            if self.busy_until[entry] > self.now {
                return self.queue(self.busy_until[entry], event);
            }
        }
        match event {
            Event::Request(route) => {
                let entry = self.rng.random_range(0..self.engines.len());
                self.take(Event::Arrive(route, entry));
            }
            Event::Arrive(route, entry) => {
                self.request_at(route, entry);
            }
            Event::Told(entry, number) => {
                let told = self.told.remove(&number).expect("it comes once");
                self.hear(entry, told);
            }
            Event::Reach(server, attempt, key) => self.reach(server, attempt, key),
            Event::Done(server, attempt) => self.done(server, attempt),
            Event::Reply((entry, attempt), outcome) => {
                let outcome = [
                    AttemptOutcome::Answered,
                    AttemptOutcome::Error,
                    AttemptOutcome::NotRun,
                    AttemptOutcome::NotSent,
                    AttemptOutcome::Lost,
                ][outcome as usize];
                if !self.broken.remove(&(entry, attempt)) {
                    self.step(entry, Input::AttemptFinished { attempt, outcome });
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

    fn tell(&mut self, entry: usize, from: usize, told: Told) {
        let number = self.seq;
        self.told.insert(number, told);
        let at = self.busy_until[from].max(self.now) + WAY;
        self.queue(at, Event::Told(entry, number));
    }

    /// Another entry tells something.
    fn hear(&mut self, entry: usize, told: Told) {
        match told {
            Told::Gather(from, delegation) => self.gather(entry, from, delegation),
            Told::Cancel(from, group) => {
                if let Some((_, key)) = self.delegations.remove(&(from, group)) {
                    self.gathers.remove(&key);
                    self.asked.remove(&key);
                    self.step(entry, Input::GatherCancelled(key));
                }
            }
            Told::Confirm(from, group) => {
                if let Some((_, key)) = self.delegations.get(&(from, group)).copied() {
                    self.step(entry, Input::GatherConfirmed(key));
                }
            }
            Told::Group(group, event) => self.step(entry, Input::GroupEvent { group, event }),
            Told::Heard(from) => self.step(entry, Input::PeerAlive(entry_name(from))),
            Told::Leaving(from) => self.step(entry, Input::PeerLeaving(entry_name(from))),
            Told::Probe(from) if self.entry_faults[entry] == EntryFault::Leaving => {
                self.tell(from, entry, Told::Leaving(entry));
            }
            Told::Probe(_) if self.entry_faults[entry] == EntryFault::Unheard => {}
            Told::Probe(from) => self.tell(from, entry, Told::Heard(entry)),
        }
    }

    fn gather(&mut self, entry: usize, from: usize, delegation: Delegation) {
        let group = delegation.group;
        if self.entry_faults[entry] == EntryFault::Leaving {
            return self.tell(from, entry, Told::Group(group, GroupEvent::Declined));
        }
        let key = QueryId(self.next_key);
        self.next_key += 1;
        let route = self.asked.get(&delegation.request).copied();
        self.asked.insert(key, route.unwrap_or((0, self.now)));
        self.gathers.insert(key, (from, group));
        self.roots.insert(key, delegation.request);
        self.delegations.insert((from, group), (entry, key));
        self.tell(from, entry, Told::Group(group, GroupEvent::Started));
        let asked = GroupRequest {
            key,
            id: format!("r{}", delegation.request).into(),
            route: Arc::new(delegation.route),
            due_in: delegation.due_in,
            remaining: delegation.remaining,
        };
        self.step(entry, Input::Gather(asked));
    }

    /// Sends one request now.
    pub fn request(&mut self, route: usize) -> QueryId {
        let entry = self.rng.random_range(0..self.engines.len());
        self.request_at(route, entry)
    }

    /// The caller of a request leaves.
    pub fn leave(&mut self, key: QueryId, entry: usize) {
        self.asked.remove(&key);
        self.step(entry, Input::CallerGone(key));
    }

    /// The connections of an entry to those that collect its groups break.
    pub fn lose_groups(&mut self, entry: usize) {
        let of_entry = self.delegations.keys().filter(|(from, _)| *from == entry).copied();
        let mut lost: Vec<_> = of_entry.collect();
        lost.sort();
        for (from, group) in lost {
            let (to, key) = self.delegations.remove(&(from, group)).expect("it was just there");
            self.gathers.remove(&key);
            self.asked.remove(&key);
            self.step(to, Input::GatherCancelled(key));
            self.step(from, Input::GroupEvent { group, event: GroupEvent::ConnectionLost });
        }
    }

    /// Servers of one service that took the same request, at the most.
    pub fn most_servers_of_a_shard(&self) -> usize {
        self.taken.values().map(HashSet::len).max().unwrap_or(0)
    }

    /// Requests on which servers work or that wait there.
    pub fn at_work(&self) -> usize {
        self.servers.iter().map(|s| s.running.len() + s.queue.len()).sum()
    }

    /// Sends one request to this entry now.
    pub fn request_at(&mut self, route: usize, entry: usize) -> QueryId {
        let key = QueryId(self.next_key);
        self.next_key += 1;
        self.asked.insert(key, (route, self.now));
        let patience = Some(self.routes[route].timeout());
        let input = Input::Request {
            key,
            id: format!("r{key}").into(),
            host: "plots.example".into(),
            path: self.paths[route].as_str().into(),
            patience,
            opened_connection: false,
        };
        self.step(entry, input);
        key
    }

    /// Gives an entry one input.
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
            self.carry_out(entry, output);
        }
        if let Some(at) = self.engines[entry].next_wake()
            && self.wake_at[entry].is_none_or(|known| at < known)
        {
            self.wake_at[entry] = Some(at);
            self.queue(at, Event::Wake(entry));
        }
    }

    fn carry_out(&mut self, entry: usize, output: Output) {
        match output {
            Output::SendAttempt(attempt) => {
                let server = self.by_name[&attempt.server];
                let event = Event::Reach(server, (entry, attempt.id), attempt.request);
                self.queue(self.busy_until[entry].max(self.now) + WAY, event);
            }
            Output::Delegate(delegation) => {
                let to = entry_number(&delegation.peer);
                self.tell(to, entry, Told::Gather(entry, delegation));
            }
            Output::ConfirmGroup(group) => {
                if let Some((to, _)) = self.delegations.get(&(entry, group)).copied() {
                    self.tell(to, entry, Told::Confirm(entry, group));
                }
            }
            Output::CancelGroup(group) => {
                if let Some((to, _)) = self.delegations.get(&(entry, group)).copied() {
                    self.tell(to, entry, Told::Cancel(entry, group));
                }
            }
            Output::ProbePeer { peer, .. } => {
                self.tell(entry_number(&peer), entry, Told::Probe(entry));
            }
            Output::GroupResponses { .. } if self.entry_faults[entry] == EntryFault::Unheard => {}
            Output::GroupResponses { request, responses, queue_waits, last, .. } => {
                let Some((to, group)) = self.gathers.get(&request).copied() else { return };
                if last {
                    self.gathers.remove(&request);
                    self.asked.remove(&request);
                }
                let shards = responses.into_iter().map(|(shard, _)| shard).collect();
                let event = GroupEvent::ShardResponses { shards, queue_waits, last };
                self.tell(to, entry, Told::Group(group, event));
            }
            Output::DeclineGroup(request) => {
                if let Some((to, group)) = self.gathers.remove(&request) {
                    self.tell(to, entry, Told::Group(group, GroupEvent::Declined));
                }
            }
            Output::Abort(attempt) => {
                let sent = (entry, attempt);
                self.broken.insert(sent);
                for i in 0..self.servers.len() {
                    let server = &mut self.servers[i];
                    server.queue.retain(|(a, _)| *a != sent);
                    let before = server.running.len();
                    server.running.retain(|a| *a != sent);
                    if server.running.len() < before {
                        self.start(i);
                    }
                }
            }
            Output::Discard(_) => {}
            Output::Complete { request, completion } => {
                let (route, at) = self.asked.remove(&request).expect("it is told once");
                let parts = match &completion {
                    Completion::Merge { missing, .. } => {
                        self.routes[route].services().len() - missing
                    }
                    Completion::Forward(_) => 1,
                    Completion::Refuse(_) => 0,
                };
                self.ended.push(Ended { route, took: self.now.since(at), completion, parts });
            }
            Output::Log(decision) => self.decisions.push((self.now, decision)),
        }
    }

    fn reach(&mut self, server: usize, attempt: Sent, key: QueryId) {
        if self.broken.contains(&attempt) {
            return;
        }
        let route = self.asked.get(&key).map_or(0, |(route, _)| *route);
        let draw: f64 = self.rng.random_range(0.0..1.0);
        let spread: f64 = self.rng.random_range(0.65..1.35);
        let tail = if self.rng.random_range(0.0..1.0) < 0.01 { 5.0 } else { 1.0 };
        let mean = self.work[route];
        let s = &mut self.servers[server];
        s.arrivals += 1;
        let slow = if let Fault::Slow(x) = s.fault { x } else { 1.0 };
        let work = mean.mul_f64(spread * tail * slow * s.speed);
        let reply = self.now + WAY;
        match s.fault {
            Fault::Dark => return,
            Fault::Refused => return self.queue(reply, Event::Reply(attempt, 3)),
            Fault::Shed(share) if draw < share => {
                return self.queue(reply, Event::Reply(attempt, 2));
            }
            Fault::Error(share) if draw < share => {
                return self.queue(reply, Event::Reply(attempt, 1));
            }
            _ => {}
        }
        if s.running.len() >= s.slots && s.queue.len() >= s.queue_limit {
            return self.queue(reply, Event::Reply(attempt, 2));
        }
        s.queue.push_back((attempt, work));
        let service = s.name.as_str().rsplit_once('-').map_or("", |(service, _)| service);
        let root = self.roots.get(&key).copied().unwrap_or(key);
        self.taken.entry((root, service.to_owned())).or_default().insert(server);
        self.start(server);
    }

    fn start(&mut self, server: usize) {
        loop {
            let now = self.now;
            let s = &mut self.servers[server];
            if s.running.len() >= s.slots {
                return;
            }
            let Some((attempt, work)) = s.queue.pop_front() else { return };
            s.running.push(attempt);
            let end = s.end_of(now, work);
            self.queue(end, Event::Done(server, attempt));
        }
    }

    fn done(&mut self, server: usize, attempt: Sent) {
        if !self.servers[server].running.contains(&attempt) {
            return;
        }
        self.servers[server].running.retain(|a| *a != attempt);
        self.queue(self.now + WAY, Event::Reply(attempt, 0));
        self.start(server);
    }

    /// Share of the requests of a route that ended with an answer within the objective, each weighted
    /// with the square of the share of its parts.
    pub fn worth(&self, route: usize) -> f64 {
        let r = &self.routes[route];
        let total = r.services().len() as f64;
        let of_route: Vec<&Ended> = self.ended.iter().filter(|e| e.route == route).collect();
        let in_time = of_route.iter().filter(|e| e.took <= r.objective());
        let worth: f64 = in_time.map(|e| (e.parts as f64 / total).powi(2)).sum();
        worth / of_route.len().max(1) as f64
    }

    /// Requests made so far.
    pub fn requests(&self) -> u64 {
        self.next_key - 1
    }

    /// Extra arrivals in proportion to first ones.
    pub fn extra(&self) -> f64 {
        let sum = |kinds: [usize; 2]| -> u64 {
            let sends = self.engines.iter().map(|e| e.counters().attempts);
            sends.map(|s| s[kinds[0]] + s[kinds[1]]).sum()
        };
        sum([1, 2]) as f64 / sum([0, 3]).max(1) as f64
    }
}

impl SimServer {
    /// When work that begins now ends, with the pauses in between.
    fn end_of(&self, now: Mono, work: Duration) -> Mono {
        let Some((every, length)) = self.pauses else { return now + work };
        let mut at = now;
        let mut left = work;
        loop {
            let since = Duration::from_micros((at + self.phase).0 % every.as_micros() as u64);
            if since < length {
                at = at + (length - since);
                continue;
            }
            let until_pause = every - since;
            if left <= until_pause {
                return at + left;
            }
            left -= until_pause;
            at = at + until_pause;
        }
    }
}
