//! A server that states how many requests a second it accepts.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use common::{core, read_request, request, response, run_local};

/// Requests a second that the server states.
const RATE: f64 = 4.0;
/// Interval between two requests of the callers.
const INTERVAL: Duration = Duration::from_millis(20);
const REQUESTS: u32 = 100;

/// The server would get a request every 20 ms, ten times what it states in each response.
#[test]
fn stated_rate_exceeded() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let core = core(listener.local_addr().unwrap(), true);
        let arrivals = Rc::new(Cell::new(0));
        let counted = arrivals.clone();
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let counted = counted.clone();
                tokio::task::spawn_local(async move {
                    while let Some(id) = read_request(&mut stream).await {
                        counted.set(counted.get() + 1);
                        let limit = format!("\r\nhornbeam-rate-limit: {RATE}\r\ncontent-length");
                        let text = response(&id, "x").replacen("\r\ncontent-length", &limit, 1);
                        stream.write_all(text.as_bytes()).await.unwrap();
                    }
                });
            }
        });
        for i in 0..REQUESTS {
            let core = core.clone();
            tokio::task::spawn_local(async move { request(&core, &format!("a{i}")).await });
            tokio::time::sleep(INTERVAL).await;
        }
        let allowed = 1.5 * RATE * (INTERVAL * REQUESTS).as_secs_f64() + 5.0;
        let arrived = f64::from(arrivals.get());
        assert!(arrived <= allowed, "{arrived} requests, {allowed} allowed");
        assert!(arrived >= RATE, "{arrived} requests: the rate is not used");
    });
}
