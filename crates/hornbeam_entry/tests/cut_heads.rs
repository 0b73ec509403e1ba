//! Guards against callers getting a success with an empty or short body from a server that stopped in the
//! middle of the head of its response and closed the connection.

mod common;

use std::net::SocketAddr;

use common::{closed_address, connect_entries, core, named_core, read_request, request, run_local};
use hornbeam_entry::core::Reply;
use hornbeam_entry::response::read_response;
use hornbeam_node::memory::MemoryBudget;
use hornbeam_route::RefusalKind;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const ID: &str = "hornbeam-request-id: r1\r\nhornbeam-signature: m\r\n";

/// Heads that differ in how the end of their body is determined, and in their line ends.
fn heads() -> Vec<String> {
    let framings = ["content-length: 5\r\n", "transfer-encoding: chunked\r\n", ""];
    let heads = framings.iter().map(|f| format!("HTTP/1.1 200 OK\r\n{ID}{f}\r\n"));
    let mut heads: Vec<String> = heads.collect();
    heads.push(heads[2].replace("\r\n", "\n"));
    heads.push(format!("HTTP/1.1 100 Continue\r\n\r\n{}", heads[2]));
    heads
}

/// Starts a server that reads each request, sends these bytes and closes the connection.
async fn start_server(bytes: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            if read_request(&mut stream).await.is_some() {
                stream.write_all(bytes.as_bytes()).await.unwrap();
            }
        }
    });
    address
}

fn assert_no_response(reply: Reply, cut: &str) {
    let Reply::Refuse(refusal) = reply else { panic!("answered after {cut:?}") };
    assert_eq!(refusal.kind, RefusalKind::Failed, "{cut:?}");
}

#[tokio::test]
async fn every_cut() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    for head in heads() {
        for length in 0..head.len() {
            let stream = TcpStream::connect(address).await.unwrap();
            let (mut server, _) = listener.accept().await.unwrap();
            server.write_all(&head.as_bytes()[..length]).await.unwrap();
            drop(server);
            let read = read_response(&stream, false, &MemoryBudget::default()).await;
            assert!(read.is_err(), "{:?} is a response: {read:?}", &head[..length]);
        }
    }
}

#[test]
fn plain_request() {
    run_local(async {
        for head in heads() {
            let cut = &head[..head.len() - 2];
            for idempotent in [false, true] {
                let core = core(start_server(cut.to_owned()).await, idempotent);
                assert_no_response(request(&core, "r1").await, cut);
            }
        }
    });
}

#[test]
fn relayed_request() {
    run_local(async {
        let closed = closed_address();
        for head in heads() {
            let cut = &head[..head.len() - 2];
            let origin = named_core("e0", &[closed], false);
            let other = named_core("e1", &[start_server(cut.to_owned()).await], false);
            connect_entries(&origin, &other).await;
            assert_no_response(request(&origin, "r1").await, cut);
        }
    });
}
