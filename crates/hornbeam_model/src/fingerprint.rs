//! Fingerprints by which entries recognize a request that a caller repeats.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

use crate::{IdError, ServiceId, TeamId};

/// Hash of what stays the same when a caller repeats a request. The request id does not, since each
/// attempt of a caller has its own, and neither does the address, since a caller may repeat a request
/// from another instance of its own.
///
/// Written as three hexadecimal numbers with hyphens in between, the last one `any` if it is `None`, and
/// the service behind an at sign.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Fingerprint {
    /// Hash of the caller's credentials and team; 0 without any.
    pub caller: u64,
    /// Hash of method, host, path and body.
    pub content: u64,
    /// Hash of the query string. `None` stands for all requests that differ in it only, as a caller's
    /// repeats do that carry a parameter against caches.
    pub query: Option<u64>,
    /// Hash of the service of one shard of a search. `None` stands for the whole request.
    pub service: Option<u64>,
}

impl Fingerprint {
    /// Returns the fingerprint of a request to `path` with a query string.
    pub fn new(credentials: &[u8], method: &str, host: &str, path: &str, query: &str) -> Self {
        let mut content = Xxh3::new();
        update(&mut content, [method.as_bytes(), host.as_bytes(), path.as_bytes()]);
        let caller = if credentials.is_empty() { 0 } else { xxh3_64(credentials) };
        Self {
            caller,
            content: content.digest(),
            query: Some(xxh3_64(query.as_bytes())),
            service: None,
        }
    }

    /// Returns the fingerprint of the same request with a body.
    #[must_use]
    pub fn with_body(self, body: &[u8]) -> Self {
        let mut content = Xxh3::with_seed(self.content);
        update(&mut content, [body]);
        Self { content: content.digest(), ..self }
    }

    /// Returns the fingerprint of the same request by a caller of a team. The team stands for its keys:
    /// a caller may repeat a request with another one.
    #[must_use]
    pub fn of_team(self, team: &TeamId) -> Self {
        Self { caller: xxh3_64_with_seed(team.as_str().as_bytes(), self.caller), ..self }
    }

    /// Returns the fingerprint of the shard of this search that a service responds to.
    #[must_use]
    pub fn at_service(self, service: &ServiceId) -> Self {
        Self { service: Some(xxh3_64(service.as_str().as_bytes())), ..self }
    }

    /// Returns the fingerprint of all requests that differ from this one in the query string only.
    #[must_use]
    pub fn any_query(self) -> Self {
        Self { query: None, ..self }
    }
}

/// Adds parts with their lengths, so that different parts with the same text together differ.
fn update<const N: usize>(hash: &mut Xxh3, parts: [&[u8]; N]) {
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}-", self.caller, self.content)?;
        match self.query {
            Some(query) => write!(f, "{query:016x}")?,
            None => f.write_str("any")?,
        }
        match self.service {
            Some(service) => write!(f, "@{service:016x}"),
            None => Ok(()),
        }
    }
}

impl FromStr for Fingerprint {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let error = || IdError::Number { kind: "fingerprint", text: s.into() };
        let parse = |part| u64::from_str_radix(part, 16).map_err(|_| error());
        let (request, service) = s.split_once('@').map_or((s, None), |(r, s)| (r, Some(s)));
        let service = service.map(parse).transpose()?;
        let parts: Vec<&str> = request.split('-').collect();
        let &[caller, content, query] = parts.as_slice() else { return Err(error()) };
        let query = if query == "any" { None } else { Some(parse(query)?) };
        Ok(Self { caller: parse(caller)?, content: parse(content)?, query, service })
    }
}
