//! A server that never finishes its response.

mod common;

use std::time::Duration;

use hornbeam_entry::core::run_timer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use common::{core, read_request, request, run_local};

/// Longest time after the caller's deadline, which is a second, until the connection is closed.
const MAX_OPEN: Duration = Duration::from_secs(8);

/// A request that must not run twice is not aborted while its server may work on it. The caller has
/// its answer at the deadline, and the connection is closed some time later.
#[yare::parameterized(
    silent = { false },
    dripping = { true },
)]
fn never_finished(drips: bool) {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let core = core(listener.local_addr().unwrap(), false);
        let (closed, is_closed) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_request(&mut stream).await;
            let head = "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n";
            stream.write_all(head.as_bytes()).await.unwrap();
            let mut byte = [0];
            while drips && stream.write_all(b"x").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            while !drips && stream.read(&mut byte).await.is_ok_and(|n| n > 0) {}
            let _ = closed.send(());
        });
        tokio::task::spawn_local(run_timer(core.clone()));
        request(&core, "a").await;
        let result = tokio::time::timeout(MAX_OPEN, is_closed).await;
        assert!(result.is_ok(), "the connection is still open");
    });
}
