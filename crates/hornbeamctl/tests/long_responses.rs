//! Guards against a response without end that takes all memory of the operator's machine, and against one in a
//! content coding that was not asked for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hornbeamctl::client::{Client, CommandError};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const MAX_SENT: usize = 1 << 30;

/// Starts an instance that answers with this head, and then with `part` again and again. Returns its address and
/// how many bytes of the body it has sent.
async fn instance(
    head: &'static str,
    part: &'static [u8],
    max: usize,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4_096];
            let read = stream.read(&mut buf).await.unwrap();
            assert!(read > 0);
            stream.write_all(head.as_bytes()).await.unwrap();
            while counter.load(Ordering::Relaxed) < max && stream.write_all(part).await.is_ok() {
                counter.fetch_add(part.len(), Ordering::Relaxed);
            }
        }
    });
    (address, sent)
}

async fn get(address: SocketAddr) -> Result<Value, CommandError> {
    let client = Client::new(&address.to_string(), None).unwrap();
    let get = tokio::time::timeout(Duration::from_secs(9), client.get("/v1/config"));
    get.await.expect("the command ends by itself")
}

#[tokio::test]
async fn endless_body() {
    static BLANKS: [u8; 1 << 16] = [b' '; 1 << 16];
    let (address, sent) = instance("HTTP/1.1 200 OK\r\n\r\n", &BLANKS, MAX_SENT).await;
    assert!(get(address).await.is_err());
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < MAX_SENT / 4, "the client has read {sent} bytes");
}

#[tokio::test]
async fn coded_body() {
    let head = "HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\ncontent-length: 2\r\n\r\n";
    assert!(get(instance(head, b"{}", 2).await.0).await.is_err());
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n";
    assert!(get(instance(head, b"{}", 2).await.0).await.is_ok());
}
