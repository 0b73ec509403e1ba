//! Settings of the programs that serve routed requests: entries and controllers.
//!
//! Other than the settings of an instance they name no peers: the seeds are all that a program is told
//! of others.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use hornbeam_model::{InstanceId, Zone};
use serde::Deserialize;
use snafu::ResultExt;

use crate::error::{ReadSnafu, SettingsError};

/// Shards of a search above which other entries help: below it the work of giving them away is most of
/// that of sending to them.
const DEFAULT_DELEGATE_ABOVE: usize = 32;
/// Memory assumed while none is set, in megabytes.
const DEFAULT_MEMORY_MB: u32 = 256;

/// Extra requests of the whole fleet for each service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Extra requests for each request.
    pub ratio: f64,
    /// Length of the window in seconds.
    pub window_s: u32,
    /// Extra requests in any case in each window.
    pub allowance: u32,
}

impl Default for RetryBudgetSettings {
    /// A twentieth, as for an instance's own queries.
    fn default() -> Self {
        Self { ratio: 0.05, window_s: 10, allowance: 10 }
    }
}

/// Log lines a second of one kind; what is more is counted and left out.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LogRates {
    /// Of a kind that tells of a failure.
    pub failures_per_s: f64,
    /// Of any other kind; zero writes none of them.
    pub others_per_s: f64,
}

impl Default for LogRates {
    /// Enough to follow some requests a second whole; a tenth of a core writes them in 1 % of its time.
    fn default() -> Self {
        Self { failures_per_s: 40.0, others_per_s: 10.0 }
    }
}

/// Settings of one entry or controller.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Name for logs and metrics.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Address towards other programs of the fleet.
    pub address: IpAddr,
    /// Address at which the sockets towards other programs are bound, if it is not `address`: behind a
    /// translation of addresses.
    #[serde(default)]
    pub bind: Option<IpAddr>,
    /// First of two ports for messages between programs; the same on all instances.
    pub inner_port: u16,
    /// Where metrics are served; nowhere, if nothing.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Controllers to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Shared text from which the key of the inner messages is derived.
    pub key: String,
    /// Where an entry takes callers' requests.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Where an entry tells whether it is ready.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Where a controller takes heartbeats and operators' calls.
    #[serde(default)]
    pub api: Option<SocketAddr>,
    /// Folder of a controller's durable files.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// True at the first start of the whole fleet, with empty disks.
    #[serde(default)]
    pub founding: bool,
    /// Controllers that may be lost at once.
    #[serde(default)]
    pub tolerated_losses: u32,
    /// Time between two heartbeats of a backend server, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time from SIGTERM to the end of the process, in seconds.
    pub grace_s: f64,
    /// Extra requests of the whole fleet.
    #[serde(default)]
    pub budget: RetryBudgetSettings,
    /// Bounds of the log.
    #[serde(default)]
    pub log: LogRates,
    /// Shards of a search above which other entries of the zone collect groups of them.
    #[serde(default = "default_delegate_above")]
    pub delegate_above: usize,
    /// Memory of the process in megabytes.
    #[serde(default = "default_memory")]
    pub memory_mb: u32,
}

fn default_delegate_above() -> usize {
    DEFAULT_DELEGATE_ABOVE
}

fn default_memory() -> u32 {
    DEFAULT_MEMORY_MB
}

impl FleetSettings {
    /// Reads and checks `file`.
    ///
    /// # Errors
    ///
    /// The first fault with file, line and remedy.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        let settings: Self = serde_saphyr::from_str(&text).map_err(|e| SettingsError::Syntax {
            file: file.to_owned(),
            line: e.location().map_or(0, |l| l.line()),
            problem: crate::settings::first_line(&e.to_string()),
        })?;
        settings.check(file)?;
        Ok(settings)
    }

    fn check(&self, file: &Path) -> Result<(), SettingsError> {
        let refuse = |field, problem: &str, remedy| {
            let (file, problem) = (file.to_owned(), problem.to_owned());
            Err(SettingsError::Value { file, line: 0, field, problem, remedy })
        };
        if self.callers.is_none() && self.api.is_none() {
            let remedy = "set callers for an entry or api for a controller";
            return refuse("callers", "the program has nothing to do", remedy);
        }
        if self.api.is_some() && self.data_dir.is_none() {
            return refuse("data_dir", "a controller keeps a log", "name a folder on its disk");
        }
        if !(0.0..=1.0).contains(&self.budget.ratio) {
            return refuse("budget", "ratio is a share of the requests", "use 0 to 1");
        }
        let rates = [self.log.failures_per_s, self.log.others_per_s];
        if rates.iter().any(|r| !r.is_finite() || *r < 0.0) {
            return refuse("log", "a rate is not a number of lines", "use 0 or more");
        }
        if self.budget.window_s == 0 {
            return refuse("budget", "window_s is zero", "use at least 1");
        }
        if !self.grace_s.is_finite() || self.grace_s < 1.0 {
            return refuse("grace_s", "requests in flight need time to end", "use at least 1");
        }
        if self.heartbeat_ms == 0 {
            return refuse(
                "heartbeat_ms",
                "servers cannot be silent for no time",
                "use 100 or more",
            );
        }
        Ok(())
    }

    /// Name of this program among controllers: its address.
    pub fn inner_name(&self) -> Option<InstanceId> {
        inner_name(self.address)
    }

    /// Names of the seeds among controllers.
    pub fn seed_names(&self) -> Vec<InstanceId> {
        self.seeds.iter().filter_map(|s| inner_name(s.ip())).collect()
    }

    /// Where a controller feeds entries.
    pub fn feed_address(&self, controller: &InstanceId) -> Option<SocketAddr> {
        let ip: IpAddr = controller.as_str().parse().ok()?;
        Some(SocketAddr::new(ip, self.inner_port))
    }

    /// Where a controller takes messages of other controllers.
    pub fn control_address(&self, controller: &InstanceId) -> Option<SocketAddr> {
        let feed = self.feed_address(controller)?;
        Some(SocketAddr::new(feed.ip(), feed.port().checked_add(1)?))
    }

    /// Where a controller takes operators' calls; the port is the same on all instances.
    pub fn api_address(&self, controller: &InstanceId) -> Option<SocketAddr> {
        let ip: IpAddr = controller.as_str().parse().ok()?;
        Some(SocketAddr::new(ip, self.api?.port()))
    }

    /// The address to bind for one that others know.
    pub fn bind_address(&self, known: SocketAddr) -> SocketAddr {
        SocketAddr::new(self.bind.unwrap_or(known.ip()), known.port())
    }

    /// Time from SIGTERM to the end of the process.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Voters wanted: as many as keep a majority after the tolerated losses.
    pub fn target_voters(&self) -> usize {
        2 * self.tolerated_losses as usize + 1
    }
}

/// The name of a controller: its address, since nothing else is known of others.
fn inner_name(ip: IpAddr) -> Option<InstanceId> {
    ip.to_string().parse().ok()
}
