//! New connections of an entry that are refused, while the servers run.
//!
//! A server that refuses connections has ended only if another server accepts one.

mod common;

use common::run_local;
use hornbeam_entry::backends::Backends;
use tokio::net::TcpListener;

#[test]
fn end_needs_witness() {
    run_local(async {
        let [ended, refusing, accepting] = ["s0", "s1", "s2"].map(|name| name.parse().unwrap());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let open = listener.local_addr().unwrap();
        let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let backends = Backends::default();
        assert!(backends.has_ended(&ended, closed, Some((accepting, open))).await);
        assert!(!backends.has_ended(&ended, closed, Some((refusing, closed))).await);
        assert!(backends.has_ended(&ended, closed, None).await, "there is no other server");
        assert!(!backends.has_ended(&ended, open, None).await);
    });
}
