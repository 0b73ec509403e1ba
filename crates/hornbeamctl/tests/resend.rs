//! A change whose response is lost is resubmitted with the same change id.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use hornbeam_model::{Change, Revision};
use hornbeamctl::change;
use hornbeamctl::client::{Client, CommandError};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Reads one request; returns its request line and its body.
async fn read_request(stream: &mut TcpStream) -> (String, String) {
    let mut data = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        let length = stream.read(&mut buf).await.unwrap();
        data.extend_from_slice(&buf[..length]);
        let text = String::from_utf8_lossy(&data).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            assert!(length > 0, "the request ends early");
            continue;
        };
        let body_len = head
            .lines()
            .find_map(|l| l.to_lowercase().strip_prefix("content-length: ").map(str::to_owned));
        let body_len: usize = body_len.map_or(0, |l| l.trim().parse().unwrap());
        if body.len() >= body_len {
            return (head.lines().next().unwrap().to_owned(), body.to_owned());
        }
    }
}

async fn reply(stream: &mut TcpStream, status: &str, body: &str) {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\
         connection: close\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
}

/// Starts an instance that replies to changes with `responses` in turn and repeats the last one;
/// `None` closes the connection without a reply. Returns its address and the change ids that it
/// received.
async fn instance(
    responses: Vec<Option<(&'static str, &'static str)>>,
) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let change_ids: Arc<Mutex<Vec<String>>> = Arc::default();
    let received = change_ids.clone();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (line, body) = read_request(&mut stream).await;
            if line.starts_with("GET") {
                reply(&mut stream, "200 OK", "{\"revision\":5}").await;
                continue;
            }
            let body: Value = serde_json::from_str(&body).unwrap();
            let count = {
                let mut change_ids = received.lock().unwrap();
                change_ids.push(body["change_id"].as_str().unwrap().to_owned());
                change_ids.len()
            };
            match responses[(count - 1).min(responses.len() - 1)] {
                Some((status, body)) => reply(&mut stream, status, body).await,
                None => drop(stream),
            }
        }
    });
    (address, change_ids)
}

fn any_change() -> Change {
    Change::RemoveService { name: "planner".parse().unwrap() }
}

#[tokio::test]
async fn lost_response() {
    let unknown = Some(("503 Service Unavailable", "{\"accepted\":\"unknown\"}"));
    let accepted = Some(("200 OK", "{\"revision\":5}"));
    let (address, change_ids) = instance(vec![None, unknown, accepted]).await;
    let client = Client::new(&address.to_string(), None).unwrap();
    change::submit(&client, Revision(4), &any_change()).await.unwrap();
    let change_ids = change_ids.lock().unwrap();
    assert_eq!(change_ids.len(), 3);
    assert!(change_ids.iter().all(|n| *n == change_ids[0]), "{change_ids:?}");
}

#[tokio::test]
async fn conflict_is_final() {
    let conflict = Some(("409 Conflict", "{\"error\":{\"kind\":\"conflict\"},\"revision\":6}"));
    let (address, change_ids) = instance(vec![conflict]).await;
    let client = Client::new(&address.to_string(), None).unwrap();
    let error = change::submit(&client, Revision(4), &any_change()).await.unwrap_err();
    assert!(matches!(error, CommandError::Refused(_)), "{error}");
    assert_eq!(error.exit_code(), 2);
    assert_eq!(change_ids.lock().unwrap().len(), 1);
}

#[tokio::test]
async fn not_reached() {
    let (address, _) = instance(vec![Some(("200 OK", "{\"revision\":5}"))]).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let client = Client::new(&format!("{address},{closed}"), None).unwrap();
    let (texts, unreached) = client.get_all("/v1/config").await.unwrap();
    assert_eq!(texts.len(), 1);
    assert_eq!(unreached, vec![closed], "the unreachable instance is reported");
}
