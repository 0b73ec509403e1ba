//! What callers and servers saw, and the promises.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time after a fault in which promises with a time bound do not hold: programs have to notice it.
pub const CALM_AFTER: Duration = Duration::from_secs(5);
/// Time for which a server that leaves may still get requests after its word was taken.
pub const DRAIN_TIME: Duration = Duration::from_secs(3);

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub struct CompletedRequest {
    /// Its id.
    pub id: String,
    /// True if it may run more than once.
    pub idempotent: bool,
    /// Status, or nothing if the connection ended without an answer.
    pub status: Option<u16>,
    /// When it was sent.
    pub sent: Instant,
    /// How long it took.
    pub took: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    /// Servers that ran each request, with the service.
    runs: HashMap<String, Vec<(String, String)>>,
    completed: Vec<CompletedRequest>,
    violations: Vec<String>,
    /// When each server's word that it leaves was taken.
    leaving: HashMap<String, Instant>,
    /// Times at which something was hurt, or stopped being hurt.
    faults: Vec<Instant>,
    /// The highest table version acknowledged, and when.
    acknowledged: (u64, Option<Instant>),
    asked: HashSet<String>,
}

/// Handle on the ledger; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    inner: Arc<Mutex<Inner>>,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Notes a broken promise.
    pub fn violate(&self, text: String) {
        self.lock().violations.push(text);
    }

    /// Notes that something was hurt, or stopped being hurt.
    pub fn record_fault(&self) {
        self.lock().faults.push(Instant::now());
    }

    /// Notes that a caller sends a request.
    pub fn record_sent(&self, id: &str) {
        self.lock().asked.insert(id.to_owned());
    }

    /// Notes that a server begins to work on a request.
    pub fn record_run(&self, id: &str, service: &str, server: &str) {
        let now = Instant::now();
        let mut inner = self.lock();
        if !inner.asked.contains(id) {
            inner.violations.push(format!("{server} runs {id}, which nobody sent"));
        }
        let left = inner.leaving.get(server).copied();
        if let Some(left) = left
            && now.duration_since(left) > DRAIN_TIME
            && inner.is_calm(left, now)
        {
            let late = now.duration_since(left);
            inner.violations.push(format!("{server} got {id} {late:?} after it said it leaves"));
        }
        let runs = inner.runs.entry(id.to_owned()).or_default();
        runs.push((service.to_owned(), server.to_owned()));
    }

    /// Notes that a server's word that it leaves was taken.
    pub fn record_leaving(&self, server: &str) {
        self.lock().leaving.entry(server.to_owned()).or_insert_with(Instant::now);
    }

    /// Notes how a request ended.
    pub fn record_completed(&self, ended: CompletedRequest) {
        self.lock().completed.push(ended);
    }

    /// Notes that a table version was acknowledged.
    pub fn record_acknowledged(&self, version: u64) {
        let mut inner = self.lock();
        if version > inner.acknowledged.0 {
            inner.acknowledged = (version, Some(Instant::now()));
        }
    }

    /// Checks a version that was read back, by a read that began at `began`.
    pub fn check_read(&self, began: Instant, version: u64) {
        let mut inner = self.lock();
        let (acknowledged, at) = inner.acknowledged;
        if version < acknowledged && at.is_some_and(|at| at < began) {
            let text = format!("table {version} was read back after {acknowledged} was accepted");
            inner.violations.push(text);
        }
    }

    /// The highest table version acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.lock().acknowledged.0
    }

    /// Share of the requests sent since `since` that were answered with success.
    pub fn served_since(&self, since: Instant) -> f64 {
        let inner = self.lock();
        let sent: Vec<_> = inner.completed.iter().filter(|e| e.sent >= since).collect();
        let served = sent.iter().filter(|e| e.status == Some(200)).count();
        served as f64 / sent.len().max(1) as f64
    }

    /// Idempotent requests that a server ran and whose callers got no answer at all.
    pub fn unanswered_after_run(&self) -> Vec<String> {
        let inner = self.lock();
        let cut = inner.completed.iter().filter(|e| e.status.is_none());
        cut.filter(|e| inner.runs.contains_key(&e.id)).map(|e| e.id.clone()).collect()
    }

    /// Requests that ended.
    pub fn completed(&self) -> Vec<CompletedRequest> {
        self.lock().completed.clone()
    }

    /// Checks the promises that need the whole run, and gives every violation.
    pub fn violations(&self, max_attempts: usize, timeout: Duration) -> Vec<String> {
        let inner = self.lock();
        let mut violations = inner.violations.clone();
        for ended in &inner.completed {
            let runs = inner.runs.get(&ended.id).map_or(&[][..], Vec::as_slice);
            let (id, status) = (&ended.id, ended.status);
            if !ended.idempotent && runs.len() > 1 {
                violations.push(format!("{id} ran {} times: {runs:?}", runs.len()));
            }
            let promised = matches!(status, Some(429 | 503));
            if promised && !ended.idempotent && !runs.is_empty() {
                violations.push(format!("{id} was refused with {status:?} and ran: {runs:?}"));
            }
            let mut by_service: HashMap<&str, HashSet<&str>> = HashMap::new();
            for (service, server) in runs {
                by_service.entry(service).or_default().insert(server);
            }
            if by_service.values().any(|servers| servers.len() > max_attempts) {
                violations.push(format!("{id} ran on too many servers: {runs:?}"));
            }
            let slack = Duration::from_millis(500);
            let end = ended.sent + ended.took;
            if ended.took > timeout + slack && inner.is_calm(ended.sent, end) {
                violations.push(format!("{id} ended after {:?}", ended.took));
            }
        }
        violations
    }
}

impl Inner {
    /// True if nothing was hurt from a while before `from` until `to`.
    fn is_calm(&self, from: Instant, to: Instant) -> bool {
        !self.faults.iter().any(|at| *at + CALM_AFTER > from && *at <= to)
    }
}
