//! Case 11: one of the three machines that all others are told of is lost when the whole system starts for the first
//! time, and an empty one takes its place a second later. No configuration is ever acknowledged.

#[path = "../standin-2/lab.rs"]
mod lab;

use std::time::{Duration, Instant};
use std::{process, thread};

use lab::{Lab, Record, Searcher, config, route, trouble};

/// `ack-timeout-ms` is 5,000.
const ACK_TIMEOUT: Duration = Duration::from_millis(5_000);
/// The script waits for ten times as long.
const PATIENCE: Duration = Duration::from_secs(50);
/// The seed that is lost, and the machine that replaces it.
const LOST: usize = 0;
const SUCCESSOR: usize = 4;

fn main() {
    let record = Record::open(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    // Four controllers, the first three of them seeds, and an address for the successor of one.
    let lab = Lab::new(&record, 5, 2);
    let began = Instant::now();
    lab.start_controller(LOST, true);
    if trouble() {
        lab.kill(&format!("controller-{LOST}"));
    }
    for i in (0..4).filter(|i| *i != LOST) {
        lab.start_controller(i, true);
    }
    for i in 0..lab.entries {
        lab.start_entry(i);
    }
    record.line(&format!("all machines started within {:?}", began.elapsed()));
    if trouble() {
        thread::sleep(Duration::from_secs(1));
        // The machine is gone for good; an empty one comes at another address.
        lab.start_controller(SUCCESSOR, false);
    }
    for copy in 0..2 {
        let ip = lab.ip(100 + copy);
        Searcher::start(&lab, &format!("i-archive-{copy}"), "archive", lab::ZONES[copy], &ip);
    }
    // From here on nothing is disturbed; the core is stable after `contact-window-ms`.
    thread::sleep(Duration::from_millis(4_500));
    let first = config(1, &[route("r-one", "/one/", "archive", "idempotent", 4_000)], &["archive"]);
    let sent = Instant::now();
    let mut acknowledged = None;
    let mut calls = 0;
    while sent.elapsed() < PATIENCE && acknowledged.is_none() {
        calls += 1;
        // Each call goes to all controllers in turn, and follows redirects.
        let answer = lab.operator("POST", "/v1/configuration/replace", &first, lab.controllers);
        record.line(&format!("configuration answered {:?}", answer.as_ref().map(|a| a.status)));
        if answer.is_some_and(|a| a.status == 200) {
            acknowledged = Some(sent.elapsed());
        }
        thread::sleep(Duration::from_millis(300));
    }
    thread::sleep(Duration::from_millis(2_500));
    let ready = (0..lab.entries).filter(|i| lab.is_ready(*i)).count();
    lab.stop();
    let text = format!(
        "first configuration sent {calls} times to all controllers, acknowledged after {acknowledged:?}; {ready} of 2 entries ready"
    );
    record.line(&text);
    println!("{text}");
    process::exit(i32::from(acknowledged.is_none_or(|t| t > ACK_TIMEOUT)));
}
