//! Prometheus metrics of one instance.

use std::sync::Arc;

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry,
};

use crate::exposition::{encode_text, register};
use crate::traffic::ServerReport;

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.13, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0,
    10.0,
];
/// Upper bounds of the coverage histogram buckets, as a fraction of the requested shards (1 = all).
const COVERAGE_BUCKETS: &[f64] = &[0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0];

/// All metrics of one instance.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Registry>,
    /// Time from request to response in seconds, by service.
    pub query_seconds: HistogramVec,
    /// Fraction of the requested shards that the response covers, by service.
    pub coverage: HistogramVec,
    /// Attempts sent, by kind.
    pub attempts: IntCounterVec,
    /// Attempts that were cancelled.
    pub cancels: IntCounter,
    /// Requests refused, by reason.
    pub refusals: IntCounterVec,
    /// Replies dropped because they were late or belonged to another attempt, by reason.
    pub dropped_replies: IntCounterVec,
    /// In-flight attempts at each backend server.
    pub outstanding: IntGaugeVec,
    /// Requests without a response so far.
    pub in_flight: IntGauge,
    /// Time that the engine takes to process one attempt result, in seconds.
    pub step_seconds: Histogram,
    /// Messages sent to other instances, by kind.
    pub inner_sent: IntCounterVec,
    /// Bytes sent to other instances.
    pub inner_sent_bytes: IntCounter,
    /// Bytes received from other instances.
    pub inner_received_bytes: IntCounter,
    /// Frames from other instances that were rejected, by reason.
    pub frames_refused: IntCounterVec,
    /// The configuration revision in force.
    pub config_revision: IntGauge,
    /// Time since a quorum confirmed the configuration, in milliseconds; -1 if never.
    pub config_confirmed_age_ms: IntGauge,
    /// Announcements of backend servers, by result: `taken` or `refused`.
    pub announcements: IntCounterVec,
    /// 1 while this instance is the leader of the control log, 0 otherwise.
    pub control_leader: IntGauge,
    /// Term of the control log.
    pub control_term: IntGauge,
    /// Index of the last committed entry of the control log.
    pub control_commit: IntGauge,
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(name, help))
}

fn counters(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    register(registry, IntCounterVec::new(Opts::new(name, help), &[label]))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(name, help))
}

fn histograms(registry: &Registry, name: &str, help: &str, buckets: &[f64]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    register(registry, HistogramVec::new(opts, &["service"]))
}

impl Default for Metrics {
    fn default() -> Self {
        let r = Registry::new();
        let step = HistogramOpts::new(
            "hornbeam_step_seconds",
            "Time that the engine takes to process one attempt result",
        )
        .buckets(vec![0.00001, 0.00003, 0.0001, 0.0003, 0.001, 0.003, 0.01]);
        let step_seconds = register(&r, Histogram::with_opts(step));
        let outstanding =
            Opts::new("hornbeam_server_outstanding", "In-flight attempts at each backend server");
        let outstanding = register(&r, IntGaugeVec::new(outstanding, &["server"]));
        Self {
            query_seconds: histograms(
                &r,
                "hornbeam_query_seconds",
                "Time from request to response",
                LATENCY_BUCKETS,
            ),
            coverage: histograms(
                &r,
                "hornbeam_coverage_ratio",
                "Fraction of the requested shards that a response covers",
                COVERAGE_BUCKETS,
            ),
            attempts: counters(&r, "hornbeam_attempts_total", "Attempts sent, by kind", "kind"),
            cancels: counter(&r, "hornbeam_cancels_total", "Attempts cancelled"),
            refusals: counters(
                &r,
                "hornbeam_refusals_total",
                "Requests refused, by reason",
                "reason",
            ),
            dropped_replies: counters(
                &r,
                "hornbeam_dropped_replies_total",
                "Replies dropped, by reason",
                "reason",
            ),
            in_flight: gauge(&r, "hornbeam_in_flight", "Requests without a response so far"),
            inner_sent: counters(
                &r,
                "hornbeam_inner_sent_total",
                "Messages sent to other instances, by kind",
                "kind",
            ),
            inner_sent_bytes: counter(
                &r,
                "hornbeam_inner_sent_bytes_total",
                "Bytes sent to other instances",
            ),
            inner_received_bytes: counter(
                &r,
                "hornbeam_inner_received_bytes_total",
                "Bytes received from other instances",
            ),
            frames_refused: counters(
                &r,
                "hornbeam_frames_refused_total",
                "Frames from other instances that were rejected, by reason",
                "reason",
            ),
            config_revision: gauge(
                &r,
                "hornbeam_config_revision",
                "Configuration revision in force",
            ),
            config_confirmed_age_ms: gauge(
                &r,
                "hornbeam_config_confirmed_age_ms",
                "Milliseconds since a quorum confirmed the configuration, -1 if never",
            ),
            announcements: counters(
                &r,
                "hornbeam_announcements_total",
                "Announcements of backend servers, by result",
                "result",
            ),
            control_leader: gauge(
                &r,
                "hornbeam_control_leader",
                "1 while this instance leads the control log",
            ),
            control_term: gauge(&r, "hornbeam_control_term", "Term of the control log"),
            control_commit: gauge(
                &r,
                "hornbeam_control_commit",
                "Index of the last committed control log entry",
            ),
            step_seconds,
            outstanding,
            registry: Arc::new(r),
        }
    }
}

impl Metrics {
    /// Replaces the in-flight attempts of all backend servers.
    pub fn update_outstanding(&self, servers: &[ServerReport]) {
        self.outstanding.reset();
        for server in servers {
            let outstanding = self.outstanding.with_label_values(&[server.server.as_str()]);
            outstanding.set(i64::from(server.outstanding));
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        // The encoder only writes valid UTF-8.
        String::from_utf8(encode_text(&self.registry)).unwrap_or_default()
    }
}
