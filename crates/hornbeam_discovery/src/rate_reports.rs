//! Reports of entries about the rates that servers state, aggregated at a controller.
//!
//! Every entry hears of a stated rate within two heartbeats of a feed, also one that has just
//! started, and learns its part of the rate from the demand of all entries.

use std::time::Duration;

use hornbeam_model::{InstanceId, Mono, RateReport, RateStatement, RequestRate, ServerId};
use indexmap::IndexMap;

/// Age up to which the demand of an entry counts; it allows for two lost reports.
const MAX_DEMAND_AGE: Duration = Duration::from_millis(1_500);
/// Time without any report after which a statement is forgotten. Entries repeat a stated rate, so
/// the server has left or has withdrawn its rate.
const STATEMENT_TTL: Duration = Duration::from_secs(60);
/// Maximum number of servers with a statement; the one that was learned first is forgotten.
const MAX_SERVERS: usize = 16_384;

/// The latest statement of a server, and the demand for it.
#[derive(Debug)]
struct KnownStatement {
    statement: RateStatement,
    reported_at: Mono,
    /// Latest demand of each entry, and when it was reported.
    demands: IndexMap<InstanceId, (RequestRate, Mono)>,
}

/// The latest rate that each server has stated, and the demand of each entry for the server.
#[derive(Debug, Default)]
pub struct RateReports {
    servers: IndexMap<ServerId, KnownStatement>,
}

impl RateReports {
    /// Records the reports of an entry.
    pub fn record(&mut self, now: Mono, entry: &InstanceId, reports: Vec<RateReport>) {
        for RateReport { statement, demand } in reports {
            if !self.servers.contains_key(&statement.server) && self.servers.len() >= MAX_SERVERS {
                self.servers.shift_remove_index(0);
            }
            let server = self.servers.entry(statement.server.clone());
            let known = server.or_insert_with(|| KnownStatement {
                statement: statement.clone(),
                reported_at: now,
                demands: IndexMap::new(),
            });
            known.reported_at = now;
            known.demands.insert(entry.clone(), (demand, now));
            if statement.supersedes(&known.statement) {
                known.statement = statement;
            }
        }
    }

    /// Returns all statements with the demand of the entries that reported it recently.
    pub fn summary(&mut self, now: Mono) -> Vec<RateReport> {
        self.servers.retain(|_, known| now.since(known.reported_at) < STATEMENT_TTL);
        let summaries = self.servers.values_mut().map(|known| {
            known.demands.retain(|_, (_, at)| now.since(*at) < MAX_DEMAND_AGE);
            let demand = known.demands.values().map(|(demand, _)| *demand).sum();
            RateReport { statement: known.statement.clone(), demand }
        });
        summaries.collect()
    }
}
