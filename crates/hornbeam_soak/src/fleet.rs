//! Settings, starts and signals of entries and controllers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

use crate::caller::http;
use crate::proxy::{Links, carry_datagrams, carry_streams};

/// Zones of the fleet; entries and controllers are spread over them.
pub const ZONES: [&str; 3] = ["olomouc", "prerov", "kromeriz"];
/// Port of the controllers' calls.
const API_PORT: u16 = 8106;
/// Port of the entries' callers.
const CALLERS_PORT: u16 = 8104;
/// Port of the entries' readiness.
const READY_PORT: u16 = 8108;
/// Port of the metrics.
pub const METRICS_PORT: u16 = 7399;
/// First port between programs.
const INNER_PORT: u16 = 7380;
/// Time from SIGTERM to SIGKILL, in seconds.
pub const GRACE_S: u64 = 4;
/// Shards above which entries help each other: fewer than a search here has.
const DELEGATE_ABOVE: usize = 2;

/// What kind of program it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProgramKind {
    /// Serves callers.
    Entry,
    /// Knows servers and tables.
    Controller,
}

/// One program, as a process of its own.
pub struct Program {
    /// What it is.
    pub kind: ProgramKind,
    /// Its name.
    pub name: String,
    /// Address that others know it by.
    pub address: IpAddr,
    /// Address at which it listens.
    pub bind: IpAddr,
    /// Links to it; carried only for controllers.
    pub links: Links,
    /// Its settings file.
    pub settings: PathBuf,
    data: PathBuf,
    /// Its log.
    pub log: PathBuf,
    child: Option<Child>,
}

/// All programs.
pub struct Fleet {
    /// Entries and controllers.
    pub programs: Vec<Program>,
    binary: PathBuf,
    seeds: Vec<SocketAddr>,
}

impl Fleet {
    /// Lays out a fleet in `folder`, with addresses of `net` (the third number of 127.0.x.y), and
    /// starts it.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, a file cannot be written or the binary cannot be run.
    pub async fn start(
        binary: &Path,
        folder: &Path,
        net: u8,
        entries: usize,
        controllers: usize,
    ) -> std::io::Result<Self> {
        let ip = |n: usize| IpAddr::V4(Ipv4Addr::new(127, 0, net, n as u8));
        let seeds = (0..controllers.min(3)).map(|i| SocketAddr::new(ip(1 + i), API_PORT)).collect();
        let mut fleet = Self { programs: Vec::new(), binary: binary.to_owned(), seeds };
        for i in 0..controllers {
            let name = format!("control-{i}");
            fleet.add(folder, ProgramKind::Controller, name, ip(1 + i), ip(101 + i));
        }
        for i in 0..entries {
            fleet.add(folder, ProgramKind::Entry, format!("entry-{i}"), ip(51 + i), ip(151 + i));
        }
        for program in &fleet.programs {
            let at = |ip, port| SocketAddr::new(ip, port);
            if program.kind == ProgramKind::Entry {
                let (from, to) = (at(program.address, INNER_PORT), at(program.bind, INNER_PORT));
                carry_streams(from, to, program.links.clone()).await?;
                continue;
            }
            for port in [API_PORT, INNER_PORT, INNER_PORT + 1] {
                let (from, to) = (at(program.address, port), at(program.bind, port));
                carry_streams(from, to, program.links.clone()).await?;
            }
            let port = INNER_PORT + 1;
            let (from, to) = (at(program.address, port), at(program.bind, port));
            carry_datagrams(from, to, program.links.clone()).await?;
        }
        for i in 0..fleet.programs.len() {
            fleet.start_program(i, true)?;
        }
        Ok(fleet)
    }

    fn add(
        &mut self,
        folder: &Path,
        kind: ProgramKind,
        name: String,
        address: IpAddr,
        bind: IpAddr,
    ) {
        self.programs.push(Program {
            kind,
            address,
            bind,
            links: Links::default(),
            settings: folder.join(format!("{name}.yaml")),
            data: folder.join(format!("{name}.data")),
            log: folder.join(format!("{name}.log")),
            name,
            child: None,
        });
    }

    /// Starts a program that is down.
    ///
    /// # Errors
    ///
    /// Its settings cannot be written or the binary cannot be run.
    pub fn start_program(&mut self, i: usize, founding: bool) -> std::io::Result<()> {
        let text = self.settings_of(i, founding);
        let program = &mut self.programs[i];
        std::fs::write(&program.settings, text)?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&program.log)?;
        let role = if program.kind == ProgramKind::Entry { "entry" } else { "controller" };
        let child = Command::new(&self.binary)
            .arg(role)
            .arg(&program.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        program.child = Some(child);
        Ok(())
    }

    fn settings_of(&self, i: usize, founding: bool) -> String {
        let program = &self.programs[i];
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("\"{s}\"")).collect();
        // Entries help only others of their zone.
        let zone = match program.kind {
            ProgramKind::Entry => ZONES[0],
            ProgramKind::Controller => ZONES[i % ZONES.len()],
        };
        let common = format!(
            "instance: {}\nzone: {}\naddress: {}\nbind: {}\ninner_port: {INNER_PORT}\n\
             seeds: [{}]\nkey: soak\nheartbeat_ms: 400\ngrace_s: {GRACE_S}\n\
             metrics: {}:{METRICS_PORT}\n",
            program.name,
            zone,
            program.address,
            program.bind,
            seeds.join(", "),
            program.bind,
        );
        match program.kind {
            ProgramKind::Entry => format!(
                "{common}callers: {0}:{CALLERS_PORT}\nready: {0}:{READY_PORT}\n\
                 budget: {{ratio: 0.2, window_s: 10, allowance: 40}}\n\
                 delegate_above: {DELEGATE_ABOVE}\n",
                program.bind
            ),
            ProgramKind::Controller => format!(
                "{common}api: {}:{API_PORT}\ndata_dir: {}\nfounding: {founding}\n\
                 tolerated_losses: 1\n",
                program.bind,
                program.data.display()
            ),
        }
    }

    /// Positions of the programs of a kind.
    pub fn of_kind(&self, kind: ProgramKind) -> Vec<usize> {
        (0..self.programs.len()).filter(|i| self.programs[*i].kind == kind).collect()
    }

    /// Where controllers take calls.
    pub fn apis(&self) -> Vec<SocketAddr> {
        let controllers = self.programs.iter().filter(|p| p.kind == ProgramKind::Controller);
        controllers.map(|p| SocketAddr::new(p.address, API_PORT)).collect()
    }

    /// Where entries take requests.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let entries = self.programs.iter().filter(|p| p.kind == ProgramKind::Entry);
        entries.map(|p| SocketAddr::new(p.bind, CALLERS_PORT)).collect()
    }

    /// Waits until every entry is ready; false if one is not in time.
    pub async fn wait_ready(&self, time: Duration) -> bool {
        let end = tokio::time::Instant::now() + time;
        for entry in self.programs.iter().filter(|p| p.kind == ProgramKind::Entry) {
            let address = SocketAddr::new(entry.bind, READY_PORT);
            while http(address, "GET", "/v1/health", b"", Duration::from_secs(1))
                .await
                .is_none_or(|(status, _)| status != 200)
            {
                if tokio::time::Instant::now() > end {
                    return false;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        true
    }
}

impl Program {
    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            // It may have ended in this moment.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits until it is gone.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended in this moment.
            let _ = child.kill().await;
        }
    }

    /// Asks the process to stop and waits; kills it at the end of its grace. True if it stopped by
    /// itself.
    pub async fn stop(&mut self) -> bool {
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else { return false };
        let grace = Duration::from_secs(GRACE_S);
        let stopped = tokio::time::timeout(grace, child.wait()).await;
        if stopped.is_err() {
            // It may have ended in this moment.
            let _ = child.kill().await;
        }
        matches!(stopped, Ok(Ok(status)) if status.success())
    }

    /// Removes the durable files of a program that is down.
    ///
    /// # Errors
    ///
    /// They cannot be removed.
    pub fn wipe(&self) -> std::io::Result<()> {
        match std::fs::remove_dir_all(&self.data) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }
}
