//! Request rates.

use std::fmt;
use std::iter::Sum;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::IdError;

/// Requests per 1,000 seconds, so that the rate of one of many entries is not rounded to zero.
///
/// Written as requests per second with three decimals.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Returns the rate for a number of requests per second, rounded to thousandths; `None` unless it
    /// is finite and not negative.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then(|| Self((rate * 1e3).round() as u64))
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

impl FromStr for RequestRate {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let error = || IdError::Number { kind: "request rate", text: s.into() };
        let (whole, decimals) = s.split_once('.').unwrap_or((s, ""));
        if decimals.len() > 3 || !decimals.bytes().all(|b| b.is_ascii_digit()) {
            return Err(error());
        }
        let thousandths = format!("{decimals:0<3}").parse::<u64>().map_err(|_| error())?;
        let whole: u64 = whole.parse().map_err(|_| error())?;
        let rate = whole.checked_mul(1_000).and_then(|w| w.checked_add(thousandths));
        rate.map(Self).ok_or_else(error)
    }
}

impl Sum for RequestRate {
    fn sum<I: Iterator<Item = Self>>(rates: I) -> Self {
        Self(rates.map(|r| r.0).fold(0, u64::saturating_add))
    }
}
