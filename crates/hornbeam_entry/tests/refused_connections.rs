//! New connections of an entry that are refused, while the servers run.
//!
//! A server that refuses connections has ended only if another server accepts one.

mod common;

use common::{closed_address, run_local};
use hornbeam_entry::backends::Backends;
use std::time::Duration;
use tokio::net::TcpListener;

#[test]
fn end_needs_witness() {
    run_local(async {
        let [ended, refusing, accepting] = ["s0", "s1", "s2"].map(|name| name.parse().unwrap());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let open = listener.local_addr().unwrap();
        let closed = closed_address();
        let backends = Backends::default();
        let [refusing, accepting] = [(refusing, closed), (accepting, open)];
        assert!(!backends.has_ended(&ended, closed, std::slice::from_ref(&refusing)).await);
        assert!(backends.has_ended(&ended, closed, &[refusing, accepting]).await);
        assert!(backends.has_ended(&ended, closed, &[]).await, "there is no other server");
        assert!(!backends.has_ended(&ended, open, &[]).await);
    });
}

#[test]
fn probe_needs_open_connection() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = "s0".parse().unwrap();
        let backends = Backends::default();
        // The system accepts the connection, and nothing resets it.
        assert!(backends.probe(&server, address).await);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
        });
        tokio::task::yield_now().await;
        assert!(!backends.probe(&server, address).await, "a connection that is reset at once");
    });
}
