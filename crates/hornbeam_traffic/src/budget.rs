//! Retry budget: primary attempts earn tokens, hedges and retries spend them.

/// Tokens that hedges leave in the bucket for retries.
const RETRY_RESERVE_TOKENS: f64 = 1.0;
/// Overdraft of retries per server of the service, in tokens: a failing server receives about this
/// many attempts before it is ejected.
const OVERDRAFT_TOKENS_PER_SERVER: f64 = 3.0;
/// Smallest overdraft of retries, in tokens.
const MIN_OVERDRAFT_TOKENS: f64 = 8.0;
/// Tokens of a new service, so that its first queries can hedge.
const INITIAL_TOKENS: f64 = 4.0;
/// Fraction of the configured ratio that a primary attempt earns; the rest pays back the initial
/// tokens and the overdraft.
const EARNED_FRACTION: f64 = 0.9;
/// Capacity of the bucket, in tokens.
const MAX_TOKENS: f64 = 20.0;

/// Token bucket that limits extra requests to a ratio of the primary attempts.
///
/// The bucket does not refill with time, so a general slowdown allows no more extra load than
/// normal operation.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Configured extra requests per primary attempt; see [`EARNED_FRACTION`].
    ratio: f64,
    /// Balance in tokens, at most [`MAX_TOKENS`]; negative while retries use the overdraft.
    tokens: f64,
    /// Debt that retries may run up, in tokens.
    overdraft: f64,
}

impl RetryBudget {
    /// Creates a bucket that allows `percent` extra requests per 100 primary attempts.
    pub fn new(percent: u32) -> Self {
        let tokens = if percent == 0 { 0.0 } else { INITIAL_TOKENS };
        Self { ratio: f64::from(percent) / 100.0, tokens, overdraft: MIN_OVERDRAFT_TOKENS }
    }

    /// Creates a bucket that starts with `tokens` instead of the default balance.
    pub fn with_tokens(percent: u32, tokens: f64) -> Self {
        Self { tokens, ..Self::new(percent) }
    }

    /// Sets the extra requests per 100 primary attempts; the balance is kept.
    pub fn set_percent(&mut self, percent: u32) {
        self.ratio = f64::from(percent) / 100.0;
    }

    /// Adds the tokens that one primary attempt earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio * EARNED_FRACTION).min(MAX_TOKENS);
    }

    /// Returns true if the balance allows a hedge and still leaves the reserve for retries.
    pub fn can_hedge(&self) -> bool {
        self.tokens >= 1.0 + RETRY_RESERVE_TOKENS
    }

    /// Sets the overdraft of retries to what a failure of all `servers` servers takes.
    pub fn set_server_count(&mut self, servers: usize) {
        self.overdraft = (servers as f64 * OVERDRAFT_TOKENS_PER_SERVER).max(MIN_OVERDRAFT_TOKENS);
    }

    /// Returns the number of retries that the balance and the overdraft allow.
    pub fn available_retries(&self) -> u32 {
        if self.ratio == 0.0 {
            return 0;
        }
        (self.tokens + self.overdraft).max(0.0) as u32
    }

    /// Spends one token on an extra request.
    ///
    /// Does not check the balance: call [`RetryBudget::can_hedge`] or
    /// [`RetryBudget::available_retries`] before.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
