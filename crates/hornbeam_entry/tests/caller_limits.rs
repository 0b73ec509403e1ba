//! Guards against open connections that keep the limits of the table that was in force when they were
//! accepted: proper requests on them got 431, and idle ones were closed too early.

mod common;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use common::{connect, core_without_table, read_request, response, run_local, servers, table};
use hornbeam_entry::core::Core;
use hornbeam_model::{CallerLimits, Routing, TableVersion};
use hornbeam_route::Input;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A core whose only server serves each request.
async fn serving_core() -> Rc<Core> {
    let core = core_without_table("e0");
    core.step(Input::EntryCount(1));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    core.step(Input::Servers(servers(&[listener.local_addr().unwrap()])));
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                while let Some(id) = read_request(&mut stream).await {
                    stream.write_all(response(&id, "sward").as_bytes()).await.unwrap();
                }
            });
        }
    });
    core
}

fn limits(max_header_bytes: u32) -> CallerLimits {
    CallerLimits { max_header_bytes, ..CallerLimits::default() }
}

fn put_in_force(core: &Rc<Core>, version: u64, limits: CallerLimits) {
    let version = TableVersion(version);
    core.step(Input::Table(Arc::new(Routing { version, limits, ..table(true) })));
}

/// Sends a request whose head has this length; returns the status of its response.
async fn send(stream: &mut TcpStream, id: &str, head_bytes: usize) -> u16 {
    let start = format!(
        "GET /lookup/1 HTTP/1.1\r\nhost: plots.example\r\nhornbeam-request-id: {id}\r\nx-plot: "
    );
    let filler = "7".repeat(head_bytes.saturating_sub(start.len() + 4));
    stream.write_all(format!("{start}{filler}\r\n\r\n").as_bytes()).await.unwrap();
    read_status(stream).await
}

async fn read_status(stream: &mut TcpStream) -> u16 {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("the entry answers before it closes"));
    }
    let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: ")).unwrap();
    let mut body = vec![0; length.parse().unwrap()];
    stream.read_exact(&mut body).await.unwrap();
    head[9..12].parse().unwrap()
}

#[test]
fn raised_on_open_connection() {
    run_local(async {
        let core = serving_core().await;
        put_in_force(&core, 1, limits(16 << 10));
        let mut stream = connect(&core).await;
        assert_eq!(send(&mut stream, "r1", 200).await, 200);
        put_in_force(&core, 2, limits(64 << 10));
        for id in ["r2", "r3"] {
            assert_eq!(send(&mut stream, id, 20 << 10).await, 200, "{id}");
        }
    });
}

#[test]
fn raised_during_head() {
    run_local(async {
        let core = serving_core().await;
        put_in_force(&core, 1, limits(16 << 10));
        let mut stream = connect(&core).await;
        stream.write_all(b"GET /lookup/1 HTTP/1.1\r\nhost: plots.example\r\n").await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        put_in_force(&core, 2, limits(64 << 10));
        let rest = format!("hornbeam-request-id: r1\r\nx-plot: {}\r\n\r\n", "7".repeat(20 << 10));
        stream.write_all(rest.as_bytes()).await.unwrap();
        assert_eq!(read_status(&mut stream).await, 200);
    });
}

#[test]
fn before_first_table() {
    run_local(async {
        let core = serving_core().await;
        let mut stream = connect(&core).await;
        // The connection is accepted before the table arrives.
        tokio::time::sleep(Duration::from_millis(20)).await;
        put_in_force(&core, 1, limits(64 << 10));
        assert_eq!(send(&mut stream, "r1", 20 << 10).await, 200);
    });
}

#[test]
fn lowered_on_open_connection() {
    run_local(async {
        let core = serving_core().await;
        put_in_force(&core, 1, limits(64 << 10));
        let mut stream = connect(&core).await;
        assert_eq!(send(&mut stream, "r1", 20 << 10).await, 200);
        put_in_force(&core, 2, limits(16 << 10));
        assert_eq!(send(&mut stream, "r2", 16 << 10).await, 200, "within the limit");
        assert_eq!(send(&mut stream, "r3", 20 << 10).await, 431);
        assert!(stream.read_u8().await.is_err(), "the connection is closed");
        assert_eq!(core.with_engine(|e| e.in_flight()), 0);
    });
}

#[test]
fn body_not_counted() {
    run_local(async {
        let core = serving_core().await;
        put_in_force(&core, 1, limits(8 << 10));
        let mut stream = connect(&core).await;
        let body = "7".repeat(100 << 10);
        for id in ["r1", "r2"] {
            let head = format!(
                "POST /lookup/1 HTTP/1.1\r\nhost: plots.example\r\nhornbeam-request-id: {id}\r\n\
                 content-length: {}\r\n\r\n",
                body.len()
            );
            // The stand-in server reads no body, so the connection to it is not used again.
            stream.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
            let status = read_status(&mut stream).await;
            assert_ne!(status, 431, "{id}");
        }
    });
}

#[test]
fn raised_idle_timeout() {
    run_local(async {
        let core = serving_core().await;
        let short =
            CallerLimits { header_timeout_ms: 100, idle_timeout_ms: 300, ..limits(8 << 10) };
        put_in_force(&core, 1, short);
        let mut stream = connect(&core).await;
        assert_eq!(send(&mut stream, "r1", 200).await, 200);
        put_in_force(&core, 2, limits(8 << 10));
        tokio::time::sleep(Duration::from_millis(800)).await;
        assert_eq!(send(&mut stream, "r2", 200).await, 200);
    });
}

#[test]
fn idle_connection_closed() {
    run_local(async {
        let core = serving_core().await;
        let short = CallerLimits { header_timeout_ms: 50, idle_timeout_ms: 150, ..limits(8 << 10) };
        put_in_force(&core, 1, short);
        let mut stream = connect(&core).await;
        for id in ["r1", "r2"] {
            assert_eq!(send(&mut stream, id, 200).await, 200);
        }
        assert!(stream.read_u8().await.is_err(), "the connection is closed");
    });
}

#[test]
fn waits_for_first_table() {
    run_local(async {
        let core = serving_core().await;
        let mut stream = connect(&core).await;
        let other = core.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(50)).await;
            put_in_force(&other, 1, limits(64 << 10));
        });
        assert_eq!(send(&mut stream, "r1", 20 << 10).await, 200, "its limit was not known");
    });
}

#[test]
fn long_body_without_table() {
    run_local(async {
        let core = serving_core().await;
        let mut stream = connect(&core).await;
        let length = CallerLimits::default().max_body_bytes + 1;
        let head = format!(
            "POST /lookup/1 HTTP/1.1\r\nhost: plots.example\r\nhornbeam-request-id: r1\r\n\
             content-length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        assert_eq!(read_status(&mut stream).await, 503, "the first table may allow it");
    });
}

/// Guards against an entry that closes each connection, or refuses each request, for limits of zero.
#[test]
fn limits_of_zero() {
    run_local(async {
        let core = serving_core().await;
        let zero = CallerLimits {
            max_header_bytes: 0,
            max_body_bytes: 0,
            header_timeout_ms: 0,
            idle_timeout_ms: 0,
        };
        put_in_force(&core, 1, zero);
        let mut stream = connect(&core).await;
        for id in ["r1", "r2"] {
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert_eq!(send(&mut stream, id, 100).await, 200);
        }
    });
}

/// Guards against requests that are refused for a time limit that is larger than a number of this program.
#[test]
fn long_deadlines() {
    run_local(async {
        let core = serving_core().await;
        put_in_force(&core, 1, CallerLimits::default());
        for (ms, status) in [
            ("800", 200),
            ("800.5", 200),
            ("99999999999999999999999", 200),
            ("18446744073709551615", 200),
            ("-800", 400),
            ("+800", 400),
            ("8e2", 400),
            ("", 400),
            ("inf", 400),
        ] {
            let mut stream = connect(&core).await;
            let request = format!(
                "GET /lookup/1 HTTP/1.1\r\nhost: plots.example\r\nhornbeam-request-id: r{ms}\r\n\
                 hornbeam-deadline-ms: {ms}\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).await.unwrap();
            assert_eq!(read_status(&mut stream).await, status, "{ms}");
        }
    });
}
