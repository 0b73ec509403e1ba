//! Guards against clients that end a process, or keep all others out: each sends a message of legal size, stops just
//! short of its end and stays connected. Each message is within its own bound, but not their sum.

mod crowd;

use crowd::{API, CALLERS, Crowd, INNER, Instance, METRICS, READY, Sending, Site, take_turn};

/// Memory of a program according to its settings, in megabytes.
const MEMORY_MB: u64 = 48;
/// Memory of an instance that its settings do not name, in megabytes.
const INSTANCE_MEMORY_MB: u64 = 512;
const CLIENTS: usize = 300;
/// Descriptors of a process that are enough for a crowd of this size.
const MANY_DESCRIPTORS: u32 = 4_096;
/// Descriptors of a process that are not.
const FEW_DESCRIPTORS: u32 = 256;
/// Descriptors that a process without callers may hold.
const CALM_DESCRIPTORS: usize = 64;
/// Longest body and head that a caller may send.
const BODY: usize = 256 << 10;
const HEAD: usize = 16 << 10;
/// Blanks at the end of a long routing table.
const TABLE: usize = 1 << 20;
/// Longest body of a query to an instance according to its settings.
const QUERY: usize = 2 << 20;

#[yare::parameterized(
    whole = { Sending::Whole, "PUT /v1/routing", BODY },
    pieces = { Sending::Pieces, "PUT /v1/routing", BODY },
    large_chunks = { Sending::LargeChunks, "PUT /v1/routing", BODY },
    small_chunks = { Sending::SmallChunks, "PUT /v1/routing", BODY },
    heartbeats = { Sending::Whole, "POST /v1/servers/s1/heartbeat", HEAD },
    heads = { Sending::Head, "GET /v1/routing", BODY },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn at_api(sending: Sending, line: &str, bytes: usize) {
    let _turn = take_turn().await;
    let mut site = Site::start(1, MEMORY_MB, MANY_DESCRIPTORS).await;
    let crowd = Crowd::gather(CLIENTS, site.controller.at(API), sending, line, bytes).await;
    let what = format!("{line}, {sending:?}, {} clients", crowd.size());
    site.check_all_served(2, &what).await;
    site.controller.check(MEMORY_MB, &what);
}

#[yare::parameterized(
    whole = { Sending::Whole, BODY },
    pieces = { Sending::Pieces, BODY },
    large_chunks = { Sending::LargeChunks, BODY },
    small_chunks = { Sending::SmallChunks, BODY },
    heads = { Sending::Head, HEAD },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn at_callers(sending: Sending, bytes: usize) {
    let _turn = take_turn().await;
    let mut site = Site::start(2, MEMORY_MB, MANY_DESCRIPTORS).await;
    let line = "POST /write/1";
    let crowd = Crowd::gather(CLIENTS, site.entry.at(CALLERS), sending, line, bytes).await;
    let what = format!("{line}, {sending:?}, {} clients", crowd.size());
    site.check_all_served(2, &what).await;
    site.entry.check(MEMORY_MB, &what);
}

#[yare::parameterized(heads = { Sending::Head }, whole = { Sending::Whole })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn at_pages(sending: Sending) {
    let _turn = take_turn().await;
    let mut site = Site::start(3, MEMORY_MB, MANY_DESCRIPTORS).await;
    let ports = [site.entry.at(READY), site.entry.at(METRICS), site.controller.at(METRICS)];
    let mut crowds = Vec::new();
    for port in ports {
        crowds.push(Crowd::gather(CLIENTS, port, sending, "GET /v1/health", BODY).await);
    }
    let what = format!("pages, {sending:?}, {} crowds", crowds.len());
    site.check_all_served(2, &what).await;
    site.entry.check(MEMORY_MB, &what);
    site.controller.check(MEMORY_MB, &what);
}

#[tokio::test(flavor = "multi_thread")]
async fn between_programs() {
    let _turn = take_turn().await;
    let mut site = Site::start(4, MEMORY_MB, MANY_DESCRIPTORS).await;
    let ports = [
        (site.entry.at(INNER), BODY),
        (site.controller.at(INNER), 64 << 10),
        (site.controller.at(INNER + 1), BODY),
    ];
    let mut crowds = Vec::new();
    for (port, bytes) in ports {
        crowds.push(Crowd::gather(CLIENTS, port, Sending::Frame, "", bytes).await);
    }
    let what = format!("frames, {} crowds", crowds.len());
    site.check_all_served(2, &what).await;
    site.check_new_entry(&what).await;
    site.entry.check(MEMORY_MB, &what);
    site.controller.check(MEMORY_MB, &what);
}

/// More silent connections than the process has descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn silent() {
    let _turn = take_turn().await;
    let mut site = Site::start(5, MEMORY_MB, FEW_DESCRIPTORS).await;
    let ports = [
        site.entry.at(CALLERS),
        site.entry.at(READY),
        site.entry.at(METRICS),
        site.entry.at(INNER),
        site.controller.at(API),
        site.controller.at(METRICS),
        site.controller.at(INNER),
        site.controller.at(INNER + 1),
    ];
    let mut crowds = Vec::new();
    for port in ports {
        crowds.push(Crowd::gather(CLIENTS, port, Sending::Silent, "", 0).await);
    }
    let what = format!("silent, {} crowds", crowds.len());
    site.check_all_served(2, &what).await;
    site.check_new_entry(&what).await;
    site.entry.check(MEMORY_MB, &what);
    site.controller.check(MEMORY_MB, &what);
}

/// More silent connections than the process has descriptors, whose clients connect again when they are closed.
#[tokio::test(flavor = "multi_thread")]
async fn returning() {
    let _turn = take_turn().await;
    let mut site = Site::start(7, MEMORY_MB, FEW_DESCRIPTORS).await;
    let ports = [
        site.entry.at(CALLERS),
        site.entry.at(READY),
        site.entry.at(INNER),
        site.controller.at(API),
        site.controller.at(INNER),
        site.controller.at(INNER + 1),
    ];
    let mut crowds = Vec::new();
    for port in ports {
        crowds.push(Crowd::gather(CLIENTS, port, Sending::Returning, "", 0).await);
    }
    let what = format!("returning, {} crowds", crowds.len());
    site.check_all_served(2, &what).await;
    site.check_new_entry(&what).await;
    site.entry.check(MEMORY_MB, &what);
    site.controller.check(MEMORY_MB, &what);
}

/// Clients that take no answer to a read of a long routing table.
#[tokio::test(flavor = "multi_thread")]
async fn unread_tables() {
    let _turn = take_turn().await;
    let mut site = Site::start(6, MEMORY_MB, MANY_DESCRIPTORS).await;
    site.put_padded_table(2, TABLE).await;
    let line = "GET /v1/routing";
    let crowd = Crowd::gather(CLIENTS, site.controller.at(API), Sending::Unread, line, 0).await;
    let what = format!("unread tables, {} clients", crowd.size());
    site.check_all_served(3, &what).await;
    site.controller.check(MEMORY_MB, &what);
}

/// Clients that do not take large answers.
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers() {
    let _turn = take_turn().await;
    let mut site = Site::start(2, MEMORY_MB, MANY_DESCRIPTORS).await;
    let (to, line) = (site.entry.at(CALLERS), "GET /lookup/large");
    let crowd = Crowd::gather(CLIENTS, to, Sending::Unread, line, 0).await;
    let what = format!("unread answers, {} clients", crowd.size());
    site.check_all_served(2, &what).await;
    site.entry.check(MEMORY_MB, &what);
}

/// Bytes that arrive while the request before them is in flight.
#[tokio::test(flavor = "multi_thread")]
async fn behind_requests() {
    let _turn = take_turn().await;
    let mut site = Site::start(2, MEMORY_MB, MANY_DESCRIPTORS).await;
    let (to, line) = (site.entry.at(CALLERS), "GET /lookup/slow");
    let crowd = Crowd::gather(CLIENTS, to, Sending::Behind, line, BODY).await;
    let what = format!("behind requests, {} clients", crowd.size());
    site.check_all_served(2, &what).await;
    site.entry.check(MEMORY_MB, &what);
}

/// Clients that neither send the rest of a refused body nor close.
#[yare::parameterized(whole = { Sending::Whole }, begun = { Sending::Begun })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn refused_bodies(sending: Sending) {
    let _turn = take_turn().await;
    let mut site = Site::start(6, MEMORY_MB, MANY_DESCRIPTORS).await;
    let ports = [
        (site.entry.at(CALLERS), "POST /write/1", 2 * BODY),
        (site.entry.at(READY), "POST /v1/health", BODY),
        (site.controller.at(API), "POST /v1/servers/s1/heartbeat", BODY),
    ];
    let mut crowds = Vec::new();
    for (port, line, bytes) in ports {
        crowds.push(Crowd::gather(CLIENTS, port, sending, line, bytes).await);
    }
    let what = format!("refused bodies, {sending:?}, {} crowds", crowds.len());
    site.entry.wait_descriptors(CALM_DESCRIPTORS, &what).await;
    site.controller.wait_descriptors(CALM_DESCRIPTORS, &what).await;
    site.check_all_served(2, &what).await;
    site.entry.check(MEMORY_MB, &what);
    site.controller.check(MEMORY_MB, &what);
}

#[yare::parameterized(
    whole = { Sending::Whole, QUERY },
    pieces = { Sending::Pieces, QUERY },
    large_chunks = { Sending::LargeChunks, QUERY },
    small_chunks = { Sending::SmallChunks, QUERY },
    heads = { Sending::Head, HEAD },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn at_instance(sending: Sending, bytes: usize) {
    let _turn = take_turn().await;
    let more = format!("max_body_bytes: {QUERY}\n");
    let mut instance = Instance::start(7, MANY_DESCRIPTORS, &more).await;
    let to = instance.process.at(CALLERS);
    let line = "POST /v1/services/planner/query";
    let crowd = Crowd::gather(CLIENTS, to, sending, line, bytes).await;
    let what = format!("instance, {sending:?}, {} clients", crowd.size());
    instance.check_all_served("second", 1, &what).await;
    instance.process.check(INSTANCE_MEMORY_MB, &what);
}

#[tokio::test(flavor = "multi_thread")]
async fn between_instances() {
    let _turn = take_turn().await;
    let mut instance = Instance::start(8, MANY_DESCRIPTORS, "").await;
    let to = instance.process.at(INNER);
    let crowd = Crowd::gather(CLIENTS, to, Sending::Frame, "", QUERY).await;
    let what = format!("instance, frames, {} clients", crowd.size());
    instance.check_all_served("second", 1, &what).await;
    instance.process.check(INSTANCE_MEMORY_MB, &what);
}

/// More silent connections than the instance has descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn silent_at_instance() {
    let _turn = take_turn().await;
    let mut instance = Instance::start(9, FEW_DESCRIPTORS, "").await;
    let mut crowds = Vec::new();
    for port in [CALLERS, INNER] {
        let to = instance.process.at(port);
        crowds.push(Crowd::gather(CLIENTS, to, Sending::Silent, "", 0).await);
    }
    let what = format!("silent, {} crowds", crowds.len());
    instance.check_all_served("second", 1, &what).await;
    instance.process.check(INSTANCE_MEMORY_MB, &what);
}
