//! Simulated backend servers.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hornbeam_model::{
    Announcement, Hit, LoadReport, Mono, SearchReply, ServerState, ShardId, ShardReply,
};
use hornbeam_query::AttemptOutcome;
/// Faults that a server can have; the same as those of the stand-ins.
pub use hornbeam_standin::Fault as ServerFault;
use rand::Rng;
use serde_json::value::RawValue;
use smol_str::{SmolStr, format_smolstr};

use super::{AttemptAtServer, AttemptKey, ServerIdx, SimEvent, World};

/// Waiting searches of a server from which on it sheds new ones.
const MAX_QUEUE: usize = 64;

/// One simulated backend server.
#[derive(Debug)]
pub struct FakeServer {
    /// Announcement that the server sends; `seq` increases with each.
    pub announced: Announcement,
    /// Whether the server is up.
    pub up: bool,
    /// Whether the server sends announcements.
    pub announcing: bool,
    /// Median time of a search, without stragglers and warm-up.
    pub service_time: Duration,
    /// Width of the random variation of [`Self::service_time`], in percent of it.
    pub jitter_percent: u32,
    /// Share of searches that straggle, in hundredths of a percent.
    pub straggle_per_10k: u32,
    /// Factor by which a straggler takes longer.
    pub straggle_factor: u32,
    /// Time added to every search.
    pub extra_delay: Duration,
    /// Fault that the server currently has.
    pub fault: ServerFault,
    /// Queue length that the server reports instead of the true one.
    pub false_queue: Option<u32>,
    /// End of the warm-up, and the factor by which searches take longer until then.
    pub warm_up: Option<(Mono, u32)>,
    /// Instances that the server announces to, in order of preference; the first one that is up,
    /// not draining and reachable is used.
    pub registrars: Vec<usize>,
    /// Time at which the server began to drain.
    pub drained_at: Option<Mono>,
    /// Number of searches that have run to their end.
    pub ran: u64,
    pub(crate) running: BTreeMap<AttemptKey, (u64, AttemptAtServer)>,
    pub(crate) waiting: VecDeque<AttemptAtServer>,
    pub(crate) runs: u64,
}

impl FakeServer {
    /// Creates a server that is up and sends `announced`.
    pub fn new(announced: Announcement, service_time: Duration) -> Self {
        Self {
            announced,
            up: true,
            announcing: true,
            service_time,
            jitter_percent: 30,
            straggle_per_10k: 0,
            straggle_factor: 20,
            extra_delay: Duration::ZERO,
            fault: ServerFault::None,
            false_queue: None,
            warm_up: None,
            registrars: Vec::new(),
            drained_at: None,
            ran: 0,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            runs: 0,
        }
    }

    fn load(&self) -> LoadReport {
        let queued = self.false_queue.unwrap_or(self.waiting.len() as u32);
        LoadReport { busy: self.running.len() as u32, queued }
    }
}

impl World {
    /// Adds a server that announces itself from now on, preferably to instances of its zone.
    pub fn add_server(&mut self, server: FakeServer) -> ServerIdx {
        let zone = server.announced.zone.clone();
        let pos = self.servers.len();
        let mut own: Vec<usize> = Vec::new();
        let mut other: Vec<usize> = Vec::new();
        for (i, instance) in self.instances.iter().enumerate() {
            if instance.zone == zone { own.push(i) } else { other.push(i) }
        }
        if !own.is_empty() {
            let first = pos % own.len();
            own.rotate_left(first);
        }
        own.extend(other);
        self.servers.push(FakeServer { registrars: own, ..server });
        let first = Duration::from_micros(self.rng.random_range(0..100_000));
        self.queue(self.now + first, SimEvent::Announce(pos));
        pos
    }

    /// Returns the index of the server named `name`.
    pub fn server_index(&self, name: &str) -> Option<ServerIdx> {
        self.servers.iter().position(|s| s.announced.server.as_str() == name)
    }

    /// Makes a server announce its current state immediately.
    pub fn announce_now(&mut self, pos: ServerIdx) {
        self.queue(self.now, SimEvent::Announce(pos));
    }

    /// Makes a server drain; `announce` says whether it announces that.
    pub fn drain_server(&mut self, pos: ServerIdx, announce: bool) {
        let now = self.now;
        let server = &mut self.servers[pos];
        server.announced.state = ServerState::Draining;
        server.drained_at = Some(now);
        server.announcing = announce;
        self.announce_now(pos);
    }

    /// Stops a server without a shutdown; the attempts that run there fail.
    pub fn kill_server(&mut self, pos: ServerIdx) {
        let server = &mut self.servers[pos];
        server.up = false;
        server.waiting.clear();
        let broken: Vec<AttemptKey> = server.running.keys().copied().collect();
        server.running.clear();
        for key in broken {
            self.reply(pos, key, AttemptOutcome::Unknown, Duration::ZERO);
        }
    }

    /// Starts a server that was down, under a new incarnation.
    pub fn restart_server(&mut self, pos: ServerIdx) {
        let server = &mut self.servers[pos];
        server.up = true;
        server.announcing = true;
        server.drained_at = None;
        server.announced.state = ServerState::Ready;
        server.announced.incarnation.0 += 1;
        server.announced.seq = 0;
        self.announce_now(pos);
    }

    pub(crate) fn server_announces(&mut self, pos: ServerIdx, repeat: bool) {
        if repeat {
            self.queue(self.now + super::ANNOUNCE_INTERVAL, SimEvent::Announce(pos));
        }
        let server = &mut self.servers[pos];
        if !server.up || !server.announcing {
            return;
        }
        server.announced.seq += 1;
        let announcement = server.announced.clone();
        let registrars = server.registrars.clone();
        let reachable = |i: &&usize| {
            let instance = &self.instances[**i];
            instance.membership.is_some() && !instance.draining && !self.cut_from_server(**i, pos)
        };
        let Some(to) = registrars.iter().find(reachable).copied() else { return };
        let announcement = Box::new(announcement);
        self.queue(self.now + self.delay, SimEvent::Announced { to, announcement });
    }

    pub(crate) fn attempt_arrives(&mut self, a: AttemptAtServer) {
        let pos = a.server;
        let key = a.key;
        if self.cut_from_server(key.instance, pos) {
            return;
        }
        self.check_new_work(&a);
        let server = &mut self.servers[pos];
        if !server.up {
            return self.reply(pos, key, AttemptOutcome::NotSent, self.delay);
        }
        let holds = |h: &hornbeam_model::IndexHolding| {
            h.version == a.attempt.index_version
                && a.attempt.shards.iter().all(|s| h.shards.contains(s))
                && a.attempt.schemas.iter().all(|s| h.schemas.contains(s))
        };
        if !server.announced.indexes.iter().any(holds) {
            let indexes = Some(server.announced.indexes.clone());
            return self.reply(pos, key, AttemptOutcome::WrongIndex(indexes), self.delay);
        }
        if server.fault == ServerFault::Shed || server.waiting.len() >= MAX_QUEUE {
            return self.reply(pos, key, AttemptOutcome::NotRun, self.delay);
        }
        if server.fault == ServerFault::Hang {
            server.waiting.push_front(a);
            return;
        }
        server.waiting.push_back(a);
        self.run_waiting_jobs(pos);
    }

    fn run_waiting_jobs(&mut self, pos: ServerIdx) {
        loop {
            let now = self.now;
            let server = &mut self.servers[pos];
            let slots = server.announced.slots as usize;
            if server.running.len() >= slots || server.fault == ServerFault::Hang {
                return;
            }
            let Some(job) = server.waiting.pop_front() else { return };
            if job.attempt.deadline <= now {
                let key = job.key;
                self.reply(pos, key, AttemptOutcome::Unknown, self.delay);
                continue;
            }
            server.runs += 1;
            let (run, key) = (server.runs, job.key);
            let deadline = job.attempt.deadline;
            server.running.insert(key, (run, job));
            let time = self.search_time(pos);
            let end = (now + time).min(deadline);
            self.queue(end, SimEvent::JobEnds { server: pos, key, run });
        }
    }

    fn search_time(&mut self, pos: ServerIdx) -> Duration {
        let server = &self.servers[pos];
        let base = server.service_time.as_micros() as u64;
        let spread = base * u64::from(server.jitter_percent) / 100;
        let mut time = base - spread / 2 + self.rng.random_range(0..=spread);
        let straggles = self.rng.random_range(0..10_000) < server.straggle_per_10k;
        if straggles {
            time *= u64::from(server.straggle_factor);
        }
        if let Some((until, factor)) = server.warm_up
            && self.now < until
        {
            time *= u64::from(factor);
        }
        Duration::from_micros(time) + server.extra_delay
    }

    pub(crate) fn job_ends(&mut self, pos: ServerIdx, key: AttemptKey, run: u64) {
        let now = self.now;
        let server = &mut self.servers[pos];
        if server.running.get(&key).is_none_or(|(r, _)| *r != run) {
            return;
        }
        let Some((_, job)) = server.running.remove(&key) else { return };
        let fault = server.fault;
        let load = server.load();
        server.ran += 1;
        self.record_run(&job);
        let outcome = match fault {
            _ if now >= job.attempt.deadline => AttemptOutcome::Unknown,
            ServerFault::FailAfterRun | ServerFault::Break => AttemptOutcome::Unknown,
            ServerFault::WrongAttempt => AttemptOutcome::WrongAttempt,
            _ => AttemptOutcome::Replied(reply_to(&job, fault, load)),
        };
        let delay = if fault == ServerFault::Break { Duration::ZERO } else { self.delay };
        self.reply(pos, key, outcome, delay);
        self.run_waiting_jobs(pos);
    }

    pub(crate) fn cancel_arrives(&mut self, pos: ServerIdx, key: AttemptKey) {
        if self.cut_from_server(key.instance, pos) || !self.servers[pos].up {
            return;
        }
        let server = &mut self.servers[pos];
        let was_running = server.running.remove(&key);
        let waited = server.waiting.len();
        server.waiting.retain(|j| j.key != key);
        let known = was_running.is_some() || server.waiting.len() < waited;
        if let Some((_, job)) = &was_running {
            // A write may have taken effect before it is canceled, so it counts as run.
            let job = job.clone();
            self.record_run(&job);
        }
        if known {
            self.reply(pos, key, AttemptOutcome::Unknown, self.delay);
            self.run_waiting_jobs(pos);
        }
    }

    fn reply(&mut self, pos: ServerIdx, key: AttemptKey, outcome: AttemptOutcome, delay: Duration) {
        if self.cut_from_server(key.instance, pos) {
            return;
        }
        let draining = self.servers[pos].announced.state == ServerState::Draining;
        let outcome = Box::new(outcome);
        self.queue(self.now + delay, SimEvent::ReplyArrives { key, outcome, draining });
    }
}

/// Builds a reply with one hit for each shard and schema version. The record of a hit holds the
/// index version, the shard and the query number, which [`super::check`] compares.
fn reply_to(job: &AttemptAtServer, fault: ServerFault, load: LoadReport) -> SearchReply {
    let mut version = job.attempt.index_version;
    let mut shards: Vec<ShardId> = job.attempt.shards.iter().collect();
    match fault {
        ServerFault::WrongVersion => version.0 += 1,
        ServerFault::WrongShard => shards.push(ShardId(shards.last().map_or(0, |s| s.0 + 1))),
        ServerFault::PartialReply => drop(shards.pop()),
        _ => {}
    }
    let shard_replies = shards.into_iter().map(|shard| {
        let hits = job.attempt.schemas.iter().filter_map(|schema| {
            let record = format!("[{version},{shard},{}]", job.query_number);
            Some(Hit {
                id: format_smolstr!("plot-{shard}"),
                schema: *schema,
                score: 1.0 / f64::from(shard.0 + 1),
                record: RawValue::from_string(record).ok()?,
            })
        });
        ShardReply { shard, schemas: job.attempt.schemas.clone(), hits: hits.collect() }
    });
    SearchReply {
        attempt: SmolStr::default(),
        index_version: version,
        shards: shard_replies.collect(),
        load: Some(load),
    }
}
