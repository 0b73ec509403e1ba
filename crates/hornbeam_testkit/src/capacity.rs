//! Computes the table of docs/CAPACITY.md from measured slopes.

use std::fmt::Write;

use serde::Deserialize;

/// Nodes of the design size.
const NODES: f64 = 2_100.0;
/// Backend servers of the design size.
const SERVERS: f64 = 85_000.0;
/// Queries per second over all entries.
const QUERIES_PER_S: f64 = 2_700_000.0;
/// Servers that each query is sent to.
const FANOUT: f64 = 1_600.0;
/// Availability zones of the design size.
const ZONES: f64 = 15.0;
/// Voters of the control group.
const VOTERS: f64 = 5.0;
/// Registrars in each zone; they also relay changes.
const REGISTRARS_PER_ZONE: f64 = 3.0;
/// Configuration changes per day.
const CHANGES_PER_DAY: f64 = 50_000.0;
/// 99th percentile of the response time, in seconds.
const RESPONSE_TIME_P99_S: f64 = 0.130;
/// Servers whose responses one gathering entry merges.
const SERVERS_PER_GROUP: f64 = 40.0;
/// Connections that a server accepts.
const CONNECTIONS_PER_SERVER: f64 = 25.0;
/// Encoded size of a change including its envelope, in bytes.
const CHANGE_BYTES: f64 = 300.0;
/// Instances to which each change is forwarded.
const RELAY_FANOUT: f64 = 3.0;
/// Cores of a node, for the CPU budget of an attempt.
const CORES_PER_NODE: f64 = 16.0;
/// Converts [`CHANGES_PER_DAY`] to changes per second.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Straight line fitted to measured points.
#[derive(Clone, Debug, Deserialize)]
pub struct Line {
    /// Cost at size zero, in the unit that the field of [`Slopes`] names.
    pub base: f64,
    /// Cost of each additional unit of size.
    pub slope: f64,
}

/// Content of docs/capacity/slopes.json.
#[derive(Clone, Debug, Deserialize)]
pub struct Slopes {
    /// CPU time of a query as a function of its attempts, in microseconds.
    pub query_cpu_us: Line,
    /// Memory as a function of the known servers, in bytes.
    pub server_memory_bytes: Line,
    /// CPU time as a function of the announcements, in microseconds.
    pub announcement_cpu_us: Line,
    /// Memory as a function of the in-flight queries of 16 attempts each, in bytes.
    pub query_memory_bytes: Line,
    /// Share of a core that an idle instance uses, as a function of the instances.
    pub idle_cpu_share: Line,
    /// Bytes per second that an idle instance sends, as a function of the instances.
    pub idle_bytes_per_s: Line,
    /// Memory of an idle instance as a function of the instances, in bytes.
    pub idle_memory_bytes: Line,
}

/// One element of docs/capacity/recovery.json.
#[derive(Clone, Debug, Deserialize)]
pub struct Recovery {
    /// Number of changes in the log.
    pub changes: f64,
    /// Changes written per second, each synced to disk.
    pub changes_per_s: f64,
    /// Size of the data folder, in bytes.
    pub disk_bytes: f64,
    /// Time to read the data folder back, in milliseconds.
    pub recovery_ms: f64,
}

struct Table(String);

impl Table {
    fn row(&mut self, role: &str, quantity: &str, derivation: &str, value: f64, unit: &str) {
        let shown = match value {
            v if v >= 1_000_000.0 => format!("{:.2} million", v / 1e6),
            v if v >= 100.0 => format!("{v:.0}"),
            v if v >= 1.0 => format!("{v:.1}"),
            v => format!("{v:.4}"),
        };
        let _ = writeln!(self.0, "| {role} | {quantity} | {derivation} | {shown} {unit} |");
    }
}

/// Returns the table as Markdown.
pub fn table(s: &Slopes, recovery: &[Recovery]) -> String {
    let mut t =
        Table("| role | quantity | from | at the design size |\n|---|---|---|---|\n".into());
    let registrars = ZONES * REGISTRARS_PER_ZONE;
    let entries = NODES - registrars - VOTERS;
    entry_rows(&mut t, s, entries);
    registrar_rows(&mut t, s, registrars);
    node_rows(&mut t, s, registrars);
    if let Some(last) = recovery.last() {
        voter_rows(&mut t, last);
    }
    t.0
}

fn entry_rows(t: &mut Table, s: &Slopes, entries: f64) {
    let queries = QUERIES_PER_S / entries;
    let attempts = queries * FANOUT;
    let attempt_us = s.query_cpu_us.slope;
    t.row("entry", "queries", "2.7 M over all entries", queries, "a second");
    t.row("entry", "sub-requests", "times 1,600", attempts, "a second");
    t.row(
        "entry",
        "processor, one message each",
        "times the slope of an attempt",
        attempts * attempt_us / 1e6,
        "cores",
    );
    let groups = FANOUT / SERVERS_PER_GROUP;
    let merged = queries * groups * attempt_us / 1e6;
    t.row("entry", "processor, one message for 40 searchers", "times 40 groups", merged, "cores");
    let budget = NODES * CORES_PER_NODE * 1e6 / (QUERIES_PER_S * FANOUT);
    t.row(
        "all",
        "processor allowed for a sub-request",
        "16 cores a node, all in all",
        budget,
        "us",
    );
    t.row(
        "all",
        "factor that batching must bring",
        "slope over that budget",
        attempt_us / budget,
        "times",
    );
    let known = SERVERS / ZONES;
    t.row("entry", "known servers", "those of the zone", known, "");
    t.row(
        "entry",
        "memory for them",
        "times the slope of a server",
        known * s.server_memory_bytes.slope / 1e6,
        "MB",
    );
    let in_flight = queries * RESPONSE_TIME_P99_S;
    t.row("entry", "queries in flight", "times 130 ms", in_flight, "");
    let per_attempt = s.query_memory_bytes.slope / 16.0;
    t.row(
        "entry",
        "memory for them, one message each",
        "times 1,600 attempts",
        in_flight * FANOUT * per_attempt / 1e6,
        "MB",
    );
    t.row(
        "entry",
        "memory for them, one message for 40",
        "times 40 groups",
        in_flight * groups * per_attempt / 1e6,
        "MB",
    );
    let per_zone = entries / ZONES;
    t.row(
        "entry",
        "servers it may connect to",
        "25 connections over the zone's entries",
        known * CONNECTIONS_PER_SERVER / per_zone,
        "",
    );
    t.row(
        "searcher",
        "sub-requests",
        "2.7 M times 1,600 over 85,000",
        QUERIES_PER_S * FANOUT / SERVERS,
        "a second",
    );
}

fn registrar_rows(t: &mut Table, s: &Slopes, registrars: f64) {
    let announcements = SERVERS / registrars;
    t.row(
        "registrar",
        "announcements",
        "85,000 a second over all registrars",
        announcements,
        "a second",
    );
    let share = announcements * s.announcement_cpu_us.slope / 1e6;
    t.row(
        "registrar",
        "processor for them",
        "times the slope of an announcement",
        share * 100.0,
        "% of a core",
    );
    let memory = s.server_memory_bytes.base + announcements * s.server_memory_bytes.slope;
    t.row("registrar", "memory", "base and its leases", memory / 1e6, "MB");
}

fn node_rows(t: &mut Table, s: &Slopes, registrars: f64) {
    let digests = s.idle_bytes_per_s.base + s.idle_bytes_per_s.slope * registrars;
    t.row("node", "digests", "base and slope at 45 registrars", digests, "B a second");
    let changes = CHANGES_PER_DAY / SECONDS_PER_DAY * CHANGE_BYTES * RELAY_FANOUT;
    t.row("node", "changes passed on", "0.58 a second, 300 bytes, to 3", changes, "B a second");
    t.row(
        "node",
        "control bytes in all",
        "sum, allowed are 3,000",
        digests + changes,
        "B a second",
    );
    let cpu = s.idle_cpu_share.base + s.idle_cpu_share.slope * registrars;
    t.row(
        "node",
        "control processor, idle",
        "base and slope, allowed are 3.2",
        cpu * 100.0,
        "% of a core",
    );
    let memory = s.idle_memory_bytes.base + s.idle_memory_bytes.slope * registrars;
    t.row("node", "control memory, idle", "base and slope, allowed are 256", memory / 1e6, "MB");
}

fn voter_rows(t: &mut Table, last: &Recovery) {
    t.row(
        "voter",
        "changes it can take",
        "measured, each synced, one voter",
        last.changes_per_s,
        "a second",
    );
    t.row(
        "voter",
        "changes it must take",
        "50,000 a day",
        CHANGES_PER_DAY / SECONDS_PER_DAY,
        "a second",
    );
    t.row("voter", "disk", "measured after 100,000 changes", last.disk_bytes / 1e6, "MB");
    t.row("voter", "recovery", "measured after 100,000 changes", last.recovery_ms, "ms");
}
