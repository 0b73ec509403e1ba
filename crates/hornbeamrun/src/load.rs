//! Sends queries and prints what came back.

use hornbeam_events::outln;
use std::time::Duration;

use hornbeam_standin::{Asked, LoadPlan};

use crate::args::LoadArgs;
use crate::standins::addresses;

/// Longest run, in seconds.
const MAX_SECONDS: u64 = 3_600;
/// Highest rate, in queries a second.
const MAX_RATE: f64 = 100_000.0;

/// Sends queries and prints what came back as JSON.
pub fn run(args: &LoadArgs) -> Result<(), String> {
    let rate_fits = args.rate > 0.0 && args.rate <= MAX_RATE;
    if !rate_fits || !(1..=MAX_SECONDS).contains(&args.seconds) {
        return Err(
            "rate is above 0 up to 100000, seconds 1 to 3600: choose values in range".into()
        );
    }
    let what = match (&args.service, &args.path) {
        (Some(service), None) => {
            let service = service.parse().map_err(|e| format!("{e}"))?;
            Asked::Queries { service, limit: 10, single_percent: args.single_percent }
        }
        (None, Some(path)) => Asked::Routed { host: args.host.clone(), path: path.clone() },
        _ => return Err("name either --service or --path".into()),
    };
    let plan = LoadPlan {
        targets: addresses(&args.targets)?,
        what,
        rate: args.rate,
        time: Duration::from_secs(args.seconds),
    };
    let report = crate::runtime(2)?.block_on(hornbeam_standin::load::run(&plan));
    let text = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
    outln!("{text}");
    Ok(())
}
