//! Patience: time that callers are willing to wait, by hour of the service's time zone.

use std::time::Duration;

use jiff::Timestamp;
use jiff::tz::TimeZone;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Number of hours in a day.
pub const HOURS_PER_DAY: u8 = 24;

/// Patience from the start of `from_hour` to the start of `to_hour`, in local time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PatienceWindow {
    /// First hour of the window, 0 to 23.
    pub from_hour: u8,
    /// Hour at which the window ends, 1 to 24; the window spans midnight if this is at most
    /// `from_hour`.
    pub to_hour: u8,
    /// Patience within the window, in milliseconds.
    pub ms: u64,
}

impl PatienceWindow {
    /// Returns true if the window contains the local `hour`.
    pub fn contains(&self, hour: u8) -> bool {
        if self.from_hour < self.to_hour {
            return (self.from_hour..self.to_hour).contains(&hour);
        }
        hour >= self.from_hour || hour < self.to_hour
    }
}

/// Patience of a service's callers for each hour of the day.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patience {
    /// IANA name of the time zone of the hours.
    #[serde(default = "utc")]
    pub time_zone: SmolStr,
    /// Patience outside every window, in milliseconds.
    pub default_ms: u64,
    /// Windows; the first one that contains the hour applies.
    #[serde(default)]
    pub windows: Vec<PatienceWindow>,
}

fn utc() -> SmolStr {
    SmolStr::new_static("UTC")
}

impl Patience {
    /// Creates a patience of `ms` milliseconds for every hour.
    pub fn constant(ms: u64) -> Self {
        Self { time_zone: utc(), default_ms: ms, windows: Vec::new() }
    }

    /// Returns the patience at `unix_ms` milliseconds after 1970-01-01 UTC.
    ///
    /// An unknown time zone is treated as UTC; [`crate::Config::check`] rejects it beforehand.
    pub fn at(&self, unix_ms: i64) -> Duration {
        let tz = TimeZone::get(&self.time_zone).unwrap_or(TimeZone::UTC);
        let stamp = Timestamp::from_millisecond(unix_ms).unwrap_or(Timestamp::UNIX_EPOCH);
        let hour = stamp.to_zoned_datetime(tz).hour() as u8;
        let window = self.windows.iter().find(|w| w.contains(hour));
        Duration::from_millis(window.map_or(self.default_ms, |w| w.ms))
    }
}
