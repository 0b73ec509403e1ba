//! Runs seeds of the soak test and prints the guarantees that were violated.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use hornbeam_soak::run::{Options, run_seed};

/// Third octet of the loopback addresses of the first seed; the lower ones are those of tests.
const FIRST_NET: u8 = 30;

/// Runs entries and controllers as processes, injects faults and checks their guarantees.
#[derive(Debug, FromArgs)]
struct Args {
    /// path of the hornbeamrun program
    #[argh(option, default = "PathBuf::from(\"target/release/hornbeamrun\")")]
    binary: PathBuf,
    /// path of another build that runs beside it: neighbours and restarts alternate between both
    #[argh(option)]
    other_binary: Option<PathBuf>,
    /// first seed
    #[argh(option, default = "1")]
    first: u64,
    /// number of seeds
    #[argh(option, default = "50")]
    seeds: u64,
    /// time during which faults are injected, in seconds
    #[argh(option, default = "12")]
    seconds: u64,
    /// number of entries
    #[argh(option, default = "3")]
    entries: usize,
    /// number of controllers
    #[argh(option, default = "4")]
    controllers: usize,
    /// number of seeds that run concurrently
    #[argh(option, default = "3")]
    jobs: u64,
    /// folder for the logs of seeds that failed
    #[argh(option, default = "PathBuf::from(\"bench-out/soak\")")]
    logs: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!(
                "hornbeam_soak: cannot start the runtime threads ({e}): check the process limits"
            );
            return ExitCode::FAILURE;
        }
    };
    if runtime.block_on(run(&args)) == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs all seeds and returns the number of failed ones.
async fn run(args: &Args) -> u64 {
    let mut failed = 0;
    let mut tasks = tokio::task::JoinSet::new();
    let mut next = args.first;
    let end = args.first + args.seeds;
    while next < end || !tasks.is_empty() {
        while next < end && (tasks.len() as u64) < args.jobs.max(1) {
            let options = Options {
                binaries: [args.binary.clone()]
                    .into_iter()
                    .chain(args.other_binary.clone())
                    .collect(),
                seed: next,
                net: FIRST_NET + (next % 200) as u8,
                length: Duration::from_secs(args.seconds),
                programs: (args.entries, args.controllers),
                server_proxies: true,
                // Earlier builds take version 0 for no table.
                first_version: u64::from(args.other_binary.is_some() || !next.is_multiple_of(4)),
            };
            tasks.spawn(run_and_report(options, args.logs.clone()));
            next += 1;
        }
        match tasks.join_next().await {
            Some(Ok(true)) | None => {}
            Some(Ok(false) | Err(_)) => failed += 1,
        }
    }
    println!("{} passed, {failed} failed", args.seeds - failed);
    failed
}

/// Runs one seed, prints its outcome and returns whether every guarantee held.
async fn run_and_report(options: Options, logs: PathBuf) -> bool {
    let seed = options.seed;
    let folder = logs.join(seed.to_string());
    if let Err(e) = std::fs::create_dir_all(&folder) {
        println!(
            "seed {seed}: cannot create the log folder {} ({e}): choose another one",
            folder.display()
        );
        return false;
    }
    match run_seed(&options, &folder).await {
        Ok(outcome) if outcome.violations.is_empty() => {
            println!("seed {seed}: {} of {} served", outcome.served, outcome.requests);
            // The logs of passed seeds are not needed; a folder that cannot be removed does no
            // harm.
            let _ = std::fs::remove_dir_all(&folder);
            true
        }
        Ok(outcome) => {
            println!("seed {seed}: {} of {} served", outcome.served, outcome.requests);
            for fault in &outcome.faults {
                println!("  injected {fault}");
            }
            for violation in outcome.violations.iter().take(12) {
                println!("  violated {violation}");
            }
            false
        }
        Err(e) => {
            println!("seed {seed}: {e}");
            false
        }
    }
}
