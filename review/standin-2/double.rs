//! Case 9: a configuration that is acknowledged names one shard of a route twice. Each answer then holds two
//! parts of that shard.

mod lab;

use std::collections::HashSet;
use std::time::Duration;
use std::{process, thread};

use lab::{Connection, Lab, Record, Searcher, cannot_run, config, fanout, trouble};

const SERVICES: [&str; 4] = ["shard-a", "shard-b", "shard-c", "shard-d"];

fn main() {
    let record = Record::open(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let lab = Lab::new(&record, 3, 2);
    lab.start_all();
    let first = config(1, &[fanout("r-sweep", "/sweep/", &SERVICES, 20)], &SERVICES);
    if lab.configure(&first) != 200 {
        cannot_run(Some(&lab), &record, "the first configuration is not acknowledged");
    }
    let mut searchers = Vec::new();
    for (n, service) in SERVICES.iter().enumerate() {
        for copy in 0..2 {
            let ip = lab.ip(100 + 2 * n + copy);
            searchers.push(Searcher::start(&lab, &format!("i-{service}-{copy}"), service, lab::ZONES[copy], &ip));
        }
    }
    lab.wait_ready(Duration::from_secs(20));
    thread::sleep(Duration::from_millis(4_500));
    // The set of services that both variants name is the same.
    let listed: Vec<&str> = match trouble() {
        true => vec!["shard-a", "shard-b", "shard-c", "shard-d", "shard-b"],
        false => SERVICES.to_vec(),
    };
    let status = lab.configure(&config(2, &[fanout("r-sweep", "/sweep/", &listed, 20)], &SERVICES));
    if status != 200 {
        record.line(&format!("the second configuration is refused with {status} and never in force"));
        lab.stop();
        process::exit(0);
    }
    // `config-apply-ms`
    thread::sleep(Duration::from_millis(3_500));
    let (mut successes, mut wrong) = (0, 0);
    for n in 0..20 {
        let id = format!("sweep-{n}");
        let answer = Connection::open(lab.callers(n % 2), Duration::from_secs(5))
            .and_then(|mut c| c.request("GET", "/sweep/q", &id, 2_000));
        let Ok(answer) = answer else { continue };
        let seals = answer.header("partial-seals").unwrap_or_default();
        let missing: usize = answer.header("missing-shards").and_then(|m| m.parse().ok()).unwrap_or(0);
        record.line(&format!(
            "answered {id}: {} seals [{seals}] missing {missing}, {} records",
            answer.status,
            answer.body.len() / 16
        ));
        if answer.status != 200 {
            continue;
        }
        successes += 1;
        // A seal is the attempt id and the searcher's id, i-SERVICE-COPY.
        let services: Vec<String> = seals
            .split(',')
            .filter_map(|s| s.trim().split_once(".i-"))
            .filter_map(|(_, searcher)| searcher.rsplit_once('-').map(|(service, _)| service.to_owned()))
            .collect();
        let distinct: HashSet<&String> = services.iter().collect();
        let is_set = distinct.len() == services.len() && services.len() + missing == SERVICES.len();
        wrong += usize::from(!is_set);
    }
    lab.stop();
    let text = format!("{successes} successes, {wrong} of them with two parts of one service");
    record.line(&text);
    println!("{text}");
    if successes == 0 {
        process::exit(2);
    }
    process::exit(i32::from(wrong > 0));
}
