//! Requests that end each server that runs them, and requests beside them.

mod common;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hornbeam_entry::core::Reply;
use hornbeam_route::RefusalKind;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use common::{core_of, read_head, request_path, response, run_local};

const SERVERS: usize = 12;
const REPEATS: usize = 10;
/// Servers that the request may end: the third is followed by three sends at most.
const MAX_ENDED: usize = 6;
const CRASHING: &str = "/lookup/crash";
const SOUND: &str = "/lookup/sound";
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// Time for which a server works on a request.
const WORK: Duration = Duration::from_millis(10);

/// Starts a server that ends, with its connections and its listener, when it runs a crashing request.
async fn start_server(ended: Rc<Cell<usize>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        let end = Rc::new(Notify::new());
        let connections = Rc::new(RefCell::new(Vec::new()));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = end.notified() => break,
            };
            let (mut stream, _) = accepted.unwrap();
            let end = end.clone();
            let task = tokio::task::spawn_local(async move {
                while let Some((id, head)) = read_head(&mut stream).await {
                    tokio::time::sleep(WORK).await;
                    if head.contains(CRASHING) {
                        return end.notify_one();
                    }
                    stream.write_all(response(&id, "x").as_bytes()).await.unwrap();
                }
            });
            connections.borrow_mut().push(task);
        }
        ended.set(ended.get() + 1);
        connections.take().iter().for_each(|c| c.abort());
    });
    address
}

async fn start_servers(ended: &Rc<Cell<usize>>) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for _ in 0..SERVERS {
        addresses.push(start_server(ended.clone()).await);
    }
    addresses
}

/// Each repeat of the request would end another server, until none is left.
#[test]
fn repeats_end_servers() {
    run_local(async {
        let ended = Rc::new(Cell::new(0));
        let core = core_of(&start_servers(&ended).await, false);
        for i in 0..REPEATS {
            request_path(&core, &format!("c{i}"), CRASHING).await;
            tokio::time::sleep(PAUSE).await;
        }
        assert!(ended.get() <= MAX_ENDED, "{} of {SERVERS} servers ended", ended.get());
        let reply = request_path(&core, "s", SOUND).await;
        assert!(matches!(reply, Reply::Forward(_)), "{reply:?}");
    });
}

/// Repeats come from other addresses, and each has a parameter of its own.
#[test]
fn changing_parameter() {
    run_local(async {
        let ended = Rc::new(Cell::new(0));
        let core = core_of(&start_servers(&ended).await, false);
        for i in 0..REPEATS {
            request_path(&core, &format!("c{i}"), &format!("{CRASHING}?try={i}")).await;
            tokio::time::sleep(PAUSE).await;
        }
        assert!(ended.get() <= MAX_ENDED, "{} of {SERVERS} servers ended", ended.get());
    });
}

/// Requests in flight beside the crashing one are lost with their servers, but are not quarantined.
#[test]
fn innocent_requests() {
    run_local(async {
        let ended = Rc::new(Cell::new(0));
        let core = core_of(&start_servers(&ended).await, true);
        for i in 0..REPEATS {
            let crashing = core.clone();
            tokio::task::spawn_local(async move {
                request_path(&crashing, &format!("c{i}"), CRASHING).await
            });
            for beside in 0..2 {
                let core = core.clone();
                let id = format!("b{i}-{beside}");
                tokio::task::spawn_local(async move { request_path(&core, &id, SOUND).await });
            }
            tokio::time::sleep(PAUSE).await;
        }
        for i in 0..5 {
            let reply = request_path(&core, &format!("s{i}"), SOUND).await;
            assert!(matches!(reply, Reply::Forward(_)), "{reply:?}");
        }
        let reply = request_path(&core, "c", CRASHING).await;
        let Reply::Refuse(refusal) = reply else { panic!("{reply:?}") };
        assert_eq!(refusal.kind, RefusalKind::Quarantined);
    });
}
