//! Case 15: requests with 120 short header fields, 2.5 KB within a limit of 16 KB, get a final 431.

#[path = "../standin-2/lab.rs"]
mod lab;

use std::time::Duration;
use std::{process, thread};

use lab::{Connection, Lab, Record, Searcher, cannot_run, config, route, trouble};

const SENT: usize = 300;
/// One request in this number has many fields.
const EVERY: usize = 5;

fn main() {
    let record = Record::open(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let fields = if trouble() { 120 } else { 60 };
    let lab = Lab::new(&record, 3, 2);
    lab.start_all();
    let searchers: Vec<_> = (0..2)
        .map(|copy| Searcher::start(&lab, &format!("i-archive-{copy}"), "archive", lab::ZONES[copy], &lab.ip(100 + copy)))
        .collect();
    thread::sleep(Duration::from_millis(2_500));
    // `max-header-bytes` is 16,384.
    if lab.configure(&config(1, &[route("r-one", "/one/", "archive", "idempotent", 4_000)], &["archive"])) != 200 {
        cannot_run(Some(&lab), &record, "the configuration is not acknowledged");
    }
    lab.wait_ready(Duration::from_secs(10));
    thread::sleep(Duration::from_secs(5));
    let more: String = (0..fields).map(|n| format!("Baggage-{n:03}: v{n:03}\r\n")).collect();
    let (mut served, mut denied) = (0, 0);
    for n in 0..SENT {
        let more = if n % EVERY == 0 { more.as_str() } else { "" };
        let id = format!("request-{n}");
        let answer = Connection::open(lab.callers(n % lab.entries), Duration::from_secs(5))
            .and_then(|mut c| c.request_with("GET", "/one/x", &id, 4_000, more));
        let status = answer.map_or(0, |a| a.status);
        record.line(&format!("sent {id} with {} further bytes of fields, answered {status}", more.len()));
        served += usize::from(status == 200);
        denied += usize::from((300..500).contains(&status) && ![408, 421, 429].contains(&status));
        thread::sleep(Duration::from_millis(20));
    }
    let runs: usize = searchers.iter().map(|s| s.runs.lock().unwrap().len()).sum();
    lab.stop();
    let allowed = 5 + SENT / 500;
    let text = format!("{served} of {SENT} served, {denied} denied where {allowed} are allowed; {runs} runs");
    record.line(&text);
    println!("{text}");
    process::exit(i32::from(denied > allowed));
}
