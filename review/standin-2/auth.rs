//! Case 7: a public route has the same name as a route that needs a key. The entries then serve both without
//! a key.

mod lab;

use std::time::Duration;
use std::{process, thread};

use lab::{Connection, Lab, Record, Searcher, cannot_run, config, route, trouble};

const SERVICES: [&str; 2] = ["warranty", "catalog"];
const KEY: &str = "key-of-north";
/// A key that no configuration ever held.
const UNKNOWN_KEY: &str = "key-of-nobody";

/// Returns a configuration with one tenant, a route that needs its key and a public one.
fn tenants_config(version: u64, public_name: &str) -> String {
    let protected = route("lookup", "/warranty/", "warranty", "idempotent", 4_000);
    let public = route(public_name, "/catalog/", "catalog", "idempotent", 4_000);
    let public = format!("{},\"public\":true}}", public.trim_end_matches('}'));
    let text = config(version, &[protected, public], &SERVICES);
    let tenants = format!("\"tenants\":[{{\"name\":\"north\",\"api-keys\":[\"{KEY}\"]}}]");
    format!("{},{tenants}}}", text.strip_suffix('}').unwrap())
}

fn main() {
    let record = Record::open(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let lab = Lab::new(&record, 3, 2);
    *lab.entry_settings.lock().unwrap() = "revocation:\n  strict: false\n  window_ms: 5000\n\
         evacuations: true\nzone_spill: {}\nquota:\n  window_s: 5\n  overshoot: 0.1\n  tolerance: 20\n\
         warm_up:\n  overshoot: 1.5\n  tolerance: 5\n"
        .to_owned();
    lab.start_all();
    if lab.configure(&tenants_config(1, "catalogue")) != 200 {
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
    // `contact-window-ms` of this deployment is 5 s.
    thread::sleep(Duration::from_millis(5_500));
    let ask = |entry: usize, path: &str, id: &str, key: Option<&str>| {
        let header = key.map_or(String::new(), |k| format!("Api-Key: {k}\r\n"));
        record.line(&format!("sent to entry-{entry}: {id} {path} key {key:?}"));
        let answer = Connection::open(lab.callers(entry), Duration::from_secs(5))
            .and_then(|mut c| c.request_with("GET", path, id, 4_000, &header));
        let status = answer.map_or(0, |a| a.status);
        record.line(&format!("entry-{entry} answered {id}: {status}"));
        status
    };
    let ran = |id: &str| searchers.iter().any(|s| s.runs.lock().unwrap().iter().any(|r| r.1 == id));
    for entry in 0..lab.entries {
        let with_key = ask(entry, "/warranty/q", &format!("before-key-{entry}"), Some(KEY));
        let unknown = ask(entry, "/warranty/q", &format!("before-unknown-{entry}"), Some(UNKNOWN_KEY));
        if with_key != 200 || unknown != 401 {
            cannot_run(Some(&lab), &record, "keys are not checked before the change");
        }
    }
    let name = if trouble() { "lookup" } else { "open-catalogue" };
    if lab.configure(&tenants_config(2, name)) != 200 {
        record.line("the second configuration is refused and never in force");
        lab.stop();
        process::exit(0);
    }
    // `config-apply-ms` of this deployment is 4 s.
    thread::sleep(Duration::from_millis(4_500));
    let (mut broken, mut asked) = (0, 0);
    for round in 0..5 {
        for entry in 0..lab.entries {
            for (kind, key) in [("unknown", Some(UNKNOWN_KEY)), ("none", None)] {
                let id = format!("after-{kind}-{round}-{entry}");
                let status = ask(entry, "/warranty/q", &id, key);
                asked += 1;
                if ran(&id) {
                    broken += 1;
                    record.line(&format!("{id} has run without a key of a tenant; answered {status}"));
                }
            }
        }
    }
    lab.stop();
    let text = format!("{asked} requests without a key that any configuration held, {broken} of them run");
    record.line(&text);
    println!("{text}");
    process::exit(i32::from(broken > 0));
}
