//! Prometheus metrics of one entry.

use hornbeam_node::connections::Connections;
use hornbeam_node::exposition::{encode_text, register};
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: &[f64] =
    &[0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 8.0];

/// All metrics of one entry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Time from a request to its final response, by outcome.
    pub request_seconds: HistogramVec,
    /// Requests that an entry refused instead of forwarding a response, by reason.
    pub refusals: IntCounterVec,
    /// Requests of teams that an entry refused, by team.
    pub team_refusals: IntCounterVec,
    /// Attempts sent to backend servers, by kind.
    pub attempts: IntCounterVec,
    /// Attempts sent to backend servers, by the zone of the server: that of this entry or another one.
    pub zone_attempts: IntCounterVec,
    /// Bytes of requests and responses exchanged with backend servers, by the zone of the server.
    pub zone_bytes: IntCounterVec,
    /// Times at which requests of a service began or ceased to leave the zone, by which of both.
    pub zone_spills: IntCounterVec,
    /// Attempts that ended, by outcome.
    pub outcomes: IntCounterVec,
    /// Responses of servers that do not count for their request, by reason.
    pub discarded_responses: IntCounterVec,
    /// Servers that stated in a response that they are leaving or want a pause, by kind.
    pub notices: IntCounterVec,
    /// Shards that waited because the servers of their service are cold.
    pub cold_waits: IntCounter,
    /// Missing shards of merged responses.
    pub missing_shards: IntCounter,
    /// Connections opened to backend servers, including those that fail to open.
    pub connects: IntCounter,
    /// Shard groups delegated to other entries.
    pub delegated_groups: IntCounter,
    /// Groups of shards that only other entries could reach.
    pub relayed_groups: IntCounter,
    /// Requests that were quarantined because servers ended under them.
    pub quarantines: IntCounter,
    /// Shard groups gathered for other entries and reported as finished.
    pub gathered_groups: IntCounter,
    /// Requests without a final response.
    pub in_flight: IntGauge,
    /// Results of attempts and groups that are neither used nor discarded.
    pub held_results: IntGauge,
    /// Bytes reserved for what servers and other entries send.
    pub reserved_bytes: IntGauge,
    /// Open connections of callers, pages and strangers.
    pub client_connections: IntGauge,
    /// Bytes reserved for what they send.
    pub client_bytes: IntGauge,
    /// Connections that were closed to make room.
    pub displaced_connections: IntGauge,
    /// Backend servers that accept new requests.
    pub usable_servers: IntGauge,
    /// Zones whose servers are evacuated.
    pub evacuated_zones: IntGauge,
    /// 1 while this entry reaches no backend server, else 0.
    pub detached: IntGauge,
    /// Teams that were refused a request because of their quota in the last second.
    pub limited_teams: IntGauge,
    /// Controllers whose feed is fresh.
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
        let opts =
            HistogramOpts::new("hornbeam_entry_request_seconds", "Time to the final response.");
        let opts = opts.buckets(LATENCY_BUCKETS.to_vec());
        Self {
            request_seconds: register(&registry, HistogramVec::new(opts, &["outcome"])),
            refusals: counters("hornbeam_entry_refusals_total", "Requests refused.", "reason"),
            team_refusals: counters(
                "hornbeam_entry_team_refusals_total",
                "Requests of teams refused.",
                "team",
            ),
            attempts: counters("hornbeam_entry_attempts_total", "Attempts sent.", "kind"),
            zone_attempts: counters(
                "hornbeam_entry_zone_attempts_total",
                "Attempts sent, by the zone of the server.",
                "zone",
            ),
            zone_bytes: counters(
                "hornbeam_entry_zone_bytes_total",
                "Bytes exchanged with servers, by their zone.",
                "zone",
            ),
            zone_spills: counters(
                "hornbeam_entry_zone_spills_total",
                "Times at which requests of a service began or ceased to leave the zone.",
                "change",
            ),
            outcomes: counters("hornbeam_entry_outcomes_total", "Attempts ended.", "outcome"),
            discarded_responses: counters(
                "hornbeam_entry_discarded_responses_total",
                "Responses of servers that do not count for their request.",
                "reason",
            ),
            notices: counters(
                "hornbeam_entry_server_notices_total",
                "Servers that stated that they are leaving, want a pause or accept a rate.",
                "kind",
            ),
            cold_waits: counter(
                "hornbeam_entry_cold_waits_total",
                "Shards that waited because the servers of their service are cold.",
            ),
            missing_shards: counter(
                "hornbeam_entry_missing_shards_total",
                "Missing shards of merged responses.",
            ),
            connects: counter("hornbeam_entry_connects_total", "Connections opened to servers."),
            quarantines: counter(
                "hornbeam_entry_quarantines_total",
                "Requests that were quarantined because servers ended under them.",
            ),
            relayed_groups: counter(
                "hornbeam_entry_groups_relayed_total",
                "Shard groups delegated because this entry reached none of their servers.",
            ),
            delegated_groups: counter(
                "hornbeam_entry_groups_given_total",
                "Shard groups delegated to other entries.",
            ),
            gathered_groups: counter(
                "hornbeam_entry_groups_collected_total",
                "Shard groups gathered for other entries.",
            ),
            in_flight: gauge("hornbeam_entry_in_flight", "Requests without a final response."),
            held_results: gauge(
                "hornbeam_entry_held_results",
                "Results of attempts and groups that are neither used nor discarded.",
            ),
            reserved_bytes: gauge(
                "hornbeam_entry_reserved_bytes",
                "Bytes reserved for responses and messages.",
            ),
            client_connections: gauge(
                "hornbeam_entry_client_connections",
                "Open connections of callers, pages and strangers.",
            ),
            client_bytes: gauge(
                "hornbeam_entry_client_bytes",
                "Bytes reserved for what callers and strangers send.",
            ),
            displaced_connections: gauge(
                "hornbeam_entry_displaced_connections",
                "Connections that were closed to make room.",
            ),
            usable_servers: gauge(
                "hornbeam_entry_usable_servers",
                "Backend servers that accept new requests.",
            ),
            evacuated_zones: gauge(
                "hornbeam_entry_evacuated_zones",
                "Zones whose servers are evacuated.",
            ),
            detached: gauge(
                "hornbeam_entry_detached",
                "1 while this entry reaches no backend server, else 0.",
            ),
            limited_teams: gauge(
                "hornbeam_entry_limited_teams",
                "Teams refused in the last second because of their quota.",
            ),
            fresh_feeds: gauge("hornbeam_entry_fresh_feeds", "Controllers whose feed is fresh."),
            table_version: gauge(
                "hornbeam_entry_table_version",
                "Version of the routing table in force.",
            ),
            registry,
        }
    }
}

impl Metrics {
    /// Sets what is known of the connections of clients.
    pub fn set_clients(&self, connections: &Connections) {
        self.client_connections.set(connections.open() as i64);
        self.client_bytes.set(connections.reserved_bytes() as i64);
        self.displaced_connections.set(connections.displaced_count() as i64);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        encode_text(&self.registry)
    }
}
