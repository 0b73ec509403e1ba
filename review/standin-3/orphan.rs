//! Case 12: the three machines that an entry was told of at its start are replaced in turn, as planned. Then the entry
//! freezes once for four seconds. It never hears a controller again, and goes on with the old configuration.

#[path = "../standin-2/lab.rs"]
mod lab;

use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{process, thread};

use lab::{Connection, Lab, Record, Searcher, cannot_run, config, route, trouble};

/// `config-apply-ms` and `contact-window-ms` of the site.
const CONFIG_APPLY: Duration = Duration::from_millis(4_000);
const CONTACT_WINDOW: Duration = Duration::from_millis(5_000);
/// `catch-up-s` is 6; a replaced machine counts no more after that time.
const BETWEEN_REPLACEMENTS: Duration = Duration::from_millis(8_000);
const FREEZE: Duration = Duration::from_secs(4);
/// Entry that freezes.
const FROZEN: usize = 0;
const SENT_TO_EACH: usize = 60;

/// A configuration in which the route goes to `service`; the second key was taken away in version 2.
fn tenants_config(version: u64, service: &str) -> String {
    let routes = [route("r-one", "/one/", service, "idempotent", 4_000)];
    let text = config(version, &routes, &["archive", "portal"]);
    let keys = if version == 1 { "\"key-north\",\"key-gone\"" } else { "\"key-north\"" };
    let tenants = format!("\"tenants\":[{{\"name\":\"north\",\"api-keys\":[{keys}]}}]");
    format!("{},{tenants}}}", text.strip_suffix('}').unwrap())
}

/// What became of requests that were sent to one entry.
#[derive(Debug, Default)]
struct Outcome {
    sent: usize,
    served: usize,
    /// Run by the service from which version 2 has moved the route.
    run_by_old_service: usize,
    /// Served with the key that version 2 has taken away.
    served_with_old_key: usize,
}

fn send(lab: &Arc<Lab>, entry: usize, round: &str, old: &[Arc<Searcher>]) -> Outcome {
    let mut outcome = Outcome::default();
    for n in 0..SENT_TO_EACH {
        let has_old_key = n % 2 == 1;
        let key = if has_old_key { "key-gone" } else { "key-north" };
        let id = format!("{round}-{entry}-{n}");
        let Ok(mut c) = Connection::open(lab.callers(entry), Duration::from_secs(5)) else { continue };
        let answer = c.request_with("GET", "/one/x", &id, 4_000, &format!("Api-Key: {key}\r\n"));
        let status = answer.as_ref().map_or(0, |a| a.status);
        lab.record.line(&format!("sent {id} with {key} to entry-{entry}, answered {status}"));
        outcome.sent += 1;
        outcome.served += usize::from(status == 200);
        outcome.served_with_old_key += usize::from(status == 200 && has_old_key);
        let ran = |s: &Arc<Searcher>| s.runs.lock().unwrap().iter().any(|(_, run, _)| *run == id);
        outcome.run_by_old_service += usize::from(old.iter().any(ran));
        thread::sleep(Duration::from_millis(50));
    }
    lab.record.line(&format!("entry-{entry}, {round}: {outcome:?}"));
    println!("entry-{entry}, {round}: {outcome:?}");
    outcome
}

fn main() {
    let record = Record::open(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    // Controllers 0 to 2 are the seeds, 3 is the fourth at the start, 4 to 6 take the seeds' places.
    let lab = Lab::new(&record, 7, 2);
    for i in 0..4 {
        lab.start_controller(i, true);
    }
    for i in 0..lab.entries {
        lab.start_entry(i);
    }
    let start = |service: &str, n: usize| {
        let ip = lab.ip(100 + n);
        Searcher::start(&lab, &format!("i-{service}-{n}"), service, lab::ZONES[n % 3], &ip)
    };
    let old = [start("archive", 0), start("archive", 1)];
    let _new = [start("portal", 2), start("portal", 3)];
    thread::sleep(Duration::from_millis(2_500));
    if lab.configure(&tenants_config(1, "archive")) != 200 {
        cannot_run(Some(&lab), &record, "version 1 is not acknowledged");
    }
    lab.wait_ready(Duration::from_secs(10));
    // Planned: the new machine first, then SIGTERM.
    for seed in 0..3 {
        lab.start_controller(4 + seed, false);
        thread::sleep(Duration::from_millis(2_000));
        lab.signal(&format!("controller-{seed}"), "TERM");
        thread::sleep(BETWEEN_REPLACEMENTS);
        lab.kill(&format!("controller-{seed}"));
    }
    let before = send(&lab, FROZEN, "before", &old);
    if before.served < SENT_TO_EACH * 9 / 10 {
        cannot_run(Some(&lab), &record, "the entry does not serve before the freeze");
    }
    if trouble() {
        lab.signal(&format!("entry-{FROZEN}"), "STOP");
        thread::sleep(FREEZE);
        lab.signal(&format!("entry-{FROZEN}"), "CONT");
    }
    // The machine is in touch again after the contact window; nothing is disturbed from here on.
    thread::sleep(CONTACT_WINDOW + Duration::from_secs(2));
    let sent = Instant::now();
    if lab.configure(&tenants_config(2, "portal")) != 200 {
        cannot_run(Some(&lab), &record, "version 2 is not acknowledged");
    }
    record.line(&format!("version 2 acknowledged after {:?}", sent.elapsed()));
    thread::sleep(CONFIG_APPLY + Duration::from_secs(6));
    let frozen = send(&lab, FROZEN, "after", &old);
    let other = send(&lab, 1, "after", &old);
    let ready = lab.is_ready(FROZEN);
    lab.stop();
    let text = format!(
        "10 s after version 2: the entry that froze is ready: {ready}; of {} requests there {} were run by the old service and \
         {} served with the key taken away; at the other entry {} and {} of {}",
        frozen.sent,
        frozen.run_by_old_service,
        frozen.served_with_old_key,
        other.run_by_old_service,
        other.served_with_old_key,
        other.sent
    );
    record.line(&text);
    println!("{text}");
    let broken = frozen.run_by_old_service + frozen.served_with_old_key + other.run_by_old_service + other.served_with_old_key;
    process::exit(i32::from(broken > 0));
}
