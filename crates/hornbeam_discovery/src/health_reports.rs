//! What entries have found out about servers, put together at a controller.
//!
//! In a large fleet an entry meets each server only now and then. What one has found out spares the
//! others a late answer each.

use std::time::Duration;

use hornbeam_model::{InstanceId, Mono, ServerId};
use hornbeam_protocol::discovery::HealthReport;
use indexmap::IndexMap;

/// Age up to which a report counts; two of them may be lost.
const REPORT_FRESH: Duration = Duration::from_millis(1_500);
/// Entries that must report a server before others are told.
const MIN_REPORTERS: usize = 2;
/// Servers of one report taken at most.
const MAX_REPORTED: usize = 1_000;

/// The latest report of each entry.
#[derive(Debug, Default)]
pub struct HealthReports {
    reports: IndexMap<InstanceId, (Mono, Vec<HealthReport>)>,
}

impl HealthReports {
    /// Takes the report of an entry; it replaces the one before.
    pub fn record(&mut self, now: Mono, entry: InstanceId, mut troubles: Vec<HealthReport>) {
        troubles.truncate(MAX_REPORTED);
        self.reports.insert(entry, (now, troubles));
    }

    /// The troubles of all fresh reports: a server is as slow as the middle one of its reporters says,
    /// and silent if half of them, and more than one, say so. What one entry says alone is no trouble
    /// of the server: others would leave a sound one together and overload its copies.
    pub fn summary(&mut self, now: Mono) -> Vec<HealthReport> {
        self.reports.retain(|_, (at, _)| now.since(*at) < REPORT_FRESH);
        let mut by_server: IndexMap<&ServerId, Vec<&HealthReport>> = IndexMap::new();
        for trouble in self.reports.values().flat_map(|(_, troubles)| troubles) {
            by_server.entry(&trouble.server).or_default().push(trouble);
        }
        let shared = by_server.into_iter().filter(|(_, told)| told.len() >= MIN_REPORTERS);
        let summaries = shared.map(|(server, told)| {
            let mut slowness: Vec<u16> = told.iter().map(|t| t.slowness_tenths).collect();
            slowness.sort_unstable();
            let silent = told.iter().filter(|t| t.unresponsive).count();
            HealthReport {
                server: server.clone(),
                slowness_tenths: slowness[slowness.len() / 2],
                unresponsive: silent >= MIN_REPORTERS && 2 * silent >= told.len(),
            }
        });
        summaries.collect()
    }
}
