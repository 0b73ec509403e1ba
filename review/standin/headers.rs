//! Requesters on kept connections send heads that are longer than the limit at the time of their connection and
//! within the one in force, which a configuration has raised meanwhile.

mod fleet;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use fleet::*;

const CONNECTIONS: usize = 12;

fn config(version: u64, max_header_bytes: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-lookup","host":"plots.example","path-prefix":"/plot/","route-type":"idempotent","timeout-ms":4000,"target-latency-ms":250,"priority":1,"service":"tablet","max-attempts":2}}],"services":[{{"name":"tablet","health-path":"/healthz","max-connections":110,"protocol":"h1","tls-enabled":false}}],"limits":{{"max-header-bytes":{max_header_bytes},"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    )
}

/// Sends one request; returns its status, and whether the answer is a searcher's.
fn send(record: &Record, http: &mut Http, who: &str, filler: usize) -> (u16, bool) {
    let id = next_id();
    let more = match filler {
        0 => String::new(),
        n => format!("Drawing-Context: {}\r\n", "x".repeat(n)),
    };
    let text = request("GET", "/plot/7", "plots.example", &id, 4000, &more);
    let reply = http.write(text.as_bytes()).and_then(|()| http.read_message());
    let (status, sealed) = match &reply {
        Ok(r) => (r.head.status(), r.head.get("response-seal").is_some()),
        Err(_) => (0, false),
    };
    record.line(&format!(
        "{who}: request {id}, head of {} bytes, answered {status}, by a searcher: {sealed}",
        text.len()
    ));
    (status, sealed)
}

/// Opens the connections of all requesters; tries again until the entries accept them.
fn connect_all(fleet: &Fleet) -> Result<Vec<(String, std::net::SocketAddr, Http)>, String> {
    let mut kept = Vec::new();
    for n in 0..2 {
        let to = addr(fleet.programs[fleet.entry(n)].ip, CALLERS_PORT);
        for c in 0..CONNECTIONS {
            let until = fleet.record.now() + ms(5000);
            let http = loop {
                match Http::connect(to, ms(1000)) {
                    Ok(http) => break http,
                    Err(e) if fleet.record.now() >= until => return Err(e.to_string()),
                    Err(_) => thread::sleep(ms(20)),
                }
            };
            http.stream.set_read_timeout(Some(ms(6000))).map_err(|e| e.to_string())?;
            kept.push((format!("entry {n} kept connection {c}"), to, http));
        }
    }
    fleet.record.line("all requesters have a connection");
    Ok(kept)
}

fn run(case: &Case) -> Result<i32, String> {
    let record = case.record.clone();
    let text = |e: std::io::Error| e.to_string();
    let mut fleet = Fleet::new(&case.root, &case.dir, record.clone(), &["olomouc", "prerov"], 3, 2)
        .map_err(text)?;
    fleet.start_all().map_err(text)?;
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut searchers = Vec::new();
    for n in 0..2_u8 {
        let (id, zone) = (format!("i-tablet{n}"), ["olomouc", "prerov"][usize::from(n)]);
        let address = addr(fleet.ip(120 + n), SEARCHER_PORT);
        let work: Work = Arc::new(|_| ms(10));
        let searcher = Searcher::start(&fleet, &arrivals, &id, "tablet", zone, address, work);
        searchers.push(searcher.map_err(text)?);
    }
    // Without the disruption the first configuration has the larger limit already.
    let first = if case.trouble { 16_384 } else { 65_536 };
    put_config(&fleet, &config(1, first), ms(20_000)).ok_or("the first configuration is refused")?;
    for n in 0..2 {
        if !wait_ready(&fleet, fleet.entry(n), ms(20_000)) {
            return Err("an entry is not ready".into());
        }
    }
    let (mut total, mut own, mut lost) = (0_usize, 0_usize, 0_usize);
    let mut kept = connect_all(&fleet)?;
    let mut small = |kept: &mut Vec<(String, std::net::SocketAddr, Http)>| {
        for (who, _, http) in kept.iter_mut() {
            total += 1;
            match send(&record, http, who, 0) {
                (200, true) => {}
                other => lost += usize::from(other.0 == 0),
            }
        }
    };
    small(&mut kept);
    if case.trouble {
        put_config(&fleet, &config(2, 65_536), ms(20_000)).ok_or("the change is not acknowledged")?;
        record.line("version 2 is acknowledged: max-header-bytes is 65536");
    }
    // Longer than config-apply-ms and contact-window-ms together; the connections stay in use.
    let until = record.now() + CONFIG_APPLY + CONTACT_WINDOW + ms(1000);
    while record.now() < until {
        small(&mut kept);
        thread::sleep(Duration::from_secs(1));
    }
    for (who, to, http) in &mut kept {
        total += 2;
        let (status, sealed) = send(&record, http, who, 20_000);
        own += usize::from((300..500).contains(&status) && !sealed && ![408, 421, 429].contains(&status));
        lost += usize::from(status == 0);
        // The same request on a new connection shows that the limit is in force at the entry.
        let mut fresh = Http::connect(*to, ms(1000)).map_err(text)?;
        fresh.stream.set_read_timeout(Some(ms(6000))).map_err(text)?;
        let (status, sealed) = send(&record, &mut fresh, "new connection", 20_000);
        if (status, sealed) != (200, true) {
            return Err(format!("a new connection gets {status}"));
        }
    }
    let ended = fleet.ended();
    if !ended.is_empty() {
        return Err(format!("a program has ended: {ended:?}"));
    }
    for searcher in &searchers {
        searcher.crash();
    }
    let allowed = 5 + total / 500;
    record.line(&format!(
        "{own} of {total} proper requests were ended with a 4xx of the entry, {lost} without an answer; \
         DENIED allows {allowed}"
    ));
    Ok(i32::from(own > allowed))
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
