//! Orders about zones over connections on loopback: the operators' API of three controllers, the feeds
//! of entries of this build and the one before, and a controller of the build before.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hornbeam_controller::Dialect;
use hornbeam_controller::api::{Api, accept};
use hornbeam_controller::metrics::Metrics;
use hornbeam_controller::state::{Controller, ControllerParams, Inputs};
use hornbeam_model::{InstanceId, OrderIndex, ZoneOrders};
use hornbeam_node::clock::Clock;
use hornbeam_node::connections::{ConnectionGroup, Connections};
use hornbeam_node::control::net::{Net, NetParams};
use hornbeam_node::frames::{read_frame, write_frame};
use hornbeam_node::journal::EventLog;
use hornbeam_node::memory::MemoryBudget;
use hornbeam_node::structured::StructuredLog;
use hornbeam_protocol::discovery::{ControllerMessage, EntryInfo, FeedDown, FeedUp};
use hornbeam_protocol::features::Features;
use hornbeam_protocol::{Envelope, FrameKey, MAX_STREAM_BYTES, Message};
use hornbeam_settings::FleetSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::mpsc;

const KEY: &[u8] = b"a shared secret for tests";
const INNER_PORT: u16 = 7380;
const API_PORT: u16 = 8106;
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);

/// An address that only this process uses; tests run beside each other in several processes.
fn ip(test: u8, n: u8) -> IpAddr {
    let pid = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 64 + (pid >> 8) as u8 % 128, pid as u8, test * 16 + n))
}

fn group() -> ConnectionGroup {
    Connections::new(MemoryBudget::default()).group(64)
}

async fn start_controller(folder: &Path, test: u8, n: u8) {
    let address = ip(test, n);
    let seeds: Vec<String> = (1..4).map(|i| format!("\"{}:{API_PORT}\"", ip(test, i))).collect();
    let text = format!(
        "instance: c{n}\nzone: tabor\naddress: {address}\ninner_port: {INNER_PORT}\n\
         seeds: [{}]\nkey: {}\napi: {address}:{API_PORT}\ndata_dir: {}\nfounding: true\n\
         tolerated_losses: 1\nheartbeat_ms: 400\ngrace_s: 3\nzones: {{tabor: south, pisek: south}}\n",
        seeds.join(", "),
        std::str::from_utf8(KEY).unwrap(),
        folder.join(format!("d{n}")).display(),
    );
    let file = folder.join(format!("c{n}.yaml"));
    std::fs::write(&file, text).unwrap();
    let settings = FleetSettings::read(&file).unwrap();
    let me = settings.inner_name().unwrap();
    let events = EventLog::new(settings.instance.clone());
    let log = StructuredLog::start(settings.instance.as_str(), settings.log);
    let key = FrameKey::new(KEY);
    let net = NetParams {
        me: me.clone(),
        address: settings.control_address(&me).unwrap(),
        key: key.clone(),
        session: 1,
        addresses: HashMap::new(),
        metrics: hornbeam_node::metrics::Metrics::default(),
        events: events.clone(),
        strangers: group(),
    };
    let (net, incoming) = Net::open(net).await.unwrap();
    let (feed_tx, feed_events) = mpsc::unbounded_channel();
    let feed = settings.feed_address(&me).unwrap();
    hornbeam_controller::feed::listen(feed, group(), key, feed_tx).await.unwrap();
    let (tx, requests) = mpsc::unbounded_channel();
    let dialect = Dialect::default();
    let api_address = settings.api.unwrap();
    let listener = tokio::net::TcpListener::bind(api_address).await.unwrap();
    let controller = Controller::new(ControllerParams {
        parse_table: dialect.parse_table,
        settings: settings.clone(),
        file,
        me,
        clock: Clock::start(),
        net,
        events,
        log,
        metrics: Metrics::default(),
    });
    let address_of = Box::new(move |name: &InstanceId| settings.api_address(name));
    let api = Rc::new(Api::new(dialect, tx, address_of));
    tokio::task::spawn_local(accept(api, listener, group()));
    let (reload_tx, reload) = mpsc::unbounded_channel();
    let (shutdown_tx, shutdown) = mpsc::unbounded_channel();
    tokio::task::spawn_local(async move {
        controller.run(Inputs { requests, feed_events, incoming, reload, shutdown }).await;
        drop((reload_tx, shutdown_tx));
    });
}

/// Sends one order; returns the status and the whole response.
async fn post(address: SocketAddr, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!("POST {path} HTTP/1.1\r\nhost: c\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    (text[9..12].parse().unwrap(), text)
}

/// Sends an order to a controller and follows its redirect to the leader, as an operator does.
async fn order(test: u8, n: u8, path: &str) -> (u16, String) {
    let (status, text) = post(SocketAddr::new(ip(test, n), API_PORT), path).await;
    if status != 307 {
        return (status, text);
    }
    let location = text.lines().find_map(|l| l.strip_prefix("location: http://")).unwrap();
    let (address, _) = location.split_once('/').unwrap();
    post(address.parse().unwrap(), path).await
}

/// Sends an order until it gets another response than 503; panics after 8 s.
async fn order_until_decided(test: u8, path: &str) -> (u16, String) {
    let since = Instant::now();
    for n in (1..4).cycle() {
        let (status, text) = order(test, n, path).await;
        if status != 503 {
            return (status, text);
        }
        assert!(since.elapsed() < Duration::from_secs(8), "{text}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    unreachable!("the controllers are asked in turns")
}

/// Opens a feed of an entry that states these features; entries of the build before state none.
async fn follow(test: u8, n: u8, features: Option<Features>) -> TcpStream {
    let mut stream = TcpStream::connect(SocketAddr::new(ip(test, n), INNER_PORT)).await.unwrap();
    let entry = EntryInfo {
        entry: "e1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "tabor".parse().unwrap(),
    };
    let (key, message) = (FrameKey::new(KEY), FeedUp::Follow(entry));
    let frame = match features {
        Some(features) => key.seal_with(&message, &features, MAX_STREAM_BYTES),
        None => key.seal(&message, MAX_STREAM_BYTES),
    };
    write_frame(&mut stream, &frame.unwrap()).await.unwrap();
    stream
}

async fn receive(feed: &mut TcpStream) -> FeedDown {
    let frame = read_frame(feed, MAX_STREAM_BYTES, FRAME_TIMEOUT);
    let frame = tokio::time::timeout(FRAME_TIMEOUT, frame).await.unwrap().unwrap();
    FrameKey::new(KEY).open(&frame, MAX_STREAM_BYTES).unwrap()
}

/// The next orders on a feed.
async fn next_orders(feed: &mut TcpStream) -> (ZoneOrders, bool) {
    let deadline = Instant::now() + FRAME_TIMEOUT;
    while Instant::now() < deadline {
        if let FeedDown::ZoneOrders { orders, is_current } = receive(feed).await {
            return (orders, is_current);
        }
    }
    panic!("no orders arrive");
}

fn run(test: u8, body: impl AsyncFnOnce(u8)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        for n in 1..4 {
            start_controller(folder.path(), test, n).await;
        }
        body(test).await;
    });
}

#[test]
fn orders_reach_entries() {
    run(1, async |test| {
        let (status, text) = order_until_decided(test, "/v1/zones/plzen/evacuate").await;
        assert_eq!(status, 404, "{text}");
        assert!(text.contains("zone plzen: check its name"), "{text}");
        let (status, _) = order_until_decided(test, "/v1/zones/pisek/restore").await;
        assert_eq!(status, 200, "a zone that is not evacuated");

        let mut feeds = Vec::new();
        for n in 1..4 {
            feeds.push(follow(test, n, Some(Features::OWN)).await);
        }
        for feed in &mut feeds {
            let (orders, is_current) = next_orders(feed).await;
            assert!(is_current && orders.index == OrderIndex(0), "{orders:?}");
        }
        let (status, _) = order_until_decided(test, "/v1/zones/pisek/evacuate").await;
        assert_eq!(status, 200);
        for feed in &mut feeds {
            let (orders, _) = next_orders(feed).await;
            assert_eq!(orders.evacuated.iter().map(|z| z.as_str()).collect::<Vec<_>>(), ["pisek"]);
        }
        let (status, _) = order_until_decided(test, "/v1/zones/pisek/evacuate").await;
        assert_eq!(status, 200, "sent again");

        // A new feed states the orders before the servers, so that an entry that restarts obeys them.
        let mut feed = follow(test, 2, Some(Features::OWN)).await;
        assert!(matches!(receive(&mut feed).await, FeedDown::Features(_)));
        let FeedDown::ZoneOrders { orders, is_current } = receive(&mut feed).await else {
            panic!("the orders come before the servers");
        };
        assert!(is_current && orders.evacuated.len() == 1);
        assert!(matches!(receive(&mut feed).await, FeedDown::Servers(_)));
        let (status, _) = order_until_decided(test, "/v1/zones/pisek/restore").await;
        assert_eq!(status, 200);
        assert!(next_orders(&mut feed).await.0.evacuated.is_empty());
    });
}

/// An entry of the build before would not obey, so the order is refused until it is replaced.
#[test]
fn refused_with_old_entry() {
    run(2, async |test| {
        let (status, _) = order_until_decided(test, "/v1/zones/tabor/restore").await;
        assert_eq!(status, 200);
        let mut feeds = Vec::new();
        for n in 1..4 {
            let mut feed = follow(test, n, None).await;
            let first = receive(&mut feed).await;
            assert!(matches!(first, FeedDown::Servers(_)), "what the build before expects");
            feeds.push(feed);
        }
        let (status, text) = order(test, 1, "/v1/zones/tabor/evacuate").await;
        assert_eq!(status, 503, "{text}");
        assert!(text.contains("replace it first"), "{text}");
        let (status, _) = order_until_decided(test, "/v1/zones/tabor/restore").await;
        assert_eq!(status, 200, "such an entry uses all servers anyway");
        drop(feeds);
        let (status, _) = order_until_decided(test, "/v1/zones/tabor/evacuate").await;
        assert_eq!(status, 200);
    });
}

/// A controller of the build before could not read the log entry.
#[test]
fn refused_with_old_controller() {
    run(3, async |test| {
        let (status, _) = order_until_decided(test, "/v1/zones/tabor/restore").await;
        assert_eq!(status, 200);
        let old = ip(test, 9);
        let socket = UdpSocket::bind(SocketAddr::new(old, INNER_PORT + 1)).await.unwrap();
        let name: InstanceId = old.to_string().parse().unwrap();
        for n in 1..4 {
            let to = ip(test, n);
            let heartbeat =
                ControllerMessage::Heartbeat { known: vec![name.clone()], leads: false };
            let envelope = Envelope {
                from: name.clone(),
                to: to.to_string().parse().unwrap(),
                session: 1,
                seq: 1,
                message: Message::Controller(heartbeat),
            };
            let frame = FrameKey::new(KEY).seal(&envelope, MAX_STREAM_BYTES).unwrap();
            socket.send_to(&frame, SocketAddr::new(to, INNER_PORT + 1)).await.unwrap();
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        let (status, text) = order(test, 1, "/v1/zones/tabor/evacuate").await;
        assert_eq!(status, 503, "{text}");
        assert!(text.contains("controllers of an earlier build"), "{text}");
        // It has stopped, and no longer counts once it has not been heard for a while.
        let (status, _) = order_until_decided(test, "/v1/zones/tabor/evacuate").await;
        assert_eq!(status, 200);
    });
}
