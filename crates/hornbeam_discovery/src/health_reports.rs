//! Health reports of entries about servers, aggregated at a controller.
//!
//! In a large fleet an entry sends requests to each server only occasionally. Its report spares
//! every other entry a late response.

use std::time::Duration;

use hornbeam_model::{InstanceId, Mono, ServerId};
use hornbeam_protocol::discovery::HealthReport;
use indexmap::IndexMap;

/// Age up to which a report counts; it allows for two lost reports.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Minimum number of entries that report a server before the summary includes it.
const MIN_REPORTERS: usize = 2;
/// Maximum number of servers in the reports of one entry; the rest is dropped.
const MAX_REPORTED_SERVERS: usize = 1_000;

/// The latest health reports of each entry.
#[derive(Debug, Default)]
pub struct HealthReports {
    reports: IndexMap<InstanceId, (Mono, Vec<HealthReport>)>,
}

impl HealthReports {
    /// Records the reports of an entry, which replace all its previous ones.
    pub fn record(&mut self, now: Mono, entry: InstanceId, mut reports: Vec<HealthReport>) {
        reports.truncate(MAX_REPORTED_SERVERS);
        self.reports.insert(entry, (now, reports));
    }

    /// Summarizes the reports that are not older than `MAX_REPORT_AGE` on the servers that
    /// `concerns` selects. The slowness of a server is the median over its reporters, of two middle
    /// values the higher one. A server is unresponsive if at least half of its reporters, and at
    /// least two, say so. A report of a single entry does not count: otherwise all entries would
    /// avoid a healthy server at once and overload its replicas.
    pub fn summary(
        &mut self,
        now: Mono,
        concerns: impl Fn(&ServerId) -> bool,
    ) -> Vec<HealthReport> {
        self.reports.retain(|_, (at, _)| now.since(*at) < MAX_REPORT_AGE);
        let mut by_server: IndexMap<&ServerId, Vec<&HealthReport>> = IndexMap::new();
        let reports = self.reports.values().flat_map(|(_, reports)| reports);
        for report in reports.filter(|r| concerns(&r.server)) {
            by_server.entry(&report.server).or_default().push(report);
        }
        let confirmed = by_server.into_iter().filter(|(_, reports)| reports.len() >= MIN_REPORTERS);
        let summaries = confirmed.map(|(server, reports)| {
            let mut slowness: Vec<u16> = reports.iter().map(|r| r.slowness_tenths).collect();
            slowness.sort_unstable();
            let unresponsive = reports.iter().filter(|r| r.unresponsive).count();
            HealthReport {
                server: server.clone(),
                slowness_tenths: slowness[slowness.len() / 2],
                unresponsive: unresponsive >= MIN_REPORTERS && 2 * unresponsive >= reports.len(),
            }
        });
        summaries.collect()
    }
}
