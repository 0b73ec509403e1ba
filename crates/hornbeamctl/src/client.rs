//! HTTP client for the operator endpoints of instances.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use reqwest::header::CONTENT_ENCODING;
use reqwest::{Method, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Exit code of a command with a wrong command line or file, or an unreadable response.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a command that the system refused.
pub const EXIT_REFUSED: u8 = 2;
/// Exit code of a command whose outcome is unknown.
pub const EXIT_UNKNOWN: u8 = 3;
/// Exit code of a command that did not reach every instance, or whose change is not in force on
/// every instance.
pub const EXIT_NOT_REACHED: u8 = 4;
/// Longest time for one request and its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Error of a command; determines the exit code.
#[derive(Debug)]
pub enum CommandError {
    /// The command line, a file or a response is invalid.
    Usage(String),
    /// The system refused the command.
    Refused(String),
    /// It is unknown whether the command took effect.
    Unknown(String),
    /// These instances were not reached, or a change is not in force on them.
    NotReached(Vec<SocketAddr>),
}

impl CommandError {
    /// Returns the exit code of the process.
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

/// Longest response body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Reads the body of a response as text; `None` if it is too long, incomplete, no text or in a content coding,
/// which was not asked for.
pub async fn read_text(mut reply: Response) -> Option<String> {
    if reply.headers().contains_key(CONTENT_ENCODING) {
        return None;
    }
    let mut body = Vec::new();
    while let Some(chunk) = reply.chunk().await.ok()? {
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    String::from_utf8(body).ok()
}

/// Client for the instances named on the command line.
pub struct Client {
    instances: Vec<SocketAddr>,
    token: Option<String>,
    http: reqwest::Client,
}

impl Client {
    /// Creates a client for `instances`, `ip:port` addresses separated by commas, that sends the
    /// operator token of `token_file`.
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
        let http = reqwest::Client::builder().no_proxy().timeout(REQUEST_TIMEOUT);
        let http = http.tcp_user_timeout(REQUEST_TIMEOUT).tcp_keepalive(None).build();
        let http = http
            .map_err(|e| CommandError::Usage(format!("the HTTP client cannot be created: {e}")))?;
        Ok(Self { instances, token, http })
    }

    /// Returns the addresses of the instances, in the order of the command line.
    pub fn instances(&self) -> &[SocketAddr] {
        &self.instances
    }

    /// Sends one request with the operator token and returns the response, whatever its status.
    pub async fn send(
        &self,
        method: Method,
        instance: SocketAddr,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> reqwest::Result<Response> {
        let mut req = self.http.request(method, format!("http://{instance}{path}"));
        if let Some(token) = &self.token {
            req = req.bearer_auth(token);
        }
        if let Some(body) = body {
            req = req.json(body);
        }
        req.send().await
    }

    /// Reads `path` from every instance; returns the bodies and the instances that were not reached.
    pub async fn get_all(
        &self,
        path: &str,
    ) -> Result<(Vec<(SocketAddr, String)>, Vec<SocketAddr>), CommandError> {
        let mut texts = Vec::new();
        let mut unreached = Vec::new();
        for instance in &self.instances {
            let Ok(reply) = self.send(Method::GET, *instance, path, None::<&()>).await else {
                unreached.push(*instance);
                continue;
            };
            let status = reply.status();
            let Some(text) = read_text(reply).await else {
                unreached.push(*instance);
                continue;
            };
            if !status.is_success() {
                return Err(CommandError::Refused(format!("{instance}: {status}: {text}")));
            }
            texts.push((*instance, text));
        }
        Ok((texts, unreached))
    }
}

impl Client {
    /// Reads JSON from the first instance that is reached and has `path`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        for instance in &self.instances {
            let Ok(reply) = self.send(Method::GET, *instance, path, None::<&()>).await else {
                continue;
            };
            let status = reply.status();
            let text = read_text(reply).await.unwrap_or_default();
            // Instances that do not vote keep no history and return 404; voters have it.
            if status == StatusCode::NOT_FOUND {
                continue;
            }
            if !status.is_success() {
                return Err(CommandError::Refused(format!("{instance}: {status}: {text}")));
            }
            return serde_json::from_str(&text).map_err(|e| {
                CommandError::Usage(format!("{instance}: {e}: use hornbeamctl of the same release"))
            });
        }
        Err(CommandError::NotReached(self.instances.clone()))
    }
}

/// Returns [`CommandError::NotReached`] unless `unreached` is empty.
pub fn check_all_reached(unreached: Vec<SocketAddr>) -> Result<(), CommandError> {
    if unreached.is_empty() { Ok(()) } else { Err(CommandError::NotReached(unreached)) }
}
