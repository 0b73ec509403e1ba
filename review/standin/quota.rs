//! A tenant that has rested sends several times its usual for some seconds, and all controllers are killed right
//! after the jump.

mod fleet;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fleet::*;

const ENTRIES: usize = 9;
/// Connections of requesters to each entry; each sends at an equal pace.
const CONNECTIONS: usize = 6;
/// How many times its usual the tenant sends, and for how long: the largest dose of `hot_tenant`.
const TIMES: f64 = 7.5;
const HOT: Duration = Duration::from_millis(6500);
/// Bounds of the deployment.
const WINDOW: f64 = 5.0;
const OVERSHOOT: f64 = 0.1;
const TOLERANCE: f64 = 20.0;

/// Load of the tenant, and its quota.
struct Plan {
    /// The quota of the tenant: requests a second, and the burst.
    rate: f64,
    burst: f64,
    /// The usual of the tenant, in requests a second.
    usual: f64,
    /// Time from the jump to the kill of all controllers.
    kill_after: Duration,
}

/// Time for which the controllers are down; the pages say that they are back within a second.
const DOWN: Duration = Duration::from_millis(900);

fn config(plan: &Plan) -> String {
    let (rate, burst) = (plan.rate, plan.burst);
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-serial","host":"portal.example","path-prefix":"/serial/","route-type":"idempotent","timeout-ms":6000,"target-latency-ms":800,"priority":1,"service":"warranty","max-attempts":2}}],"services":[{{"name":"warranty","health-path":"/healthz","max-connections":540,"protocol":"h1","tls-enabled":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"installer","api-keys":["k-3f19c2"],"rate-per-s":{rate},"burst":{burst}}}]}}"#
    )
}

fn run(case: &Case) -> Result<i32, String> {
    let plan = Plan { rate: 100.0, burst: 400.0, usual: 100.0, kill_after: ms(350) };
    let record = case.record.clone();
    let text = |e: std::io::Error| e.to_string();
    let zones = ["kitami-a", "obihiro-b", "kushiro-c"];
    let mut fleet = Fleet::new(&case.root, &case.dir, record.clone(), &zones, 4, ENTRIES).map_err(text)?;
    fleet.extra_entry_settings =
        format!("quota:\n  window_s: {WINDOW}\n  overshoot: {OVERSHOOT}\n  tolerance: {TOLERANCE}\n");
    fleet.start_all().map_err(text)?;
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut searchers = Vec::new();
    for n in 0..6_u8 {
        let zone = zones[usize::from(n) % 3];
        let address = addr(fleet.ip(120 + n), SEARCHER_PORT);
        let work: Work = Arc::new(|_| ms(2));
        let id = format!("i-warranty{n}");
        let s = Searcher::start(&fleet, &arrivals, &id, "warranty", zone, address, work);
        searchers.push(s.map_err(text)?);
    }
    put_config(&fleet, &config(&plan), ms(20_000)).ok_or("the configuration is refused")?;
    for n in 0..ENTRIES {
        if !wait_ready(&fleet, fleet.entry(n), ms(20_000)) {
            return Err("an entry is not ready".into());
        }
    }
    // Rate of each connection, in millionths of a request a second.
    let pace = Arc::new(AtomicU64::new(0));
    let usual = plan.usual / (ENTRIES * CONNECTIONS) as f64;
    let set = |times: f64| pace.store((usual * times * 1e6) as u64, Ordering::Relaxed);
    set(1.0);
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for n in 0..ENTRIES {
        let to = addr(fleet.programs[fleet.entry(n)].ip, CALLERS_PORT);
        for c in 0..CONNECTIONS {
            let (record, pace, stop) = (record.clone(), pace.clone(), stop.clone());
            threads.push(thread::spawn(move || {
                let mut sent: Vec<(String, Duration, u16)> = Vec::new();
                let mut http = Http::connect(to, ms(1000)).ok();
                thread::sleep(ms((n * 37 + c * 53) as u64 % 170));
                let mut due = Instant::now();
                while !stop.load(Ordering::Relaxed) {
                    let now = Instant::now();
                    if now < due {
                        thread::sleep((due - now).min(ms(5)));
                        continue;
                    }
                    let rate = pace.load(Ordering::Relaxed) as f64 / 1e6;
                    due = due.max(now - ms(200)) + Duration::from_secs_f64(1.0 / rate);
                    let id = next_id();
                    let head = request("GET", "/serial/1", "portal.example", &id, 6000, "Api-Key: k-3f19c2\r\n");
                    let at = record.now();
                    let reply = http.as_mut().map(|h| h.write(head.as_bytes()).and_then(|()| h.read_message()));
                    let status = match reply {
                        Some(Ok(r)) => r.head.status(),
                        _ => {
                            http = Http::connect(to, ms(1000)).ok();
                            0
                        }
                    };
                    sent.push((id, at, status));
                }
                sent
            }));
        }
    }
    // The tenant is steady for longer than two windows first.
    thread::sleep(ms(15_000));
    // The jump is part of the load, and the kill is the disruption that is left out.
    record.line("the tenant sends 7.5 times its usual");
    set(TIMES);
    let hot_until = Instant::now() + HOT;
    if case.trouble {
        thread::sleep(plan.kill_after);
        let controllers: Vec<usize> =
            (0..fleet.programs.len()).filter(|i| !fleet.programs[*i].is_entry).collect();
        for i in &controllers {
            fleet.signal(*i, "KILL");
        }
        for i in &controllers {
            fleet.reap(*i, ms(2000));
        }
        thread::sleep(DOWN);
        for i in &controllers {
            fleet.start(*i, false).map_err(text)?;
        }
    }
    thread::sleep(hot_until.saturating_duration_since(Instant::now()));
    set(1.0);
    record.line("the tenant sends its usual");
    thread::sleep(ms(6_000));
    stop.store(true, Ordering::Relaxed);
    let mut sent = HashMap::new();
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    for t in threads {
        for (id, at, status) in t.join().map_err(|_| "a requester failed")? {
            *statuses.entry(status).or_default() += 1;
            record.line(&format!("request {id} was sent at {:.3} and answered {status}", at.as_secs_f64()));
            sent.insert(id, at);
        }
    }
    let ended = fleet.ended();
    if !ended.is_empty() {
        return Err(format!("a program has ended: {ended:?}"));
    }
    for s in &searchers {
        s.crash();
    }
    // Requests that were both sent and ran inside a window.
    let mut runs: Vec<(f64, f64)> = Vec::new();
    for a in arrivals.lock().unwrap().iter().filter(|a| a.ran) {
        if let Some(at) = sent.get(&a.id) {
            runs.push((at.as_secs_f64(), a.at.as_secs_f64()));
        }
    }
    runs.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut most = (0, 0.0);
    for (i, (from, _)) in runs.iter().enumerate() {
        let until = from + WINDOW;
        let inside = runs[i..].iter().take_while(|r| r.0 <= until).filter(|r| r.1 <= until).count();
        if inside > most.0 {
            most = (inside, *from);
        }
    }
    let allowed = (plan.rate * WINDOW + plan.burst) * (1.0 + OVERSHOOT) + TOLERANCE;
    record.line(&format!("answers by status: {statuses:?}"));
    record.line(&format!(
        "most requests that were sent and ran in {WINDOW} s: {} from {:.3} s on; QUOTA allows {allowed}",
        most.0, most.1
    ));
    Ok(i32::from(most.0 as f64 > allowed))
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
