//! The control log: tables proposed, committed and read.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_control::{
    Proposal, ProposalId, ProposalOutcome, RaftInput, RaftOutput, RaftParams, RepairPolicy, Role,
    Voter,
};
use hornbeam_model::{InstanceId, Mono, Routing};
use hornbeam_protocol::Message;
use hornbeam_protocol::control::DiskId;
use hornbeam_storage::Folder;
use serde_json::json;
use tokio::sync::oneshot;

use super::Controller;
use super::peers::TOLD_LEADER_FRESH;
use crate::api::Answer;

/// Silence after which a voter gives its place to a controller that stands by. It leaves time for a
/// restart and is short enough that the next loss finds the voters complete.
const VOTER_SILENT: Duration = Duration::from_millis(2_500);
/// Entries of the log after which a snapshot is taken.
const SNAPSHOT_EVERY: u64 = 1_024;

impl Controller {
    pub(super) fn raft(&self) -> Option<&hornbeam_control::Raft> {
        self.voter.as_ref().and_then(Voter::raft)
    }

    pub(super) fn leads(&self) -> bool {
        self.raft().is_some_and(|r| r.role() == Role::Leader)
    }

    /// The leader, as the own voter or else the others know it.
    pub(super) fn leader(&self) -> Option<InstanceId> {
        let now = self.clock.now();
        let known = self.raft().and_then(|r| r.leader().cloned());
        let told = self.told_leader.as_ref();
        let told = told.filter(|(_, at)| now.since(*at) < TOLD_LEADER_FRESH);
        known.or_else(|| told.map(|(name, _)| name.clone()))
    }

    /// Opens the log on the disk, again if it failed before.
    pub(super) async fn open_voter(&mut self, now: Mono) {
        let Some(path) = &self.settings.data_dir else { return };
        // A voter whose disk failed holds the lock of the folder.
        self.voter = None;
        let seeds = self.settings.seed_names();
        let founds = self.settings.founding && seeds.contains(&self.me);
        let params = RaftParams {
            me: self.me.clone(),
            initial_voters: if founds { seeds } else { Vec::new() },
            nonce: rand::random(),
            seed: rand::random(),
            snapshot_interval_entries: SNAPSHOT_EVERY,
            repair: Some(RepairPolicy {
                target_voters: self.settings.wanted_voters(),
                voter_timeout: VOTER_SILENT,
            }),
        };
        let mut out = Vec::new();
        let opened = Folder::open(path).map_err(|e| e.to_string()).and_then(|folder| {
            let disk = DiskId(rand::random());
            Voter::open(now, folder, params, disk, &mut out).map_err(|e| e.to_string())
        });
        match opened {
            Ok(voter) => {
                if let Some(raft) = voter.raft() {
                    self.tables.push(&raft.state().routing);
                }
                self.voter = Some(voter);
                self.carry_out(out).await;
            }
            Err(e) => {
                let what = json!({"belief": "disk_failed", "reason": e, "path": path});
                self.note("disk_failed", true, &what);
            }
        }
    }

    pub(super) async fn step(&mut self, input: RaftInput) {
        let now = self.clock.now();
        let Some(voter) = &mut self.voter else { return };
        let mut out = Vec::new();
        voter.step(now, input, &mut out);
        self.carry_out(out).await;
    }

    pub(super) async fn carry_out(&mut self, outputs: Vec<RaftOutput>) {
        // After a start, the log brings table after table: only the newest concerns others.
        let mut newest = None;
        for output in outputs {
            match output {
                RaftOutput::Send { to, message } => {
                    self.net.send(&to, Message::Control(Box::new(message))).await;
                }
                RaftOutput::RoutingCommitted(table) => newest = Some(table),
                RaftOutput::Confirmed(at) => self.answer_reads(at),
                RaftOutput::Decided { id, outcome } => self.decided(id, outcome),
                RaftOutput::Event(event) => self.events.note(event),
                // Written by the voter before this; a controller has no services of its own.
                RaftOutput::Persist(_)
                | RaftOutput::ChangeCommitted { .. }
                | RaftOutput::SnapshotInstalled(_) => {}
            }
        }
        if let Some(table) = newest {
            self.take_table(&table);
        }
    }

    pub(super) fn take_table(&mut self, table: &Arc<Routing>) {
        if table.version <= self.tables.version() {
            return;
        }
        self.tables.push(table);
        let (version, routes) = (table.version, table.routes.len());
        let what = json!({"belief": "table_in_force", "table": version, "routes": routes});
        self.note("table", false, &what);
        self.publish_news();
    }

    pub(super) async fn put_table(&mut self, table: Arc<Routing>, tx: oneshot::Sender<Answer>) {
        let Some(raft) = self.raft() else { return self.refer(tx) };
        if table.version <= raft.state().routing.version {
            // One that is committed and not older stands in the way for good.
            let held = raft.state().routing.version;
            let what =
                json!({"decision": "table_superseded", "table": table.version, "held": held});
            self.note("put_table", false, &what);
            return reply(tx, Answer::InForce);
        }
        if raft.role() != Role::Leader {
            return self.refer(tx);
        }
        self.proposals.retain(|_, tx| !tx.is_closed());
        let id = ProposalId(self.next_proposal);
        self.next_proposal += 1;
        self.proposals.insert(id, tx);
        self.step(RaftInput::Propose { id, proposal: Proposal::Routing(table) }).await;
    }

    pub(super) async fn get_table(&mut self, now: Mono, tx: oneshot::Sender<Answer>) {
        let Some(raft) = self.raft() else { return self.refer(tx) };
        if raft.role() != Role::Leader {
            return self.refer(tx);
        }
        self.reads.retain(|(_, tx)| !tx.is_closed());
        self.reads.push((now, tx));
        self.step(RaftInput::ConfirmLeadership).await;
    }

    /// Sends a caller to the leader.
    pub(super) fn refer(&self, tx: oneshot::Sender<Answer>) {
        match self.leader().filter(|l| *l != self.me) {
            Some(leader) => reply(tx, Answer::Elsewhere(leader)),
            None => self.unknown(tx, "no leader is known: ask again in a second"),
        }
    }

    pub(super) fn unknown(&self, tx: oneshot::Sender<Answer>, why: &'static str) {
        self.note("unknown", true, &json!({"decision": "call_unknown", "reason": why}));
        reply(tx, Answer::Unknown(why));
    }

    pub(super) fn decided(&mut self, id: ProposalId, outcome: ProposalOutcome) {
        let Some(tx) = self.proposals.remove(&id) else { return };
        let what = json!({"decision": "table_decided", "outcome": format!("{outcome:?}")});
        self.note("table_decided", false, &what);
        match outcome {
            ProposalOutcome::TableInForce(_) => reply(tx, Answer::InForce),
            ProposalOutcome::NotLeader => self.refer(tx),
            _ => self.unknown(tx, "the leader changed: send the table again"),
        }
    }

    /// Answers the reads that came before the state was confirmed at `at`.
    pub(super) fn answer_reads(&mut self, at: Mono) {
        let Some(raft) = self.voter.as_ref().and_then(Voter::raft) else { return };
        let table = raft.state().routing.clone();
        for (arrived, tx) in std::mem::take(&mut self.reads) {
            if arrived > at {
                self.reads.push((arrived, tx));
            } else if table.version.0 == 0 {
                reply(tx, Answer::Unknown("no routing table was sent yet"));
            } else {
                reply(tx, Answer::Table(table.clone()));
            }
        }
    }
}

fn reply(tx: oneshot::Sender<Answer>, answer: Answer) {
    // A caller that gave up asks again.
    let _ = tx.send(answer);
}
