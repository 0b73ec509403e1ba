//! Memory that is shared by all messages: who waits, who is refused, and that everything is returned.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use common::{
    closed_address, connect, connect_entries, core_with_memory, read_request, request, run_local,
    servers, table,
};
use hornbeam_entry::core::{Core, Reply};
use hornbeam_model::Routing;
use hornbeam_node::memory::{MemoryBudget, SMALL_BYTES, UNRESERVED_BYTES};
use hornbeam_route::Input;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const MIB: usize = 1 << 20;

/// A server that answers each request with a body of this length.
async fn start_server(bytes: usize, chunked: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                while let Some(id) = read_request(&mut stream).await {
                    let framing = match chunked {
                        true => "transfer-encoding: chunked".to_owned(),
                        false => format!("content-length: {bytes}"),
                    };
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nhornbeam-request-id: {id}\r\n\
                         hornbeam-signature: m\r\n{framing}\r\n\r\n"
                    );
                    let mut response = head.into_bytes();
                    if chunked {
                        response.extend_from_slice(format!("{bytes:x}\r\n").as_bytes());
                    }
                    response.resize(response.len() + bytes, b'x');
                    if chunked {
                        response.extend_from_slice(b"\r\n0\r\n\r\n");
                    }
                    if stream.write_all(&response).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn entry(name: &str, address: SocketAddr, memory: &MemoryBudget, idempotent: bool) -> Rc<Core> {
    let core = core_with_memory(name, memory.clone());
    core.step(Input::EntryCount(1));
    core.step(Input::Table(Arc::new(table(idempotent))));
    core.step(Input::Servers(servers(&[address])));
    core
}

#[test]
fn parts_of_the_budget() {
    let memory = MemoryBudget::new(4 * SMALL_BYTES);
    let mut large = memory.reservation();
    assert!(large.try_extend(3 * SMALL_BYTES), "three quarters");
    assert!(!large.try_extend(3 * SMALL_BYTES + UNRESERVED_BYTES + 1));
    assert!(!memory.reservation().try_extend(SMALL_BYTES + 1), "another large message");
    let mut small = memory.reservation();
    assert!(small.try_extend(SMALL_BYTES), "the last quarter is for small ones");
    let mut first_read = memory.reservation();
    assert!(first_read.try_extend(UNRESERVED_BYTES), "a first read always has room");
    drop((large, small));
    assert_eq!(memory.used(), 0);
    let held = memory.hold(vec![0; MIB]);
    assert!(memory.used() > 4 * SMALL_BYTES, "what is in memory counts in any case");
    let part = held.slice(7..8);
    drop(held);
    assert!(memory.used() > 0, "a part keeps all of it");
    drop(part);
    assert_eq!(memory.used(), 0);
}

#[yare::parameterized(with_length = { false }, in_chunks = { true })]
fn large_answers_take_turns(chunked: bool) {
    run_local(async move {
        let memory = MemoryBudget::new(12 * MIB);
        let core = entry("e0", start_server(7 * MIB, chunked).await, &memory, true);
        let ask = |n: usize| {
            let (core, memory) = (core.clone(), memory.clone());
            tokio::task::spawn_local(async move {
                let reply = request(&core, &format!("r{n}")).await;
                assert!(memory.used() <= 12 * MIB);
                matches!(reply, Reply::Forward(f) if f.body.len() == 7 * MIB)
            })
        };
        let tasks: Vec<_> = (0..4).map(ask).collect();
        for task in tasks {
            assert!(task.await.unwrap(), "each is served once there is room");
        }
        assert_eq!(memory.used(), 0);
    });
}

/// An answer for which there never is room does not wait for it.
#[test]
fn longer_than_the_budget() {
    run_local(async {
        let memory = MemoryBudget::new(2 * MIB);
        for chunked in [false, true] {
            let core = entry("e0", start_server(7 * MIB, chunked).await, &memory, false);
            assert!(matches!(request(&core, "r1").await, Reply::Refuse(_)), "chunked {chunked}");
            assert_eq!(memory.used(), 0);
        }
    });
}

#[test]
fn relayed_answers() {
    run_local(async {
        let closed = closed_address();
        let (memory, others) = (MemoryBudget::new(24 * MIB), MemoryBudget::new(24 * MIB));
        let origin = entry("e0", closed, &memory, true);
        let other = entry("e1", start_server(7 * MIB, false).await, &others, true);
        connect_entries(&origin, &other).await;
        let ask = |n: usize| {
            let core = origin.clone();
            tokio::task::spawn_local(async move { request(&core, &format!("r{n}")).await })
        };
        let tasks: Vec<_> = (0..3).map(ask).collect();
        for task in tasks {
            let reply = task.await.unwrap();
            assert!(matches!(reply, Reply::Forward(f) if f.body.len() == 7 * MIB));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!((memory.used(), others.used()), (0, 0));
    });
}

/// A request whose body has no room is refused as not run, and the next one is served.
#[yare::parameterized(with_length = { false }, in_chunks = { true })]
fn request_bodies(chunked: bool) {
    run_local(async move {
        let memory = MemoryBudget::new(MIB);
        let core = entry("e0", start_server(5, false).await, &memory, false);
        let mut table = Routing::clone(&table(false));
        table.version.0 = 2;
        table.limits.max_body_bytes = u32::MAX;
        core.step(Input::Table(Arc::new(table)));
        for (id, bytes, status) in [("r1", 2 * MIB, "503"), ("r2", 300 << 10, "200")] {
            let mut stream = connect(&core).await;
            let mut request = format!(
                "POST /lookup/1 HTTP/1.1\r\nhost: plots.example\r\nhornbeam-request-id: {id}\r\n"
            );
            request += &match chunked {
                true => format!("transfer-encoding: chunked\r\n\r\n{bytes:x}\r\n"),
                false => format!("content-length: {bytes}\r\n\r\n"),
            };
            let mut request = request.into_bytes();
            request.resize(request.len() + bytes, b'x');
            if chunked {
                request.extend_from_slice(b"\r\n0\r\n\r\n");
            }
            let (mut read, mut write) = stream.split();
            let mut line = [0; 12];
            // The entry may close the connection before it has read the body.
            let (_, answered) = tokio::join!(write.write_all(&request), read.read_exact(&mut line));
            answered.unwrap();
            assert_eq!(std::str::from_utf8(&line[9..]).unwrap(), status, "{id}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(memory.used(), 0);
    });
}
