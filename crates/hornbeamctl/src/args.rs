//! Command-line arguments of `hornbeamctl`.

use std::path::PathBuf;

use argh::FromArgs;

/// Operator commands for a running system. Exit codes: 0 done, 1 failed, 2 refused,
/// 3 outcome unknown, 4 some instances not reached.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// HTTP addresses of the instances, as ip:port, separated by commas
    #[argh(option, short = 'i', default = "String::new()")]
    pub instances: String,
    /// file that holds the operator token
    #[argh(option, short = 't')]
    pub token_file: Option<PathBuf>,
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands of `hornbeamctl`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Shows the status of each instance.
    Status(StatusArgs),
    /// Shows the events of each instance.
    Events(EventsArgs),
    /// Shows the events of all instances in order of time.
    Timeline(TimelineArgs),
    /// Explains the outcome of one request.
    Explain(ExplainArgs),
    /// Drains an instance and shuts it down.
    Drain(DrainArgs),
    /// Shows or changes the configuration.
    Config(ConfigArgs),
    /// Creates, changes or removes one service.
    Service(ServiceArgs),
    /// Sets the live schema versions of a service.
    Schema(SchemaArgs),
    /// Changes the voters.
    Control(ControlArgs),
}

/// Show the status of each instance: revision, services, servers, peers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// list every backend server
    #[argh(switch)]
    pub servers: bool,
}

/// Show the events of each instance.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "events")]
pub struct EventsArgs {
    /// show only events after this sequence number
    #[argh(option, default = "0")]
    pub since: u64,
    /// print JSON lines
    #[argh(switch)]
    pub json: bool,
}

/// Explain the outcome of one request from the logs of entries and controllers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// id of the request
    #[argh(positional)]
    pub request: String,
    /// log files of all entries and controllers
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Show the events of all instances, or the log lines of entries and controllers, in order of time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineArgs {
    /// print JSON lines
    #[argh(switch)]
    pub json: bool,
    /// log files of entries and controllers; with files, no instance is contacted
    #[argh(positional)]
    pub files: Vec<std::path::PathBuf>,
}

/// Drain an instance and shut it down.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// name of the instance; --instances must contain its address
    #[argh(positional)]
    pub instance: String,
}

/// Show or change the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    /// command to run
    #[argh(subcommand)]
    pub command: ConfigCommand,
}

/// Subcommands of `hornbeamctl config`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ConfigCommand {
    /// Prints the configuration in force.
    Show(ConfigShowArgs),
    /// Compares the configuration in force with a file.
    Diff(ConfigDiffArgs),
    /// Replaces the services by those of a file.
    Apply(ConfigApplyArgs),
    /// Prints the latest accepted changes.
    History(ConfigHistoryArgs),
}

/// Print the configuration in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ConfigShowArgs {
    /// print JSON instead of YAML
    #[argh(switch)]
    pub json: bool,
}

/// Show how a file differs from the configuration in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct ConfigDiffArgs {
    /// YAML file with all services
    #[argh(positional)]
    pub file: PathBuf,
}

/// Replace all services by those of a file and wait until the change is in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ConfigApplyArgs {
    /// YAML file with all services
    #[argh(positional)]
    pub file: PathBuf,
}

/// Print the latest accepted changes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct ConfigHistoryArgs {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Create, change or remove one service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct ServiceArgs {
    /// command to run
    #[argh(subcommand)]
    pub command: ServiceCommand,
}

/// Subcommands of `hornbeamctl service`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ServiceCommand {
    /// Creates or replaces a service.
    Put(ServicePutArgs),
    /// Removes a service.
    Remove(ServiceRemoveArgs),
}

/// Create a service or replace its configuration by a YAML file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
pub struct ServicePutArgs {
    /// name of the service
    #[argh(positional)]
    pub name: String,
    /// YAML file with its configuration
    #[argh(positional)]
    pub file: PathBuf,
}

/// Remove a service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct ServiceRemoveArgs {
    /// name of the service
    #[argh(positional)]
    pub name: String,
}

/// Set the live schema versions of a service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "schema")]
pub struct SchemaArgs {
    /// name of the service
    #[argh(positional)]
    pub name: String,
    /// live versions, lowest first, separated by commas
    #[argh(positional)]
    pub versions: String,
}

/// Change the voters.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "control")]
pub struct ControlArgs {
    /// command to run
    #[argh(subcommand)]
    pub command: ControlCommand,
}

/// Subcommands of `hornbeamctl control`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ControlCommand {
    /// Replaces a voter.
    Replace(ControlReplaceArgs),
}

/// Replace a voter by another instance, or by the same one with an empty disk.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replace")]
pub struct ControlReplaceArgs {
    /// voter to replace
    #[argh(positional)]
    pub outgoing: String,
    /// instance that becomes a voter
    #[argh(positional)]
    pub incoming: String,
}
