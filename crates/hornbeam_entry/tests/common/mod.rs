//! An entry with one backend server, and the server's side of the connection.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_discovery::FeedCounts;
use hornbeam_entry::core::{Core, ForwardedRequest, ReceivedRequest, Reply};
use hornbeam_entry::dialect::Dialect;
use hornbeam_entry::front::{self, Stage};
use hornbeam_entry::group_exchange::{self, GroupExchange};
use hornbeam_entry::metrics::Metrics;
use hornbeam_model::{
    Fingerprint, Incarnation, Route, RoutedService, Routing, Scatter, ServiceId, TableVersion,
    Target,
};
use hornbeam_node::clock::Clock;
use hornbeam_node::connections::{ConnectionGroup, Connections};
use hornbeam_node::memory::MemoryBudget;
use hornbeam_node::structured::StructuredLog;
use hornbeam_protocol::FrameKey;
use hornbeam_route::{
    Engine, EngineParams, Input, Peer, QuotaBounds, RetryBudgetParams, ServerChange,
};
use hornbeam_settings::LogRates;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

fn route(idempotent: bool) -> Route {
    Route {
        name: "lookup".parse().unwrap(),
        host: "plots.example".into(),
        prefix: "/lookup/".into(),
        idempotent,
        timeout_ms: 1_000,
        objective_ms: 250,
        priority: 1,
        max_attempts: 2,
        target: Target::Single("tablet".parse().unwrap()),
    }
}

/// An entry whose route leads to one server at `address`.
pub fn core(address: SocketAddr, idempotent: bool) -> Rc<Core> {
    core_of(&[address], idempotent)
}

/// An entry whose route leads to a server at each of the addresses.
pub fn core_of(addresses: &[SocketAddr], idempotent: bool) -> Rc<Core> {
    named_core("e0", addresses, idempotent)
}

/// An entry with this name whose route leads to a server at each of the addresses.
pub fn named_core(name: &str, addresses: &[SocketAddr], idempotent: bool) -> Rc<Core> {
    let core = core_without_table(name);
    core.step(Input::EntryCount(1));
    core.step(Input::Table(Arc::new(table(idempotent))));
    core.step(Input::Servers(servers(addresses)));
    core
}

/// An entry with this name whose route searches one shard, with a server at this address.
pub fn merging_core(name: &str, address: SocketAddr) -> Rc<Core> {
    let core = core_without_table(name);
    let scatter = Scatter { shards: vec![service()], limit: 1, min_covered_ppm: 1_000_000 };
    let mut table = table(true);
    table.routes = vec![Arc::new(route(true).with_target(Target::Scatter(scatter)))];
    core.step(Input::EntryCount(1));
    core.step(Input::Table(Arc::new(table)));
    core.step(Input::Servers(servers(&[address])));
    core
}

fn service() -> ServiceId {
    "tablet".parse().unwrap()
}

/// The first table, whose route leads to the one service.
pub fn table(idempotent: bool) -> Routing {
    Routing {
        version: TableVersion(1),
        routes: vec![Arc::new(route(idempotent))],
        services: [(service(), RoutedService { max_connections: 8 })].into(),
        ..Routing::default()
    }
}

/// A server of the service at each of the addresses.
pub fn servers(addresses: &[SocketAddr]) -> Vec<ServerChange> {
    let servers = addresses.iter().enumerate().map(|(i, address)| ServerChange::Usable {
        server: format!("s{i}").parse().unwrap(),
        incarnation: Incarnation(1),
        service: service(),
        address: *address,
        zone: "olomouc".parse().unwrap(),
        slots: 4,
        warm_up: Duration::ZERO,
    });
    servers.collect()
}

/// An entry with this name that has no table and no servers yet.
pub fn core_without_table(name: &str) -> Rc<Core> {
    core_with_memory(name, MemoryBudget::default())
}

/// An entry like [`core_without_table`] with this memory for what others send.
pub fn core_with_memory(name: &str, memory: MemoryBudget) -> Rc<Core> {
    let engine = Engine::new(EngineParams {
        name: name.parse().unwrap(),
        zone: "olomouc".parse().unwrap(),
        budget: RetryBudgetParams {
            percent: 2_000,
            window: Duration::from_secs(1),
            allowance: 100,
        },
        delegate_above: 32,
        max_in_flight: 100,
        quota: QuotaBounds::default(),
        linger: Duration::from_millis(300),
        seed: 1,
    });
    let key = FrameKey::new(b"a key of at least sixteen bytes");
    let group_exchange = GroupExchange::new(name.parse().unwrap(), key);
    Core::new(
        engine,
        Clock::start(),
        Dialect::default(),
        Metrics::default(),
        StructuredLog::start(name, LogRates::default()),
        group_exchange,
        memory,
    )
}

/// Returns an address that refuses connections for as long as the test runs: its port is bound, so that no other
/// test listens on it meanwhile.
pub fn closed_address() -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    std::mem::forget(socket);
    address
}

/// Connections that may hold what the core has room for.
fn group(core: &Rc<Core>) -> ConnectionGroup {
    Connections::new(core.memory.clone()).group(3_000)
}

/// Makes `other` known to `origin` as an entry of another zone that gathers groups.
pub async fn connect_entries(origin: &Rc<Core>, other: &Rc<Core>) {
    other.on_feed_counts(FeedCounts { fresh: 1, prompt: 1, recent: 1, known: 1 });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = Peer {
        name: "e1".parse().unwrap(),
        address: listener.local_addr().unwrap(),
        zone: "prerov".parse().unwrap(),
    };
    tokio::task::spawn_local(group_exchange::accept(other.clone(), listener, group(other)));
    origin.step(Input::Peers(vec![peer]));
}

/// Accepts callers and opens a connection of one; the entry is in this stage until the sender says otherwise.
pub async fn connect_caller(core: &Rc<Core>, stage: Stage) -> (TcpStream, watch::Sender<Stage>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, stage) = watch::channel(stage);
    tokio::task::spawn_local(front::accept(core.clone(), listener, stage, group(core)));
    (TcpStream::connect(address).await.unwrap(), tx)
}

/// Opens a connection of a caller to an entry that serves until the end of the test.
pub async fn connect(core: &Rc<Core>) -> TcpStream {
    let (stream, stage) = connect_caller(core, Stage::Serving).await;
    std::mem::forget(stage);
    stream
}

pub async fn request(core: &Rc<Core>, id: &str) -> Reply {
    request_path(core, id, "/lookup/1").await
}

pub async fn request_path(core: &Rc<Core>, id: &str, target: &str) -> Reply {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let head = format!("GET {target} HTTP/1.1\r\nhornbeam-request-id: {id}\r\n");
    let fingerprint = Fingerprint::new(b"", "GET", "plots.example", path, query);
    let body = Default::default();
    let forwarded = ForwardedRequest { id: id.into(), fingerprint, head: head.into(), body };
    let received = ReceivedRequest {
        forwarded,
        credential: None,
        set_aside: Default::default(),
        host: "plots.example".into(),
        path: path.into(),
        patience: Some(Duration::from_secs(1)),
        opened_connection: false,
    };
    let (_, rx) = core.start_request(received);
    rx.await.expect("every request gets a reply")
}

/// Reads one request; returns its id, or `None` at the end of the connection.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    read_head(stream).await.map(|(id, _)| id)
}

/// Reads one request; returns its id and its head, or `None` at the end of the connection.
pub async fn read_head(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap();
    let id = head.lines().find_map(|l| l.strip_prefix("hornbeam-request-id: "));
    let id = id.expect("an entry sends the id").to_owned();
    Some((id, head))
}

pub fn response(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nhornbeam-request-id: {id}\r\nhornbeam-signature: m\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
