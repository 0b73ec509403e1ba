//! All of it as one state machine, `step(now, input) -> outputs`.
//!
//! Each instance is a registrar: it holds the leases of the servers that announce to it and
//! publishes them as a view of numbered changes. A change is pushed at once; a periodic digest
//! tells how far each view is known and how old that knowledge is, so that a lost push is fetched
//! and a view that nobody can confirm any more lapses. Digests carry the views of third parties,
//! so a broken link between two instances is bridged by the others.

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

/// Time between two digests.
pub const DIGEST_EVERY: Duration = Duration::from_millis(500);
/// Instances that get each digest.
const DIGEST_FANOUT: usize = 4;
/// Other instances up to which each one hears every other one within a second.
const SMALL_ROSTER: usize = 8;
/// Instances that get a change pushed by its registrar.
const PUSH_FANOUT: usize = 16;
/// Instances to which a change is passed on when it is first seen.
const RELAY_FANOUT: usize = 3;
/// Time without confirmation after which a view lapses. A server that leaves without a word is out
/// after its lease and this time, however its registrar is cut off.
pub const VIEW_GRACE: Duration = Duration::from_millis(1_350);
/// The same with more instances than [`SMALL_ROSTER`], where confirmations take more steps.
pub const LARGE_VIEW_GRACE: Duration = Duration::from_millis(2_700);

/// What a membership needs to know of its instance.
#[derive(Clone, Debug)]
pub struct MembershipParams {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Its start.
    pub incarnation: Incarnation,
    /// How long an announcement counts.
    pub lease: Duration,
    /// The other instances.
    pub peers: Vec<(InstanceId, Zone)>,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What happens to a membership.
#[derive(Debug)]
pub enum Input {
    /// A message of another instance.
    Message {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// This instance's knowledge of the configuration, for its digests.
    Config(ConfigState),
    /// This instance leaves in good order.
    Leave,
    /// Time has passed.
    Tick,
}

/// What a membership wants done.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// A server is known anew or differently.
    Listed(Announcement),
    /// A server is in no view any more.
    Gone(ServerId),
    /// The instances in the roster changed.
    RosterChanged,
    /// A peer told what it knows of the configuration.
    PeerConfig {
        /// The peer.
        peer: InstanceId,
        /// What it knows.
        state: ConfigState,
    },
    /// Note an event.
    Event(Event),
}

/// Leases, views and peers of one instance.
#[derive(Debug)]
pub struct Membership {
    params: MembershipParams,
    rng: SmallRng,
    registry: Registry,
    /// By registrar; the first one is this instance's own.
    views: IndexMap<InstanceId, View>,
    peers: Peers,
    config: ConfigState,
    next_digest: Mono,
    /// What was told of each server, so that only changes are told.
    told: IndexMap<ServerId, Announcement>,
    left: bool,
}

impl Membership {
    /// A membership that knows no server yet.
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
            told: IndexMap::new(),
            left: false,
            params,
        }
    }

    /// Takes an announcement of a server.
    ///
    /// # Errors
    ///
    /// As for [`Registry::announce`]; nothing changes then.
    pub fn announce(
        &mut self,
        now: Mono,
        a: &Announcement,
        out: &mut Vec<Output>,
    ) -> Result<(), AnnounceError> {
        let order = self.told.get(&a.server).map(Announcement::order);
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

    /// Takes one input and appends what it leads to.
    pub fn step(&mut self, now: Mono, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Message { from, message } => self.on_message(now, &from, message, out),
            Input::Config(config) => self.config = config,
            Input::Leave => self.leave(out),
            Input::Tick => {}
        }
        self.on_time(now, out);
    }

    /// When [`Input::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Mono {
        let lease = self.registry.next_expiry().unwrap_or(Mono::MAX);
        let grace = self.grace();
        let others = self.views.values().skip(1);
        let lapse = others.map(|v| v.lapses_at(grace)).min().unwrap_or(Mono::MAX);
        self.next_digest.min(lease).min(lapse)
    }

    /// Names of the instances among which connections are shared, this one included.
    pub fn roster(&self) -> Vec<InstanceId> {
        let mut names = vec![self.params.instance.clone()];
        let staying = self.peers.iter().filter(|(_, p)| !p.left);
        names.extend(staying.map(|(name, _)| name.clone()));
        names
    }

    /// The other instances.
    pub fn peers(&self) -> impl Iterator<Item = (&InstanceId, &PeerInfo)> {
        self.peers.iter()
    }

    /// The views known: registrar, position, age of the knowledge and number of servers.
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

    /// Records own changes and pushes them.
    fn publish(&mut self, now: Mono, changes: Vec<ViewChange>, out: &mut Vec<Output>) {
        let view = self.own_view();
        let before = view.pos.version;
        let mut touched = Vec::new();
        for change in changes {
            touched.push(server_of(&change).clone());
            view.record(change);
        }
        view.confirmed = Some(now);
        let messages = view.changes_after(before, 0);
        for to in self.peers.some(&mut self.rng, PUSH_FANOUT) {
            for message in &messages {
                let message = Message::Changes(message.clone());
                out.push(Output::Send { to: to.clone(), message });
            }
        }
        self.tell(&touched, out);
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
        self.note_heard(now, from, out);
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

    fn note_heard(&mut self, now: Mono, from: &InstanceId, out: &mut Vec<Output>) {
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
        let grace = self.grace();
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
            let lapsed = u128::from(entry.age_ms) >= grace.as_millis();
            if entry.version < have || lapsed {
                continue;
            }
            let fetch = ViewFetch { view: entry.view, have };
            out.push(Output::Send { to: from.clone(), message: Message::Fetch(fetch) });
        }
        out.push(Output::PeerConfig { peer: from.clone(), state: digest.config });
    }

    /// Notes that a view was complete `age_ms` ago; from the first time on it counts.
    fn confirm(&mut self, now: Mono, registrar: &InstanceId, age_ms: u32, out: &mut Vec<Output>) {
        let grace = self.grace();
        let Some(view) = self.views.get_mut(registrar) else { return };
        let at = now.before(Duration::from_millis(u64::from(age_ms)));
        if now.since(at) >= grace {
            return;
        }
        let first = view.confirmed.is_none();
        view.confirmed = view.confirmed.max(Some(at));
        if first {
            let touched: Vec<ServerId> = view.servers().cloned().collect();
            self.tell(&touched, out);
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
        let mut touched = Vec::new();
        let have = self.views.get(&message.registrar).map(|v| v.pos);
        let known = have.is_some_and(|p| p.incarnation >= message.incarnation);
        if !known {
            if let Some(old) = self.views.shift_remove(&message.registrar) {
                touched.extend(old.servers().cloned());
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
        touched.extend(view.apply(&message));
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
        self.tell(&touched, out);
    }

    /// Passes a change on when there are more instances than its registrar pushes to.
    fn relay(&mut self, from: &InstanceId, message: &ViewChanges, out: &mut Vec<Output>) {
        if self.peers.len() <= PUSH_FANOUT {
            return;
        }
        for to in self.peers.some(&mut self.rng, RELAY_FANOUT) {
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

    /// Age of the knowledge of a view; nothing while it is not confirmed.
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
        let lapsed = self.registry.expire(now);
        if !lapsed.is_empty() {
            self.publish(now, lapsed, out);
        }
        self.drop_lapsed_views(now, out);
        if now < self.next_digest {
            return;
        }
        self.next_digest = now + DIGEST_EVERY;
        self.note_silence(now, out);
        if !self.left {
            self.send_digests(now, out);
        }
    }

    fn grace(&self) -> Duration {
        if self.peers.len() <= SMALL_ROSTER { VIEW_GRACE } else { LARGE_VIEW_GRACE }
    }

    fn drop_lapsed_views(&mut self, now: Mono, out: &mut Vec<Output>) {
        let own = &self.params.instance;
        let grace = self.grace();
        let lapsed = |v: &&View| v.registrar != *own && now >= v.lapses_at(grace);
        let names: Vec<InstanceId> =
            self.views.values().filter(lapsed).map(|v| v.registrar.clone()).collect();
        for registrar in names {
            let Some(view) = self.views.shift_remove(&registrar) else { continue };
            let servers = view.len() as u64;
            out.push(Output::Event(Event::ViewLapsed { registrar, servers }));
            let touched: Vec<ServerId> = view.servers().cloned().collect();
            self.tell(&touched, out);
        }
    }

    fn note_silence(&mut self, now: Mono, out: &mut Vec<Output>) {
        let silent_after = self.peers.silent_after(DIGEST_FANOUT, DIGEST_EVERY);
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

    /// Tells what changed of servers: each counts by its newest announcement over all views.
    fn tell(&mut self, touched: &[ServerId], out: &mut Vec<Output>) {
        for server in touched {
            let counting = self.views.values().filter(|v| v.confirmed.is_some());
            let listed = counting.filter_map(|v| v.get(server));
            match listed.max_by_key(|a| a.order()) {
                Some(newest) => {
                    if self.told.get(server) == Some(newest) {
                        continue;
                    }
                    let newest = newest.clone();
                    self.told.insert(server.clone(), newest.clone());
                    out.push(Output::Listed(newest));
                }
                None => {
                    if self.told.shift_remove(server).is_some() {
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
