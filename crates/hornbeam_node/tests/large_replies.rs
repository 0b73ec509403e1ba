//! Guards against replies of many servers that together take more memory than an instance has, and against
//! replies whose body is in a content coding that was not asked for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_model::{AttemptId, IndexVersion, QueryId, ShardRanges};
use hornbeam_node::backends::Backends;
use hornbeam_node::clock::Clock;
use hornbeam_query::{Attempt, AttemptKind, AttemptOutcome};
use hornbeam_traffic::ServerIdx;
use serde_json::value::RawValue;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const SERVERS: u64 = 40;
/// A little less than the longest reply.
const REPLY_BYTES: usize = (16 << 20) - 1;
/// What an instance may take with [`SERVERS`] replies of which it holds 128 MB, in kilobytes.
const MAX_MEMORY_KB: u64 = 300 << 10;

/// Starts a server that answers each search with this head, and with a body of this length that repeats `part`.
async fn start_server(head: String, part: &'static [u8], bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let head = head.clone();
            tokio::spawn(async move {
                // The instance may close the connection.
                let _ = answer(stream, &head, part, bytes).await;
            });
        }
    });
    address
}

async fn answer(
    mut stream: TcpStream,
    head: &str,
    part: &[u8],
    bytes: usize,
) -> std::io::Result<()> {
    let mut buf = [0; 4_096];
    let read = stream.read(&mut buf).await?;
    assert!(read > 0);
    stream.write_all(head.as_bytes()).await?;
    let block = part.repeat((64 << 10) / part.len());
    let mut left = bytes;
    while left > 0 {
        let length = left.min(block.len());
        stream.write_all(&block[..length]).await?;
        left -= length;
    }
    stream.shutdown().await
}

fn attempt(clock: Clock, id: u64, address: SocketAddr) -> Attempt {
    Attempt {
        id: AttemptId(id),
        query: QueryId(id),
        request_id: format!("r{id}").parse().unwrap(),
        kind: AttemptKind::Primary,
        server: ServerIdx(id as u32),
        server_id: format!("s{id}").parse().unwrap(),
        address,
        body: Arc::from(RawValue::from_string("{}".to_owned()).unwrap()),
        limit: 10,
        index_version: IndexVersion(1),
        schemas: Vec::new(),
        shards: ShardRanges::default(),
        deadline: clock.now() + Duration::from_secs(6),
        non_idempotent: false,
    }
}

fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn many_large_replies() {
    let clock = Clock::start();
    let (tx, mut results) = mpsc::unbounded_channel();
    let backends = Backends::new(clock, "i1".into(), tx);
    for id in 0..SERVERS {
        let framing = match id % 2 {
            0 => format!("content-length: {REPLY_BYTES}"),
            _ => "connection: close".to_owned(),
        };
        let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n");
        let address = start_server(head, b" ", REPLY_BYTES).await;
        backends.send(attempt(clock, id, address), 2);
    }
    for _ in 0..SERVERS {
        let result = results.recv().await.unwrap();
        assert!(matches!(result.outcome, AttemptOutcome::Unknown), "a body of blanks is no reply");
    }
    let peak = peak_memory_kb();
    println!("{peak} kB at the peak");
    assert!(peak < MAX_MEMORY_KB, "{peak} kB");
}

#[tokio::test(flavor = "multi_thread")]
async fn coded_reply() {
    let clock = Clock::start();
    let (tx, mut results) = mpsc::unbounded_channel();
    let backends = Backends::new(clock, "i1".into(), tx);
    let body: &'static str = "{\"attempt\": \"i1.7\", \"index_version\": 1, \"shards\": []}";
    for (coding, is_reply) in [("", true), ("content-encoding: gzip\r\n", false)] {
        let head = format!("HTTP/1.1 200 OK\r\n{coding}content-length: {}\r\n\r\n", body.len());
        let address = start_server(head, body.as_bytes(), body.len()).await;
        backends.send(attempt(clock, 7, address), 2);
        let outcome = results.recv().await.unwrap().outcome;
        assert_eq!(
            matches!(outcome, AttemptOutcome::Replied(_)),
            is_reply,
            "{coding}: {outcome:?}"
        );
    }
}
