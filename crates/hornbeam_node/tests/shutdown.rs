//! Graceful shutdown under load, and its abort by repeated signals.

mod common;

use std::time::Duration;

use common::TestCluster;
use hornbeam_standin::Behaviour;
use serde_json::json;
use tokio::sync::mpsc;

/// Service time of a slow server.
const SLOW_SERVICE_US: u64 = 400_000;

fn slow_server() -> Behaviour {
    Behaviour { service_us: SLOW_SERVICE_US, jitter_percent: 0, ..Behaviour::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn in_flight_ends() {
    let mut cluster = TestCluster::build(2, 4, 5_000).await;
    for server in &cluster.servers {
        server.set_behaviour(slow_server());
    }
    let node = cluster.nodes[1].take().unwrap();
    let body = json!({"query": 1});
    let requests = send_queries(&cluster, &body);
    let (_tx, mut repeated_signals) = mpsc::unbounded_channel();
    let stop = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        node.shut_down(&mut repeated_signals).await;
    };
    let (replies, ()) = tokio::join!(requests, stop);
    for reply in replies {
        assert_eq!(reply.status, 200, "an in-flight request was aborted: {}", reply.body);
        assert_eq!(reply.body["complete"], true);
    }
    let other = cluster.query(0, &body, &[]).await;
    assert_eq!(other.status, 200, "the other instance stopped serving");
}

async fn send_queries(cluster: &TestCluster, body: &serde_json::Value) -> Vec<common::HttpReply> {
    let (a, b, c, d) = tokio::join!(
        cluster.query(1, body, &[]),
        cluster.query(1, body, &[]),
        cluster.query(1, body, &[("Hornbeam-Deadline-Ms", "4000")]),
        cluster.query(1, body, &[]),
    );
    vec![a, b, c, d]
}

#[tokio::test(flavor = "multi_thread")]
async fn health_turns() {
    let mut cluster = TestCluster::build(2, 4, 5_000).await;
    for server in &cluster.servers {
        server.set_behaviour(slow_server());
    }
    let node = cluster.nodes[1].take().unwrap();
    let body = json!({"query": 1});
    let (_tx, mut repeated_signals) = mpsc::unbounded_channel();
    let health = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let reply = cluster.client.get(cluster.url(1, "/v1/health")).send().await.unwrap();
        reply.status().as_u16()
    };
    let (reply, status, ()) =
        tokio::join!(cluster.query(1, &body, &[]), health, node.shut_down(&mut repeated_signals));
    assert_eq!(status, 503, "health does not report the shutdown while requests end");
    assert_eq!(reply.status, 200, "{}", reply.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_signals() {
    let mut cluster = TestCluster::build(2, 4, 5_000).await;
    for server in &cluster.servers {
        server.set_behaviour(Behaviour { service_us: 4_000_000, ..slow_server() });
    }
    let node = cluster.nodes[1].take().unwrap();
    let events = node.app().events.clone();
    let (tx, mut repeated_signals) = mpsc::unbounded_channel();
    let url = cluster.url(1, "/v1/services/planner/query");
    let call = cluster.client.post(url).body("{\"query\":1}").send();
    let request = tokio::spawn(call);
    tokio::time::sleep(Duration::from_millis(150)).await;
    tx.send(()).unwrap();
    let recorded = |number: u16| events.since(0).iter().any(|r| r.number == number);
    let repeat_signals = async {
        while !recorded(105) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(!recorded(104), "the first repeated signal abandoned requests");
        tx.send(()).unwrap();
    };
    tokio::join!(node.shut_down(&mut repeated_signals), repeat_signals);
    assert!(recorded(104), "abandoned requests are not recorded");
    assert!(!recorded(103));
    drop(request);
}
