//! Refused requests that have a time to come back, until that time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hornbeam_model::Mono;

/// Maximum number of refused requests that are counted for one team.
const MAX_WAITING: usize = 4_096;

/// Retry times of refused requests.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    until: BinaryHeap<Reverse<Mono>>,
}

impl Waiting {
    /// Records a request that may come back at `at`.
    pub fn add(&mut self, at: Mono) {
        if self.until.len() < MAX_WAITING {
            self.until.push(Reverse(at));
        }
    }

    /// Returns the number of requests whose time has not come yet.
    pub fn count(&mut self, now: Mono) -> u32 {
        while self.until.peek().is_some_and(|Reverse(at)| *at <= now) {
            self.until.pop();
        }
        self.until.len() as u32
    }
}
