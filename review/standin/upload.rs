//! An entry is stopped by SIGTERM while requesters send it requests with bodies that take some seconds to
//! arrive, on connections that were open before. The service is busy, so patient requests wait for a searcher.

mod fleet;

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fleet::*;

const ENTRIES: usize = 4;
const CONTROLLERS: usize = 4;
const SEARCHERS: u8 = 2;
/// Requesters with an open connection to the entry that is stopped.
const REQUESTERS: usize = 60;
/// When the first of them begins its request after SIGTERM, and the time between two of them.
const FIRST: Duration = Duration::from_millis(2250);
const GAP: Duration = Duration::from_millis(10);
/// Length of a body, and the time that it takes to arrive; `header-timeout-ms` is 3,000.
const BODY_BYTES: usize = 56 << 10;
const PIECES: usize = 28;
const BODY_TIME: Duration = Duration::from_millis(2800);
const WORK: Duration = Duration::from_millis(500);
const DEADLINE_MS: u64 = 6000;
/// Bounds of the deployment.
const CONTACT: Duration = Duration::from_millis(5000);
const LOSS_SLACK: Duration = Duration::from_millis(200);

fn config() -> &'static str {
    r#"{"version":1,"routes":[{"name":"r-claim","host":"portal.example","path-prefix":"/claim/","route-type":"non_idempotent","timeout-ms":6000,"target-latency-ms":800,"priority":1,"service":"warranty","max-attempts":2}],"services":[{"name":"warranty","health-path":"/healthz","max-connections":540,"protocol":"h1","tls-enabled":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"installer","api-keys":["k-3f19c2"],"rate-per-s":0,"burst":0}]}"#
}

/// One request with its body.
struct Upload {
    id: String,
    begun: Duration,
    /// When the last byte was sent; `None` if the connection ended before.
    sent: Option<Duration>,
    ended: Duration,
    /// 0 if the connection ended without a complete answer.
    status: u16,
}

fn upload(record: &Record, http: &mut Http, body_time: Duration) -> Upload {
    let id = next_id();
    let more = format!("Api-Key: k-3f19c2\r\nContent-Length: {BODY_BYTES}\r\n");
    let begun = record.now();
    let head = request("POST", "/claim/new", "portal.example", &id, DEADLINE_MS, &more);
    let mut written = http.write(head.as_bytes());
    for _ in 0..PIECES {
        thread::sleep(body_time / PIECES as u32);
        written = written.and_then(|()| http.write(&vec![b'x'; BODY_BYTES / PIECES]));
    }
    let sent = written.is_ok().then(|| record.now());
    let status = http.read_message().map_or(0, |r| r.head.status());
    Upload { id, begun, sent, ended: record.now(), status }
}

fn run(case: &Case) -> Result<i32, String> {
    let record = case.record.clone();
    let text = |e: std::io::Error| e.to_string();
    let zones = ["kitami-a", "obihiro-b", "kushiro-c"];
    let mut fleet =
        Fleet::new(&case.root, &case.dir, record.clone(), &zones, CONTROLLERS, ENTRIES).map_err(text)?;
    fleet.start_all().map_err(text)?;
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut searchers = Vec::new();
    for n in 0..SEARCHERS {
        let zone = zones[usize::from(n) % zones.len()];
        let address = addr(fleet.ip(120 + n), SEARCHER_PORT);
        let id = format!("i-warranty{n}");
        let s = Searcher::start(&fleet, &arrivals, &id, "warranty", zone, address, Arc::new(|_| WORK));
        searchers.push(s.map_err(text)?);
    }
    put_config(&fleet, config(), ms(20_000)).ok_or("the configuration is refused")?;
    for n in 0..ENTRIES {
        if !wait_ready(&fleet, fleet.entry(n), ms(20_000)) {
            return Err("an entry is not ready".into());
        }
    }
    // Longer than contact-window-ms after the start of the programs.
    thread::sleep(CONTACT + ms(1000));
    let stopped = fleet.entry(0);
    let to = addr(fleet.programs[stopped].ip, CALLERS_PORT);
    let mut threads = Vec::new();
    // SIGTERM comes after each requester has been served once on its connection.
    let term_at = Instant::now() + ms(6_000);
    for n in 0..REQUESTERS {
        let record = record.clone();
        threads.push(thread::spawn(move || {
            let mut http = Http::connect(to, ms(1000))?;
            http.stream.set_read_timeout(Some(ms(9000)))?;
            thread::sleep(GAP * n as u32);
            let first = upload(&record, &mut http, ms(300));
            let begin = term_at + FIRST + GAP * n as u32;
            thread::sleep(begin.saturating_duration_since(Instant::now()));
            let second = upload(&record, &mut http, BODY_TIME);
            Ok::<_, std::io::Error>([first, second])
        }));
    }
    thread::sleep(term_at.saturating_duration_since(Instant::now()));
    let term = record.now();
    if case.trouble {
        fleet.signal(stopped, "TERM");
        if !fleet.reap(stopped, GRACE) {
            fleet.kill(stopped);
        }
    }
    let mut uploads = Vec::new();
    for t in threads {
        let two = t.join().map_err(|_| "a requester failed")?;
        uploads.extend(two.map_err(|e| format!("a requester has no connection: {e}"))?);
    }
    thread::sleep(ms(1_000));
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
    let (mut waiting, mut cut) = (0, 0);
    let after_term = |at: Duration| at.as_secs_f64() - term.as_secs_f64();
    for u in &uploads {
        *statuses.entry(u.status).or_default() += 1;
        let passed_on = ran.contains(&u.id);
        let sent = u.sent.map(after_term);
        record.line(&format!(
            "request {}: begun {:.3} s after SIGTERM, its last byte sent at {sent:.3?}, ended at {:.3}, answered {}, \
             passed on: {passed_on}",
            u.id,
            after_term(u.begun),
            after_term(u.ended),
            u.status
        ));
        let Some(sent) = u.sent.filter(|_| u.status == 0) else { continue };
        // One that was passed on counts only if it was sent later than 3 s after SIGTERM; as its first byte was
        // not, it is left out here.
        cut += usize::from(passed_on);
        waiting += usize::from(!passed_on && u.ended > sent + LOSS_SLACK);
    }
    record.line(&format!("{} requests; answers by status, 0 for none: {statuses:?}", uploads.len()));
    record.line(&format!("requests that were passed on and cut, which are not counted: {cut}"));
    record.line(&format!(
        "requests that were cut later than 0.2 s after their last byte, and that no searcher has got: {waiting}; \
         LOST allows 0"
    ));
    Ok(i32::from(waiting > 0))
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
