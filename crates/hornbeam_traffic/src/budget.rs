//! Extra attempts earned by primary attempts.

/// Tokens kept back from hedges, so that retries find some.
const RETRY_RESERVE: f64 = 1.0;
/// Debt that retries may run up for each server of the service, in tokens: a server that fails gets
/// about this many attempts before it is avoided.
const OVERDRAFT_PER_SERVER: f64 = 3.0;
/// Debt that retries may run up in any case, in tokens.
const MIN_OVERDRAFT: f64 = 8.0;
/// Tokens lent to a new service, so that its first queries can hedge.
const LOAN: f64 = 4.0;
/// Part of the share that is earned; the rest pays back the loan and any overdraft.
const EARNED_PART: f64 = 0.9;
/// Most tokens saved up.
const MAX_TOKENS: f64 = 20.0;

/// Token bucket that bounds extra attempts to a share of the primary ones.
///
/// Time does not refill it: when everything is slow, no more extra load is allowed than when
/// everything is fast.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Tokens earned by one primary attempt.
    ratio: f64,
    /// Between minus `overdraft` and [`MAX_TOKENS`].
    tokens: f64,
    overdraft: f64,
}

impl RetryBudget {
    /// A bucket that earns `percent` hundredths of a token with each primary attempt.
    pub fn new(percent: u32) -> Self {
        let tokens = if percent == 0 { 0.0 } else { LOAN };
        Self { ratio: f64::from(percent) / 100.0, tokens, overdraft: MIN_OVERDRAFT }
    }

    /// A bucket that starts with `tokens`.
    pub fn with_tokens(percent: u32, tokens: f64) -> Self {
        Self { tokens, ..Self::new(percent) }
    }

    /// Sets the rate; tokens already earned stay.
    pub fn set_percent(&mut self, percent: u32) {
        self.ratio = f64::from(percent) / 100.0;
    }

    /// Notes one primary attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio * EARNED_PART).min(MAX_TOKENS);
    }

    /// True if a hedge could be paid for.
    pub fn can_hedge(&self) -> bool {
        self.tokens >= 1.0 + RETRY_RESERVE
    }

    /// Sets the debt that retries may run up to what the failure of `servers` servers takes.
    pub fn set_server_count(&mut self, servers: usize) {
        self.overdraft = (servers as f64 * OVERDRAFT_PER_SERVER).max(MIN_OVERDRAFT);
    }

    /// Retries that could be paid for.
    pub fn available_retries(&self) -> u32 {
        if self.ratio == 0.0 {
            return 0;
        }
        (self.tokens + self.overdraft).max(0.0) as u32
    }

    /// Pays for one extra attempt; the caller has asked first.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
