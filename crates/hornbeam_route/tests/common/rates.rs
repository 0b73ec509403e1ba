//! Exchange of the rates that simulated servers state.

use std::time::Duration;

use hornbeam_model::{Mono, RequestRate, ServerId};
use rand::Rng;

use super::routes::entry_name;
use super::{DEMAND_REPORT_INTERVAL, Event, ONE_WAY_LATENCY, World};

/// Delay of a late report.
const LATE_REPORT: Duration = Duration::from_millis(900);

/// Fractions of the reports between entries and controllers that are lost, late or doubled.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportFaults {
    pub lost: f64,
    pub late: f64,
    pub doubled: f64,
}

impl World {
    /// Exchanges reports of stated rates through a controller from now on.
    pub fn report_rates(&mut self, faults: ReportFaults) {
        self.report_faults = faults;
        self.schedule(self.now, Event::ReportRates);
    }

    pub(super) fn exchange_rates(&mut self) {
        let now = self.now;
        let ReportFaults { lost, late, doubled } = self.report_faults;
        for entry in 0..self.engines.len() {
            let reports = self.engines[entry].rate_reports(now);
            if !self.rng.random_bool(lost) {
                self.rate_reports.record(now, &entry_name(entry), reports);
            }
        }
        let summary = self.rate_reports.summary(now);
        let number = self.seq;
        self.rate_messages.insert(number, summary);
        for entry in 0..self.engines.len() {
            if self.rng.random_bool(lost) {
                continue;
            }
            let delay = if self.rng.random_bool(late) { LATE_REPORT } else { ONE_WAY_LATENCY };
            self.schedule(now + delay, Event::RatesArrive(entry, number));
            if self.rng.random_bool(doubled) {
                self.schedule(now + 2 * LATE_REPORT, Event::RatesArrive(entry, number));
            }
        }
        self.schedule(now + DEMAND_REPORT_INTERVAL, Event::ReportRates);
    }

    /// Sets the rate that a server states in its responses.
    pub fn set_rate(&mut self, server: &str, rate: Option<f64>) {
        let name: ServerId = server.parse().unwrap();
        let rate = rate.and_then(RequestRate::from_per_second);
        self.servers[self.by_name[&name]].rate = rate;
    }

    /// Times at which requests arrived at a server.
    pub fn arrival_times(&self, server: &str) -> &[Mono] {
        let name: ServerId = server.parse().unwrap();
        &self.servers[self.by_name[&name]].arrived_at
    }
}
