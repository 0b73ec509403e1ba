//! Guards against a server whose keep-alive timeout is so long that adding it to the time panics: its
//! response was lost, and its attempt stayed in flight.

mod common;

use std::time::Duration;

use common::{core, read_request, request, run_local};
use hornbeam_entry::core::Reply;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

#[yare::parameterized(
    seconds_of_u64 = { "18446744073709551615" },
    seconds_of_i64 = { "9223372036854775807" },
    beyond_u64 = { "99999999999999999999" },
)]
fn long_timeout(seconds: &str) {
    let fields = format!("hornbeam-signature: m\r\nkeep-alive: timeout={seconds}\r\n");
    run_local(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let core = core(listener.local_addr().unwrap(), false);
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                while let Some(id) = read_request(&mut stream).await {
                    let response = format!(
                        "HTTP/1.1 200 OK\r\nhornbeam-request-id: {id}\r\n{fields}\
                         content-length: 5\r\n\r\nsward"
                    );
                    stream.write_all(response.as_bytes()).await.unwrap();
                }
            }
        });
        for id in ["r1", "r2"] {
            let reply = tokio::time::timeout(Duration::from_secs(3), request(&core, id)).await;
            assert!(matches!(reply, Ok(Reply::Forward(_))), "{id}: {reply:?}");
        }
    });
}
