//! Instances as processes that are killed, suspended, restarted without their disk, or stopped under
//! load.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

const BIN: &str = env!("CARGO_BIN_EXE_hornbeamrun");
const TOKEN: &str = "operator token of the process tests";
/// Longest wait for a condition; a test that exceeds it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

struct Cluster {
    host: u8,
    nodes: Vec<Option<Child>>,
    standins: Option<Child>,
    client: reqwest::Client,
    folder: tempfile::TempDir,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.nodes.iter_mut().chain([&mut self.standins]).flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn spawn(args: &[&str]) -> Child {
    let mut command = Command::new(BIN);
    command.args(args).stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap()
}

fn signal(child: &Child, name: &str) {
    let id = child.id().to_string();
    assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
}

impl Cluster {
    /// Starts three voters in two zones and twelve stand-in backend servers with 24 shards.
    async fn build(host: u8) -> Self {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("key"), "inner key of the process tests").unwrap();
        std::fs::write(folder.path().join("token"), TOKEN).unwrap();
        let client =
            reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(6)).build().unwrap();
        let mut cluster = Self { host, nodes: Vec::new(), standins: None, client, folder };
        for n in 0..3 {
            cluster.write_settings(n);
            cluster.nodes.push(None);
            cluster.start(n);
        }
        let service = json!({"patience": {"default_ms": 3000}, "schemas": [1, 2]});
        let change = json!({"put_service": {"name": "planner", "service": service}});
        cluster.change("first", 0, change).await;
        cluster.start_standins();
        for n in 0..3 {
            cluster.wait_complete(n).await;
        }
        cluster
    }

    fn http(&self, n: usize) -> SocketAddr {
        let pid = std::process::id();
        let ip = [127, 160 + (pid >> 8) as u8 % 90, pid as u8, self.host];
        SocketAddr::from((ip, 7_000 + n as u16))
    }

    fn inner(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.http(n).ip(), 7_100 + n as u16)
    }

    fn write_settings(&self, n: usize) {
        let zone = |n: usize| ["olomouc", "prerov"][n % 2];
        let mut text = format!(
            "instance: node-{n}\nzone: {}\nhttp: {}\ninner: {}\nkey_file: key\n\
             operator_token_file: token\nroles: [entry, control]\ndata_dir: data-{n}\n\
             voters: [node-0, node-1, node-2]\nlog_file: log-{n}\npeers:\n",
            zone(n),
            self.http(n),
            self.inner(n)
        );
        for p in (0..3).filter(|p| *p != n) {
            text += &format!(
                "  - {{instance: node-{p}, zone: {}, http: {}, inner: {}}}\n",
                zone(p),
                self.http(p),
                self.inner(p)
            );
        }
        std::fs::write(self.folder.path().join(format!("node-{n}.yaml")), text).unwrap();
    }

    fn start(&mut self, n: usize) {
        let file = self.folder.path().join(format!("node-{n}.yaml"));
        self.nodes[n] = Some(spawn(&["serve", file.to_str().unwrap()]));
    }

    fn start_standins(&mut self) {
        let listen = SocketAddr::new(self.http(0).ip(), 9_000).to_string();
        let registrars: Vec<String> = (0..3).map(|n| self.http(n).to_string()).collect();
        let registrars = registrars.join(",");
        self.standins = Some(spawn(&[
            "standins",
            "--listen",
            &listen,
            "--count",
            "12",
            "--registrars",
            &registrars,
            "--service",
            "planner",
            "--zone",
            "olomouc",
            "--shards",
            "24",
            "--slots",
            "8",
        ]));
    }

    fn kill(&mut self, n: usize) {
        let mut child = self.nodes[n].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    async fn get(&self, n: usize, path: &str) -> Option<Value> {
        let url = format!("http://{}{path}", self.http(n));
        let reply = self.client.get(url).bearer_auth(TOKEN).send().await.ok()?;
        reply.json().await.ok()
    }

    async fn query(&self, n: usize) -> Option<Value> {
        let url = format!("http://{}/v1/services/planner/query", self.http(n));
        let reply = self.client.post(url).body("{\"query\":1}").send().await.ok()?;
        reply.json().await.ok()
    }

    async fn wait_complete(&self, n: usize) {
        let started_at = Instant::now();
        loop {
            let answer = self.query(n).await;
            if answer.as_ref().is_some_and(|a| a["complete"] == true) {
                return;
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "node {n}: {answer:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Submits a change through one instance after another until it is accepted; returns the
    /// revision.
    async fn change(&self, id: &str, expect: u64, change: Value) -> u64 {
        let body = json!({"change_id": id, "expect_revision": expect, "change": change});
        let started_at = Instant::now();
        for n in (0..3).cycle() {
            let url = format!("http://{}/v1/config/changes", self.http(n));
            let call = self.client.post(url).bearer_auth(TOKEN).json(&body).send().await;
            if let Ok(reply) = call {
                let status = reply.status().as_u16();
                let answer: Value = reply.json().await.unwrap_or_default();
                if status == 200 {
                    return answer["revision"].as_u64().unwrap();
                }
                assert_eq!(status, 503, "{answer}");
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "{id} is not accepted");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        unreachable!("the cycle ends by return or panic")
    }

    async fn set_patience(&self, id: &str, expect: u64) -> u64 {
        let patience = json!({"default_ms": 2_000 + expect});
        let change = json!({"set_patience": {"name": "planner", "patience": patience}});
        self.change(id, expect, change).await
    }

    async fn wait_status(&self, n: usize, condition: &str, done: impl Fn(&Value) -> bool) -> Value {
        let started_at = Instant::now();
        loop {
            let status = self.get(n, "/v1/config/status").await.unwrap_or_default();
            if done(&status) {
                return status;
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "node {n} {condition}: {status}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn leader(&self) -> usize {
        let started_at = Instant::now();
        loop {
            for n in 0..3 {
                if self.nodes[n].is_none() {
                    continue;
                }
                let status = self.get(n, "/v1/config/status").await.unwrap_or_default();
                if status["role"] == "leader" {
                    return n;
                }
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "no leader");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_leader() {
    let mut cluster = Cluster::build(1).await;
    let mut revision = 1;
    for round in 0..3 {
        let leader = cluster.leader().await;
        cluster.kill(leader);
        revision = cluster.set_patience(&format!("kill-{round}"), revision).await;
        assert_eq!(revision, 2 + round);
        cluster.start(leader);
        let status = cluster.wait_status(leader, "comes back", |s| s["revision"] == revision).await;
        assert_ne!(status["role"], "stopped");
        cluster.wait_complete(leader).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_leader() {
    let cluster = Cluster::build(2).await;
    let leader = cluster.leader().await;
    let child = cluster.nodes[leader].as_ref().unwrap();
    signal(child, "-STOP");
    let other = (leader + 1) % 3;
    cluster
        .wait_status(other, "knows another leader", |s| {
            s["leader"].is_string() && s["leader"] != format!("node-{leader}")
        })
        .await;
    let revision = cluster.set_patience("frozen", 1).await;
    assert_eq!(revision, 2);
    signal(child, "-CONT");
    let status = cluster.wait_status(leader, "catches up", |s| s["revision"] == 2).await;
    assert_ne!(status["role"], "leader", "it must not lead any longer");
    let repeated = cluster.set_patience("frozen", 1).await;
    assert_eq!(repeated, 2, "a resubmitted change gets its first outcome");
    cluster.wait_complete(leader).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_disk() {
    let mut cluster = Cluster::build(3).await;
    let leader = cluster.leader().await;
    let lost = (leader + 1) % 3;
    cluster.kill(lost);
    std::fs::remove_dir_all(cluster.folder.path().join(format!("data-{lost}"))).unwrap();
    cluster.start(lost);
    cluster.wait_status(lost, "is a learner", |s| s["role"] == "learner").await;
    let name = format!("node-{lost}");
    let body = json!({"outgoing": name, "incoming": name});
    let started_at = Instant::now();
    loop {
        let url = format!("http://{}/v1/control/replace", cluster.http(lost));
        let reply = cluster.client.post(url).bearer_auth(TOKEN).json(&body).send().await.unwrap();
        if reply.status().as_u16() == 202 {
            break;
        }
        let text = reply.text().await.unwrap();
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "{text}");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    cluster.wait_status(lost, "votes again", |s| s["role"] == "follower").await;
    let other = (lost + 1) % 3;
    let other = if other == leader { (other + 1) % 3 } else { other };
    cluster.kill(other);
    assert_eq!(cluster.set_patience("after", 1).await, 2, "the replaced voter must form a quorum");
}

#[tokio::test(flavor = "multi_thread")]
async fn stopped_under_load() {
    let mut cluster = Cluster::build(4).await;
    let target = 1;
    let url = format!("http://{}/v1/services/planner/query", cluster.http(target));
    let mut tasks = Vec::new();
    for n in 0..200 {
        if n == 60 {
            signal(cluster.nodes[target].as_ref().unwrap(), "-TERM");
        }
        let call = cluster.client.post(&url).body("{\"query\":1}").send();
        tasks.push(tokio::spawn(async move {
            match call.await {
                Ok(reply) => Ok((reply.status().as_u16(), reply.json::<Value>().await)),
                Err(e) => Err(e),
            }
        }));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (mut answered, mut refused) = (0, 0);
    for task in tasks {
        match task.await.unwrap() {
            Ok((200, body)) => {
                assert_eq!(body.unwrap()["complete"], true);
                answered += 1;
            }
            Ok((503, body)) => assert_eq!(body.unwrap()["error"]["ran"], false),
            Ok((status, body)) => panic!("{status}: {body:?}"),
            Err(e) if e.is_connect() => refused += 1,
            Err(e) => panic!("an in-flight request was aborted: {e:?}"),
        }
    }
    assert!(answered >= 60, "{answered} answered, {refused} were refused by the closed listener");
    let mut child = cluster.nodes[target].take().unwrap();
    let started_at = Instant::now();
    let status = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break status;
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "the instance does not exit");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert_eq!(status.code(), Some(0));
    cluster.wait_complete(0).await;
    cluster.wait_complete(2).await;
}

#[test]
#[ignore = "failed in a run beside load: see KNOWN-RED.txt"]
fn demo_runs() {
    let output = Command::new(BIN).arg("demo").output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    let routed = "parts 6, lacking 0, records 10";
    let others = ["plain query", "dead replica", "index change", "time line", "index_version\":8"];
    for part in others.into_iter().chain([routed]) {
        assert!(text.contains(part), "{part} is missing:\n{text}");
    }
}

#[test]
fn check_error_line() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("bad.yaml");
    std::fs::write(
        &file,
        "instance: a\nzone: b\nhttp: 127.0.0.1:0\ninner: 127.0.0.1:2\nkey_file: k\n",
    )
    .unwrap();
    let output = Command::new(BIN).arg("check").arg(&file).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("bad.yaml:3: http") && text.contains("name the port"), "{text}");
}

#[test]
fn closed_pipe() {
    let mut child = Command::new(BIN)
        .arg("demo")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut out = BufReader::new(child.stdout.take().unwrap());
    let mut line = String::new();
    out.read_line(&mut line).unwrap();
    assert!(line.contains("demo"), "{line}");
    // Closes the read end after the first line, as `head -1` does.
    drop(out);
    let mut stderr = String::new();
    child.stderr.take().unwrap().read_to_string(&mut stderr).unwrap();
    assert!(child.wait().unwrap().success(), "{stderr}");
    assert!(!stderr.contains("panicked"), "{stderr}");
}
