//! Settings of the programs that serve routed requests: entries and controllers.
//!
//! Unlike the settings of an instance, they list no peers: a program starts with the addresses of the
//! seeds only and discovers all other programs.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use hornbeam_model::{InstanceId, Region, Zone};
use indexmap::IndexMap;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use snafu::ResultExt;

use crate::error::{ReadSnafu, SettingsError};

/// Default number of shards above which a search is delegated in groups to other entries. For smaller
/// searches, delegating costs almost as much work as sending the attempts directly.
const DEFAULT_DELEGATE_ABOVE_SHARDS: usize = 32;
/// Default memory of the process, in megabytes.
const DEFAULT_MEMORY_MB: u32 = 256;
/// Default number of descriptors of the process.
const DEFAULT_DESCRIPTORS: u32 = 4_096;

/// Default time without a majority of the controllers after which strict entries refuse keys, in
/// milliseconds: a dozen heartbeats of a feed.
const DEFAULT_REVOCATION_WINDOW_MS: u32 = 5_000;
/// Longest time in the settings of [`ZoneSpillSettings`], in milliseconds.
const MAX_SPILL_MS: f64 = 60_000.0;

/// Retry budget of the whole fleet for each service: the limit on its hedges and retries.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Maximum number of extra requests per request, from 0 to 1.
    pub ratio: f64,
    /// Length of the sliding window, in seconds; at least 1.
    pub window_s: u32,
    /// Extra requests allowed per window regardless of the request rate.
    pub allowance: u32,
}

impl Default for RetryBudgetSettings {
    /// Returns one extra request per 20 requests, the same ratio as for an instance's own queries.
    fn default() -> Self {
        Self { ratio: 0.05, window_s: 10, allowance: 10 }
    }
}

/// What a cold server may get beyond its rate in any second, from all entries together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WarmUpSettings {
    /// Factor on the rate; at least 1.
    pub overshoot: f64,
    /// Number of requests beyond that; at least 1.
    pub tolerance: f64,
}

impl Default for WarmUpSettings {
    /// Returns half of the rate and five requests.
    fn default() -> Self {
        Self { overshoot: 1.5, tolerance: 5.0 }
    }
}

/// How far the requests of a team in a window may exceed its quota, summed over all entries.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaSettings {
    /// Length of the window, in seconds; at least 1.
    pub window_s: f64,
    /// Part by which rate and burst may be exceeded, from 0 to 1.
    pub overshoot: f64,
    /// Requests by which they may be exceeded in addition.
    pub tolerance: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self { window_s: 5.0, overshoot: 0.1, tolerance: 20.0 }
    }
}

impl QuotaSettings {
    /// Returns what is wrong with the settings, and the remedy.
    fn problem(&self) -> Option<(&'static str, &'static str)> {
        if !self.window_s.is_finite() || self.window_s < 1.0 {
            return Some(("window_s is shorter than a second", "use at least 1"));
        }
        if !(0.0..=1.0).contains(&self.overshoot) {
            return Some(("overshoot is outside 0 to 1", "use 0 to 1"));
        }
        if !self.tolerance.is_finite() || self.tolerance < 0.0 {
            return Some(("tolerance is negative or not finite", "use 0 or more"));
        }
        None
    }
}

/// Maximum rates of structured log lines, each per kind of line; lines above the rate are counted and
/// dropped.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LogRates {
    /// Lines per second of a kind that reports a failure.
    pub failures_per_s: f64,
    /// Lines per second of any other kind; 0 drops all of them.
    pub others_per_s: f64,
}

impl Default for LogRates {
    /// Returns rates that cover all log lines of a few requests per second and that cost a tenth of a
    /// core 1 % of its time.
    fn default() -> Self {
        Self { failures_per_s: 40.0, others_per_s: 10.0 }
    }
}

/// When an entry stops accepting keys because it may not know of their revocation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct RevocationSettings {
    /// True if keys are refused while the contact with the controllers is lost; absent is false.
    pub strict: Option<bool>,
    /// Time without a majority of the controllers after which keys are refused, in milliseconds.
    pub window_ms: Option<u32>,
}

impl RevocationSettings {
    /// Returns the time without a majority of the controllers after which keys are refused, or `None`
    /// if they never are.
    pub fn strict_window(&self) -> Option<Duration> {
        let ms = self.window_ms.unwrap_or(DEFAULT_REVOCATION_WINDOW_MS);
        self.strict.unwrap_or(false).then(|| Duration::from_millis(u64::from(ms)))
    }
}

/// When requests leave the availability zone of an entry; all fields may be left out.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ZoneSpillSettings {
    /// Time in milliseconds that a response must gain for its request to leave the zone although its
    /// objective is safe there; a fifth of the objective if absent.
    pub min_gain_ms: Option<f64>,
    /// Time in milliseconds that it must gain in addition for each kilobyte of request and response.
    pub byte_cost: f64,
}

/// Checked settings of one entry or controller.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Name of this process in logs and metrics.
    pub instance: InstanceId,
    /// Availability zone of this process.
    pub zone: Zone,
    /// Address at which other programs of the fleet reach this one.
    pub address: IpAddr,
    /// Address to which the sockets for other programs are bound if it differs from `address`, as
    /// behind network address translation (NAT).
    #[serde(default)]
    pub bind: Option<IpAddr>,
    /// First of two consecutive ports for messages between programs; the same on all instances.
    pub inner_port: u16,
    /// Address that serves metrics; metrics are not served if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Addresses of the controllers that this process contacts first.
    pub seeds: Vec<SocketAddr>,
    /// Shared secret from which the key that authenticates inner messages is derived.
    pub key: String,
    /// Address at which an entry accepts callers' requests; required on an entry.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Address at which an entry serves health checks, which report whether it is ready.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Address at which a controller accepts heartbeats and operators' calls; required on a
    /// controller.
    #[serde(default)]
    pub api: Option<SocketAddr>,
    /// Folder of a controller's durable files; required with `api`.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// True if this is the first start of the whole fleet, with empty disks.
    #[serde(default)]
    pub founding: bool,
    /// True if a new control log may be started although entries hold a routing table, after the disks of
    /// the last one were lost.
    #[serde(default)]
    pub found_anew: bool,
    /// Number of controllers that may fail at the same time without loss of the quorum.
    #[serde(default)]
    pub tolerated_losses: u32,
    /// Interval between two heartbeats of a backend server, in milliseconds.
    pub heartbeat_ms: u64,
    /// Maximum time from SIGTERM to the exit of the process, in seconds; at least 1.
    pub grace_s: f64,
    /// Retry budget of the whole fleet for each service.
    #[serde(default)]
    pub budget: RetryBudgetSettings,
    /// When an entry stops accepting keys without contact with the controllers.
    #[serde(default)]
    pub revocation: RevocationSettings,
    /// What a cold server may get beyond its rate.
    #[serde(default)]
    pub warm_up: WarmUpSettings,
    /// How far the requests of a team may exceed its quota.
    #[serde(default)]
    pub quota: QuotaSettings,
    /// Maximum rates of structured log lines.
    #[serde(default)]
    pub log: LogRates,
    /// Region of each availability zone; empty if the deployment has no regions. Zones without an entry
    /// have an unknown region.
    #[serde(default, deserialize_with = "zone_map")]
    pub zones: IndexMap<Zone, Region>,
    /// Region of this process, for a zone that `zones` leaves out; none if absent or empty.
    #[serde(default, deserialize_with = "optional_region")]
    pub region: Option<Region>,
    /// Number of shards above which a search is delegated in groups to other entries of the zone.
    #[serde(default = "default_delegate_above")]
    pub delegate_above: usize,
    /// When requests leave the zone of an entry; a server of any zone is chosen by its cost if absent.
    #[serde(default)]
    pub zone_spill: Option<ZoneSpillSettings>,
    /// True if operators evacuate zones of this deployment: an entry that starts then uses no server
    /// before it knows which zones are evacuated.
    #[serde(default)]
    pub evacuations: bool,
    /// Memory of the process, in megabytes; it bounds the number of in-flight requests, and what clients may make
    /// the process hold.
    #[serde(default = "default_memory")]
    pub memory_mb: u32,
    /// Descriptors of the process; they bound the number of connections. The limit of the operating system holds
    /// as well.
    #[serde(default = "default_descriptors")]
    pub descriptors: u32,
}

/// Reads a map that may be null, as a template fills it in for a deployment without zones.
fn zone_map<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<IndexMap<Zone, Region>, D::Error> {
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

/// Reads a region that may be null or empty, as a template fills it in for a deployment without regions.
fn optional_region<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Region>, D::Error> {
    let text: Option<String> = Option::deserialize(deserializer)?;
    let named = text.filter(|t| !t.is_empty()).map(|t| t.parse());
    named.transpose().map_err(D::Error::custom)
}

fn default_delegate_above() -> usize {
    DEFAULT_DELEGATE_ABOVE_SHARDS
}

fn default_memory() -> u32 {
    DEFAULT_MEMORY_MB
}

fn default_descriptors() -> u32 {
    DEFAULT_DESCRIPTORS
}

impl FleetSettings {
    /// Reads and checks `file`.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with file, line and remedy.
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
            return refuse("callers", "neither callers nor api is set", remedy);
        }
        if self.api.is_some() && self.data_dir.is_none() {
            return refuse(
                "data_dir",
                "a controller needs a folder for its log",
                "set data_dir to a folder on a disk",
            );
        }
        if !(0.0..=1.0).contains(&self.budget.ratio) {
            return refuse("budget", "ratio is outside 0 to 1", "use 0 to 1");
        }
        let WarmUpSettings { overshoot, tolerance } = self.warm_up;
        if [overshoot, tolerance].iter().any(|n| !n.is_finite() || *n < 1.0) {
            let problem = "overshoot or tolerance is below 1 or not finite";
            return refuse("warm_up", problem, "use at least 1 for both");
        }
        if let Some((problem, remedy)) = self.quota.problem() {
            return refuse("quota", problem, remedy);
        }
        let rates = [self.log.failures_per_s, self.log.others_per_s];
        if rates.iter().any(|r| !r.is_finite() || *r < 0.0) {
            return refuse("log", "a rate is negative or not finite", "use 0 or more");
        }
        let spill = self.zone_spill.unwrap_or_default();
        let times = [spill.min_gain_ms, Some(spill.byte_cost)];
        if times.into_iter().flatten().any(|t| !(0.0..=MAX_SPILL_MS).contains(&t)) {
            return refuse("zone_spill", "a time is outside 0 to 60000 ms", "use 0 to 60000");
        }
        if self.budget.window_s == 0 {
            return refuse("budget", "window_s is zero", "use at least 1");
        }
        if !self.grace_s.is_finite() || self.grace_s < 1.0 {
            return refuse("grace_s", "in-flight requests need time to complete", "use at least 1");
        }
        if self.heartbeat_ms == 0 {
            return refuse("heartbeat_ms", "the heartbeat interval is zero", "use 100 or more");
        }
        Ok(())
    }

    /// Returns the region of each zone, with that of this process.
    pub fn zone_regions(&self) -> IndexMap<Zone, Region> {
        let mut regions = self.zones.clone();
        if let Some(region) = &self.region {
            regions.entry(self.zone.clone()).or_insert_with(|| region.clone());
        }
        regions
    }

    /// Returns the name under which controllers know this process: its address.
    pub fn inner_name(&self) -> Option<InstanceId> {
        inner_name(self.address)
    }

    /// Returns the names of the seeds: their addresses.
    pub fn seed_names(&self) -> Vec<InstanceId> {
        self.seeds.iter().filter_map(|s| inner_name(s.ip())).collect()
    }

    /// Returns the address at which a controller accepts the feeds of entries, or `None` if its name
    /// is not an IP address.
    pub fn feed_address(&self, controller: &InstanceId) -> Option<SocketAddr> {
        let ip: IpAddr = controller.as_str().parse().ok()?;
        Some(SocketAddr::new(ip, self.inner_port))
    }

    /// Returns the address at which a controller accepts messages of other controllers: the port after
    /// the feed port.
    pub fn control_address(&self, controller: &InstanceId) -> Option<SocketAddr> {
        let feed = self.feed_address(controller)?;
        Some(SocketAddr::new(feed.ip(), feed.port().checked_add(1)?))
    }

    /// Returns the address at which a controller accepts operators' calls; the port is the same on all
    /// instances.
    pub fn api_address(&self, controller: &InstanceId) -> Option<SocketAddr> {
        let ip: IpAddr = controller.as_str().parse().ok()?;
        Some(SocketAddr::new(ip, self.api?.port()))
    }

    /// Returns the address to bind for an address at which other programs reach this one.
    pub fn bind_address(&self, advertised: SocketAddr) -> SocketAddr {
        SocketAddr::new(self.bind.unwrap_or(advertised.ip()), advertised.port())
    }

    /// Returns the maximum time from SIGTERM to the exit of the process.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the smallest number of voters that keeps a majority after the tolerated losses.
    pub fn target_voters(&self) -> usize {
        2 * self.tolerated_losses as usize + 1
    }
}

/// Returns the name of a controller: its address, because the settings contain nothing else about
/// other controllers.
fn inner_name(ip: IpAddr) -> Option<InstanceId> {
    ip.to_string().parse().ok()
}
