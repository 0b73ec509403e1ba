//! Guards against passing on a server's 408, 429 or 503 for a request that it ran: callers send such a
//! request again.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;

use common::{closed_address, connect_entries, core, named_core, read_request, request, run_local};
use hornbeam_entry::core::{Core, Reply};
use hornbeam_route::RefusalKind;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Statuses that state that a request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 3] = [408, 429, 503];

/// Starts a server that runs each request and then fails with this status, signed.
async fn start_failing_server(status: u16) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                while let Some(id) = read_request(&mut stream).await {
                    let response = format!(
                        "HTTP/1.1 {status} Failed\r\nhornbeam-request-id: {id}\r\n\
                         hornbeam-signature: m\r\ncontent-length: 5\r\n\r\nsward"
                    );
                    if stream.write_all(response.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// An entry that reaches no server and relays to the entry `other`.
async fn relaying_core(other: Rc<Core>, idempotent: bool) -> Rc<Core> {
    let closed = closed_address();
    let origin = named_core("e0", &[closed], idempotent);
    connect_entries(&origin, &other).await;
    origin
}

fn assert_failed(reply: Reply, status: u16) {
    match reply {
        Reply::Refuse(refusal) => {
            assert_eq!(
                (refusal.kind, refusal.retry_after),
                (RefusalKind::Failed, None),
                "{status}"
            );
        }
        Reply::Forward(response) => {
            panic!("{} is forwarded for a request that ran", response.status)
        }
        Reply::Merged { .. } => panic!("no search"),
    }
}

fn assert_forwarded(reply: Reply, status: u16) {
    let Reply::Forward(response) = reply else { panic!("{status} is not forwarded") };
    assert_eq!((response.status.as_u16(), &response.body[..]), (status, &b"sward"[..]));
    assert_eq!(response.header_by_name("hornbeam-signature"), Some(&b"m"[..]));
}

#[test]
fn plain_request() {
    run_local(async {
        for status in NOT_RUN_STATUSES {
            let core = core(start_failing_server(status).await, false);
            assert_failed(request(&core, "r1").await, status);
        }
    });
}

#[test]
fn relayed_request() {
    run_local(async {
        for status in NOT_RUN_STATUSES {
            let other = named_core("e1", &[start_failing_server(status).await], false);
            let origin = relaying_core(other, false).await;
            assert_failed(request(&origin, "r1").await, status);
        }
    });
}

#[test]
fn idempotent_request() {
    run_local(async {
        for status in NOT_RUN_STATUSES {
            let address = start_failing_server(status).await;
            assert_forwarded(request(&core(address, true), "r1").await, status);
            let origin = relaying_core(named_core("e1", &[address], true), true).await;
            assert_forwarded(request(&origin, "r2").await, status);
        }
    });
}

#[test]
fn other_failure() {
    run_local(async {
        let core = core(start_failing_server(500).await, false);
        assert_forwarded(request(&core, "r1").await, 500);
    });
}
