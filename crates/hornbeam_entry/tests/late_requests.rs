//! Guards against requests that an entry reads after it has ended all others, shortly before it exits: they
//! were passed on to a server and then cut without an answer.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use common::{connect_caller, core, read_request, request, response, run_local};
use hornbeam_entry::core::{Core, Reply};
use hornbeam_entry::front::Stage;
use hornbeam_route::Input;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A core whose only server answers each request and counts them.
async fn serving_core() -> (Rc<Core>, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let core = core(listener.local_addr().unwrap(), false);
    let runs = Rc::new(Cell::new(0));
    let seen = runs.clone();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            while let Some(id) = read_request(&mut stream).await {
                seen.set(seen.get() + 1);
                stream.write_all(response(&id, "sward").as_bytes()).await.unwrap();
            }
        }
    });
    (core, runs)
}

const HEAD: &str = "POST /lookup/1 HTTP/1.1\r\nhost: plots.example\r\nhornbeam-request-id: r1\r\n\
                    content-length: 10\r\n\r\nsward";

/// Reads everything up to the end of the connection, without the case of the header names.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut answer = String::new();
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read_to_string(&mut answer));
    read.await.expect("the connection ends").unwrap();
    answer.to_ascii_lowercase()
}

fn assert_refused(answer: &str) {
    assert!(answer.starts_with("http/1.1 503 "), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
}

#[test]
fn after_stop() {
    run_local(async {
        let (core, runs) = serving_core().await;
        core.step(Input::Stop);
        let Reply::Refuse(refusal) = request(&core, "r1").await else { panic!("not refused") };
        assert!(refusal.kind.has_not_run() && refusal.retry_after.is_some(), "{refusal:?}");
        assert_eq!(runs.get(), 0);
    });
}

#[test]
fn read_after_stop() {
    run_local(async {
        let (core, runs) = serving_core().await;
        let (mut stream, stage) = connect_caller(&core, Stage::Draining).await;
        stream.write_all(HEAD.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        stage.send_replace(Stage::Closing);
        core.step(Input::Stop);
        stream.write_all(b"sward").await.unwrap();
        assert_refused(&read_to_end(&mut stream).await);
        assert_eq!(runs.get(), 0, "it is not passed on");
    });
}

#[test]
fn unread_at_stop() {
    run_local(async {
        let (core, runs) = serving_core().await;
        let (mut stream, stage) = connect_caller(&core, Stage::Draining).await;
        stream.write_all(HEAD.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        stage.send_replace(Stage::Closing);
        core.step(Input::Stop);
        stage.send_replace(Stage::Stopped);
        // The rest of the body never comes.
        assert_refused(&read_to_end(&mut stream).await);
        assert_eq!(runs.get(), 0, "it is not passed on");
    });
}
