//! Voters and followers over a network that loses, delays and cuts.
//!
//! Drives the shipped state machines in virtual time and checks after every step: one leader a
//! term, logs that agree, accepted changes that are neither lost nor applied twice, revisions that
//! never fall on any instance.
//!
//! - [`check`]: these invariants
//! - [`links`]: cuts between instances
//! - [`steps`]: messages, wakes, and what the state machines want done

mod check;
mod links;
mod steps;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hornbeam_control::{
    ConfigFollower, FollowerParams, Proposal, ProposalId, ProposalOutcome, RaftInput, RaftParams,
    RepairPolicy, Role, Voter,
};
use hornbeam_model::{Change, ChangeId, Config, InstanceId, Mono, Revision, Routing, TableVersion};
use hornbeam_protocol::control::{ChangeCommand, ControlMessage, DiskId, Term};
use hornbeam_protocol::{ConfigState, Message};
use hornbeam_storage::{Folder, MemoryFolder};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::queue::EventQueue;
use crate::samples;

/// Time between two digests of an instance.
const DIGEST_EVERY: Duration = Duration::from_millis(500);
/// Instances that get each digest.
const DIGEST_FANOUT: usize = 3;

/// Position of an instance in the cluster.
pub type NodeIdx = usize;

#[derive(Clone, Debug)]
enum Wire {
    Control(ControlMessage),
    Config(Message),
    State(ConfigState),
}

#[derive(Debug)]
enum SimEvent {
    Arrival { from: NodeIdx, to: NodeIdx, wire: Wire },
    Wake(NodeIdx),
    Digest(NodeIdx),
}

/// One instance.
pub struct TestNode {
    /// Its name.
    pub name: InstanceId,
    /// Its disk, if it has one.
    pub disk: Option<MemoryFolder>,
    /// The voter, while the instance is up and has the control role.
    pub voter: Option<Voter>,
    /// The follower, while the instance is up.
    pub follower: Option<ConfigFollower>,
    /// Why the voter could not be opened, if so.
    pub open_error: Option<String>,
    /// When it started last.
    started: Mono,
    /// The highest revision that it has served; never falls, restarts included.
    served: Revision,
    /// When each revision came into force here, in this start.
    pub in_force: BTreeMap<Revision, Mono>,
    is_voter: bool,
}

/// A submitted change.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Its name.
    pub id: ChangeId,
    /// When it was decided, and how.
    pub decided: Option<(Mono, ProposalOutcome)>,
}

/// Several instances and the network between them.
pub struct ControlCluster {
    /// Virtual time.
    pub now: Mono,
    /// The instances.
    pub nodes: Vec<TestNode>,
    /// Submitted changes by proposal.
    pub submissions: HashMap<u64, Submission>,
    /// Every violation found.
    pub violations: Vec<String>,
    /// One-way delay.
    pub delay: Duration,
    /// Random part added to each delay.
    pub jitter: Duration,
    /// Messages lost, in percent.
    pub loss_percent: u32,
    /// Messages delivered twice, in percent.
    pub duplicate_percent: u32,
    /// Entries after which a voter takes a snapshot.
    pub snapshot_interval_entries: u64,
    /// How voters that start from now on are replaced without an operator.
    pub repair: Option<RepairPolicy>,
    /// Events of all instances.
    pub events: Vec<(Mono, InstanceId, hornbeam_events::Event)>,
    /// Configurations that came into force since they were last taken, by instance.
    pub came_into_force: Vec<(NodeIdx, Arc<Config>)>,
    /// Bytes of control traffic sent, as encoded.
    pub control_messages: u64,
    rng: SmallRng,
    agenda: EventQueue<SimEvent>,
    next_proposal: u64,
    next_disk: u64,
    /// Directed links that carry nothing.
    cut: BTreeSet<(NodeIdx, NodeIdx)>,
    leaders: BTreeMap<Term, InstanceId>,
    committed: BTreeMap<Revision, Arc<Config>>,
    accepted: BTreeMap<ChangeId, Revision>,
    first_voters: Vec<InstanceId>,
    /// The highest table that each instance has put in force in this start.
    tables: BTreeMap<NodeIdx, TableVersion>,
}

impl ControlCluster {
    /// `voters` instances that vote and `others` that only follow, all started now.
    pub fn new(seed: u64, voters: usize, others: usize) -> Self {
        let name = |i: usize| -> InstanceId {
            format!("node-{i}").parse().expect("a valid instance name")
        };
        let first_voters = (0..voters).map(name).collect();
        let mut cluster = Self {
            now: Mono(1_000_000),
            nodes: Vec::new(),
            submissions: HashMap::new(),
            violations: Vec::new(),
            delay: Duration::from_micros(500),
            jitter: Duration::from_micros(100),
            loss_percent: 0,
            duplicate_percent: 0,
            snapshot_interval_entries: 64,
            repair: None,
            events: Vec::new(),
            came_into_force: Vec::new(),
            control_messages: 0,
            rng: SmallRng::seed_from_u64(seed),
            agenda: EventQueue::default(),
            next_proposal: 1,
            next_disk: 1,
            cut: BTreeSet::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            accepted: BTreeMap::new(),
            first_voters,
            tables: BTreeMap::new(),
        };
        for i in 0..voters + others {
            cluster.nodes.push(TestNode {
                name: name(i),
                disk: (i < voters).then(MemoryFolder::default),
                voter: None,
                follower: None,
                open_error: None,
                started: cluster.now,
                served: Revision(0),
                in_force: BTreeMap::new(),
                is_voter: i < voters,
            });
        }
        for i in 0..voters + others {
            cluster.start(i);
        }
        cluster
    }

    /// Gives an instance the control role and an empty disk, from its next start on.
    pub fn make_voter(&mut self, i: NodeIdx) {
        self.nodes[i].is_voter = true;
        self.nodes[i].disk = Some(MemoryFolder::default());
    }

    /// Starts an instance that is down.
    pub fn start(&mut self, i: NodeIdx) {
        let peers = self.nodes.iter().map(|n| n.name.clone());
        let peers = peers.filter(|p| *p != self.nodes[i].name).collect();
        let seed = self.rng.random();
        let mut out = Vec::new();
        let node = &mut self.nodes[i];
        node.started = self.now;
        node.in_force.clear();
        node.open_error = None;
        if node.is_voter
            && let Some(disk) = &node.disk
        {
            disk.restart();
            let params = RaftParams {
                me: node.name.clone(),
                initial_voters: self.first_voters.clone(),
                nonce: self.rng.random(),
                seed,
                snapshot_interval_entries: self.snapshot_interval_entries,
                repair: self.repair,
            };
            self.next_disk += 1;
            let folder = Folder::Memory(disk.clone());
            let new_disk = DiskId(self.next_disk);
            match Voter::open(self.now, folder, params, new_disk, &mut out) {
                Ok(voter) => node.voter = Some(voter),
                Err(e) => node.open_error = Some(e.to_string()),
            }
        }
        let saved_config = node.voter.as_ref().and_then(Voter::saved_config);
        let params = FollowerParams {
            peers,
            confirmation_timeout: Duration::from_secs(3),
            saved_config,
            seed: seed ^ 1,
        };
        node.follower = Some(ConfigFollower::new(self.now, params));
        self.carry_out(i, out);
        if self.repair.is_some() {
            let contacts = self.nodes.iter().map(|n| n.name.clone()).collect();
            self.voter_step(i, RaftInput::Contacts(contacts));
        }
        self.queue(self.now, SimEvent::Wake(i));
        let first = Duration::from_millis(self.rng.random_range(0..500));
        self.queue(self.now + first, SimEvent::Digest(i));
    }

    /// Stops an instance at once; its disk stays.
    pub fn crash(&mut self, i: NodeIdx) {
        self.nodes[i].voter = None;
        self.nodes[i].follower = None;
        self.tables.remove(&i);
    }

    /// Stops an instance at once; what it sent and has not arrived is lost with it.
    pub fn crash_with_messages(&mut self, i: NodeIdx) {
        self.crash(i);
        let sent_by = |h: &SimEvent| matches!(h, SimEvent::Arrival { from, .. } if *from == i);
        self.agenda.retain(|h| !sent_by(h));
    }

    /// Replaces an instance's disk, while it is down, with an empty one.
    pub fn wipe(&mut self, i: NodeIdx) {
        self.nodes[i].disk = Some(MemoryFolder::default());
    }

    /// True if an instance is up.
    pub fn is_up(&self, i: NodeIdx) -> bool {
        self.nodes[i].follower.is_some()
    }

    /// The leader of the highest term among the instances that are up.
    pub fn leader(&self) -> Option<NodeIdx> {
        let leading = |i: &NodeIdx| self.raft(*i).is_some_and(|r| r.role() == Role::Leader);
        (0..self.nodes.len()).filter(leading).max_by_key(|i| self.raft(*i).map(|r| r.term()))
    }

    /// The state machine of a voter that is up.
    pub fn raft(&self, i: NodeIdx) -> Option<&hornbeam_control::Raft> {
        self.nodes[i].voter.as_ref()?.raft()
    }

    /// The revision that an instance serves, if it serves.
    pub fn revision(&self, i: NodeIdx) -> Option<Revision> {
        let follower = self.nodes[i].follower.as_ref()?;
        follower.is_serving().then(|| follower.config().revision)
    }

    /// The highest revision committed anywhere.
    pub fn committed_revision(&self) -> Revision {
        self.committed.keys().next_back().copied().unwrap_or_default()
    }

    /// Submits a change to instance `i`; the number of the proposal.
    pub fn submit(&mut self, i: NodeIdx, id: &str, expect: Revision) -> u64 {
        let change = Change::PutService {
            name: "planner".parse().expect("a valid service name"),
            service: samples::service(100 + expect.0 % 1_000),
        };
        self.submit_change(i, id, expect, change)
    }

    /// Submits a change of any kind.
    pub fn submit_change(&mut self, i: NodeIdx, id: &str, expect: Revision, change: Change) -> u64 {
        let id: ChangeId = id.parse().expect("a valid change id");
        let command = ChangeCommand { id: id.clone(), expect, change, unix_ms: 0 };
        self.propose(i, id, Proposal::Change(command))
    }

    /// Submits an empty routing table of a version.
    pub fn submit_table(&mut self, i: NodeIdx, version: u64) -> u64 {
        let version = TableVersion(version);
        let table = Arc::new(Routing { version, ..Routing::default() });
        let id: ChangeId = format!("table-{version}").parse().expect("a valid change id");
        self.propose(i, id, Proposal::Routing(table))
    }

    /// Asks instance `i` to replace a voter.
    pub fn replace(&mut self, i: NodeIdx, outgoing: NodeIdx, incoming: NodeIdx) -> u64 {
        let proposal = Proposal::Replace {
            outgoing: self.nodes[outgoing].name.clone(),
            incoming: self.nodes[incoming].name.clone(),
        };
        let id: ChangeId = "replace".parse().expect("a valid change id");
        self.propose(i, id, proposal)
    }

    fn propose(&mut self, i: NodeIdx, id: ChangeId, proposal: Proposal) -> u64 {
        let number = self.next_proposal;
        self.next_proposal += 1;
        self.submissions.insert(number, Submission { id, decided: None });
        self.voter_step(i, RaftInput::Propose { id: ProposalId(number), proposal });
        number
    }

    /// What became of a proposal.
    pub fn decision(&self, number: u64) -> Option<&ProposalOutcome> {
        self.submissions.get(&number)?.decided.as_ref().map(|(_, d)| d)
    }

    /// Asks a voter to hand over the lead.
    pub fn transfer_leadership(&mut self, i: NodeIdx) {
        self.voter_step(i, RaftInput::TransferLeadership);
    }

    /// Lets virtual time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, what)) = self.agenda.take_until(end) {
            self.now = self.now.max(at);
            self.happen(what);
        }
        self.now = end;
    }

    /// Lets time pass until `done` or `limit`; true if done.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while !done(self) {
            if self.now >= end {
                return false;
            }
            self.run_for(Duration::from_millis(5));
        }
        true
    }
}
