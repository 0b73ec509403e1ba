//! How every instance follows the configuration, upward only.
//!
//! Voters learn of accepted changes from the log; all others from their peers. A change is pushed
//! when it is accepted and passed on when it is first seen; digests find what was lost. With each
//! revision travels the age of its confirmation: the time since a majority of voters said that
//! nothing later had been accepted.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::{Change, Config, InstanceId, Mono, Revision};
use hornbeam_protocol::{ConfigState, Message};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

/// Age up to which a confirmation lets a starting instance serve.
const FRESH: Duration = Duration::from_secs(5);
/// Age from which a configuration is reported as unconfirmed.
const REPORT_AFTER: Duration = Duration::from_secs(10);
/// Changes kept for peers that are a little behind.
const MAX_RECENT: usize = 256;
/// Instances that get a change pushed by the one that accepted it.
const PUSH_FANOUT: usize = 16;
/// Instances to which a change is passed on when it is first seen.
const RELAY_FANOUT: usize = 3;
/// Time between two requests for what is missing.
const FETCH_EVERY: Duration = Duration::from_millis(200);
/// Longest time without a look at the clock.
const TICK: Duration = Duration::from_millis(500);

/// What a follower needs to know of its instance.
#[derive(Clone, Debug)]
pub struct FollowerParams {
    /// The other instances.
    pub peers: Vec<InstanceId>,
    /// How long to wait for a confirmed configuration before serving from an unconfirmed one.
    pub confirmation_timeout: Duration,
    /// What the disk held, if there is a disk and it held something.
    pub saved_config: Option<Config>,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What happens to a follower.
#[derive(Debug)]
pub enum FollowerInput {
    /// A peer's digest told what it knows.
    PeerState {
        /// The peer.
        from: InstanceId,
        /// What it knows.
        state: ConfigState,
    },
    /// A peer's message about the configuration; others are ignored.
    Message {
        /// The peer.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// The log of this voter accepted a change.
    ChangeCommitted {
        /// The change.
        change: Change,
        /// The configuration it led to.
        config: Arc<Config>,
    },
    /// A snapshot replaced the state of this voter.
    SnapshotInstalled(Arc<Config>),
    /// This leader's configuration was confirmed as of this time.
    Confirmed(Mono),
    /// The leader that this voter knows.
    Leader(Option<InstanceId>),
    /// Time has passed.
    Tick,
}

/// What a follower wants done.
#[derive(Debug, PartialEq)]
pub enum FollowerOutput {
    /// Send a message.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Serve from this configuration; its revision is higher than any before.
    InForce(Arc<Config>),
    /// The configuration in force was confirmed as of this time.
    Confirmed(Mono),
    /// Keep this configuration on the disk, if there is one.
    Save(Arc<Config>),
    /// Note an event.
    Event(Event),
}

/// The configuration as one instance follows it.
#[derive(Debug)]
pub struct ConfigFollower {
    params: FollowerParams,
    rng: SmallRng,
    /// The newest configuration known; its revision never falls.
    config: Arc<Config>,
    /// Changes that led to `config`, oldest first.
    recent: VecDeque<Change>,
    confirmed: Option<Mono>,
    leader: Option<InstanceId>,
    serving: bool,
    /// When to stop waiting for a confirmed configuration.
    give_up_at: Mono,
    next_fetch: Mono,
    reported: bool,
}

impl ConfigFollower {
    /// A follower that starts now.
    pub fn new(now: Mono, params: FollowerParams) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(params.seed),
            config: Arc::new(params.saved_config.clone().unwrap_or_default()),
            recent: VecDeque::new(),
            confirmed: None,
            leader: None,
            serving: false,
            give_up_at: now + params.confirmation_timeout,
            next_fetch: now,
            reported: false,
            params,
        }
    }

    /// Takes one input and appends what it leads to.
    pub fn step(&mut self, now: Mono, input: FollowerInput, out: &mut Vec<FollowerOutput>) {
        match input {
            FollowerInput::PeerState { from, state } => self.on_state(now, &from, &state, out),
            FollowerInput::Message { from, message } => self.on_message(now, &from, message, out),
            FollowerInput::ChangeCommitted { change, config } => {
                if config.revision.0 == self.config.revision.0 + 1 {
                    self.note_recent(change.clone());
                } else {
                    self.recent.clear();
                }
                self.adopt(config, out);
                self.push(now, vec![change], PUSH_FANOUT, None, out);
            }
            FollowerInput::SnapshotInstalled(config) => {
                self.recent.clear();
                self.adopt(config, out);
            }
            FollowerInput::Confirmed(at) => self.confirm(at, out),
            FollowerInput::Leader(leader) => self.leader = leader,
            FollowerInput::Tick => {}
        }
        self.on_time(now, out);
    }

    /// When [`FollowerInput::Tick`] is due at the latest.
    pub fn next_wake(&self, now: Mono) -> Mono {
        if self.serving { now + TICK } else { self.give_up_at.min(now + TICK) }
    }

    /// The newest configuration known.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// True once queries may be served from [`ConfigFollower::config`].
    pub fn is_serving(&self) -> bool {
        self.serving
    }

    /// When the configuration was last confirmed.
    pub fn confirmed_at(&self) -> Option<Mono> {
        self.confirmed
    }

    /// The leader, as far as known.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// What to tell peers.
    pub fn state(&self, now: Mono) -> ConfigState {
        let age = |at: Mono| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        ConfigState {
            revision: self.config.revision,
            confirmed_age_ms: self.confirmed.map(age),
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
            if now >= self.next_fetch {
                self.next_fetch = now + FETCH_EVERY;
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
        if self.confirmed.is_none_or(|known| at > known) {
            self.leader.clone_from(&state.leader);
            self.confirm(at, out);
        }
    }

    fn confirm(&mut self, at: Mono, out: &mut Vec<FollowerOutput>) {
        if self.confirmed.is_some_and(|known| at <= known) {
            return;
        }
        self.confirmed = Some(at);
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
                    self.recent.clear();
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
        let message = if behind <= self.recent.len() as u64 {
            let skip = self.recent.len() - behind as usize;
            let changes = self.recent.iter().skip(skip).cloned().collect();
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
        let news = changes.get(known as usize..).unwrap_or_default();
        if news.is_empty() {
            return;
        }
        let mut config = (*self.config).clone();
        for change in news {
            match change.apply(&config) {
                Ok(next) => config = next,
                // Accepted changes apply by construction; a release that knows more may differ.
                Err(_) => {
                    let message = Message::ConfigFetch { have: Revision(0) };
                    out.push(FollowerOutput::Send { to: from.clone(), message });
                    return;
                }
            }
        }
        for change in news {
            self.note_recent(change.clone());
        }
        self.adopt(Arc::new(config), out);
        if self.params.peers.len() > PUSH_FANOUT {
            self.push(now, news.to_vec(), RELAY_FANOUT, Some(from), out);
        }
    }

    fn note_recent(&mut self, change: Change) {
        self.recent.push_back(change);
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
    }

    /// Takes over a configuration if it is later than the one known.
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

    /// Sends changes that led to the present configuration to `count` peers.
    fn push(
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

    fn on_time(&mut self, now: Mono, out: &mut Vec<FollowerOutput>) {
        if !self.serving {
            self.consider_serving(now, out);
        }
        let Some(confirmed) = self.confirmed else { return };
        let age = now.since(confirmed);
        if age < REPORT_AFTER {
            self.reported = false;
        } else if self.serving && !self.reported {
            self.reported = true;
            let (revision, age_ms) = (self.config.revision, age.as_millis() as u64);
            out.push(FollowerOutput::Event(Event::ConfigUnconfirmed { revision, age_ms }));
        }
    }

    fn consider_serving(&mut self, now: Mono, out: &mut Vec<FollowerOutput>) {
        let confirmed = self.confirmed.is_some_and(|at| now.since(at) <= FRESH);
        let revision = self.config.revision;
        let gave_up = now >= self.give_up_at && revision > Revision(0);
        if !confirmed && !gave_up {
            return;
        }
        self.serving = true;
        if !confirmed {
            out.push(FollowerOutput::Event(Event::ConfigFromDisk { revision }));
        }
        out.push(FollowerOutput::InForce(self.config.clone()));
        out.extend(self.confirmed.map(FollowerOutput::Confirmed));
    }
}
