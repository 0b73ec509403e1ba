//! One instance of the query tier, its settings check, demo and stand-ins.
//!
//! - [`args`]: the command line
//! - [`serve`]: runs an instance until it is told to stop
//! - [`fleet`]: runs an entry or a controller
//! - [`demo`]: shows the main job in one process
//! - [`demo_routed`]: its part with routed requests
//! - [`standins`]: runs stand-in backend servers
//! - [`load`]: sends queries and prints what came back

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
const FAILED: u8 = 1;

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
            ExitCode::from(FAILED)
        }
    }
}

/// Builds a runtime with `threads` threads for traffic.
fn runtime(threads: u32) -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads as usize)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(|e| format!("threads cannot be started ({e}): check the process limits"))
}
