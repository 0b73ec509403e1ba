//! Case 10: all processes of the core are killed once, 0.7 s after the whole system has started for the first time,
//! and are back within a second with their disks. No configuration is ever acknowledged.

mod lab;

use std::time::{Duration, Instant};
use std::{process, thread};

use lab::{Lab, Record, Searcher, config, route, trouble};

/// `ack-timeout-ms` is 5,000; the script waits for ten times as long.
const PATIENCE: Duration = Duration::from_secs(50);

fn main() {
    let record = Record::open(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let kill_after: u64 = std::env::var("KILL_AFTER_MS").ok().and_then(|v| v.parse().ok()).unwrap_or(700);
    let lab = Lab::new(&record, 3, 2);
    lab.start_all();
    thread::sleep(Duration::from_millis(kill_after));
    if trouble() {
        for i in 0..lab.controllers {
            lab.kill(&format!("controller-{i}"));
        }
        thread::sleep(Duration::from_millis(500));
        for i in 0..lab.controllers {
            // `bootstrap` is true only when the whole system starts for the first time, with empty disks.
            lab.start_controller(i, false);
        }
    }
    for copy in 0..2 {
        let ip = lab.ip(100 + copy);
        Searcher::start(&lab, &format!("i-archive-{copy}"), "archive", lab::ZONES[copy], &ip);
    }
    // From here on nothing is disturbed; the core is stable after `contact-window-ms`.
    thread::sleep(Duration::from_millis(4_500));
    let first = config(1, &[route("r-one", "/one/", "archive", "idempotent", 4_000)], &["archive"]);
    let began = Instant::now();
    let mut acknowledged = None;
    let mut calls = 0;
    while began.elapsed() < PATIENCE && acknowledged.is_none() {
        calls += 1;
        let answer = lab.operator("POST", "/v1/configuration/replace", &first, 1);
        record.line(&format!("configuration answered {:?}", answer.as_ref().map(|a| a.status)));
        if answer.is_some_and(|a| a.status == 200) {
            acknowledged = Some(began.elapsed());
        }
        thread::sleep(Duration::from_millis(300));
    }
    thread::sleep(Duration::from_millis(2_500));
    let ready = (0..lab.entries).filter(|i| lab.is_ready(*i)).count();
    lab.stop();
    let text = format!(
        "first configuration sent {calls} times, acknowledged after {acknowledged:?}; {ready} of 2 entries ready"
    );
    record.line(&text);
    println!("{text}");
    process::exit(i32::from(acknowledged.is_none_or(|t| t > Duration::from_millis(5_000))));
}
