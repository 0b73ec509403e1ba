//! Case 8: the first configuration has version 0. It is acknowledged and is never in force.

mod lab;

use std::time::{Duration, Instant};
use std::{process, thread};

use lab::{Connection, Lab, Record, Searcher, cannot_run, config, route, trouble};

fn main() {
    let record = Record::open(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let lab = Lab::new(&record, 3, 2);
    lab.start_all();
    let mut searchers = Vec::new();
    for copy in 0..2 {
        let ip = lab.ip(100 + copy);
        searchers.push(Searcher::start(&lab, &format!("i-archive-{copy}"), "archive", lab::ZONES[copy], &ip));
    }
    // The controllers have chosen a leader by then, and the core is stable.
    thread::sleep(Duration::from_millis(6_000));
    let version = if trouble() { 0 } else { 1 };
    let sent = config(version, &[route("r-one", "/one/", "archive", "idempotent", 4_000)], &["archive"]);
    let mut status = lab.configure(&sent);
    if status == 200 {
        // The operator's call has ended: one more copy, as after a lost acknowledgement.
        status = lab.configure(&sent);
    }
    match status {
        200 => {}
        400..=499 => {
            record.line("the configuration is refused: the rule holds");
            lab.stop();
            process::exit(0);
        }
        _ => cannot_run(Some(&lab), &record, "the configuration is neither acknowledged nor refused"),
    }
    // `config-apply-ms`, then reads for longer than `contact-window-ms`.
    thread::sleep(Duration::from_millis(3_500));
    let end = Instant::now() + Duration::from_secs(12);
    let mut found = false;
    while Instant::now() < end && !found {
        let answer = lab.operator("GET", "/v1/configuration/read", "", 1);
        record.line(&format!("read: {:?}", answer.as_ref().map(|a| a.status)));
        found = answer.is_some_and(|a| a.status == 200 && a.body == sent.as_bytes());
        thread::sleep(Duration::from_millis(300));
    }
    let (mut served, mut asked) = (0, 0);
    for n in 0..6 {
        asked += 1;
        let id = format!("request-{n}");
        let answer = Connection::open(lab.callers(n % 2), Duration::from_secs(5))
            .and_then(|mut c| c.request("GET", "/one/q", &id, 4_000));
        let status = answer.map_or(0, |a| a.status);
        served += usize::from(status == 200);
        record.line(&format!("entry-{} answered {id}: {status}", n % 2));
        thread::sleep(Duration::from_millis(100));
    }
    lab.stop();
    let text = format!("acknowledged version {version}, read back: {found}, served {served} of {asked}");
    record.line(&text);
    println!("{text}");
    process::exit(i32::from(!found));
}
