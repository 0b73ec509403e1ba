//! Observations of callers, servers and operators, and checks of the guarantees.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time after a fault in which guarantees with a time bound are not checked, because the programs
/// first have to detect the fault.
pub const FAULT_DETECTION_TIME: Duration = Duration::from_secs(5);
/// Time for which a draining server may still get requests after a controller acknowledged that it
/// drains.
pub const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Time after a notice of a server from which it is in effect; earlier requests may have been under
/// way.
const NOTICE_SLACK: Duration = Duration::from_millis(500);
/// Requests that may reach a server during a pause that it asked for.
const MAX_ARRIVALS_IN_PAUSE: usize = 2;

/// What a server stated to an entry in a response.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Notice {
    /// It wants no requests for this many milliseconds.
    Pause(u64),
    /// It is leaving.
    Leaving,
}

/// A notice of one server to one entry, and the requests of that entry that arrived against it.
#[derive(Clone, Debug)]
struct StatedNotice {
    entry: String,
    server: String,
    notice: Notice,
    at: Instant,
    arrivals: usize,
}

/// Request that has ended, as its caller observed it.
#[derive(Clone, Debug)]
pub struct CompletedRequest {
    /// Request id.
    pub id: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// HTTP status, or `None` if the connection ended without a response.
    pub status: Option<u16>,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time until the response or the end of the connection.
    pub took: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    /// Service and server of every run, by request id.
    runs: HashMap<String, Vec<(String, String)>>,
    completed: Vec<CompletedRequest>,
    violations: Vec<String>,
    /// Time at which a controller first acknowledged that each server drains.
    leaving: HashMap<String, Instant>,
    /// Times at which a fault began or ended.
    faults: Vec<Instant>,
    /// Highest acknowledged table version, and the time of its acknowledgment.
    acknowledged: (u64, Option<Instant>),
    sent: HashSet<String>,
    notices: Vec<StatedNotice>,
}

/// Thread-safe record of all observations of a run; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    inner: Arc<Mutex<Inner>>,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records a violated guarantee.
    pub fn record_violation(&self, text: String) {
        self.lock().violations.push(text);
    }

    /// Records that a fault begins or ends now.
    pub fn record_fault(&self) {
        self.lock().faults.push(Instant::now());
    }

    /// Records that a caller is about to send a request.
    pub fn record_sent(&self, id: &str) {
        self.lock().sent.insert(id.to_owned());
    }

    /// Records that a server begins to run a request, and checks that it may.
    pub fn record_run(&self, id: &str, service: &str, server: &str) {
        let now = Instant::now();
        let mut inner = self.lock();
        if !inner.sent.contains(id) {
            inner.violations.push(format!("{server} runs {id}, which no caller sent"));
        }
        let draining_since = inner.leaving.get(server).copied();
        if let Some(draining_since) = draining_since
            && now.duration_since(draining_since) > DRAIN_TIME
            && inner.is_fault_free(draining_since, now)
        {
            let late = now.duration_since(draining_since);
            inner
                .violations
                .push(format!("{server} got {id} {late:?} after its drain was acknowledged"));
        }
        let runs = inner.runs.entry(id.to_owned()).or_default();
        runs.push((service.to_owned(), server.to_owned()));
    }

    /// Records what a server stated in the response to a request of a caller to one service.
    pub fn record_notice(&self, request: &str, server: &str, notice: Notice) {
        let (entry, server) = (entry_of(request).to_owned(), server.to_owned());
        let stated = StatedNotice { entry, server, notice, at: Instant::now(), arrivals: 0 };
        self.lock().notices.push(stated);
    }

    /// Records that a request of a caller to one service arrived at a server, and counts it
    /// against the notices of that server to the entry that the caller asked.
    pub fn record_arrival(&self, request: &str, server: &str) {
        let now = Instant::now();
        let mut inner = self.lock();
        for stated in &mut inner.notices {
            let since = now.duration_since(stated.at);
            let is_against = match stated.notice {
                Notice::Pause(ms) => since > NOTICE_SLACK && since < Duration::from_millis(ms),
                Notice::Leaving => since > DRAIN_TIME,
            };
            if stated.server == server && stated.entry == entry_of(request) && is_against {
                stated.arrivals += 1;
            }
        }
    }

    /// Records that the memory of an entry ended: it was restarted.
    pub fn record_restart(&self, entry: usize) {
        let entry = format!("c{entry}");
        self.lock().notices.retain(|n| n.entry != entry);
    }

    /// Records that a controller acknowledged that a server drains.
    pub fn record_leaving(&self, server: &str) {
        self.lock().leaving.entry(server.to_owned()).or_insert_with(Instant::now);
    }

    /// Records how a request ended.
    pub fn record_completed(&self, request: CompletedRequest) {
        self.lock().completed.push(request);
    }

    /// Records that a controller acknowledged a table version.
    pub fn record_acknowledged(&self, version: u64) {
        let mut inner = self.lock();
        if version > inner.acknowledged.0 {
            inner.acknowledged = (version, Some(Instant::now()));
        }
    }

    /// Checks that a read that began at `began` returned no older version than the acknowledged
    /// one.
    pub fn check_read(&self, began: Instant, version: u64) {
        let mut inner = self.lock();
        let (acknowledged, at) = inner.acknowledged;
        if version < acknowledged && at.is_some_and(|at| at < began) {
            let text = format!(
                "table version {version} was read after version {acknowledged} was acknowledged"
            );
            inner.violations.push(text);
        }
    }

    /// Returns the highest acknowledged table version.
    pub fn acknowledged(&self) -> u64 {
        self.lock().acknowledged.0
    }

    /// Returns the fraction of the requests sent since `since` that got a response with status 200.
    pub fn served_since(&self, since: Instant) -> f64 {
        let inner = self.lock();
        let sent: Vec<_> = inner.completed.iter().filter(|e| e.sent >= since).collect();
        let served = sent.iter().filter(|e| e.status == Some(200)).count();
        served as f64 / sent.len().max(1) as f64
    }

    /// Returns the ids of the requests that a server ran and that got no response.
    pub fn unanswered_after_run(&self) -> Vec<String> {
        let inner = self.lock();
        let cut = inner.completed.iter().filter(|e| e.status.is_none());
        cut.filter(|e| inner.runs.contains_key(&e.id)).map(|e| e.id.clone()).collect()
    }

    /// Returns all requests that have ended.
    pub fn completed(&self) -> Vec<CompletedRequest> {
        self.lock().completed.clone()
    }

    /// Checks the guarantees that depend on the whole run and returns every violation, including
    /// those recorded before.
    pub fn violations(&self, max_attempts: usize, timeout: Duration) -> Vec<String> {
        let inner = self.lock();
        let mut violations = inner.violations.clone();
        for stated in &inner.notices {
            let allowed = match stated.notice {
                Notice::Pause(_) => MAX_ARRIVALS_IN_PAUSE,
                Notice::Leaving => 0,
            };
            if stated.arrivals > allowed {
                violations.push(format!(
                    "{} got {} requests of the entry of {} against its notice {:?}",
                    stated.server, stated.arrivals, stated.entry, stated.notice
                ));
            }
        }
        for ended in &inner.completed {
            let runs = inner.runs.get(&ended.id).map_or(&[][..], Vec::as_slice);
            let (id, status) = (&ended.id, ended.status);
            if !ended.idempotent && runs.len() > 1 {
                violations.push(format!("{id} ran {} times: {runs:?}", runs.len()));
            }
            let refused_as_not_run = matches!(status, Some(408 | 421 | 429 | 503));
            if refused_as_not_run && !ended.idempotent && !runs.is_empty() {
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
            let is_long_head = status == Some(431);
            if is_long_head && inner.is_fault_free(ended.sent, end) {
                violations.push(format!("{id} was refused with 431 within the limit in force"));
            }
            if ended.took > timeout + slack && inner.is_fault_free(ended.sent, end) {
                violations.push(format!("{id} ended after {:?}", ended.took));
            }
        }
        violations
    }
}

/// Returns the part of a request id that names the entry to which its caller sent it.
fn entry_of(request: &str) -> &str {
    request.split('y').next().unwrap_or_default()
}

impl Inner {
    /// Returns whether no fault began or ended from [`FAULT_DETECTION_TIME`] before `from` until `to`.
    fn is_fault_free(&self, from: Instant, to: Instant) -> bool {
        !self.faults.iter().any(|at| *at + FAULT_DETECTION_TIME > from && *at <= to)
    }
}
