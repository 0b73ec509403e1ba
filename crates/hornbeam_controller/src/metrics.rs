//! Prometheus metrics of one controller.

use hornbeam_node::connections::Connections;
use hornbeam_node::exposition::{encode_text, register};
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// All metrics of one controller.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// API calls received, by kind.
    pub calls: IntCounterVec,
    /// Known servers, including departed ones that are not forgotten yet.
    pub servers: IntGauge,
    /// Entries heard within `ENTRY_EXPIRY`.
    pub entries: IntGauge,
    /// Controllers heard within `MAX_CONTACT_AGE`, including this one.
    pub controllers: IntGauge,
    /// 1 while this controller leads.
    pub leads: IntGauge,
    /// Zones whose servers are evacuated.
    pub evacuated_zones: IntGauge,
    /// Version of the routing table in force.
    pub table_version: IntGauge,
    /// Voters of the control log as this controller knows them.
    pub voters: IntGauge,
    /// 1 while a voter is being replaced.
    pub replacing_voter: IntGauge,
    /// Voters whose disks are known to be lost.
    pub lost_voters: IntGauge,
    /// At the leader, voters that may be lost before nothing can be decided; 0 elsewhere.
    pub spare_voters: IntGauge,
    /// 1 while a leader of the control log is known.
    pub leader_known: IntGauge,
    /// Highest routing table that an entry has held while a later one was not in force here.
    pub entries_table: IntGauge,
    /// Index of the last log entry that this controller knows to be committed.
    pub committed_index: IntGauge,
    /// Writes of the control log that its disk has not synced yet.
    pub unsynced_writes: IntGauge,
    /// Open connections of servers, operators, pages and strangers.
    pub client_connections: IntGauge,
    /// Bytes reserved for what they send.
    pub client_bytes: IntGauge,
    /// Connections that were closed to make room.
    pub displaced_connections: IntGauge,
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
            controllers: gauge(
                "hornbeam_controller_controllers",
                "Controllers heard recently, including this one.",
            ),
            leads: gauge("hornbeam_controller_leads", "1 while this controller leads."),
            evacuated_zones: gauge(
                "hornbeam_controller_evacuated_zones",
                "Zones whose servers are evacuated.",
            ),
            table_version: gauge("hornbeam_controller_table_version", "Routing table in force."),
            voters: gauge("hornbeam_controller_voters", "Voters of the control log."),
            replacing_voter: gauge(
                "hornbeam_controller_replacing_voter",
                "1 while a voter is being replaced.",
            ),
            lost_voters: gauge(
                "hornbeam_controller_lost_voters",
                "Voters whose disks are known to be lost.",
            ),
            spare_voters: gauge(
                "hornbeam_controller_spare_voters",
                "At the leader, voters that may be lost before nothing can be decided.",
            ),
            leader_known: gauge(
                "hornbeam_controller_leader_known",
                "1 while a leader of the control log is known.",
            ),
            entries_table: gauge(
                "hornbeam_controller_entries_table",
                "Highest routing table of an entry that was later than the one in force here.",
            ),
            committed_index: gauge(
                "hornbeam_controller_committed_index",
                "Last log entry known to be committed.",
            ),
            unsynced_writes: gauge(
                "hornbeam_controller_unsynced_writes",
                "Writes of the control log that its disk has not synced yet.",
            ),
            client_connections: gauge(
                "hornbeam_controller_client_connections",
                "Open connections of servers, operators, pages and strangers.",
            ),
            client_bytes: gauge(
                "hornbeam_controller_client_bytes",
                "Bytes reserved for what servers, operators and strangers send.",
            ),
            displaced_connections: gauge(
                "hornbeam_controller_displaced_connections",
                "Connections that were closed to make room.",
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

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        encode_text(&self.registry)
    }
}
