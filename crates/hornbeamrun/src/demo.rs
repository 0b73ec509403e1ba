//! Demonstrates queries in one process.
//!
//! Three instances in two availability zones and twelve stand-in backend servers with 24 shards in
//! two index versions, one of the servers a straggler. Prints coverage, snapshot and time of a plain
//! query, of one with a dead replica, and of queries during and after an index change; then a routed
//! search and the timeline of all events.

use hornbeam_events::{out, outln};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

use hornbeam_events::{Record, timeline};
use hornbeam_model::{
    Change, Incarnation, IndexHolding, IndexVersion, InstanceId, Patience, SchemaVersion, Service,
    Zone,
};
use hornbeam_node::{Node, logging};
use hornbeam_settings::{Peer, Role, Secret, Settings};
use hornbeam_standin::{Behaviour, StandIn, StandInParams};
use tokio::sync::mpsc;

use crate::args::DemoArgs;
use crate::standins::shards_of;

const SERVICE: &str = "mowing-planner";
const OPERATOR_TOKEN: &str = "demo token of no value";
const SHARD_COUNT: u32 = 24;
const SERVER_COUNT: u32 = 12;
/// Ports of the demo, below those that the system assigns to outgoing connections.
const DEMO_PORTS: std::ops::Range<u16> = 10_000..30_000;
const MAX_PORT_TRIES: usize = 50;
const REPLICA_COUNT: u32 = 2;
const OLD_INDEX: IndexVersion = IndexVersion(7);
const NEW_INDEX: IndexVersion = IndexVersion(8);
const PATIENCE_MS: u64 = 800;
/// Queries sent before the demonstration, so that the instances have latency estimates.
const WARM_UP_QUERIES: usize = 40;
/// Longest wait until the configuration is accepted, or until all instances answer
/// completely.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

pub type DemoError = String;

pub fn error_text(e: impl std::fmt::Display) -> DemoError {
    e.to_string()
}

/// Runs the demonstration.
pub fn run(args: &DemoArgs) -> Result<(), DemoError> {
    let level = if args.verbose { log::LevelFilter::Info } else { log::LevelFilter::Off };
    logging::start(None, level).map_err(error_text)?;
    crate::runtime(2)?.block_on(demo())
}

struct DemoCluster {
    nodes: Vec<Node>,
    addresses: Vec<SocketAddr>,
    servers: Vec<StandIn>,
    client: reqwest::Client,
    /// Data directories and settings files; removed on drop.
    folder: tempfile::TempDir,
}

async fn demo() -> Result<(), DemoError> {
    outln!(
        "hornbeamrun demo: 3 instances in 2 availability zones, {SERVER_COUNT} stand-in backend"
    );
    outln!(
        "servers, {SHARD_COUNT} shards with {REPLICA_COUNT} replicas each, one server a straggler\n"
    );
    let cluster = DemoCluster::build().await?;
    cluster.wait_complete(OLD_INDEX).await?;
    for _ in 0..WARM_UP_QUERIES {
        cluster.query(0).await?;
    }
    cluster.show("plain query", 0).await?;
    cluster.servers[1].kill();
    cluster.show("query with a dead replica", 0).await?;
    cluster.run_index_change().await?;
    crate::demo_routed::show(cluster.folder.path(), &cluster.client).await?;
    let events = cluster.events().await?;
    outln!("\ntime line of all instances:");
    out!("{}", timeline::render(&timeline::merge(events)));
    cluster.shut_down().await;
    outln!("\nevery answer above states its snapshot and coverage; exit 0");
    Ok(())
}

/// Returns a loopback address whose port is free for TCP and UDP.
///
/// The port is below the range from which the system assigns ports to outgoing connections, since
/// one of these could take it before the demo binds it.
pub fn free_address() -> Result<SocketAddr, DemoError> {
    let mut last_error = None;
    for _ in 0..MAX_PORT_TRIES {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, rand::random_range(DEMO_PORTS)));
        match TcpListener::bind(address).and_then(|_| UdpSocket::bind(address)) {
            Ok(_) => return Ok(address),
            Err(e) => last_error = Some(e),
        }
    }
    Err(error_text(last_error.expect("at least one port was tried")))
}

fn service() -> Service {
    Service {
        patience: Patience::constant(PATIENCE_MS),
        prefer: hornbeam_model::Prefer::Coverage,
        schemas: vec![SchemaVersion(1), SchemaVersion(2)],
        budgets: hornbeam_model::Budgets::default(),
        limits: hornbeam_model::Limits::default(),
        require_token: false,
    }
}

fn peers() -> Result<Vec<Peer>, DemoError> {
    let locations = [("olomouc-1", "olomouc"), ("olomouc-2", "olomouc"), ("prerov-1", "prerov")];
    let peer = |(instance, zone): (&str, &str)| {
        Ok(Peer {
            instance: instance.parse::<InstanceId>().map_err(error_text)?,
            zone: zone.parse::<Zone>().map_err(error_text)?,
            inner: free_address()?,
            http: free_address()?,
        })
    };
    locations.into_iter().map(peer).collect()
}

fn settings(instances: &[Peer], i: usize, folder: &Path) -> Settings {
    let own = &instances[i];
    Settings {
        instance: own.instance.clone(),
        zone: own.zone.clone(),
        http: own.http,
        inner: own.inner,
        roles: vec![Role::Entry, Role::Control],
        data_dir: Some(folder.join(own.instance.as_str())),
        key: Secret::new(b"demo key of no value"),
        operator_token: Some(Secret::new(OPERATOR_TOKEN.as_bytes())),
        peers: instances.iter().filter(|p| p.instance != own.instance).cloned().collect(),
        voters: instances.iter().map(|p| p.instance.clone()).collect(),
        max_in_flight: 200,
        max_body_bytes: 1 << 20,
        memory_mb: 512,
        descriptors: 16_384,
        announce_interval: Duration::from_millis(500),
        lease: Duration::from_millis(2_000),
        config_wait: Duration::from_millis(1_000),
        traffic_threads: 2,
        log_file: None,
        seed: Some(i as u64 + 1),
    }
}

fn holding(version: IndexVersion, i: u32) -> IndexHolding {
    IndexHolding {
        version,
        shard_count: SHARD_COUNT,
        shards: shards_of(i, SERVER_COUNT, SHARD_COUNT, REPLICA_COUNT),
        schemas: vec![SchemaVersion(1), SchemaVersion(2)],
    }
}

async fn stand_in(instances: &[Peer], i: u32) -> Result<StandIn, DemoError> {
    let zone = if i < SERVER_COUNT / 2 { 0 } else { 2 };
    let straggler = Behaviour { straggle_per_10k: 3_000, ..Behaviour::default() };
    let registrars = [&instances[zone], &instances[(zone + 1) % instances.len()]];
    StandIn::start(StandInParams {
        server: format!("planner-{i}").parse().map_err(error_text)?,
        zone: instances[zone].zone.clone(),
        service: SERVICE.parse().map_err(error_text)?,
        address: free_address()?,
        registrars: registrars.iter().map(|p| p.http).collect(),
        slots: 2,
        connections: 25,
        indexes: vec![holding(OLD_INDEX, i)],
        behaviour: if i == 0 { straggler } else { Behaviour::default() },
        incarnation: Incarnation(1),
        seed: u64::from(i),
    })
    .await
    .map_err(error_text)
}

impl DemoCluster {
    async fn build() -> Result<Self, DemoError> {
        let instances = peers()?;
        let folder = tempfile::tempdir().map_err(error_text)?;
        let mut nodes = Vec::new();
        for i in 0..instances.len() {
            let node =
                Node::start(settings(&instances, i, folder.path())).await.map_err(error_text)?;
            nodes.push(node);
        }
        let mut servers = Vec::new();
        for i in 0..SERVER_COUNT {
            servers.push(stand_in(&instances, i).await?);
        }
        let addresses = instances.iter().map(|p| p.http).collect();
        let client = reqwest::Client::builder()
            .no_proxy()
            .tcp_user_timeout(READY_TIMEOUT)
            .tcp_keepalive(READY_TIMEOUT);
        let client = client.build().map_err(error_text)?;
        let cluster = Self { nodes, addresses, servers, client, folder };
        cluster.configure().await?;
        Ok(cluster)
    }

    /// Creates the service through one instance, whether or not it is the leader.
    async fn configure(&self) -> Result<(), DemoError> {
        let url = format!("http://{}/v1/config/changes", self.addresses[2]);
        let change =
            Change::PutService { name: SERVICE.parse().map_err(error_text)?, service: service() };
        let body =
            serde_json::json!({"change_id": "demo-1", "expect_revision": 0, "change": change});
        let started_at = Instant::now();
        loop {
            let req = self.client.post(&url).bearer_auth(OPERATOR_TOKEN).json(&body);
            let reply = req.send().await.map_err(error_text)?;
            if reply.status().is_success() {
                return Ok(());
            }
            if started_at.elapsed() > READY_TIMEOUT {
                return Err(format!("the service cannot be created: {}", reply.status()));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until every instance returns complete answers from the index `version`.
    async fn wait_complete(&self, version: IndexVersion) -> Result<(), DemoError> {
        let started_at = Instant::now();
        for i in 0..self.addresses.len() {
            loop {
                let answer = self.query(i).await?;
                if answer["complete"] == true && answer["snapshot"]["index_version"] == version.0 {
                    break;
                }
                if started_at.elapsed() > READY_TIMEOUT {
                    return Err(format!("instance {i} does not answer completely: {answer}"));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn query(&self, i: usize) -> Result<serde_json::Value, DemoError> {
        let url = format!("http://{}/v1/services/{SERVICE}/query", self.addresses[i]);
        let body = serde_json::json!({"query": {"sward": "week"}, "limit": 5});
        let req = self.client.post(url).json(&body);
        req.send().await.map_err(error_text)?.json().await.map_err(error_text)
    }

    async fn show(&self, title: &str, i: usize) -> Result<(), DemoError> {
        print_answer(title, &self.query(i).await?);
        Ok(())
    }

    /// Loads the new index version on one server after another; runs a query when about half have
    /// it and another one after all servers have dropped the old version.
    async fn run_index_change(&self) -> Result<(), DemoError> {
        for (i, server) in self.servers.iter().enumerate() {
            server.set_indexes(vec![holding(OLD_INDEX, i as u32), holding(NEW_INDEX, i as u32)]);
            if i == self.servers.len() / 2 {
                self.show("query during an index change", 2).await?;
            }
        }
        self.wait_complete(NEW_INDEX).await?;
        for (i, server) in self.servers.iter().enumerate() {
            server.set_indexes(vec![holding(NEW_INDEX, i as u32)]);
        }
        self.show("query after the index change", 2).await
    }

    async fn events(&self) -> Result<Vec<Record>, DemoError> {
        let mut records = Vec::new();
        for address in &self.addresses {
            let url = format!("http://{address}/v1/events");
            let text = self
                .client
                .get(url)
                .send()
                .await
                .map_err(error_text)?
                .text()
                .await
                .map_err(error_text)?;
            for line in text.lines() {
                records.push(serde_json::from_str(line).map_err(error_text)?);
            }
        }
        Ok(records)
    }

    async fn shut_down(self) {
        let (_tx, mut repeated_signals) = mpsc::unbounded_channel();
        for node in self.nodes {
            node.shut_down(&mut repeated_signals).await;
        }
    }
}

fn print_answer(title: &str, answer: &serde_json::Value) {
    outln!("{title}:");
    if let Some(error) = answer.get("error") {
        outln!("  refused: {error}");
        return;
    }
    let coverage = &answer["coverage"];
    outln!("  complete {}, shards covered {}", answer["complete"], coverage["covered"]);
    outln!("  lacking {}, snapshot {}", coverage["lacking"], answer["snapshot"]);
    outln!("  hits {}", answer["hits"].as_array().map_or(0, Vec::len));
    outln!(
        "  attempts {}, {:.1} ms",
        answer["attempts"],
        answer["took_ms"].as_f64().unwrap_or(0.0)
    );
}
