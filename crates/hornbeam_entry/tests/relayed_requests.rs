//! Requests at an entry without servers, which another entry sends.

mod common;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use common::{closed_address, connect_entries, named_core, read_head, request, run_local};
use hornbeam_entry::core::{Core, Reply};
use hornbeam_route::RefusalKind;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Ids of the requests that a server has run.
type Runs = Rc<RefCell<Vec<String>>>;

/// Starts a server that sends this response, after its head line and the id, to each request.
async fn start_server(head: &'static str, fields_and_body: &'static str) -> (SocketAddr, Runs) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Runs::default();
    let seen = runs.clone();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let runs = runs.clone();
            tokio::task::spawn_local(async move {
                while let Some((id, _)) = read_head(&mut stream).await {
                    runs.borrow_mut().push(id.clone());
                    let response =
                        format!("{head}\r\nhornbeam-request-id: {id}\r\n{fields_and_body}");
                    let written = stream.write_all(response.as_bytes()).await;
                    if written.is_err() || fields_and_body.contains("connection: close") {
                        return;
                    }
                }
            });
        }
    });
    (address, seen)
}

/// An entry that reaches no server, and one beside it that reaches the server at `address`.
async fn entries(address: SocketAddr, idempotent: bool) -> (Rc<Core>, Rc<Core>) {
    let origin = named_core("e0", &[closed_address()], idempotent);
    let other = named_core("e1", &[address], idempotent);
    connect_entries(&origin, &other).await;
    (origin, other)
}

const ANSWER: &str = "hornbeam-signature: m\r\nx-plot: 7\r\ncontent-length: 5\r\n\r\nsward";

#[test]
fn whole_response() {
    run_local(async {
        let (server, runs) = start_server("HTTP/1.1 200 OK", ANSWER).await;
        let (origin, _other) = entries(server, false).await;
        let Reply::Forward(response) = request(&origin, "r1").await else { panic!("not served") };
        assert_eq!((response.status.as_u16(), &response.body[..]), (200, &b"sward"[..]));
        assert_eq!(response.header_by_name("x-plot"), Some(&b"7"[..]));
        assert_eq!(response.header_by_name("hornbeam-signature"), Some(&b"m"[..]));
        assert_eq!(*runs.borrow(), ["r1"], "it runs once, under its own id");
    });
}

#[test]
fn error_response() {
    run_local(async {
        let (server, _) = start_server("HTTP/1.1 500 Internal Server Error", ANSWER).await;
        let (origin, _other) = entries(server, false).await;
        let Reply::Forward(response) = request(&origin, "r1").await else {
            panic!("not forwarded")
        };
        assert_eq!((response.status.as_u16(), &response.body[..]), (500, &b"sward"[..]));
    });
}

#[test]
fn refusal_has_not_run() {
    run_local(async {
        // The server sheds the request, and so does not run it.
        let shed = "hornbeam-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        let (server, _) = start_server("HTTP/1.1 503 Service Unavailable", shed).await;
        let (origin, _other) = entries(server, false).await;
        let Reply::Refuse(refusal) = request(&origin, "r1").await else { panic!("not refused") };
        assert!(refusal.kind.has_not_run() && refusal.retry_after.is_some(), "{refusal:?}");
    });
}

#[test]
fn broken_response() {
    run_local(async {
        // The response ends early: the request has run, and no part of the response is passed on.
        let broken = "hornbeam-signature: m\r\ncontent-length: 50\r\nconnection: close\r\n\r\nsw";
        let (server, runs) = start_server("HTTP/1.1 200 OK", broken).await;
        let (origin, _other) = entries(server, false).await;
        let reply = tokio::time::timeout(std::time::Duration::from_secs(5), request(&origin, "r1"));
        let Reply::Refuse(refusal) = reply.await.unwrap() else { panic!("not refused") };
        assert!(!refusal.kind.has_not_run(), "{refusal:?}");
        assert_eq!(*runs.borrow(), ["r1"], "it is not sent again");
    });
}

#[test]
fn no_entry_with_servers() {
    run_local(async {
        let (origin, _other) = entries(closed_address(), true).await;
        let Reply::Refuse(refusal) = request(&origin, "r1").await else { panic!("not refused") };
        assert_eq!(refusal.kind, RefusalKind::NoServer);
    });
}
