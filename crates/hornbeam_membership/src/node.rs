//! State machine of the membership, `step(now, input) -> outputs`.
//!
//! Each instance is a registrar: it holds the leases of the servers that announce to it and
//! publishes them as a view with numbered changes. A change is pushed immediately. A periodic
//! digest states the latest known change of each view and the age of its confirmation, so that a
//! lost push is fetched and a view that no instance can confirm any more expires. Digests include
//! the views of other registrars, so the other instances bridge a broken link between two of them.

use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::{Announcement, Incarnation, InstanceId, Mono, ServerId, Zone};
use hornbeam_protocol::{
    ConfigState, Digest, DigestEntry, Message, ViewChange, ViewChanges, ViewFetch, ViewPos,
};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::peers::{PeerInfo, Peers};
use crate::registry::{AnnounceError, Registry};
use crate::view::View;

/// Interval between two digests.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(500);
/// Number of instances that receive each digest.
const DIGEST_FANOUT: usize = 4;
/// Maximum number of other instances with which each one receives a digest from every other one
/// within a second.
const MAX_SMALL_ROSTER_PEERS: usize = 8;
/// Number of instances to which a registrar pushes a change.
const PUSH_FANOUT: usize = 16;
/// Number of instances to which a change is relayed when it is received for the first time.
const RELAY_FANOUT: usize = 3;
/// Time without confirmation after which a view expires. A server that stops without notice is
/// removed after its lease and this time, also if its registrar is partitioned.
pub const VIEW_TTL: Duration = Duration::from_millis(1_350);
/// [`VIEW_TTL`] with more other instances than `MAX_SMALL_ROSTER_PEERS`, where a confirmation takes
/// more digests to reach every instance.
pub const LARGE_ROSTER_VIEW_TTL: Duration = Duration::from_millis(2_700);

/// Parameters of a [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipParams {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: Zone,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
    /// Time for which an announcement is valid.
    pub lease: Duration,
    /// Other instances with their availability zones.
    pub peers: Vec<(InstanceId, Zone)>,
    /// Seed of the random selection of instances.
    pub seed: u64,
}

/// Input of [`Membership::step`].
#[derive(Debug)]
pub enum Input {
    /// Message from another instance.
    Message {
        /// Sender of the message.
        from: InstanceId,
        /// Received message.
        message: Message,
    },
    /// State of this instance's configuration, for its digests.
    Config(ConfigState),
    /// This instance shuts down gracefully.
    Leave,
    /// Time has passed.
    Tick,
}

/// Output of a [`Membership`], to be carried out by its owner.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send a message to another instance.
    Send {
        /// Receiver of the message.
        to: InstanceId,
        /// Message to send.
        message: Message,
    },
    /// A server was added, or its announcement changed.
    Listed(Announcement),
    /// A server is no longer in any view.
    Gone(ServerId),
    /// The set of instances in the roster changed.
    RosterChanged,
    /// A peer sent the state of its configuration.
    PeerConfig {
        /// Sender of the digest.
        peer: InstanceId,
        /// Configuration state of the peer.
        state: ConfigState,
    },
    /// Record an event.
    Event(Event),
}

/// Membership state of one instance: leases, views and peers.
#[derive(Debug)]
pub struct Membership {
    params: MembershipParams,
    rng: SmallRng,
    registry: Registry,
    /// Views by registrar; the first one belongs to this instance.
    views: IndexMap<InstanceId, View>,
    peers: Peers,
    config: ConfigState,
    next_digest: Mono,
    /// Latest announcement reported of each server, so that only changes are reported.
    reported: IndexMap<ServerId, Announcement>,
    left: bool,
}

impl Membership {
    /// Creates a membership without any server.
    pub fn new(params: MembershipParams) -> Self {
        let mut own = View::new(Mono::default(), params.instance.clone(), params.incarnation);
        own.confirmed = Some(Mono::default());
        let mut views = IndexMap::new();
        views.insert(params.instance.clone(), own);
        Self {
            rng: SmallRng::seed_from_u64(params.seed),
            registry: Registry::new(params.lease),
            views,
            peers: Peers::new(params.peers.iter().cloned()),
            config: ConfigState::default(),
            next_digest: Mono::default(),
            reported: IndexMap::new(),
            left: false,
            params,
        }
    }

    /// Processes an announcement of a server and appends the resulting outputs.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, in the cases of [`Registry::announce`] and if any
    /// view has a newer announcement of the server.
    pub fn announce(
        &mut self,
        now: Mono,
        a: &Announcement,
        out: &mut Vec<Output>,
    ) -> Result<(), AnnounceError> {
        let order = self.reported.get(&a.server).map(Announcement::order);
        if let Some((incarnation, seq)) = order
            && a.order() < (incarnation, seq)
        {
            return Err(AnnounceError::Outdated { incarnation, seq });
        }
        if let Some(change) = self.registry.announce(now, a)? {
            self.publish(now, vec![change], out);
        }
        Ok(())
    }

    /// Processes one input and appends the resulting outputs.
    pub fn step(&mut self, now: Mono, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Message { from, message } => self.on_message(now, &from, message, out),
            Input::Config(config) => self.config = config,
            Input::Leave => self.leave(out),
            Input::Tick => {}
        }
        self.on_time(now, out);
    }

    /// Returns the latest time at which [`Input::Tick`] is due.
    pub fn next_wake(&self) -> Mono {
        let lease_expiry = self.registry.next_expiry().unwrap_or(Mono::MAX);
        let ttl = self.view_ttl();
        let others = self.views.values().skip(1);
        let view_expiry = others.map(|v| v.expires_at(ttl)).min().unwrap_or(Mono::MAX);
        self.next_digest.min(lease_expiry).min(view_expiry)
    }

    /// Returns the instances among which connections to servers are shared, this one included.
    pub fn roster(&self) -> Vec<InstanceId> {
        let mut names = vec![self.params.instance.clone()];
        let staying = self.peers.iter().filter(|(_, p)| !p.left);
        names.extend(staying.map(|(name, _)| name.clone()));
        names
    }

    /// Returns the other instances with their state.
    pub fn peers(&self) -> impl Iterator<Item = (&InstanceId, &PeerInfo)> {
        self.peers.iter()
    }

    /// Returns the confirmed views: registrar, position, age of the confirmation and number of
    /// servers.
    pub fn views(
        &self,
        now: Mono,
    ) -> impl Iterator<Item = (&InstanceId, ViewPos, Duration, usize)> {
        let known = self.views.values().filter_map(|v| Some((v, v.confirmed?)));
        known.map(move |(v, at)| (&v.registrar, v.pos, now.since(at), v.len()))
    }

    fn own_view(&mut self) -> &mut View {
        &mut self.views[0]
    }

    /// Records changes to this instance's own view and pushes them.
    fn publish(&mut self, now: Mono, changes: Vec<ViewChange>, out: &mut Vec<Output>) {
        let view = self.own_view();
        let before = view.pos.version;
        let mut affected = Vec::new();
        for change in changes {
            affected.push(server_of(&change).clone());
            view.record(change);
        }
        view.confirmed = Some(now);
        let messages = view.changes_after(before, 0);
        for to in self.peers.sample(&mut self.rng, PUSH_FANOUT) {
            for message in &messages {
                let message = Message::Changes(message.clone());
                out.push(Output::Send { to: to.clone(), message });
            }
        }
        self.report_changes(&affected, out);
    }

    fn on_message(
        &mut self,
        now: Mono,
        from: &InstanceId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        if message == Message::Goodbye {
            return self.on_goodbye(from, out);
        }
        self.record_contact(now, from, out);
        match message {
            Message::Digest(digest) => self.on_digest(now, from, digest, out),
            Message::Changes(changes) => self.on_changes(now, from, changes, out),
            Message::Fetch(fetch) => self.on_fetch(now, from, &fetch, out),
            _ => {}
        }
    }

    fn on_goodbye(&mut self, from: &InstanceId, out: &mut Vec<Output>) {
        let Some(peer) = self.peers.get_mut(from) else { return };
        if std::mem::replace(&mut peer.left, true) {
            return;
        }
        out.push(Output::RosterChanged);
        out.push(Output::Event(Event::PeerLeft { peer: from.clone() }));
    }

    fn record_contact(&mut self, now: Mono, from: &InstanceId, out: &mut Vec<Output>) {
        let Some(peer) = self.peers.get_mut(from) else { return };
        let first = peer.last_heard.is_none();
        peer.last_heard = Some(now);
        let was_silent = std::mem::replace(&mut peer.silent, false);
        let returned = std::mem::replace(&mut peer.left, false);
        if returned {
            out.push(Output::RosterChanged);
        }
        if first || was_silent || returned {
            out.push(Output::Event(Event::PeerAlive { peer: from.clone() }));
        }
    }

    fn on_digest(&mut self, now: Mono, from: &InstanceId, digest: Digest, out: &mut Vec<Output>) {
        let ttl = self.view_ttl();
        for entry in &digest.views {
            let known = self.views.values_mut().find(|v| v.key == entry.view);
            let have = known.as_ref().map_or(0, |v| v.pos.version);
            match known {
                Some(view) if view.registrar == self.params.instance => continue,
                Some(view) if have == entry.version => {
                    let registrar = view.registrar.clone();
                    self.confirm(now, &registrar, entry.age_ms, out);
                    continue;
                }
                _ => {}
            }
            let expired = u128::from(entry.age_ms) >= ttl.as_millis();
            if entry.version < have || expired {
                continue;
            }
            let fetch = ViewFetch { view: entry.view, have };
            out.push(Output::Send { to: from.clone(), message: Message::Fetch(fetch) });
        }
        out.push(Output::PeerConfig { peer: from.clone(), state: digest.config });
    }

    /// Records that a view was complete `age_ms` ago; its servers are used from the first time on.
    fn confirm(&mut self, now: Mono, registrar: &InstanceId, age_ms: u32, out: &mut Vec<Output>) {
        let ttl = self.view_ttl();
        let Some(view) = self.views.get_mut(registrar) else { return };
        let at = now.before(Duration::from_millis(u64::from(age_ms)));
        if now.since(at) >= ttl {
            return;
        }
        let first = view.confirmed.is_none();
        view.confirmed = view.confirmed.max(Some(at));
        if first {
            let affected: Vec<ServerId> = view.servers().cloned().collect();
            self.report_changes(&affected, out);
        }
    }

    fn on_changes(
        &mut self,
        now: Mono,
        from: &InstanceId,
        message: ViewChanges,
        out: &mut Vec<Output>,
    ) {
        if message.registrar == self.params.instance {
            return;
        }
        let mut affected = Vec::new();
        let have = self.views.get(&message.registrar).map(|v| v.pos);
        let known = have.is_some_and(|p| p.incarnation >= message.incarnation);
        if !known {
            if let Some(old) = self.views.shift_remove(&message.registrar) {
                affected.extend(old.servers().cloned());
            }
            let view = View::new(now, message.registrar.clone(), message.incarnation);
            self.views.insert(message.registrar.clone(), view);
        }
        let Some(view) = self.views.get_mut(&message.registrar) else { return };
        if view.pos.incarnation != message.incarnation {
            return;
        }
        let view_key = view.key;
        let before = view.pos.version;
        affected.extend(view.apply(&message));
        let have = view.pos;
        if let Some(age_ms) = message.age_ms
            && have.version == message.to
        {
            self.confirm(now, &message.registrar, age_ms, out);
        }
        if message.from > have.version {
            let fetch = ViewFetch { view: view_key, have: have.version };
            out.push(Output::Send { to: from.clone(), message: Message::Fetch(fetch) });
        }
        if have.version > before {
            self.relay(from, &message, out);
        }
        self.report_changes(&affected, out);
    }

    /// Relays a change if there are more instances than its registrar pushes to.
    fn relay(&mut self, from: &InstanceId, message: &ViewChanges, out: &mut Vec<Output>) {
        if self.peers.len() <= PUSH_FANOUT {
            return;
        }
        for to in self.peers.sample(&mut self.rng, RELAY_FANOUT) {
            if to != *from && to != message.registrar {
                out.push(Output::Send { to, message: Message::Changes(message.clone()) });
            }
        }
    }

    fn on_fetch(&mut self, now: Mono, from: &InstanceId, fetch: &ViewFetch, out: &mut Vec<Output>) {
        let Some(view) = self.views.values().find(|v| v.key == fetch.view) else { return };
        let Some(age) = self.age_ms(now, view) else { return };
        for message in view.changes_after(fetch.have, age) {
            out.push(Output::Send { to: from.clone(), message: Message::Changes(message) });
        }
    }

    /// Returns the age of a view's confirmation in milliseconds; `None` if it is not confirmed yet.
    fn age_ms(&self, now: Mono, view: &View) -> Option<u32> {
        if view.registrar == self.params.instance {
            return Some(0);
        }
        let age = now.since(view.confirmed?).as_millis();
        Some(u32::try_from(age).unwrap_or(u32::MAX))
    }

    fn leave(&mut self, out: &mut Vec<Output>) {
        self.left = true;
        for (to, _) in self.peers.iter() {
            out.push(Output::Send { to: to.clone(), message: Message::Goodbye });
        }
    }

    fn on_time(&mut self, now: Mono, out: &mut Vec<Output>) {
        let expired = self.registry.expire(now);
        if !expired.is_empty() {
            self.publish(now, expired, out);
        }
        self.drop_expired_views(now, out);
        if now < self.next_digest {
            return;
        }
        self.next_digest = now + DIGEST_INTERVAL;
        self.report_silent_peers(now, out);
        if !self.left {
            self.send_digests(now, out);
        }
    }

    fn view_ttl(&self) -> Duration {
        if self.peers.len() <= MAX_SMALL_ROSTER_PEERS { VIEW_TTL } else { LARGE_ROSTER_VIEW_TTL }
    }

    fn drop_expired_views(&mut self, now: Mono, out: &mut Vec<Output>) {
        let own = &self.params.instance;
        let ttl = self.view_ttl();
        let expired = |v: &&View| v.registrar != *own && now >= v.expires_at(ttl);
        let names: Vec<InstanceId> =
            self.views.values().filter(expired).map(|v| v.registrar.clone()).collect();
        for registrar in names {
            let Some(view) = self.views.shift_remove(&registrar) else { continue };
            let servers = view.len() as u64;
            out.push(Output::Event(Event::ViewLapsed { registrar, servers }));
            let affected: Vec<ServerId> = view.servers().cloned().collect();
            self.report_changes(&affected, out);
        }
    }

    fn report_silent_peers(&mut self, now: Mono, out: &mut Vec<Output>) {
        let silent_after = self.peers.silent_after(DIGEST_FANOUT, DIGEST_INTERVAL);
        for (name, peer) in self.peers.iter_mut() {
            let Some(heard) = peer.last_heard else { continue };
            if peer.silent || peer.left || now.since(heard) < silent_after {
                continue;
            }
            peer.silent = true;
            out.push(Output::Event(Event::PeerSilent { peer: name.clone() }));
        }
    }

    fn send_digests(&mut self, now: Mono, out: &mut Vec<Output>) {
        let entries = self.views.values().filter_map(|view| {
            let age_ms = self.age_ms(now, view)?;
            Some(DigestEntry { view: view.key, version: view.pos.version, age_ms })
        });
        let digest = Digest { views: entries.collect(), config: self.config.clone() };
        for to in self.peers.next_partners(&mut self.rng, DIGEST_FANOUT) {
            out.push(Output::Send { to, message: Message::Digest(digest.clone()) });
        }
    }

    /// Reports changes of the affected servers; a server's state is its newest announcement in all
    /// confirmed views.
    fn report_changes(&mut self, affected: &[ServerId], out: &mut Vec<Output>) {
        for server in affected {
            let confirmed = self.views.values().filter(|v| v.confirmed.is_some());
            let listed = confirmed.filter_map(|v| v.get(server));
            match listed.max_by_key(|a| a.order()) {
                Some(newest) => {
                    if self.reported.get(server) == Some(newest) {
                        continue;
                    }
                    let newest = newest.clone();
                    self.reported.insert(server.clone(), newest.clone());
                    out.push(Output::Listed(newest));
                }
                None => {
                    if self.reported.shift_remove(server).is_some() {
                        out.push(Output::Gone(server.clone()));
                    }
                }
            }
        }
    }
}

fn server_of(change: &ViewChange) -> &ServerId {
    match change {
        ViewChange::Listed(a) => &a.server,
        ViewChange::Gone(server) => server,
    }
}
