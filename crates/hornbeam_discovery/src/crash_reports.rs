//! Reports of entries about requests in flight at servers that ended.
//!
//! Controllers collect them for entries that start later, and entries for controllers that do. Which
//! request ended the servers is decided elsewhere.

use std::time::Duration;

use hornbeam_model::{CrashReport, CrashedRun, Fingerprint, Incarnation, Mono, ServerId};
use indexmap::IndexMap;
use indexmap::map::Entry;
use serde::{Deserialize, Serialize};

/// Time for which a run is kept; entries use it no longer than this.
const RUN_TTL: Duration = Duration::from_secs(600);
/// Maximum number of runs; the one that was learned first is dropped.
const MAX_RUNS: usize = 16_384;

/// The runs of a controller as they are kept on its disk, so that a request that ends servers does not
/// end more after a loss of power of all programs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SavedCrashes {
    unix_ms: u64,
    runs: Vec<CrashReport>,
}

/// Runs of requests during which their server ended, as all entries together know them.
#[derive(Debug, Default)]
pub struct CrashReports {
    runs: IndexMap<(Fingerprint, ServerId, Incarnation), CrashedRun>,
}

impl CrashReports {
    /// Records reports; returns those that tell something new.
    pub fn record(&mut self, now: Mono, reports: Vec<CrashReport>) -> Vec<CrashReport> {
        let oldest = now.0 as i64 - RUN_TTL.as_micros() as i64;
        self.runs.retain(|_, run| run.span.ended >= oldest);
        let mut new = Vec::new();
        for run in reports.into_iter().map(|r| r.into_run(now)) {
            if run.span.ended < oldest {
                continue;
            }
            let key = (run.fingerprint, run.server.clone(), run.incarnation);
            match self.runs.entry(key) {
                Entry::Occupied(mut known) if run.cleared && !known.get().cleared => {
                    known.get_mut().cleared = true;
                }
                Entry::Occupied(_) => continue,
                Entry::Vacant(vacant) => {
                    vacant.insert(run.clone());
                }
            }
            new.push(run.report(now));
        }
        if self.runs.len() > MAX_RUNS {
            self.runs.drain(..self.runs.len() - MAX_RUNS);
        }
        new
    }

    /// Records the runs that were saved before a restart.
    pub fn recall(&mut self, now: Mono, unix_ms: u64, saved: SavedCrashes) {
        // The time of day may have been set back since.
        let age = Duration::from_millis(unix_ms.saturating_sub(saved.unix_ms));
        self.record(now, saved.runs.into_iter().map(|run| run.aged_by(age)).collect());
    }

    /// Returns all runs to save them.
    pub fn to_save(&self, now: Mono, unix_ms: u64) -> SavedCrashes {
        SavedCrashes { unix_ms, runs: self.all(now) }
    }

    /// Returns all runs.
    pub fn all(&self, now: Mono) -> Vec<CrashReport> {
        self.runs.values().map(|run| run.report(now)).collect()
    }
}
