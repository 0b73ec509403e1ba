//! Tokens that let a non-idempotent request be resent.
//!
//! A token names the instance that issued it and that instance's incarnation. Only the issuer
//! runs a request with it, and remembers it until it expires, so a resend cannot run twice on
//! either side of a partition. No agreement between instances is needed.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use hornbeam_model::{Incarnation, InstanceId, Mono};
use indexmap::IndexMap;
use smol_str::SmolStr;
use snafu::Snafu;

/// How long a token can be used after it was issued.
pub const TOKEN_TTL: Duration = Duration::from_secs(600);
/// Most tokens issued by one request.
pub const MAX_TOKENS_PER_REQUEST: u32 = 1_000;
/// Most tokens that one instance keeps valid at once.
pub const MAX_LIVE_TOKENS: u64 = 1_000_000;

/// A token: `instance~incarnation~number~tag`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Token {
    /// The issuer.
    pub instance: InstanceId,
    /// The issuer's start.
    pub incarnation: Incarnation,
    /// Number within that start.
    pub number: u64,
    /// Keyed hash of the rest, made and checked by the issuer.
    pub tag: SmolStr,
}

/// A token that cannot be read.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the token is malformed: send it back exactly as /v1/tokens gave it"))]
pub struct TokenError;

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}~{}~{}", self.instance, self.incarnation, self.number, self.tag)
    }
}

impl FromStr for Token {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, TokenError> {
        let parts: Vec<&str> = text.split('~').collect();
        let [instance, incarnation, number, tag] = parts[..] else { return Err(TokenError) };
        if tag.len() > 64 {
            return Err(TokenError);
        }
        Ok(Self {
            instance: instance.parse().map_err(|_| TokenError)?,
            incarnation: incarnation.parse().map_err(|_| TokenError)?,
            number: number.parse().map_err(|_| TokenError)?,
            tag: SmolStr::new(tag),
        })
    }
}

/// What the issuer does with a request that carries a token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TokenUse<T> {
    /// First use: run it, then call [`TokenStore::record_response`] or [`TokenStore::release`].
    Run,
    /// It is running: wait for its answer.
    Running,
    /// It was answered: give the first answer again.
    Answered(T),
    /// The token was never issued, has expired, or belongs to another start: do not run it.
    Unknown,
}

/// State of one used token.
#[derive(Clone, Debug)]
enum TokenState<T> {
    Running,
    Answered(T),
}

/// Tokens issued at one time.
#[derive(Clone, Copy, Debug)]
struct Batch {
    first: u64,
    count: u64,
    expires: Mono,
}

/// Tokens of one start of one instance. `T` is the answer that is kept for resends.
#[derive(Debug)]
pub struct TokenStore<T> {
    next: u64,
    /// Rising and without gaps; the oldest expires first.
    batches: Vec<Batch>,
    /// Tokens used and not expired.
    used: IndexMap<u64, TokenState<T>>,
}

impl<T: Clone> Default for TokenStore<T> {
    fn default() -> Self {
        Self { next: 1, batches: Vec::new(), used: IndexMap::new() }
    }
}

impl<T: Clone> TokenStore<T> {
    /// Issues `count` tokens; their numbers, or nothing if too many are valid already.
    pub fn issue(&mut self, now: Mono, count: u64) -> Option<std::ops::Range<u64>> {
        self.expire(now);
        let live: u64 = self.batches.iter().map(|b| b.count).sum();
        if live + count > MAX_LIVE_TOKENS {
            return None;
        }
        let first = self.next;
        self.next += count;
        self.batches.push(Batch { first, count, expires: now + TOKEN_TTL });
        Some(first..self.next)
    }

    /// Begins the use of token `number`.
    pub fn begin(&mut self, now: Mono, number: u64) -> TokenUse<T> {
        self.expire(now);
        let issued = self.batches.iter().any(|b| (b.first..b.first + b.count).contains(&number));
        if !issued {
            return TokenUse::Unknown;
        }
        match self.used.get(&number) {
            Some(TokenState::Running) => TokenUse::Running,
            Some(TokenState::Answered(answer)) => TokenUse::Answered(answer.clone()),
            None => {
                self.used.insert(number, TokenState::Running);
                TokenUse::Run
            }
        }
    }

    /// Keeps the answer of a request that ran or may have run.
    pub fn record_response(&mut self, number: u64, answer: T) {
        if let Some(state) = self.used.get_mut(&number) {
            *state = TokenState::Answered(answer);
        }
    }

    /// Frees a token whose request was confirmed as not run, so that it can be sent again.
    pub fn release(&mut self, number: u64) {
        self.used.swap_remove(&number);
    }

    fn expire(&mut self, now: Mono) {
        let gone = self.batches.iter().take_while(|b| b.expires <= now).count();
        for batch in self.batches.drain(..gone) {
            for number in batch.first..batch.first + batch.count {
                self.used.swap_remove(&number);
            }
        }
    }
}
