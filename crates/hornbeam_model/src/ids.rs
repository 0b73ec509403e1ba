//! Newtypes for names and numbers that cross process boundaries.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::Snafu;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Error for a name or number that is not a valid id.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum IdError {
    /// The name is empty or too long.
    #[snafu(display(
        "a {kind} must have 1 to {MAX_NAME_BYTES} characters, not {length}: correct its length"
    ))]
    Length {
        /// Kind of name, such as `server name`.
        kind: &'static str,
        /// Length of the name in bytes.
        length: usize,
    },
    /// The name contains a character that is not allowed.
    #[snafu(display(
        "a {kind} may contain only letters, digits, '.', '_' and '-', not {found:?}: remove it"
    ))]
    Character {
        /// Kind of name, such as `server name`.
        kind: &'static str,
        /// First character that is not allowed.
        found: char,
    },
    /// The text is not a whole number in range.
    #[snafu(display("a {kind} must be a whole number, not {text:?}: use digits only"))]
    Number {
        /// Kind of number, such as `revision`.
        kind: &'static str,
        /// Text that was parsed.
        text: SmolStr,
    },
}

fn check_name(kind: &'static str, name: &str) -> Result<(), IdError> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(IdError::Length { kind, length: name.len() });
    }
    for c in name.chars() {
        if c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-') {
            continue;
        }
        return Err(IdError::Character { kind, found: c });
    }
    Ok(())
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name($kind, text)?;
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = IdError;

            fn try_from(text: SmolStr) -> Result<Self, IdError> {
                check_name($kind, &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for SmolStr {
            fn from(id: $name) -> SmolStr {
                id.0
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse()
                    .map(Self)
                    .map_err(|_| IdError::Number { kind: $kind, text: SmolStr::new(text) })
            }
        }
    };
}

name_id!(
    /// Name of a backend server, unique across all zones.
    ServerId,
    "server name"
);
name_id!(
    /// Name of a service: one searchable collection of records.
    ServiceId,
    "service name"
);
name_id!(
    /// Name of a route in the routing table.
    RouteId,
    "route name"
);
name_id!(
    /// Name of an instance of hornbeamrun.
    InstanceId,
    "instance name"
);
name_id!(
    /// Name of an availability zone.
    Zone,
    "zone name"
);
name_id!(
    /// Id of a caller's request; returned with the response.
    RequestId,
    "request id"
);
name_id!(
    /// Id of a configuration change, by which a resend is recognized.
    ChangeId,
    "change id"
);
name_id!(
    /// Name of a team of callers.
    TeamId,
    "team name"
);
name_id!(
    /// Name of a region: availability zones that are close to each other.
    Region,
    "region name"
);
number_id!(
    /// Version of an index; a higher number is newer.
    IndexVersion,
    u64,
    "index version"
);
number_id!(
    /// Version of the record schema; a higher number is newer.
    SchemaVersion,
    u32,
    "schema version"
);
number_id!(
    /// Number of a shard, from 0 to the shard count less one.
    ShardId,
    u32,
    "shard number"
);
number_id!(
    /// Number of a configuration; increases by 1 with each accepted change.
    Revision,
    u64,
    "revision"
);
number_id!(
    /// Number of a process start; a later start has a higher number.
    Incarnation,
    u64,
    "incarnation"
);
number_id!(
    /// Id of an attempt sent to one backend server, unique within one incarnation of an instance.
    AttemptId,
    u64,
    "attempt id"
);
number_id!(
    /// Id of a caller's query, unique within one incarnation of an instance.
    QueryId,
    u64,
    "query id"
);

number_id!(
    /// Position in the control log of an order about a zone; 0 before the first order.
    OrderIndex,
    u64,
    "order index"
);
number_id!(
    /// Version of the routing table; increases in steps of any size.
    TableVersion,
    u64,
    "table version"
);
