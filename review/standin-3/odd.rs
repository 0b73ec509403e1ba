//! Case 14: another writer sends one odd ping for each searcher of a service: its service is named nowhere. The
//! searchers go on as before, and no request is served any more.

#[path = "../standin-2/lab.rs"]
mod lab;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::{process, thread};

use lab::{API_PORT, Connection, Lab, Record, Searcher, cannot_run, config, route, trouble};

/// Requests of each kind that are judged.
const SENT: usize = 300;
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(50);
/// Time after the odd pings from which requests are judged; longer than the lease of a searcher.
const SETTLING: Duration = Duration::from_secs(12);

/// Sends a ping under the id and the start of a searcher, with an address and a service that are none of its own. Returns
/// the status line of the answer.
fn odd_ping(lab: &Arc<Lab>, searcher: &Searcher, controller: usize) -> String {
    let body = format!(
        "{{\"service\":\"nobody0\",\"address\":\"{}:9\",\"zone\":\"{}\",\"version\":\"v1\",\"max-concurrency\":2,\
         \"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":4000000000,\"born\":{}}}",
        lab.ip(199), searcher.zone, searcher.born
    );
    let to = format!("{}:{API_PORT}", lab.controller_ip(controller));
    let Ok(stream) = TcpStream::connect(&to) else { return "no connection".to_owned() };
    let mut c = stream;
    let _ = c.set_read_timeout(Some(Duration::from_secs(2)));
    let _ = write!(
        c,
        "POST /v1/instances/{}/heartbeat HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        searcher.id,
        body.len()
    );
    let mut answer = String::new();
    let _ = std::io::Read::read_to_string(&mut c, &mut answer);
    answer.lines().next().unwrap_or_default().to_owned()
}

/// Requests of both kinds sent and served.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: [usize; 2],
    served: [usize; 2],
}

impl Counts {
    fn add(&mut self, other: Self) {
        for kind in 0..2 {
            self.sent[kind] += other.sent[kind];
            self.served[kind] += other.served[kind];
        }
    }

    /// Returns true if the first kind is served less than a quarter as often as all requests.
    fn is_starved(&self) -> bool {
        let share = |served: usize, sent: usize| served as f64 / sent.max(1) as f64;
        let all = share(self.served.iter().sum(), self.sent.iter().sum());
        share(self.served[0], self.sent[0]) < all / 4.0
    }
}

fn send(lab: &Arc<Lab>, round: &str, count: usize) -> Counts {
    let mut counts = Counts::default();
    for n in 0..count {
        for (kind, path) in ["/one/x", "/two/x"].iter().enumerate() {
            let id = format!("{round}-{kind}-{n}");
            let answer = Connection::open(lab.callers(n % lab.entries), Duration::from_secs(5))
                .and_then(|mut c| c.request("GET", path, &id, 4_000));
            let status = answer.map_or(0, |a| a.status);
            lab.record.line(&format!("sent {id}, answered {status}"));
            counts.sent[kind] += 1;
            counts.served[kind] += usize::from(status == 200);
            thread::sleep(PAUSE);
        }
    }
    counts
}

fn main() {
    let record = Record::open(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let lab = Lab::new(&record, 3, 2);
    lab.start_all();
    let start = |service: &str, n: usize| {
        Searcher::start(&lab, &format!("i-{service}-{n}"), service, lab::ZONES[n % 2], &lab.ip(100 + n))
    };
    let archive = [start("archive", 0), start("archive", 1)];
    let portal = [start("portal", 2), start("portal", 3)];
    thread::sleep(Duration::from_millis(2_500));
    let routes = [
        route("r-one", "/one/", "archive", "idempotent", 4_000),
        route("r-two", "/two/", "portal", "idempotent", 4_000),
    ];
    if lab.configure(&config(1, &routes, &["archive", "portal"])) != 200 {
        cannot_run(Some(&lab), &record, "the configuration is not acknowledged");
    }
    lab.wait_ready(Duration::from_secs(10));
    let mut counts = send(&lab, "before", 20);
    if counts.served.iter().any(|served| *served < 18) {
        cannot_run(Some(&lab), &record, "requests are not served before");
    }
    if trouble() {
        for (n, searcher) in archive.iter().enumerate() {
            let status = odd_ping(&lab, searcher, n);
            record.line(&format!("odd ping under the id {} to controller-{n}: {status}", searcher.id));
        }
    }
    thread::sleep(SETTLING);
    let after = send(&lab, "after", SENT);
    counts.add(after);
    let runs = |s: &[Arc<Searcher>]| s.iter().map(|s| s.runs.lock().unwrap().len()).sum::<usize>();
    let (archive_runs, portal_runs) = (runs(&archive), runs(&portal));
    lab.stop();
    let text = format!(
        "served from 12 s after the odd pings on: {:?} of {:?}; in all {:?} of {:?}, run {archive_runs} and {portal_runs}",
        after.served, after.sent, counts.served, counts.sent
    );
    record.line(&text);
    println!("{text}");
    process::exit(i32::from(counts.is_starved()));
}
