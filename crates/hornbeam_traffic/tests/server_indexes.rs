//! Indexes of removed servers are reused, so that server churn does not grow the fleet.

use std::time::Duration;

use hornbeam_model::{Mono, ServerId};
use hornbeam_testkit::samples;
use hornbeam_traffic::{Fleet, FleetParams, Roster, ServerChange};

#[test]
fn churn_is_bounded() {
    let me: hornbeam_model::InstanceId = "node-0".parse().unwrap();
    let params =
        FleetParams { instance: me.clone(), zone: "a".parse().unwrap(), random_pick: false };
    let mut fleet = Fleet::new(params, Roster::new([me]));
    let mut now = Mono::from_millis(1);
    fleet.set_config(now, &samples::config("planner", samples::service(100)));
    for n in 0..5_000u32 {
        let name = format!("s{n}");
        let holding = samples::holding(1, 4, [n % 4]);
        let a = samples::announcement(&name, "a", "planner", vec![holding]);
        fleet.apply(now, &[ServerChange::Announced(a)]);
        if n >= 4 {
            let old: ServerId = format!("s{}", n - 4).parse().unwrap();
            fleet.apply(now, &[ServerChange::Removed(old)]);
        }
        now = now + Duration::from_secs(30);
        let service = fleet.service(&"planner".parse().unwrap()).unwrap();
        let table = service.table.current().unwrap();
        let held: usize = table.replicas.iter().map(Vec::len).sum();
        assert_eq!(held, 4.min(n as usize + 1), "after {n} servers");
    }
    // An index is reusable after 15 minutes and a server arrives every 30 seconds; the listed
    // servers come on top.
    assert!(fleet.servers().len() < 50, "{} indexes", fleet.servers().len());
    assert_eq!(fleet.servers().iter().filter(|s| s.listed).count(), 4);
}
