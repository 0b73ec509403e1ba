//! Reports of entries about requests in flight at servers that ended, collected at a controller.
//!
//! The controller keeps them for entries that start later and decides nothing.

use std::time::Duration;

use hornbeam_model::{CrashReport, CrashedRun, Mono};

/// Time for which a run is kept; entries use it no longer than this.
const RUN_TTL: Duration = Duration::from_secs(600);
/// Maximum number of runs; the one that was learned first is dropped.
const MAX_RUNS: usize = 4_096;

/// Runs of requests during which their server ended, as all entries together know them.
#[derive(Debug, Default)]
pub struct CrashReports {
    runs: Vec<CrashedRun>,
}

impl CrashReports {
    /// Records the reports of an entry; returns those that tell something new.
    pub fn record(&mut self, now: Mono, reports: Vec<CrashReport>) -> Vec<CrashReport> {
        let oldest = now.0 as i64 - RUN_TTL.as_micros() as i64;
        self.runs.retain(|run| run.span.ended >= oldest);
        let mut new = Vec::new();
        for run in reports.into_iter().map(|r| r.into_run(now)) {
            if run.span.ended < oldest {
                continue;
            }
            match self.runs.iter_mut().find(|known| known.is_same_run(&run)) {
                Some(known) if run.cleared && !known.cleared => known.cleared = true,
                Some(_) => continue,
                None => {
                    if self.runs.len() >= MAX_RUNS {
                        self.runs.remove(0);
                    }
                    self.runs.push(run.clone());
                }
            }
            new.push(run.report(now));
        }
        new
    }

    /// Returns all runs.
    pub fn all(&self, now: Mono) -> Vec<CrashReport> {
        self.runs.iter().map(|run| run.report(now)).collect()
    }
}
