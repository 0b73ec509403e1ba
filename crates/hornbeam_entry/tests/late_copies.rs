//! A server that sends a response a second time, late, on a connection that is in use again.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_entry::core::{Core, ForwardedRequest, ReceivedRequest, Reply};
use hornbeam_entry::dialect::Dialect;
use hornbeam_entry::group_exchange::GroupExchange;
use hornbeam_entry::metrics::Metrics;
use hornbeam_model::{Incarnation, Route, RoutedService, Routing, ServiceId, TableVersion, Target};
use hornbeam_node::clock::Clock;
use hornbeam_node::structured::StructuredLog;
use hornbeam_protocol::FrameKey;
use hornbeam_route::{Engine, EngineParams, Input, RetryBudgetParams, ServerChange};
use hornbeam_settings::LogRates;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time after which the second copy of a response is sent, while the next request is in progress.
const COPY_DELAY: Duration = Duration::from_millis(5);

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
fn core(address: std::net::SocketAddr, idempotent: bool) -> Rc<Core> {
    let service: ServiceId = "tablet".parse().unwrap();
    let engine = Engine::new(EngineParams {
        name: "e0".parse().unwrap(),
        zone: "olomouc".parse().unwrap(),
        budget: RetryBudgetParams {
            percent: 2_000,
            window: Duration::from_secs(1),
            allowance: 100,
        },
        delegate_above: 32,
        max_in_flight: 100,
        linger: Duration::from_millis(300),
        seed: 1,
    });
    let key = FrameKey::new(b"a key of at least sixteen bytes");
    let group_exchange = GroupExchange::new("e0".parse().unwrap(), key);
    let core = Core::new(
        engine,
        Clock::start(),
        Dialect::default(),
        Metrics::default(),
        StructuredLog::start("e0", LogRates::default()),
        group_exchange,
    );
    core.step(Input::EntryCount(1));
    let table = Routing {
        version: TableVersion(1),
        routes: vec![Arc::new(route(idempotent))],
        services: [(service.clone(), RoutedService { max_connections: 8 })].into(),
        ..Routing::default()
    };
    core.step(Input::Table(Arc::new(table)));
    core.step(Input::Servers(vec![ServerChange::Usable {
        server: "s0".parse().unwrap(),
        incarnation: Incarnation(1),
        service,
        address,
        zone: "olomouc".parse().unwrap(),
        slots: 4,
        warm_up: Duration::ZERO,
    }]));
    core
}

async fn request(core: &Rc<Core>, id: &str) -> Reply {
    let head = format!("GET /lookup/1 HTTP/1.1\r\nhornbeam-request-id: {id}\r\n");
    let forwarded = ForwardedRequest { id: id.into(), head: head.into(), body: Default::default() };
    let received = ReceivedRequest {
        forwarded,
        host: "plots.example".into(),
        path: "/lookup/1".into(),
        patience: Some(Duration::from_secs(1)),
        opened_connection: false,
    };
    let (_, rx) = core.start_request(received);
    rx.await.expect("every request gets a reply")
}

/// Reads one request; returns its id, or `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap();
    let id = head.lines().find_map(|l| l.strip_prefix("hornbeam-request-id: "));
    Some(id.expect("an entry sends the id").to_owned())
}

fn response(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nhornbeam-request-id: {id}\r\nhornbeam-signature: m\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn not_run(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nhornbeam-request-id: {id}\r\nhornbeam-not-run: 1\r\n\
         content-length: 0\r\n\r\n"
    )
}

fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// A copy of the response to another request, split over two packets, arrives while the next request
/// is in progress.
#[test]
fn copy_of_other_request() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let core = core(listener.local_addr().unwrap(), true);
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::task::spawn_local(async move {
                    stream.set_nodelay(true).unwrap();
                    let mut previous = None;
                    while let Some(id) = read_request(&mut stream).await {
                        tokio::time::sleep(COPY_DELAY).await;
                        if let Some(previous) = previous.replace(id.clone()) {
                            let copy = response(&previous, &previous);
                            let (first, rest) = copy.split_at(30);
                            let _ = stream.write_all(first.as_bytes()).await;
                            tokio::time::sleep(COPY_DELAY).await;
                            let _ = stream.write_all(rest.as_bytes()).await;
                        }
                        let _ = stream.write_all(response(&id, &id).as_bytes()).await;
                    }
                });
            }
        });
        for n in 0..20 {
            let id = format!("r{n}");
            match request(&core, &id).await {
                Reply::Forward(response) => assert_eq!(response.body, id),
                Reply::Refuse(refusal) => assert!(!refusal.kind.has_not_run(), "{id} has run"),
                Reply::Merged { .. } => panic!("the route leads to one service"),
            }
        }
    });
}

/// A server sheds a request and sends the refusal a second time after the entry has sent the request
/// to it again, which then runs.
#[test]
fn copy_of_refusal() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let core = core(listener.local_addr().unwrap(), false);
        let runs = Rc::new(std::cell::Cell::new(0));
        let (seen, counted) = (Rc::new(std::cell::Cell::new(0)), runs.clone());
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (seen, runs) = (seen.clone(), counted.clone());
                tokio::task::spawn_local(async move {
                    stream.set_nodelay(true).unwrap();
                    let mut shed_here = false;
                    while let Some(id) = read_request(&mut stream).await {
                        seen.set(seen.get() + 1);
                        if seen.get() == 1 {
                            shed_here = true;
                            let _ = stream.write_all(not_run(&id).as_bytes()).await;
                            continue;
                        }
                        runs.set(runs.get() + 1);
                        if shed_here {
                            let _ = stream.write_all(not_run(&id).as_bytes()).await;
                        }
                        tokio::time::sleep(COPY_DELAY).await;
                        let _ = stream.write_all(response(&id, &id).as_bytes()).await;
                    }
                });
            }
        });
        let reply = request(&core, "r1").await;
        assert!(runs.get() <= 1, "a request that is not idempotent ran {} times", runs.get());
        if let Reply::Refuse(refusal) = reply {
            assert!(
                !refusal.kind.has_not_run() || runs.get() == 0,
                "refused as not run: {refusal:?}"
            );
        }
    });
}
