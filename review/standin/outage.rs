//! The final fault kills all programs, which are back within a second. Soon after, all searchers of a service
//! crash four times within a few seconds, and are well from then on. Requesters send searches that differ in
//! their query, all the time.

mod fleet;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fleet::*;

const ENTRIES: usize = 4;
const CONTROLLERS: usize = 4;
const SEARCHERS: u8 = 4;
const OTHERS: u8 = 3;
/// Requesters at each entry, and the pause of the first between two searches; each other one pauses a little longer.
const REQUESTERS: usize = 3;
const PAUSE: Duration = Duration::from_millis(60);
/// Pause of the one requester at each entry that uses the other service.
const OTHER_PAUSE: Duration = Duration::from_millis(600);
/// Work of a search: usual, and at a searcher that has just started (`cold_x` 1.6 for 3 s).
const WORK: Duration = Duration::from_millis(220);
const COLD_WORK: Duration = Duration::from_millis(352);
const COLD: Duration = Duration::from_secs(3);
/// How often all searchers crash, how long they are down, and how long they are up in between.
const CRASHES: usize = 4;
const DOWN: Duration = Duration::from_millis(1500);
const UP: Duration = Duration::from_millis(300);
/// All programs are back within a second after the final fault.
const ALL_DOWN: Duration = Duration::from_millis(900);
const RECOVERY: Duration = Duration::from_secs(12);
const MEASURED: Duration = Duration::from_secs(15);

fn config() -> &'static str {
    r#"{"version":1,"routes":[{"name":"r-consult","host":"portal.example","path-prefix":"/consult/","route-type":"idempotent","timeout-ms":8000,"target-latency-ms":800,"priority":2,"service":"consult","max-attempts":2},{"name":"r-archive","host":"portal.example","path-prefix":"/archive/","route-type":"idempotent","timeout-ms":8000,"target-latency-ms":800,"priority":2,"service":"archive","max-attempts":2}],"services":[{"name":"archive","health-path":"/healthz","max-connections":49,"protocol":"h1","tls-enabled":false},{"name":"consult","health-path":"/healthz","max-connections":49,"protocol":"h1","tls-enabled":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#
}

/// Starts the searchers of the service; each start is a new lifetime with a new id.
fn start_searchers(fleet: &Fleet, arrivals: &Arrivals, zones: &[&str], start: usize) -> Result<Vec<Searcher>, String> {
    let since = Instant::now();
    let mut searchers = Vec::new();
    for n in 0..SEARCHERS {
        let zone = zones[usize::from(n) % zones.len()];
        let address = addr(fleet.ip(120 + n), SEARCHER_PORT);
        let work: Work =
            Arc::new(move |_| if start > 0 && since.elapsed() < COLD { COLD_WORK } else { WORK });
        let id = format!("i-consult{n}-{start}");
        let s = Searcher::start(fleet, arrivals, &id, "consult", zone, address, work);
        searchers.push(s.map_err(|e| e.to_string())?);
    }
    Ok(searchers)
}

/// Sends one search at the time; a connection is used again until it fails.
fn search(record: &Record, http: &mut Option<Http>, to: std::net::SocketAddr, path: &str) -> (Duration, u16) {
    if http.is_none() {
        *http = Http::connect(to, ms(1000)).ok();
        if let Some(h) = http {
            let _ = h.stream.set_read_timeout(Some(ms(9000)));
        }
    }
    let id = next_id();
    let text = request("GET", path, "portal.example", &id, 8000, "");
    let at = record.now();
    let reply = http.as_mut().map(|h| h.write(text.as_bytes()).and_then(|()| h.read_message()));
    let status = match &reply {
        Some(Ok(r)) => r.head.status(),
        _ => {
            *http = None;
            0
        }
    };
    let why = reply.and_then(Result::ok).filter(|r| r.head.status() != 200);
    let why = why.map(|r| String::from_utf8_lossy(&r.body).into_owned()).unwrap_or_default();
    record.line(&format!("request {id} for {path}, sent at {:.3}, was answered {status} {why}", at.as_secs_f64()));
    (at, status)
}

fn run(case: &Case) -> Result<i32, String> {
    let record = case.record.clone();
    let text = |e: std::io::Error| e.to_string();
    let zones = ["nashua", "worcester", "providence", "portland"];
    let mut fleet =
        Fleet::new(&case.root, &case.dir, record.clone(), &zones, CONTROLLERS, ENTRIES).map_err(text)?;
    fleet.start_all().map_err(text)?;
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut searchers = start_searchers(&fleet, &arrivals, &zones, 0)?;
    let mut others = Vec::new();
    for n in 0..OTHERS {
        let address = addr(fleet.ip(140 + n), SEARCHER_PORT);
        let (id, zone) = (format!("i-archive{n}"), zones[usize::from(n)]);
        let s = Searcher::start(&fleet, &arrivals, &id, "archive", zone, address, Arc::new(|_| WORK));
        others.push(s.map_err(text)?);
    }
    put_config(&fleet, config(), ms(20_000)).ok_or("the configuration is refused")?;
    for n in 0..ENTRIES {
        if !wait_ready(&fleet, fleet.entry(n), ms(20_000)) {
            return Err("an entry is not ready".into());
        }
    }
    thread::sleep(ms(4_000));
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for n in 0..ENTRIES {
        let to = addr(fleet.programs[fleet.entry(n)].ip, CALLERS_PORT);
        for c in 0..=REQUESTERS {
            let (record, stop) = (record.clone(), stop.clone());
            threads.push(thread::spawn(move || {
                let (mut http, mut answers) = (None, Vec::new());
                thread::sleep(ms((n * 37 + c * 53) as u64 % 300));
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    // The last requester of an entry uses the other service, seldom.
                    let is_other = c == REQUESTERS;
                    let path = match is_other {
                        true => format!("/archive/search?q=order-{n}-{number}"),
                        false => format!("/consult/search?q=notice-{n}-{c}-{number}"),
                    };
                    answers.push(search(&record, &mut http, to, &path));
                    let pause = PAUSE + ms((n * REQUESTERS + c) as u64 * 7);
                    thread::sleep(if is_other { OTHER_PAUSE } else { pause });
                }
                answers
            }));
        }
    }
    thread::sleep(ms(10_000));
    let fault_at = record.now();
    record.line("the final fault: all programs are killed");
    for i in 0..fleet.programs.len() {
        fleet.signal(i, "KILL");
    }
    for i in 0..fleet.programs.len() {
        fleet.reap(i, ms(2000));
    }
    thread::sleep(ALL_DOWN.saturating_sub(record.now() - fault_at));
    for i in 0..fleet.programs.len() {
        fleet.start(i, false).map_err(text)?;
    }
    let back_at = record.now();
    thread::sleep(ms(2_000));
    for start in (1..=CRASHES).filter(|_| case.trouble) {
        record.line("all searchers of the service crash");
        searchers.iter().for_each(Searcher::crash);
        thread::sleep(DOWN);
        searchers = start_searchers(&fleet, &arrivals, &zones, start)?;
        record.line("all searchers of the service are up again");
        if start < CRASHES {
            thread::sleep(UP);
        }
    }
    let well_at = record.now();
    thread::sleep((back_at + RECOVERY + MEASURED).saturating_sub(record.now()));
    stop.store(true, Ordering::Relaxed);
    let mut answers = Vec::new();
    for t in threads {
        answers.extend(t.join().map_err(|_| "a requester failed")?);
    }
    let ended = fleet.ended();
    if !ended.is_empty() {
        return Err(format!("a program has ended: {ended:?}"));
    }
    searchers.iter().chain(&others).for_each(Searcher::crash);
    let share = |name: &str, from: Duration, until: Duration| {
        let sent = answers.iter().filter(|(at, _)| *at >= from && *at < until);
        let statuses = sent.fold(HashMap::<u16, usize>::new(), |mut all, (_, status)| {
            *all.entry(*status).or_default() += 1;
            all
        });
        let (count, served) = (statuses.values().sum::<usize>(), statuses.get(&200).copied().unwrap_or(0));
        record.line(&format!("{name}: {served} of {count} requests were served; answers by status: {statuses:?}"));
        served as f64 / count.max(1) as f64
    };
    let before = share("before the final fault", Duration::ZERO, fault_at);
    let _ = share("after the last crash, until 12 s after the programs were back", well_at, back_at + RECOVERY);
    let after = share("later than 12 s after the programs were back", back_at + RECOVERY, Duration::MAX);
    record.line("RECOVER allows no less than a quarter after it, if a quarter or more was served before it");
    if before < 0.25 {
        return Err("too few requests were served before the final fault".into());
    }
    Ok(i32::from(after < 0.25))
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
