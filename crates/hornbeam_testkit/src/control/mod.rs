//! Voters and followers over a simulated network with loss, delay and partitions.
//!
//! Drives the production state machines in virtual time and checks these invariants: at most one
//! leader per term, logs that agree, accepted changes that are neither lost nor applied twice, and
//! revisions that never decrease on any instance.
//!
//! - [`check`]: checks of the invariants
//! - [`links`]: network partitions
//! - [`steps`]: delivers messages and timers, and applies the outputs of the state machines

mod check;
mod links;
mod steps;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_control::{
    ConfigFollower, FollowerParams, Persist, Proposal, ProposalId, ProposalOutcome, RaftInput,
    RaftParams, RepairPolicy, Role, Voter,
};
use hornbeam_model::{
    Change, ChangeId, Config, InstanceId, Mono, OrderIndex, Revision, Routing, TableVersion,
    ZoneOrder,
};
use hornbeam_protocol::control::{ChangeCommand, ControlMessage, DiskId, Term};
use hornbeam_protocol::{ConfigState, Message};
use hornbeam_storage::{Folder, MemoryFolder, Store};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::queue::EventQueue;
use crate::samples;

/// Time between two digests that an instance sends.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);
/// Instances that are drawn as receivers of each digest.
const DIGEST_FANOUT: usize = 3;

/// Index of an instance in [`ControlCluster::nodes`].
pub type NodeIdx = usize;

#[derive(Clone, Debug)]
enum NetMessage {
    Control(ControlMessage),
    Config(Message),
    State(ConfigState),
}

#[derive(Debug)]
enum SimEvent {
    Arrival {
        from: NodeIdx,
        to: NodeIdx,
        message: NetMessage,
    },
    Wake(NodeIdx),
    Digest(NodeIdx),
    /// The oldest write of this start of an instance is synced.
    Written {
        node: NodeIdx,
        start: u64,
    },
}

/// Writes that an instance carries out beside its other work.
struct PendingWrites {
    store: Store,
    /// Writes that are not synced yet, oldest first.
    queue: VecDeque<Persist>,
    /// Number of the start of the instance.
    start: u64,
}

/// One simulated instance.
pub struct TestNode {
    /// Name of the instance.
    pub name: InstanceId,
    /// Disk, which survives crashes; present if the instance has had the control role.
    pub disk: Option<MemoryFolder>,
    /// Voter; present while the instance is up and has the control role.
    pub voter: Option<Voter>,
    /// Follower; present while the instance is up.
    pub follower: Option<ConfigFollower>,
    /// Error of the last start if the voter could not be opened.
    pub open_error: Option<String>,
    /// Time of the last start.
    started: Mono,
    /// Highest revision that the instance has served, across restarts.
    served: Revision,
    /// Time at which each revision came into force since the last start.
    pub in_force: BTreeMap<Revision, Mono>,
    is_voter: bool,
    /// Present while the voter is, if [`ControlCluster::sync_time`] is set.
    writes: Option<PendingWrites>,
}

/// Proposal that was submitted, and its outcome.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Id of the change.
    pub id: ChangeId,
    /// Time and outcome of the decision; none while it is pending.
    pub decided: Option<(Mono, ProposalOutcome)>,
}

/// Simulated instances and the network between them.
pub struct ControlCluster {
    /// Current virtual time.
    pub now: Mono,
    /// All instances, including those that are down.
    pub nodes: Vec<TestNode>,
    /// Submissions by proposal number.
    pub submissions: HashMap<u64, Submission>,
    /// Description of every invariant violation found so far.
    pub violations: Vec<String>,
    /// One-way delay of every message.
    pub delay: Duration,
    /// Upper bound of the random delay added to each message.
    pub jitter: Duration,
    /// Share of messages that are lost, in percent.
    pub loss_percent: u32,
    /// Share of messages that are delivered twice, in percent.
    pub duplicate_percent: u32,
    /// Log entries after which a voter takes a snapshot.
    pub snapshot_interval_entries: u64,
    /// Policy of automatic voter replacement for voters started from now on; none disables it.
    pub repair: Option<RepairPolicy>,
    /// Time for which blank initial voters that start from now on wait for objections.
    pub founding_wait: Duration,
    /// Range of the time, in microseconds, that each sync takes at voters that start from now on. They do not wait for
    /// it; if none, each write is synced at once.
    pub sync_time: Option<RangeInclusive<u64>>,
    /// Instances whose syncs do not end, where [`Self::sync_time`] is set.
    pub hung_disks: BTreeSet<NodeIdx>,
    /// Events of all instances, in the order in which they occurred.
    pub events: Vec<(Mono, InstanceId, hornbeam_events::Event)>,
    /// Configurations that came into force, by instance; the caller drains the list.
    pub came_into_force: Vec<(NodeIdx, Arc<Config>)>,
    /// Number of control messages that voters have sent.
    pub control_messages: u64,
    rng: SmallRng,
    event_queue: EventQueue<SimEvent>,
    next_proposal: u64,
    next_disk: u64,
    next_start: u64,
    /// Directed links that drop every message.
    cut: BTreeSet<(NodeIdx, NodeIdx)>,
    leaders: BTreeMap<Term, InstanceId>,
    committed: BTreeMap<Revision, Arc<Config>>,
    accepted: BTreeMap<ChangeId, Revision>,
    first_voters: Vec<InstanceId>,
    /// Version of the last routing table that each instance has put in force since its last start.
    tables: BTreeMap<NodeIdx, TableVersion>,
    /// Index of the last order about a zone that each instance has applied since its last start.
    orders: BTreeMap<NodeIdx, OrderIndex>,
}

impl ControlCluster {
    /// Creates and starts `voters` instances that vote and `others` that only follow.
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
            founding_wait: Duration::ZERO,
            sync_time: None,
            hung_disks: BTreeSet::new(),
            events: Vec::new(),
            came_into_force: Vec::new(),
            control_messages: 0,
            rng: SmallRng::seed_from_u64(seed),
            event_queue: EventQueue::default(),
            next_proposal: 1,
            next_disk: 1,
            next_start: 1,
            cut: BTreeSet::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            accepted: BTreeMap::new(),
            first_voters,
            tables: BTreeMap::new(),
            orders: BTreeMap::new(),
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
                writes: None,
            });
        }
        for i in 0..voters + others {
            cluster.start(i);
        }
        cluster
    }

    /// Founds a log of three voters and a standby that replace voters on their own. `spare` further
    /// instances are down and have no disk.
    pub fn with_repair(seed: u64, spare: usize, snapshot_interval_entries: u64) -> Self {
        let mut cluster = Self::new(seed, 3, 1 + spare);
        let voter_timeout = Duration::from_millis(2_500);
        cluster.repair = Some(RepairPolicy { target_voters: 3, voter_timeout });
        cluster.snapshot_interval_entries = snapshot_interval_entries;
        for i in 0..cluster.nodes.len() {
            cluster.crash(i);
        }
        cluster.make_voter(3);
        for i in 0..4 {
            cluster.wipe(i);
            cluster.start(i);
        }
        cluster.run_for(Duration::from_secs(4));
        cluster
    }

    /// Assigns the control role and an empty disk to an instance, effective at its next start.
    pub fn make_voter(&mut self, i: NodeIdx) {
        self.nodes[i].is_voter = true;
        self.nodes[i].disk = Some(MemoryFolder::default());
    }

    /// Starts an instance that is down, with the content that its disk kept.
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
                founding_wait: self.founding_wait,
            };
            self.next_disk += 1;
            let folder = Folder::Memory(disk.clone());
            let new_disk = DiskId(self.next_disk);
            self.next_start += 1;
            let opened = if self.sync_time.is_none() {
                Voter::open(self.now, folder, params, new_disk, &mut out).map(|v| (v, None))
            } else {
                let opened = Voter::open_with_writer(self.now, folder, params, new_disk, &mut out);
                opened.map(|(voter, store)| (voter, Some(store)))
            };
            match opened {
                Ok((voter, store)) => {
                    let (queue, start) = (VecDeque::new(), self.next_start);
                    node.writes = store.map(|store| PendingWrites { store, queue, start });
                    node.voter = Some(voter);
                }
                Err(e) => node.open_error = Some(e.to_string()),
            }
        }
        let saved_config = self.saved_config(i);
        let node = &mut self.nodes[i];
        let params = FollowerParams {
            peers,
            confirmation_timeout: Duration::from_secs(3),
            saved_config,
            seed: seed ^ 1,
        };
        node.follower = Some(ConfigFollower::new(self.now, params));
        self.apply_outputs(i, out);
        if self.repair.is_some() {
            let contacts = self.nodes.iter().map(|n| n.name.clone()).collect();
            self.voter_step(i, RaftInput::Contacts(contacts));
        }
        self.queue(self.now, SimEvent::Wake(i));
        let first = Duration::from_millis(self.rng.random_range(0..500));
        self.queue(self.now + first, SimEvent::Digest(i));
    }

    /// Stops an instance without a shutdown; its disk is kept and its sent messages still arrive. Of the writes that
    /// are not synced, some may be on the disk.
    pub fn crash(&mut self, i: NodeIdx) {
        if let Some(mut writes) = self.nodes[i].writes.take() {
            let kept = self.rng.random_range(0..=writes.queue.len());
            for persist in writes.queue.drain(..kept) {
                // The disk may have failed already.
                let _ = hornbeam_control::write(&mut writes.store, &persist);
            }
        }
        self.nodes[i].voter = None;
        self.nodes[i].follower = None;
        self.tables.remove(&i);
        self.orders.remove(&i);
    }

    /// Stops an instance without a shutdown and drops its messages that have not arrived yet.
    pub fn crash_with_messages(&mut self, i: NodeIdx) {
        self.crash(i);
        let sent_by = |h: &SimEvent| matches!(h, SimEvent::Arrival { from, .. } if *from == i);
        self.event_queue.retain(|h| !sent_by(h));
    }

    /// Replaces the disk of an instance that is down with an empty one.
    pub fn wipe(&mut self, i: NodeIdx) {
        self.nodes[i].disk = Some(MemoryFolder::default());
    }

    /// Returns the configuration that an instance with the control role has saved.
    pub(crate) fn saved_config(&self, i: NodeIdx) -> Option<Config> {
        let node = &self.nodes[i];
        node.voter.as_ref()?;
        let disk = Folder::Memory(node.disk.as_ref()?.clone());
        hornbeam_control::voter::saved_config(&disk)
    }

    /// Returns whether an instance is up.
    pub fn is_up(&self, i: NodeIdx) -> bool {
        self.nodes[i].follower.is_some()
    }

    /// Returns the leader of the highest term among the instances that are up.
    pub fn leader(&self) -> Option<NodeIdx> {
        let leading = |i: &NodeIdx| self.raft(*i).is_some_and(|r| r.role() == Role::Leader);
        (0..self.nodes.len()).filter(leading).max_by_key(|i| self.raft(*i).map(|r| r.term()))
    }

    /// Returns the Raft state machine of a voter that is up.
    pub fn raft(&self, i: NodeIdx) -> Option<&hornbeam_control::Raft> {
        self.nodes[i].voter.as_ref()?.raft()
    }

    /// Returns the revision that an instance serves, or `None` if it does not serve.
    pub fn revision(&self, i: NodeIdx) -> Option<Revision> {
        let follower = self.nodes[i].follower.as_ref()?;
        follower.is_serving().then(|| follower.config().revision)
    }

    /// Returns the highest revision committed on any instance so far.
    pub fn committed_revision(&self) -> Revision {
        self.committed.keys().next_back().copied().unwrap_or_default()
    }

    /// Submits a change of a service to instance `i` and returns the proposal number.
    pub fn submit(&mut self, i: NodeIdx, id: &str, expect: Revision) -> u64 {
        let change = Change::PutService {
            name: "planner".parse().expect("a valid service name"),
            service: samples::service(100 + expect.0 % 1_000),
        };
        self.submit_change(i, id, expect, change)
    }

    /// Submits `change` to instance `i` and returns the proposal number.
    pub fn submit_change(&mut self, i: NodeIdx, id: &str, expect: Revision, change: Change) -> u64 {
        let id: ChangeId = id.parse().expect("a valid change id");
        let command = ChangeCommand { id: id.clone(), expect, change, unix_ms: 0 };
        self.propose(i, id, Proposal::Change(command))
    }

    /// Submits an empty routing table of `version` to instance `i` and returns the proposal number.
    pub fn submit_table(&mut self, i: NodeIdx, version: u64) -> u64 {
        let version = TableVersion(version);
        let table = Arc::new(Routing { version, ..Routing::default() });
        let id: ChangeId = format!("table-{version}").parse().expect("a valid change id");
        self.propose(i, id, Proposal::Routing(table))
    }

    /// Submits an order about a zone to instance `i` and returns the proposal number.
    pub fn submit_zone_order(&mut self, i: NodeIdx, zone: &str, evacuate: bool) -> u64 {
        let order = ZoneOrder { zone: zone.parse().expect("a valid zone name"), evacuate };
        let id: ChangeId = format!("order-{zone}").parse().expect("a valid change id");
        self.propose(i, id, Proposal::ZoneOrder(order))
    }

    /// Requests that instance `i` replace voter `outgoing` by `incoming`; returns the proposal
    /// number.
    pub fn replace(&mut self, i: NodeIdx, outgoing: NodeIdx, incoming: NodeIdx) -> u64 {
        let proposal = Proposal::Replace {
            outgoing: self.nodes[outgoing].name.clone(),
            incoming: self.nodes[incoming].name.clone(),
        };
        let id: ChangeId = "replace".parse().expect("a valid change id");
        self.propose(i, id, proposal)
    }

    /// Submits any proposal to instance `i` and returns the proposal number.
    pub fn submit_proposal(&mut self, i: NodeIdx, proposal: Proposal) -> u64 {
        let id: ChangeId = format!("proposal-{}", self.next_proposal).parse().expect("a valid id");
        self.propose(i, id, proposal)
    }

    fn propose(&mut self, i: NodeIdx, id: ChangeId, proposal: Proposal) -> u64 {
        let number = self.next_proposal;
        self.next_proposal += 1;
        self.submissions.insert(number, Submission { id, decided: None });
        self.voter_step(i, RaftInput::Propose { id: ProposalId(number), proposal });
        number
    }

    /// Returns the outcome of a proposal, or `None` while it is pending.
    pub fn decision(&self, number: u64) -> Option<&ProposalOutcome> {
        self.submissions.get(&number)?.decided.as_ref().map(|(_, d)| d)
    }

    /// Requests a leadership transfer from a voter.
    pub fn transfer_leadership(&mut self, i: NodeIdx) {
        self.voter_step(i, RaftInput::TransferLeadership);
    }

    /// Passes an input to the voter of an instance.
    pub fn voter_input(&mut self, i: NodeIdx, input: RaftInput) {
        self.voter_step(i, input);
    }

    /// Advances virtual time by `time` and handles every event scheduled until then.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, event)) = self.event_queue.pop_until(end) {
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Advances virtual time until `done` holds or `limit` has passed; returns whether `done`
    /// holds.
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
