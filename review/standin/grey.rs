//! One searcher fails part of its requests while its health check is good: it has run them, and answers
//! 503 with its receipt and without `Not-Executed`. The requests may run once at most.

mod fleet;

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fleet::*;

const ENTRIES: usize = 4;
const CONTROLLERS: usize = 4;
const SEARCHERS: u8 = 7;
/// Requesters at each entry, and the pause of each between two orders.
const REQUESTERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(50);
/// Share of its requests that the grey searcher fails, in percent, and for how long: the dose that the
/// site file states for `srv_grey`. One searcher of seven is a share of 0.14.
const FAILS_PERCENT: u64 = 45;
const GREY: Duration = Duration::from_millis(6500);
/// Work of an order.
const WORK: Duration = Duration::from_millis(220);
/// Codes by which a node promises that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn config() -> &'static str {
    r#"{"version":1,"routes":[{"name":"r-fetch","host":"archive.example","path-prefix":"/fetch/","route-type":"non_idempotent","timeout-ms":8000,"target-latency-ms":800,"priority":2,"service":"archive","max-attempts":2}],"services":[{"name":"archive","health-path":"/healthz","max-connections":49,"protocol":"h1","tls-enabled":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#
}

/// One attempt of a requester.
struct Attempt {
    id: String,
    order: String,
    status: u16,
}

/// Sends an order on a connection, and once more on a new one after a promise that it has not run.
fn order(record: &Record, http: &mut Option<Http>, to: &[std::net::SocketAddr; 2], order: &str) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    for retry in [false, true] {
        if retry || http.is_none() {
            *http = Http::connect(to[usize::from(retry)], ms(1000)).ok();
            if let Some(h) = http {
                let _ = h.stream.set_read_timeout(Some(ms(9000)));
            }
        }
        let id = next_id();
        let more = format!("Content-Type: text/plain\r\nContent-Length: {}\r\n", order.len());
        let head = request("POST", "/fetch/order", "archive.example", &id, 8000, &more);
        let text = head + order;
        let reply = http.as_mut().map(|h| h.write(text.as_bytes()).and_then(|()| h.read_message()));
        let (status, sealed, wait) = match &reply {
            Some(Ok(r)) => {
                let wait = r.head.get("retry-after").and_then(|v| v.parse::<f64>().ok());
                (r.head.status(), r.head.get("response-seal").is_some(), wait.unwrap_or(0.0))
            }
            _ => {
                *http = None;
                (0, false, 0.0)
            }
        };
        record.line(&format!("{order}: request {id} was answered {status}, with a receipt: {sealed}"));
        attempts.push(Attempt { id, order: order.to_owned(), status });
        if !PROMISES.contains(&status) {
            break;
        }
        thread::sleep(Duration::from_secs_f64(wait.min(2.6)));
    }
    attempts
}

fn run(case: &Case) -> Result<i32, String> {
    let record = case.record.clone();
    let text = |e: std::io::Error| e.to_string();
    let zones = ["nashua", "worcester", "providence", "portland"];
    let mut fleet =
        Fleet::new(&case.root, &case.dir, record.clone(), &zones, CONTROLLERS, ENTRIES).map_err(text)?;
    fleet.start_all().map_err(text)?;
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let is_grey = Arc::new(AtomicBool::new(false));
    let mut searchers = Vec::new();
    for n in 0..SEARCHERS {
        let zone = zones[usize::from(n) % zones.len()];
        let address = addr(fleet.ip(120 + n), SEARCHER_PORT);
        let (is_grey, count) = (is_grey.clone(), AtomicU64::new(0));
        let reply: Reply = Arc::new(move |_| {
            let fails = || count.fetch_add(1, Ordering::Relaxed) * FAILS_PERCENT % 100 < FAILS_PERCENT;
            let status = if n == 0 && is_grey.load(Ordering::Relaxed) && fails() { 503 } else { 200 };
            (WORK, status)
        });
        let id = format!("i-archive{n}");
        let s = Searcher::start_with(&fleet, &arrivals, &id, "archive", zone, address, reply);
        searchers.push(s.map_err(text)?);
    }
    put_config(&fleet, config(), ms(20_000)).ok_or("the configuration is refused")?;
    for n in 0..ENTRIES {
        if !wait_ready(&fleet, fleet.entry(n), ms(20_000)) {
            return Err("an entry is not ready".into());
        }
    }
    thread::sleep(ms(4_000));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> =
        (0..ENTRIES).map(|n| addr(fleet.programs[fleet.entry(n)].ip, CALLERS_PORT)).collect();
    let mut threads = Vec::new();
    for n in 0..ENTRIES {
        for c in 0..REQUESTERS {
            let (record, stop) = (record.clone(), stop.clone());
            let to = [callers[n], callers[(n + 1) % ENTRIES]];
            threads.push(thread::spawn(move || {
                let (mut http, mut attempts) = (None, Vec::new());
                thread::sleep(ms((n * 37 + c * 53) as u64 % 200));
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let name = format!("order {n}-{c}-{number}");
                    attempts.extend(order(&record, &mut http, &to, &name));
                    thread::sleep(PAUSE);
                }
                attempts
            }));
        }
    }
    thread::sleep(ms(4_000));
    if case.trouble {
        record.line("searcher i-archive0 fails part of its requests from now on");
        is_grey.store(true, Ordering::Relaxed);
    }
    let grey_until = Instant::now() + GREY;
    thread::sleep(grey_until.saturating_duration_since(Instant::now()));
    if is_grey.swap(false, Ordering::Relaxed) {
        record.line("searcher i-archive0 is well again");
    }
    thread::sleep(ms(4_000));
    stop.store(true, Ordering::Relaxed);
    let mut attempts = Vec::new();
    for t in threads {
        attempts.extend(t.join().map_err(|_| "a requester failed")?);
    }
    let ended = fleet.ended();
    if !ended.is_empty() {
        return Err(format!("a program has ended: {ended:?}"));
    }
    for s in &searchers {
        s.crash();
    }
    let ran: HashSet<String> =
        arrivals.lock().unwrap().iter().filter(|a| a.ran).map(|a| a.id.clone()).collect();
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    let mut broken = 0;
    for a in &attempts {
        *statuses.entry(a.status).or_default() += 1;
        *runs.entry(&a.order).or_default() += usize::from(ran.contains(&a.id));
        if PROMISES.contains(&a.status) && ran.contains(&a.id) {
            broken += 1;
            record.line(&format!("{}: request {} was answered {} and has run", a.order, a.id, a.status));
        }
    }
    let doubled = runs.values().filter(|n| **n > 1).count();
    record.line(&format!("{} requests; answers by status: {statuses:?}", attempts.len()));
    record.line(&format!("orders that ran twice, because their requester was told that they had not run: {doubled}"));
    record.line(&format!("requests that were answered 408, 421, 429 or 503 and have run: {broken}; REFUSED allows 0"));
    Ok(i32::from(broken > 0))
}

fn main() {
    let case = case();
    let code = match std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(&case))) {
        Ok(Ok(code)) => code,
        Ok(Err(e)) => {
            case.record.line(&format!("the case could not run: {e}"));
            eprintln!("the case could not run: {e}");
            2
        }
        Err(_) => 2,
    };
    std::process::exit(code)
}
