//! Distribution of the configuration to every instance; the revision of an instance never
//! decreases.
//!
//! Voters learn of accepted changes from the log, all other instances from their peers. A change is
//! pushed when it is accepted and relayed when an instance first receives it; digests detect lost
//! messages. Each revision is sent with the age of its confirmation, which is the time since a
//! majority of the voters confirmed that nothing later had been accepted.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::{Change, Config, InstanceId, Mono, Revision};
use hornbeam_protocol::{ConfigState, Message};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

/// Maximum age of a confirmation with which an instance starts to serve.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(5);
/// Age of the last confirmation from which a configuration is reported as unconfirmed.
const UNCONFIRMED_REPORT_AGE: Duration = Duration::from_secs(10);
/// Number of recent changes kept for peers that are a few revisions behind; others get the whole
/// configuration.
const MAX_RECENT_CHANGES: usize = 256;
/// Maximum number of peers to which an instance pushes a change that its log has accepted.
const PUSH_FANOUT: usize = 16;
/// Maximum number of peers to which an instance relays a change when it first receives it, if there
/// are more than [`PUSH_FANOUT`] peers.
const RELAY_FANOUT: usize = 3;
/// Minimum interval between two requests for missing changes.
const FETCH_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum interval between two ticks.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Parameters of a [`ConfigFollower`].
#[derive(Clone, Debug)]
pub struct FollowerParams {
    /// All other instances.
    pub peers: Vec<InstanceId>,
    /// Time to wait for a confirmed configuration before an unconfirmed one is served.
    pub confirmation_timeout: Duration,
    /// Configuration found on the disk, if any.
    pub saved_config: Option<Config>,
    /// Seed of the random choice of peers.
    pub seed: u64,
}

/// Input of [`ConfigFollower::step`].
#[derive(Debug)]
pub enum FollowerInput {
    /// A peer's digest with the state of its configuration.
    PeerState {
        /// Peer that sent the digest.
        from: InstanceId,
        /// Revision, age of the confirmation and leader known to the peer.
        state: ConfigState,
    },
    /// A message from a peer; messages that do not concern the configuration are ignored.
    Message {
        /// Peer that sent the message.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// This voter applied an accepted change from the log.
    ChangeCommitted {
        /// The change.
        change: Change,
        /// Configuration after the change.
        config: Arc<Config>,
    },
    /// A snapshot from the leader replaced the state of this voter.
    SnapshotInstalled(Arc<Config>),
    /// A majority confirmed the configuration of this leader as of this time.
    Confirmed(Mono),
    /// Leader known to this voter.
    Leader(Option<InstanceId>),
    /// Only processes the timers that are due.
    Tick,
}

/// Output of [`ConfigFollower::step`].
#[derive(Debug, PartialEq)]
pub enum FollowerOutput {
    /// Sends a message.
    Send {
        /// Receiver of the message.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Puts this configuration in force; its revision is higher than that of any earlier one.
    InForce(Arc<Config>),
    /// A majority confirmed the configuration in force as of this time.
    Confirmed(Mono),
    /// Saves this configuration on the disk, if the instance has one.
    Save(Arc<Config>),
    /// Records an event in the journal.
    Event(Event),
}

/// State machine that keeps the configuration of one instance up to date.
#[derive(Debug)]
pub struct ConfigFollower {
    params: FollowerParams,
    rng: SmallRng,
    /// Latest known configuration; its revision never decreases.
    config: Arc<Config>,
    /// Latest changes that led to `config`, oldest first; at most [`MAX_RECENT_CHANGES`].
    recent_changes: VecDeque<Change>,
    confirmed_at: Option<Mono>,
    leader: Option<InstanceId>,
    serving: bool,
    /// When an unconfirmed configuration may be served.
    confirmation_due_at: Mono,
    next_fetch_at: Mono,
    unconfirmed_reported: bool,
}

impl ConfigFollower {
    /// Creates a follower that starts at `now` with the configuration from its disk.
    pub fn new(now: Mono, params: FollowerParams) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(params.seed),
            config: Arc::new(params.saved_config.clone().unwrap_or_default()),
            recent_changes: VecDeque::new(),
            confirmed_at: None,
            leader: None,
            serving: false,
            confirmation_due_at: now + params.confirmation_timeout,
            next_fetch_at: now,
            unconfirmed_reported: false,
            params,
        }
    }

    /// Processes one input and the timers that are due, and appends the outputs to `out`.
    pub fn step(&mut self, now: Mono, input: FollowerInput, out: &mut Vec<FollowerOutput>) {
        match input {
            FollowerInput::PeerState { from, state } => self.on_state(now, &from, &state, out),
            FollowerInput::Message { from, message } => self.on_message(now, &from, message, out),
            FollowerInput::ChangeCommitted { change, config } => {
                if config.revision.0 == self.config.revision.0 + 1 {
                    self.record_recent_change(change.clone());
                } else {
                    self.recent_changes.clear();
                }
                self.adopt(config, out);
                self.push_changes(now, vec![change], PUSH_FANOUT, None, out);
            }
            FollowerInput::SnapshotInstalled(config) => {
                self.recent_changes.clear();
                self.adopt(config, out);
            }
            FollowerInput::Confirmed(at) => self.confirm(at, out),
            FollowerInput::Leader(leader) => self.leader = leader,
            FollowerInput::Tick => {}
        }
        self.on_tick(now, out);
    }

    /// Returns the latest time at which [`FollowerInput::Tick`] must be passed to
    /// [`ConfigFollower::step`].
    pub fn next_wake(&self, now: Mono) -> Mono {
        if self.serving {
            now + MAX_TICK_INTERVAL
        } else {
            self.confirmation_due_at.min(now + MAX_TICK_INTERVAL)
        }
    }

    /// Returns the latest known configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns true once queries may be served with [`ConfigFollower::config`].
    pub fn is_serving(&self) -> bool {
        self.serving
    }

    /// Returns when a majority last confirmed the configuration, if one has.
    pub fn confirmed_at(&self) -> Option<Mono> {
        self.confirmed_at
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// Returns the state of the configuration for digests and messages to peers.
    pub fn state(&self, now: Mono) -> ConfigState {
        let age = |at: Mono| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        ConfigState {
            revision: self.config.revision,
            confirmed_age_ms: self.confirmed_at.map(age),
            leader: self.leader.clone(),
        }
    }

    fn on_state(
        &mut self,
        now: Mono,
        from: &InstanceId,
        state: &ConfigState,
        out: &mut Vec<FollowerOutput>,
    ) {
        if state.revision > self.config.revision {
            if now >= self.next_fetch_at {
                self.next_fetch_at = now + FETCH_INTERVAL;
                let message = Message::ConfigFetch { have: self.config.revision };
                out.push(FollowerOutput::Send { to: from.clone(), message });
            }
            return;
        }
        if state.revision < self.config.revision {
            return;
        }
        let Some(age) = state.confirmed_age_ms else { return };
        let at = now.before(Duration::from_millis(u64::from(age)));
        if self.confirmed_at.is_none_or(|known| at > known) {
            self.leader.clone_from(&state.leader);
            self.confirm(at, out);
        }
    }

    fn confirm(&mut self, at: Mono, out: &mut Vec<FollowerOutput>) {
        if self.confirmed_at.is_some_and(|known| at <= known) {
            return;
        }
        self.confirmed_at = Some(at);
        if self.serving {
            out.push(FollowerOutput::Confirmed(at));
        }
    }

    fn on_message(
        &mut self,
        now: Mono,
        from: &InstanceId,
        message: Message,
        out: &mut Vec<FollowerOutput>,
    ) {
        match message {
            Message::ConfigFetch { have } => self.on_fetch(now, from, have, out),
            Message::ConfigChanges { base, changes, state } => {
                self.on_changes(now, from, base, &changes, out);
                self.on_state(now, from, &state, out);
            }
            Message::ConfigWhole { config, state } => {
                if config.revision > self.config.revision && config.check().is_ok() {
                    self.recent_changes.clear();
                    self.adopt(Arc::new(*config), out);
                }
                self.on_state(now, from, &state, out);
            }
            _ => {}
        }
    }

    fn on_fetch(
        &self,
        now: Mono,
        from: &InstanceId,
        have: Revision,
        out: &mut Vec<FollowerOutput>,
    ) {
        if have >= self.config.revision {
            return;
        }
        let behind = self.config.revision.0 - have.0;
        let state = self.state(now);
        let message = if behind <= self.recent_changes.len() as u64 {
            let skip = self.recent_changes.len() - behind as usize;
            let changes = self.recent_changes.iter().skip(skip).cloned().collect();
            Message::ConfigChanges { base: have, changes, state }
        } else {
            Message::ConfigWhole { config: Box::new((*self.config).clone()), state }
        };
        out.push(FollowerOutput::Send { to: from.clone(), message });
    }

    fn on_changes(
        &mut self,
        now: Mono,
        from: &InstanceId,
        base: Revision,
        changes: &[Change],
        out: &mut Vec<FollowerOutput>,
    ) {
        let Some(known) = self.config.revision.0.checked_sub(base.0) else { return };
        let new_changes = changes.get(known as usize..).unwrap_or_default();
        if new_changes.is_empty() {
            return;
        }
        let mut config = (*self.config).clone();
        for change in new_changes {
            match change.apply(&config) {
                Ok(next) => config = next,
                // Accepted changes always apply, except between releases that validate differently.
                // Then the whole configuration is fetched.
                Err(_) => {
                    let message = Message::ConfigFetch { have: Revision(0) };
                    out.push(FollowerOutput::Send { to: from.clone(), message });
                    return;
                }
            }
        }
        for change in new_changes {
            self.record_recent_change(change.clone());
        }
        self.adopt(Arc::new(config), out);
        if self.params.peers.len() > PUSH_FANOUT {
            self.push_changes(now, new_changes.to_vec(), RELAY_FANOUT, Some(from), out);
        }
    }

    fn record_recent_change(&mut self, change: Change) {
        self.recent_changes.push_back(change);
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
    }

    /// Adopts a configuration if its revision is higher than the current one.
    fn adopt(&mut self, config: Arc<Config>, out: &mut Vec<FollowerOutput>) {
        if config.revision <= self.config.revision {
            return;
        }
        self.config = config.clone();
        out.push(FollowerOutput::Save(config.clone()));
        if self.serving {
            out.push(FollowerOutput::InForce(config));
        }
    }

    /// Sends the last changes that led to the current configuration to at most `count` random
    /// peers.
    fn push_changes(
        &mut self,
        now: Mono,
        changes: Vec<Change>,
        count: usize,
        except: Option<&InstanceId>,
        out: &mut Vec<FollowerOutput>,
    ) {
        let base = Revision(self.config.revision.0 - changes.len() as u64);
        let state = self.state(now);
        let chosen = self.params.peers.choose_multiple(&mut self.rng, count);
        for to in chosen.filter(|p| Some(*p) != except) {
            let (changes, state) = (changes.clone(), state.clone());
            let message = Message::ConfigChanges { base, changes, state };
            out.push(FollowerOutput::Send { to: to.clone(), message });
        }
    }

    fn on_tick(&mut self, now: Mono, out: &mut Vec<FollowerOutput>) {
        if !self.serving {
            self.try_start_serving(now, out);
        }
        let Some(confirmed) = self.confirmed_at else { return };
        let age = now.since(confirmed);
        if age < UNCONFIRMED_REPORT_AGE {
            self.unconfirmed_reported = false;
        } else if self.serving && !self.unconfirmed_reported {
            self.unconfirmed_reported = true;
            let (revision, age_ms) = (self.config.revision, age.as_millis() as u64);
            out.push(FollowerOutput::Event(Event::ConfigUnconfirmed { revision, age_ms }));
        }
    }

    /// Starts to serve once the configuration is confirmed. After the timeout any revision above 0
    /// is served without a confirmation.
    fn try_start_serving(&mut self, now: Mono, out: &mut Vec<FollowerOutput>) {
        let confirmed = self.confirmed_at.is_some_and(|at| now.since(at) <= MAX_CONFIRMATION_AGE);
        let revision = self.config.revision;
        let timed_out = now >= self.confirmation_due_at && revision > Revision(0);
        if !confirmed && !timed_out {
            return;
        }
        self.serving = true;
        if !confirmed {
            out.push(FollowerOutput::Event(Event::ConfigFromDisk { revision }));
        }
        out.push(FollowerOutput::InForce(self.config.clone()));
        out.extend(self.confirmed_at.map(FollowerOutput::Confirmed));
    }
}
