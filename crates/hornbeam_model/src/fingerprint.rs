//! Fingerprints by which entries recognize a request that a caller repeats.

use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::IdError;

/// Hash of what stays the same when a caller repeats a request. The request id does not: each attempt
/// of a caller has its own.
///
/// Written as two hexadecimal numbers with a hyphen in between.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Fingerprint {
    /// Hash of the caller's address.
    pub caller: u64,
    /// Hash of method, host, target and body.
    pub content: u64,
}

impl Fingerprint {
    /// Returns the fingerprint of a request.
    pub fn new(caller: IpAddr, method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        let mut content = Xxh3::new();
        for part in [method.as_bytes(), host.as_bytes(), target.as_bytes(), body] {
            content.update(&(part.len() as u64).to_le_bytes());
            content.update(part);
        }
        let mut address = Xxh3::new();
        match caller {
            IpAddr::V4(ip) => address.update(&ip.octets()),
            IpAddr::V6(ip) => address.update(&ip.octets()),
        }
        Self { caller: address.digest(), content: content.digest() }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.caller, self.content)
    }
}

impl FromStr for Fingerprint {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let error = || IdError::Number { kind: "fingerprint", text: s.into() };
        let (caller, content) = s.split_once('-').ok_or_else(error)?;
        let parse = |part| u64::from_str_radix(part, 16).map_err(|_| error());
        Ok(Self { caller: parse(caller)?, content: parse(content)? })
    }
}
