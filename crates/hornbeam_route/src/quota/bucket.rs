//! Token bucket.

use hornbeam_model::Mono;

/// Tokens of requests; negative after more were taken than there were.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    pub tokens: f64,
    refilled_at: Mono,
}

impl Bucket {
    /// Creates an empty bucket that gains tokens from `from` on.
    pub fn new(from: Mono) -> Self {
        Self { tokens: 0.0, refilled_at: from }
    }

    /// Returns until when the gained tokens are included.
    pub fn refilled_at(&self) -> Mono {
        self.refilled_at
    }

    /// Adds the tokens gained since the last call.
    pub fn refill(&mut self, now: Mono, rate: f64, burst: f64) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + rate * elapsed).min(burst);
    }
}
