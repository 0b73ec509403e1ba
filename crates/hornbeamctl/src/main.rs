//! Command-line entry point of `hornbeamctl`.

use std::process::ExitCode;

use hornbeamctl::args::Args;
use hornbeamctl::client::EXIT_FAILED;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("hornbeamctl: the runtime cannot be started ({e}): check the process limits");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    match runtime.block_on(hornbeamctl::run(&args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hornbeamctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
