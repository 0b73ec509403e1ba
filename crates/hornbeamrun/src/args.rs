//! Command-line arguments of `hornbeamrun`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use argh::FromArgs;

/// Query tier for indexes of many shards.
#[derive(Debug, FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands of `hornbeamrun`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Serve(ServeArgs),
    Entry(EntryArgs),
    Controller(ControllerArgs),
    Check(CheckArgs),
    Demo(DemoArgs),
    Standins(StandinsArgs),
    Load(LoadArgs),
}

/// Run one instance.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeArgs {
    /// settings file
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Names and formats of the interfaces to callers, backend servers and operators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DialectName {
    /// The native names and formats.
    #[default]
    Own,
    /// The names and formats of the users' platform.
    Platform,
}

impl FromStr for DialectName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "own" => Ok(Self::Own),
            "platform" => Ok(Self::Platform),
            _ => Err(format!("{text:?} is not a dialect: use own or platform")),
        }
    }
}

/// Run an entry, which routes requests of callers to backend servers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct EntryArgs {
    /// settings file
    #[argh(positional)]
    pub settings: PathBuf,
    /// names and formats of the interfaces: own or platform
    #[argh(option, default = "DialectName::Own")]
    pub dialect: DialectName,
}

/// Run a controller, which tracks backend servers and distributes routing tables.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "controller")]
pub struct ControllerArgs {
    /// settings file
    #[argh(positional)]
    pub settings: PathBuf,
    /// names and formats of the interfaces: own or platform
    #[argh(option, default = "DialectName::Own")]
    pub dialect: DialectName,
}

/// Check a settings file and exit.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// settings file
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Demonstrate queries in one process, with stand-in backend servers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// print log lines as well
    #[argh(switch)]
    pub verbose: bool,
}

/// Run stand-in backend servers for experiments.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "standins")]
pub struct StandinsArgs {
    /// address of the first stand-in; the others follow on the next ports
    #[argh(option)]
    pub listen: SocketAddr,
    /// number of stand-ins
    #[argh(option, default = "2")]
    pub count: u16,
    /// HTTP addresses of the instances to announce to, as ip:port, separated by commas
    #[argh(option)]
    pub registrars: Option<String>,
    /// controllers to announce to instead, as ip:port, separated by commas; the stand-ins then serve
    /// routed requests, and those of shard N belong to the service SERVICE-N
    #[argh(option)]
    pub controllers: Option<String>,
    /// service of the stand-ins
    #[argh(option)]
    pub service: String,
    /// availability zone of the stand-ins
    #[argh(option)]
    pub zone: String,
    /// number of shards of the index
    #[argh(option, default = "24")]
    pub shards: u32,
    /// replicas of each shard among these stand-ins
    #[argh(option, default = "2")]
    pub replicas: u32,
    /// index version that the stand-ins hold
    #[argh(option, default = "1")]
    pub index: u64,
    /// searches that each stand-in runs at once
    #[argh(option, default = "2")]
    pub slots: u32,
    /// connections that each stand-in accepts
    #[argh(option, default = "25")]
    pub connections: u32,
    /// time of a search, in microseconds
    #[argh(option, default = "3000")]
    pub service_us: u64,
    /// searches that straggle, in hundredths of a percent
    #[argh(option, default = "0")]
    pub straggle_per_10k: u32,
}

/// Send queries at a steady rate and print a report as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// instances or entries to send to, as ip:port, separated by commas
    #[argh(option)]
    pub targets: String,
    /// service to query
    #[argh(option)]
    pub service: Option<String>,
    /// path of routed requests, which are sent to entries instead of queries
    #[argh(option)]
    pub path: Option<String>,
    /// value of the host header of routed requests
    #[argh(option, default = "String::from(\"localhost\")")]
    pub host: String,
    /// queries per second
    #[argh(option, default = "50.0")]
    pub rate: f64,
    /// duration, in seconds
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// share of the queries that search a single shard, in percent
    #[argh(option, default = "0")]
    pub single_percent: u32,
}
