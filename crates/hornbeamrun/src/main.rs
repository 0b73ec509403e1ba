//! Runs an instance, an entry or a controller of the query tier, and its tools: the settings check,
//! the demo, stand-in backend servers and the load generator.
//!
//! - [`args`]: command-line arguments
//! - [`serve`]: runs an instance until it receives a stop signal; checks settings files
//! - [`fleet`]: runs an entry or a controller
//! - [`demo`]: demonstrates queries in one process
//! - [`demo_routed`]: routed requests of the demo
//! - [`standins`]: runs stand-in backend servers
//! - [`load`]: sends queries at a steady rate and prints a report

mod args;
mod demo;
mod demo_routed;
mod fleet;
mod load;
mod serve;
mod standins;

use std::process::ExitCode;

use args::{Args, Command};

/// Exit code of a command that failed.
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Serve(args) => serve::run(&args),
        Command::Entry(args) => fleet::entry(&args),
        Command::Controller(args) => fleet::controller(&args),
        Command::Check(args) => serve::check(&args),
        Command::Demo(args) => demo::run(&args),
        Command::Standins(args) => standins::run(&args),
        Command::Load(args) => load::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("hornbeamrun: {message}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Builds a multi-threaded runtime with `threads` worker threads.
fn runtime(threads: u32) -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads as usize)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(|e| {
            format!("the runtime cannot start {threads} threads ({e}): check the process limits")
        })
}
