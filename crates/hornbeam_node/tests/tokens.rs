//! Non-idempotent requests with tokens: a resent request never runs twice.

mod common;

use common::TestCluster;
use hornbeam_standin::{Behaviour, Fault};
use serde_json::json;

const NON_IDEMPOTENT: (&str, &str) = ("Hornbeam-Non-Idempotent", "true");

fn body() -> serde_json::Value {
    json!({"query": {"log": "lime"}, "key": "meadow-12"})
}

#[tokio::test(flavor = "multi_thread")]
async fn resend_same() {
    let cluster = TestCluster::build(1, 4, 2_000).await;
    let token = cluster.tokens(0, 1).await.remove(0);
    let headers =
        [NON_IDEMPOTENT, ("Hornbeam-Token", token.as_str()), ("Hornbeam-Request-Id", "w1")];
    let first = cluster.query(0, &body(), &headers).await;
    assert_eq!(first.status, 200, "{}", first.body);
    let resent = cluster.query(0, &body(), &headers).await;
    assert_eq!(resent.body, first.body, "a resend got another response");
    assert_eq!(cluster.max_runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn resend_elsewhere() {
    let cluster = TestCluster::build(3, 4, 2_000).await;
    let token = cluster.tokens(0, 1).await.remove(0);
    let headers =
        [NON_IDEMPOTENT, ("Hornbeam-Token", token.as_str()), ("Hornbeam-Request-Id", "w1")];
    let request = body();
    // Sends to all three instances at once, as a load balancer does that loses responses and
    // retries.
    let (a, b, c) = tokio::join!(
        cluster.query(1, &request, &headers),
        cluster.query(0, &request, &headers),
        cluster.query(2, &request, &headers),
    );
    for reply in [&a, &b, &c] {
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.body["hits"], a.body["hits"]);
    }
    assert_eq!(cluster.max_runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_issuer() {
    let mut cluster = TestCluster::build(3, 4, 2_000).await;
    let token = cluster.tokens(2, 1).await.remove(0);
    let headers = [NON_IDEMPOTENT, ("Hornbeam-Token", token.as_str())];
    cluster.stop(2).await;
    let gone = cluster.query(0, &body(), &headers).await;
    assert_eq!((gone.status, &gone.body["error"]["ran"]), (409, &json!("unknown")));
    cluster.start(2).await;
    cluster.wait_until_complete().await;
    for n in 0..3 {
        let reply = cluster.query(n, &body(), &headers).await;
        assert_eq!((reply.status, &reply.body["error"]["ran"]), (409, &json!("unknown")));
    }
    assert_eq!(cluster.write_count(), 0, "the request ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_issuer() {
    // The request ran on the issuer of its token, which then stops: a resend must not run again.
    let mut cluster = TestCluster::build(3, 4, 2_000).await;
    let token = cluster.tokens(2, 1).await.remove(0);
    let headers =
        [NON_IDEMPOTENT, ("Hornbeam-Token", token.as_str()), ("Hornbeam-Request-Id", "w1")];
    let first = cluster.query(2, &body(), &headers).await;
    assert_eq!(first.status, 200, "{}", first.body);
    cluster.stop(2).await;
    for n in 0..2 {
        let reply = cluster.query(n, &body(), &headers).await;
        assert_eq!((reply.status, &reply.body["error"]["ran"]), (409, &json!("unknown")));
    }
    assert_eq!(cluster.max_runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcome() {
    // The server runs the request and drops the connection: the outcome stays unknown for every
    // resend.
    let cluster = TestCluster::build(1, 4, 2_000).await;
    for server in &cluster.servers {
        server.set_behaviour(Behaviour { fault: Fault::Break, ..Behaviour::default() });
    }
    let token = cluster.tokens(0, 1).await.remove(0);
    let headers =
        [NON_IDEMPOTENT, ("Hornbeam-Token", token.as_str()), ("Hornbeam-Request-Id", "w1")];
    for _ in 0..3 {
        let reply = cluster.query(0, &body(), &headers).await;
        assert_eq!((reply.status, &reply.body["error"]["ran"]), (502, &json!("unknown")));
    }
    assert_eq!(cluster.max_runs(), 1);
    let without_token = [NON_IDEMPOTENT, ("Hornbeam-Request-Id", "w2")];
    let reply = cluster.query(0, &body(), &without_token).await;
    assert_eq!(reply.status, 502);
    assert_eq!(cluster.max_runs(), 1, "one HTTP request ran more than once");
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_is_reusable() {
    let cluster = TestCluster::build(1, 4, 2_000).await;
    for server in &cluster.servers {
        server.set_behaviour(Behaviour { fault: Fault::Shed, ..Behaviour::default() });
    }
    let token = cluster.tokens(0, 1).await.remove(0);
    let headers =
        [NON_IDEMPOTENT, ("Hornbeam-Token", token.as_str()), ("Hornbeam-Request-Id", "w1")];
    let refused = cluster.query(0, &body(), &headers).await;
    assert_eq!((refused.status, &refused.body["error"]["ran"]), (503, &json!(false)));
    assert!(refused.retry_after.is_some(), "the reply has no Retry-After");
    for server in &cluster.servers {
        server.set_behaviour(Behaviour::default());
    }
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(20);
    loop {
        let reply = cluster.query(0, &body(), &headers).await;
        if reply.status == 200 {
            break;
        }
        assert_eq!(reply.body["error"]["ran"], false, "{}", reply.body);
        assert!(std::time::Instant::now() < deadline, "{}", reply.body);
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    assert_eq!(cluster.max_runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_token() {
    let cluster = TestCluster::build(1, 4, 2_000).await;
    let token = cluster.tokens(0, 1).await.remove(0);
    let parts: Vec<&str> = token.split('~').collect();
    let other_number = format!("{}~{}~999~{}", parts[0], parts[1], parts[3]);
    let other_instance = format!("node-9~{}~{}~{}", parts[1], parts[2], parts[3]);
    for forged in [other_number.as_str(), other_instance.as_str(), "x", "a~b~c~d"] {
        let reply = cluster.query(0, &body(), &[NON_IDEMPOTENT, ("Hornbeam-Token", forged)]).await;
        assert_eq!(reply.status, 400, "{forged}: {}", reply.body);
    }
    assert_eq!(cluster.write_count(), 0);
}
