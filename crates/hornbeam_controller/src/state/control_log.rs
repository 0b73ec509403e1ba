//! The replicated control log: routing tables that are proposed, committed and read.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_control::{
    Proposal, ProposalId, ProposalOutcome, Raft, RaftInput, RaftOutput, RaftParams, RepairPolicy,
    Role, Voter, initial_voters,
};
use hornbeam_model::{InstanceId, Mono, Routing, TableVersion};
use hornbeam_protocol::Message;
use hornbeam_protocol::control::DiskId;
use hornbeam_protocol::features::Features;
use hornbeam_storage::{Folder, StorageError};
use serde_json::json;
use tokio::sync::oneshot;

use super::Controller;
use super::peers::MAX_REPORTED_LEADER_AGE;
use crate::api::ApiResponse;
use crate::log_disk::LogDisk;

/// Time without a reply after which a voter is replaced by a standby controller. Long enough for a
/// restart, and short enough that the set of voters is complete again before the next loss.
const VOTER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which founders with empty disks wait before they start a log. Entries and other controllers
/// that hold a table connect and answer within it.
const FOUNDING_WAIT: Duration = Duration::from_secs(1);
/// Writes that the disk of the leader may be behind before it refuses proposals and another one is to lead.
const MAX_UNSYNCED_WRITES: usize = 64;
/// Applied log entries after which a snapshot is taken.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 1_024;

impl Controller {
    pub(super) fn raft(&self) -> Option<&Raft> {
        self.voter.as_ref().and_then(Voter::raft)
    }

    pub(super) fn is_leader(&self) -> bool {
        self.raft().is_some_and(|r| r.role() == Role::Leader)
    }

    /// Returns the leader known to the local voter, or else the one that has announced itself
    /// recently.
    pub(super) fn leader(&self) -> Option<InstanceId> {
        let now = self.clock.now();
        let known = self.raft().and_then(|r| r.leader().cloned());
        let reported = self.reported_leader.as_ref();
        let reported = reported.filter(|(_, at)| now.since(*at) < MAX_REPORTED_LEADER_AGE);
        known.or_else(|| reported.map(|(name, _)| name.clone()))
    }

    /// Opens the log on the disk, also after the disk has failed.
    pub(super) async fn open_voter(&mut self, now: Mono) {
        let Some(path) = &self.settings.data_dir else { return };
        // Releases the lock of the folder, which a voter whose disk has failed still holds.
        self.voter = None;
        self.log_disk = None;
        let seeds = self.settings.seed_names();
        let is_founder = self.settings.founding && seeds.contains(&self.me);
        let named = if is_founder { seeds } else { Vec::new() };
        let folder = Folder::open(path).map_err(|e| e.to_string()).and_then(|folder| {
            let voters = initial_voters(&folder, named).map_err(|e| e.to_string())?;
            Ok((folder, voters))
        });
        let initial_voters = folder.as_ref().map(|(_, voters)| voters.clone()).unwrap_or_default();
        let is_initial_voter = !initial_voters.is_empty();
        let params = RaftParams {
            me: self.me.clone(),
            initial_voters,
            nonce: rand::random(),
            seed: rand::random(),
            snapshot_interval_entries: SNAPSHOT_INTERVAL_ENTRIES,
            repair: Some(RepairPolicy {
                target_voters: self.settings.target_voters(),
                voter_timeout: VOTER_TIMEOUT,
            }),
            founding_wait: FOUNDING_WAIT,
        };
        let mut out = Vec::new();
        let opened = folder.and_then(|(folder, _)| {
            let disk = DiskId(rand::random());
            let opened = Voter::open_with_writer(now, folder, params, disk, &mut out);
            let (voter, store) = opened.map_err(|e| e.to_string())?;
            Ok((voter, LogDisk::start(store).map_err(|e| e.to_string())?))
        });
        match opened {
            Ok((voter, log_disk)) => {
                self.log_disk = Some(log_disk);
                self.may_found = is_initial_voter && !self.settings.found_anew;
                if let Some(raft) = voter.raft() {
                    if let Some(table) = raft.state().table() {
                        let table = self.with_policy(table);
                        self.tables.push(&table);
                    }
                    let orders = raft.state().zone_orders.clone();
                    self.put_orders_in_force(&orders);
                }
                self.voter = Some(voter);
                self.apply_outputs(out).await;
                self.refuse_founding().await;
            }
            Err(e) => {
                let fields = json!({"belief": "disk_failed", "reason": e, "path": path});
                self.write_log("disk_failed", true, &fields);
            }
        }
    }

    pub(super) async fn step(&mut self, input: RaftInput) {
        let now = self.clock.now();
        let Some(voter) = &mut self.voter else { return };
        let mut out = Vec::new();
        voter.step(now, input, &mut out);
        self.after_step(now, out).await;
    }

    /// Takes the result of a write of the log.
    pub(super) async fn on_written(&mut self, written: Result<(), StorageError>) {
        let Some(voter) = &mut self.voter else { return };
        let mut out = Vec::new();
        let now = self.clock.now();
        voter.on_written(now, written, &mut out);
        self.after_step(now, out).await;
    }

    async fn after_step(&mut self, now: Mono, out: Vec<RaftOutput>) {
        self.apply_outputs(out).await;
        self.log_status();
        self.publish_orders_once_current(now);
    }

    pub(super) async fn apply_outputs(&mut self, outputs: Vec<RaftOutput>) {
        // After a start the log yields one table after another; only the latest is published.
        let mut latest = None;
        for output in outputs {
            match output {
                RaftOutput::Send { to, message } => {
                    self.net.send(&to, Message::Control(Box::new(message))).await;
                }
                RaftOutput::RoutingCommitted(table) => latest = Some(table),
                RaftOutput::ZoneOrdersCommitted(orders) => self.put_orders_in_force(&orders),
                RaftOutput::Confirmed(at) => self.reply_to_reads(at),
                RaftOutput::Decided { id, outcome } => self.on_outcome(id, outcome),
                RaftOutput::Event(event) => self.events.record(event),
                RaftOutput::Persist(persist) => {
                    if let Some(disk) = &self.log_disk {
                        disk.write(persist);
                    }
                }
                // A controller serves no configuration.
                RaftOutput::ChangeCommitted { .. } | RaftOutput::SnapshotInstalled(_) => {}
            }
        }
        if let Some(table) = latest {
            self.put_in_force(&table);
        }
    }

    /// Returns a table of the log with the policy that its document states, which the log's encoding
    /// leaves out.
    fn with_policy(&self, table: &Arc<Routing>) -> Arc<Routing> {
        if table.document.is_empty() || !table.policy.is_empty() {
            return table.clone();
        }
        match (self.parse_table)(&table.document) {
            Ok(parsed) => {
                let mut table = Routing::clone(table);
                table.policy = parsed.policy;
                if table.repeated_name().is_some() {
                    // Proposed by an earlier build. The policy names the routes as they are named now.
                    table.routes = parsed.routes;
                }
                Arc::new(table).with_distinct_shards()
            }
            Err(e) => {
                // The document was parsed before it was proposed, by this build or another one.
                self.write_log("table", true, &json!({"belief": "policy_unreadable", "reason": e}));
                table.clone()
            }
        }
    }

    pub(super) fn put_in_force(&mut self, table: &Arc<Routing>) {
        if Some(table.version) <= self.tables.version() {
            return;
        }
        let table = self.with_policy(table);
        self.tables.push(&table);
        let (version, routes) = (table.version, table.routes.len());
        let fields = json!({"belief": "table_in_force", "table": version, "routes": routes});
        self.write_log("table", false, &fields);
        self.publish_fleet_status();
    }

    pub(super) async fn put_table(
        &mut self,
        table: Arc<Routing>,
        tx: oneshot::Sender<ApiResponse>,
    ) {
        let Some(raft) = self.raft() else { return self.redirect_to_leader(tx) };
        // A committed table of the same or a later version supersedes this one for good, once it is on the disk.
        let held = raft.state().superseded_by(&table);
        if let Some(held) = held.filter(|_| !self.holds_commits()) {
            let fields =
                json!({"decision": "table_superseded", "table": table.version, "held": held});
            self.write_log("put_table", false, &fields);
            return reply(tx, ApiResponse::InForce);
        }
        if raft.role() != Role::Leader {
            return self.redirect_to_leader(tx);
        }
        if Some(table.version) <= self.highest_known_table() {
            return self.reply_unavailable(
                tx,
                "entries use this or a later table: send the request again in a second or, after \
                 the control log was lost, a table of a higher version",
            );
        }
        if table.version == TableVersion(0) && self.lacks_feature(Features::TABLE_ZERO) {
            return self.reply_unavailable(
                tx,
                "a controller has not stated that it takes a table of version 0: send the table again, or \
                 replace the controllers of an earlier build first",
            );
        }
        self.propose(Proposal::Routing(table), tx).await;
    }

    /// Returns true if another controller heard recently has not stated these features.
    fn lacks_feature(&self, features: Features) -> bool {
        self.controllers_without(self.clock.now(), features) > 0
    }

    /// Returns the highest table that this controller knows to be used, here or at an entry, also if the disk
    /// has been lost since.
    fn highest_known_table(&self) -> Option<TableVersion> {
        // An entry states 0 also without a table.
        let at_entries = Some(self.entries_table).filter(|version| *version > TableVersion(0));
        self.tables.version().max(at_entries)
    }

    /// Records that an entry holds a table later than the latest one known here.
    pub(super) async fn on_later_table(&mut self, entry: InstanceId, version: TableVersion) {
        let is_new = version > self.entries_table;
        self.entries_table = self.entries_table.max(version);
        // Another controller that does not lead may just be a moment behind.
        if is_new && self.is_leader() {
            let fields = json!({
                "belief": "entry_ahead", "entry": entry, "entry_table": version,
                "table": self.tables.version(),
            });
            self.write_log("entry_ahead", true, &fields);
        }
        self.refuse_founding().await;
    }

    /// Keeps a founder with an empty disk from starting a log in which the versions of tables that are used
    /// would begin again: entries would not use its tables.
    async fn refuse_founding(&mut self) {
        let is_blank = self.raft().is_some_and(Raft::is_blank);
        if !self.may_found || !is_blank || self.highest_known_table().is_none() {
            return;
        }
        self.may_found = false;
        let fields = json!({
            "belief": "founding_refused", "table": self.tables.version(),
            "entries_table": self.entries_table,
        });
        self.write_log("founding_refused", true, &fields);
        self.step(RaftInput::ConfigExists).await;
    }

    /// Returns true if state was committed that is not on the disk yet, and so is not in force here.
    pub(super) fn holds_commits(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::holds_commits)
    }

    /// Proposes an entry of the log; the outcome is reported to `tx`.
    pub(super) async fn propose(&mut self, proposal: Proposal, tx: oneshot::Sender<ApiResponse>) {
        if self.voter.as_ref().is_some_and(|v| v.unsynced_writes() >= MAX_UNSYNCED_WRITES) {
            self.step(RaftInput::TransferLeadership).await;
            return self
                .reply_unavailable(tx, "the disk is behind: send the request again in a second");
        }
        self.proposals.retain(|_, tx| !tx.is_closed());
        let id = ProposalId(self.next_proposal);
        self.next_proposal += 1;
        self.proposals.insert(id, tx);
        self.step(RaftInput::Propose { id, proposal }).await;
    }

    pub(super) async fn get_table(&mut self, now: Mono, tx: oneshot::Sender<ApiResponse>) {
        let Some(raft) = self.raft() else { return self.redirect_to_leader(tx) };
        if raft.role() != Role::Leader {
            return self.redirect_to_leader(tx);
        }
        self.pending_reads.retain(|(_, tx)| !tx.is_closed());
        self.pending_reads.push((now, tx));
        self.step(RaftInput::ConfirmLeadership).await;
    }

    /// Redirects a caller to the leader, or reports that none is known.
    pub(super) fn redirect_to_leader(&self, tx: oneshot::Sender<ApiResponse>) {
        match self.leader().filter(|l| *l != self.me) {
            Some(leader) => reply(tx, ApiResponse::Redirect(leader)),
            None => {
                self.reply_unavailable(tx, "no leader is known: send the request again in a second")
            }
        }
    }

    pub(super) fn reply_unavailable(&self, tx: oneshot::Sender<ApiResponse>, reason: &'static str) {
        self.write_log("unknown", true, &json!({"decision": "call_unknown", "reason": reason}));
        reply(tx, ApiResponse::Unavailable(reason));
    }

    pub(super) fn on_outcome(&mut self, id: ProposalId, outcome: ProposalOutcome) {
        let Some(tx) = self.proposals.remove(&id) else { return };
        let decision = match outcome {
            ProposalOutcome::ZoneOrdered(_) => "order_decided",
            _ => "table_decided",
        };
        let fields = json!({"decision": decision, "outcome": format!("{outcome:?}")});
        self.write_log(decision, false, &fields);
        match outcome {
            ProposalOutcome::TableInForce(_) | ProposalOutcome::ZoneOrdered(_) => {
                reply(tx, ApiResponse::InForce)
            }
            ProposalOutcome::NotLeader => self.redirect_to_leader(tx),
            _ => self.reply_unavailable(tx, "the leader changed: send the request again"),
        }
    }

    /// Replies to the reads that arrived no later than `at`, when the state was confirmed.
    pub(super) fn reply_to_reads(&mut self, at: Mono) {
        let Some(raft) = self.voter.as_ref().and_then(Voter::raft) else { return };
        if self.holds_commits() {
            // The next confirmation answers them.
            return;
        }
        let table = raft.state().table().cloned();
        for (arrived, tx) in std::mem::take(&mut self.pending_reads) {
            if arrived > at {
                self.pending_reads.push((arrived, tx));
                continue;
            }
            let none = "no routing table is in force yet: send one first";
            let table = table.clone().map(ApiResponse::Table);
            reply(tx, table.unwrap_or(ApiResponse::Unavailable(none)));
        }
    }
}

pub(super) fn reply(tx: oneshot::Sender<ApiResponse>, response: ApiResponse) {
    // The caller may have given up; it then sends the request again.
    let _ = tx.send(response);
}
