//! Guards against HEAD requests that wait for a body until their deadline, or whose response states the length 0.

mod common;

use common::{connect, core, read_request, run_local};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

#[test]
fn length_of_the_body() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let core = core(listener.local_addr().unwrap(), true);
        tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            while let Some(id) = read_request(&mut stream).await {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nhornbeam-request-id: {id}\r\nhornbeam-signature: m\r\n\
                     content-length: 2500\r\n\r\n"
                );
                stream.write_all(head.as_bytes()).await.unwrap();
            }
        });
        let mut stream = connect(&core).await;
        for id in ["r1", "r2"] {
            let request = format!(
                "HEAD /lookup/1 HTTP/1.1\r\nhost: plots.example\r\nhornbeam-request-id: {id}\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).await.unwrap();
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.unwrap());
            }
            let head = String::from_utf8(head).unwrap();
            assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
            assert!(head.contains("content-length: 2500\r\n"), "{head}");
        }
    });
}
