//! Groups of shards between entries: those given away and those collected for others.
//!
//! - this entry gives groups away on connections that it opens, one to each other entry
//! - it collects the groups of others that come on connections to its inner port

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{AttemptId, InstanceId, QueryId};
use hornbeam_node::program::next_connection;
use hornbeam_protocol::FrameKey;
use hornbeam_protocol::gather::{GatherDown, GatherRequest, GatherUp, GatheredResponses};
use hornbeam_route::{Delegation, GroupEvent, GroupRequest, Input};
use tokio::net::{TcpListener, TcpStream};

use crate::core::{Core, ForwardedRequest, GroupResponses};
use crate::peer_connection::PeerConnection;

/// Longest time to open a connection to another entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Names one connection that this entry has opened.
type LinkId = u64;

/// The connection to another entry.
struct Link {
    id: LinkId,
    state: LinkState,
}

enum LinkState {
    /// It is being opened; these wait for it.
    Opening(Vec<GatherUp>),
    Open(Rc<PeerConnection>),
}

/// A group that this entry collects.
struct Collected {
    line: Rc<PeerConnection>,
    /// Its name on that line.
    group: u64,
}

/// Groups given away and collected.
pub struct GroupExchange {
    me: InstanceId,
    key: FrameKey,
    links: RefCell<HashMap<InstanceId, Link>>,
    next_link: Cell<LinkId>,
    /// Groups given away, to whom and on which connection.
    given: RefCell<HashMap<AttemptId, (InstanceId, LinkId)>>,
    collected: RefCell<HashMap<QueryId, Collected>>,
    /// Connections of others.
    lines: RefCell<Vec<Rc<PeerConnection>>>,
}

impl GroupExchange {
    /// No connections yet.
    pub fn new(me: InstanceId, key: FrameKey) -> Self {
        Self {
            me,
            key,
            links: RefCell::default(),
            next_link: Cell::default(),
            given: RefCell::default(),
            collected: RefCell::default(),
            lines: RefCell::default(),
        }
    }

    /// Gives a group to another entry.
    pub fn give(&self, core: &Rc<Core>, delegation: Delegation, parts: &ForwardedRequest) {
        let request = GatherRequest {
            group: delegation.group.0,
            request: parts.id.clone(),
            route: delegation.route,
            head: parts.head.clone(),
            body: parts.body.to_vec(),
            due_us: delegation.due_in.as_micros() as u64,
            left_us: delegation.remaining.as_micros() as u64,
        };
        let message = GatherUp::Gather(Box::new(request));
        let link = self.tell(core, &delegation.peer, delegation.address, message);
        self.given.borrow_mut().insert(delegation.group, (delegation.peer, link));
    }

    /// Leaves a group to the entry that has begun with it.
    pub fn confirm(&self, group: AttemptId) {
        let given = self.given.borrow();
        let Some((peer, id)) = given.get(&group) else { return };
        if let Some(line) = self.open_line(peer, *id) {
            line.send(&GatherUp::Confirm { group: group.0 });
        }
    }

    /// Takes back a group that was given away.
    pub fn cancel(&self, group: AttemptId) {
        let Some((peer, id)) = self.given.borrow_mut().remove(&group) else { return };
        if let Some(line) = self.open_line(&peer, id) {
            return line.send(&GatherUp::Cancel { group: group.0 });
        }
        let cancelled = |m: &GatherUp| matches!(m, GatherUp::Gather(g) if g.group == group.0);
        if let Some(Link { state: LinkState::Opening(waiting), .. }) =
            self.links.borrow_mut().get_mut(&peer)
        {
            waiting.retain(|m| !cancelled(m));
        }
    }

    fn open_line(&self, peer: &InstanceId, id: LinkId) -> Option<Rc<PeerConnection>> {
        match self.links.borrow().get(peer) {
            Some(Link { id: open, state: LinkState::Open(line) }) if *open == id => {
                Some(line.clone())
            }
            _ => None,
        }
    }

    /// Asks an entry that was not heard whether it is there, on a new connection: one that carries
    /// nothing any more looks like an entry that is gone.
    pub fn probe(&self, core: &Rc<Core>, peer: &InstanceId, address: SocketAddr) {
        let mut links = self.links.borrow_mut();
        if let Some(Link { state: LinkState::Open(line), .. }) = links.get(peer) {
            line.close();
            links.remove(peer);
        }
        drop(links);
        self.tell(core, peer, address, GatherUp::Heartbeat);
    }

    /// Sends a message on the connection to an entry, and opens it if there is none.
    fn tell(
        &self,
        core: &Rc<Core>,
        peer: &InstanceId,
        address: SocketAddr,
        message: GatherUp,
    ) -> LinkId {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get_mut(peer) {
            match &mut link.state {
                LinkState::Open(line) => line.send(&message),
                LinkState::Opening(waiting) => waiting.push(message),
            }
            return link.id;
        }
        let id = self.next_link.get();
        self.next_link.set(id + 1);
        let state = LinkState::Opening(vec![message]);
        links.insert(peer.clone(), Link { id, state });
        let (core, peer) = (core.clone(), peer.clone());
        tokio::task::spawn_local(async move { keep_link(&core, &peer, id, address).await });
        id
    }

    /// Closes the connections to entries that are not among `peers` any more.
    pub fn keep_only(&self, peers: &[InstanceId]) {
        for (name, link) in &*self.links.borrow() {
            if let LinkState::Open(line) = &link.state
                && !peers.contains(name)
            {
                line.close();
            }
        }
    }

    /// Takes out a connection that has ended; the groups that were given on it.
    fn end(&self, peer: &InstanceId, id: LinkId) -> Vec<AttemptId> {
        let mut links = self.links.borrow_mut();
        // Another one may have been opened since.
        if links.get(peer).is_some_and(|l| l.id == id) {
            links.remove(peer);
        }
        let mut given = self.given.borrow_mut();
        let lost = given.iter().filter(|(_, (_, link))| *link == id).map(|(group, _)| *group);
        let mut lost: Vec<AttemptId> = lost.collect();
        lost.sort_unstable();
        given.retain(|_, (_, link)| *link != id);
        lost
    }

    /// Tells the entry that asked for a group what is in, if it still needs it.
    pub fn report(&self, key: QueryId, mut parts: GatheredResponses) {
        let mut collected = self.collected.borrow_mut();
        let Some(c) = collected.get(&key) else { return };
        parts.group = c.group;
        let last = parts.last;
        c.line.send(&GatherDown::Responses(parts));
        if last {
            collected.remove(&key);
        }
    }

    /// Tells the entry that asked for a group that it is not taken.
    pub fn decline(&self, key: QueryId) {
        if let Some(c) = self.collected.borrow_mut().remove(&key) {
            c.line.send(&GatherDown::Declined { group: c.group });
        }
    }

    /// Tells all entries that groups are not taken any more.
    pub fn leave(&self) {
        for line in &*self.lines.borrow() {
            line.send(&GatherDown::Leaving);
        }
    }

    /// Groups that this entry collects.
    pub fn collecting(&self) -> usize {
        self.collected.borrow().len()
    }
}

/// Opens the connection to another entry and carries its messages until it ends.
async fn keep_link(core: &Rc<Core>, peer: &InstanceId, id: LinkId, address: SocketAddr) {
    let exchange = &core.group_exchange;
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let line = match connect.await {
        Ok(Ok(stream)) => PeerConnection::new(stream, exchange.key.clone()).ok(),
        _ => None,
    };
    let Some(line) = line.map(Rc::new) else {
        for group in exchange.end(peer, id) {
            core.step(Input::GroupEvent { group, event: GroupEvent::NotSent });
        }
        return;
    };
    core.note_line(peer, None);
    line.send(&GatherUp::Hello { entry: exchange.me.clone() });
    if let Some(link) = exchange.links.borrow_mut().get_mut(peer).filter(|l| l.id == id) {
        let open = LinkState::Open(line.clone());
        if let LinkState::Opening(waiting) = std::mem::replace(&mut link.state, open) {
            for message in waiting {
                line.send(&message);
            }
        }
    }
    let end = line.run(|batch: Vec<GatherDown>| {
        for message in batch {
            take_news(core, peer, message);
        }
    });
    let end = end.await;
    core.note_line(peer, Some(&end));
    for group in exchange.end(peer, id) {
        core.step(Input::GroupEvent { group, event: GroupEvent::ConnectionLost });
    }
}

fn take_news(core: &Rc<Core>, peer: &InstanceId, message: GatherDown) {
    let exchange = &core.group_exchange;
    let is_given = |group: u64| exchange.given.borrow().contains_key(&AttemptId(group));
    let end = |group: u64| exchange.given.borrow_mut().remove(&AttemptId(group));
    core.step(Input::PeerAlive(peer.clone()));
    match message {
        GatherDown::HeartbeatReply => {}
        GatherDown::Leaving => core.step(Input::PeerLeaving(peer.clone())),
        GatherDown::Begun { group } => {
            if is_given(group) {
                core.step(Input::GroupEvent {
                    group: AttemptId(group),
                    event: GroupEvent::Started,
                });
            }
        }
        GatherDown::Declined { group } => {
            if end(group).is_some() {
                core.step(Input::GroupEvent {
                    group: AttemptId(group),
                    event: GroupEvent::Declined,
                });
            }
        }
        GatherDown::Responses(parts) => {
            // What comes of a group that was taken back is of no use.
            if !is_given(parts.group) {
                return;
            }
            if parts.last {
                end(parts.group);
            }
            take_parts(core, parts);
        }
    }
}

fn take_parts(core: &Rc<Core>, parts: GatheredResponses) {
    let group = AttemptId(parts.group);
    let shards = parts.responses.iter().map(|p| p.shard as usize).collect();
    let waits = parts.waits.iter();
    let waits = waits.map(|(shard, ms)| (*shard as usize, Duration::from_millis(u64::from(*ms))));
    let event =
        GroupEvent::ShardResponses { shards, queue_waits: waits.collect(), last: parts.last };
    let signatures = parts.responses.into_iter().map(|p| p.signature).collect();
    core.keep_gathered(group, GroupResponses { signatures, records: vec![parts.records] });
    core.step(Input::GroupEvent { group, event });
}

/// Takes the connections of other entries that give groups to this one.
pub async fn accept(core: Rc<Core>, listener: TcpListener) {
    loop {
        let stream = next_connection(&listener).await;
        let line = match PeerConnection::new(stream, core.group_exchange.key.clone()) {
            Ok(line) => Rc::new(line),
            Err(e) => {
                log::warn!("the connection of another entry was refused: {e}");
                continue;
            }
        };
        let core = core.clone();
        tokio::task::spawn_local(async move { serve(&core, line).await });
    }
}

async fn serve(core: &Rc<Core>, line: Rc<PeerConnection>) {
    let exchange = &core.group_exchange;
    exchange.lines.borrow_mut().push(line.clone());
    let end = line.run(|batch: Vec<GatherUp>| take_batch(core, &line, batch)).await;
    if end.kind() != std::io::ErrorKind::UnexpectedEof {
        log::warn!("the connection of another entry broke: {end}");
    }
    exchange.lines.borrow_mut().retain(|l| !Rc::ptr_eq(l, &line));
    let mut open: Vec<QueryId> = Vec::new();
    exchange.collected.borrow_mut().retain(|key, c| {
        let of_line = Rc::ptr_eq(&c.line, &line);
        open.extend(of_line.then_some(*key));
        !of_line
    });
    for key in open {
        core.cancel_gathering(key);
    }
}

fn take_batch(core: &Rc<Core>, line: &Rc<PeerConnection>, batch: Vec<GatherUp>) {
    let cancels = batch.iter().filter_map(|m| match m {
        GatherUp::Cancel { group } => Some(*group),
        _ => None,
    });
    // A suspended entry finds both at once when it goes on.
    let cancelled: Vec<u64> = cancels.collect();
    for message in batch {
        match message {
            GatherUp::Hello { entry } => log::debug!("{entry} gives groups to this entry"),
            GatherUp::Heartbeat => line.send(&answer_to_probe(core)),
            GatherUp::Cancel { group } => cancel(core, line, group),
            GatherUp::Confirm { group } => {
                if let Some(key) = collected(core, line, group) {
                    core.step(Input::GatherConfirmed(key));
                }
            }
            GatherUp::Gather(asked) if cancelled.contains(&asked.group) => {}
            GatherUp::Gather(asked) => begin(core, line, *asked),
        }
    }
}

fn answer_to_probe(core: &Core) -> GatherDown {
    if core.takes_groups() { GatherDown::HeartbeatReply } else { GatherDown::Leaving }
}

/// The group of this name that is collected for the entry at the other end of a line.
fn collected(core: &Core, line: &Rc<PeerConnection>, group: u64) -> Option<QueryId> {
    let collected = core.group_exchange.collected.borrow();
    let of_group = |c: &Collected| c.group == group && Rc::ptr_eq(&c.line, line);
    collected.iter().find(|(_, c)| of_group(c)).map(|(key, _)| *key)
}

fn cancel(core: &Rc<Core>, line: &Rc<PeerConnection>, group: u64) {
    let Some(key) = collected(core, line, group) else { return };
    core.group_exchange.collected.borrow_mut().remove(&key);
    core.cancel_gathering(key);
}

fn begin(core: &Rc<Core>, line: &Rc<PeerConnection>, asked: GatherRequest) {
    if !core.takes_groups() {
        return line.send(&GatherDown::Declined { group: asked.group });
    }
    let key = core.next_key();
    let parts =
        ForwardedRequest { id: asked.request.clone(), head: asked.head, body: asked.body.into() };
    let group = GroupRequest {
        key,
        id: asked.request,
        route: Arc::new(asked.route),
        due_in: Duration::from_micros(asked.due_us),
        remaining: Duration::from_micros(asked.left_us),
    };
    let collected = Collected { line: line.clone(), group: asked.group };
    core.group_exchange.collected.borrow_mut().insert(key, collected);
    // Before the work: until it is confirmed, nothing is sent twice.
    line.send(&GatherDown::Begun { group: asked.group });
    core.begin_gathering(parts, group);
}
