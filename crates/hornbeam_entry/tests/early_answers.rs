//! Guards against an answer that is not read because its server has stopped reading a long request body.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{connect, core, read_request, response, run_local, table};
use hornbeam_model::Routing;
use hornbeam_route::Input;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// More than the system buffers for a connection.
const BODY_BYTES: usize = 16 << 20;

#[yare::parameterized(keeps_open = { false }, closes = { true })]
fn answer_before_the_body(closes: bool) {
    run_local(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let core = core(listener.local_addr().unwrap(), false);
        let mut limits = Routing::clone(&table(false));
        limits.version.0 = 2;
        limits.limits.max_body_bytes = u32::MAX;
        core.step(Input::Table(Arc::new(limits)));
        let accepted = Rc::new(Cell::new(0));
        let connections = accepted.clone();
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                connections.set(connections.get() + 1);
                tokio::task::spawn_local(async move {
                    let Some(id) = read_request(&mut stream).await else { return };
                    stream.write_all(response(&id, "early").as_bytes()).await.unwrap();
                    if !closes {
                        // Reads no further for as long as the test lasts.
                        tokio::time::sleep(Duration::from_secs(60)).await;
                    }
                });
            }
        });
        for id in ["r1", "r2"] {
            let mut stream = connect(&core).await;
            let head = format!(
                "POST /lookup/1 HTTP/1.1\r\nhost: plots.example\r\nhornbeam-request-id: {id}\r\n\
                 content-length: {BODY_BYTES}\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&vec![b'x'; BODY_BYTES]).await.unwrap();
            let sent_at = Instant::now();
            let mut line = [0; 12];
            stream.read_exact(&mut line).await.unwrap();
            // A server that closes with bytes unread resets the connection, and its answer may be lost.
            let expected: &[&[u8]] = if closes { &[b"200", b"502"] } else { &[b"200"] };
            assert!(expected.contains(&&line[9..]), "{}", String::from_utf8_lossy(&line));
            assert!(sent_at.elapsed() < Duration::from_millis(800));
        }
        assert_eq!(accepted.get(), 2, "the rest of a body is due on the first connection");
    });
}
