//! Teams of callers, their keys and quotas.

use std::fmt;
use std::str::FromStr;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{IdError, Region, RequestRate};

const DIGEST_BYTES: usize = 32;

/// Digest of a caller's key. Written as 64 hexadecimal digits in settings and documents; its `Debug`
/// output hides it, so that no log shows it.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key. Lookups compare digests, so their duration says nothing about the
    /// characters of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl FromStr for KeyDigest {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let hash = blake3::Hash::from_hex(text);
        let error = |_| IdError::Number { kind: "key digest", text: "(hidden)".into() };
        hash.map(|h| Self(*h.as_bytes())).map_err(error)
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.serialize_str(blake3::Hash::from_bytes(self.0).to_hex().as_str());
        }
        self.0.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            return text.parse().map_err(D::Error::custom);
        }
        Ok(Self(Deserialize::deserialize(deserializer)?))
    }
}

/// Team of callers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Team {
    /// Digests of the keys that its callers may use; a team may have none left.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, which goes before that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Requests per second over all entries together; zero for no limit.
    pub rate: RequestRate,
    /// Requests beyond the rate that may follow each other at once.
    pub burst: u32,
    /// Regions whose servers may handle its requests; empty for all.
    pub regions: Vec<Region>,
}

impl Team {
    /// Returns true if its requests are limited.
    pub fn is_limited(&self) -> bool {
        self.rate.0 > 0
    }
}
