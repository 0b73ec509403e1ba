//! The command line.

use std::path::PathBuf;

use argh::FromArgs;

/// Operator commands for a running system. Exit codes: 0 done, 1 failed, 2 refused,
/// 3 outcome unknown, 4 some instances not reached.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// instances to talk to, as ip:port of their HTTP side, separated by commas
    #[argh(option, short = 'i', default = "String::new()")]
    pub instances: String,
    /// file with the operator token
    #[argh(option, short = 't')]
    pub token_file: Option<PathBuf>,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// What each instance knows.
    Status(StatusArgs),
    /// Events of each instance.
    Events(EventsArgs),
    /// Events of all instances in one order.
    Timeline(TimelineArgs),
    /// What became of one request.
    Explain(ExplainArgs),
    /// Shut an instance down.
    Drain(DrainArgs),
    /// The configuration.
    Config(ConfigArgs),
    /// One service.
    Service(ServiceArgs),
    /// Live schema versions.
    Schema(SchemaArgs),
    /// Who votes.
    Control(ControlArgs),
}

/// Show what each instance knows: revision, services, servers, peers.
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
    /// only events after this position
    #[argh(option, default = "0")]
    pub since: u64,
    /// print JSON lines
    #[argh(switch)]
    pub json: bool,
}

/// Show what became of one request and why, from the logs of entries and controllers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// id of the request
    #[argh(positional)]
    pub request: String,
    /// logs of all programs
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Show the events of all instances, or the lines of logs of entries and controllers, in one order.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineArgs {
    /// print JSON lines
    #[argh(switch)]
    pub json: bool,
    /// logs of entries and controllers; instances are not asked then
    #[argh(positional)]
    pub files: Vec<std::path::PathBuf>,
}

/// Shut an instance down in good order.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// name of the instance; it must be among those of --instances
    #[argh(positional)]
    pub instance: String,
}

/// Show or change the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: ConfigCommand,
}

/// What to do with the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ConfigCommand {
    /// Print it.
    Show(ConfigShowArgs),
    /// Compare it with a file.
    Diff(ConfigDiffArgs),
    /// Replace it by a file.
    Apply(ConfigApplyArgs),
    /// Latest changes.
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

/// Say how a file differs from the configuration in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct ConfigDiffArgs {
    /// YAML file with all services
    #[argh(positional)]
    pub file: PathBuf,
}

/// Replace all services by those of a file and wait until that is in force.
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
    /// what to do
    #[argh(subcommand)]
    pub command: ServiceCommand,
}

/// What to do with a service.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ServiceCommand {
    /// Create or replace a service.
    Put(ServicePutArgs),
    /// Remove a service.
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

/// Change who votes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "control")]
pub struct ControlArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: ControlCommand,
}

/// What to do with the voters.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ControlCommand {
    /// Replace a voter.
    Replace(ControlReplaceArgs),
}

/// Replace a voter by another instance, or by the same one with an empty disk.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replace")]
pub struct ControlReplaceArgs {
    /// voter that goes
    #[argh(positional)]
    pub outgoing: String,
    /// instance that comes
    #[argh(positional)]
    pub incoming: String,
}
