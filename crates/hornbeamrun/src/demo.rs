//! Shows the main job in one process.
//!
//! Three instances in two availability zones and twelve stand-in backend servers with 24 shards in
//! two index versions, one of them a straggler. Prints, for a plain query, one with a dead replica
//! and one during an index change, the answer's coverage, snapshot and time, then the time line.

use hornbeam_events::{out, outln};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
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
const SHARDS: u32 = 24;
const SERVERS: u32 = 12;
const REPLICAS: u32 = 2;
const OLD_INDEX: IndexVersion = IndexVersion(7);
const NEW_INDEX: IndexVersion = IndexVersion(8);
const PATIENCE_MS: u64 = 800;
/// Queries sent first, so that the system has learned its latencies.
const WARM_UP: usize = 40;
/// Longest wait for the servers to be known.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

pub type Failure = String;

pub fn fail(e: impl std::fmt::Display) -> Failure {
    e.to_string()
}

/// Runs the demo.
pub fn run(args: &DemoArgs) -> Result<(), Failure> {
    let level = if args.verbose { log::LevelFilter::Info } else { log::LevelFilter::Off };
    logging::start(None, level).map_err(fail)?;
    crate::runtime(2)?.block_on(demo())
}

struct Stage {
    nodes: Vec<Node>,
    addresses: Vec<SocketAddr>,
    servers: Vec<StandIn>,
    client: reqwest::Client,
    /// Removed with everything in it at the end.
    folder: tempfile::TempDir,
}

async fn demo() -> Result<(), Failure> {
    outln!("hornbeamrun demo: 3 instances in 2 availability zones, {SERVERS} stand-in backend");
    outln!("servers, {SHARDS} shards with {REPLICAS} replicas each, one server a straggler\n");
    let stage = Stage::build().await?;
    stage.settle(OLD_INDEX).await?;
    for _ in 0..WARM_UP {
        stage.query(0).await?;
    }
    stage.show("plain query", 0).await?;
    stage.servers[1].kill();
    stage.show("query with a dead replica", 0).await?;
    stage.show_index_change().await?;
    crate::demo_routed::show(stage.folder.path(), &stage.client).await?;
    let events = stage.events().await?;
    outln!("\ntime line of all instances:");
    out!("{}", timeline::render(&timeline::merge(events)));
    stage.shut_down().await;
    outln!("\nevery answer above states its snapshot and coverage; exit 0");
    Ok(())
}

pub fn free_address() -> Result<SocketAddr, Failure> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(fail)?;
    listener.local_addr().map_err(fail)
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

fn peers() -> Result<Vec<Peer>, Failure> {
    let places = [("olomouc-1", "olomouc"), ("olomouc-2", "olomouc"), ("prerov-1", "prerov")];
    let peer = |(instance, zone): (&str, &str)| {
        Ok(Peer {
            instance: instance.parse::<InstanceId>().map_err(fail)?,
            zone: zone.parse::<Zone>().map_err(fail)?,
            inner: free_address()?,
            http: free_address()?,
        })
    };
    places.into_iter().map(peer).collect()
}

fn settings(all: &[Peer], i: usize, folder: &Path) -> Settings {
    let me = &all[i];
    Settings {
        instance: me.instance.clone(),
        zone: me.zone.clone(),
        http: me.http,
        inner: me.inner,
        roles: vec![Role::Entry, Role::Control],
        data_dir: Some(folder.join(me.instance.as_str())),
        key: Secret::new(b"demo key of no value"),
        operator_token: Some(Secret::new(OPERATOR_TOKEN.as_bytes())),
        peers: all.iter().filter(|p| p.instance != me.instance).cloned().collect(),
        voters: all.iter().map(|p| p.instance.clone()).collect(),
        max_in_flight: 200,
        max_body_bytes: 1 << 20,
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
        shard_count: SHARDS,
        shards: shards_of(i, SERVERS, SHARDS, REPLICAS),
        schemas: vec![SchemaVersion(1), SchemaVersion(2)],
    }
}

async fn stand_in(all: &[Peer], i: u32) -> Result<StandIn, Failure> {
    let zone = if i < SERVERS / 2 { 0 } else { 2 };
    let straggler = Behaviour { straggle_per_10k: 3_000, ..Behaviour::default() };
    let registrars = [&all[zone], &all[(zone + 1) % all.len()]];
    StandIn::start(StandInParams {
        server: format!("planner-{i}").parse().map_err(fail)?,
        zone: all[zone].zone.clone(),
        service: SERVICE.parse().map_err(fail)?,
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
    .map_err(fail)
}

impl Stage {
    async fn build() -> Result<Self, Failure> {
        let all = peers()?;
        let folder = tempfile::tempdir().map_err(fail)?;
        let mut nodes = Vec::new();
        for i in 0..all.len() {
            let node = Node::start(settings(&all, i, folder.path())).await.map_err(fail)?;
            nodes.push(node);
        }
        let mut servers = Vec::new();
        for i in 0..SERVERS {
            servers.push(stand_in(&all, i).await?);
        }
        let addresses = all.iter().map(|p| p.http).collect();
        let client = reqwest::Client::builder().no_proxy().build().map_err(fail)?;
        let stage = Self { nodes, addresses, servers, client, folder };
        stage.configure().await?;
        Ok(stage)
    }

    /// Creates the service, as an operator does, through an instance that need not lead.
    async fn configure(&self) -> Result<(), Failure> {
        let url = format!("http://{}/v1/config/changes", self.addresses[2]);
        let change =
            Change::PutService { name: SERVICE.parse().map_err(fail)?, service: service() };
        let body =
            serde_json::json!({"change_id": "demo-1", "expect_revision": 0, "change": change});
        let began = Instant::now();
        loop {
            let call = self.client.post(&url).bearer_auth(OPERATOR_TOKEN).json(&body);
            let reply = call.send().await.map_err(fail)?;
            if reply.status().is_success() {
                return Ok(());
            }
            if began.elapsed() > SETTLE_TIMEOUT {
                return Err(format!("the service cannot be created: {}", reply.status()));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until every instance answers completely from `version`.
    async fn settle(&self, version: IndexVersion) -> Result<(), Failure> {
        let began = Instant::now();
        for i in 0..self.addresses.len() {
            loop {
                let answer = self.query(i).await?;
                if answer["complete"] == true && answer["snapshot"]["index_version"] == version.0 {
                    break;
                }
                if began.elapsed() > SETTLE_TIMEOUT {
                    return Err(format!("instance {i} does not answer completely: {answer}"));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn query(&self, i: usize) -> Result<serde_json::Value, Failure> {
        let url = format!("http://{}/v1/services/{SERVICE}/query", self.addresses[i]);
        let body = serde_json::json!({"query": {"sward": "week"}, "limit": 5});
        let call = self.client.post(url).json(&body);
        call.send().await.map_err(fail)?.json().await.map_err(fail)
    }

    async fn show(&self, what: &str, i: usize) -> Result<(), Failure> {
        print_answer(what, &self.query(i).await?);
        Ok(())
    }

    /// Every server loads the new version; queries go on meanwhile.
    async fn show_index_change(&self) -> Result<(), Failure> {
        for (i, server) in self.servers.iter().enumerate() {
            server.set_indexes(vec![holding(OLD_INDEX, i as u32), holding(NEW_INDEX, i as u32)]);
            if i == self.servers.len() / 2 {
                self.show("query during an index change", 2).await?;
            }
        }
        self.settle(NEW_INDEX).await?;
        for (i, server) in self.servers.iter().enumerate() {
            server.set_indexes(vec![holding(NEW_INDEX, i as u32)]);
        }
        self.show("query after the index change", 2).await
    }

    async fn events(&self) -> Result<Vec<Record>, Failure> {
        let mut records = Vec::new();
        for address in &self.addresses {
            let url = format!("http://{address}/v1/events");
            let text =
                self.client.get(url).send().await.map_err(fail)?.text().await.map_err(fail)?;
            for line in text.lines() {
                records.push(serde_json::from_str(line).map_err(fail)?);
            }
        }
        Ok(records)
    }

    async fn shut_down(self) {
        let (_tx, mut again) = mpsc::unbounded_channel();
        for node in self.nodes {
            node.shut_down(&mut again).await;
        }
    }
}

fn print_answer(what: &str, answer: &serde_json::Value) {
    outln!("{what}:");
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
