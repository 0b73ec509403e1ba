//! Sends queries at a steady rate and prints a report.

use hornbeam_events::outln;
use std::time::Duration;

use hornbeam_standin::{LoadPlan, RequestTemplate};

use crate::args::LoadArgs;
use crate::standins::parse_addresses;

/// Longest duration of a run, in seconds.
const MAX_SECONDS: u64 = 3_600;
/// Highest rate, in queries per second.
const MAX_QUERIES_PER_S: f64 = 100_000.0;

/// Sends queries or routed requests and prints the report as JSON.
pub fn run(args: &LoadArgs) -> Result<(), String> {
    let is_rate_valid = args.rate > 0.0 && args.rate <= MAX_QUERIES_PER_S;
    if !is_rate_valid || !(1..=MAX_SECONDS).contains(&args.seconds) {
        return Err(
            "--rate must be above 0 and at most 100000, --seconds 1 to 3600: choose values in \
             range"
                .into(),
        );
    }
    let request = match (&args.service, &args.path) {
        (Some(service), None) => {
            let service = service.parse().map_err(|e| format!("{e}"))?;
            RequestTemplate::Queries { service, limit: 10, single_percent: args.single_percent }
        }
        (None, Some(path)) => {
            RequestTemplate::Routed { host: args.host.clone(), path: path.clone() }
        }
        _ => return Err("exactly one of --service and --path is required: pass one of them".into()),
    };
    let plan = LoadPlan {
        targets: parse_addresses(&args.targets)?,
        request,
        rate: args.rate,
        time: Duration::from_secs(args.seconds),
    };
    let report = crate::runtime(2)?.block_on(hornbeam_standin::load::run(&plan));
    let text = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
    outln!("{text}");
    Ok(())
}
