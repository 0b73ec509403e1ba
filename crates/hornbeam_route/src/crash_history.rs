//! Requests that end the servers that run them, recognized by their fingerprints.
//!
//! Load pattern: a request ends each server that begins to run it, and its caller sends it again, to
//! any entry. Every request in flight at a server that ends is a suspect. What tells the culprit from
//! the requests beside it:
//!
//! - It has ended servers one after the other. Runs that overlap in time count once, since one event,
//!   such as the loss of a rack, may have ended their servers.
//! - It has never got a response. A response clears a request of all its runs.
//! - If repeats differ in their query string, they are suspects together: they are quarantined as long
//!   as no request to the same path gets a response.
//! - A search may end the servers of one shard while others respond. Each shard is a suspect of its own
//!   besides, which only a response of its service clears; without that shard the search goes on.
//! - It explains the most ends. An end that a quarantined request explains counts for no other one.
//!
//! All entries learn all runs and come to the same conclusion. Replayed in `tests/crash_suspects`.

use std::cmp::Reverse;
use std::time::Duration;

use hornbeam_model::{CrashReport, CrashedRun, Fingerprint, Incarnation, Mono, ServerId};
use indexmap::IndexMap;

/// Servers that a request must have ended, one after the other, before it is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// Time after its last run for which a request is a suspect or quarantined.
const RUN_TTL: Duration = Duration::from_secs(600);
/// Runs that are kept for each request: the servers of a search that goes to many shards end
/// together, and each end must be explained for the requests beside it.
const MAX_RUNS: usize = 64;
/// Maximum number of fingerprints with runs; the one with the fewest crashes is dropped.
const MAX_SUSPECTS: usize = 1_024;

/// Time after its end from which a run is reported: most requests get a response elsewhere by then,
/// which clears them, and other entries need not know of them.
const REPORT_DELAY: Duration = Duration::from_millis(300);

/// A run, and what other entries know of it.
#[derive(Debug)]
struct KnownRun {
    run: CrashedRun,
    /// False until a check has shown that the server has ended; until then the run does not count.
    confirmed: bool,
    /// True if it is not reported yet, or not that it is cleared.
    unreported: bool,
    /// True if other entries know the run.
    shared: bool,
}

impl KnownRun {
    /// Returns true if the run counts against its request.
    fn counts(&self) -> bool {
        self.confirmed && !self.run.cleared
    }
}

/// Runs during which servers ended, by request, and the requests that are not sent any more.
#[derive(Debug, Default)]
pub struct CrashHistory {
    suspects: IndexMap<Fingerprint, Vec<KnownRun>>,
    /// End of the quarantine of each request.
    quarantined: IndexMap<Fingerprint, Mono>,
}

impl CrashHistory {
    /// Returns the end of the quarantine of a request or of one shard of it, if it is quarantined.
    pub fn quarantined_until(&self, now: Mono, fingerprint: Fingerprint) -> Option<Mono> {
        let exact = self.quarantined.get(&fingerprint);
        let until = exact.or_else(|| self.quarantined.get(&fingerprint.any_query())).copied();
        until.filter(|until| now < *until)
    }

    /// Returns true if no request is quarantined, as is usual.
    pub fn is_clear(&self) -> bool {
        self.quarantined.is_empty()
    }

    /// Returns the requests that are quarantined.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> {
        self.quarantined.keys().copied()
    }

    /// Returns the number of servers that a request has ended one after the other, as far as no
    /// response has cleared it.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, |runs| successive_crashes(runs, &[]))
    }

    /// Records a run whose connection was lost; it counts once its server is known to have ended. Its
    /// fingerprint names the service if the request is a search.
    pub fn record(&mut self, now: Mono, run: CrashedRun) {
        for fingerprint in scopes(run.fingerprint) {
            // Other entries derive the wider scopes from the run itself.
            let unreported = fingerprint == run.fingerprint;
            let run = CrashedRun { fingerprint, ..run.clone() };
            self.insert(now, KnownRun { run, confirmed: false, unreported, shared: false });
        }
    }

    /// Records that a server has ended; returns the requests whose runs count from now on.
    pub fn confirm_end(
        &mut self,
        now: Mono,
        server: &ServerId,
        incarnation: Incarnation,
    ) -> Vec<Fingerprint> {
        let mut confirmed = Vec::new();
        for known in self.suspects.values_mut().flatten().filter(|known| !known.confirmed) {
            if known.run.is_at(server, incarnation) {
                known.confirmed = true;
                if known.unreported && !known.run.cleared {
                    confirmed.push(known.run.fingerprint);
                }
            }
        }
        self.update_quarantine(now);
        confirmed
    }

    /// Records that a server is running: the connections to it were lost for another reason.
    pub fn discard_unconfirmed(&mut self, server: &ServerId, incarnation: Incarnation) {
        self.suspects.retain(|_, runs| {
            runs.retain(|known| known.confirmed || !known.run.is_at(server, incarnation));
            !runs.is_empty()
        });
    }

    /// Records the runs that other entries have reported.
    pub fn record_reports(&mut self, now: Mono, reports: Vec<CrashReport>) {
        let mut changed = false;
        for report in reports {
            let run = report.into_run(now);
            let known = |run| KnownRun { run, confirmed: true, unreported: false, shared: true };
            if run.cleared {
                changed |= self.insert(now, known(run));
                continue;
            }
            for fingerprint in scopes(run.fingerprint) {
                let run = CrashedRun { fingerprint, ..run.clone() };
                changed |= self.insert(now, known(run));
            }
        }
        if changed {
            self.update_quarantine(now);
        }
    }

    /// Records that a request got a response from a server that ran it: it ends no servers. The
    /// fingerprint names the service if the request is a search.
    pub fn clear(&mut self, now: Mono, fingerprint: Fingerprint) {
        let mut changed = false;
        for fingerprint in scopes(fingerprint) {
            let Some(runs) = self.suspects.get_mut(&fingerprint) else { continue };
            for known in runs.iter_mut().filter(|known| !known.run.cleared) {
                known.run.cleared = true;
                known.unreported = true;
                changed = true;
            }
        }
        if changed {
            self.update_quarantine(now);
        }
    }

    /// Returns the runs that this entry has observed or cleared and not reported yet.
    pub fn take_reports(&mut self, now: Mono) -> Vec<CrashReport> {
        let latest = now.0 as i64 - REPORT_DELAY.as_micros() as i64;
        let mut reports = Vec::new();
        let mut reported = Vec::new();
        for known in self.suspects.values_mut().flatten() {
            if !known.unreported || !known.confirmed {
                continue;
            }
            if known.run.cleared {
                known.unreported = false;
                if known.shared {
                    reports.push(known.run.report(now));
                }
            } else if known.run.span.ended <= latest {
                known.unreported = false;
                reports.push(known.run.report(now));
                reported.push(known.run.clone());
            }
        }
        for run in reported {
            for fingerprint in scopes(run.fingerprint) {
                let runs = self.suspects.get_mut(&fingerprint).into_iter().flatten();
                runs.filter(|known| known.run.is_same_end(&run)).for_each(|k| k.shared = true);
            }
        }
        reports
    }

    /// Adds a run or clears a known one; returns true if this changes anything.
    fn insert(&mut self, now: Mono, new: KnownRun) -> bool {
        let run = &new.run;
        let oldest = now.0 as i64 - RUN_TTL.as_micros() as i64;
        if run.span.ended < oldest {
            return false;
        }
        self.suspects.retain(|_, runs| {
            runs.retain(|known| known.run.span.ended >= oldest);
            !runs.is_empty()
        });
        if !self.suspects.contains_key(&run.fingerprint) && self.suspects.len() >= MAX_SUSPECTS {
            self.drop_least_suspect();
        }
        let runs = self.suspects.entry(run.fingerprint).or_default();
        if let Some(known) = runs.iter_mut().find(|known| known.run.is_same_run(run)) {
            let changed =
                (run.cleared && !known.run.cleared) || (new.confirmed && !known.confirmed);
            known.confirmed |= new.confirmed;
            known.run.cleared |= run.cleared;
            known.shared |= new.shared;
            return changed;
        }
        runs.push(new);
        runs.sort_by_key(|known| known.run.span.ended);
        if runs.len() > MAX_RUNS {
            runs.remove(least_telling(runs));
        }
        true
    }

    fn drop_least_suspect(&mut self) {
        let least = self.suspects.iter().min_by_key(|(_, runs)| {
            let last = runs.last().map_or(i64::MIN, |known| known.run.span.ended);
            (successive_crashes(runs, &[]), last)
        });
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.swap_remove(&fingerprint);
        }
    }

    /// Determines the requests to quarantine: first single ones, then those that differ in their
    /// query string only, then single shards.
    fn update_quarantine(&mut self, now: Mono) {
        self.quarantined.clear();
        let mut explained: Vec<CrashedRun> = Vec::new();
        let is_request = |f: &Fingerprint| f.query.is_some() && f.service.is_none();
        self.quarantine_culprits(now, is_request, &mut explained);
        self.quarantine_culprits(now, |f| f.query.is_none(), &mut explained);
        self.quarantine_culprits(now, |f| f.service.is_some(), &mut explained);
    }

    /// Quarantines the candidate that explains the most ends of servers, as long as there is one with
    /// enough of them that no other one explains.
    fn quarantine_culprits(
        &mut self,
        now: Mono,
        is_candidate: impl Fn(&Fingerprint) -> bool,
        explained: &mut Vec<CrashedRun>,
    ) {
        loop {
            let suspects = self.suspects.iter().filter(|(f, _)| is_candidate(f));
            let by_crashes = suspects.map(|(fingerprint, runs)| {
                (successive_crashes(runs, explained), runs.len(), Reverse(*fingerprint))
            });
            let Some((crashes, _, Reverse(fingerprint))) = by_crashes.max() else { return };
            if crashes < QUARANTINE_CRASHES {
                return;
            }
            let runs = &self.suspects[&fingerprint];
            let uncleared = runs.iter().filter(|known| known.counts()).map(|known| &known.run);
            let last = uncleared.clone().map(|run| run.span.ended).max().unwrap_or_default();
            explained.extend(uncleared.cloned());
            let age = Duration::from_micros((now.0 as i64 - last).max(0) as u64);
            self.quarantined.insert(fingerprint, now + RUN_TTL.saturating_sub(age));
        }
    }
}

/// Returns the fingerprints that a run counts for: the request, all that differ in the query string
/// only, and the shard of a search.
fn scopes(fingerprint: Fingerprint) -> impl Iterator<Item = Fingerprint> {
    let request = Fingerprint { service: None, ..fingerprint };
    let shard = fingerprint.service.map(|_| fingerprint);
    [request, request.any_query()].into_iter().chain(shard)
}

/// Counts the runs that no response has cleared and no other request explains, of those that overlap
/// only one. The runs are in the order of their ends, so taking each one that begins after the last
/// one taken gives the largest number.
fn successive_crashes(runs: &[KnownRun], explained: &[CrashedRun]) -> usize {
    successive_runs(runs, explained).len()
}

/// Returns the positions of the runs that [`successive_crashes`] counts.
fn successive_runs(runs: &[KnownRun], explained: &[CrashedRun]) -> Vec<usize> {
    let mut counted = Vec::new();
    let mut last_end = i64::MIN;
    for (i, known) in runs.iter().enumerate() {
        let run = &known.run;
        let counts = known.counts() && !explained.iter().any(|other| other.is_same_end(run));
        if counts && run.span.began >= last_end {
            counted.push(i);
            last_end = run.span.ended;
        }
    }
    counted
}

/// Returns the position of the run to drop: the oldest one that does not count, or else the oldest.
fn least_telling(runs: &[KnownRun]) -> usize {
    let counted = successive_runs(runs, &[]);
    (0..runs.len()).find(|i| !counted.contains(i)).unwrap_or(0)
}
