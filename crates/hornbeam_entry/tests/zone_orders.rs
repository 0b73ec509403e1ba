//! An entry that starts while a zone is evacuated: it learns the orders before it uses servers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use hornbeam_entry::feed_event::FeedEvent;
use hornbeam_entry::feeds::{FeedParams, run};
use hornbeam_model::{Incarnation, OrderIndex, ZoneOrders};
use hornbeam_node::clock::Clock;
use hornbeam_node::frames::{read_frame, write_frame};
use hornbeam_node::structured::StructuredLog;
use hornbeam_protocol::discovery::{ClaimOrder, FeedDown, LifeStage, ServerClaim, ServerInfo};
use hornbeam_protocol::features::Features;
use hornbeam_protocol::{FrameKey, MAX_STREAM_BYTES};
use hornbeam_settings::FleetSettings;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const KEY: &[u8] = b"a shared secret for tests";
const INNER_PORT: u16 = 7380;
const WAIT: Duration = Duration::from_secs(2);

/// An address that only this process uses.
fn ip(n: u8) -> IpAddr {
    let pid = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 64 + (pid >> 8) as u8 % 128, pid as u8, 200 + n))
}

/// A controller to which the entry opens its feed.
struct FakeController {
    listener: TcpListener,
    feed: Option<TcpStream>,
}

impl FakeController {
    async fn listen(n: u8) -> Self {
        let listener = TcpListener::bind(SocketAddr::new(ip(n), INNER_PORT)).await.unwrap();
        Self { listener, feed: None }
    }

    async fn accept(&mut self) {
        let (mut feed, _) = self.listener.accept().await.unwrap();
        read_frame(&mut feed, MAX_STREAM_BYTES, WAIT).await.expect("the entry follows");
        self.feed = Some(feed);
    }

    async fn send(&mut self, message: FeedDown) {
        let frame = FrameKey::new(KEY).seal(&message, MAX_STREAM_BYTES).unwrap();
        write_frame(self.feed.as_mut().unwrap(), &frame).await.unwrap();
    }
}

fn servers() -> FeedDown {
    let info = ServerInfo {
        service: "tablet".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "tabor".parse().unwrap(),
        slots: 2,
        warm_up_ms: 0,
    };
    let order = ClaimOrder { incarnation: Incarnation(1), stage: LifeStage::Ready, seq: 1 };
    FeedDown::Servers(vec![ServerClaim { server: "s0".parse().unwrap(), order, info: Some(info) }])
}

fn orders(index: u64, zones: &[&str], is_current: bool) -> FeedDown {
    let evacuated = zones.iter().map(|z| z.parse().unwrap()).collect();
    FeedDown::ZoneOrders { orders: ZoneOrders { index: OrderIndex(index), evacuated }, is_current }
}

/// The next event about servers or orders, as text; `None` if none comes for a while.
async fn next(events: &mut mpsc::UnboundedReceiver<FeedEvent>) -> Option<String> {
    let wait = tokio::time::timeout(Duration::from_millis(500), async {
        loop {
            match events.recv().await? {
                FeedEvent::Servers(changes) => return Some(format!("{} servers", changes.len())),
                FeedEvent::ZoneOrders(orders) => return Some(format!("order {}", orders.index)),
                _ => {}
            }
        }
    });
    wait.await.ok().flatten()
}

#[test]
fn orders_before_servers() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("entry.yaml");
    let text = format!(
        "instance: e1\nzone: tabor\naddress: {0}\ninner_port: {INNER_PORT}\ncallers: {0}:8104\n\
         seeds: [\"{1}:1\", \"{2}:1\"]\nkey: {3}\nheartbeat_ms: 400\ngrace_s: 3\nevacuations: true\n",
        ip(9),
        ip(1),
        ip(2),
        std::str::from_utf8(KEY).unwrap(),
    );
    std::fs::write(&file, text).unwrap();
    let settings = FleetSettings::read(&file).unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (mut outdated, mut current) =
            (FakeController::listen(1).await, FakeController::listen(2).await);
        let (tx, mut events) = mpsc::unbounded_channel();
        let (_reload, reload) = mpsc::unbounded_channel();
        let (_reports, reports) = mpsc::unbounded_channel();
        let (_usage, usage) = mpsc::unbounded_channel();
        let log = StructuredLog::start("e1", settings.log);
        let params = FeedParams { settings, file, clock: Clock::start(), log, tx };
        tokio::task::spawn_local(run(params, reload, reports, usage));
        outdated.accept().await;
        outdated.send(FeedDown::Features(Features::OWN)).await;
        outdated.send(servers()).await;
        assert_eq!(next(&mut events).await, None, "the orders are not known");
        outdated.send(orders(4, &["pisek"], false)).await;
        assert_eq!(next(&mut events).await.as_deref(), Some("order 4"));
        assert_eq!(next(&mut events).await, None, "a later order may exist");

        current.accept().await;
        current.send(FeedDown::Features(Features::OWN)).await;
        current.send(orders(9, &["tabor"], true)).await;
        assert_eq!(next(&mut events).await.as_deref(), Some("order 9"));
        assert_eq!(next(&mut events).await.as_deref(), Some("1 servers"));
        outdated.send(orders(4, &["pisek"], true)).await;
        assert_eq!(next(&mut events).await, None, "an older state changes nothing");
    });
}
