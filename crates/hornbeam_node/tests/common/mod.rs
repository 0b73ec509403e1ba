//! Cluster of instances and stand-in servers in the test process. Each test uses its own loopback
//! addresses.
#![allow(dead_code)]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hornbeam_model::{Change, Incarnation, ServiceId, ShardId};
use hornbeam_node::Node;
use hornbeam_settings::{Peer, Role, Secret, Settings};
use hornbeam_standin::{Behaviour, StandIn, StandInParams};
use hornbeam_testkit::samples;
use serde_json::{Value, json};
use tokio::sync::mpsc;

pub const TOKEN: &str = "operator token of the tests";
pub const SERVICE: &str = "planner";
pub const SHARDS: u32 = 12;
/// Maximum wait for an expected state; a test that exceeds it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_HOST_BYTE: AtomicU8 = AtomicU8::new(1);

/// Returns a loopback address that no other running test uses.
fn unique_loopback_address() -> IpAddr {
    let pid = std::process::id();
    let n = NEXT_HOST_BYTE.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 120, pid as u8, n))
}

pub struct TestCluster {
    pub peers: Vec<Peer>,
    pub nodes: Vec<Option<Node>>,
    pub servers: Vec<StandIn>,
    pub client: reqwest::Client,
    folder: tempfile::TempDir,
}

pub struct HttpReply {
    pub status: u16,
    pub body: Value,
    pub retry_after: Option<String>,
}

impl TestCluster {
    /// Starts `nodes` instances in two zones, configures a service with a default patience of
    /// `patience_ms` and starts `servers` backend servers. With three instances or more the first
    /// three vote, otherwise only the first.
    pub async fn build(nodes: usize, servers: u32, patience_ms: u64) -> Self {
        let cluster = Self::without_servers(nodes).await;
        let change = json!({"put_service": {
            "name": SERVICE,
            "service": serde_json::to_value(samples::service(patience_ms)).unwrap(),
        }});
        let mut cluster = cluster;
        cluster.apply_change("first", 0, change).await;
        for n in 0..servers {
            cluster.add_server(n, servers, Behaviour::default(), 25).await;
        }
        if servers > 0 {
            cluster.wait_until_complete().await;
        }
        cluster
    }

    /// Adds `servers` backend servers that accept at most `connections` connections each.
    pub async fn with_connection_limit(mut self, servers: u32, connections: u32) -> Self {
        for n in 0..servers {
            self.add_server(n, servers, Behaviour::default(), connections).await;
        }
        self.wait_until_complete().await;
        self
    }

    pub async fn without_servers(nodes: usize) -> Self {
        let ip = unique_loopback_address();
        let peer = |n: usize| Peer {
            instance: format!("node-{n}").parse().unwrap(),
            zone: ["olomouc", "prerov"][n % 2].parse().unwrap(),
            inner: SocketAddr::new(ip, 7_100 + n as u16),
            http: SocketAddr::new(ip, 7_000 + n as u16),
        };
        let peers: Vec<Peer> = (0..nodes).map(peer).collect();
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let folder = tempfile::tempdir().unwrap();
        let mut cluster = Self { peers, nodes: Vec::new(), servers: Vec::new(), client, folder };
        for n in 0..nodes {
            cluster.nodes.push(None);
            cluster.start(n).await;
        }
        cluster
    }

    pub fn settings(&self, n: usize) -> Settings {
        let me = &self.peers[n];
        let voters = if self.peers.len() >= 3 { 3 } else { 1 };
        let votes = n < voters;
        Settings {
            instance: me.instance.clone(),
            zone: me.zone.clone(),
            http: me.http,
            inner: me.inner,
            roles: if votes { vec![Role::Entry, Role::Control] } else { vec![Role::Entry] },
            data_dir: votes.then(|| self.data_dir(n)),
            key: Secret::new(b"inner key of the tests"),
            operator_token: Some(Secret::new(TOKEN.as_bytes())),
            peers: self.peers.iter().filter(|p| p.instance != me.instance).cloned().collect(),
            voters: self.peers[..voters].iter().map(|p| p.instance.clone()).collect(),
            max_in_flight: 500,
            max_body_bytes: 64 << 10,
            memory_mb: 512,
            descriptors: 16_384,
            announce_interval: Duration::from_millis(200),
            lease: Duration::from_millis(2_000),
            config_wait: Duration::from_secs(3),
            traffic_threads: 2,
            log_file: None,
            seed: Some(n as u64),
        }
    }

    pub fn data_dir(&self, n: usize) -> std::path::PathBuf {
        Path::new(self.folder.path()).join(format!("node-{n}"))
    }

    pub async fn start(&mut self, n: usize) {
        self.start_with_clock_behind(n, Duration::ZERO).await;
    }

    /// Starts an instance whose clock is behind by `delay`.
    pub async fn start_with_clock_behind(&mut self, n: usize, delay: Duration) {
        let started_at = Instant::now();
        loop {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            let incarnation = Incarnation((now - delay).as_micros() as u64);
            match Node::start_with_incarnation(self.settings(n), incarnation).await {
                Ok(node) => {
                    self.nodes[n] = Some(node);
                    return;
                }
                // The port of the previous instance may not be released yet.
                Err(e) if started_at.elapsed() > WAIT_TIMEOUT => panic!("{e}"),
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }

    pub async fn stop(&mut self, n: usize) {
        let (_tx, mut repeated_signals) = mpsc::unbounded_channel();
        if let Some(node) = self.nodes[n].take() {
            node.shut_down(&mut repeated_signals).await;
        }
    }

    pub async fn add_server(&mut self, n: u32, total: u32, behaviour: Behaviour, connections: u32) {
        let groups = (total / 2).max(1);
        let shards = (0..SHARDS).filter(|s| s % groups == n % groups).map(ShardId);
        let mut registrars: Vec<SocketAddr> = self.peers.iter().map(|p| p.http).collect();
        let first = n as usize % registrars.len();
        registrars.rotate_left(first);
        let params = StandInParams {
            server: format!("server-{n}").parse().unwrap(),
            zone: ["olomouc", "prerov"][n as usize % 2].parse().unwrap(),
            service: SERVICE.parse::<ServiceId>().unwrap(),
            address: SocketAddr::new(self.peers[0].http.ip(), 7_300 + n as u16),
            registrars,
            slots: 4,
            connections,
            indexes: vec![samples::holding(7, SHARDS, shards.map(|s| s.0))],
            behaviour,
            incarnation: Incarnation(1),
            seed: u64::from(n),
        };
        self.servers.push(StandIn::start(params).await.unwrap());
    }

    pub async fn apply_change(&self, id: &str, expect: u64, change: Value) -> u64 {
        let started_at = Instant::now();
        loop {
            let reply = self.submit_change(self.peers.len() - 1, id, expect, &change).await;
            if reply.status == 200 {
                return reply.body["revision"].as_u64().unwrap();
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "{}: {}", reply.status, reply.body);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub async fn submit_change(
        &self,
        n: usize,
        id: &str,
        expect: u64,
        change: &Value,
    ) -> HttpReply {
        let body = json!({"change_id": id, "expect_revision": expect, "change": change});
        let call = self.client.post(self.url(n, "/v1/config/changes")).bearer_auth(TOKEN);
        receive(call.json(&body)).await
    }

    pub async fn wait_until_complete(&self) {
        let started_at = Instant::now();
        for n in 0..self.nodes.len() {
            loop {
                let reply = self.query(n, &json!({"query": {}}), &[]).await;
                if reply.body["complete"] == true {
                    break;
                }
                assert!(started_at.elapsed() < WAIT_TIMEOUT, "node {n}: {}", reply.body);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    pub fn url(&self, n: usize, path: &str) -> String {
        format!("http://{}{path}", self.peers[n].http)
    }

    pub async fn query(&self, n: usize, body: &Value, headers: &[(&str, &str)]) -> HttpReply {
        self.query_raw(n, SERVICE, body.to_string(), headers).await
    }

    pub async fn query_raw(
        &self,
        n: usize,
        service: &str,
        body: String,
        headers: &[(&str, &str)],
    ) -> HttpReply {
        let url = self.url(n, &format!("/v1/services/{service}/query"));
        let mut call = self.client.post(url).body(body);
        for (name, value) in headers {
            call = call.header(*name, *value);
        }
        receive(call).await
    }

    pub async fn tokens(&self, n: usize, count: u32) -> Vec<String> {
        let call = self.client.post(self.url(n, "/v1/tokens")).json(&json!({"count": count}));
        let reply = receive(call).await;
        let tokens = reply.body["tokens"].as_array().cloned().unwrap_or_default();
        tokens.iter().map(|t| t.as_str().unwrap().to_owned()).collect()
    }

    pub async fn events(&self, n: usize) -> String {
        let reply = self.client.get(self.url(n, "/v1/events")).send().await.unwrap();
        reply.text().await.unwrap()
    }

    /// Returns how often the servers ran a non-idempotent request, as the maximum over all
    /// requests.
    pub fn max_runs(&self) -> u32 {
        let counts = self.servers.iter().flat_map(|s| s.report().writes.into_iter());
        let mut sums = std::collections::HashMap::new();
        for (request, count) in counts {
            *sums.entry(request).or_insert(0) += count;
        }
        sums.values().copied().max().unwrap_or(0)
    }

    pub fn write_count(&self) -> usize {
        self.servers.iter().map(|s| s.report().writes.len()).sum()
    }
}

pub async fn receive(call: reqwest::RequestBuilder) -> HttpReply {
    let reply = call.send().await.unwrap();
    let status = reply.status().as_u16();
    let retry_after = reply.headers().get("retry-after").map(|v| v.to_str().unwrap().to_owned());
    let body = reply.json().await.unwrap_or(Value::Null);
    HttpReply { status, body, retry_after }
}

/// Returns a valid change that sets the default patience of the service.
pub fn sample_change(patience_ms: u64) -> Value {
    let service = samples::service(patience_ms);
    serde_json::to_value(Change::PutService { name: SERVICE.parse().unwrap(), service }).unwrap()
}
