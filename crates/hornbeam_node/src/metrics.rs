//! Prometheus metrics of one instance.

use std::sync::Arc;

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry,
};

use crate::exposition::{encode_text, register};

use crate::traffic::ServerReport;

/// Bucket bounds of latencies, in seconds.
const LATENCY_BUCKETS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.13, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0,
    10.0,
];
/// Bucket bounds of coverage, as a part of 1.
const COVERAGE_BUCKETS: &[f64] = &[0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0];

/// All metrics of one instance.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Registry>,
    /// Time from request to answer, by service.
    pub query_seconds: HistogramVec,
    /// Part of the shards asked for that the answer covers, by service.
    pub coverage: HistogramVec,
    /// Attempts sent, by kind.
    pub attempts: IntCounterVec,
    /// Attempts cancelled.
    pub cancels: IntCounter,
    /// Requests refused, by reason.
    pub refusals: IntCounterVec,
    /// Replies dropped, by reason.
    pub dropped_replies: IntCounterVec,
    /// Attempts out at each server.
    pub outstanding: IntGaugeVec,
    /// Requests that are not answered yet.
    pub in_flight: IntGauge,
    /// Time from a reply's arrival to the engine's decision on it.
    pub step_seconds: Histogram,
    /// Inner messages sent, by kind.
    pub inner_sent: IntCounterVec,
    /// Bytes of inner messages sent.
    pub inner_sent_bytes: IntCounter,
    /// Bytes of inner messages received.
    pub inner_received_bytes: IntCounter,
    /// Inner frames refused, by reason.
    pub frames_refused: IntCounterVec,
    /// The configuration revision in force.
    pub config_revision: IntGauge,
    /// Time since a quorum confirmed the configuration, in milliseconds; -1 if never.
    pub config_confirmed_age_ms: IntGauge,
    /// Announcements taken and refused.
    pub announcements: IntCounterVec,
    /// 1 while this instance leads control.
    pub control_leader: IntGauge,
    /// Term of the control log.
    pub control_term: IntGauge,
    /// Last committed entry of the control log.
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
        let step = HistogramOpts::new("hornbeam_step_seconds", "Time of one decision step")
            .buckets(vec![0.00001, 0.00003, 0.0001, 0.0003, 0.001, 0.003, 0.01]);
        let step_seconds = register(&r, Histogram::with_opts(step));
        let outstanding =
            Opts::new("hornbeam_server_outstanding", "Attempts out at each backend server");
        let outstanding = register(&r, IntGaugeVec::new(outstanding, &["server"]));
        Self {
            query_seconds: histograms(
                &r,
                "hornbeam_query_seconds",
                "Time from request to answer",
                LATENCY_BUCKETS,
            ),
            coverage: histograms(
                &r,
                "hornbeam_coverage_ratio",
                "Part of the shards asked for that an answer covers",
                COVERAGE_BUCKETS,
            ),
            attempts: counters(&r, "hornbeam_attempts_total", "Attempts sent by kind", "kind"),
            cancels: counter(&r, "hornbeam_cancels_total", "Attempts cancelled"),
            refusals: counters(&r, "hornbeam_refusals_total", "Requests refused", "reason"),
            dropped_replies: counters(
                &r,
                "hornbeam_dropped_replies_total",
                "Replies dropped by reason",
                "reason",
            ),
            in_flight: gauge(&r, "hornbeam_in_flight", "Requests not answered yet"),
            inner_sent: counters(&r, "hornbeam_inner_sent_total", "Inner messages sent", "kind"),
            inner_sent_bytes: counter(&r, "hornbeam_inner_sent_bytes_total", "Inner bytes sent"),
            inner_received_bytes: counter(
                &r,
                "hornbeam_inner_received_bytes_total",
                "Inner bytes received",
            ),
            frames_refused: counters(
                &r,
                "hornbeam_frames_refused_total",
                "Inner frames refused",
                "reason",
            ),
            config_revision: gauge(&r, "hornbeam_config_revision", "Revision in force"),
            config_confirmed_age_ms: gauge(
                &r,
                "hornbeam_config_confirmed_age_ms",
                "Time since a quorum confirmed the configuration, -1 if never",
            ),
            announcements: counters(
                &r,
                "hornbeam_announcements_total",
                "Announcements by result",
                "result",
            ),
            control_leader: gauge(&r, "hornbeam_control_leader", "1 while leading control"),
            control_term: gauge(&r, "hornbeam_control_term", "Term of the control log"),
            control_commit: gauge(&r, "hornbeam_control_commit", "Last committed entry"),
            step_seconds,
            outstanding,
            registry: Arc::new(r),
        }
    }
}

impl Metrics {
    /// Takes over what is out at each server.
    pub fn update_outstanding(&self, servers: &[ServerReport]) {
        self.outstanding.reset();
        for server in servers {
            let outstanding = self.outstanding.with_label_values(&[server.server.as_str()]);
            outstanding.set(i64::from(server.outstanding));
        }
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        // The encoder writes text only.
        String::from_utf8(encode_text(&self.registry)).unwrap_or_default()
    }
}
