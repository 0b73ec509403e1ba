//! Elections, replication and voter replacement, `step(now, input) -> outputs`.
//!
//! In the manner of Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", USENIX ATC 2014), with pre-vote, check-quorum, leader hand-over and single-server
//! membership changes from Ongaro's dissertation. Beyond it, a voter that starts must show that its
//! disk is the one the others know and no older copy before it votes or acknowledges anything.
//!
//! Outputs are to be carried out in order: a [`RaftOutput::Persist`] must be synced before any
//! later [`RaftOutput::Send`] leaves. If it fails, the voter must stop.
//!
//! - [`identity`]: hello between voters, and when one may vote
//! - [`election`]: pre-vote, vote, lead and step down
//! - [`replication`]: entries to the others, commit, the leader's lease
//! - [`snapshot`]: compaction and transfer
//! - [`proposal`]: changes and voter replacements
//! - [`repair`]: voters found and replaced without an operator
//! - [`types`]: inputs, outputs and writes

mod election;
mod identity;
mod proposal;
mod repair;
mod replication;
mod snapshot;
mod types;

use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{InstanceId, Mono};
use hornbeam_protocol::control::{
    Command, ControlBody, ControlMessage, DiskId, Entry, LogIndex, LogPos, Members, Membership,
    Term,
};
use hornbeam_storage::{Boot, HardState, Record, Recovered, SnapshotMeta};
use indexmap::{IndexMap, IndexSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::log::Log;
use crate::state::ControlState;

pub use repair::RepairPolicy;
pub use types::{Compaction, Persist, Proposal, ProposalId, RaftInput, RaftOutput};

/// Time between two heartbeats of a leader.
pub const HEARTBEAT: Duration = Duration::from_millis(200);
/// Shortest silence of the leader after which a voter stands for election; also the time for which
/// a leader that hears no majority goes on leading.
pub const ELECTION_MIN: Duration = Duration::from_millis(800);
/// Random part added to [`ELECTION_MIN`].
const ELECTION_SPREAD: Duration = Duration::from_millis(600);
/// Shortest time after which a voter that has just started stands for election: a round trip between
/// regions.
const FIRST_ELECTION_MIN: Duration = Duration::from_millis(50);
/// Random part added to it.
const FIRST_ELECTION_SPREAD: Duration = Duration::from_millis(250);
/// Time between two hellos of a voter that may not vote yet.
const HELLO_EVERY: Duration = Duration::from_millis(100);
/// Time between two hellos of an instance that does not vote.
const LEARNER_HELLO_EVERY: Duration = Duration::from_secs(2);

/// What a voter needs to know of its instance.
#[derive(Clone, Debug)]
pub struct RaftParams {
    /// Name of this instance.
    pub me: InstanceId,
    /// The first voters, from the settings; they count while no membership is in the log.
    pub initial_voters: Vec<InstanceId>,
    /// Random number of this start.
    pub nonce: u64,
    /// Seed of the random choices.
    pub seed: u64,
    /// Entries after which a snapshot is taken.
    pub snapshot_interval_entries: u64,
    /// How voters are found and replaced without an operator; never, if nothing.
    pub repair: Option<RepairPolicy>,
}

/// What a voter is at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Shows its identity; neither votes nor acknowledges.
    Unverified,
    /// Not a voter, or not any more; follows a leader if one sends to it.
    Learner,
    /// Follows.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

impl Role {
    /// The role as a word.
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

/// What a leader knows of another voter or learner.
#[derive(Clone, Debug)]
struct Progress {
    /// The disk that answers, once one has.
    disk: Option<DiskId>,
    /// The next entry to send.
    next: LogIndex,
    /// The last entry known to be there.
    matched: LogIndex,
    /// The latest heartbeat round it answered.
    round: u64,
    /// When it last answered.
    heard: Mono,
    /// Bytes of the snapshot it has, while one is sent.
    snapshot_offset: Option<u64>,
    /// True if entries were sent that it has not answered.
    in_flight: bool,
    /// When entries were last sent.
    sent: Mono,
}

impl Progress {
    /// True if the answers come from the disk of the voter listed, so that they count.
    fn speaks_for(&self, listed: Option<&Option<DiskId>>) -> bool {
        match listed {
            Some(Some(disk)) => self.disk.is_none_or(|d| d == *disk),
            Some(None) => true,
            None => false,
        }
    }
}

/// What only a leader has.
#[derive(Debug)]
struct Leading {
    progress: IndexMap<InstanceId, Progress>,
    /// Number of the latest heartbeat round.
    round: u64,
    /// When each round that is not confirmed yet was sent, oldest first.
    rounds: Vec<(u64, Mono)>,
    next_heartbeat: Mono,
    /// Proposals whose entries are not committed yet.
    waiting: IndexMap<LogIndex, Vec<ProposalId>>,
    /// True once an entry of this term is committed.
    established: bool,
}

/// One voter or learner.
#[derive(Debug)]
pub struct Raft {
    params: RaftParams,
    rng: SmallRng,
    disk: DiskId,
    boot: u64,
    hard: HardState,
    log: Log,
    /// The latest snapshot.
    snapshot: SnapshotMeta,
    snapshot_data: Arc<Vec<u8>>,
    /// Who votes, as of the last entry of the log.
    members: Membership,
    /// Where `members` stands in the log; the default if it comes from elsewhere.
    members_at: LogIndex,
    state: ControlState,
    commit: LogIndex,
    applied: LogIndex,
    role: Role,
    leader: Option<InstanceId>,
    /// When a leader was last heard.
    leader_heard: Option<Mono>,
    election_at: Mono,
    votes: IndexSet<InstanceId>,
    leading: Option<Leading>,
    /// Starts of other voters, as they showed themselves.
    boots: IndexMap<InstanceId, Boot>,
    /// Last entries that others acknowledged to this instance, by disk.
    acknowledged: IndexMap<DiskId, LogPos>,
    identity: identity::IdentityCheck,
    /// A snapshot that is arriving.
    arriving: Option<snapshot::Arriving>,
}

impl Raft {
    /// A voter or learner with what its disk held.
    pub fn new(now: Mono, params: RaftParams, recovered: Recovered) -> Self {
        let log = Log::new(recovered.snapshot.last, recovered.entries);
        let state: ControlState =
            postcard::from_bytes(&recovered.snapshot_data).unwrap_or_default();
        let mut raft = Self {
            rng: SmallRng::seed_from_u64(params.seed),
            disk: recovered.identity.disk,
            boot: recovered.identity.boot,
            hard: recovered.hard,
            members: Membership::default(),
            members_at: LogIndex::default(),
            commit: recovered.snapshot.last.index,
            applied: recovered.snapshot.last.index,
            snapshot: recovered.snapshot,
            snapshot_data: Arc::new(recovered.snapshot_data),
            state,
            log,
            role: Role::Unverified,
            leader: None,
            leader_heard: None,
            election_at: now,
            votes: IndexSet::new(),
            leading: None,
            boots: recovered.boots,
            acknowledged: IndexMap::new(),
            identity: identity::IdentityCheck::default(),
            arriving: None,
            params,
        };
        raft.refresh_members();
        raft.reset_election(now);
        raft
    }

    /// Takes one input and appends what it leads to.
    pub fn step(&mut self, now: Mono, input: RaftInput, out: &mut Vec<RaftOutput>) {
        match input {
            RaftInput::Message { from, message } => self.on_message(now, &from, message, out),
            RaftInput::Propose { id, proposal } => self.on_propose(now, id, proposal, out),
            RaftInput::ConfirmLeadership => {
                if let Some(leading) = &mut self.leading {
                    leading.next_heartbeat = now;
                }
            }
            RaftInput::Contacts(contacts) => self.identity.contacts = contacts,
            RaftInput::ConfigExists => self.identity.config_exists = true,
            RaftInput::TransferLeadership => self.hand_over(out),
            RaftInput::Tick => {}
        }
        self.on_time(now, out);
    }

    /// When [`RaftInput::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Mono {
        match self.role {
            Role::Leader => self.leading.as_ref().map_or(Mono::MAX, |l| l.next_heartbeat),
            Role::Unverified | Role::Learner => self.identity.next_hello,
            _ => self.election_at,
        }
    }

    /// What it is at present.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Its term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// The leader, as far as known.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// The last committed entry.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// The last entry.
    pub fn last_position(&self) -> LogPos {
        self.log.last()
    }

    /// Entries after the snapshot, for checks.
    pub fn entries(&self) -> &[Entry] {
        self.log.entries()
    }

    /// What the committed log has led to.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Who votes.
    pub fn membership(&self) -> &Membership {
        &self.members
    }

    /// Why it does not vote, if it never will.
    pub fn refusal(&self) -> Option<&'static str> {
        self.identity.refusal
    }

    fn on_time(&mut self, now: Mono, out: &mut Vec<RaftOutput>) {
        match self.role {
            Role::Unverified | Role::Learner => self.say_hello(now, out),
            Role::Leader => self.lead_on(now, out),
            _ if now >= self.election_at => self.ask_pre_votes(now, out),
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
        let may_count = self.role != Role::Unverified;
        if !may_count || !self.is_known_disk(from, disk) {
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
                    let part = snapshot::Part { last, total, offset, data, round };
                    self.on_snapshot(from, part, out);
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
            ControlBody::TransferLeadership => self.on_hand_over(now, from, term, out),
            ControlBody::Hello { .. } | ControlBody::HelloReply { .. } => {}
        }
    }

    /// False if the sender is a voter whose disk is known to be another one.
    fn is_known_disk(&self, from: &InstanceId, disk: DiskId) -> bool {
        let replacement = self.members.replacement.as_ref();
        let incoming = replacement.is_some_and(|r| r.incoming == *from && r.disk == disk);
        incoming || self.voter_disk(from).is_none_or(|known| known == disk)
    }

    fn message(&self, body: ControlBody) -> ControlMessage {
        ControlMessage { disk: self.disk, term: self.hard.term, body }
    }

    fn send(&self, to: &InstanceId, body: ControlBody, out: &mut Vec<RaftOutput>) {
        out.push(RaftOutput::Send { to: to.clone(), message: self.message(body) });
    }

    /// The voters other than this one.
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

    /// True if these voters and, if it votes, this one are a majority.
    fn is_majority(&self, count_of_others: usize) -> bool {
        let own = usize::from(self.is_voter());
        2 * (count_of_others + own) > self.members.voters.len()
    }

    fn refresh_members(&mut self) {
        if let Some((index, members)) = self.log.newest_members() {
            self.members = members.clone();
            self.members_at = index;
            return;
        }
        self.members_at = LogIndex::default();
        if self.snapshot.members.voters.is_empty() {
            let first = self.params.initial_voters.iter();
            let voters: Members = first.map(|v| (v.clone(), None)).collect();
            self.members = Membership { voters, replacement: None };
        } else {
            self.members = self.snapshot.members.clone();
        }
    }

    fn reset_election(&mut self, now: Mono) {
        let spread = self.rng.random_range(0..=ELECTION_SPREAD.as_micros() as u64);
        self.election_at = now + ELECTION_MIN + Duration::from_micros(spread);
    }

    /// Stands for election soon: a voter that has just started has heard no leader, and pre-votes keep
    /// it from disturbing one that is there.
    fn stand_soon(&mut self, now: Mono) {
        let spread = self.rng.random_range(0..=FIRST_ELECTION_SPREAD.as_micros() as u64);
        self.election_at = now + FIRST_ELECTION_MIN + Duration::from_micros(spread);
    }

    fn save_hard(&self, out: &mut Vec<RaftOutput>) {
        let records = vec![Record::Hard(self.hard.clone())];
        out.push(RaftOutput::Persist(Persist::Append(records)));
    }

    /// Appends an entry to the own log.
    fn append(&mut self, command: Command, out: &mut Vec<RaftOutput>) -> LogIndex {
        let index = LogIndex(self.log.last().index.0 + 1);
        let entry = Entry { index, term: self.hard.term, command };
        self.log.push(entry.clone());
        let records = vec![Record::Entries(vec![entry])];
        out.push(RaftOutput::Persist(Persist::Append(records)));
        self.refresh_members();
        index
    }
}
