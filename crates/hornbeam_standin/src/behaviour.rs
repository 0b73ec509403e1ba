//! Response times and injected faults of a stand-in.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

/// Fault that a stand-in injects into its replies.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Replies correctly.
    #[default]
    None,
    /// Refuses the search and states correctly that it did not run.
    Shed,
    /// Runs the search, then replies 503 without stating whether it ran.
    FailAfterRun,
    /// Runs the search and closes the connection without a reply.
    Break,
    /// Never replies.
    Hang,
    /// Replies with the id of another attempt.
    WrongAttempt,
    /// Replies with another index version.
    WrongVersion,
    /// Adds a shard that was not requested.
    WrongShard,
    /// Omits the last requested shard.
    PartialReply,
}

/// Response times and faults of a stand-in; the body of `POST /standin/behaviour`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Median time of a search, in microseconds.
    pub service_us: u64,
    /// Time added for each requested shard, in microseconds.
    pub shard_us: u64,
    /// Width of the random variation of the time, in percent of it, 0 to 100.
    pub jitter_percent: u32,
    /// Share of searches that straggle, in hundredths of a percent.
    pub straggle_per_10k: u32,
    /// Factor by which a straggler takes longer.
    pub straggle_factor: u32,
    /// Searches that may wait for a slot; more are shed.
    pub max_queue: u32,
    /// Queue length that the load report states instead of the true one.
    pub false_load: Option<u32>,
    /// Fault that is injected into every reply.
    pub fault: Fault,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_us: 3_000,
            shard_us: 100,
            jitter_percent: 30,
            straggle_per_10k: 0,
            straggle_factor: 20,
            max_queue: 64,
            false_load: None,
            fault: Fault::None,
        }
    }
}

impl Behaviour {
    /// Returns a random time for one search over `shards` shards.
    pub fn search_time(&self, rng: &mut SmallRng, shards: u32) -> Duration {
        let base = self.service_us + self.shard_us * u64::from(shards);
        let spread = base * u64::from(self.jitter_percent) / 100;
        let time = base - spread / 2 + rng.random_range(0..=spread);
        let straggles = rng.random_range(0..10_000) < self.straggle_per_10k;
        let factor = if straggles { u64::from(self.straggle_factor) } else { 1 };
        Duration::from_micros(time * factor)
    }
}
