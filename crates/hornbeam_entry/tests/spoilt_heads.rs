//! Guards against callers getting, as a success, a response whose head was spoilt where it determines the body or
//! states whose response it is: the body was cut off, extended or not the server's, or a line that is no header
//! field was passed on.

mod common;

use std::net::SocketAddr;

use common::{
    closed_address, connect_entries, core, merging_core, named_core, read_request, request,
    run_local,
};
use hornbeam_entry::core::Reply;
use hornbeam_route::RefusalKind;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const BODY: &str = "a body of 25 bytes, whole";
const LENGTH: &str = "content-length: 25\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// A response with these lines in its head and these bytes after it.
fn with(lines: &str, rest: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nhornbeam-request-id: r1\r\nhornbeam-signature: m\r\n{lines}\r\n{rest}"
    )
}

/// A response whose chunks are these bytes.
fn chunked(chunks: &str) -> String {
    with(CHUNKED, chunks)
}

fn sound() -> Vec<String> {
    vec![
        with(LENGTH, BODY),
        with("Content-Length:25\r\n", BODY),
        with("content-length: \t25 \r\n", BODY),
        with("content-length: 25\r\ncontent-length: 25\r\n", BODY),
        with("content-length: 0025\r\n", BODY),
        with("", BODY),
        chunked(&format!("19\r\n{BODY}\r\n0\r\n\r\n")),
        chunked(&format!("0019 ; a=\"b\"\r\n{BODY}\r\n0\r\n\r\n")),
        chunked(&format!("19\r\n{BODY}\r\n000\r\nchecksum: 7\r\n\r\n")),
        with("Transfer-Encoding: Chunked\r\n", &format!("19\r\n{BODY}\r\n0\r\n\r\n")),
        with(&(LENGTH.to_owned() + &"x: y\r\n".repeat(200)), BODY),
        format!("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n{}", with(LENGTH, BODY)),
        with(LENGTH, BODY).replace("HTTP/1.1 200 OK", "HTTP/1.0 200 "),
        with(&format!("hornbeam-signature: m\r\n{LENGTH}"), BODY),
        // A late second response to the request before.
        with(LENGTH, &format!("{BODY}HTTP/1.1 200 OK\r\n")),
    ]
}

fn spoilt() -> Vec<String> {
    let lengths = [
        "",
        "+25",
        "-25",
        "25.0",
        "2 5",
        "25a",
        "0x19",
        "25,25",
        "25, 25",
        "1",
        "24",
        "26",
        "twenty",
        "18446744073709551641",
        "99999999999999999999999",
        "0",
        "\u{661}\u{662}",
        "25;",
        "\"25\"",
    ];
    let lengths = lengths.map(|length| with(&format!("content-length: {length}\r\n"), BODY));
    let codings = [
        "gzip",
        "chunked, gzip",
        "gzip, chunked",
        "chunked, chunked",
        "chunke",
        "",
        "identity",
        "chunked;q=1",
    ];
    let one_chunk = format!("19\r\n{BODY}\r\n0\r\n\r\n");
    let codings =
        codings.map(|coding| with(&format!("transfer-encoding: {coding}\r\n"), &one_chunk));
    let sizes = [
        "",
        "+19",
        "-19",
        "0x19",
        " 19",
        "19h",
        "1 9",
        ";x",
        "18",
        "1a",
        "0",
        "10000000000000019",
        "FFFFFFFFFFFFFFFF",
        "19 x",
        "19;\u{7}",
    ];
    let sizes = sizes.map(|size| chunked(&format!("{size}\r\n{BODY}\r\n0\r\n\r\n")));
    let lines = [
        "no field",
        "content-length 25",
        ": no name",
        "na me: x",
        "name : x",
        " folded: x",
        "na\tme: x",
        "na\u{1}me: x",
        "na\u{7f}me: x",
        "name: x\u{0}y",
        "name: x\u{b}y",
        "na(me): x",
        "na\u{e4}me: x",
        "name: x\ry",
    ];
    let lines = lines.map(|line| with(&format!("{line}\r\n{LENGTH}"), BODY));
    let status = |line: &str| with(LENGTH, BODY).replace("HTTP/1.1 200 OK", line);
    let statuses = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 2e2 OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1200 OK",
        "HTTP/1.1 101 OK",
        "HTTP/1.1 204 OK",
        "HTTP/1.1 205 OK",
        "HTTP/1.1 206 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1.2 200 OK",
        "http/1.1 200 OK",
        "HTTP/11 200 OK",
        "ICY 200 OK",
        "\r\nHTTP/1.1 200 OK",
        "HTTP/1.1 200 O\u{1}K",
        "HTTP/1.1\t200 OK",
    ];
    let statuses = statuses.map(status);
    let others = [
        with("content-length: 25\r\ncontent-length: 24\r\n", BODY),
        with(&format!("{LENGTH}{CHUNKED}"), &one_chunk),
        with(&format!("{CHUNKED}{CHUNKED}"), &one_chunk),
        with(CHUNKED, &one_chunk).replace("HTTP/1.1", "HTTP/1.0"),
        with(&format!("content-encoding: gzip\r\n{LENGTH}"), BODY),
        with(&format!("Content-Encoding: identity\r\n{LENGTH}"), BODY),
        with(&format!("content-encoding:\r\n{LENGTH}"), BODY),
        with(LENGTH, BODY).replace("\r\n", "\n"),
        with(LENGTH, BODY).replace("m\r\n", "m\n"),
        with(LENGTH, BODY).replace("signature: m\r\n", "signature: m\r\n\n"),
        with(LENGTH, &format!("{BODY}\r\n")),
        with(LENGTH, &format!("{BODY} and more")),
        with(LENGTH, BODY).replace("signature: m", "signature:"),
        with(LENGTH, BODY).replace("signature: m\r\n", "signature: m\r\nhornbeam-signature: n\r\n"),
        with(&format!("hornbeam-request-id: r0\r\n{LENGTH}"), BODY),
        chunked(&format!("19\n{BODY}\r\n0\r\n\r\n")),
        chunked(&format!("19\r\n{BODY}\n0\r\n\r\n")),
        chunked(&format!("19\r\n{BODY}\r\n0\r\nno field\r\n\r\n")),
        chunked(&format!("19\r\n{BODY}\r\n0\r\n\r\nmore")),
        chunked(&format!("19\r\n{BODY}\r\n0\r\n")),
        chunked(&format!("19\r\n{BODY}\r\n")),
        chunked("\r\n\r\n"),
        chunked(";x\r\n\r\n"),
        with(&"x: y\r\n".repeat(2_000), BODY),
    ];
    let all = lengths.into_iter().chain(codings).chain(sizes).chain(lines).chain(statuses);
    all.chain(others).collect()
}

/// Starts a server that reads each request, sends these bytes and closes the connection.
async fn start_server(bytes: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let bytes = bytes.to_owned();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            if read_request(&mut stream).await.is_some() {
                // The entry may have closed the connection already.
                let _ = stream.write_all(bytes.as_bytes()).await;
                let _: std::io::Result<()> = close(stream).await;
            }
        }
    });
    address
}

async fn close(mut stream: TcpStream) -> std::io::Result<()> {
    stream.shutdown().await
}

/// Returns the responses after which `ask` does not end with the expected result.
async fn exceptions(
    responses: Vec<String>,
    ask: impl AsyncFn(&str) -> Reply,
    served: bool,
) -> Vec<String> {
    let mut exceptions = Vec::new();
    for response in responses {
        let reply = ask(&response).await;
        let as_expected = match reply {
            Reply::Forward(forwarded) => served && forwarded.body == BODY.as_bytes(),
            Reply::Merged { body, missing, .. } => {
                served && missing == 0 && body == BODY.as_bytes()[..16]
            }
            Reply::Refuse(refusal) => !served && refusal.kind == RefusalKind::Failed,
        };
        if !as_expected {
            exceptions.push(response);
        }
    }
    exceptions
}

async fn ask_plain(response: &str) -> Reply {
    request(&core(start_server(response).await, false), "r1").await
}

/// The first attempt and its retry, at another server, end in the same way.
async fn ask_again(response: &str) -> Reply {
    let servers = [start_server(response).await, start_server(response).await];
    request(&named_core("e0", &servers, true), "r1").await
}

async fn ask_merged(response: &str) -> Reply {
    request(&merging_core("e0", start_server(response).await), "r1").await
}

async fn ask_relayed(response: &str) -> Reply {
    let closed = closed_address();
    let origin = named_core("e0", &[closed], false);
    let other = named_core("e1", &[start_server(response).await], false);
    connect_entries(&origin, &other).await;
    request(&origin, "r1").await
}

async fn ask_gathered(response: &str) -> Reply {
    let closed = closed_address();
    let origin = merging_core("e0", closed);
    let other = merging_core("e1", start_server(response).await);
    connect_entries(&origin, &other).await;
    request(&origin, "r1").await
}

fn assert_kept_out(ask: impl AsyncFn(&str) -> Reply) {
    run_local(async {
        let served = exceptions(spoilt(), &ask, false).await;
        assert!(served.is_empty(), "{} of {}: {served:#?}", served.len(), spoilt().len());
        let refused = exceptions(sound(), &ask, true).await;
        assert!(refused.is_empty(), "{} of {}: {refused:#?}", refused.len(), sound().len());
    });
}

#[test]
fn plain_request() {
    assert_kept_out(ask_plain);
}

#[test]
fn repeated_request() {
    assert_kept_out(ask_again);
}

#[test]
fn merged_request() {
    assert_kept_out(ask_merged);
}

#[test]
fn relayed_request() {
    assert_kept_out(ask_relayed);
}

#[test]
fn gathered_request() {
    assert_kept_out(ask_gathered);
}

/// A signature stands in a list with those of other shards.
#[test]
fn divided_signature() {
    run_local(async {
        for signature in ["m,n", "m, n", "m n", ","] {
            let line = format!("signature: {signature}\r\n");
            let response = with(LENGTH, BODY).replace("signature: m\r\n", &line);
            for reply in [ask_merged(&response).await, ask_gathered(&response).await] {
                assert!(matches!(reply, Reply::Refuse(_)), "{signature:?}: {reply:?}");
            }
            let reply = ask_plain(&response).await;
            assert!(matches!(reply, Reply::Forward(_)), "{signature:?}: {reply:?}");
        }
    });
}
