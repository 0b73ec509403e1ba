//! Checked settings of an instance and their defaults.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hornbeam_model::{InstanceId, Zone};
use serde::{Deserialize, Serialize};
use serde_saphyr::Spanned;
use snafu::ResultExt;

use crate::error::{ReadSnafu, SettingsError};
use crate::raw::RawSettings;
use crate::secret::Secret;

/// Default limit on the queries that run at the same time on one instance.
pub const DEFAULT_MAX_IN_FLIGHT: u32 = 2_000;
/// Default maximum length of a request body, in bytes.
pub const DEFAULT_MAX_BODY_BYTES: u32 = 1 << 20;
/// Default memory of the process, in megabytes.
pub const DEFAULT_MEMORY_MB: u32 = 512;
/// Default number of descriptors of the process.
pub const DEFAULT_DESCRIPTORS: u32 = 16_384;
/// Part of the memory that the longest request body may take: it is held, parsed and sent to several servers.
const MAX_BODY_SHARE: u64 = 8;
/// Default interval between two announcements of a backend server, in milliseconds.
pub const DEFAULT_ANNOUNCE_INTERVAL_MS: u64 = 500;
/// Default lease that an announcement grants, in milliseconds.
pub const DEFAULT_LEASE_MS: u64 = 1_600;
/// Default time for which a starting instance waits for a confirmed configuration, in milliseconds.
pub const DEFAULT_CONFIG_WAIT_MS: u64 = 3_000;
/// Default number of threads that serve traffic.
pub const DEFAULT_TRAFFIC_THREADS: u32 = 2;
/// Maximum lease, in milliseconds.
///
/// The sum of the lease and the time after which an unconfirmed view lapses must stay below 3 s, the
/// limit within which every instance must stop using a server that leaves.
pub const MAX_LEASE_MS: u64 = 1_600;

/// Role of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts callers' queries and backend servers' announcements.
    Entry,
    /// Votes on configuration changes; requires `data_dir`.
    Control,
}

/// Name and addresses of another instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of the peer.
    pub instance: InstanceId,
    /// Availability zone of the peer.
    pub zone: Zone,
    /// Address at which the peer accepts inner messages, over UDP and TCP.
    pub inner: SocketAddr,
    /// Address at which the peer accepts HTTP requests.
    pub http: SocketAddr,
}

/// Checked settings of one instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: Zone,
    /// Address at which this instance accepts HTTP requests.
    pub http: SocketAddr,
    /// Address at which this instance accepts inner messages, over UDP and TCP.
    pub inner: SocketAddr,
    /// Roles of this instance; never empty.
    pub roles: Vec<Role>,
    /// Folder of the durable files; always set with [`Role::Control`].
    pub data_dir: Option<PathBuf>,
    /// Key that authenticates inner messages.
    pub key: Secret,
    /// Token that operator requests must carry; without one, all operator requests are refused.
    pub operator_token: Option<Secret>,
    /// The other instances; this one is never among them.
    pub peers: Vec<Peer>,
    /// Initial voters of the control log; each is this instance or a peer.
    pub voters: Vec<InstanceId>,
    /// Limit on the queries that run at the same time.
    pub max_in_flight: u32,
    /// Maximum length of a request body, in bytes; at most an eighth of the memory.
    pub max_body_bytes: u32,
    /// Memory of the process, in megabytes, which bounds what clients may make it hold.
    pub memory_mb: u32,
    /// Descriptors of the process, which bound the number of connections. The limit of the operating system holds
    /// as well.
    pub descriptors: u32,
    /// Interval between two announcements of a backend server.
    pub announce_interval: Duration,
    /// Lease that an announcement grants.
    pub lease: Duration,
    /// Time for which a starting instance waits for a confirmed configuration.
    pub config_wait: Duration,
    /// Number of threads that serve traffic.
    pub traffic_threads: u32,
    /// Path of the log file; the log goes to standard error if absent.
    pub log_file: Option<PathBuf>,
    /// Seed of the random choices; drawn at the start if absent.
    pub seed: Option<u64>,
}

impl Settings {
    /// Reads and checks `file`; relative paths in it are resolved against its folder.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with file, line, field and remedy.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        let raw = parse(file, &text)?;
        Checker { file }.check(raw)
    }

    /// Returns true if this instance has `role`.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}

fn parse(file: &Path, text: &str) -> Result<RawSettings, SettingsError> {
    serde_saphyr::from_str(text).map_err(|e| SettingsError::Syntax {
        file: file.to_owned(),
        line: e.location().map_or(0, |l| l.line()),
        problem: first_line(&e.to_string()),
    })
}

/// Returns the first line of a parser message so that the error fits on one line.
pub(crate) fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().to_owned()
}

/// Checks the fields of one file and reports errors with its path.
struct Checker<'a> {
    file: &'a Path,
}

impl Checker<'_> {
    fn value_error<T>(
        &self,
        at: &Spanned<T>,
        field: &'static str,
        problem: impl Into<String>,
        remedy: &'static str,
    ) -> SettingsError {
        SettingsError::Value {
            file: self.file.to_owned(),
            line: at.referenced.line(),
            field,
            problem: problem.into(),
            remedy,
        }
    }

    fn check(&self, raw: RawSettings) -> Result<Settings, SettingsError> {
        self.check_addresses(&raw)?;
        self.check_roles(&raw)?;
        self.check_peers(&raw)?;
        let voters = self.check_voters(&raw)?;
        let lease_ms =
            self.number("lease_ms", &raw.lease_ms, DEFAULT_LEASE_MS, 200, MAX_LEASE_MS)?;
        let announce_ms = self.number(
            "announce_every_ms",
            &raw.announce_every_ms,
            DEFAULT_ANNOUNCE_INTERVAL_MS,
            20,
            MAX_LEASE_MS / 2,
        )?;
        if announce_ms * 2 > lease_ms
            && let Some(at) = &raw.announce_every_ms
        {
            let remedy = "announce at least twice within lease_ms";
            return Err(self.value_error(
                at,
                "announce_every_ms",
                "more than half of lease_ms",
                remedy,
            ));
        }
        let wait_ms = self.number(
            "config_wait_ms",
            &raw.config_wait_ms,
            DEFAULT_CONFIG_WAIT_MS,
            100,
            60_000,
        )?;
        let in_flight =
            self.number("max_in_flight", &raw.max_in_flight, DEFAULT_MAX_IN_FLIGHT, 1, 100_000)?;
        let body = self.number(
            "max_body_bytes",
            &raw.max_body_bytes,
            DEFAULT_MAX_BODY_BYTES,
            1_024,
            1 << 26,
        )?;
        let memory = self.number("memory_mb", &raw.memory_mb, DEFAULT_MEMORY_MB, 64, 1 << 20)?;
        let too_long = u64::from(body) * MAX_BODY_SHARE > u64::from(memory) << 20;
        if too_long && let Some(at) = raw.max_body_bytes.as_ref().or(raw.memory_mb.as_ref()) {
            let remedy = "raise memory_mb or lower max_body_bytes";
            let problem = "more than an eighth of memory_mb";
            return Err(self.value_error(at, "max_body_bytes", problem, remedy));
        }
        let descriptors =
            self.number("descriptors", &raw.descriptors, DEFAULT_DESCRIPTORS, 128, 1 << 24)?;
        let threads =
            self.number("traffic_threads", &raw.traffic_threads, DEFAULT_TRAFFIC_THREADS, 1, 64)?;
        let operator_token = match &raw.operator_token_file {
            Some(at) => Some(self.secret(at, "operator_token_file")?),
            None => None,
        };
        Ok(Settings {
            key: self.secret(&raw.key_file, "key_file")?,
            operator_token,
            instance: raw.instance,
            zone: raw.zone,
            http: raw.http.value,
            inner: raw.inner.value,
            roles: raw.roles.value,
            data_dir: raw.data_dir.map(|p| self.resolve(&p)),
            peers: raw.peers.into_iter().map(|p| p.value).collect(),
            voters,
            max_in_flight: in_flight,
            max_body_bytes: body,
            memory_mb: memory,
            descriptors,
            announce_interval: Duration::from_millis(announce_ms),
            lease: Duration::from_millis(lease_ms),
            config_wait: Duration::from_millis(wait_ms),
            traffic_threads: threads,
            log_file: raw.log_file.map(|p| self.resolve(&p)),
            seed: raw.seed,
        })
    }

    fn resolve(&self, path: &Path) -> PathBuf {
        self.file.parent().unwrap_or(Path::new("")).join(path)
    }

    fn secret(&self, at: &Spanned<PathBuf>, field: &'static str) -> Result<Secret, SettingsError> {
        let path = self.resolve(&at.value);
        let remedy = "write 16 or more random bytes to that file, readable by this user";
        Secret::read(&path)
            .map_err(|e| self.value_error(at, field, format!("{}: {e}", path.display()), remedy))
    }

    fn number<N: Copy + Into<u64> + PartialOrd + std::fmt::Display>(
        &self,
        field: &'static str,
        value: &Option<Spanned<N>>,
        default: N,
        min: N,
        max: N,
    ) -> Result<N, SettingsError> {
        let Some(at) = value else { return Ok(default) };
        if at.value >= min && at.value <= max {
            return Ok(at.value);
        }
        let problem = format!("{} is outside {min} to {max}", at.value);
        Err(self.value_error(at, field, problem, "choose a value in that range"))
    }

    fn check_addresses(&self, raw: &RawSettings) -> Result<(), SettingsError> {
        for (field, at) in [("http", &raw.http), ("inner", &raw.inner)] {
            if at.value.port() == 0 {
                return Err(self.value_error(
                    at,
                    field,
                    "the port is 0",
                    "name the port that peers use",
                ));
            }
            if at.value.ip().is_unspecified() {
                let remedy = "name the address at which peers reach this instance";
                return Err(self.value_error(at, field, "the address is unspecified", remedy));
            }
        }
        if raw.http.value == raw.inner.value {
            let problem = "the address is the same as http";
            return Err(self.value_error(&raw.inner, "inner", problem, "choose another port"));
        }
        Ok(())
    }

    fn check_roles(&self, raw: &RawSettings) -> Result<(), SettingsError> {
        if raw.roles.value.is_empty() {
            let remedy = "list entry, control or both";
            return Err(self.value_error(&raw.roles, "roles", "the list is empty", remedy));
        }
        if raw.roles.value.contains(&Role::Control) && raw.data_dir.is_none() {
            let remedy = "set data_dir to a folder on a disk";
            return Err(self.value_error(&raw.roles, "roles", "control requires data_dir", remedy));
        }
        Ok(())
    }

    fn check_peers(&self, raw: &RawSettings) -> Result<(), SettingsError> {
        let remedy = "list each other instance once, without this one";
        for (i, at) in raw.peers.iter().enumerate() {
            let p = &at.value;
            if p.instance == raw.instance || p.inner == raw.inner.value {
                return Err(self.value_error(
                    at,
                    "peers",
                    format!("{} is this instance", p.instance),
                    remedy,
                ));
            }
            let is_duplicate = raw.peers[..i]
                .iter()
                .any(|o| o.value.instance == p.instance || o.value.inner == p.inner);
            if is_duplicate {
                return Err(self.value_error(
                    at,
                    "peers",
                    format!("{} is listed twice", p.instance),
                    remedy,
                ));
            }
        }
        Ok(())
    }

    fn check_voters(&self, raw: &RawSettings) -> Result<Vec<InstanceId>, SettingsError> {
        let Some(at) = &raw.voters else { return Ok(Vec::new()) };
        let remedy = "list 1, 3 or 5 different instances, each this one or a peer";
        if !matches!(at.value.len(), 1 | 3 | 5) {
            return Err(self.value_error(
                at,
                "voters",
                format!("{} voters", at.value.len()),
                remedy,
            ));
        }
        for (i, voter) in at.value.iter().enumerate() {
            let known =
                *voter == raw.instance || raw.peers.iter().any(|p| p.value.instance == *voter);
            if !known || at.value[..i].contains(voter) {
                let problem = format!("{voter} is unknown or listed twice");
                return Err(self.value_error(at, "voters", problem, remedy));
            }
        }
        Ok(at.value.clone())
    }
}
