//! Exchange of shard groups between entries: those delegated to others and those gathered for
//! others.
//!
//! - This entry delegates groups on connections that it opens, one to each other entry.
//! - It gathers groups that other entries send on connections to its inner port.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{AttemptId, InstanceId, QueryId};
use hornbeam_node::connections::{Connection, ConnectionGroup};
use hornbeam_node::program::next_connection;
use hornbeam_node::socket;
use hornbeam_protocol::FrameKey;
use hornbeam_protocol::gather::{
    ForwardedResponse, GatherDown, GatherRequest, GatherUp, GatheredResponses, GroupRefusal,
};
use hornbeam_route::{
    Delegation, GroupEvent, GroupReport, GroupRequest, Input, LeavingServer, ProbePath, Refusal,
    RefusalKind,
};
use tokio::net::{TcpListener, TcpStream};

use crate::core::{Core, ForwardedRequest, GroupResponses};
use crate::peer_connection::PeerConnection;
use crate::response::RawResponse;

/// Longest time to open a connection to another entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Identifies an outgoing connection; distinguishes it from later ones to the same entry.
type LinkId = u64;

/// The outgoing connection to another entry.
struct Link {
    id: LinkId,
    state: LinkState,
}

enum LinkState {
    /// The connection is being opened; the messages are sent once it is open.
    Opening(Vec<GatherUp>),
    Open(Rc<PeerConnection>),
}

/// A group that this entry gathers for its origin entry.
struct GatheredGroup {
    origin: Rc<PeerConnection>,
    /// Number of the group on that connection.
    group: u64,
}

/// Delegated and gathered shard groups with the connections that carry them.
pub struct GroupExchange {
    me: InstanceId,
    key: FrameKey,
    links: RefCell<HashMap<InstanceId, Link>>,
    next_link: Cell<LinkId>,
    /// Delegated groups with the gathering entry and the connection.
    delegated: RefCell<HashMap<AttemptId, (InstanceId, LinkId)>>,
    gathered: RefCell<HashMap<QueryId, GatheredGroup>>,
    /// Connections that other entries have opened.
    incoming: RefCell<Vec<Rc<PeerConnection>>>,
}

impl GroupExchange {
    /// Creates an exchange without connections.
    pub fn new(me: InstanceId, key: FrameKey) -> Self {
        Self {
            me,
            key,
            links: RefCell::default(),
            next_link: Cell::default(),
            delegated: RefCell::default(),
            gathered: RefCell::default(),
            incoming: RefCell::default(),
        }
    }

    /// Delegates a group to another entry.
    pub fn delegate(&self, core: &Rc<Core>, delegation: Delegation, request: &ForwardedRequest) {
        let gather_request = GatherRequest {
            group: delegation.group.0,
            request: request.id.clone(),
            fingerprint: request.fingerprint,
            route: delegation.route,
            head: request.head.clone(),
            body: request.body.to_vec(),
            due_us: delegation.due_in.as_micros() as u64,
            left_us: delegation.remaining.as_micros() as u64,
            demand_ppm: delegation.demand_ppm,
        };
        let message = GatherUp::Gather(Box::new(gather_request));
        let link = self.send(core, &delegation.peer, delegation.address, message);
        self.delegated.borrow_mut().insert(delegation.group, (delegation.peer, link));
    }

    /// Confirms a delegated group: the gathering entry, which has started it, may send hedges and
    /// retries. Does nothing if the group or its connection has ended.
    pub fn confirm(&self, group: AttemptId) {
        let delegated = self.delegated.borrow();
        let Some((peer, id)) = delegated.get(&group) else { return };
        if let Some(connection) = self.open_connection(peer, *id) {
            connection.send(&GatherUp::Confirm { group: group.0 });
        }
    }

    /// Cancels a delegated group, also if it waits for its connection to open.
    pub fn cancel(&self, group: AttemptId) {
        let Some((peer, id)) = self.delegated.borrow_mut().remove(&group) else { return };
        if let Some(connection) = self.open_connection(&peer, id) {
            return connection.send(&GatherUp::Cancel { group: group.0 });
        }
        let cancelled = |m: &GatherUp| matches!(m, GatherUp::Gather(g) if g.group == group.0);
        if let Some(Link { state: LinkState::Opening(waiting), .. }) =
            self.links.borrow_mut().get_mut(&peer)
        {
            waiting.retain(|m| !cancelled(m));
        }
    }

    fn open_connection(&self, peer: &InstanceId, id: LinkId) -> Option<Rc<PeerConnection>> {
        match self.links.borrow().get(peer) {
            Some(Link { id: open, state: LinkState::Open(connection) }) if *open == id => {
                Some(connection.clone())
            }
            _ => None,
        }
    }

    /// Sends a heartbeat to an entry that gets no groups.
    pub fn probe(&self, core: &Rc<Core>, peer: &InstanceId, address: SocketAddr, path: ProbePath) {
        let mut links = self.links.borrow_mut();
        if path == ProbePath::NewConnection
            && let Some(Link { state: LinkState::Open(connection), .. }) = links.get(peer)
        {
            connection.close();
            links.remove(peer);
        }
        drop(links);
        self.send(core, peer, address, GatherUp::Heartbeat);
    }

    /// Sends a message on the connection to an entry and opens the connection if there is none.
    fn send(
        &self,
        core: &Rc<Core>,
        peer: &InstanceId,
        address: SocketAddr,
        message: GatherUp,
    ) -> LinkId {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get_mut(peer) {
            match &mut link.state {
                LinkState::Open(connection) => connection.send(&message),
                LinkState::Opening(waiting) => waiting.push(message),
            }
            return link.id;
        }
        let id = self.next_link.get();
        self.next_link.set(id + 1);
        let state = LinkState::Opening(vec![message]);
        links.insert(peer.clone(), Link { id, state });
        let (core, peer) = (core.clone(), peer.clone());
        tokio::task::spawn_local(async move { run_link(&core, &peer, id, address).await });
        id
    }

    /// Closes the connections to entries that are not among `peers`.
    pub fn retain_peers(&self, peers: &[InstanceId]) {
        for (name, link) in &*self.links.borrow() {
            if let LinkState::Open(connection) = &link.state
                && !peers.contains(name)
            {
                connection.close();
            }
        }
    }

    /// Removes a connection that has ended; returns the groups that were delegated on it.
    fn remove_link(&self, peer: &InstanceId, id: LinkId) -> Vec<AttemptId> {
        let mut links = self.links.borrow_mut();
        // A new connection may have replaced it.
        if links.get(peer).is_some_and(|l| l.id == id) {
            links.remove(peer);
        }
        let mut delegated = self.delegated.borrow_mut();
        let lost = delegated.iter().filter(|(_, (_, link))| *link == id).map(|(group, _)| *group);
        let mut lost: Vec<AttemptId> = lost.collect();
        lost.sort_unstable();
        delegated.retain(|_, (_, link)| *link != id);
        lost
    }

    /// Sends responses of a gathered group to its origin entry, unless that has cancelled the
    /// group.
    pub fn send_responses(&self, key: QueryId, mut responses: GatheredResponses) {
        let mut gathered = self.gathered.borrow_mut();
        let Some(g) = gathered.get(&key) else { return };
        responses.group = g.group;
        let last = responses.last;
        g.origin.send(&GatherDown::Responses(responses));
        if last {
            gathered.remove(&key);
        }
    }

    /// Reports to the origin entry of a gathered group that servers are leaving. The origin passes
    /// on their responses, so it must not send them requests either.
    pub fn report_leaving(&self, key: QueryId, servers: Vec<LeavingServer>) {
        if servers.is_empty() {
            return;
        }
        let gathered = self.gathered.borrow();
        let Some(g) = gathered.get(&key) else { return };
        let servers = servers.into_iter().map(|s| (s.server, s.incarnation)).collect();
        g.origin.send(&GatherDown::ServersLeaving(servers));
    }

    /// Declines a group toward its origin entry; nothing of it was sent.
    pub fn decline(&self, key: QueryId) {
        if let Some(g) = self.gathered.borrow_mut().remove(&key) {
            g.origin.send(&GatherDown::Declined { group: g.group });
        }
    }

    /// Refuses a group toward its origin entry; no server has run anything of it.
    pub fn refuse(&self, key: QueryId, refusal: Refusal) {
        let Some(g) = self.gathered.borrow_mut().remove(&key) else { return };
        let reason = match refusal.kind {
            RefusalKind::NoServer => GroupRefusal::NoServer,
            RefusalKind::Quarantined => GroupRefusal::Quarantined,
            _ => GroupRefusal::Overloaded,
        };
        let retry_after_ms = refusal.retry_after.map(|d| d.as_millis() as u32);
        g.origin.send(&GatherDown::Refused { group: g.group, reason, retry_after_ms });
    }

    /// Forwards the response of a server to the origin entry of a gathered request.
    pub fn forward(&self, key: QueryId, response: RawResponse, is_error: bool) {
        let Some(g) = self.gathered.borrow_mut().remove(&key) else { return };
        let forwarded = ForwardedResponse {
            group: g.group,
            status: response.status.as_u16(),
            head: response.head().to_vec(),
            body: response.body.to_vec(),
            is_error,
        };
        g.origin.send(&GatherDown::Forwarded(forwarded));
    }

    /// Announces to all connected entries whether this entry accepts groups.
    pub fn announce_availability(&self, accepts: bool) {
        let message = if accepts { GatherDown::HeartbeatReply } else { GatherDown::Leaving };
        for connection in &*self.incoming.borrow() {
            connection.send(&message);
        }
    }

    /// Returns the number of groups that this entry is gathering.
    pub fn gathering_count(&self) -> usize {
        self.gathered.borrow().len()
    }
}

/// Opens the connection to another entry and handles its messages until it ends.
async fn run_link(core: &Rc<Core>, peer: &InstanceId, id: LinkId, address: SocketAddr) {
    let exchange = &core.group_exchange;
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let connection = match connect.await {
        Ok(Ok(stream)) => socket::prepare(&stream, socket::PEERS)
            .and_then(|()| PeerConnection::new(stream, exchange.key.clone(), &core.memory))
            .ok(),
        _ => None,
    };
    let Some(connection) = connection.map(Rc::new) else {
        for group in exchange.remove_link(peer, id) {
            core.step(Input::GroupEvent { group, event: GroupEvent::NotSent });
        }
        return;
    };
    core.log_peer_connection(peer, None);
    connection.send(&GatherUp::Hello { entry: exchange.me.clone() });
    if let Some(link) = exchange.links.borrow_mut().get_mut(peer).filter(|l| l.id == id) {
        let open = LinkState::Open(connection.clone());
        if let LinkState::Opening(waiting) = std::mem::replace(&mut link.state, open) {
            for message in waiting {
                connection.send(&message);
            }
        }
    }
    let end = connection.run(|batch: Vec<GatherDown>| {
        for message in batch {
            handle_message(core, peer, message);
        }
    });
    let end = end.await;
    core.log_peer_connection(peer, Some(&end));
    for group in exchange.remove_link(peer, id) {
        core.step(Input::GroupEvent { group, event: GroupEvent::ConnectionLost });
    }
}

fn handle_message(core: &Rc<Core>, peer: &InstanceId, message: GatherDown) {
    let exchange = &core.group_exchange;
    let is_delegated = |group: u64| exchange.delegated.borrow().contains_key(&AttemptId(group));
    let remove = |group: u64| exchange.delegated.borrow_mut().remove(&AttemptId(group));
    core.step(Input::PeerAlive(peer.clone()));
    match message {
        GatherDown::HeartbeatReply => core.step(Input::PeerAccepting(peer.clone())),
        GatherDown::ServersLeaving(servers) => {
            let leaving = |(server, incarnation)| LeavingServer { server, incarnation };
            core.step(Input::ServersLeaving(servers.into_iter().map(leaving).collect()));
        }
        GatherDown::Leaving => core.step(Input::PeerDeclining(peer.clone())),
        GatherDown::Begun { group } => {
            if is_delegated(group) {
                core.step(Input::GroupEvent {
                    group: AttemptId(group),
                    event: GroupEvent::Started,
                });
            }
        }
        GatherDown::Declined { group } => {
            if remove(group).is_some() {
                core.step(Input::GroupEvent {
                    group: AttemptId(group),
                    event: GroupEvent::Declined,
                });
            }
        }
        GatherDown::Responses(responses) => {
            // Responses of a cancelled group are of no use.
            if !is_delegated(responses.group) {
                return;
            }
            if responses.last {
                remove(responses.group);
            }
            handle_responses(core, responses);
        }
        GatherDown::Forwarded(forwarded) => {
            let group = AttemptId(forwarded.group);
            if remove(forwarded.group).is_none() {
                return;
            }
            let event = match core.add_forwarded_response(group, forwarded) {
                Ok(outcome) => GroupEvent::Forwarded { outcome },
                // The server's response cannot be passed on, and the request has run.
                Err(e) => {
                    log::error!("{peer} forwarded a response that is not valid ({e})");
                    GroupEvent::ConnectionLost
                }
            };
            core.step(Input::GroupEvent { group, event });
        }
        GatherDown::Refused { group, reason, retry_after_ms } => {
            if remove(group).is_none() {
                return;
            }
            let kind = match reason {
                GroupRefusal::NoServer => RefusalKind::NoServer,
                GroupRefusal::Overloaded => RefusalKind::Overloaded,
                GroupRefusal::Quarantined => RefusalKind::Quarantined,
            };
            let retry_after = retry_after_ms.map(|ms| Duration::from_millis(u64::from(ms)));
            let event = GroupEvent::Refused(Refusal { kind, retry_after });
            core.step(Input::GroupEvent { group: AttemptId(group), event });
        }
    }
}

fn handle_responses(core: &Rc<Core>, responses: GatheredResponses) {
    let group = AttemptId(responses.group);
    let shards = responses.responses.iter().map(|r| r.shard as usize).collect();
    let waits = responses.waits.iter();
    let waits = waits.map(|(shard, ms)| (*shard as usize, Duration::from_millis(u64::from(*ms))));
    let event = GroupEvent::ShardResponses(GroupReport {
        shards,
        queue_waits: waits.collect(),
        last: responses.last,
        unsent: responses.unsent.iter().map(|shard| *shard as usize).collect(),
    });
    let signatures = responses.responses.into_iter().map(|r| r.signature).collect();
    core.add_group_responses(
        group,
        GroupResponses { signatures, records: vec![core.memory.hold(responses.records)] },
    );
    core.step(Input::GroupEvent { group, event });
}

/// Accepts connections of other entries, which delegate groups to this one.
pub async fn accept(core: Rc<Core>, listener: TcpListener, strangers: ConnectionGroup) {
    loop {
        let stream = next_connection(&listener).await;
        // Strangers always give way.
        let Some(stranger) = strangers.admit().await else { continue };
        let key = core.group_exchange.key.clone();
        let connection = match PeerConnection::new(stream, key, &core.memory) {
            Ok(connection) => Rc::new(connection),
            Err(e) => {
                log::warn!(
                    "closing a connection of another entry: its socket options cannot be set ({e})"
                );
                continue;
            }
        };
        let core = core.clone();
        tokio::task::spawn_local(async move { serve(&core, connection, stranger).await });
    }
}

async fn serve(core: &Rc<Core>, connection: Rc<PeerConnection>, stranger: Connection) {
    let exchange = &core.group_exchange;
    let first = match connection.authenticate(stranger).await {
        Ok(first) => first,
        Err(e) => return log::debug!("closed a connection to the inner port: {e}"),
    };
    exchange.incoming.borrow_mut().push(connection.clone());
    let handle = |batch: Vec<GatherUp>| handle_batch(core, &connection, batch);
    let end = connection.run_from(first, handle).await;
    if end.kind() != std::io::ErrorKind::UnexpectedEof {
        log::warn!("the connection of another entry failed: {end}");
    }
    exchange.incoming.borrow_mut().retain(|c| !Rc::ptr_eq(c, &connection));
    let mut orphaned: Vec<QueryId> = Vec::new();
    exchange.gathered.borrow_mut().retain(|key, g| {
        let ended = Rc::ptr_eq(&g.origin, &connection);
        orphaned.extend(ended.then_some(*key));
        !ended
    });
    for key in orphaned {
        core.cancel_gathering(key);
    }
}

fn handle_batch(core: &Rc<Core>, connection: &Rc<PeerConnection>, batch: Vec<GatherUp>) {
    let cancels = batch.iter().filter_map(|m| match m {
        GatherUp::Cancel { group } => Some(*group),
        _ => None,
    });
    // An entry that was suspended receives a group and its cancellation in the same batch.
    let cancelled: Vec<u64> = cancels.collect();
    for message in batch {
        match message {
            GatherUp::Hello { entry } => log::debug!("{entry} delegates groups to this entry"),
            GatherUp::Heartbeat => connection.send(&heartbeat_reply(core)),
            GatherUp::Cancel { group } => cancel_group(core, connection, group),
            GatherUp::Confirm { group } => {
                if let Some(key) = gathered_key(core, connection, group) {
                    core.step(Input::GatherConfirmed(key));
                }
            }
            GatherUp::Gather(request) if cancelled.contains(&request.group) => {}
            GatherUp::Gather(request) => start_group(core, connection, *request),
        }
    }
}

fn heartbeat_reply(core: &Core) -> GatherDown {
    if core.accepts_groups() { GatherDown::HeartbeatReply } else { GatherDown::Leaving }
}

/// Returns the key of the gathered group with this number on an incoming connection.
fn gathered_key(core: &Core, origin: &Rc<PeerConnection>, group: u64) -> Option<QueryId> {
    let gathered = core.group_exchange.gathered.borrow();
    let is_group = |g: &GatheredGroup| g.group == group && Rc::ptr_eq(&g.origin, origin);
    gathered.iter().find(|(_, g)| is_group(g)).map(|(key, _)| *key)
}

fn cancel_group(core: &Rc<Core>, origin: &Rc<PeerConnection>, group: u64) {
    let Some(key) = gathered_key(core, origin, group) else { return };
    core.group_exchange.gathered.borrow_mut().remove(&key);
    core.cancel_gathering(key);
}

fn start_group(core: &Rc<Core>, origin: &Rc<PeerConnection>, request: GatherRequest) {
    if !core.accepts_groups() {
        return origin.send(&GatherDown::Declined { group: request.group });
    }
    let key = core.next_key();
    let forwarded = ForwardedRequest {
        id: request.request.clone(),
        fingerprint: request.fingerprint,
        head: request.head,
        body: core.memory.hold(request.body),
    };
    let group = GroupRequest {
        key,
        id: request.request,
        fingerprint: request.fingerprint,
        route: Arc::new(request.route),
        team: crate::team_fields::team_of(core, &forwarded.head),
        due_in: Duration::from_micros(request.due_us),
        remaining: Duration::from_micros(request.left_us),
        demand_ppm: request.demand_ppm,
    };
    let gathered = GatheredGroup { origin: origin.clone(), group: request.group };
    core.group_exchange.gathered.borrow_mut().insert(key, gathered);
    // Sent before the attempts. Until the origin confirms the group, each shard is sent once at
    // most.
    origin.send(&GatherDown::Begun { group: request.group });
    core.start_gathering(forwarded, group);
}
