//! Reads responses from a socket: every framing, truncated and malformed responses.

use std::time::Duration;

use hornbeam_entry::response::{RawResponse, read_response};
use hornbeam_node::memory::MemoryBudget;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// What the server does with the connection after its last bytes.
#[derive(Clone, Copy)]
enum AfterSend {
    Close,
    Reset,
    KeepOpen,
}

async fn read(parts: &[&str], after: AfterSend) -> std::io::Result<RawResponse> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let parts: Vec<String> = parts.iter().map(|p| (*p).to_owned()).collect();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.set_nodelay(true).unwrap();
        for part in parts {
            stream.write_all(part.as_bytes()).await.unwrap();
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        match after {
            AfterSend::Close => drop(stream),
            AfterSend::Reset => {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            AfterSend::KeepOpen => tokio::time::sleep(Duration::from_secs(2)).await,
        }
    });
    let stream = TcpStream::connect(address).await.unwrap();
    let response = tokio::time::timeout(
        Duration::from_secs(1),
        read_response(&stream, false, &MemoryBudget::default()),
    )
    .await;
    server.abort();
    response.expect("the read ends within a second")
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nResponse-Mark: m1\r\n";

#[tokio::test]
async fn content_length_body() {
    let parts = [HEAD, "Content-Length: 5\r\n\r\nhe", "llo"];
    let response = read(&parts, AfterSend::KeepOpen).await.unwrap();
    assert_eq!((&response.body[..], response.reusable), (&b"hello"[..], true));
    assert_eq!(response.header_by_name("response-mark"), Some(&b"m1"[..]));
    assert_eq!(response.headers().len(), 2);
}

#[tokio::test]
async fn chunked_body() {
    let parts =
        [HEAD, "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n", "2;x=y\r\nlo\r\n0\r\n\r\n"];
    let response = read(&parts, AfterSend::KeepOpen).await.unwrap();
    assert_eq!((&response.body[..], response.reusable), (&b"hello"[..], true));
}

#[tokio::test]
async fn close_delimited_body() {
    let response = read(&[HEAD, "\r\nhel", "lo"], AfterSend::Close).await.unwrap();
    assert_eq!((&response.body[..], response.reusable), (&b"hello"[..], false));
}

#[tokio::test]
async fn empty_body() {
    let response = read(&["HTTP/1.1 204 No Content\r\n\r\n"], AfterSend::KeepOpen).await.unwrap();
    assert!(response.body.is_empty() && response.reusable);
}

#[tokio::test]
async fn informational_response_skipped() {
    let parts = ["HTTP/1.1 100 Continue\r\n\r\n", HEAD, "Content-Length: 2\r\n\r\nok"];
    let response = read(&parts, AfterSend::KeepOpen).await.unwrap();
    assert_eq!((response.status.as_u16(), &response.body[..]), (200, &b"ok"[..]));
}

#[tokio::test]
async fn unexpected_second_response() {
    let one = format!("{HEAD}Content-Length: 2\r\n\r\nok");
    let response = read(&[&format!("{one}{one}")], AfterSend::KeepOpen).await.unwrap();
    assert_eq!((&response.body[..], response.reusable), (&b"ok"[..], false));
}

#[tokio::test]
async fn truncated_response() {
    for parts in [
        vec![HEAD, "Content-Length: 5\r\n\r\nhell"],
        vec![HEAD, "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n"],
        vec![HEAD],
        vec![],
    ] {
        assert!(read(&parts, AfterSend::Close).await.is_err(), "{parts:?}");
    }
    assert!(
        read(&[HEAD, "\r\nhel"], AfterSend::Reset).await.is_err(),
        "a reset does not complete a body"
    );
}

#[tokio::test]
async fn malformed_response() {
    for text in [
        "\x16\x03\x01 not an HTTP response\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ] {
        assert!(read(&[text], AfterSend::KeepOpen).await.is_err(), "{text:?}");
    }
}

/// A server sends bytes without end until the connection is closed. The read must end by itself, since
/// its time limit may be far away, and hold only so many bytes.
#[yare::parameterized(
    head = { "HTTP/1.1 200 OK\r\nx-", "aaaaaaaaaaaaaaa" },
    fields = { "HTTP/1.1 200 OK\r\n", "x: y\r\n" },
    no_response = { "", "\u{16}\u{3}\u{1}" },
    informational = { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    chunk_extension = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "aaaaaaaaaaaaaaaa" },
    chunk_size = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0" },
    chunks = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\na\r\n" },
    trailers = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x: y\r\n" },
    body = { "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaaaaaaaaaa" }
)]
fn endless_bytes(start: &str, repeated: &str) {
    const MAX_SENT: usize = 64 << 20;
    let (start, repeated) = (start.to_owned(), repeated.repeat(1 << 10));
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.write_all(start.as_bytes()).await.unwrap();
            let mut sent = 0;
            while sent < MAX_SENT && stream.write_all(repeated.as_bytes()).await.is_ok() {
                sent += repeated.len();
            }
            // Keeps the connection open if the reader has not closed it.
            tokio::time::sleep(Duration::from_secs(60)).await;
        });
        let stream = TcpStream::connect(address).await.unwrap();
        let read = tokio::time::timeout(
            Duration::from_secs(20),
            read_response(&stream, false, &MemoryBudget::default()),
        )
        .await;
        server.abort();
        assert!(read.expect("the read ends by itself").is_err());
    });
}

/// A response to HEAD states the length of a body that it does not have.
#[tokio::test]
async fn response_to_head() {
    let text = format!("{HEAD}Content-Length: 5\r\n\r\n");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    server.write_all(text.as_bytes()).await.unwrap();
    let response = tokio::time::timeout(
        Duration::from_secs(1),
        read_response(&stream, true, &MemoryBudget::default()),
    )
    .await;
    let response = response.expect("no body is awaited").unwrap();
    assert!(response.body.is_empty() && response.reusable);
}
