//! Settings, processes and signals of entries and controllers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};
use tokio::task::JoinSet;

use crate::caller::http;
use crate::entry_links::EntryLinks;
use crate::proxy::{Links, forward_datagrams, forward_streams};

/// Zones of the fleet. Controllers and servers are spread over them; all entries are in the first.
pub const ZONES: [&str; 3] = ["olomouc", "prerov", "kromeriz"];
/// Port of the controllers' HTTP API.
const API_PORT: u16 = 8106;
/// Port on which entries accept callers.
const CALLERS_PORT: u16 = 8104;
/// Port of the entries' health endpoint.
const READY_PORT: u16 = 8108;
/// Port of the metrics endpoint of every program.
pub const METRICS_PORT: u16 = 7399;
/// First port of the connections between programs; controllers also use the next one.
const INNER_PORT: u16 = 7380;
/// Time from SIGTERM to SIGKILL, in seconds.
pub const GRACE_S: u64 = 4;
/// Shards above which an entry delegates groups; lower than the shards of a search of this test, so
/// that entries do delegate.
const DELEGATE_ABOVE: usize = 2;

/// Role in which a program runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProgramKind {
    /// Accepts requests of callers.
    Entry,
    /// Tracks servers and stores routing tables.
    Controller,
}

/// Entry or controller that runs as a separate process.
pub struct Program {
    /// Role of the program.
    pub kind: ProgramKind,
    /// Instance name.
    pub name: String,
    /// Address that the program advertises, on which its proxy listens.
    pub address: IpAddr,
    /// Address on which the program listens.
    pub bind: IpAddr,
    /// State of the proxied links to the program.
    pub links: Links,
    /// State of the proxied links from the program to all servers.
    pub server_links: Links,
    /// Path of the settings file.
    pub settings: PathBuf,
    data: PathBuf,
    /// Number of starts so far; selects the build of the next one.
    starts: usize,
    /// Path of the log file; restarts append to it.
    pub log: PathBuf,
    child: Option<Child>,
}

/// All programs of a run.
pub struct Fleet {
    /// Controllers, followed by entries.
    pub programs: Vec<Program>,
    /// Builds of the program. Neighbours run different ones, and each restart takes the next.
    binaries: Vec<PathBuf>,
    seeds: Vec<SocketAddr>,
    /// Lets founders start a log although entries hold a table; applies to later starts.
    pub found_anew: bool,
    /// Links between entries and servers.
    pub entry_links: EntryLinks,
    /// Proxies in front of the programs; they release their addresses with the fleet.
    proxies: JoinSet<()>,
}

impl Fleet {
    /// Creates a fleet of one or more builds with its files in `folder` and addresses in
    /// 127.0.`net`.0/24, and starts it.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound, a file cannot be written or the binary
    /// cannot be run.
    pub async fn start(
        binaries: &[PathBuf],
        folder: &Path,
        net: u8,
        entries: usize,
        controllers: usize,
    ) -> std::io::Result<Self> {
        let ip = |n: usize| IpAddr::V4(Ipv4Addr::new(127, 0, net, n as u8));
        let seeds = (0..controllers.min(3)).map(|i| SocketAddr::new(ip(1 + i), API_PORT)).collect();
        let entry_links = EntryLinks::default();
        let mut fleet = Self {
            programs: Vec::new(),
            binaries: binaries.to_vec(),
            seeds,
            found_anew: false,
            entry_links,
            proxies: JoinSet::new(),
        };
        for i in 0..controllers {
            let name = format!("control-{i}");
            fleet.add(folder, ProgramKind::Controller, name, ip(1 + i), ip(101 + i));
        }
        for i in 0..entries {
            fleet.add(folder, ProgramKind::Entry, format!("entry-{i}"), ip(51 + i), ip(151 + i));
        }
        let proxies = &mut fleet.proxies;
        for program in &fleet.programs {
            let at = |ip, port| SocketAddr::new(ip, port);
            if program.kind == ProgramKind::Entry {
                let (from, to) = (at(program.address, INNER_PORT), at(program.bind, INNER_PORT));
                forward_streams(from, to, program.links.clone(), proxies).await?;
                continue;
            }
            for port in [API_PORT, INNER_PORT, INNER_PORT + 1] {
                let (from, to) = (at(program.address, port), at(program.bind, port));
                forward_streams(from, to, program.links.clone(), proxies).await?;
            }
            let port = INNER_PORT + 1;
            let (from, to) = (at(program.address, port), at(program.bind, port));
            forward_datagrams(from, to, program.links.clone(), proxies).await?;
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
            server_links: Links::default(),
            settings: folder.join(format!("{name}.yaml")),
            data: folder.join(format!("{name}.data")),
            starts: 0,
            log: folder.join(format!("{name}.log")),
            name,
            child: None,
        });
    }

    /// Starts a program that is down. `founding` lets a controller create the first voter group.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be written or the binary cannot be run.
    pub fn start_program(&mut self, i: usize, founding: bool) -> std::io::Result<()> {
        let text = self.settings_of(i, founding);
        let program = &mut self.programs[i];
        std::fs::write(&program.settings, text)?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&program.log)?;
        let binary = &self.binaries[(i + program.starts) % self.binaries.len()];
        program.starts += 1;
        let role = if program.kind == ProgramKind::Entry { "entry" } else { "controller" };
        let child = Command::new(binary)
            .arg(role)
            .arg(&program.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        if let Some(pid) = child.id() {
            self.entry_links.add(pid, program.server_links.clone());
        }
        program.child = Some(child);
        Ok(())
    }

    fn settings_of(&self, i: usize, founding: bool) -> String {
        let program = &self.programs[i];
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("\"{s}\"")).collect();
        // Entries delegate only to entries of their zone, so all entries are in one zone.
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
                 tolerated_losses: 1\n{}",
                program.bind,
                program.data.display(),
                // Not known to the builds before.
                if self.found_anew { "found_anew: true\n" } else { "" },
            ),
        }
    }

    /// Returns the indexes of the programs of a kind in [`Self::programs`].
    pub fn of_kind(&self, kind: ProgramKind) -> Vec<usize> {
        (0..self.programs.len()).filter(|i| self.programs[*i].kind == kind).collect()
    }

    /// Returns the proxied addresses of the controllers' HTTP API.
    pub fn apis(&self) -> Vec<SocketAddr> {
        let controllers = self.programs.iter().filter(|p| p.kind == ProgramKind::Controller);
        controllers.map(|p| SocketAddr::new(p.address, API_PORT)).collect()
    }

    /// Returns the addresses on which entries accept callers; these are not proxied.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let entries = self.programs.iter().filter(|p| p.kind == ProgramKind::Entry);
        entries.map(|p| SocketAddr::new(p.bind, CALLERS_PORT)).collect()
    }

    /// Waits until every entry is ready; returns false if that takes longer than `time`.
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
    /// Sends a signal to the process if it is running.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            // An error means that the process has just ended.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the id of the process, if it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(|child| child.id())
    }

    /// Kills the process and waits until it has ended.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error means that the process has just ended.
            let _ = child.kill().await;
        }
    }

    /// Sends SIGTERM, waits for [`GRACE_S`] and then kills the process. Returns whether it ended
    /// before that with success.
    pub async fn stop(&mut self) -> bool {
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else { return false };
        let grace = Duration::from_secs(GRACE_S);
        let stopped = tokio::time::timeout(grace, child.wait()).await;
        if stopped.is_err() {
            // An error means that the process has just ended.
            let _ = child.kill().await;
        }
        matches!(stopped, Ok(Ok(status)) if status.success())
    }

    /// Deletes the data folder of a program that is down.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder exists and cannot be deleted.
    pub fn wipe(&self) -> std::io::Result<()> {
        match std::fs::remove_dir_all(&self.data) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }
}
