//! Requests to instances.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use reqwest::{Method, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Exit code of a command that failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a command that the system refused.
pub const EXIT_REFUSED: u8 = 2;
/// Exit code of a command whose outcome is unknown.
pub const EXIT_UNKNOWN: u8 = 3;
/// Exit code of a command that did not reach every instance.
pub const EXIT_NOT_REACHED: u8 = 4;
/// Longest time for one request.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Why a command did not succeed.
#[derive(Debug)]
pub enum CommandError {
    /// The command line or a file is wrong.
    Usage(String),
    /// The system refused it.
    Refused(String),
    /// It is not known whether it took effect.
    Unknown(String),
    /// These instances were not reached.
    NotReached(Vec<SocketAddr>),
}

impl CommandError {
    /// The exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => EXIT_FAILED,
            Self::Refused(_) => EXIT_REFUSED,
            Self::Unknown(_) => EXIT_UNKNOWN,
            Self::NotReached(_) => EXIT_NOT_REACHED,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text) | Self::Refused(text) | Self::Unknown(text) => f.write_str(text),
            Self::NotReached(addresses) => {
                f.write_str("not reached:")?;
                for address in addresses {
                    write!(f, " {address}")?;
                }
                f.write_str(": check that these instances run")
            }
        }
    }
}

/// Talks to the instances named on the command line.
pub struct Client {
    instances: Vec<SocketAddr>,
    token: Option<String>,
    http: reqwest::Client,
}

impl Client {
    /// A client for `instances`, with the operator token of `token_file`.
    pub fn new(instances: &str, token_file: Option<&Path>) -> Result<Self, CommandError> {
        let parse = |part: &str| {
            let problem = || CommandError::Usage(format!("{part:?} is not ip:port: correct it"));
            part.trim().parse::<SocketAddr>().map_err(|_| problem())
        };
        let instances = instances.split(',').map(parse).collect::<Result<Vec<_>, _>>()?;
        let token = match token_file {
            None => None,
            Some(path) => {
                let text = std::fs::read_to_string(path)
                    .map_err(|e| CommandError::Usage(format!("{}: {e}", path.display())))?;
                Some(text.trim().to_owned())
            }
        };
        let http = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build();
        let http = http.map_err(|e| CommandError::Usage(format!("no HTTP client: {e}")))?;
        Ok(Self { instances, token, http })
    }

    /// The instances named on the command line.
    pub fn instances(&self) -> &[SocketAddr] {
        &self.instances
    }

    /// Sends a request to one instance.
    pub async fn send(
        &self,
        method: Method,
        instance: SocketAddr,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> reqwest::Result<Response> {
        let mut call = self.http.request(method, format!("http://{instance}{path}"));
        if let Some(token) = &self.token {
            call = call.bearer_auth(token);
        }
        if let Some(body) = body {
            call = call.json(body);
        }
        call.send().await
    }

    /// Reads `path` from every instance; the texts, and the instances not reached.
    pub async fn get_all(
        &self,
        path: &str,
    ) -> Result<(Vec<(SocketAddr, String)>, Vec<SocketAddr>), CommandError> {
        let mut texts = Vec::new();
        let mut missed = Vec::new();
        for instance in &self.instances {
            let Ok(reply) = self.send(Method::GET, *instance, path, None::<&()>).await else {
                missed.push(*instance);
                continue;
            };
            let status = reply.status();
            let Ok(text) = reply.text().await else {
                missed.push(*instance);
                continue;
            };
            if !status.is_success() {
                return Err(CommandError::Refused(format!("{instance}: {status}: {text}")));
            }
            texts.push((*instance, text));
        }
        Ok((texts, missed))
    }
}

impl Client {
    /// Reads JSON from the first instance that answers.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        for instance in &self.instances {
            let Ok(reply) = self.send(Method::GET, *instance, path, None::<&()>).await else {
                continue;
            };
            let status = reply.status();
            let text = reply.text().await.unwrap_or_default();
            // An instance that does not vote keeps no history: another one may.
            if status == StatusCode::NOT_FOUND {
                continue;
            }
            if !status.is_success() {
                return Err(CommandError::Refused(format!("{instance}: {status}: {text}")));
            }
            return serde_json::from_str(&text)
                .map_err(|e| CommandError::Usage(format!("{instance}: {e}: use one release")));
        }
        Err(CommandError::NotReached(self.instances.clone()))
    }
}

/// Success if no instance was missed.
pub fn check_all_reached(missed: Vec<SocketAddr>) -> Result<(), CommandError> {
    if missed.is_empty() { Ok(()) } else { Err(CommandError::NotReached(missed)) }
}
