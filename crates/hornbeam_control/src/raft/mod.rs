//! Raft as a state machine without I/O: `step(now, input)` returns the outputs to carry out.
//!
//! Implements Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
//! USENIX ATC 2014) with pre-vote, check-quorum, leadership transfer and single-server membership
//! changes from Ongaro's dissertation. In addition, a voter that starts must prove to the other
//! voters that its disk is the one they know and not an outdated copy of it. Until then it neither
//! votes nor acknowledges entries.
//!
//! The caller carries out the outputs in order: a [`RaftOutput::Persist`] must be synced before any
//! later [`RaftOutput::Send`] leaves, but for those that depend on no write under way
//! ([`Voter::open_with_writer`](crate::Voter::open_with_writer)). If a write fails, the voter must stop.
//!
//! - [`identity`]: hello between voters, and when a voter may vote
//! - [`election`]: pre-vote, vote, leadership transfer and stepping down
//! - [`replication`]: log replication, commit index and confirmation of leadership
//! - [`snapshot`]: log compaction and snapshot transfer
//! - [`proposal`]: configuration changes, routing tables and voter replacements
//! - [`repair`]: automatic addition and replacement of voters
//! - [`losses`]: voters that are lost, and how many more may be
//! - [`zone_orders`]: orders about availability zones
//! - [`types`]: inputs, outputs and writes

mod election;
mod identity;
mod losses;
mod proposal;
mod repair;
mod replication;
mod snapshot;
mod types;
mod zone_orders;

use std::sync::{Arc, Weak};
use std::time::Duration;

use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::control::{
    Command, ControlBody, ControlMessage, DiskId, Entry, LogIndex, LogPos, Members, Membership,
    Term,
};
use hornbeam_storage::{Boot, HardState, Record, RecoveredState, SnapshotMeta};
use indexmap::{IndexMap, IndexSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::encoding::decode_state;
use crate::log::Log;
use crate::state::ControlState;

pub use repair::RepairPolicy;
pub use types::{Compaction, Persist, Proposal, ProposalId, RaftInput, RaftOutput};

/// Interval of a leader's heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum election timeout. Also the check-quorum timeout: a leader steps down when it has had no
/// reply from a majority for this long.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(800);
/// Maximum random delay added to [`ELECTION_TIMEOUT_MIN`].
const ELECTION_TIMEOUT_JITTER: Duration = Duration::from_millis(600);
/// Minimum election timeout of a voter that has just started; covers a round trip between regions.
const FIRST_ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(50);
/// Maximum random delay added to [`FIRST_ELECTION_TIMEOUT_MIN`].
const FIRST_ELECTION_TIMEOUT_JITTER: Duration = Duration::from_millis(250);
/// Interval of the hellos of a voter that may not vote yet, and of a learner with a
/// [`RepairPolicy`].
const HELLO_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the hellos of a learner without a [`RepairPolicy`].
const LEARNER_HELLO_INTERVAL: Duration = Duration::from_secs(2);

/// Parameters of a [`Raft`] instance.
#[derive(Clone, Debug)]
pub struct RaftParams {
    /// Identifier of this instance.
    pub me: InstanceId,
    /// Voters from the settings; in effect until the log or a snapshot holds a membership.
    pub initial_voters: Vec<InstanceId>,
    /// Random number that identifies this start of the process.
    pub nonce: u64,
    /// Seed of the random number generator that sets the election timeouts.
    pub seed: u64,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_interval_entries: u64,
    /// Policy for adding and replacing voters automatically; `None` leaves this to an operator.
    pub repair: Option<RepairPolicy>,
    /// Time for which a blank initial voter waits for objections before it helps to start a new log.
    pub founding_wait: Duration,
}

/// Role of an instance in the consensus protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Sends hellos until the other voters accept its disk; neither votes nor acknowledges entries.
    Unverified,
    /// Not a voter, or no longer one; appends the entries that a leader sends to it.
    Learner,
    /// A voter that follows the leader of its term or waits for one.
    Follower,
    /// Requests pre-votes, to find out whether an election could succeed.
    PreCandidate,
    /// Requests votes in its own term.
    Candidate,
    /// Elected leader of its term.
    Leader,
}

impl Role {
    /// Returns the name that the status API shows; pre-candidates count as candidates.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unverified => "unverified",
            Self::Learner => "learner",
            Self::Follower => "follower",
            Self::PreCandidate | Self::Candidate => "candidate",
            Self::Leader => "leader",
        }
    }
}

/// Replication progress of one voter or learner, tracked by the leader.
#[derive(Clone, Debug)]
struct Progress {
    /// Identity of the disk behind the replies; `None` before the first one.
    disk: Option<DiskId>,
    /// Index of the next entry to send.
    next_index: LogIndex,
    /// Highest index at which its log is known to match the leader's.
    match_index: LogIndex,
    /// Latest heartbeat round that it acknowledged.
    acked_round: u64,
    /// Time of the last reply; before the first one, when tracking began.
    last_reply_at: Mono,
    /// Snapshot transfer under way.
    transfer: Option<snapshot::OutgoingSnapshot>,
    /// True while entries or a snapshot chunk are sent and not acknowledged.
    in_flight: bool,
    /// When entries or a snapshot chunk were last sent.
    sent_at: Mono,
}

impl Progress {
    /// Returns true if its replies count toward a majority: it is a voter, and they come from the
    /// disk in the membership, if that names one.
    fn counts_for(&self, listed: Option<&Option<DiskId>>) -> bool {
        match listed {
            Some(Some(disk)) => self.disk.is_none_or(|d| d == *disk),
            Some(None) => true,
            None => false,
        }
    }
}

/// State that exists only while this instance leads.
#[derive(Debug)]
struct LeaderState {
    progress: IndexMap<InstanceId, Progress>,
    /// Number of the latest heartbeat round in this term.
    round: u64,
    /// Rounds that no majority has acknowledged yet, with the time they were sent; oldest first.
    unconfirmed_rounds: Vec<(u64, Mono)>,
    next_heartbeat_at: Mono,
    /// Standby instances that did not catch up, with the time at which their replacement was given up.
    given_up: IndexMap<InstanceId, Mono>,
    /// Proposals whose entries are not committed yet, by index of the entry.
    pending_proposals: IndexMap<LogIndex, Vec<ProposalId>>,
    /// True once an entry of this term is committed. Only then does the leader accept proposals and
    /// confirm its state.
    has_committed_in_term: bool,
}

/// Consensus state machine of one voter or learner.
#[derive(Debug)]
pub struct Raft {
    params: RaftParams,
    rng: SmallRng,
    disk: DiskId,
    boot: u64,
    hard_state: HardState,
    log: Log,
    /// Metadata of the latest snapshot.
    snapshot: SnapshotMeta,
    snapshot_data: Arc<Vec<u8>>,
    /// Snapshot that was encoded last, while an instance still receives it.
    encoded_snapshot: Option<Weak<snapshot::EncodedSnapshot>>,
    /// Membership as of the last log entry, committed or not.
    members: Membership,
    /// Index of the entry that holds `members`; 0 if it comes from a snapshot or the settings.
    members_index: LogIndex,
    state: ControlState,
    commit_index: LogIndex,
    applied_index: LogIndex,
    /// Index up to which the own log is synced; `None` if each output is carried out before the next step.
    synced_index: Option<LogIndex>,
    role: Role,
    leader: Option<InstanceId>,
    /// When a leader was last heard; `None` if none was since the start.
    leader_heard_at: Option<Mono>,
    /// The leader that was last heard, also if it leads no more.
    last_leader: Option<InstanceId>,
    election_due_at: Mono,
    votes: IndexSet<InstanceId>,
    /// Request of the latest election or pre-election of this instance.
    vote_request: Option<ControlBody>,
    vote_resend_at: Mono,
    leader_state: Option<LeaderState>,
    /// Latest known start of each other voter.
    boots: IndexMap<InstanceId, Boot>,
    /// What each disk has acknowledged to this instance as leader.
    acknowledged: IndexMap<DiskId, identity::Acknowledged>,
    identity: identity::IdentityCheck,
    /// When the state last held everything that was committed.
    caught_up_at: Option<Mono>,
    /// Snapshot transfer in progress.
    incoming_snapshot: Option<snapshot::IncomingSnapshot>,
}

impl Raft {
    /// Creates an unverified instance from the state recovered from its disk.
    pub fn new(now: Mono, params: RaftParams, recovered: RecoveredState) -> Self {
        let log = Log::new(recovered.snapshot.last, recovered.entries);
        let state: ControlState = decode_state(&recovered.snapshot_data).unwrap_or_default();
        let mut raft = Self {
            rng: SmallRng::seed_from_u64(params.seed),
            disk: recovered.identity.disk,
            boot: recovered.identity.boot,
            hard_state: recovered.hard_state,
            members: Membership::default(),
            members_index: LogIndex::default(),
            commit_index: recovered.snapshot.last.index,
            applied_index: recovered.snapshot.last.index,
            synced_index: None,
            snapshot: recovered.snapshot,
            snapshot_data: Arc::new(recovered.snapshot_data),
            encoded_snapshot: None,
            state,
            log,
            role: Role::Unverified,
            leader: None,
            leader_heard_at: None,
            last_leader: None,
            election_due_at: now,
            votes: IndexSet::new(),
            vote_request: None,
            vote_resend_at: now,
            leader_state: None,
            boots: recovered.boots,
            acknowledged: IndexMap::new(),
            identity: identity::IdentityCheck::default(),
            caught_up_at: None,
            incoming_snapshot: None,
            params,
        };
        raft.refresh_members();
        raft.reset_election_timer(now);
        raft
    }

    /// Processes one input and the timers that are due, and appends the outputs to `out`.
    pub fn step(&mut self, now: Mono, input: RaftInput, out: &mut Vec<RaftOutput>) {
        match input {
            RaftInput::Message { from, message } => self.on_message(now, &from, message, out),
            RaftInput::Propose { id, proposal } => self.on_propose(now, id, proposal, out),
            RaftInput::ConfirmLeadership => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.next_heartbeat_at = now;
                }
            }
            RaftInput::Contacts(contacts) => self.identity.contacts = contacts,
            RaftInput::ConfigExists => self.identity.config_exists = true,
            RaftInput::TransferLeadership => self.transfer_leadership(out),
            RaftInput::Synced => self.advance_commit(now, out),
            RaftInput::Tick => {}
        }
        self.on_tick(now, out);
    }

    /// Sets the index up to which the own log is synced, for a caller that steps on while writes are under way. An
    /// entry counts as on the own disk only then.
    pub(crate) fn set_synced_index(&mut self, index: LogIndex) {
        self.synced_index = Some(index.min(self.log.last().index));
    }

    /// Returns the latest time at which [`RaftInput::Tick`] must be passed to [`Raft::step`].
    pub fn next_wake(&self) -> Mono {
        match self.role {
            Role::Leader => self.leader_state.as_ref().map_or(Mono::MAX, |l| l.next_heartbeat_at),
            Role::Unverified | Role::Learner => self.identity.next_hello_at,
            Role::PreCandidate | Role::Candidate => self.election_due_at.min(self.vote_resend_at),
            Role::Follower => self.election_due_at,
        }
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// Returns the index of the last entry known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the index of the last entry that the latest snapshot includes.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot.last.index
    }

    /// Returns the term and index of the last log entry, committed or not.
    pub fn last_position(&self) -> LogPos {
        self.log.last()
    }

    /// Returns the entries after the snapshot; used to check invariants.
    pub fn entries(&self) -> &[Entry] {
        self.log.entries()
    }

    /// Returns the state to which all committed entries are applied.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Returns the membership as of the last log entry, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.members
    }

    /// Returns why this instance may not vote with its disk, if that is known.
    pub fn refusal(&self) -> Option<&'static str> {
        self.identity.refusal
    }

    fn on_tick(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        match self.role {
            Role::Unverified | Role::Learner => self.hello_tick(now, out),
            Role::Leader => self.leader_tick(now, out),
            _ if now >= self.election_due_at => self.start_pre_vote(now, out),
            Role::PreCandidate | Role::Candidate if now >= self.vote_resend_at => {
                self.resend_vote_request(now, out);
            }
            _ => {}
        }
    }

    fn on_message(
        &mut self,
        now: Mono,
        from: &InstanceId,
        message: ControlMessage,
        out: &mut Vec<RaftOutput>,
    ) {
        let ControlMessage { disk, term, body } = message;
        match body {
            ControlBody::Hello { boot, nonce, last } => {
                let hello = identity::Hello { disk, boot, nonce, last };
                return self.on_hello(now, from, hello, out);
            }
            ControlBody::HelloReply { nonce, verdict } => {
                return self.on_hello_reply(now, from, nonce, verdict, out);
            }
            _ => {}
        }
        if self.role == Role::Unverified {
            return;
        }
        // A learner may know the voters of long ago only, so it follows whoever leads.
        let follows = self.role == Role::Learner
            && matches!(body, ControlBody::Append { .. } | ControlBody::Snapshot { .. });
        if !follows && !self.is_known_disk(from, disk) {
            return;
        }
        match body {
            ControlBody::PreVote { next_term, last } => {
                self.on_pre_vote(now, from, next_term, last, out);
            }
            ControlBody::PreVoteReply { .. } | ControlBody::VoteReply { .. }
                if self.voter_disk(from).is_some_and(|d| d != disk) => {}
            ControlBody::PreVoteReply { next_term, granted } => {
                self.on_pre_vote_reply(now, from, term, next_term, granted, out);
            }
            ControlBody::Vote { last, leadership_transfer } => {
                self.on_vote(now, from, term, last, leadership_transfer, out);
            }
            ControlBody::VoteReply { granted } => {
                self.on_vote_reply(now, from, term, granted, out);
            }
            ControlBody::Append { prev, entries, commit, round } => {
                if self.accept_leader(now, from, term, round, out) {
                    self.on_append(from, prev, entries, commit, round, out);
                }
            }
            ControlBody::Snapshot { last, total, offset, data, round } => {
                if self.accept_leader(now, from, term, round, out) {
                    let chunk = snapshot::SnapshotChunk { last, total, offset, data, round };
                    self.on_snapshot(from, chunk, out);
                }
            }
            ControlBody::AppendReply { success, matched, round } => {
                if self.accept_reply(now, from, term, disk, round, out) {
                    self.on_append_reply(now, from, success, matched, out);
                }
            }
            ControlBody::SnapshotReply { received, last, round } => {
                if self.accept_reply(now, from, term, disk, round, out) {
                    self.on_snapshot_reply(now, from, received, last, out);
                }
            }
            ControlBody::TransferLeadership => self.on_transfer_leadership(now, from, term, out),
            ControlBody::Hello { .. } | ControlBody::HelloReply { .. } => {}
        }
    }

    /// Returns false if the sender is a voter that is known with another disk.
    fn is_known_disk(&self, from: &InstanceId, disk: DiskId) -> bool {
        let replacement = self.members.replacement.as_ref();
        let incoming = replacement.is_some_and(|r| r.incoming == *from && r.disk == disk);
        incoming || self.voter_disk(from).is_none_or(|known| known == disk)
    }

    fn message(&self, body: ControlBody) -> ControlMessage {
        ControlMessage { disk: self.disk, term: self.hard_state.term, body }
    }

    fn send(&self, to: &InstanceId, body: ControlBody, out: &mut Vec<RaftOutput>) {
        out.push(RaftOutput::Send { to: to.clone(), message: self.message(body) });
    }

    /// Returns all voters except this instance.
    fn other_voters(&self) -> Vec<InstanceId> {
        let others = self.members.voters.keys().filter(|v| **v != self.params.me);
        others.cloned().collect()
    }

    fn is_voter(&self) -> bool {
        match self.members.voters.get(&self.params.me) {
            Some(disk) => disk.is_none_or(|d| d == self.disk),
            None => false,
        }
    }

    /// Returns true if this many other voters, plus this instance if it votes, are a majority.
    fn is_majority(&self, count_of_others: usize) -> bool {
        let own = usize::from(self.is_voter());
        2 * (count_of_others + own) > self.members.voters.len()
    }

    /// Recomputes the membership from the log, else the snapshot, else the settings.
    fn refresh_members(&mut self) {
        if let Some((index, members)) = self.log.latest_members() {
            self.members = members.clone();
            self.members_index = index;
            return;
        }
        self.members_index = LogIndex::default();
        if self.snapshot.members.voters.is_empty() {
            let first = self.params.initial_voters.iter();
            let voters: Members = first.map(|v| (v.clone(), None)).collect();
            self.members = Membership { voters, replacement: None };
        } else {
            self.members = self.snapshot.members.clone();
        }
    }

    fn reset_election_timer(&mut self, now: Mono) {
        let jitter = self.rng.random_range(0..=ELECTION_TIMEOUT_JITTER.as_micros() as u64);
        self.election_due_at = now + ELECTION_TIMEOUT_MIN + Duration::from_micros(jitter);
    }

    /// Schedules an election with the short timeout of a voter that has just started and has heard
    /// no leader. If a leader exists, pre-vote keeps the election from disrupting it.
    fn schedule_first_election(&mut self, now: Mono) {
        let jitter = self.rng.random_range(0..=FIRST_ELECTION_TIMEOUT_JITTER.as_micros() as u64);
        self.election_due_at = now + FIRST_ELECTION_TIMEOUT_MIN + Duration::from_micros(jitter);
    }

    fn persist_hard_state(&self, out: &mut Vec<RaftOutput>) {
        let records = vec![Record::HardState(self.hard_state.clone())];
        out.push(RaftOutput::Persist(Persist::Append(records)));
    }

    /// Appends an entry of the current term to the local log and returns its index.
    fn append(&mut self, command: Command, out: &mut Vec<RaftOutput>) -> LogIndex {
        let index = LogIndex(self.log.last().index.0 + 1);
        let entry = Entry { index, term: self.hard_state.term, command };
        self.log.push(entry.clone());
        let records = vec![Record::Entries(vec![entry])];
        out.push(RaftOutput::Persist(Persist::Append(records)));
        self.refresh_members();
        index
    }
}
