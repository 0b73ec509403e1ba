//! Answers of servers as they come off a socket: framings, and what is no answer.

use std::time::Duration;

use hornbeam_entry::response::{RawResponse, read_response};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// How the server goes on after its bytes.
#[derive(Clone, Copy)]
enum Then {
    Close,
    Reset,
    Stay,
}

async fn read(parts: &[&str], then: Then) -> std::io::Result<RawResponse> {
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
        match then {
            Then::Close => drop(stream),
            Then::Reset => {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            Then::Stay => tokio::time::sleep(Duration::from_secs(2)).await,
        }
    });
    let stream = TcpStream::connect(address).await.unwrap();
    let answer = tokio::time::timeout(Duration::from_secs(1), read_response(&stream)).await;
    server.abort();
    answer.expect("it ends")
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nResponse-Mark: m1\r\n";

#[tokio::test]
async fn whole_by_length() {
    let parts = [HEAD, "Content-Length: 5\r\n\r\nhe", "llo"];
    let answer = read(&parts, Then::Stay).await.unwrap();
    assert_eq!((&answer.body[..], answer.reusable), (&b"hello"[..], true));
    assert_eq!(answer.find("response-mark"), Some(&b"m1"[..]));
    assert_eq!(answer.headers().len(), 2);
}

#[tokio::test]
async fn whole_by_chunks() {
    let parts =
        [HEAD, "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n", "2;x=y\r\nlo\r\n0\r\n\r\n"];
    let answer = read(&parts, Then::Stay).await.unwrap();
    assert_eq!((&answer.body[..], answer.reusable), (&b"hello"[..], true));
}

#[tokio::test]
async fn whole_by_close() {
    let answer = read(&[HEAD, "\r\nhel", "lo"], Then::Close).await.unwrap();
    assert_eq!((&answer.body[..], answer.reusable), (&b"hello"[..], false));
}

#[tokio::test]
async fn without_body() {
    let answer = read(&["HTTP/1.1 204 No Content\r\n\r\n"], Then::Stay).await.unwrap();
    assert!(answer.body.is_empty() && answer.reusable);
}

#[tokio::test]
async fn interim_answer_first() {
    let parts = ["HTTP/1.1 100 Continue\r\n\r\n", HEAD, "Content-Length: 2\r\n\r\nok"];
    let answer = read(&parts, Then::Stay).await.unwrap();
    assert_eq!((answer.status.as_u16(), &answer.body[..]), (200, &b"ok"[..]));
}

#[tokio::test]
async fn second_answer_behind() {
    let one = format!("{HEAD}Content-Length: 2\r\n\r\nok");
    let answer = read(&[&format!("{one}{one}")], Then::Stay).await.unwrap();
    assert_eq!((&answer.body[..], answer.reusable), (&b"ok"[..], false));
}

#[tokio::test]
async fn cut_short() {
    for parts in [
        vec![HEAD, "Content-Length: 5\r\n\r\nhell"],
        vec![HEAD, "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n"],
        vec![HEAD],
        vec![],
    ] {
        assert!(read(&parts, Then::Close).await.is_err(), "{parts:?}");
    }
    assert!(read(&[HEAD, "\r\nhel"], Then::Reset).await.is_err(), "a reset is no end");
}

#[tokio::test]
async fn no_answers() {
    for text in [
        "\x16\x03\x01 no answer at all\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ] {
        assert!(read(&[text], Then::Stay).await.is_err(), "{text:?}");
    }
}
