//! Load reports expire after a second and have a bounded effect on the cost of a server.

use std::time::Duration;

use hornbeam_model::{LoadReport, Mono};
use hornbeam_testkit::samples;
use hornbeam_traffic::ServerRecord;

const USUAL_US: f64 = 10_000.0;

fn server() -> ServerRecord {
    let holding = samples::holding(1, 4, [0]);
    let a = samples::announcement("s", "a", "planner", vec![holding]);
    ServerRecord::new(Mono::from_millis(1), a, true, 10, 5)
}

#[test]
fn stale_report() {
    let mut server = server();
    let now = Mono::from_millis(10);
    let idle = server.cost(now, USUAL_US);
    let report = LoadReport { busy: 2, queued: 8 };
    server.record_success(now, Duration::from_millis(10), Some(report));
    assert!(server.cost(now, USUAL_US) > idle, "a recent report raises the cost");
    let later = now + Duration::from_millis(1_001);
    assert!((server.cost(later, USUAL_US) - idle).abs() < 1.0, "an expired report has no effect");
}

#[test]
fn wild_report() {
    let mut server = server();
    let now = Mono::from_millis(10);
    let idle = server.cost(now, USUAL_US);
    let report = LoadReport { busy: u32::MAX, queued: u32::MAX };
    server.record_success(now, Duration::from_millis(10), Some(report));
    assert!(server.cost(now, USUAL_US) <= idle * 2.0, "no report more than doubles the cost");
}
