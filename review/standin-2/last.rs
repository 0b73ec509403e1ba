//! Case 10: a configuration takes the last tenant away. Its key is then accepted by all entries, as any other
//! text is, and is passed on to the searchers.

mod lab;

use std::time::Duration;
use std::{process, thread};

use lab::{Connection, Lab, Record, Searcher, cannot_run, config, route, trouble};

const KEY: &str = "key-of-north";

fn tenants_config(version: u64, tenants: &str) -> String {
    let text = config(version, &[route("lookup", "/warranty/", "warranty", "idempotent", 4_000)], &["warranty"]);
    format!("{},\"tenants\":[{tenants}]}}", text.strip_suffix('}').unwrap())
}

fn main() {
    let record = Record::open(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let lab = Lab::new(&record, 3, 2);
    *lab.entry_settings.lock().unwrap() = "revocation:\n  strict: false\n  window_ms: 5000\n\
         evacuations: true\nzone_spill: {}\nquota:\n  window_s: 5\n  overshoot: 0.1\n  tolerance: 20\n\
         warm_up:\n  overshoot: 1.5\n  tolerance: 5\n"
        .to_owned();
    lab.start_all();
    let north = format!("{{\"name\":\"north\",\"api-keys\":[\"{KEY}\"]}}");
    if lab.configure(&tenants_config(1, &north)) != 200 {
        cannot_run(Some(&lab), &record, "the first configuration is not acknowledged");
    }
    let mut searchers = Vec::new();
    for copy in 0..2 {
        let ip = lab.ip(100 + copy);
        searchers.push(Searcher::start(&lab, &format!("i-warranty-{copy}"), "warranty", lab::ZONES[copy], &ip));
    }
    lab.wait_ready(Duration::from_secs(20));
    // `contact-window-ms` of this deployment is 5 s.
    thread::sleep(Duration::from_millis(5_500));
    let ask = |entry: usize, id: &str| {
        record.line(&format!("sent to entry-{entry}: {id} /warranty/q with the key"));
        let answer = Connection::open(lab.callers(entry), Duration::from_secs(5)).and_then(|mut c| {
            c.request_with("GET", "/warranty/q", id, 4_000, &format!("Api-Key: {KEY}\r\n"))
        });
        let status = answer.map_or(0, |a| a.status);
        record.line(&format!("entry-{entry} answered {id}: {status}"));
        status
    };
    let ran = |id: &str| searchers.iter().any(|s| s.runs.lock().unwrap().iter().any(|r| r.1 == id));
    let saw_key = |id: &str| searchers.iter().any(|s| s.keys.lock().unwrap().iter().any(|k| k == id));
    for entry in 0..lab.entries {
        let id = format!("before-{entry}");
        if ask(entry, &id) != 200 || !ran(&id) || saw_key(&id) {
            cannot_run(Some(&lab), &record, "the key does not work before the change");
        }
    }
    // Both variants take the tenant `north` away; without the disruption another one remains.
    let left = if trouble() { "" } else { "{\"name\":\"south\",\"api-keys\":[\"key-of-south\"]}" };
    if lab.configure(&tenants_config(2, left)) != 200 {
        record.line("the second configuration is refused and never in force");
        lab.stop();
        process::exit(0);
    }
    // `config-apply-ms` of this deployment is 4 s.
    thread::sleep(Duration::from_millis(4_500));
    let (mut asked, mut run, mut passed_on) = (0, 0, 0);
    for round in 0..10 {
        for entry in 0..lab.entries {
            let id = format!("after-{round}-{entry}");
            ask(entry, &id);
            asked += 1;
            run += usize::from(ran(&id));
            passed_on += usize::from(saw_key(&id));
        }
    }
    lab.stop();
    let text = format!("{asked} requests with the key that was taken away: {run} run, {passed_on} of them with the key passed on");
    record.line(&text);
    println!("{text}");
    process::exit(i32::from(passed_on > 0));
}
