//! Case 6: a configuration that is acknowledged adds a route whose `result-limit` is the greatest number of
//! its type. The first answer of a search on it ends the entry.

mod lab;

use std::time::Duration;
use std::{process, thread};

use lab::{Connection, Lab, Record, Searcher, cannot_run, config, fanout, route, trouble};

const SERVICES: [&str; 4] = ["shard-a", "shard-b", "shard-c", "archive"];
const SHARDS: [&str; 3] = ["shard-a", "shard-b", "shard-c"];
/// "All records": the greatest unsigned number of 32 bits.
const ALL_RECORDS: u64 = 4_294_967_295;
const ROUNDS: usize = 5;
/// RULES.md, LOST: "more than three times".
const ALLOWED: usize = 3;

fn main() {
    let record = Record::open(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let lab = Lab::new(&record, 3, 2);
    lab.start_all();
    let first = [fanout("r-first", "/first/", &SHARDS, 20), route("r-one", "/one/", "archive", "idempotent", 4000)];
    if lab.configure(&config(1, &first, &SERVICES)) != 200 {
        cannot_run(Some(&lab), &record, "the first configuration is not acknowledged");
    }
    let mut searchers = Vec::new();
    for (n, service) in SERVICES.iter().enumerate() {
        for copy in 0..2 {
            let ip = lab.ip(100 + 2 * n + copy);
            let id = format!("i-{service}-{copy}");
            searchers.push(Searcher::start(&lab, &id, service, lab::ZONES[copy], &ip));
        }
    }
    lab.wait_ready(Duration::from_secs(20));
    // All machines are in touch once `contact-window-ms` has passed.
    thread::sleep(Duration::from_millis(4_500));
    for entry in 0..lab.entries {
        let answer = Connection::open(lab.callers(entry), Duration::from_secs(4))
            .and_then(|mut c| c.request("GET", "/first/q", &format!("first-{entry}"), 2_000));
        match answer {
            Ok(a) if a.status == 200 => {}
            other => cannot_run(Some(&lab), &record, &format!("no search before the change: {other:?}")),
        }
    }
    let limit = if trouble() { ALL_RECORDS } else { 20 };
    let routes = [first[0].clone(), first[1].clone(), fanout("r-added", "/added/", &SHARDS, limit)];
    let status = lab.configure(&config(2, &routes, &SERVICES));
    if status != 200 {
        // A refused configuration is never in force: the rule holds.
        record.line(&format!("the configuration with the added route is refused with {status}"));
        lab.stop();
        process::exit(0);
    }
    // `config-apply-ms`
    thread::sleep(Duration::from_millis(3_500));
    let (mut lost, mut ends, mut served) = (0, 0, 0);
    for round in 0..ROUNDS {
        for entry in 0..lab.entries {
            let name = format!("entry-{entry}");
            let id = format!("added-{round}-{entry}");
            // The connection is a kept one: it has carried a request that was answered.
            let opened = Connection::open(lab.callers(entry), Duration::from_secs(5)).and_then(|mut c| {
                c.request("GET", "/one/q", &format!("kept-{round}-{entry}"), 4_000).map(|a| (c, a))
            });
            let mut c = match opened {
                Ok((c, a)) if a.status == 200 => c,
                other => {
                    record.line(&format!("{name}: no kept connection: {:?}", other.map(|(_, a)| a.status)));
                    continue;
                }
            };
            record.line(&format!("sent to {name}: {id} /added/q"));
            let answer = c.request("GET", "/added/q", &id, 2_000);
            let run = searchers.iter().any(|s| s.runs.lock().unwrap().iter().any(|r| r.1 == id));
            match answer {
                Ok(a) => {
                    served += usize::from(a.status == 200);
                    record.line(&format!("{name} answered {id}: {}, {} bytes", a.status, a.body.len()));
                }
                Err(e) => {
                    lost += usize::from(run);
                    record.line(&format!("{name} closed the connection of {id} without an answer ({e}); run: {run}"));
                }
            }
            thread::sleep(Duration::from_millis(300));
            if let Some(status) = lab.ended_by_itself(&name) {
                ends += 1;
                record.line(&format!("{name} has ended by itself: {status}"));
                // The platform starts it again after a short delay.
                thread::sleep(Duration::from_millis(300));
                lab.start_entry(entry);
                lab.wait_ready(Duration::from_secs(10));
            }
        }
    }
    lab.stop();
    record.line(&format!("served {served}, passed on and closed without an answer {lost}, ends by itself {ends}"));
    println!("served {served}, passed on and closed without an answer {lost}, ends by itself {ends}");
    process::exit(i32::from(lost > ALLOWED));
}
