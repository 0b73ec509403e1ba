//! The checked settings and their defaults.

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

/// Queries that may run at once on one instance unless set.
pub const DEFAULT_MAX_IN_FLIGHT: u32 = 2_000;
/// Longest request body accepted unless set, in bytes.
pub const DEFAULT_MAX_BODY_BYTES: u32 = 1 << 20;
/// How often backend servers announce themselves unless set, in milliseconds.
pub const DEFAULT_ANNOUNCE_INTERVAL_MS: u64 = 500;
/// How long an announcement counts unless set, in milliseconds.
pub const DEFAULT_LEASE_MS: u64 = 1_600;
/// How long a starting instance waits for a confirmed configuration unless set, in milliseconds.
pub const DEFAULT_CONFIG_WAIT_MS: u64 = 3_000;
/// Threads for traffic unless set.
pub const DEFAULT_TRAFFIC_THREADS: u32 = 2;
/// Longest lease accepted, in milliseconds. With the time after which an unconfirmed view lapses it
/// stays below the 3 s in which a leaving server must be out everywhere.
pub const MAX_LEASE_MS: u64 = 1_600;

/// What an instance does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes callers' queries and backend servers' announcements.
    Entry,
    /// Votes on configuration; needs a disk.
    Control,
}

/// Another instance, as the settings name it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its name.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Where it takes inner messages.
    pub inner: SocketAddr,
    /// Where it takes HTTP.
    pub http: SocketAddr,
}

/// Checked settings of one instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: Zone,
    /// Where it takes HTTP.
    pub http: SocketAddr,
    /// Where it takes inner messages, UDP and TCP.
    pub inner: SocketAddr,
    /// What it does; not empty.
    pub roles: Vec<Role>,
    /// Folder for durable files; always set with [`Role::Control`].
    pub data_dir: Option<PathBuf>,
    /// Key that authenticates inner messages.
    pub key: Secret,
    /// Token that operators present; without one, operator requests are refused.
    pub operator_token: Option<Secret>,
    /// The other instances; never this one.
    pub peers: Vec<Peer>,
    /// The first voters of the control log; each is this instance or a peer.
    pub voters: Vec<InstanceId>,
    /// Queries that may run at once.
    pub max_in_flight: u32,
    /// Longest request body accepted, in bytes.
    pub max_body_bytes: u32,
    /// How often backend servers announce themselves.
    pub announce_interval: Duration,
    /// How long an announcement counts.
    pub lease: Duration,
    /// How long a start waits for a confirmed configuration.
    pub config_wait: Duration,
    /// Threads for traffic.
    pub traffic_threads: u32,
    /// Log file; standard error if none.
    pub log_file: Option<PathBuf>,
    /// Seed of the random choices; drawn at start if none.
    pub seed: Option<u64>,
}

impl Settings {
    /// Reads and checks `file`; relative paths in it count from its folder.
    ///
    /// # Errors
    ///
    /// The first fault with file, line, field and remedy.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        let raw = parse(file, &text)?;
        Checker { file }.check(raw)
    }

    /// True if this instance has `role`.
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

/// The first line of a message.
pub(crate) fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().to_owned()
}

/// Checks the fields of one file.
struct Checker<'a> {
    file: &'a Path,
}

impl Checker<'_> {
    fn value<T>(
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
            return Err(self.value(at, "announce_every_ms", "too long for the lease", remedy));
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
            data_dir: raw.data_dir.map(|p| self.beside(&p)),
            peers: raw.peers.into_iter().map(|p| p.value).collect(),
            voters,
            max_in_flight: in_flight,
            max_body_bytes: body,
            announce_interval: Duration::from_millis(announce_ms),
            lease: Duration::from_millis(lease_ms),
            config_wait: Duration::from_millis(wait_ms),
            traffic_threads: threads,
            log_file: raw.log_file.map(|p| self.beside(&p)),
            seed: raw.seed,
        })
    }

    fn beside(&self, path: &Path) -> PathBuf {
        self.file.parent().unwrap_or(Path::new("")).join(path)
    }

    fn secret(&self, at: &Spanned<PathBuf>, field: &'static str) -> Result<Secret, SettingsError> {
        let path = self.beside(&at.value);
        let remedy = "write 16 or more random bytes to that file, readable by this user";
        Secret::read(&path)
            .map_err(|e| self.value(at, field, format!("{}: {e}", path.display()), remedy))
    }

    fn number<N: Copy + Into<u64> + PartialOrd + std::fmt::Display>(
        &self,
        field: &'static str,
        given: &Option<Spanned<N>>,
        default: N,
        low: N,
        high: N,
    ) -> Result<N, SettingsError> {
        let Some(at) = given else { return Ok(default) };
        if at.value >= low && at.value <= high {
            return Ok(at.value);
        }
        let problem = format!("{} is outside {low} to {high}", at.value);
        Err(self.value(at, field, problem, "choose a value in that range"))
    }

    fn check_addresses(&self, raw: &RawSettings) -> Result<(), SettingsError> {
        for (field, at) in [("http", &raw.http), ("inner", &raw.inner)] {
            if at.value.port() == 0 {
                return Err(self.value(at, field, "port 0", "name the port that peers use"));
            }
            if at.value.ip().is_unspecified() {
                let remedy = "name the address at which peers reach this instance";
                return Err(self.value(at, field, "no particular address", remedy));
            }
        }
        if raw.http.value == raw.inner.value {
            let problem = "the same as http";
            return Err(self.value(&raw.inner, "inner", problem, "choose another port"));
        }
        Ok(())
    }

    fn check_roles(&self, raw: &RawSettings) -> Result<(), SettingsError> {
        if raw.roles.value.is_empty() {
            let remedy = "list entry, control or both";
            return Err(self.value(&raw.roles, "roles", "no role", remedy));
        }
        if raw.roles.value.contains(&Role::Control) && raw.data_dir.is_none() {
            let remedy = "set data_dir to a folder on a disk";
            return Err(self.value(&raw.roles, "roles", "control without data_dir", remedy));
        }
        Ok(())
    }

    fn check_peers(&self, raw: &RawSettings) -> Result<(), SettingsError> {
        let remedy = "list each other instance once, without this one";
        for (i, at) in raw.peers.iter().enumerate() {
            let p = &at.value;
            if p.instance == raw.instance || p.inner == raw.inner.value {
                return Err(self.value(
                    at,
                    "peers",
                    format!("{} is this instance", p.instance),
                    remedy,
                ));
            }
            let twice = raw.peers[..i]
                .iter()
                .any(|o| o.value.instance == p.instance || o.value.inner == p.inner);
            if twice {
                return Err(self.value(
                    at,
                    "peers",
                    format!("{} stands twice", p.instance),
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
            return Err(self.value(at, "voters", format!("{} voters", at.value.len()), remedy));
        }
        for (i, voter) in at.value.iter().enumerate() {
            let known =
                *voter == raw.instance || raw.peers.iter().any(|p| p.value.instance == *voter);
            if !known || at.value[..i].contains(voter) {
                let problem = format!("{voter} is unknown or stands twice");
                return Err(self.value(at, "voters", problem, remedy));
            }
        }
        Ok(at.value.clone())
    }
}
