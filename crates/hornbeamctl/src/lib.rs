//! Operator commands for a running system.
//!
//! - [`args`]: the command line
//! - [`client`]: HTTP client for the operator endpoints of instances
//! - [`change`]: submits a configuration change and waits until it is in force
//! - [`config`]: shows, compares and applies the configuration
//! - [`control`]: replaces voters
//! - [`status`]: shows the status of instances and drains one
//! - [`explain`]: reconstructs the outcome of one request from the logs
//! - [`logs`]: reads and merges structured logs of entries and controllers
//! - [`events`]: events of instances, also merged into a timeline

pub mod args;
pub mod change;
pub mod client;
pub mod config;
pub mod control;
pub mod events;
pub mod explain;
pub mod logs;
pub mod status;

use args::{Args, Command};
use client::CommandError;

/// Runs one command.
///
/// # Errors
///
/// Returns the error that the command ended with; [`CommandError::exit_code`] maps it to the exit
/// code.
pub async fn run(args: &Args) -> Result<(), CommandError> {
    // These commands read only files, so that they need no `--instances`.
    match &args.command {
        Command::Explain(command) => return explain::run(command),
        Command::Timeline(command) if !command.files.is_empty() => {
            return logs::timeline(&command.files, command.json);
        }
        _ => {}
    }
    let client = client::Client::new(&args.instances, args.token_file.as_deref())?;
    match &args.command {
        Command::Status(command) => status::run(&client, command).await,
        Command::Events(command) => events::run(&client, command).await,
        Command::Timeline(command) => events::timeline(&client, command).await,
        Command::Drain(command) => status::drain(&client, command).await,
        Command::Config(command) => config::run(&client, &command.command).await,
        Command::Service(command) => config::service(&client, &command.command).await,
        Command::Schema(command) => config::schema(&client, command).await,
        Command::Explain(command) => explain::run(command),
        Command::Control(command) => control::run(&client, &command.command).await,
    }
}
