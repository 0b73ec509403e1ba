//! Prometheus metrics of one controller.

use hornbeam_node::exposition::{register, text};
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// All metrics of one controller.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Calls taken, by kind.
    pub calls: IntCounterVec,
    /// Servers known.
    pub servers: IntGauge,
    /// Entries that follow.
    pub entries: IntGauge,
    /// Controllers heard lately.
    pub controllers: IntGauge,
    /// 1 while this controller leads.
    pub leads: IntGauge,
    /// Version of the routing table in force.
    pub table_version: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let calls = Opts::new("hornbeam_controller_calls_total", "Calls taken.");
        let calls = register(&registry, IntCounterVec::new(calls, &["kind"]));
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help));
        Self {
            calls,
            servers: gauge("hornbeam_controller_servers", "Servers known."),
            entries: gauge("hornbeam_controller_entries", "Entries that follow."),
            controllers: gauge("hornbeam_controller_controllers", "Controllers heard lately."),
            leads: gauge("hornbeam_controller_leads", "1 while this controller leads."),
            table_version: gauge("hornbeam_controller_table_version", "Routing table in force."),
            registry,
        }
    }
}

impl Metrics {
    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        text(&self.registry)
    }
}
