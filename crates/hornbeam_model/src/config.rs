//! Replicated configuration and its validation.

use indexmap::IndexMap;
use jiff::tz::TimeZone;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use snafu::Snafu;

use crate::ids::{Revision, SchemaVersion, ServiceId};
use crate::patience::{HOURS_PER_DAY, Patience};

/// Maximum patience, in milliseconds.
pub const MAX_PATIENCE_MS: u64 = 600_000;
/// Minimum patience, in milliseconds.
pub const MIN_PATIENCE_MS: u64 = 5;
/// Maximum number of live schema versions per service.
pub const MAX_LIVE_SCHEMAS: usize = 8;
/// Maximum number of services.
pub const MAX_SERVICES: usize = 10_000;
/// Maximum number of patience windows per service.
pub const MAX_PATIENCE_WINDOWS: usize = 24;

/// Trade-off between latency and coverage near the end of the patience.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Prefer {
    /// Responds before the patience ends, with the shards that have responded.
    #[default]
    Latency,
    /// Uses the whole patience to cover more shards.
    Coverage,
}

/// Limits on the extra load that the system may put on backend servers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Budgets {
    /// Retry budget: extra requests (hedges and retries) per 100 primary attempts, 0 to 50.
    pub extra_percent: u32,
}

impl Default for Budgets {
    fn default() -> Self {
        Self { extra_percent: 5 }
    }
}

/// Limits of one instance for one service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of concurrent queries on one instance; upper bound of the adaptive limit.
    pub max_in_flight: u32,
    /// Maximum number of queued queries on one instance.
    pub max_queue: u32,
    /// Maximum number of hits that a caller may request.
    pub max_hits: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_in_flight: 256, max_queue: 256, max_hits: 1_000 }
    }
}

/// Configuration of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Time that callers are willing to wait.
    pub patience: Patience,
    /// Trade-off between latency and coverage near the end of the patience.
    #[serde(default)]
    pub prefer: Prefer,
    /// Schema versions that a response must cover; ascending and distinct.
    pub schemas: Vec<SchemaVersion>,
    /// Limits on the extra load on backend servers.
    #[serde(default)]
    pub budgets: Budgets,
    /// Limits of one instance.
    #[serde(default)]
    pub limits: Limits,
    /// True if a non-idempotent request needs a token.
    #[serde(default)]
    pub require_token: bool,
}

/// Complete configuration at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Number of changes accepted so far.
    #[serde(default)]
    pub revision: Revision,
    /// Services by name.
    #[serde(default)]
    pub services: IndexMap<ServiceId, Service>,
}

/// Error for an invalid value in the configuration.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{path}: {problem}; {remedy}"))]
pub struct ConfigError {
    /// Path of the invalid field.
    pub path: SmolStr,
    /// Description of the problem, with the value.
    pub problem: SmolStr,
    /// Correction to make.
    pub remedy: SmolStr,
}

impl ConfigError {
    fn new(path: SmolStr, problem: SmolStr, remedy: &str) -> Self {
        Self { path, problem, remedy: SmolStr::new(remedy) }
    }
}

fn check_range(path: SmolStr, value: u64, low: u64, high: u64) -> Result<(), ConfigError> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    let problem = format_smolstr!("{value} is not between {low} and {high}");
    Err(ConfigError::new(path, problem, "choose a value in this range"))
}

impl Service {
    /// Validates all values; `path` is the path of the service.
    ///
    /// # Errors
    ///
    /// Returns the first invalid value with its path and remedy.
    pub fn check(&self, path: &str) -> Result<(), ConfigError> {
        self.check_patience(path)?;
        self.check_schemas(path)?;
        let extra = u64::from(self.budgets.extra_percent);
        check_range(format_smolstr!("{path}.budgets.extra_percent"), extra, 0, 50)?;
        let limits = [
            ("max_in_flight", self.limits.max_in_flight, 1),
            ("max_queue", self.limits.max_queue, 0),
            ("max_hits", self.limits.max_hits, 1),
        ];
        for (field, value, low) in limits {
            let path = format_smolstr!("{path}.limits.{field}");
            check_range(path, u64::from(value), low, 100_000)?;
        }
        Ok(())
    }

    fn check_patience(&self, path: &str) -> Result<(), ConfigError> {
        let tz = &self.patience.time_zone;
        if TimeZone::get(tz).is_err() {
            return Err(ConfigError::new(
                format_smolstr!("{path}.patience.time_zone"),
                format_smolstr!("{tz:?} is not a known time zone"),
                "use an IANA name such as Europe/Prague",
            ));
        }
        let default_path = format_smolstr!("{path}.patience.default_ms");
        check_range(default_path, self.patience.default_ms, MIN_PATIENCE_MS, MAX_PATIENCE_MS)?;
        let windows = &self.patience.windows;
        let windows_path = format_smolstr!("{path}.patience.windows");
        check_range(windows_path, windows.len() as u64, 0, MAX_PATIENCE_WINDOWS as u64)?;
        for (i, w) in windows.iter().enumerate() {
            let window_path = format_smolstr!("{path}.patience.windows[{i}]");
            let last_hour = u64::from(HOURS_PER_DAY - 1);
            check_range(
                format_smolstr!("{window_path}.from_hour"),
                u64::from(w.from_hour),
                0,
                last_hour,
            )?;
            check_range(format_smolstr!("{window_path}.to_hour"), u64::from(w.to_hour), 1, 24)?;
            check_range(
                format_smolstr!("{window_path}.ms"),
                w.ms,
                MIN_PATIENCE_MS,
                MAX_PATIENCE_MS,
            )?;
        }
        Ok(())
    }

    fn check_schemas(&self, path: &str) -> Result<(), ConfigError> {
        let schemas_path = format_smolstr!("{path}.schemas");
        check_range(schemas_path.clone(), self.schemas.len() as u64, 1, MAX_LIVE_SCHEMAS as u64)?;
        if self.schemas.is_sorted_by(|a, b| a < b) {
            return Ok(());
        }
        let problem =
            SmolStr::new_static("schema versions are not in ascending order or not distinct");
        Err(ConfigError::new(schemas_path, problem, "list each version once, lowest first"))
    }
}

impl Config {
    /// Validates all services.
    ///
    /// # Errors
    ///
    /// Returns the first invalid value with its path and remedy.
    pub fn check(&self) -> Result<(), ConfigError> {
        let path = SmolStr::new_static("services");
        check_range(path, self.services.len() as u64, 0, MAX_SERVICES as u64)?;
        for (name, service) in &self.services {
            service.check(&format_smolstr!("services.{name}"))?;
        }
        Ok(())
    }
}
