//! A server that sends a response a second time, late, on a connection that is in use again.

mod common;

use std::rc::Rc;
use std::time::Duration;

use hornbeam_entry::core::Reply;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use common::{core, read_request, request, response, run_local};

/// Time after which the second copy of a response is sent, while the next request is in progress.
const COPY_DELAY: Duration = Duration::from_millis(5);

fn not_run(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nhornbeam-request-id: {id}\r\nhornbeam-not-run: 1\r\n\
         content-length: 0\r\n\r\n"
    )
}

/// A copy of the response to another request, split over two packets, arrives while the next request
/// is in progress.
#[test]
fn copy_of_other_request() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let core = core(listener.local_addr().unwrap(), true);
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::task::spawn_local(async move {
                    stream.set_nodelay(true).unwrap();
                    let mut previous = None;
                    while let Some(id) = read_request(&mut stream).await {
                        tokio::time::sleep(COPY_DELAY).await;
                        if let Some(previous) = previous.replace(id.clone()) {
                            let copy = response(&previous, &previous);
                            let (first, rest) = copy.split_at(30);
                            let _ = stream.write_all(first.as_bytes()).await;
                            tokio::time::sleep(COPY_DELAY).await;
                            let _ = stream.write_all(rest.as_bytes()).await;
                        }
                        let _ = stream.write_all(response(&id, &id).as_bytes()).await;
                    }
                });
            }
        });
        for n in 0..20 {
            let id = format!("r{n}");
            match request(&core, &id).await {
                Reply::Forward(response) => assert_eq!(response.body, id),
                Reply::Refuse(refusal) => assert!(!refusal.kind.has_not_run(), "{id} has run"),
                Reply::Merged { .. } => panic!("the route leads to one service"),
            }
        }
    });
}

/// A server sheds a request and sends the refusal a second time after the entry has sent the request
/// to it again, which then runs.
#[test]
fn copy_of_refusal() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let core = core(listener.local_addr().unwrap(), false);
        let runs = Rc::new(std::cell::Cell::new(0));
        let (seen, counted) = (Rc::new(std::cell::Cell::new(0)), runs.clone());
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (seen, runs) = (seen.clone(), counted.clone());
                tokio::task::spawn_local(async move {
                    stream.set_nodelay(true).unwrap();
                    let mut shed_here = false;
                    while let Some(id) = read_request(&mut stream).await {
                        seen.set(seen.get() + 1);
                        if seen.get() == 1 {
                            shed_here = true;
                            let _ = stream.write_all(not_run(&id).as_bytes()).await;
                            continue;
                        }
                        runs.set(runs.get() + 1);
                        if shed_here {
                            let _ = stream.write_all(not_run(&id).as_bytes()).await;
                        }
                        tokio::time::sleep(COPY_DELAY).await;
                        let _ = stream.write_all(response(&id, &id).as_bytes()).await;
                    }
                });
            }
        });
        let reply = request(&core, "r1").await;
        assert!(runs.get() <= 1, "a request that is not idempotent ran {} times", runs.get());
        if let Reply::Refuse(refusal) = reply {
            assert!(
                !refusal.kind.has_not_run() || runs.get() == 0,
                "refused as not run: {refusal:?}"
            );
        }
    });
}
