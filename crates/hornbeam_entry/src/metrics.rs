//! Prometheus metrics of one entry.

use hornbeam_node::exposition::{register, text};
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Bucket bounds of latencies, in seconds.
const LATENCY_BUCKETS: &[f64] =
    &[0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 8.0];

/// All metrics of one entry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Time from request to final answer, by outcome.
    pub request_seconds: HistogramVec,
    /// Requests that ended without an answer, by reason.
    pub refusals: IntCounterVec,
    /// Attempts sent, by kind.
    pub attempts: IntCounterVec,
    /// Attempts that came back, by outcome.
    pub outcomes: IntCounterVec,
    /// Shards that answers lacked.
    pub missing_shards: IntCounter,
    /// Connections opened to servers.
    pub connects: IntCounter,
    /// Groups of shards given to other entries.
    pub delegated_groups: IntCounter,
    /// Groups of shards collected for other entries.
    pub gathered_groups: IntCounter,
    /// Requests without a final answer.
    pub in_flight: IntGauge,
    /// Servers that may be used.
    pub usable_servers: IntGauge,
    /// Controllers heard lately.
    pub fresh_feeds: IntGauge,
    /// Version of the routing table in force.
    pub table_version: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            let metric = IntCounterVec::new(Opts::new(name, help), &[label]);
            register(&registry, metric)
        };
        let counter = |name: &str, help: &str| register(&registry, IntCounter::new(name, help));
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help));
        let opts = HistogramOpts::new("hornbeam_entry_request_seconds", "Time to a final answer.");
        let opts = opts.buckets(LATENCY_BUCKETS.to_vec());
        Self {
            request_seconds: register(&registry, HistogramVec::new(opts, &["outcome"])),
            refusals: counters("hornbeam_entry_refusals_total", "Requests refused.", "reason"),
            attempts: counters("hornbeam_entry_attempts_total", "Attempts sent.", "kind"),
            outcomes: counters("hornbeam_entry_outcomes_total", "Attempts ended.", "outcome"),
            missing_shards: counter("hornbeam_entry_missing_shards_total", "Shards left out."),
            connects: counter("hornbeam_entry_connects_total", "Connections opened to servers."),
            delegated_groups: counter("hornbeam_entry_groups_given_total", "Groups given away."),
            gathered_groups: counter("hornbeam_entry_groups_collected_total", "Groups collected."),
            in_flight: gauge("hornbeam_entry_in_flight", "Requests without a final answer."),
            usable_servers: gauge("hornbeam_entry_usable_servers", "Servers that may be used."),
            fresh_feeds: gauge("hornbeam_entry_fresh_feeds", "Controllers heard lately."),
            table_version: gauge("hornbeam_entry_table_version", "Routing table in force."),
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
