//! Code shared by entries and controllers: startup, startup errors, accepting connections, and
//! detection of changed settings and of suspensions of the machine.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use hornbeam_model::Mono;
use hornbeam_settings::{FleetSettings, SettingsError};
use hyper::StatusCode;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};

use crate::clock::suspended_time;
use crate::connections::ConnectionGroup;
use crate::pages::{Pages, serve};
use crate::structured::StructuredLog;

/// Interval at which the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before accepting again after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Growth of the suspended time from which the machine counts as having been suspended.
const MIN_SUSPENSION: Duration = Duration::from_millis(300);

/// Reason why an entry or controller cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ProgramError {
    /// The settings file cannot be read or is invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// The cause.
        source: SettingsError,
    },
    /// A setting that this program requires is missing.
    #[snafu(display("required setting {field} is missing: add it, see docs/SETTINGS.md"))]
    Missing {
        /// Name of the missing setting.
        field: &'static str,
    },
    /// An address cannot be bound.
    #[snafu(display("cannot bind {address} ({source}): free the address or change {field}"))]
    Bind {
        /// Name of the setting that holds the address.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A thread, runtime or signal handler cannot be created.
    #[snafu(display("cannot start {what} ({source}): check the process limits"))]
    Start {
        /// What cannot be started, as it appears in the message.
        what: &'static str,
        /// The cause.
        source: std::io::Error,
    },
}

/// Reads the settings, starts the log and runs a program on the current thread until it ends.
///
/// # Errors
///
/// Returns an error if the settings cannot be used, the runtime cannot be created, or the program
/// fails.
pub fn run<F: Future<Output = Result<(), ProgramError>>>(
    file: &Path,
    serve: impl FnOnce(FleetSettings, StructuredLog) -> F,
) -> Result<(), ProgramError> {
    let settings = FleetSettings::read(file).context(SettingsSnafu)?;
    let log = StructuredLog::start(settings.instance.as_str(), settings.log);
    log.install(log::LevelFilter::Info);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.context(StartSnafu { what: "the runtime" })?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, serve(settings, log))
}

/// Serves the metrics of a program on `/metrics` if an address is set.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve_metrics(
    address: Option<SocketAddr>,
    group: ConnectionGroup,
    text: impl Fn() -> Vec<u8> + 'static,
) -> Result<(), ProgramError> {
    let Some(address) = address else { return Ok(()) };
    let pages: Pages = Rc::new(move |path| (path == "/metrics").then(|| (StatusCode::OK, text())));
    serve(address, group, pages).await.context(BindSnafu { field: "metrics", address })
}

/// Accepts the next connection of a listener. Retries if accepting fails, for example because the
/// process has no file descriptors left.
pub async fn next_connection(listener: &TcpListener) -> TcpStream {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            return stream;
        }
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }
}

/// Watches the settings file for changes by polling.
#[derive(Debug)]
pub struct SettingsWatch {
    file: PathBuf,
    /// Content of the file when it was last read.
    text: Vec<u8>,
    next_poll_at: Mono,
}

impl SettingsWatch {
    /// Watches a file whose settings have just been read; its present content counts as known.
    pub fn new(file: PathBuf) -> Self {
        let text = std::fs::read(&file).unwrap_or_default();
        Self { file, text, next_poll_at: Mono::default() }
    }

    /// Returns the time from which [`SettingsWatch::poll`] reads the file again.
    pub fn next_poll(&self) -> Mono {
        self.next_poll_at
    }

    /// Returns the settings if a check is due and the content of the file has changed.
    pub fn poll(&mut self, now: Mono) -> Option<Result<FleetSettings, SettingsError>> {
        if now < self.next_poll_at {
            return None;
        }
        self.next_poll_at = now + SETTINGS_POLL_INTERVAL;
        let text = std::fs::read(&self.file).ok()?;
        (text != self.text).then(|| self.reload())
    }

    /// Reads the settings from the file, whether it has changed or not.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be read or are invalid. [`SettingsWatch::poll`] does
    /// not retry until the content of the file changes.
    pub fn reload(&mut self) -> Result<FleetSettings, SettingsError> {
        self.text = std::fs::read(&self.file).unwrap_or_default();
        FleetSettings::read(&self.file)
    }
}

/// Detects that the machine was suspended, after which state received earlier is outdated.
#[derive(Debug)]
pub struct SuspensionWatch {
    /// Total suspended time at the previous call.
    total: Duration,
}

impl Default for SuspensionWatch {
    fn default() -> Self {
        Self { total: suspended_time() }
    }
}

impl SuspensionWatch {
    /// Returns for how long the machine was suspended since the previous call, or `None` if that is
    /// below the threshold.
    pub fn poll(&mut self) -> Option<Duration> {
        let total = suspended_time();
        let growth = total.saturating_sub(self.total);
        self.total = total;
        (growth >= MIN_SUSPENSION).then_some(growth)
    }
}
