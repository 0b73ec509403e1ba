//! What entries and controllers have in common: how one starts, why it cannot, and what it watches while
//! it runs.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use hornbeam_model::Mono;
use hornbeam_settings::{FleetSettings, SettingsError};
use hyper::StatusCode;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};

use crate::clock::suspended;
use crate::pages::{Pages, serve};
use crate::structured::StructuredLog;

/// Time between two looks at the settings file.
const SETTINGS_EVERY: Duration = Duration::from_secs(1);
/// Wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Growth of the suspended time that is taken for a suspension.
const SUSPENSION: Duration = Duration::from_millis(300);

/// A program that cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ProgramError {
    /// The settings cannot be used.
    #[snafu(display("{source}"))]
    Settings {
        /// What is wrong.
        source: SettingsError,
    },
    /// A setting that the program needs is missing.
    #[snafu(display("{field} is missing: this program needs it, see docs/SETTINGS.md"))]
    Missing {
        /// The setting.
        field: &'static str,
    },
    /// An address cannot be bound.
    #[snafu(display("{address} cannot be bound ({source}): free it or change {field}"))]
    Bind {
        /// The setting.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// A thread, runtime or signal handler cannot be had.
    #[snafu(display("{what} cannot be started ({source}): check the process limits"))]
    Start {
        /// What.
        what: &'static str,
        /// Why not.
        source: std::io::Error,
    },
}

/// Reads the settings, starts the log and runs a program on one thread until it ends.
///
/// # Errors
///
/// The settings or the runtime is missing, or the program cannot start.
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

/// Serves the metrics of a program, if its settings say where.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn serve_metrics(
    address: Option<SocketAddr>,
    text: impl Fn() -> Vec<u8> + 'static,
) -> Result<(), ProgramError> {
    let Some(address) = address else { return Ok(()) };
    let pages: Pages = Rc::new(move |path| (path == "/metrics").then(|| (StatusCode::OK, text())));
    serve(address, pages).await.context(BindSnafu { field: "metrics", address })
}

/// The next connection of a listener; a failed accept, such as for want of descriptors, is tried again.
pub async fn next_connection(listener: &TcpListener) -> TcpStream {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            return stream;
        }
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
}

/// Looks for changes of the settings file.
#[derive(Debug)]
pub struct SettingsWatch {
    file: PathBuf,
    /// The file as it was last read.
    text: Vec<u8>,
    next: Mono,
}

impl SettingsWatch {
    /// Watches a file that was just read.
    pub fn new(file: PathBuf) -> Self {
        let text = std::fs::read(&file).unwrap_or_default();
        Self { file, text, next: Mono::default() }
    }

    /// When it looks next.
    pub fn next_poll(&self) -> Mono {
        self.next
    }

    /// The settings, if a look is due and the file has changed.
    pub fn poll(&mut self, now: Mono) -> Option<Result<FleetSettings, SettingsError>> {
        if now < self.next {
            return None;
        }
        self.next = now + SETTINGS_EVERY;
        let text = std::fs::read(&self.file).ok()?;
        (text != self.text).then(|| self.reload())
    }

    /// The settings as the file has them now.
    ///
    /// # Errors
    ///
    /// They cannot be read or used; a file that stays as it is is not tried again by itself.
    pub fn reload(&mut self) -> Result<FleetSettings, SettingsError> {
        self.text = std::fs::read(&self.file).unwrap_or_default();
        FleetSettings::read(&self.file)
    }
}

/// Notices that the machine was suspended: what was heard before is old.
#[derive(Debug)]
pub struct SuspensionWatch {
    total: Duration,
}

impl Default for SuspensionWatch {
    fn default() -> Self {
        Self { total: suspended() }
    }
}

impl SuspensionWatch {
    /// For how long the machine was suspended since the last look, if it was.
    pub fn poll(&mut self) -> Option<Duration> {
        let total = suspended();
        let grown = total.saturating_sub(self.total);
        self.total = total;
        (grown >= SUSPENSION).then_some(grown)
    }
}
